package controller

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/settings"
)

// TestPromiseModel lets three controllers exchange statuses that arrive late but in order, while lease renewals fail or
// succeed and processes restart without state. A controller may act without a lease while it holds the promises of all
// others, so during that time none of them may raise the term.
func TestPromiseModel(t *testing.T) {
	type statusInFlight struct {
		from, to int
		inc      uint64
		body     statusMsg
		at       time.Time
	}
	held := 0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 11))
		names := []string{"node-a", "node-b", "node-c"}
		nodes := make([]*Node, 3)
		now := time.Now()
		inc := uint64(100)
		start := func(i int) {
			s := &settings.Settings{Name: names[i], Deployment: settings.Deployment{Agents: settings.Agents{HeartbeatSeconds: 1},
				KVStore: settings.KVStore{RequestsPerSecond: 9, ChangesPerSecond: 9, ChangesPerTransaction: 4, ValueKB: 4}, Cloud: settings.Cloud{RequestsPerSecond: 1}}}
			for _, p := range names {
				if p != names[i] {
					s.Peers = append(s.Peers, settings.Peer{Name: p})
				}
			}
			n := New(s, settings.DefaultOptions(), slog.New(slog.DiscardHandler))
			inc++
			n.incarnation, n.startedAt = inc, now
			newLeadership(n, now, slices.Collect(maps.Keys(n.peers))...)
			nodes[i] = n
		}
		for i := range names {
			start(i)
		}
		var inFlight []statusInFlight
		for range 1500 {
			now = now.Add(time.Duration(rng.IntN(60)) * time.Millisecond)
			i := rng.IntN(3)
			switch rng.IntN(12) {
			case 0:
				if rng.IntN(10) == 0 {
					nodes[i].leadership.LeaseRenewed(now)
				}
			case 1:
				if rng.IntN(6) == 0 {
					nodes[i].leadership.ChangeSent()
				} else {
					nodes[i].leadership.ChangeAnswered()
				}
			case 2:
				if rng.IntN(20) == 0 {
					start(i)
				}
			case 3, 4, 5, 6:
				body := nodes[i].status(now)
				for to := range nodes {
					if to != i {
						inFlight = append(inFlight, statusInFlight{i, to, nodes[i].incarnation, body, now.Add(time.Duration(rng.IntN(600)) * time.Millisecond)})
					}
				}
			default:
				for k, l := range inFlight {
					if !now.Before(l.at) {
						inFlight = append(inFlight[:k:k], inFlight[k+1:]...)
						n := nodes[l.to]
						p := n.peers[names[l.from]]
						if l.inc < p.incarnation {
							break // links drop messages of earlier processes
						}
						if p.incarnation != l.inc {
							p.incarnation, p.statusSentAt = l.inc, 0
						}
						p.lastMessageAt = now
						n.applyPromise(names[l.from], &l.body, now)
						n.applyPeerStatus(p, &l.body, now)
						break
					}
				}
			}
			for a, n := range nodes {
				if !n.leadership.HoldsPromises(now) {
					continue
				}
				held++
				for b, o := range nodes {
					if a != b && !now.Before(o.leadership.PromisedUntil()) {
						t.Fatalf("seed %d: %s holds a promise that %s no longer keeps", seed, names[a], names[b])
					}
				}
			}
		}
	}
	if held == 0 {
		t.Fatal("no controller ever held all promises")
	}
}
