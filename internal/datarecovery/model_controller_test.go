package datarecovery

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"topazhollow/internal/leadership"
)

// stateGathered reports whether no reachable member is awaited.
func (w *world) stateGathered(n *controllerModel) bool {
	return n.exchange == nil || !w.connected(n)
}

// controllerModel is a controller that uses the decisions under test.
type controllerModel struct {
	name             string
	incarnation      uint64
	up               bool
	agreement        *Agreement
	record           *leadership.Record
	recordVersion    uint64 // version of the record's key
	epochKeyVersion  uint64
	seenRevision     uint64
	listed           bool
	presences        map[string]leadership.Presence
	jobs             map[string]uint64 // active jobs with their versions; 0: not in the store
	ends             *Ends
	exchange         *Exchange
	historyComplete  bool
	proved           bool             // a loss is proved by what others know
	assignments      map[string]int   // machine by job, as the owner knows it; nil: not the owner
	sinceTerm        uint64           // term of the ownership
	reportedMachines map[int]bool     // machines that reported since the owner entered the barrier; nil: no barrier
	reported         map[int][]string // jobs listed in the last report, by machine
	ready            bool
	startedAt        time.Time
}

// boot starts a controller without any state.
func (w *world) boot(n *controllerModel) {
	n.incarnation++
	*n = controllerModel{name: n.name, incarnation: n.incarnation, up: true, presences: map[string]leadership.Presence{}, jobs: map[string]uint64{}, ends: NewEnds(), startedAt: w.now}
	n.agreement = NewAgreement(n.name, []string{w.other(n).name}, 5*time.Second)
}

func (w *world) other(n *controllerModel) *controllerModel {
	if w.nodes[0] == n {
		return w.nodes[1]
	}
	return w.nodes[0]
}

func (n *controllerModel) trusts() bool {
	p, _, _ := n.agreement.Phase()
	return n.up && n.listed && p == Trusted
}

// wentBack reports whether the store's revision is lower than one that a controller saw before, and makes the
// controller suspect a loss then.
func (w *world) wentBack(n *controllerModel) bool {
	if w.guards.revisions && w.store.revision < n.seenRevision {
		n.agreement.Suspect("revision", w.now)
		return true
	}
	n.seenRevision = max(n.seenRevision, w.store.revision)
	return false
}

// commit performs a fenced transaction. Its result counts only if the store's revision did not go back.
func (w *world) commit(n *controllerModel, conditions map[string]uint64, sets map[string]string) bool {
	all := map[string]uint64{}
	for k, v := range conditions {
		all[k] = v
	}
	if w.guards.fence && n.record != nil {
		all[EpochKey+n.record.StoreID] = n.epochKeyVersion
	}
	failed := w.store.txn(all, sets)
	if w.wentBack(n) {
		return false
	}
	if n.record != nil && slices.Contains(failed, EpochKey+n.record.StoreID) {
		n.agreement.Suspect("fence", w.now)
	}
	return failed == nil
}

func (n *controllerModel) epoch() uint64 {
	if n.record == nil {
		return 0
	}
	return n.record.Epoch
}

func (n *controllerModel) assessment() Assessment {
	p, _, _ := n.agreement.Phase()
	x := Assessment{Epoch: n.epoch(), Revision: n.seenRevision, Incarnation: n.incarnation, HistoryComplete: n.historyComplete, SuspectsLoss: p == Suspected || p == Lost, ConfirmedLoss: p == Lost}
	if n.record != nil {
		x.Term = n.record.Term
	}
	return x
}

// adopt adopts a record, and takes over the shard if the record assigns it to this controller.
func (w *world) adopt(n *controllerModel, r *leadership.Record, version uint64) {
	next := n.record == nil || n.record.Epoch != r.Epoch
	n.record, n.recordVersion = r, version
	n.epochKeyVersion = w.store.keys[EpochKey+r.StoreID].version
	if next {
		n.agreement.Entered(r.Epoch, w.now)
		if r.Epoch > 1 && w.guards.exchange {
			var members []string
			for m := range r.Nodes {
				if m != n.name {
					members = append(members, m)
				}
			}
			n.exchange = NewExchange(r.Epoch, members)
		}
	}
	shard := r.Shards[modelShard]
	if shard.Owner != n.name || r.Nodes[n.name] != n.incarnation {
		n.assignments, n.ready, n.sinceTerm = nil, false, 0
	} else if n.sinceTerm != shard.SinceTerm {
		if shard.NeedsBarrier || n.assignments == nil {
			n.assignments = map[string]int{}
			n.reportedMachines, n.reported = map[int]bool{}, map[int][]string{}
		} else {
			n.reportedMachines = nil // no machine is awaited
		}
		n.sinceTerm, n.ready = shard.SinceTerm, false
	}
}

