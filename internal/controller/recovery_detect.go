package controller

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/httpx"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/teamstore"
	"topazhollow/internal/userapi"
)

// What the state service acknowledged may be gone: its data lost, or set back to what
// they were. docs/data-recovery.md tells how that is noticed, agreed on and mended; here is what
// connects internal/datarecovery, which decides, to the controller.

// keeping is what a controller knows of its store, and of what must survive it.
type recoveryState struct {
	watch     *datarecovery.Watch
	gather    *datarecovery.Exchange // waited for after a loss; nil: nothing
	whole     bool                   // the ends known go back to the deployment's beginning
	read      bool                   // all single ends that the store has were read
	markers   map[string]uint64
	unchained bool   // a record was seen that does not follow the one known
	saw       bool   // what is known here shows the loss, not only what others know
	proof     string // of a loss that the store's own answers do not show
	ahead     uint64 // a worker's token, or a peer's term, that is higher than the term
	token     uint64 // highest token heard
	suspect   map[string]uint64
	shown     bool               // the own key is thought to be there
	again     chan struct{}      // wakes the lease's duty
	rewatch   context.CancelFunc // ends the watch that is open

	entered time.Time
	lostAt  time.Time                 // when the loss that led to this generation was agreed on here
	names   map[string]bool           // machines on the roster before the loss
	census  map[string]bool           // machines that the cloud listed after it; nil until read
	done    map[string]*bitset.BitSet // finished tasks remembered at the loss
	bury    map[string]staleActiveKey // ended jobs that the store has as active
	writing map[string]bool
	found   foundStore
	unknown map[string]time.Time // jobs that machines list and nobody can describe
	wrote   time.Time            // when it was last looked what to write back
	told    time.Time            // when peers were last told what is remembered
	sealed  bool                 // the ends of this generation are on pages
	sealing bool

	met       map[string]bool        // peers that told what they know
	tentative map[string]proposedJob // jobs that peers were about to accept

	holds  map[uint64]chan struct{} // facts that a peer is to hold
	holdID uint64
	alone  int // facts said with no peer holding them
}

// foundStore is what a lost store was found to hold.
type foundStore struct {
	record  *leadership.Record
	version uint64
	live    map[string]leadership.Presence
	markers map[string]uint64
	at      time.Time
}

func newRecoveryState(s *settings.Settings, life time.Duration) *recoveryState {
	var peers []string
	for _, p := range s.Peers {
		peers = append(peers, p.Name)
	}
	return &recoveryState{watch: datarecovery.NewWatch(s.Name, peers, life), markers: map[string]uint64{}, suspect: map[string]uint64{},
		again: make(chan struct{}, 1), names: map[string]bool{}, bury: map[string]staleActiveKey{}, writing: map[string]bool{},
		unknown: map[string]time.Time{}, tentative: map[string]proposedJob{}, met: map[string]bool{}, holds: map[uint64]chan struct{}{}}
}

// trusted says whether what the store answers counts: nobody saw a sign that it lost
// anything since it was read.
func (n *Node) trusted() bool {
	phase, _, _ := n.recovery.watch.Phase()
	return phase == datarecovery.Trusted || phase == datarecovery.Starting
}

func (n *Node) epoch() uint64 {
	if n.record == nil {
		return 0
	}
	return n.record.Epoch
}

func (n *Node) storeAssessment() datarecovery.Assessment {
	w := datarecovery.Assessment{Epoch: n.epoch(), Revision: n.kvStore.Seen(), Incarnation: n.incarnation, MemoryComplete: n.recovery.whole && n.recovery.saw}
	phase, _, _ := n.recovery.watch.Phase()
	w.ConfirmedLoss = phase == datarecovery.Lost
	w.SuspectsLoss = phase == datarecovery.Suspected || w.ConfirmedLoss
	if n.record != nil {
		w.Term = n.record.Term
	}
	return w
}

// sign takes in a sign of loss. It may be called without the lock, by a client.
func (n *Node) suspectLossLater(what string) {
	n.group.Go(func() error {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.suspectLoss(what)
		return nil
	})
}

