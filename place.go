package topazhollow

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"topazhollow/internal/fleet"
	"topazhollow/internal/ledger"
	"topazhollow/internal/placement"
	"topazhollow/internal/settings"
	"topazhollow/internal/tenure"
	"topazhollow/internal/wire"
)

// claim says whose waiting tasks a wish is for: an own team's, or a peer's, for
// which room is only kept.
type claim struct {
	it  *item
	own *ledger.Job
}

// wishes lists what waits anywhere, most urgent first.
func (n *Node) wishes(now time.Time) []wish {
	var list []wish
	add := func(c claim, uid string, count, first int, borrowed, probe bool) {
		j := n.jobs[uid]
		if j == nil || !j.active {
			return
		}
		w := wish{claim: c, spec: j.spec, count: count, borrowed: borrowed, probe: probe, submitted: j.at}
		w.latest, w.late = n.goal(j, now)
		w.latest = w.latest.Add(-run(j.spec))
		if by, ok := n.startBy(j, now); w.late && ok {
			w.latest = by
		} else if w.late {
			w.lost = true
		}
		if by, ok := n.promptly(j.at, now); ok && !borrowed && by.Before(w.latest) {
			w.latest, w.late = by, false
		}
		if by, ok := n.startBy(j, now); ok && j.spec.Kind == wire.Gang && by.Before(w.latest) {
			w.latest = by // all of it starts at once, so that it can still be in time as a whole
		}
		if first = min(first, count); first > 0 {
			w.first, w.count = true, first
			list = append(list, w)
			w.first, w.count = false, count-first
		}
		if w.count > 0 {
			list = append(list, w)
		}
	}
	for _, it := range n.items {
		if it.phase != ready || it.frozen || it.name == tenure.Fleet {
			continue
		}
		list := it.team.Demands(now)
		first := n.goFirst(it, list, now)
		for i, d := range list {
			add(claim{it, it.team.Job(d.Spec.UID)}, d.Spec.UID, d.Count, first[i], d.Borrowed, d.Probe)
		}
	}
	if len(list) == 0 {
		return nil
	}
	for _, p := range n.peers {
		if !p.near(now) || !p.entitled {
			continue // one that lost its lease tells of work that others have taken over
		}
		for _, d := range p.demands {
			add(claim{}, d.Job, d.Count, d.First, d.Borrowed, false)
		}
	}
	return list
}

// place starts what can be started, most urgent first. Room that a peer's more
// urgent tasks will take is left to them.
func (n *Node) place(now time.Time) {
	list := n.wishes(now)
	p := &placing{n: n, now: now, kept: map[keptRoom]int{}}
	if len(list) > 0 {
		arrange(list)
		p.hosts = n.hosts(now, smallest(list))
	}
	for i := range list {
		w := &list[i]
		if i > 0 && list[i-1].class(w) != 0 {
			p.keepRoom()
		}
		p.serve(w)
		if w.own != nil && w.count > 0 {
			p.short = append(p.short, *w)
		}
	}
	if now.Sub(n.preempted) >= preemptEvery {
		n.preempted = now
		n.preemptForGangs(p)
		n.preempt(p.short, p.hosts, now)
	}
	if len(list) > 0 && (len(p.short) > 0 || n.told) {
		n.told = len(p.short) > 0
		n.tellNow()
	}
}

// smallest is room that each of the wishes needs at the least.
func smallest(list []wish) *placement.Ask {
	least := &placement.Ask{CPUs: math.Inf(1), GPUs: math.Inf(1), Memory: math.Inf(1)}
	for i := range list {
		s := list[i].spec
		least.CPUs, least.GPUs, least.Memory = min(least.CPUs, s.CPUs), min(least.GPUs, s.GPUs), min(least.Memory, s.Memory)
	}
	return least
}

// hurries says whether a wish has no time to spare: it would not be complete in
// time if it ran three times as long as estimated after fetching its image.
func (n *Node) hurries(w *wish, now time.Time) bool {
	return w.spec.Kind == wire.Batch && !w.late && !w.borrowed &&
		w.latest.Sub(now) <= 2*run(w.spec)+settings.Seconds(fleet.FetchTime(n.types, w.spec))+patience
}