// list reads all watched keys, and enters their epoch if that is a later one.
func (w *world) list(n *controllerModel) {
	r, version := w.stored()
	if r != nil && r.Epoch > n.epoch() && w.store.keys[EpochKey+r.StoreID].version == 0 {
		return
	}
	if n.record == nil || r != nil && r.Epoch > n.epoch() {
		n.proved = false
		n.seenRevision, n.listed, n.presences = w.store.revision, true, w.presences()
		for _, uid := range sorted(n.jobs) {
			n.jobs[uid] = 0
		}
		if r != nil {
			w.adopt(n, r, version)
		} else {
			n.agreement.Entered(0, w.now)
		}
		for _, k := range sorted(w.store.keys) {
			c := w.store.keys[k]
			if uid, ok := strings.CutPrefix(k, "f/"); ok {
				n.ends.Add(End{UID: uid, Cancelled: c.value == "withdrawn", Tasks: 1})
				delete(n.jobs, uid)
			}
		}
		for _, k := range sorted(w.store.keys) {
			c := w.store.keys[k]
			if uid, ok := strings.CutPrefix(k, "w/a/"); ok {
				w.learn(n, uid, c.version)
			}
		}
		n.historyComplete = r == nil || !r.DataLost
		return
	}
	for _, x := range n.agreement.Assessments(w.now) {
		if p, _, _ := n.agreement.Phase(); x.Epoch > n.epoch() && p != Lost {
			n.proved, n.historyComplete = true, false
			n.agreement.Suspect("a controller knows a later generation", w.now)
		}
	}
	n.presences = w.presences()
}

// learn records an active job, unless its end is known.
func (w *world) learn(n *controllerModel, uid string, version uint64) {
	if _, ended := n.ends.Get(uid); ended {
		if version > 0 && w.guards.endBeatsActive { // a known end overrides an active key
			w.commit(n, map[string]uint64{"w/a/" + uid: version}, map[string]string{"w/a/" + uid: "", "f/" + uid: w.storedEnd(n, uid)})
		} else if version > 0 {
			n.jobs[uid] = version
		}
		return
	}
	n.jobs[uid] = max(n.jobs[uid], version)
}

func (w *world) storedEnd(n *controllerModel, uid string) string {
	if x, _ := n.ends.Get(uid); x.Cancelled {
		return "withdrawn"
	}
	return "done"
}

// learnEnd records an end.
func (w *world) learnEnd(n *controllerModel, uid string, withdrawn bool) {
	n.ends.Add(End{UID: uid, Cancelled: withdrawn, Tasks: 1})
	delete(n.jobs, uid)
}

// connected reports whether the controllers can communicate.
func (w *world) connected(n *controllerModel) bool { return !w.partitioned && n.up && w.other(n).up }

// follow applies changes of the store like the watch.
func (w *world) follow(n *controllerModel) {
	if !n.trusts() || w.wentBack(n) {
		return
	}
	if r, version := w.stored(); r != nil && r.Epoch > n.epoch() && n.record != nil {
		n.agreement.NewerEpochSeen(r.Epoch)
		return
	} else if r != nil && n.record != nil && (r.Epoch < n.record.Epoch || r.Term < n.record.Term) {
		n.agreement.Suspect("the record is older than the one known", w.now)
		return
	} else if r != nil && version > n.recordVersion {
		w.adopt(n, r, version)
	}
	n.presences = w.presences()
	for _, k := range sorted(w.store.keys) {
		c := w.store.keys[k]
		if uid, ok := strings.CutPrefix(k, "w/a/"); ok {
			w.learn(n, uid, c.version)
		}
	}
	for _, uid := range sorted(n.jobs) {
		version := n.jobs[uid] // its key was deleted by the change that wrote the end
		if c, ended := w.store.keys["f/"+uid]; ended && version > 0 {
			w.learnEnd(n, uid, c.value == "withdrawn")
		}
	}
}

// compareAcknowledged compares acknowledged keys after a suspicion.
func (w *world) compareAcknowledged(n *controllerModel) Comparison {
	if n.proved || w.store.revision < max(n.seenRevision, n.agreement.PeersRevision()) && w.guards.revisions {
		return Missing
	}
	r, _ := w.stored()
	if n.record != nil && (r == nil || r.Term < n.record.Term || w.store.keys[EpochKey+n.record.StoreID].version != n.epochKeyVersion) {
		return Missing
	}
	for _, uid := range sorted(n.jobs) {
		version := n.jobs[uid]
		_, ended := w.store.keys["f/"+uid]
		if version > 0 && !ended && w.store.keys["w/a/"+uid].version != version {
			return Missing
		}
	}
	return Intact
}

