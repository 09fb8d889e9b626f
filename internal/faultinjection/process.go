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

// process is a controller that runs, or ran.
type process struct {
	cmd    *exec.Cmd
	killed bool
	ended  chan struct{} // closed once it is gone
}

func (g *region) start(i int) error {
	g.turns.Lock()
	defer g.turns.Unlock()
	if p := g.nodes[i]; p != nil && p.runs() {
		return nil // two troubles that both ended it must not start it twice: a platform runs one process of a controller
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
	g.nodes[i] = p
	go func() {
		defer close(p.ended)
		_ = p.cmd.Wait() // how it ended does not matter, only that it did
	}()
	return nil
}

// ticksPerSecond is the unit of processor time in /proc/PID/stat (proc(5)): always 100 for
// programs on Linux.
const ticksPerSecond = 100

// used tells a process's processor time so far, in seconds, and the most memory that it
// held, in MB; zeros if the system does not tell.
func (p *process) used() (cpu, memory float64) {
	pid := p.cmd.Process.Pid
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	// After the name, which may hold anything and ends with the last parenthesis.
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

// kill ends a controller without a word.
func (g *region) kill(i int) {
	g.turns.Lock()
	defer g.turns.Unlock()
	if p := g.nodes[i]; p != nil && p.runs() {
		p.killed = true
		_ = p.cmd.Process.Kill() // it may have ended just now
		<-p.ended
	}
}

// runs says whether the process has not ended, and was not ended.
func (p *process) runs() bool {
	select {
	case <-p.ended:
		return false
	default:
		return !p.killed
	}
}

// node is a controller's process, the latest if there were several.
func (g *region) node(i int) *process {
	g.turns.Lock()
	defer g.turns.Unlock()
	return g.nodes[i]
}