func (n *Node) suspectLoss(what string) {
	if n.trusted() {
		n.log.Info("state service doubted", "sign", what, "generation", n.epoch(), "revision", n.followedRevision)
		n.recovery.watch.Suspect(what, time.Now())
		n.requestStatus()
	}
}

// prove books evidence of a loss that no answer of the store shows.
func (n *Node) proveLoss(what string) {
	if n.recovery.proof == "" {
		n.recovery.proof = what
		n.recovery.whole = false // it lacks what was there before this process read it
		n.suspectLoss(what)
	}
}

// heardToken takes in a worker's token: proof of a loss if the store never gave it out.
func (n *Node) observeFencingToken(token uint64) {
	if token >= 1<<29 || n.record == nil {
		return // no term: attempts have no room for it
	}
	n.recovery.token = max(n.recovery.token, token)
	switch {
	case token > n.record.Term:
		n.recovery.ahead = max(n.recovery.ahead, token)
	case token > 0 && token < n.record.FirstTerm && n.record.Epoch == 1:
		n.proveLoss("a worker knows a term from before the store's first")
	}
}

// confirmEnd looks up the end of a job whose key is not in a full list. It has one, unless
// the store lost the job.
func (n *Node) verifyUnlistedJob(uid string, j *job) {
	n.group.Go(func() error {
		_, _, absent := n.front.LookUp(n.ctx, uid)
		n.mu.Lock()
		defer n.mu.Unlock()
		if absent && n.jobs[uid] == j && !j.active {
			j.active, j.endedAt = true, time.Time{}
			n.learnJob(userapi.Stored{Spec: j.spec, At: j.submittedAt.UnixMilli()}, 0)
			n.proveLoss("an accepted job is gone without an end")
		}
		return nil
	})
}

// unlisted takes in a worker's report while its machine is on no list: proof of a loss if
// it has tasks, since a machine is registered before the first start. One report may have
// been held up on its way from a machine that is gone by now; one that reports again is
// there, and a read that began after its first report must know it.
func (n *Node) checkUnregistered(r *protocol.Heartbeat, m *machine, now time.Time) {
	switch {
	case !n.runsTasksOfThisStore(r):
		m.unregisteredSince = time.Time{}
	case m.unregisteredSince.IsZero():
		m.unregisteredSince = now
	case now.Sub(m.unregisteredSince) > settings.Seconds(n.settings.Deployment.Workers.Report/2) && n.cancelWatermark.LastRead().After(m.unregisteredSince):
		n.probeUnregistered(r.Machine, r.Addr, m)
	}
}

// inspect asks a machine that is on no list whether it is there. Two reports are no proof: copies of
// what a machine sent that was returned long ago may come one after the other to a process that never knew it.
func (n *Node) probeUnregistered(name, addr string, m *machine) {
	if m.inspectedAt.After(m.unregisteredSince) && time.Since(m.inspectedAt) < probeTimeout {
		return
	}
	m.inspectedAt = time.Now()
	n.group.Go(func() error {
		link := httpx.NewLink(addr, 1<<20)
		defer link.Close()
		resp, _, err := link.Do(n.ctx, "GET", protocol.PathInspect, nil, probeTimeout)
		var r protocol.Heartbeat
		there := err == nil && resp.Status == 200 && protocol.Decode(resp.Body, &r) == nil && r.Machine == name
		n.mu.Lock()
		defer n.mu.Unlock()
		if there && n.runsTasksOfThisStore(&r) && n.machines[name] == m && !m.gone && !n.roster.Has(name) && !m.unregisteredSince.IsZero() {
			n.proveLoss("a worker has tasks though its machine is on no list")
		}
		return nil
	})
}

// ours says whether a machine has tasks that were started since this store began.
func (n *Node) runsTasksOfThisStore(r *protocol.Heartbeat) bool {
	return slices.ContainsFunc(r.Tasks, func(t protocol.TaskStatus) bool {
		return t.State != protocol.Exited && jobstate.TermOf(t.Attempt) >= n.record.FirstTerm
	})
}