// placing is one step's search for places.
type placing struct {
	n     *Node
	now   time.Time
	hosts []*placement.Host
	full  []*placement.Ask // what fits no host any more
	short []wish           // what found no room
	gangs []*wish          // of the class that is served: those that found no room for all their tasks
	kept  map[keptRoom]int // tasks that room is kept for
}

// choose finds a host that is not to be skipped.
func (p *placing) choose(ask *placement.Ask, skip func(*placement.Host) bool) *placement.Host {
	if slices.ContainsFunc(p.full, ask.Exceeds) {
		return nil
	}
	skipped := false
	h := placement.Choose(p.n.rng, p.hosts, ask, p.n.opt.SampleSize, func(h *placement.Host) bool {
		skip := skip(h)
		skipped = skipped || skip
		return skip
	})
	if h == nil && !skipped {
		p.full = append(p.full, ask)
	}
	return h
}

// serve places what it can of a wish and takes that off its count.
func (p *placing) serve(w *wish) {
	n, ask := p.n, p.n.ask(w.spec)
	ask.Hurry = n.hurries(w, p.now)
	switch {
	case w.own == nil:
		for ; w.count > 0; w.count-- {
			h := p.choose(ask, func(*placement.Host) bool { return false })
			if h == nil {
				break
			}
			h.Take(ask)
		}
	case w.own.Spec.Kind == wire.Gang:
		if n.placeGang(*w, ask, p.hosts, p.now) {
			w.count = 0
		} else {
			p.gangs = append(p.gangs, w)
		}
	default:
		fits := n.zoneRule(*w)
		w.it.team.Pending(w.own, p.now, func(index int) bool {
			if w.count == 0 || !w.it.team.Fits(w.own, 1) {
				return false
			}
			h := p.choose(ask, func(h *placement.Host) bool { return w.own.Avoids(h.Name, p.now) || !fits.allows(h) })
			if h == nil || !w.it.team.Place(w.own, index, n.spot(h)) {
				return false
			}
			fits.take(h)
			w.count--
			h.Take(ask)
			h.Images[ask.Image] = true
			return true
		})
	}
}

func (n *Node) spot(h *placement.Host) ledger.Spot {
	return ledger.Spot{Machine: h.Name, Zone: n.machines[h.Name].view.Zone, Session: h.Session}
}

// zoneRule holds a job's tasks, of which some may be on machines already, to one
// zone or to at most half of them in one.
type zoneRule struct {
	zones map[int]int
	most  int // in one zone; 0: no bound
	one   bool
}

func (n *Node) zoneRule(w wish) *zoneRule {
	s := w.own.Spec
	r := &zoneRule{zones: map[int]int{}, one: s.OneZone}
	if !s.OneZone && !s.Spread {
		return r
	}
	if s.Spread {
		r.most = (s.Tasks + 1) / 2
	}
	for zone, count := range w.it.team.Zones(w.own) {
		r.zones[n.zoneIndex(zone)] += count
	}
	return r
}

func (r *zoneRule) allows(h *placement.Host) bool {
	if r.one && len(r.zones) > 0 && r.zones[h.Zone] == 0 {
		return false
	}
	return r.most == 0 || r.zones[h.Zone] < r.most
}

func (r *zoneRule) take(h *placement.Host) {
	if r.one || r.most > 0 {
		r.zones[h.Zone]++
	}
}

