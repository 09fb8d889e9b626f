package faultinjection

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
)

// process is a controller's process.
type process struct {
	cmd    *exec.Cmd
	killed bool
	ended  chan struct{} // closed when the process has exited
}

// start starts a controller's process, unless it is running.
func (g *region) start(i int) error {
	g.processMu.Lock()
	defer g.processMu.Unlock()
	if p := g.processes[i]; p != nil && p.running() {
		return nil // two faults that both killed it must not start it twice: a platform runs one process per controller
	}
	log, err := os.OpenFile(filepath.Join(g.dir, fmt.Sprintf("node-%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p := &process{cmd: exec.Command(g.program, "controller", "--config", g.config(i), "--script", filepath.Join(g.dir, "options.star")), ended: make(chan struct{})}
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	g.processes[i] = p
	go func() {
		defer close(p.ended)
		_ = p.cmd.Wait() // only the exit matters, not its status
	}()
	return nil
}

// ticksPerSecond is USER_HZ, the unit of processor time in /proc/PID/stat (proc(5)); it is always 100 on Linux.
const ticksPerSecond = 100

// usage returns the process's processor time in seconds and its peak memory in MB. Values that cannot be read are 0.
func (p *process) usage() (cpu, memory float64) {
	pid := p.cmd.Process.Pid
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	// The fields follow the process name, which may contain any character and ends with the last parenthesis.
	if fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:])); len(fields) > 12 {
		for _, f := range fields[11:13] {
			ticks, _ := strconv.ParseFloat(f, 64)
			cpu += ticks / ticksPerSecond
		}
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(status), "\n") {
		if kb, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			memory, _ = strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(kb), " kB"), 64)
			memory /= 1024
		}
	}
	return cpu, memory
}

// kill kills a controller's process with SIGKILL, if it is running, and waits until it has exited.
func (g *region) kill(i int) {
	g.processMu.Lock()
	defer g.processMu.Unlock()
	if p := g.processes[i]; p != nil && p.running() {
		p.killed = true
		_ = p.cmd.Process.Kill() // it may have exited already
		<-p.ended
	}
}

// running reports whether the process has neither exited nor been killed.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return !p.killed
	}
}

// process returns a controller's latest process.
func (g *region) process(i int) *process {
	g.processMu.Lock()
	defer g.processMu.Unlock()
	return g.processes[i]
}
