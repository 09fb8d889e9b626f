package loadtest

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is USER_HZ, the unit of processor time in /proc (proc(5)); it is always 100 on Linux.
const ticksPerSecond = 100

// ProcessSample is a process's resource use at one moment.
type ProcessSample struct {
	CPU     float64 // seconds of processor time
	Memory  float64 // resident, MB
	Files   int     // open files, nearly all of them sockets
	In, Out float64 // bytes read and written, sockets included
}

// sampleProcess reads a process's resource use so far. It returns zeros for a process that has exited.
func sampleProcess(pid int) ProcessSample {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	var s ProcessSample
	stat, _ := os.ReadFile(filepath.Join(dir, "stat")) // gone: zeros
	// The fields follow the process name, which may contain any character and ends with the last parenthesis.
	if fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:])); len(fields) > 12 {
		s.CPU = (parseNumber(fields[11]) + parseNumber(fields[12])) / ticksPerSecond
	}
	s.Memory = readField(filepath.Join(dir, "status"), "VmRSS:") / 1024
	s.In, s.Out = readField(filepath.Join(dir, "io"), "rchar:"), readField(filepath.Join(dir, "io"), "wchar:")
	if fds, err := os.ReadDir(filepath.Join(dir, "fd")); err == nil {
		s.Files = len(fds)
	}
	return s
}

// parseNumber parses a number; a malformed one counts as 0.
func parseNumber(s string) float64 {
	x, _ := strconv.ParseFloat(s, 64)
	return x
}

// readField returns the number in the first line of a file that begins with a word, or 0.
func readField(path, word string) float64 {
	data, _ := os.ReadFile(path)
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, word); ok {
			if f := strings.Fields(rest); len(f) > 0 {
				return parseNumber(f[0])
			}
		}
	}
	return 0
}

// machineBusySeconds returns the processor time in seconds that the whole machine has spent since boot.
func machineBusySeconds() float64 {
	data, _ := os.ReadFile("/proc/stat")
	line, _, _ := strings.Cut(string(data), "\n")
	busy := 0.0
	for i, f := range strings.Fields(line) {
		if i > 0 && i != 4 && i != 5 && i < 9 { // without idle and iowait; guest time is part of user time
			busy += parseNumber(f)
		}
	}
	return busy / ticksPerSecond
}

// Usage is a process's resource use over the measured time.
type Usage struct {
	Name   string  `json:"name"`
	Cores  float64 `json:"cores"`         // mean
	Memory float64 `json:"memory_mb"`     // maximum
	Files  int     `json:"open_files"`    // maximum
	In     float64 `json:"read_per_s"`    // bytes
	Out    float64 `json:"written_per_s"` // bytes
}

// processMonitor samples a process's resource use.
type processMonitor struct {
	name  string
	pid   int
	first ProcessSample
	began time.Time
	use   Usage
	last  ProcessSample
	// Use of killed processes of the same controller that were monitored before this one.
	earlier ProcessSample
}

// start resets the monitor and takes the first sample.
func (m *processMonitor) start() {
	m.first, m.began = sampleProcess(m.pid), time.Now()
	m.last, m.earlier, m.use = m.first, ProcessSample{}, Usage{Name: m.name}
}

// follow continues with a process that replaced the monitored one.
func (m *processMonitor) follow(pid int) {
	if m.pid != pid {
		m.earlier.CPU += m.last.CPU - m.first.CPU
		m.earlier.In += m.last.In - m.first.In
		m.earlier.Out += m.last.Out - m.first.Out
		m.pid, m.first = pid, ProcessSample{}
		m.last = ProcessSample{}
	}
}

// sample updates the use until now.
func (m *processMonitor) sample() {
	s := sampleProcess(m.pid)
	if s.CPU < m.last.CPU {
		return // the process has exited
	}
	m.last = s
	seconds := max(time.Since(m.began).Seconds(), 1e-3)
	m.use.Name = m.name
	m.use.Cores = (m.earlier.CPU + s.CPU - m.first.CPU) / seconds
	m.use.In = (m.earlier.In + s.In - m.first.In) / seconds
	m.use.Out = (m.earlier.Out + s.Out - m.first.Out) / seconds
	m.use.Memory = max(m.use.Memory, s.Memory)
	m.use.Files = max(m.use.Files, s.Files)
}

func (u Usage) String() string {
	return fmt.Sprintf("%s %.2f cores %.0f MB %d files", u.Name, u.Cores, u.Memory, u.Files)
}

// countCPUs returns the number of processors of the machine, including those that this process may not use.
func countCPUs() (count int) {
	data, _ := os.ReadFile("/proc/cpuinfo")
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "processor") {
			count++
		}
	}
	return count
}
