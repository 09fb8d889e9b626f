package controller

import (
	"maps"
	"slices"
	"time"

	"topazhollow/internal/httpx"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// Probes shorten the full barrier after a restart of all controllers, when it awaits every registered machine. Each
// machine sends its next report over a connection that is closed, and then to a controller that redirects it to its
// home; the last of a thousand machines reported after six seconds. The cloud's list has the machines' addresses, so
// the fleet's owner sends these to the home controllers, which probe the machines: a /do request without commands
// carries the term to an agent, and its answer is a report under that term, which is what the barrier awaits.

const (
	// maxConcurrentProbes is how many machines a controller probes at the same time.
	maxConcurrentProbes = 24
	// probeTimeout is how long a machine may take to answer a probe.
	probeTimeout = 1500 * time.Millisecond
	// probeAttempts is how often a machine is probed: again if its first answer names another incarnation.
	probeAttempts = 2
	// maxProbeAnswerBytes is the maximum size of an answer.
	maxProbeAnswerBytes = 1 << 20
)

// barrierProbes holds the probes of one term.
type barrierProbes struct {
	shards.Probes
	slots chan struct{} // semaphore: one element for each probe in progress
}

// probeAwaited makes the home controllers probe the awaited machines that run according to the cloud's list.
func (n *Node) probeAwaited(list map[string]protocol.Host, awaited map[string]bool) {
	addrs := map[string]string{}
	for name := range awaited {
		if h, ok := list[name]; ok && h.State == protocol.HostRunning && h.Addr != "" {
			addrs[name] = h.Addr
		}
	}
	if len(addrs) == 0 {
		return
	}
	n.broadcast(shards.KindProbe, shards.ProbeRequest{Addrs: addrs})
	n.onProbe(addrs, time.Now())
}

// onProbe probes the machines homed here that have not reported under this term.
func (n *Node) onProbe(addrs map[string]string, now time.Time) {
	if !n.entitled(now) {
		return
	}
	if n.probes.Begin(n.leadership.Term()) {
		n.probes.slots = make(chan struct{}, maxConcurrentProbes)
	}
	term, slots := n.probes.Term(), n.probes.slots
	for _, name := range slices.Sorted(maps.Keys(addrs)) {
		m := n.machine(name)
		if n.homeOf(name) != n.name || m.knowsTerm(term) || !n.probes.MarkProbed(name) {
			continue
		}
		incarnation := uint64(1)
		if m.status != nil {
			incarnation = m.status.Incarnation
		}
		n.group.Go(func() error {
			select {
			case slots <- struct{}{}:
				n.probeMachine(term, name, addrs[name], incarnation)
				<-slots
			case <-n.ctx.Done():
			}
			return nil
		})
	}
}

// knowsTerm reports whether a machine is gone or has reported under the given term or a later one.
func (m *machine) knowsTerm(term uint64) bool {
	return m.gone || m.status != nil && m.status.FencingToken >= term
}

// probeMachine requests a report from one machine.
func (n *Node) probeMachine(term uint64, name, addr string, incarnation uint64) {
	link := httpx.NewClientConn(addr, maxProbeAnswerBytes)
	defer link.Close()
	for range probeAttempts {
		if !n.probeNeeded(term, name) {
			return
		}
		probe := protocol.DirectCommands{FencingToken: term, Incarnation: incarnation, Commands: []protocol.Command{}}
		body := protocol.Encode(probe)
		resp, _, err := link.Do(n.ctx, "POST", protocol.PathCommands, body, probeTimeout)
		var report protocol.Heartbeat
		answered := err == nil && readProbeAnswer(resp, name, &report)
		n.handleProbeResult(term, name, &report, answered)
		if !answered || resp.Status == 200 || report.FencingToken > term {
			return
		}
		incarnation = report.Incarnation
	}
}

// probeNeeded reports whether a machine still has to be probed: it may have reported on its own, or the term may have
// changed.
func (n *Node) probeNeeded(term uint64, name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.probes.Term() == term && n.entitled(time.Now()) && n.leadership.Term() == term
	return current && !n.machine(name).knowsTerm(term)
}

// readProbeAnswer decodes the report in an answer. It returns false unless the report is valid and of the named
// machine.
func readProbeAnswer(resp *httpx.Response, name string, report *protocol.Heartbeat) bool {
	if resp.Status != 200 && resp.Status != 409 {
		return false
	}
	return protocol.Decode(resp.Body, report) == nil && protocol.CheckHeartbeat(report) == nil && report.Machine == name
}

// handleProbeResult applies the report that a machine answered with, or records that it did not answer.
func (n *Node) handleProbeResult(term uint64, name string, report *protocol.Heartbeat, answered bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.probes.Term() != term || n.leadership.Term() != term {
		return
	}
	if !answered {
		n.probes.MarkUnanswered(term, name)
		return
	}
	n.applyResponse(report, time.Now())
	n.publishStatus(name)
	n.sendChangedStatuses()
}

// unansweredProbes lists the machines homed here that did not answer a probe and have not reported since.
func (n *Node) unansweredProbes() []string {
	return n.probes.Unanswered(func(name string, term uint64) bool { return n.machine(name).knowsTerm(term) })
}
