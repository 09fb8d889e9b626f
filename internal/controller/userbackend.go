package controller

import (
	"context"
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/userapi"
)

// userBackend is the controller as the users' frontend sees it.
type userBackend Node

func (b *userBackend) Types() []protocol.MachineType {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.machineTypes
}

func (b *userBackend) Progress(uid string) (done, running int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := (*Node)(b)
	j := n.jobs[uid]
	if j == nil {
		return 0, 0
	}
	if shard := n.shards.OfTeam(j.spec.Team); shard != nil {
		return shard.Team().Progress(uid)
	}
	for _, p := range n.peers {
		if v, ok := p.progress[uid]; ok {
			return v[0], v[1]
		}
	}
	return 0, 0
}

func (b *userBackend) Active(ctx context.Context, uid string) bool {
	n := (*Node)(b)
	n.mu.Lock()
	j := n.jobs[uid]
	likely := j != nil && j.active && j.version > 0
	n.mu.Unlock()
	if !likely || n.waitForChanges(ctx) != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	// What the store lost is no key of it, so that what is followed cannot tell its end.
	// Before memories are gathered a peer may know the end of one that the store has.
	return j.active && j.version > 0 && n.trusted() && n.memoriesGathered(time.Now())
}

func (b *userBackend) Trusted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := (*Node)(b)
	// Before the first control record no change rests on a generation, and a loss cannot be told
	// from the deployment's beginning: nothing is accepted yet.
	return n.watchedKeysRead && n.record != nil && n.trusted() && n.memoriesGathered(time.Now())
}

func (b *userBackend) Remembers(uid string) (userapi.Stored, uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.jobs[uid]
	if j == nil || !j.active {
		return userapi.Stored{}, 0, false
	}
	return userapi.Stored{Spec: j.spec, At: j.submittedAt.UnixMilli()}, j.version, true
}

// Certain says whether a job that neither the store nor anybody here knows was never
// accepted: all ends were read, this process had time to hear what machines know of
// an earlier store, and nothing was lost for good.
// All that is followed is read up to now first.
func (b *userBackend) Certain(ctx context.Context) bool {
	n := (*Node)(b)
	if n.waitForChanges(ctx) != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return n.trusted() && n.watchedKeysRead && n.record != nil && !n.record.DataLost && n.memoriesGathered(time.Now()) && n.allPeersExchanged(time.Now()) && len(n.endLookups) == 0 &&
		time.Since(n.startedAt) > 2*settings.Seconds(n.settings.Deployment.Agents.HeartbeatSeconds)+time.Second
}

// Missing has the store looked at before it is doubted: what looks like a loss is far more
// often a change that this controller is about to hear of, and a doubt stops everything.
func (b *userBackend) Missing(uid string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := (*Node)(b)
	if j := n.jobs[uid]; j != nil && j.active && j.version > 0 && n.trusted() {
		n.recovery.detection.SuspectKey(userapi.JobKey+uid, j.version)
	}
}

func (b *userBackend) Hold(ctx context.Context, job *userapi.Stored, uid string, end userapi.Final) {
	m := replicateFactMsg{Job: job}
	if job == nil {
		m.Ends = []jobEnd{{uid, end}}
	}
	(*Node)(b).replicateFact(ctx, m)
}

func (b *userBackend) Confirming(uid string, end userapi.Final) {
	b.mu.Lock()
	defer b.mu.Unlock()
	(*Node)(b).announceCancellation(uid, end)
}

func (b *userBackend) Accepted(s userapi.Stored, version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	(*Node)(b).logFirst("first submission accepted", time.Now())
	(*Node)(b).learnJob(s, version)
}

func (b *userBackend) Ended(uid string, final userapi.Final) {
	b.mu.Lock()
	defer b.mu.Unlock()
	(*Node)(b).endJob(uid)
}

func (b *userBackend) Healthy() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := (*Node)(b)
	now := time.Now()
	if n.machineTypes == nil {
		return false
	}
	if n.lease.Valid(now) {
		return true
	}
	// Without the state service nothing can be answered, but when no other
	// controller is better off there is nobody to send users to. One that hears none for a while
	// must be taken for the only one that is cut off: its users could ask for as long as that
	// takes and get no answer, while the others serve.
	alone := len(n.peers) > 0
	for _, p := range n.peers {
		if p.holdsLease && p.isReachable(now) {
			return false
		}
		alone = alone && now.Sub(p.lastMessageAt) > aloneAfter
	}
	return !alone && now.Sub(n.startedAt) > 5*time.Second
}

// aloneAfter is after what silence of all peers a controller without a lease sends its users away.
const aloneAfter = 5 * time.Second

// Admit says whether a new job can be taken now by what the state service has room for.
func (b *userBackend) Admit(s *protocol.Submission) (taken bool, back int) {
	n := (*Node)(b)
	wait, rate := n.kvStore.Pressure()
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	taken, after := n.admission.door.Ask(keyOf(s), s.UID, wait, rate, now)
	n.admission.served.Book(keyOf(s), now, func(c *admission.Count) {
		if c.Asked++; taken {
			c.Accepted++
		} else {
			c.Refused++
		}
	})
	return taken, int(after / time.Second)
}