// keepStore is the duty that looks whether the store has what it acknowledged, and mends
// what it lost.
func (n *Node) watchStore(ctx context.Context) error {
	pulsed, every := time.Now(), storeCheckInterval
	for sleep(ctx, every) {
		now := time.Now()
		n.mu.Lock()
		term, ahead := uint64(0), n.recovery.ahead
		if n.record != nil {
			term = n.record.Term
		}
		action := n.recovery.watch.Step(now, term, func(name string) bool {
			_, there := n.recovery.found.live[name]
			return there && (name != n.name || n.recovery.found.live[name].Incarnation == n.incarnation)
		})
		phase, since, _ := n.recovery.watch.Phase()
		suspects := len(n.recovery.suspect) > 0
		if phase == datarecovery.Lost && since.After(n.recovery.lostAt) {
			n.recovery.lostAt = since
			n.lossConfirmed()
		}
		if action == datarecovery.Nothing && phase == datarecovery.Lost && now.Sub(n.recovery.found.at) > 250*time.Millisecond {
			action = datarecovery.Relist
		}
		if action == datarecovery.Propose && !n.storeAssessment().MemoryComplete && now.Sub(since) < completeMemoryWait {
			action = datarecovery.Nothing // a peer may yet find that it remembers more
		}
		n.continueRecovery(now)
		n.mu.Unlock()
		if every = storeCheckInterval; phase == datarecovery.Trusted {
			every *= 4
		}
		switch {
		case action == datarecovery.Compare:
			r := n.compareAcknowledged(ctx)
			n.mu.Lock()
			n.recovery.watch.Compared(r, time.Now())
			if n.trusted() {
				clear(n.recovery.suspect)
				n.log.Info("state service has what it acknowledged")
			}
			n.mu.Unlock()
		case action == datarecovery.Relist:
			n.relistKeys(ctx)
		case action == datarecovery.Propose:
			n.proposeEpoch(ctx)
		case ahead > term && (phase == datarecovery.Trusted || phase == datarecovery.MeetingPeers):
			// The record may only be late here: a read that begins now settles it.
			if n.refresh(ctx) == nil {
				n.mu.Lock()
				if n.record != nil && n.recovery.ahead > n.record.Term {
					n.proveLoss("a worker or controller knows a later term than the store")
				}
				n.recovery.ahead = 0
				n.mu.Unlock()
			}
		case phase == datarecovery.Trusted && (now.Sub(pulsed) > n.lease.Life/4 || suspects):
			pulsed = now
			switch n.compareAcknowledged(ctx) {
			case datarecovery.Missing:
				n.suspectLossLater("something acknowledged is gone")
			case datarecovery.Intact:
				n.mu.Lock()
				clear(n.recovery.suspect)
				n.mu.Unlock()
			}
		}
	}
	return nil
}

// witnessFor is how long one that does not remember all waits for one that does.
const completeMemoryWait = 2 * time.Second

// storeEvery is how often a controller that does not know its store looks what to do;
// one that does looks a quarter as often.
const storeCheckInterval = 50 * time.Millisecond

// witnesses are keys that must have the versions known here, or have changed since.
func (n *Node) acknowledgedKeys() map[string]uint64 {
	w := maps.Clone(n.recovery.suspect)
	if n.recordVersion > 0 {
		w[controlKey] = n.recordVersion
	}
	for key, version := range n.recovery.markers {
		w[key] = version
	}
	for key, version := range n.roster.Versions() {
		w[key] = version
	}
	n.addAcknowledgedConfig(w)
	some := 8
	for uid, j := range n.jobs {
		if some == 0 {
			break
		}
		if j.active && j.version > 0 {
			w[userapi.JobKey+uid] = j.version
			some--
		}
	}
	return w
}

