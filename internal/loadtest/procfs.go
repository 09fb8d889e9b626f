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

// ticksPerSecond is the unit of processor time in /proc (proc(5)): always 100 for programs
// on Linux.
const ticksPerSecond = 100

// ProcessSample is what a process had used at a moment.
type ProcessSample struct {
	CPU     float64 // seconds of processor time
	Memory  float64 // resident, MB
	Files   int     // open files, nearly all of them sockets
	In, Out float64 // bytes read and written, sockets included
}

// sampleProcess reads what a process has used so far. A process that is gone has used nothing.
func sampleProcess(pid int) ProcessSample {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	var s ProcessSample
	stat, _ := os.ReadFile(filepath.Join(dir, "stat")) // gone: zeros
	// After the name, which may hold anything and ends with the last parenthesis.
	if fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:])); len(fields) > 12 {
		s.CPU = (number(fields[11]) + number(fields[12])) / ticksPerSecond
	}
	s.Memory = field(filepath.Join(dir, "status"), "VmRSS:") / 1024
	s.In, s.Out = field(filepath.Join(dir, "io"), "rchar:"), field(filepath.Join(dir, "io"), "wchar:")
	if fds, err := os.ReadDir(filepath.Join(dir, "fd")); err == nil {
		s.Files = len(fds)
	}
	return s
}

// number reads a number; a malformed one counts as 0.
func number(s string) float64 {
	x, _ := strconv.ParseFloat(s, 64)
	return x
}

// field reads the number after a word at the beginning of a line, or 0.
func field(path, word string) float64 {
	data, _ := os.ReadFile(path)
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, word); ok {
			if f := strings.Fields(rest); len(f) > 0 {
				return number(f[0])
			}
		}
	}
	return 0
}

// machineBusy is how many seconds of processor time the whole machine has spent since it
// started.
func machineBusy() float64 {
	data, _ := os.ReadFile("/proc/stat")
	line, _, _ := strings.Cut(string(data), "\n")
	busy := 0.0
	for i, f := range strings.Fields(line) {
		if i > 0 && i != 4 && i != 5 && i < 9 { // idle and waiting for disks aside
			busy += number(f)
		}
	}
	return busy / ticksPerSecond
}

// Usage is what a process used over the measured time.
type Usage struct {
	Name   string  `json:"name"`
	Cores  float64 `json:"cores"`         // mean
	Memory float64 `json:"memory_mb"`     // most
	Files  int     `json:"open_files"`    // most
	In     float64 `json:"read_per_s"`    // bytes
	Out    float64 `json:"written_per_s"` // bytes
}

// watched is a process that is sampled.
type watched struct {
	name  string
	pid   int
	first ProcessSample
	began time.Time
	use   Usage
	now   ProcessSample
	// What earlier processes of the same name used, after a kill.
	earlier ProcessSample
}

// begin starts to measure.
func (w *watched) begin() {
	w.first, w.began = sampleProcess(w.pid), time.Now()
	w.now, w.earlier, w.use = w.first, ProcessSample{}, Usage{Name: w.name}
}

// replaced follows another process in place of the one that ended.
func (w *watched) replaced(pid int) {
	if w.pid != pid {
		w.earlier.CPU += w.now.CPU - w.first.CPU
		w.earlier.In += w.now.In - w.first.In
		w.earlier.Out += w.now.Out - w.first.Out
		w.pid, w.first = pid, ProcessSample{}
		w.now = ProcessSample{}
	}
}

// sample measures what was used until now.
func (w *watched) sample() {
	s := sampleProcess(w.pid)
	if s.CPU < w.now.CPU {
		return // it has ended
	}
	w.now = s
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

// countCPUs is how many processors the machine has, whichever this process may use.
func countCPUs() (count int) {
	data, _ := os.ReadFile("/proc/cpuinfo")
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "processor") {
			count++
		}
	}
	return count
}
