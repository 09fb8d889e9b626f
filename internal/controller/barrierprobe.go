package controller

import (
	"maps"
	"slices"
	"time"

	"topazhollow/internal/httpx"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// After an end of all controllers the full barrier waits for every registered machine, and
// each comes only with its next report, by way of a connection that is gone and of a
// controller that sends it home: six seconds for the last of a thousand. The cloud's list has
// their addresses. So the fleet's owner tells the homes, and these probe the machines: a /do
// without commands teaches a worker the term, and its answer is a report that knows it, which
// is what the barrier waits for.

const (
	// maxOpenProbes is how many machines a controller probes at a time.
	maxOpenProbes = 24
	// probeTimeout is how long a machine may take to answer a probe.
	probeTimeout = 1500 * time.Millisecond
	// probeTries is how often a machine is asked: a second time if it is in another session.
	probeTries = 2
	// probeAnswerSize is how many bytes an answer has at most.
	probeAnswerSize = 1 << 20
)

// barrierProbes is the probes of one term.
type barrierProbes struct {
	shards.Probes
	turns chan struct{} // holds one element for each probe under way in the term
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

// onProbe probes the machines homed here that were not heard in this term.
func (n *Node) onProbe(addrs map[string]string, now time.Time) {
	if !n.entitled(now) {
		return
	}
	if n.probes.Begin(n.record.Term) {
		n.probes.turns = make(chan struct{}, maxOpenProbes)
	}
	term, turns := n.probes.Term(), n.probes.turns
	for _, name := range slices.Sorted(maps.Keys(addrs)) {
		m := n.machine(name)
		if n.homeOf(name) != n.name || m.knowsTerm(term) || !n.probes.Ask(name) {
			continue
		}
		incarnation := uint64(1)
		if m.status != nil {
			incarnation = m.status.Incarnation
		}
		n.group.Go(func() error {
			select {
			case turns <- struct{}{}:
				n.probeMachine(term, name, addrs[name], incarnation)
				<-turns
			case <-n.ctx.Done():
			}
			return nil
		})
	}
}

// knowsTerm says whether a machine is gone, or was heard with a report that knows a term.
func (m *machine) knowsTerm(term uint64) bool {
	return m.gone || m.status != nil && m.status.FencingToken >= term
}

// probeMachine asks one machine for its report.
func (n *Node) probeMachine(term uint64, name, addr string, incarnation uint64) {
	link := httpx.NewLink(addr, probeAnswerSize)
	defer link.Close()
	for range probeTries {
		if !n.probeNeeded(term, name) {
			return
		}
		body := protocol.Encode(protocol.DirectCommands{FencingToken: term, Incarnation: incarnation, Commands: []protocol.Command{}})
		resp, _, err := link.Do(n.ctx, "POST", protocol.PathDo, body, probeTimeout)
		var report protocol.Heartbeat
		answered := err == nil && readProbeAnswer(resp, name, &report)
		n.takeProbeAnswer(term, name, &report, answered)
		if !answered || resp.Status == 200 || report.FencingToken > term {
			return
		}
		incarnation = report.Incarnation
	}
}

// probeNeeded says whether a machine has still to be asked: meanwhile it may have come by
// itself, or the term may be another.
func (n *Node) probeNeeded(term uint64, name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.probes.Term() == term && n.entitled(time.Now()) && n.record.Term == term
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
	if n.probes.Term() != term || n.record.Term != term {
		return
	}
	if !answered {
		n.probes.NotAnswered(term, name)
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