// placeGang finds room for all missing tasks of a gang, or takes none.
func (n *Node) placeGang(w wish, ask *placement.Ask, hosts []*placement.Host, now time.Time) bool {
	missing, id := w.it.team.Gang(w.own)
	if len(missing) == 0 {
		return true // it runs or ends
	}
	tries := []int{-1}
	if w.own.Spec.OneZone {
		tries = tries[:0]
		for z := range n.set.Deployment.Zones {
			tries = append(tries, z)
		}
	}
	for _, zone := range tries {
		rule := n.zoneRule(w)
		taken := map[int]*placement.Host{}
		for _, index := range missing {
			h := placement.Choose(n.rng, hosts, ask, n.opt.SampleSize, func(h *placement.Host) bool {
				return (zone >= 0 && h.Zone != zone) || w.own.Avoids(h.Name, now) || !rule.allows(h)
			})
			if h == nil {
				break
			}
			h.Take(ask)
			rule.take(h)
			taken[index] = h
		}
		if len(taken) == len(missing) {
			spots := map[int]ledger.Spot{}
			for index, h := range taken {
				spots[index] = n.spot(h)
				h.Images[ask.Image] = true
			}
			if w.it.team.PlaceGang(w.own, id, spots) {
				return true
			}
		}
		for _, h := range taken {
			h.CPUs, h.GPUs, h.Memory = h.CPUs+ask.CPUs, h.GPUs+ask.GPUs, h.Memory+ask.Memory
		}
	}
	return false
}

// keepRoom leaves what room there is to gangs that found none for all their tasks, before less urgent work is
// served: small tasks of an array once took each piece that came free, and gangs of higher
// priority waited until the array was over. Nothing is left to gangs that made no use of it for some time.
func (p *placing) keepRoom() {
	for _, w := range p.gangs {
		if w.it.team.HoldsRoom() {
			p.keepFor(w)
		}
	}
	p.gangs = p.gangs[:0]
}

// keepFor keeps room for one gang: if it is to run in one zone, in that which has the most. Only machines that
// could take all of it if they were empty are kept; else it needs more machines first, and nobody waits for it.
func (p *placing) keepFor(w *wish) {
	n := p.n
	ask, rule := n.ask(w.spec), n.zoneRule(*w)
	missing, _ := w.it.team.Gang(w.own)
	cleared := p.keepCleared(w, ask)
	if cleared > 0 || !w.it.team.Fits(w.own, len(missing)) {
		return // its room is being cleared, or it waits for its team's quota, not for room
	}
	takes := func(h *placement.Host) bool {
		return ask.Allows(h) && !w.own.Avoids(h.Name, p.now) && rule.allows(h)
	}
	place := func(h *placement.Host) int {
		if w.spec.OneZone {
			return h.Zone
		}
		return -1
	}
	empty, free := map[int]int{}, map[int]int{}
	for _, m := range n.board {
		if cpus, gpus, memory, ok := n.capacity(m.view.Type); ok && !m.gone && takes(&m.host) {
			empty[place(&m.host)] += w.spec.Times(cpus, gpus, memory)
		}
	}
	for _, h := range p.hosts {
		if takes(h) {
			free[place(h)] += w.spec.Times(h.CPUs, h.GPUs, h.Memory)
		}
	}
	best, found := -1, false
	for _, zone := range slices.Sorted(maps.Keys(empty)) {
		if empty[zone] >= len(missing) && (!found || free[zone] > free[best]) {
			best, found = zone, true
		}
	}
	if !found {
		return
	}
	left := len(missing)
	for _, h := range p.hosts {
		for ; left > 0 && place(h) == best && ask.Fits(h) && takes(h); left-- {
			h.Take(ask)
			rule.take(h)
			p.kept[keptRoom{w.spec.UID, h.Name}]++
		}
	}
}

// eviction is a task asked to make room for a job.
type eviction struct {
	job   string
	tasks int // of the job that the room will take
	at    time.Time
	// For a gang: where, and how many of its tasks are to run there once all that was asked to make room there has.
	machine string
	slots   int
}

// evictionLife is how long an eviction may take before its room is sought again.
const evictionLife = 5 * time.Second

// soonOver is what a task past its half may have left to be spared, in seconds.
const soonOver = 60

// victim is a task that may be stopped for a wish.
type victim struct {
	ref  ledger.Ref
	spec *wire.Submission
	lost float64 // CPU seconds of progress thrown away
}