// stepController runs one step of a controller.
func (w *world) stepController(n *controllerModel) {
	if !n.up {
		return
	}
	if !n.listed {
		w.list(n)
		return
	}
	o := w.other(n)
	if w.connected(n) && w.rng.IntN(4) == 0 {
		o.agreement.PeerAssessed(n.name, n.assessment(), w.now)
	}
	if w.presences()[n.name].Incarnation != n.incarnation && w.rng.IntN(3) == 0 { // the lease renewal writes the presence key
		w.store.txn(map[string]uint64{"w/n/" + n.name: w.presences()[n.name].Version}, map[string]string{"w/n/" + n.name: fmt.Sprint(n.incarnation)})
	}
	w.stepAgreement(n)
	if !n.trusts() {
		return
	}
	if w.guards.compare && w.rng.IntN(20) == 0 && w.compareAcknowledged(n) == Missing {
		n.agreement.Suspect("comparison", w.now)
		return
	}
	if w.rng.IntN(2) == 0 {
		w.follow(n)
	}
	w.reconcileMembers(n)
	if n.exchange != nil {
		w.exchangeState(n)
	}
	w.actAsOwner(n)
}

// stepAgreement carries out the next action of the agreement.
func (w *world) stepAgreement(n *controllerModel) {
	term := uint64(0)
	if n.record != nil {
		term = n.record.Term
	}
	switch n.agreement.Step(w.now, term, func(name string) bool {
		p, ok := w.presences()[name]
		return ok && (name != n.name || p.Incarnation == n.incarnation)
	}) {
	case ActionCompare:
		n.agreement.Compared(w.compareAcknowledged(n), w.now)
	case ActionRelist:
		n.seenRevision = 0
		w.list(n)
	case ActionPropose:
		w.propose(n)
	}
	if p, _, _ := n.agreement.Phase(); p == Lost {
		w.list(n)
	}
	for _, x := range n.agreement.Assessments(w.now) { // a read that begins now must return a term that a peer knows
		if r, _ := w.stored(); n.record != nil && x.Epoch == n.epoch() && x.Term > n.record.Term && (r == nil || r.Term < x.Term) {
			n.proved, n.historyComplete = true, false
			n.agreement.Suspect("a controller knows a later term", w.now)
		}
	}
}

// exchangeState runs one step of an exchange in progress.
func (w *world) exchangeState(n *controllerModel) {
	o := w.other(n)
	if w.connected(n) && o.trusts() && o.epoch() == n.epoch() {
		for _, uid := range sorted(n.jobs) {
			version := n.jobs[uid] // sent to the peer if the store lacks the job
			if version == 0 {
				w.learn(o, uid, 0)
			}
		}
		missing, _ := o.ends.MissingFrom(n.ends.Digest())
		for _, x := range missing {
			w.learnEnd(n, x.UID, x.Cancelled)
		}
		n.exchange.Answered(o.name)
		if o.exchange != nil {
			o.exchange.StateReceived(n.name)
		}
		if w.rng.IntN(2) == 0 { // the peer sends its state in return
			for _, uid := range sorted(o.jobs) {
				version := o.jobs[uid]
				if version == 0 {
					w.learn(n, uid, 0)
				}
			}
			n.exchange.StateReceived(o.name)
		}
	}
	n.exchange.DropFormerMembers(func(m string) bool { return n.record.Nodes[m] != 0 })
	if len(n.exchange.Awaited()) == 0 {
		n.exchange = nil
	}
}

// propose creates the next epoch.
func (w *world) propose(n *controllerModel) {
	r, version := w.stored()
	e := Evidence{Self: n.name, Controllers: []string{"n0", "n1"}, Shards: []string{modelShard}, Record: n.record, Stored: r, Presences: w.presences(),
		Assessments: n.agreement.Assessments(w.now), Own: n.assessment(), StoreID: fmt.Sprint("s", w.rng.Uint64())}
	next := e.NextEpoch()
	if !w.guards.termAboveTokens {
		next.Record.Term, next.Record.FirstTerm = 1, 1
		shard := next.Record.Shards[modelShard]
		shard.SinceTerm = 1
		next.Record.Shards[modelShard] = shard
	}
	if !w.guards.barrierUnlessKept {
		shard := next.Record.Shards[modelShard]
		shard.NeedsBarrier = false
		next.Record.Shards[modelShard] = shard
	}
	sets := map[string]string{"w/c": encode(next.Record), EpochKey + next.Record.StoreID: "{}"}
	conditions := map[string]uint64{"w/c": version}
	for _, k := range sorted(w.store.keys) {
		c := w.store.keys[k]
		if strings.HasPrefix(k, EpochKey) {
			conditions[k], sets[k] = c.version, ""
		}
	}
	w.store.txn(conditions, sets)
	w.list(n)
}
