package leasegrant_test

import (
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/cancelwatermark"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
)

// The model consists of three controllers, the state service, two machines and one job with one task. It uses the
// real watermark, membership record and its reconciliation, controller leases, team state of the owner, agent registry
// of the homes, and renewal decision. The work of internal/controller between them is reimplemented here in a simple
// form: in a step of time every controller reads the store, sends its peers two statuses and acts as owner and as home,
// and every machine sends a heartbeat. Failures and other events occur between the steps.
//
// Not modelled: the effects of a loss of the store's data, unanswered changes of the record, hand-over of shards
// between live controllers, several shards, gangs, checkpoints on a stop, images, capacity and quotas, removed
// machines, and members that are excluded from the homes. Deltas reach all in-sync replicas at once, or nothing is
// started.

const (
	step               = 3 * time.Second
	agentLease         = 9 * time.Second
	cancelTime         = 21 * time.Second
	controllerLease    = 5 * time.Second
	promiseTime        = 3 * time.Second
	confirmStopsWithin = 4 * time.Second
	team               = "team/red"
	jobUID             = "job-000001"
)

var names = [3]string{"a", "b", "c"}

// mutant names the guard that a run of the model leaves out; empty for none.
type mutant string

type world struct {
	mutant        mutant
	agentLease    time.Duration // TTL of agents' leases
	now           time.Time
	store         store
	controllers   [3]*controller
	machines      [2]*machine
	replica       *jobstate.Replica // as held by the replicas in sync
	pathHeld      [2][3]bool        // packets between a machine and a controller are delayed
	unlinked      [3]bool           // a controller's links to its peers are down
	nextStartLate bool              // the next start is delayed in flight
	heldUp        []commandRequest
	keepsCopies   bool
	answered      []commandRequest // with starts, executed and answered, if keepsCopies
	cancelled     bool             // the cancellation is written to the store
	confirmedAt   time.Time        // to the user; zero: not yet
	steps         int
	events        int    // number of events that occurred
	usedEvents    uint64 // bit set of the indices of these events
	lastEvent     int    // index after the last event since the last step
	broken        string // violated invariant; empty if none
}

// store models the state service.
type store struct {
	revision uint64
	changes  []change
	record   *leadership.Record
	version  uint64
	live     map[string]leadership.Presence
	expires  map[string]time.Time
	down     bool
	refused  [3]bool // controllers whose requests the store rejects
}

// change is a change of the job's key.
type change struct {
	revision uint64
	deleted  bool
}

type controller struct {
	index          int
	up             bool
	incarnation    uint64
	watermark      *cancelwatermark.Watermark
	home           *agents.Registry
	lease          leadership.Lease
	renewedAt      time.Time
	promisedUntil  time.Time
	restartsAt     time.Time
	record         *leadership.Record
	version        uint64
	live           map[string]leadership.Presence
	revision       uint64
	lateChanges    []change // read by the store, but the answer is delayed
	active         bool     // the job is active, as far as known
	known          bool     // the job's key was read, or its cancellation confirmed here
	ended          bool     // the job's cancellation was confirmed here or by a peer, even if its key was never read
	peers          [3]peer
	homeWatermarks [2]time.Time
	statuses       [2]*jobstate.MachineStatus
	teamState      *jobstate.Team // of the team that it owns; nil if it does not own it
	sinceTerm      uint64
	awaited        [2]bool // machines that the barrier waits for
}

type peer struct {
	incarnation     uint64
	statusAt        time.Time // of the last status
	promisedUntil   time.Time
	promisedVersion uint64
	entitled        bool
}

type machine struct {
	index            int
	incarnation, seq uint64
	token            uint64
	leaseRenewedAt   time.Time
	tasks            []protocol.TaskStatus
	hung             bool // neither executes nor sends anything
	unreachable      bool // its heartbeats arrive, but messages to it are lost
	reportsTo        int  // index of the controller that it reports to
}

