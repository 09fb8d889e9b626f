package controller

import (
	"maps"
	"slices"
	"time"

	"topazhollow/internal/httpx"
	"topazhollow/internal/protocol"
)

// After an end of all controllers the full barrier waits for every registered machine, and
// each comes only with its next report, by way of a connection that is gone and of a
// controller that sends it home: six seconds for the last of a thousand. The cloud's list has
// their addresses. So the fleet's owner tells the homes, and these probe the machines: a /do
// without commands teaches a worker the term, and its answer is a report that knows it, which
// is what the barrier waits for.

// probeKind names probeMsg between controllers. The word is older than the type's name, and
// stays as controllers of both versions may run beside each other.
const probeKind = "knock"

// probeMsg tells homes the addresses of machines that barriers wait for.
type probeMsg struct {
	Addrs map[string]string `json:"addrs"`
}

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

// barrierProbes is what a controller knows of its probes in one term.
type barrierProbes struct {
	term       uint64
	asked      map[string]bool // probed, or to be probed
	unanswered map[string]bool
	turns      chan struct{} // holds one element for each probe under way
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
	n.tellAll(probeKind, probeMsg{addrs})
	n.onProbe(addrs, time.Now())
}

// onProbe probes the machines homed here that were not heard in this term.
func (n *Node) onProbe(addrs map[string]string, now time.Time) {
	if !n.entitled(now) {
		return
	}
	if n.probes.term != n.record.Term {
		n.probes = barrierProbes{term: n.record.Term, asked: map[string]bool{}, unanswered: map[string]bool{}, turns: make(chan struct{}, maxOpenProbes)}
	}
	probes := n.probes
	for _, name := range slices.Sorted(maps.Keys(addrs)) {
		m := n.machine(name)
		if probes.asked[name] || n.homeOf(name) != n.name || m.knowsTerm(probes.term) {
			continue
		}
		probes.asked[name] = true
		session := uint64(1)
		if m.status != nil {
			session = m.status.Incarnation
		}
		n.group.Go(func() error {
			select {
			case probes.turns <- struct{}{}:
				n.probeMachine(probes, name, addrs[name], session)
				<-probes.turns
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
func (n *Node) probeMachine(probes barrierProbes, name, addr string, session uint64) {
	link := httpx.NewLink(addr, probeAnswerSize)
	defer link.Close()
	for range probeTries {
		if !n.probeNeeded(probes, name) {
			return
		}
		body := protocol.Encode(protocol.DirectCommands{FencingToken: probes.term, Incarnation: session, Commands: []protocol.Command{}})
		resp, _, err := link.Do(n.ctx, "POST", protocol.PathDo, body, probeTimeout)
		var report protocol.Heartbeat
		answered := err == nil && readProbeAnswer(resp, name, &report)
		n.takeProbeAnswer(probes, name, &report, answered)
		if !answered || resp.Status == 200 || report.FencingToken > probes.term {
			return
		}
		session = report.Incarnation
	}
}

// probeNeeded says whether a machine has still to be asked: meanwhile it may have come by
// itself, or the term may be another.
func (n *Node) probeNeeded(probes barrierProbes, name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.probes.term == probes.term && n.entitled(time.Now()) && n.record.Term == probes.term
	return current && !n.machine(name).knowsTerm(probes.term)
}

// readProbeAnswer reads the report that a machine of that name answered with.
func readProbeAnswer(resp *httpx.Response, name string, report *protocol.Heartbeat) bool {
	if resp.Status != 200 && resp.Status != 409 {
		return false
	}
	return protocol.Decode(resp.Body, report) == nil && protocol.CheckHeartbeat(report) == nil && report.Machine == name
}

// takeProbeAnswer takes in the report that a machine answered with, or that it did not answer.
func (n *Node) takeProbeAnswer(probes barrierProbes, name string, report *protocol.Heartbeat, answered bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.probes.term != probes.term || n.record.Term != probes.term {
		return
	}
	if !answered {
		probes.unanswered[name] = true
		return
	}
	n.applyResponse(report, time.Now())
	n.publishStatus(name)
	n.sendChangedStatuses()
}

// unanswered lists the machines homed here that did not answer a probe and were not heard
// since.
func (n *Node) unanswered() (names []string) {
	for name := range n.probes.unanswered {
		if !n.machine(name).knowsTerm(n.probes.term) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
