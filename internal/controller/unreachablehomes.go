package controller

import (
	"context"
	"slices"
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/httpx"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// Agents that don't reach their home controller come to another one. internal/agents decides what becomes of them, and
// which controller can't be reached; a controller that is held to be unreachable probes here whether it still is.

// agentTiming is what the decisions about agents count with.
func agentTiming(s *settings.Settings) agents.Timing {
	overdue := settings.Seconds(s.Deployment.Agents.HeartbeatSeconds)*5/4 + time.Second
	return agents.Timing{
		HeartbeatOverdue: overdue,
		RedirectTimeout:  overdue + heartbeatAnswerTime,
		Lease:            settings.Seconds(s.Deployment.Agents.LeaseSeconds),
	}
}

// routeMisdirected decides whether an agent that should have gone to its home is sent there or kept alive here.
func (n *Node) routeMisdirected(home, machine string, now time.Time) agents.Route {
	p := n.peers[home]
	if p == nil {
		return agents.RedirectHome
	}
	return n.unreachableHomes.Route(agents.Misdirected{
		Machine:       machine,
		Home:          home,
		HomeConnected: p.isReachable(now),
		HomeHeardAt:   n.machine(machine).HomeHeardAt,
		SettledAt:     n.leadership.StableSince(),
	}, now)
}

// machineHomes is the controller as agents.UnreachableHomes sees it.
type machineHomes struct{ n *Node }

func (h machineHomes) HomeOf(machine string) string { return h.n.homeOf(machine) }

func (h machineHomes) ReachedHomeAt(machine string) time.Time {
	return later(h.n.machine(machine).HomeHeardAt, h.n.leadership.StableSince())
}

func (h machineHomes) CountOf(home string) (count int) {
	for name, m := range h.n.machines {
		if !m.gone && m.status != nil && h.n.homeOf(name) == home {
			count++
		}
	}
	return count
}

// Times of probing whether agents can be reached.
const (
	probeInterval     = time.Second
	probeRequestTime  = time.Second
	probedAgentSilent = 5 * time.Second // an agent that was silent for longer is not probed
	probesToRecover   = 3               // successful ones in a row
	maxProbeResponse  = 1 << 20         // bytes
)

// probeOwnReachability asks an agent for its status while this controller is held to be unreachable by agents, and notes
// when it is reachable again.
func (n *Node) probeOwnReachability(ctx context.Context) error {
	succeeded := 0
	for sleep(ctx, probeInterval) {
		addr, due := n.agentToProbe()
		if !due || !probeAgent(ctx, addr) {
			succeeded = 0
			continue
		}
		if succeeded++; succeeded >= probesToRecover {
			n.mu.Lock()
			n.leadership.AgentsReached()
			n.mu.Unlock()
		}
	}
	return nil
}

// agentToProbe returns the address of an agent that is alive, if this controller is held to be unreachable.
func (n *Node) agentToProbe() (addr string, due bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership.Record() == nil || !slices.Contains(n.leadership.Record().Unreachable, n.name) {
		return "", false
	}
	for _, m := range n.machines {
		if m.status != nil && !m.gone && time.Since(m.HeardAt) < probedAgentSilent {
			return m.status.Addr, m.status.Addr != ""
		}
	}
	return "", false
}

func probeAgent(ctx context.Context, addr string) bool {
	conn := httpx.NewClientConn(addr, maxProbeResponse)
	defer conn.Close()
	resp, _, err := conn.Do(ctx, "GET", protocol.PathInspect, nil, probeRequestTime)
	return err == nil && resp.Status == 200
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
