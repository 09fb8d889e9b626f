package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"topazhollow/internal/httpx"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
)

// doer carries commands to one machine over one ordered connection.
type commandSender struct {
	signal chan struct{}
}

const commandTimeout = 3 * time.Second

// machine finds or makes what is known of a machine.
func (n *Node) machine(name string) *machine {
	m := n.machines[name]
	if m == nil {
		m = &machine{images: map[string]bool{}, runningSince: map[jobstate.AttemptRef]time.Time{}}
		n.machines[name] = m
	}
	return m
}

// machineGone books that the cloud confirmed a machine's end.
func (n *Node) machineGone(name string) {
	m := n.machine(name)
	if m.gone {
		return
	}
	if m.status != nil {
		n.placeable = slices.DeleteFunc(n.placeable, func(x *machine) bool { return x == m })
		n.indexTasks(m.status, false)
	}
	*m = machine{gone: true, heardAt: time.Now()}
	n.quarantine.ForgetMachine(name)
	n.agents.Drop(name)
	n.log.Info("machine gone", "machine", name)
	for shard := range n.shards.All() {
		if shard.IsReady() {
			shard.Team().Gone(name)
		}
	}
	if d := n.commandSenders[name]; d != nil {
		delete(n.commandSenders, name)
		close(d.signal)
	}
	n.wake()
}