// preempt frees room for wishes of higher priority, at the least loss. What
// borrows stops nobody: the room would go to those within their guarantee, and
// the stopped task would come back only to be stopped again.
func (n *Node) preempt(short []wish, roomy []*placement.Host, now time.Time) {
	coming := map[string]int{}
	for ref, e := range n.evicting {
		if now.Sub(e.at) > evictionLife {
			delete(n.evicting, ref)
		} else {
			coming[e.job] += e.tasks
		}
	}
	short = slices.DeleteFunc(short, func(w wish) bool {
		return w.count <= coming[w.own.Spec.UID] || w.borrowed || w.probe || w.own.Spec.Kind == wire.Gang || wire.Rank(w.own.Spec.Priority) == 0
	})
	if len(short) == 0 {
		return
	}
	var ending []ends
	promised := 0.0 // CPUs of what ends, for more urgent wishes
	var search *look
	for _, w := range short {
		uid := w.own.Spec.UID
		need := w.count - coming[uid]
		if ending == nil {
			ending = n.ending(now)
		}
		// What ends by itself within a few seconds goes to the most urgent anyway, if
		// it leaves room enough: the room of smaller tasks is taken by others like them.
		soon := -promised
		for _, e := range ending {
			if e.cpus+1e-6 >= w.own.Spec.CPUs {
				soon += e.rate * patience.Seconds()
			}
		}
		for need > 0 && soon >= w.own.Spec.CPUs {
			soon -= w.own.Spec.CPUs
			promised += w.own.Spec.CPUs
			need--
		}
		if need <= 0 {
			continue
		}
		if search == nil {
			search = n.newLook(n.besides(roomy, now), now)
		}
		ask, rule := n.ask(w.own.Spec), n.zoneRule(w)
		for ; need > 0 && search.left > 0; need-- {
			search.left--
			host, victims := search.cheapestRoom(ask, w.own, rule)
			if host == nil {
				break
			}
			for i, v := range victims {
				e := eviction{job: uid, at: now}
				if i == 0 {
					e.tasks = 1
				}
				n.evicting[v.ref] = e
				host.CPUs, host.GPUs, host.Memory = host.CPUs+v.spec.CPUs, host.GPUs+v.spec.GPUs, host.Memory+v.spec.Memory
				n.evict(evictMsg{Ref: v.ref, For: uid})
			}
			host.Take(ask)
			rule.take(host)
			search.evicted(host, victims)
		}
	}
}

// preemptEvery is how often it is looked whom to stop for others. Each look goes through
// all machines, and what is found takes seconds to end.
const preemptEvery = 200 * time.Millisecond

// besides lists all machines that may take tasks, those with room as this step left them.
func (n *Node) besides(roomy []*placement.Host, now time.Time) []*placement.Host {
	left := map[string]*placement.Host{}
	for _, h := range roomy {
		left[h.Name] = h
	}
	hosts := n.hosts(now, nil)
	for i, h := range hosts {
		if x := left[h.Name]; x != nil {
			hosts[i] = x
		}
	}
	return hosts
}

// patience is how long a job waits for room that comes free by itself before
// others are stopped for it.
const patience = 3 * time.Second

// ends is how many CPUs tasks of one size give back per second.
type ends struct{ cpus, rate float64 }

// endingEvery is how often it is estimated anew what running tasks give back.
const endingEvery = 250 * time.Millisecond

// ending estimates what running tasks give back, by job.
func (n *Node) ending(now time.Time) []ends {
	if n.ends != nil && now.Sub(n.endsAt) < endingEvery {
		return n.ends
	}
	running := map[string]int{}
	for _, m := range n.machines {
		for ref := range m.running {
			running[ref.Job]++
		}
	}
	n.ends, n.endsAt = []ends{}, now
	clear(n.admit.runs)
	for uid, count := range running {
		j := n.jobs[uid]
		if j != nil {
			n.admit.runs[keyOf(j.spec)] += float64(count) * j.spec.CPUs
		}
		if j != nil && j.spec.Estimate > 0 {
			n.ends = append(n.ends, ends{j.spec.CPUs, float64(count) * j.spec.CPUs / j.spec.Estimate})
		}
	}
	return n.ends
}

// maxEvictions bounds the tasks for which one step seeks room by stopping
// others; the next step goes on.
const maxEvictions = 32

// look is one step's search for room held by tasks of lower priority.
type look struct {
	n       *Node
	now     time.Time
	hosts   []*placement.Host
	victims map[*placement.Host][]victim // those of any rank, least loss first
	left    int
}