// versionOf is the version that a followed key has as far as known here, 0 for none.
func (n *Node) knownVersion(key string) uint64 {
	switch {
	case key == controlKey:
		return n.recordVersion
	case strings.HasPrefix(key, datarecovery.EpochKey):
		return n.recovery.markers[key]
	case strings.HasPrefix(key, userapi.JobKey):
		if j := n.jobs[key[len(userapi.JobKey):]]; j != nil && j.active {
			return j.version
		}
		return 0
	case strings.HasPrefix(key, machineKey):
		return n.roster.Versions()[key]
	case strings.HasPrefix(key, teamstore.Prefix):
		return n.configVersion(key)
	}
	return 0
}

// look asks the store whether it has what it acknowledged. What it does not have must
// have been changed, as a read of the changes tells.
func (n *Node) compareAcknowledged(ctx context.Context) datarecovery.Comparison {
	n.mu.Lock()
	proof, listed, known, unchained := n.recovery.proof, n.watchedKeysRead, n.acknowledgedKeys(), n.recovery.unchained
	own, seen := n.presences[n.name].Version, n.recovery.watch.PeersRevision()
	n.mu.Unlock()
	if proof != "" || unchained {
		return datarecovery.Missing
	}
	if !listed {
		return datarecovery.Unanswered
	}
	var guards []protocol.Condition
	for key, version := range known {
		if len(guards) < 4*n.settings.Deployment.State.TxnOps-1 {
			guards = append(guards, protocol.Condition{Key: key, Version: version})
		}
	}
	if own > 0 {
		guards = append(guards, protocol.Condition{Key: nodeKey + n.name, Version: own})
	}
	revision, failed, err := n.kvStore.Compare(ctx, guards)
	switch {
	case errors.Is(err, kvstore.ErrBack):
		n.lossSeenHere()
		return datarecovery.Missing
	case (err == nil || errors.Is(err, kvstore.ErrConflict)) && revision < seen:
		n.log.Info("a peer has seen a later revision", "seen", seen, "revision", revision)
		return datarecovery.Missing
	case err == nil:
		return datarecovery.Intact
	case !errors.Is(err, kvstore.ErrConflict):
		return datarecovery.Unanswered
	}
	n.mu.Lock()
	after := n.followedRevision
	n.mu.Unlock()
	began := time.Now()
	ch, err := n.kvStore.Changes(ctx, userapi.Watched, after)
	if errors.Is(err, kvstore.ErrBack) {
		n.lossSeenHere()
		return datarecovery.Missing
	} else if err != nil {
		return datarecovery.Unanswered
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyChanges(ch, began)
	for _, key := range failed {
		if key == nodeKey+n.name {
			if n.presences[n.name].Version == own {
				n.rewriteOwnKey() // its lease may have ended
			}
		} else if version, asked := known[key]; asked && n.knownVersion(key) == version {
			n.log.Info("acknowledged key is not there", "key", key, "version", version)
			n.recovery.saw = true
			return datarecovery.Missing
		}
	}
	return datarecovery.Intact
}

// witness books that what this process itself had seen shows the loss. Only then does its
// memory reach back before it: one that started afterwards read what was left, and would
// take that for the whole.
func (n *Node) lossSeenHere() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recovery.saw = true
}

// unshow has the lease's duty write the own key again.
func (n *Node) rewriteOwnKey() {
	n.recovery.shown = false
	select {
	case n.recovery.again <- struct{}{}:
	default:
	}
}

// lost begins what follows once the controllers agree that the store lost data.
func (n *Node) lossConfirmed() {
	_, _, sign := n.recovery.watch.Phase()
	active := 0
	for _, j := range n.jobs {
		if j.active {
			active++
		}
	}
	n.log.Error("state service lost data", "sign", sign, "generation", n.epoch(), "revision", n.followedRevision, "jobs_remembered", active,
		"ends_remembered", n.front.Ends(), "whole", n.recovery.whole, "machines_remembered", len(n.roster.All()))
	n.kvStore.Hold(true)
	n.kvStore.Anew()
	n.rewriteOwnKey()
}