// report answers a worker.
func (n *Node) handleHeartbeat(body []byte) httpx.Answer {
	var r protocol.Heartbeat
	if err := protocol.Decode(body, &r); err != nil {
		return httpx.Refuse(400, "body is not a report")
	}
	if err := protocol.CheckHeartbeat(&r); err != nil {
		return httpx.Refuse(400, err.Error())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.answerHeartbeat(&r, time.Now())
}

// answerReport answers a worker's report that came at a time.
func (n *Node) answerHeartbeat(r *protocol.Heartbeat, now time.Time) httpx.Answer {
	n.observeFencingToken(r.FencingToken)
	if !n.entitled(now) {
		return n.answerUnentitled(r, now)
	}
	if r.FencingToken > n.record.Term {
		n.hint()
		return notEntitledAnswer()
	}
	if home := n.homeOf(r.Machine); home != n.name {
		n.machine(r.Machine).misdirectedAt = now
		n.misdirectedAgents[r.Machine] = true
		if n.keepAliveForHome(home, r.Machine, now) {
			if stops, ok := n.leaseGrant(r, now); ok {
				return n.keepAliveAnswer(stops)
			}
			return notEntitledAnswer()
		}
		return httpx.Answer{Status: 421, Body: protocol.Encode(protocol.Redirect{Controller: home})}
	}
	if m := n.machine(r.Machine); m.gone {
		return notEntitledAnswer()
	}
	n.logFirst("first report answered", now)
	n.applyHeartbeat(r, now)
	stops, ok := n.leaseGrant(r, now)
	if !ok {
		n.sendChangedStatuses()
		return notEntitledAnswer()
	}
	answer := protocol.HeartbeatAnswer{FencingToken: n.record.Term, Commands: stops}
	if m := n.agents.Get(r.Machine); m.Heartbeat.Seq == r.Seq && m.Heartbeat.Incarnation == r.Incarnation {
		n.prepareCommands(m, now)
		answer.Commands = append(answer.Commands, m.TakeForAnswer()...)
		n.publishStatus(r.Machine)
	}
	n.sendChangedStatuses()
	return httpx.Answer{Status: 200, Body: protocol.Encode(answer)}
}

// strayed handles a report that should have gone to another home. It says whether
// the machine is to be kept alive here, by an answer without commands, because its
// home does not answer it: sent there again and again it would wait for answers
// until its lease ends.
func (n *Node) keepAliveForHome(home, name string, now time.Time) (keep bool) {
	p, m := n.peers[home], n.machine(name)
	if p == nil {
		return false
	}
	if n.unreachableHomes[home] == nil {
		n.unreachableHomes[home] = map[string]misdirection{}
	}
	if !p.isReachable(now) {
		// Nobody hears the home. Once it is heard again the machine goes there.
		delete(n.unreachableHomes[home], name)
		m.keptAliveAt = now
		return true
	}
	heard := later(m.homeHeardAt, n.membershipSettledAt)
	v := n.unreachableHomes[home][name]
	again := !v.first.Before(heard) && now.Sub(v.last) <= n.redirectTimeout()
	if !again {
		v = misdirection{first: now}
		keep = !m.homeHeardAt.IsZero() && now.Sub(heard) > n.heartbeatOverdue() && now.Sub(m.keptAliveAt) > n.redirectTimeout()
	} else {
		keep = now.Sub(v.sent) < settings.Seconds(n.settings.Deployment.Agents.LeaseSeconds)
	}
	v.last = now
	if !again || !keep {
		v.sent = now
	}
	n.unreachableHomes[home][name] = v
	return keep
}

// vain is a machine's reports that came here though its home should have them:
// the first since the home last heard it, the last, and when it was last sent
// there, or came from there.
type misdirection struct {
	first, last, sent time.Time
}

// overdue is after what time a machine's report is missing at its home.
func (n *Node) heartbeatOverdue() time.Duration {
	return settings.Seconds(n.settings.Deployment.Agents.HeartbeatSeconds)*5/4 + time.Second
}

// vainFor is how long a machine may take from one report here to the next, with a
// try of its home between them.
func (n *Node) redirectTimeout() time.Duration { return n.heartbeatOverdue() + answerTime }

// unheard names a member that machines lately tried in vain to reach, or "". A
// tenth of its machines must have, so that one with a broken path moves nobody.
func (n *Node) unreachableMember(now time.Time) string {
	for _, home := range slices.Sorted(maps.Keys(n.unreachableHomes)) {
		tried := 0
		for name, v := range n.unreachableHomes[home] {
			if now.Sub(v.last) > n.redirectTimeout() || n.homeOf(name) != home || v.first.Before(later(n.machine(name).homeHeardAt, n.membershipSettledAt)) {
				delete(n.unreachableHomes[home], name)
			} else if v.last.Sub(v.first) > n.heartbeatOverdue()/2 {
				tried++
			}
		}
		if tried == 0 {
			continue
		}
		homed := 0
		for name, m := range n.machines {
			if !m.gone && m.status != nil && n.homeOf(name) == home {
				homed++
			}
		}
		if 10*tried >= homed {
			return home
		}
	}
	return ""
}

// probe asks a worker for its report while this controller is taken for
// unreachable, to come back when it is not.
func (n *Node) probeOwnReachability(ctx context.Context) error {
	good := 0
	for sleep(ctx, time.Second) {
		n.mu.Lock()
		addr := ""
		if n.record != nil && slices.Contains(n.record.Unreachable, n.name) {
			for _, m := range n.machines {
				if m.status != nil && !m.gone && time.Since(m.heardAt) < 5*time.Second {
					addr = m.status.Addr
					break
				}
			}
		}
		n.mu.Unlock()
		if addr == "" {
			good = 0
			continue
		}
		link := httpx.NewClientConn(addr, 1<<20)
		resp, _, err := link.Do(ctx, "GET", protocol.PathInspect, nil, time.Second)
		link.Close()
		if err != nil || resp.Status != 200 {
			good = 0
			continue
		}
		if good++; good >= 3 {
			n.mu.Lock()
			n.agentsReachable = true
			n.mu.Unlock()
		}
	}
	return nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func notEntitledAnswer() httpx.Answer {
	a := httpx.Refuse(503, "not entitled now")
	a.RetryAfterSeconds = 1
	return a
}

// alive is an answer that renews a worker's lease and commands no more than to stop what is
// over for good.
func (n *Node) keepAliveAnswer(stops []protocol.Command) httpx.Answer {
	return httpx.Answer{Status: 200, Body: protocol.Encode(protocol.HeartbeatAnswer{FencingToken: n.record.Term, Commands: stops})}
}

// elsewhere answers a worker while this controller may not act: it sends it to
// one that is entitled, if such is heard, and else keeps it alive for as long as
// that can do no harm.
func (n *Node) answerUnentitled(r *protocol.Heartbeat, now time.Time) httpx.Answer {
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		if p := n.peers[name]; p.entitled && p.isReachable(now) {
			return httpx.Answer{Status: 421, Body: protocol.Encode(protocol.Redirect{Controller: name})}
		}
	}
	if n.mayKeepAlive(r, now) {
		return n.keepAliveAnswer([]protocol.Command{}) // what it lists is all active
	}
	return notEntitledAnswer()
}

// sustains says whether a machine may be kept alive without being entitled, as in
// a zone that is cut off. Such an answer changes nothing that an owner relies on:
// silence is no proof, and nothing is commanded, so every task that the machine lists must belong
// to a job that is active as far as known here.
func (n *Node) mayKeepAlive(r *protocol.Heartbeat, now time.Time) bool {
	if n.record == nil || r.FencingToken > n.record.Term || n.machine(r.Machine).gone {
		return false
	}
	for _, t := range r.Tasks {
		uid, _, _ := protocol.SplitTask(t.Task)
		if j := n.jobs[uid]; t.State != protocol.Exited && (j == nil || !j.active) {
			return false
		}
	}
	_, ok := n.leaseGrant(r, now)
	return ok
}

// hear takes in a report that a worker sent.
func (n *Node) applyHeartbeat(r *protocol.Heartbeat, now time.Time) {
	if newer, changed := n.agents.ApplyHeartbeat(r, now); newer {
		n.recordHeartbeat(r, changed, now)
	}
}

// hearAnswer takes in the report in a worker's answer to a direct command.
func (n *Node) applyResponse(r *protocol.Heartbeat, now time.Time) {
	if newer, changed := n.agents.ApplyResponse(r, now); newer {
		n.recordHeartbeat(r, changed, now)
	}
}

// heard books what a machine's newest report says.
func (n *Node) recordHeartbeat(r *protocol.Heartbeat, changed bool, now time.Time) {
	x := n.machine(r.Machine)
	x.heardAt, x.homeHeardAt, x.homeWatermark = now, now, now
	if !n.roster.Has(r.Machine) {
		n.unregistered[r.Machine] = true
		n.checkUnregistered(r, x, now)
	}
	if changed || x.status == nil {
		n.publishStatus(r.Machine)
	}
}

// index keeps which machines list tasks of a job.
func (n *Node) indexTasks(v *jobstate.MachineStatus, listed bool) {
	for _, t := range v.Tasks {
		on := n.machinesByJob[t.Job]
		switch {
		case listed && on == nil:
			n.machinesByJob[t.Job] = map[string]bool{v.Machine: true}
		case listed:
			on[v.Machine] = true
		case on != nil:
			if delete(on, v.Machine); len(on) == 0 {
				delete(n.machinesByJob, t.Job)
			}
		}
	}
}

// homeOf is the home of a machine by the present record.
func (n *Node) homeOf(name string) string {
	if m := n.machines[name]; m != nil {
		return n.homeFor(m, name)
	}
	return n.record.Home(name)
}

func (n *Node) homeFor(m *machine, name string) string {
	if m.homeRecord != n.record {
		m.home, m.homeRecord = n.record.Home(name), n.record
	}
	return m.home
}

// noteView takes a homed machine's view into this controller's own knowledge and
// marks it to be told to the peers.
func (n *Node) publishStatus(name string) {
	v := n.agents.Status(name)
	if v == nil || n.machine(name).status == v {
		return // nothing changed
	}
	n.changedMachines[name] = true
	n.applyStatus(v, time.Now())
}

// see takes in a view, of a machine here or told by a peer.
func (n *Node) applyStatus(v *jobstate.MachineStatus, now time.Time) {
	m := n.machine(v.Machine)
	if m.gone || (m.status != nil && !v.Newer(m.status)) {
		return
	}
	if m.status == nil {
		n.placeable = append(n.placeable, m)
	} else {
		n.indexTasks(m.status, false)
	}
	n.indexTasks(v, true)
	m.status, m.counted = v, false
	m.heardAt = now
	busy := false
	running := make(map[jobstate.AttemptRef]time.Time, len(v.Tasks))
	for _, t := range v.Tasks {
		ref := t.Ref()
		if t.State == protocol.Running {
			if since, ok := m.runningSince[ref]; ok {
				running[ref] = since
			} else {
				running[ref] = now
				if j := n.jobs[t.Job]; j != nil && !j.submittedAt.IsZero() {
					// Past an hour the histogram only says "longer".
					n.recordStarted(j.spec, now)
					_ = n.startLatency.RecordValue(min(max(now.Sub(j.submittedAt).Milliseconds(), 1), time.Hour.Milliseconds()))
				}
			}
		} else if since, ok := m.runningSince[ref]; ok && t.Why == protocol.ReasonDone {
			if j := n.jobs[t.Job]; j != nil {
				j.longestRun = max(j.longestRun, now.Sub(since))
				j.completedRuns++
			}
		}
	}
	m.runningSince = running
	n.freed(v)
	if len(m.images) > 64 {
		clear(m.images)
	}
	for _, t := range v.Tasks {
		j := n.jobs[t.Job]
		if t.State != protocol.Exited {
			busy = true
		} else {
			n.recordOutcome(t, v.Machine, now)
		}
		if j != nil {
			m.images[j.spec.Image] = true
		}
	}
	switch {
	case busy:
		m.idleSince = time.Time{}
	case m.idleSince.IsZero():
		m.idleSince = now
	}
	teams := n.teamsOn(v)
	unknown := n.oldestUnknownTerm(v)
	for shard := range n.shards.InOrder() {
		if shard.IsReady() {
			if team, _ := shards.TeamOf(shard.Name()); slices.Contains(teams, team) || shard.Team().Holds(v.Machine) || shard.Team().Reserves(v.Machine) || unknown < shard.Team().Since() {
				n.reconcileMachine(shard, v)
			}
		} else if shard.Phase() == shards.Barrier && shard.Awaits(v.Machine) {
			n.machineAnswered(shard, v)
		}
	}
	n.stopOrphanedTasks(v)
	n.wake()
}

// teamsOn lists the teams of the jobs whose tasks a view lists.
func (n *Node) teamsOn(v *jobstate.MachineStatus) (teams []string) {
	for _, t := range v.Tasks {
		if j := n.jobs[t.Job]; j != nil && !slices.Contains(teams, j.spec.Team) {
			teams = append(teams, j.spec.Team)
		}
	}
	return teams
}

// judge takes in a task's end as a machine lists it. Every controller sees every
// view, so that whoever takes a team over knows its faulty jobs.
func (n *Node) recordOutcome(t jobstate.TaskStatus, machine string, now time.Time) {
	j := n.jobs[t.Job]
	if j == nil || !j.active || (t.Why != protocol.ReasonError && t.Why != protocol.ReasonDone) {
		return
	}
	faulty := t.Why == protocol.ReasonError
	if faulty && n.quarantine.RecordFailure(t.Job, machine, now) {
		n.log.Info("job held to be faulty: it failed on several machines and succeeded on none", "job", t.Job, "team", j.spec.Team, "last", machine)
	} else if !faulty && n.quarantine.RecordSuccess(t.Job, machine) {
		n.log.Info("job no longer held to be faulty", "job", t.Job, "team", j.spec.Team)
	} else {
		return
	}
	if shard := n.shards.OfTeam(j.spec.Team); shard != nil && shard.Phase() != shards.Loading {
		shard.Team().SetFaulty(t.Job, faulty)
	}
}

// endStrays lets the home end what machines list of jobs that are over: that is
// true for good, whoever owns the team.
func (n *Node) stopOrphanedTasks(v *jobstate.MachineStatus) {
	if n.agents.Get(v.Machine) == nil || n.record == nil || n.homeOf(v.Machine) != n.name {
		return
	}
	var orders []jobstate.Order
	for _, t := range v.Tasks {
		j := n.jobs[t.Job]
		if t.State == jobstate.Ordered || (j != nil && j.active) {
			continue
		}
		if j == nil {
			n.lookUpEnd(t.Job, t.Attempt)
			continue
		}
		o := jobstate.Order{Op: protocol.Stop, TaskID: t.TaskID, Attempt: t.Attempt, Incarnation: v.Incarnation}
		if t.State == protocol.Exited {
			o.Op = protocol.Forget
		}
		orders = append(orders, o)
	}
	if len(orders) > 0 && n.agents.QueueOrders(n.record.Term, v.Machine, orders) {
		n.wakeCommandSender(v.Machine)
	}
}

// tellViews sends the views that changed to all peers.
func (n *Node) sendChangedStatuses() {
	if len(n.changedMachines) == 0 {
		return
	}
	var views []*jobstate.MachineStatus
	tasks := 0
	for _, name := range slices.Sorted(maps.Keys(n.changedMachines)) {
		v := n.agents.Status(name)
		if v == nil {
			continue
		}
		views = append(views, v)
		if tasks += 1 + len(v.Tasks); tasks >= maxStatusesPerMessage {
			n.broadcast(kindMachineStatuses, views)
			views, tasks = nil, 0
		}
	}
	n.changedMachines = map[string]bool{}
	if len(views) > 0 {
		n.broadcast(kindMachineStatuses, views)
	}
}

// viewsPerLine bounds the machines and tasks that one line tells of: about 300 KB. A link refuses lines of more than 4 MiB, which
// all homed machines of a large fleet took when a peer came back: the link was dropped and sent the same line again.
const maxStatusesPerMessage = 4000

// stir wakes the machine's doer, making one if need be.
func (n *Node) wakeCommandSender(name string) {
	d := n.commandSenders[name]
	if d == nil {
		d = &commandSender{signal: make(chan struct{}, 1)}
		n.commandSenders[name] = d
		n.group.Go(func() error {
			n.sendCommands(n.ctx, name, d)
			return nil
		})
	}
	select {
	case d.signal <- struct{}{}:
	default:
	}
}

// carry sends a machine's urgent commands by /do, one request at a time.
func (n *Node) sendCommands(ctx context.Context, name string, d *commandSender) {
	var link *httpx.ClientConn
	defer func() {
		if link != nil {
			link.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case _, ok := <-d.signal:
			if !ok {
				return
			}
		}
		for n.sendCommandsOnce(ctx, name, &link) {
		}
	}
}

// carryOnce sends what is urgent; it says whether to look again at once.
func (n *Node) sendCommandsOnce(ctx context.Context, name string, link **httpx.ClientConn) bool {
	n.mu.Lock()
	m := n.agents.Get(name)
	now := time.Now()
	if m != nil {
		n.prepareCommands(m, now)
	}
	if m == nil || !m.ShouldSend() || !n.entitled(now) || m.HasQueuedStart() && !n.cancelWatermark.MayRenew(now, time.Time{}) {
		n.mu.Unlock()
		return false
	}
	cmds := m.TakeForRequest()
	body := protocol.Encode(protocol.DirectCommands{FencingToken: n.record.Term, Incarnation: m.Heartbeat.Incarnation, Commands: cmds})
	addr := m.Heartbeat.Addr
	n.mu.Unlock()
	if *link == nil || (*link).Addr() != addr {
		if *link != nil {
			(*link).Close()
		}
		*link = httpx.NewClientConn(addr, 1<<20)
	}
	resp, left, err := (*link).Do(ctx, "POST", protocol.PathCommands, body, commandTimeout)
	now = time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var r protocol.Heartbeat
	answered := err == nil && (resp.Status == 200 || resp.Status == 409) && protocol.Decode(resp.Body, &r) == nil && r.Machine == name
	if answered && n.agents.Get(name) == m {
		n.applyResponse(&r, now)
	}
	if !answered {
		n.log.Info("commands not answered", "machine", name, "commands", len(cmds), "err", err)
	}
	m.FinishRequest(cmds, answered, left && (err != nil || resp.Status == 200))
	n.publishStatus(name)
	n.sendChangedStatuses()
	return answered
}