func (n *Node) newLook(hosts []*placement.Host, now time.Time) *look {
	return &look{n: n, now: now, hosts: hosts, victims: map[*placement.Host][]victim{}, left: maxEvictions}
}

// on lists the tasks of a host that may be stopped, least loss first.
func (l *look) on(h *placement.Host) []victim {
	if list, ok := l.victims[h]; ok {
		return list
	}
	n := l.n
	m := n.machines[h.Name]
	var list []victim
	for _, t := range m.view.Tasks {
		ref := t.Ref()
		j := n.jobs[t.Job]
		if j == nil || !j.active || t.State == wire.Exited || t.State == wire.Saving || j.spec.Kind == wire.Gang {
			continue
		}
		if _, going := n.evicting[ref]; going {
			continue
		}
		if n.keepsFloor(j.spec) {
			continue
		}
		v := victim{ref: ref, spec: j.spec}
		if since, ok := m.running[ref]; ok {
			ran := l.now.Sub(since).Seconds()
			if left := j.spec.Estimate - ran; ran > left && left < soonOver {
				continue // much would be lost
			}
			v.lost = ran * j.spec.CPUs
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(a.ref.Attempt, b.ref.Attempt))
	})
	l.victims[h] = list
	return list
}

// evicted takes the chosen ones out of the search.
func (l *look) evicted(h *placement.Host, chosen []victim) {
	l.victims[h] = slices.DeleteFunc(l.victims[h], func(v victim) bool {
		return slices.ContainsFunc(chosen, func(c victim) bool { return c.ref == v.ref })
	})
}

// cheapestRoom finds the machine where stopping tasks of lower priority loses
// least.
func (l *look) cheapestRoom(ask *placement.Ask, job *ledger.Job, rule *zoneRule) (best *placement.Host, stop []victim) {
	low := 0.0
	rank := wire.Rank(job.Spec.Priority)
	for _, h := range l.hosts {
		if !ask.Allows(h) || job.Avoids(h.Name, l.now) || !rule.allows(h) {
			continue
		}
		room, lost := *h, 0.0
		var list []victim
		for _, v := range l.on(h) {
			if wire.Rank(v.spec.Priority) >= rank {
				continue
			}
			room.CPUs, room.GPUs, room.Memory = room.CPUs+v.spec.CPUs, room.GPUs+v.spec.GPUs, room.Memory+v.spec.Memory
			lost += v.lost
			if best != nil && lost >= low {
				break
			}
			list = append(list, v)
			if ask.Fits(&room) {
				best, stop, low = h, list, lost
				break
			}
		}
		if best != nil && low == 0 {
			break
		}
	}
	return best, stop
}

// evict asks the owner of a task to stop it.
func (n *Node) evict(e evictMsg) {
	j := n.jobs[e.Ref.Job]
	owner := n.record.Items[teamItem(j.spec.Team)].Owner
	if owner == n.name {
		n.onEvict(&e)
		return
	}
	n.links.Send(owner, "evict", e)
}

// onEvict stops a task of an own team for a job of higher priority.
func (n *Node) onEvict(e *evictMsg) {
	victim, job := n.jobs[e.Ref.Job], n.jobs[e.For]
	if victim == nil || job == nil || wire.Rank(job.spec.Priority) <= wire.Rank(victim.spec.Priority) {
		return
	}
	it := n.items[teamItem(victim.spec.Team)]
	if it == nil || it.phase != ready {
		return
	}
	if it.team.Stop(e.Ref, victim.spec.Save) {
		n.log.Debug("task preempted", "task", e.Ref.Job, "index", e.Ref.Index, "for", e.For)
		n.wake()
	}
}

// freed forgets evictions that are over, as a view shows.
func (n *Node) freed(v *ledger.View) {
	if len(n.evicting) == 0 {
		return
	}
	there := map[ledger.Ref]bool{}
	for _, t := range v.Tasks {
		there[t.Ref()] = t.State != wire.Exited
	}
	maps.DeleteFunc(n.evicting, func(ref ledger.Ref, _ eviction) bool {
		on, listed := there[ref]
		return listed && !on
	})
}
