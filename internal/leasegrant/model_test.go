package leasegrant_test

import (
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/cancelwatermark"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
)

// The model: three controllers, the key-value store, two machines and one job of one task. Real are the watermark, the
// membership record and its repair, the controllers' leases, the owner's account, the machines' home and the decision about
// renewals. What internal/controller does between them is written down plainly here: in a step of time every controller
// reads the store, sends its peers two statuses, acts as owner and as home, and every machine sends a heartbeat. Between
// steps comes what may go wrong.
//
// Left out: what a loss of the store's data changes, changes of the record without an answer, hand-over of shards
// between live controllers, several shards, gangs, saving on a stop, images, room and quotas, gone machines, and
// members that are left out of the homes. Replicas reach all backups in sync at once or nothing is started.

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

// mutant leaves out a guard; empty: none.
type mutant string

type world struct {
	mutant        mutant
	agentLease    time.Duration // of agents
	now           time.Time
	store         store
	controllers   [3]*controller
	machines      [2]*machine
	replica       *jobstate.Replica // as the backups in sync hold it
	pathHeld      [2][3]bool        // packets between a machine and a controller are held
	unlinked      [3]bool           // a controller's links to its peers are down
	nextStartLate bool              // the next start is held up on its way
	heldUp        []commandRequest
	cancelled     bool      // the cancellation is written
	confirmedAt   time.Time // to the user; zero: not yet
	steps         int
	events        int
	usedEvents    uint64
	lastEvent     int
	broken        string
}

// store is the key-value store.
type store struct {
	revision uint64
	changes  []change
	record   *leadership.Record
	version  uint64
	live     map[string]leadership.Presence
	expires  map[string]time.Time
	down     bool
	refused  [3]bool
}

// change is one of a job's key.
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
	lateChanges    []change // read, but the answer is held up
	active         bool     // the job, as far as known
	known          bool
	ended          bool // remembered to have ended
	peers          [3]peer
	homeWatermarks [2]time.Time
	statuses       [2]*jobstate.MachineStatus
	account        *jobstate.Team
	sinceTerm      uint64
	awaited        [2]bool
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
	hung             bool
	unreachable      bool // its heartbeats arrive, what is sent to it is lost
	reportsTo        int  // to this controller
}

func machineName(i int) string { return [2]string{"n-000000", "n-000004"}[i] }

// newWorld is a deployment that runs, with the job accepted; running: its task runs already.
func newWorld(m mutant, running bool, lease time.Duration) *world {
	w := &world{mutant: m, agentLease: lease, now: time.Unix(10000, 0).UTC(), replica: jobstate.NewReplica()}
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
	if running {
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

// advance lets one step of time pass.
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

// expire ends the leases that expired, of controllers and agents.
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

// checkInvariants notes which invariant is broken now, if any.
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
		w.broken = "a task on a machine after its job's time"
	}
}
