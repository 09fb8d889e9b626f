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
func (w *processMonitor) start() {
	w.first, w.began = sampleProcess(w.pid), time.Now()
	w.last, w.earlier, w.use = w.first, ProcessSample{}, Usage{Name: w.name}
}

// follow continues with a process that replaced the monitored one.
func (w *processMonitor) follow(pid int) {
	if w.pid != pid {
		w.earlier.CPU += w.last.CPU - w.first.CPU
		w.earlier.In += w.last.In - w.first.In
		w.earlier.Out += w.last.Out - w.first.Out
		w.pid, w.first = pid, ProcessSample{}
		w.last = ProcessSample{}
	}
}

// sample updates the use until now.
func (w *processMonitor) sample() {
	s := sampleProcess(w.pid)
	if s.CPU < w.last.CPU {
		return // the process has exited
	}
	w.last = s
	seconds := max(time.Since(w.began).Seconds(), 1e-3)
	w.use.Name = w.name
	w.use.Cores = (w.earlier.CPU + s.CPU - w.first.CPU) / seconds
	w.use.In = (w.earlier.In + s.In - w.first.In) / seconds
	w.use.Out = (w.earlier.Out + s.Out - w.first.Out) / seconds
	w.use.Memory = max(w.use.Memory, s.Memory)
	w.use.Files = max(w.use.Files, s.Files)
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