func machineName(i int) string { return [2]string{"n-000000", "n-000004"}[i] }

// newWorld returns a running deployment with an accepted job, as a family's histories begin.
func newWorld(m mutant, f *family) *world {
	w := &world{mutant: m, agentLease: agentLease + f.longerLease, now: time.Unix(10000, 0).UTC(), replica: jobstate.NewReplica(), keepsCopies: f.keepsCopies}
	w.store = store{live: map[string]leadership.Presence{}, expires: map[string]time.Time{}}
	for i := range names {
		w.startController(i)
		w.store.revision++
		w.store.live[names[i]] = leadership.Presence{Incarnation: w.controllers[i].incarnation, Version: w.store.revision}
	}
	record := (&leadership.Record{Term: 10, Epoch: 1, FirstTerm: 10}).Clone()
	for i, name := range names {
		record.Nodes[name] = w.controllers[i].incarnation
	}
	record.Shards[team] = leadership.Shard{Owner: "b", SinceTerm: 10, InSync: []string{"a", "c"}}
	w.writeRecord(record)
	for i := range w.machines {
		w.machines[i] = &machine{index: i, incarnation: 1, leaseRenewedAt: w.now, reportsTo: i}
	}
	w.advance()
	if f.running {
		w.acceptJob()
		for range 3 {
			w.advance()
		}
		if len(w.machines[0].tasks) != 1 {
			panic("model: the task does not run")
		}
	} else {
		w.advance()
		w.acceptJob()
	}
	w.steps = 0
	return w
}

func (w *world) acceptJob() {
	w.store.revision++
	w.store.changes = append(w.store.changes, change{revision: w.store.revision})
}

func (w *world) writeRecord(record *leadership.Record) {
	w.store.revision++
	w.store.record, w.store.version = record, w.store.revision
}

// advance simulates one step of time.
func (w *world) advance() {
	w.now = w.now.Add(step)
	w.steps++
	w.lastEvent = 0
	w.expire()
	for _, c := range w.controllers {
		if !c.up && !w.now.Before(c.restartsAt) {
			w.startController(c.index)
		}
	}
	for _, c := range w.controllers {
		if c.up && w.served(c.index) {
			w.readStore(c)
		}
	}
	w.exchangeStatuses()
	w.exchangeStatuses()
	w.changeRecord()
	for _, c := range w.controllers {
		if c.up {
			w.actAsOwner(c)
		}
	}
	for _, c := range w.controllers {
		if c.up {
			w.sendCommands(c)
		}
	}
	for _, m := range w.machines {
		w.sendHeartbeat(m)
	}
	for _, c := range w.controllers {
		if c.up {
			w.stopOrphanedTasks(c)
			w.sendCommands(c)
		}
	}
	w.checkInvariants()
}

// expire removes the expired leases of controllers and agents.
func (w *world) expire() {
	if !w.store.down {
		for name, at := range w.store.expires {
			if w.now.After(at) {
				delete(w.store.expires, name)
				delete(w.store.live, name)
				w.store.revision++
			}
		}
	}
	for _, m := range w.machines {
		if w.now.Sub(m.leaseRenewedAt) > w.agentLease {
			m.incarnation, m.leaseRenewedAt, m.tasks = m.incarnation+1, w.now, nil
		}
	}
}

func (w *world) pastCancelTime() bool {
	return !w.confirmedAt.IsZero() && w.now.Sub(w.confirmedAt) > cancelTime
}

// checkInvariants records which invariant is currently violated, if any.
func (w *world) checkInvariants() {
	on := 0
	for _, m := range w.machines {
		for _, t := range m.tasks {
			if t.State != protocol.Exited {
				on++
			}
		}
	}
	switch {
	case on > 1:
		w.broken = "a task on two machines"
	case on > 0 && w.pastCancelTime():
		w.broken = "a task on a machine after the job's cancellation time"
	}
}
