package controller

import (
	"maps"
	"slices"
	"time"

	"topazhollow/internal/httpx"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// After an end of all controllers the full barrier waits for every registered machine. Each of them
// sends its next report over a connection that is gone, and then to a controller that redirects it to its home:
// the last of a thousand took six seconds. The cloud's list has their addresses. So the fleet's owner sends these
// to the homes, which probe the machines: a /do without commands carries the term to an agent, and its
// answer is a report under that term, which is what the barrier waits for.

const (
	// maxOpenProbes is how many machines a controller probes at a time.
	maxOpenProbes = 24
	// probeTimeout is how long a machine may take to answer a probe.
	probeTimeout = 1500 * time.Millisecond
	// probeTries is how often a machine is asked: a second time if it is in another incarnation.
	probeTries = 2
	// probeAnswerSize is how many bytes an answer has at most.
	probeAnswerSize = 1 << 20
)

// barrierProbes is the probes of one term.
type barrierProbes struct {
	shards.Probes
	slots chan struct{} // one element for each probe under way in the term
}

// probeAwaited has the homes of all machines that a barrier waits for probe them.
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
		n.probes.slots = make(chan struct{}, maxOpenProbes)
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

// knowsTerm says whether a machine is gone, or reported under a term or a later one.
func (m *machine) knowsTerm(term uint64) bool {
	return m.gone || m.status != nil && m.status.FencingToken >= term
}

// probeMachine asks one machine for its report.
func (n *Node) probeMachine(term uint64, name, addr string, incarnation uint64) {
	link := httpx.NewClientConn(addr, probeAnswerSize)
	defer link.Close()
	for range probeTries {
		if !n.probeNeeded(term, name) {
			return
		}
		probe := protocol.DirectCommands{FencingToken: term, Incarnation: incarnation, Commands: []protocol.Command{}}
		body := protocol.Encode(probe)
		resp, _, err := link.Do(n.ctx, "POST", protocol.PathCommands, body, probeTimeout)
		var report protocol.Heartbeat
		answered := err == nil && readProbeAnswer(resp, name, &report)
		n.takeProbeAnswer(term, name, &report, answered)
		if !answered || resp.Status == 200 || report.FencingToken > term {
			return
		}
		incarnation = report.Incarnation
	}
}

// probeNeeded says whether a machine has to be asked yet: meanwhile it may have reported by
// itself, or the term may be another.
func (n *Node) probeNeeded(term uint64, name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.probes.Term() == term && n.entitled(time.Now()) && n.leadership.Term() == term
	return current && !n.machine(name).knowsTerm(term)
}

// readProbeAnswer reads the report that a machine of that name answered with.
func readProbeAnswer(resp *httpx.Response, name string, report *protocol.Heartbeat) bool {
	if resp.Status != 200 && resp.Status != 409 {
		return false
	}
	return protocol.Decode(resp.Body, report) == nil && protocol.CheckHeartbeat(report) == nil && report.Machine == name
}

// takeProbeAnswer takes in the report that a machine answered with, or that it did not answer.
func (n *Node) takeProbeAnswer(term uint64, name string, report *protocol.Heartbeat, answered bool) {
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

// unanswered lists the machines homed here that did not answer a probe and have not reported since.
func (n *Node) unanswered() []string {
	return n.probes.Unanswered(func(name string, term uint64) bool { return n.machine(name).knowsTerm(term) })
}
