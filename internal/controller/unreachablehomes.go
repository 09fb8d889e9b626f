package controller

import (
	"context"
	"slices"
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/httpx"
	"topazhollow/internal/instant"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// Agents that cannot reach their home send their heartbeats to another controller. agents.UnreachableHomes decides how
// these are answered and which home counts as unreachable. A controller that counts as unreachable probes whether
// agents can reach it again.

// agentTiming derives the timeouts of agents.UnreachableHomes from the settings.
func agentTiming(s *settings.Settings) agents.Timing {
	overdue := settings.Seconds(s.Deployment.Agents.HeartbeatSeconds)*5/4 + time.Second
	return agents.Timing{
		HeartbeatOverdue: overdue,
		RedirectTimeout:  overdue + heartbeatAnswerTimeout,
		Lease:            settings.Seconds(s.Deployment.Agents.LeaseSeconds),
	}
}

// routeMisdirected decides whether an agent with another home is redirected there or kept alive here.
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

// homesView is the view of the controller that agents.UnreachableHomes reads; it implements agents.Homes.
type homesView struct{ n *Node }

// HomeOf returns the home of a machine.
func (h homesView) HomeOf(machine string) string { return h.n.homeOf(machine) }

// ReachedHomeAt returns when a machine last reached its home, or when homes last changed if that was later.
func (h homesView) ReachedHomeAt(machine string) time.Time {
	return instant.Later(h.n.machine(machine).HomeHeardAt, h.n.leadership.StableSince())
}

// CountOf counts the machines with a home.
func (h homesView) CountOf(home string) (count int) {
	for name, m := range h.n.machines {
		if !m.gone && m.status != nil && h.n.homeOf(name) == home {
			count++
		}
	}
	return count
}

// Parameters of the probes that check whether this controller and agents can reach each other.
const (
	probeInterval     = time.Second
	probeRequestTime  = time.Second
	probedAgentSilent = 5 * time.Second // an agent that has been silent for longer is not probed
	probesToRecover   = 3               // successful ones in a row
	maxProbeResponse  = 1 << 20         // bytes
)

// probeOwnReachability probes an agent at every interval while this controller counts as unreachable for agents, and
// records when enough probes in a row have succeeded.
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

// agentToProbe returns the address of an agent that is alive, if this controller counts as unreachable.
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

// probeAgent returns whether an agent answers a request for its status.
func probeAgent(ctx context.Context, addr string) bool {
	conn := httpx.NewClientConn(addr, maxProbeResponse)
	defer conn.Close()
	resp, _, err := conn.Do(ctx, "GET", protocol.PathInspect, nil, probeRequestTime)
	return err == nil && resp.Status == 200
}
