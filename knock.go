package topazhollow

import (
	"context"
	"maps"
	"slices"
	"time"

	"topazhollow/internal/httpx"
	"topazhollow/internal/wire"
)

// After an end of all controllers the full barrier waits for every registered
// machine, and each comes only with its next report, by way of a connection that is
// gone and of a controller that sends it home: six seconds for the last of a
// thousand. The cloud's list has their addresses. So the fleet's owner tells the
// homes, and these knock: a /do without commands teaches a worker the term, and its
// answer is a report that knows it, which is what the barrier waits for.

// knockMsg tells homes the addresses of machines that barriers wait for.
type knockMsg struct {
	Addrs map[string]string `json:"addrs"`
}

// knocks bounds how many machines a controller knocks at at a time, and
// knockTimeout how long one may take to answer.
const (
	knocks       = 24
	knockTimeout = 1500 * time.Millisecond
)

// knocking is what a controller knows of its knocks in one term.
type knocking struct {
	term uint64
	at   map[string]bool // asked, or being asked
	mute map[string]bool // did not answer
	busy chan struct{}
}

// knockAll has the homes of all machines that a barrier waits for knock at them.
func (n *Node) knockAll(list map[string]wire.Host, awaited map[string]bool) {
	addrs := map[string]string{}
	for name := range awaited {
		if h, ok := list[name]; ok && h.State == wire.HostRunning && h.Addr != "" {
			addrs[name] = h.Addr
		}
	}
	if len(addrs) == 0 {
		return
	}
	n.tellAll("knock", knockMsg{addrs})
	n.onKnock(addrs, time.Now())
}

// onKnock knocks at the machines homed here that were not heard in this term.
func (n *Node) onKnock(addrs map[string]string, now time.Time) {
	if !n.entitled(now) {
		return
	}
	if n.knocked.term != n.record.Term {
		n.knocked = knocking{term: n.record.Term, at: map[string]bool{}, mute: map[string]bool{}, busy: make(chan struct{}, knocks)}
	}
	k := n.knocked
	for _, name := range slices.Sorted(maps.Keys(addrs)) {
		m := n.machine(name)
		if k.at[name] || m.gone || n.homeOf(name) != n.name || (m.view != nil && m.view.Token >= k.term) {
			continue
		}
		k.at[name] = true
		session := uint64(1)
		if m.view != nil {
			session = m.view.Session
		}
		n.group.Go(func() error {
			select {
			case k.busy <- struct{}{}:
				n.knock(n.ctx, k, name, addrs[name], session)
				<-k.busy
			case <-n.ctx.Done():
			}
			return nil
		})
	}
}

// knock asks one machine; a second time if it is in another session.
func (n *Node) knock(ctx context.Context, k knocking, name, addr string, session uint64) {
	link := httpx.NewLink(addr, 1<<20)
	defer link.Close()
	for range 2 {
		n.mu.Lock()
		// Meanwhile it may have come by itself, or the term may be another.
		m := n.machine(name)
		over := m.gone || n.knocked.term != k.term || !n.entitled(time.Now()) || n.record.Term != k.term || (m.view != nil && m.view.Token >= k.term)
		n.mu.Unlock()
		if over {
			return
		}
		resp, _, err := link.Do(ctx, "POST", wire.PathDo, wire.Encode(wire.Direct{Token: k.term, Session: session, Commands: []wire.Command{}}), knockTimeout)
		var r wire.Report
		answered := err == nil && (resp.Status == 200 || resp.Status == 409) && wire.Decode(resp.Body, &r) == nil && wire.CheckReport(&r) == nil && r.Machine == name
		n.mu.Lock()
		if n.knocked.term == k.term && n.record.Term == k.term {
			if answered {
				n.hearAnswer(&r, time.Now())
				n.noteView(name)
				n.tellViews()
			} else {
				k.mute[name] = true
			}
		}
		n.mu.Unlock()
		if !answered || resp.Status == 200 || r.Token > k.term {
			return
		}
		session = r.Session
	}
}

// mute lists the machines homed here that did not answer a knock and were not heard
// since.
func (n *Node) mute() (names []string) {
	for name := range n.knocked.mute {
		if m := n.machine(name); !m.gone && (m.view == nil || m.view.Token < n.knocked.term) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