// relist reads all that is followed, to enter the generation that is found or to know
// what a lost store holds.
func (n *Node) relistKeys(ctx context.Context) {
	began := time.Now()
	entries, revision, err := n.kvStore.List(ctx, userapi.Watched)
	if errors.Is(err, kvstore.ErrBack) {
		n.kvStore.Anew()
	}
	if err != nil {
		sleep(ctx, 100*time.Millisecond)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.applyFullList(entries, revision) {
		n.recordFullRead(began)
	}
}

// scan finds the store's own keys in a list.
func parseStoreContents(entries []protocol.Entry) foundStore {
	f := foundStore{live: map[string]leadership.Presence{}, markers: map[string]uint64{}}
	for _, e := range entries {
		switch {
		case e.Key == controlKey:
			var r leadership.Record
			if json.Unmarshal(e.Value, &r) == nil {
				f.record, f.version = &r, e.Version
			}
		case strings.HasPrefix(e.Key, datarecovery.EpochKey):
			f.markers[e.Key] = e.Version
		case strings.HasPrefix(e.Key, nodeKey):
			var p present
			if json.Unmarshal(e.Value, &p) == nil {
				f.live[e.Key[len(nodeKey):]] = leadership.Presence{Incarnation: p.Incarnation, Version: e.Version}
			}
		}
	}
	return f
}

// takeList takes in a full list of the followed keys, if it is of a store that can be
// relied on.
func (n *Node) applyFullList(entries []protocol.Entry, revision uint64) bool {
	f := parseStoreContents(entries)
	f.at = time.Now()
	phase, _, _ := n.recovery.watch.Phase()
	newer := f.record != nil && f.record.Epoch > n.epoch()
	switch {
	case newer && f.markers[datarecovery.EpochKey+f.record.StoreID] == 0:
		// Its own key is gone: this store has lost data already, and what it holds is only evidence.
		n.proveLoss("the store's generation has no key of its own")
	case n.record == nil || newer:
		n.enterEpoch(entries, revision)
		return true
	case phase == datarecovery.Lost:
	case f.record == nil || f.record.Term < n.record.Term || f.version < n.recordVersion || f.markers[datarecovery.EpochKey+n.record.StoreID] == 0:
		n.suspectLoss("the list of keys lacks what was acknowledged")
	default:
		for _, w := range n.recovery.watch.Assessments(time.Now()) {
			if w.Epoch > n.epoch() {
				n.proveLoss("a controller knows a later generation than the store")
			}
		}
		n.reset(entries, revision)
		return true
	}
	n.recovery.found = f
	if f.live[n.name].Incarnation != n.incarnation {
		n.rewriteOwnKey()
	}
	return false
}

// enter begins to rely on the store as it was listed: at the process's start, and after a
// loss. What is remembered stays, and is written back where the store lacks it.
func (n *Node) enterEpoch(entries []protocol.Entry, revision uint64) {
	now := time.Now()
	if n.record != nil {
		for _, name := range n.roster.All() {
			if m := n.machines[name]; m == nil || !m.gone {
				n.recovery.names[name] = true
			}
		}
		n.rememberFinishedTasks()
		n.shards.RecordChangeSettled()
		for _, j := range n.jobs {
			j.version = 0
		}
		for _, t := range n.recovery.tentative {
			if now.Sub(t.at) < proposedJobLife {
				n.learnJob(t.Stored, 0)
			}
		}
		n.roster = newRoster(n.settings)
		n.configEntered()
		n.recordVersion, n.unansweredVersion, n.presences, n.memberMissingSince = 0, 0, map[string]leadership.Presence{}, time.Time{}
		n.recovery.markers, n.recovery.suspect = map[string]uint64{}, map[string]uint64{}
	}
	n.recovery.saw, n.recovery.unchained = false, false
	n.recovery.proof, n.recovery.ahead, n.recovery.census, n.recovery.entered, n.recovery.sealed = "", 0, nil, now, false
	n.kvStore.Anew()
	n.kvStore.Hold(false)
	n.followedRevision = revision
	if n.recovery.rewatch != nil {
		n.recovery.rewatch()
	}
	if f := parseStoreContents(entries); f.record != nil {
		n.adopt(f.record, f.version)
	}
	for _, e := range entries {
		n.changed(protocol.Change{Set: e.Key, Value: e.Value, Version: e.Version})
	}
	n.watchedKeysRead = true
	n.recovery.watch.Entered(n.epoch(), now)
	if n.presences[n.name].Incarnation != n.incarnation {
		n.rewriteOwnKey()
	}
	n.recount(maps.Keys(n.machines))
	n.wake()
}

// generationBegan is called when a record of another generation was adopted.
func (n *Node) epochEntered(r *leadership.Record) {
	n.fenceOnEpochKey()
	if r.Epoch <= 1 {
		return
	}
	n.log.Info("generation entered", "generation", r.Epoch, "term", r.Term, "lost_for_good", r.DataLost, "since_loss", time.Since(n.recovery.lostAt).Round(time.Millisecond))
	var members []string
	for name := range r.Nodes {
		if name != n.name {
			members = append(members, name)
		}
	}
	n.recovery.gather = datarecovery.NewExchange(r.Epoch, members)
	n.membershipSettledAt = time.Now() // machines tried their homes in vain while nobody was entitled
	clear(n.unreachableHomes)
	n.recovery.told = time.Time{}
	for name := range n.recovery.names {
		if r.Home(name) == n.name {
			n.unregistered[name] = true
		}
	}
}

// refence has every update rest on the generation's own key.
func (n *Node) fenceOnEpochKey() {
	if n.record == nil || n.record.StoreID == "" {
		return
	}
	key := datarecovery.EpochKey + n.record.StoreID
	if v := n.recovery.markers[key]; v > 0 {
		n.kvStore.Fence(protocol.Condition{Key: key, Version: v})
	}
}

// begin makes the next generation.
func (n *Node) proposeEpoch(ctx context.Context) {
	n.relistKeys(ctx)
	n.mu.Lock()
	phase, _, _ := n.recovery.watch.Phase()
	f := n.recovery.found
	if phase != datarecovery.Lost || f.live[n.name].Incarnation != n.incarnation {
		n.mu.Unlock()
		return
	}
	now := time.Now()
	e := datarecovery.Evidence{Self: n.name, Controllers: n.settings.Nodes(), Shards: n.itemNames(), Record: n.record, Stored: f.record, Presences: f.live,
		Assessments: n.recovery.watch.Assessments(now), Own: n.storeAssessment(), HighestToken: n.recovery.token, ChangeUnanswered: n.unansweredVersion != 0 || n.recordChangePending, StoreID: randomStoreID()}
	n.mu.Unlock()
	next := e.NextEpoch()
	next.Record.PreviousVersion = f.version
	txn := protocol.Txn{Conditions: []protocol.Condition{{Key: controlKey, Version: f.version}},
		Then: []protocol.Op{{Set: controlKey, Value: protocol.Encode(next.Record)}, {Set: datarecovery.EpochKey + next.Record.StoreID, Value: []byte("{}")}}}
	for _, key := range slices.Sorted(maps.Keys(f.markers)) {
		if len(txn.Then) < n.settings.Deployment.State.TxnOps {
			txn.Conditions = append(txn.Conditions, protocol.Condition{Key: key, Version: f.markers[key]})
			txn.Then = append(txn.Then, protocol.Op{Delete: key})
		}
	}
	for name, p := range f.live {
		txn.Conditions = append(txn.Conditions, protocol.Condition{Key: nodeKey + name, Version: p.Version})
	}
	_, failed, err := n.kvStore.TxnControl(ctx, txn)
	n.log.Info("generation proposed", "generation", next.Record.Epoch, "term", next.Record.Term, "accounts_kept", next.WithoutBarrier, "lost_for_good", next.Record.DataLost,
		"members", next.Record.Members(), "failed", failed, "err", err)
	n.relistKeys(ctx)
}

// drawn is a name that nobody else draws.
func randomStoreID() string {
	b := make([]byte, 8)
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(b)
}
