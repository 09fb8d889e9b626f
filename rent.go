package topazhollow

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"topazhollow/internal/cloud"
	"topazhollow/internal/fleet"
	"topazhollow/internal/settings"
	"topazhollow/internal/tenure"
	"topazhollow/internal/wire"
)

// answerTime is how long a worker waits for the answer to a report, and until it
// tries the next controller.
const answerTime = 6 * time.Second

// readCatalog keeps the machine types known. The fleet's owner reads prices
// often, the others only until they know the types.
func (n *Node) readCatalog(ctx context.Context) error {
	for ctx.Err() == nil {
		types, err := n.cloud.Catalog(ctx)
		wait := 5 * time.Minute
		n.mu.Lock()
		if err == nil && len(types) > 0 {
			n.types = types
			n.recount(maps.Keys(n.machines))
			n.wake()
		} else {
			n.log.Info("catalog not read", "err", err)
			wait = time.Second
		}
		if n.items[tenure.Fleet] != nil {
			wait = min(wait, 30*time.Second)
		}
		n.mu.Unlock()
		if !pause(ctx, wait) {
			return nil
		}
	}
	return nil
}

// rental is what the fleet's owner knows of the cloud.
type rental struct {
	since   uint64
	f       *fleet.Fleet
	list    map[string]wire.Host
	seen    map[string]time.Time // first known, by this controller
	rented  map[string]wire.Rent
	giving  map[string]bool
	polled  time.Time
	polling bool
	started time.Time
	turn    chan struct{} // whose turn it is to ask the cloud for machines
	told    time.Time     // when the log last told of the whole fleet
}

// tellEvery is how often the log tells of the whole fleet.
const tellEvery = 20 * time.Second

// specIn is a job's description with its tasks bound to a zone; "" binds nothing.
func specIn(spec *wire.Submission, zone string) *wire.Submission {
	if zone == "" {
		return spec
	}
	bound := *spec
	bound.Zone = &zone
	return &bound
}

// tellFleet logs what the fleet looks like, so that an incident can be followed
// from the log alone.
func (n *Node) tellFleet(r *rental, machines []fleet.Machine, demands []fleet.Demand, plan *fleet.Plan, now time.Time) {
	if now.Sub(r.told) < tellEvery {
		return
	}
	r.told = now
	up, spot, silent, waiting, pulling, running := 0, 0, 0, 0, 0, 0
	free, all := 0.0, 0.0
	for i := range machines {
		m := &machines[i]
		x := n.machines[m.Name]
		if x.view == nil {
			continue
		}
		up++
		if m.Spot {
			spot++
		}
		if now.Sub(x.heard) > n.vainFor() {
			silent++
		}
		cpus, _, _, _ := n.capacity(x.view.Type)
		free, all = free+m.CPUs, all+cpus
		for _, t := range x.view.Tasks {
			switch t.State {
			case wire.Pulling:
				pulling++
			case wire.Running:
				running++
			}
		}
	}
	for _, d := range demands {
		waiting += d.Count
	}
	n.log.Info("fleet", "machines", up, "spot", spot, "on_their_way", len(machines)-up, "silent", silent, "retired", len(plan.Retire),
		"free_share", math.Round(1000*free/max(all, 1))/1000, "tasks_running", running, "tasks_pulling", pulling, "tasks_waiting", waiting)
}

// runFleet rents and returns while this controller owns the fleet.
func (n *Node) runFleet(ctx context.Context) error {
	var r *rental
	for pause(ctx, 500*time.Millisecond) {
		now := time.Now()
		n.mu.Lock()
		it := n.items[tenure.Fleet]
		if it == nil || !n.entitled(now) || n.types == nil {
			if it == nil {
				r = nil
				n.drain, n.late = map[string]bool{}, nil
			}
			n.mu.Unlock()
			continue
		}
		if r == nil || r.since != it.since {
			lease := settings.Seconds(n.set.Deployment.Workers.Lease)
			r = &rental{since: it.since, started: now, turn: make(chan struct{}, rentsOut), list: map[string]wire.Host{}, seen: map[string]time.Time{},
				rented: map[string]wire.Rent{}, giving: map[string]bool{},
				f: fleet.New(fmt.Sprintf("%s-%d-%d", n.name, n.inc, it.since), fleet.Options{
					IdleReturn: settings.Seconds(n.opt.IdleReturn), Warm: n.opt.WarmMachines, Haste: n.opt.Haste, SpotShare: n.opt.SpotShare,
					// Lists may be twice as old as their lag, and a report may be late.
					Unlisted: settings.Seconds(2*n.set.Deployment.Cloud.ListLag) + time.Second,
					Hurry:    settings.Seconds(2*n.set.Deployment.Workers.Report) + answerTime,
					Overdue:  n.overdue() + time.Second,
					Silent:   min(lease+4*time.Second, settings.Seconds(n.set.Deployment.Workers.Cancel)/2),
					// What runs in a cut zone is kept alive there for no longer than this.
					Cut: settings.Seconds(n.set.Deployment.Workers.Cancel)})}
		}
		n.poll(r, now)
		if r.polled.IsZero() {
			n.mu.Unlock()
			continue
		}
		machines := n.fleetView(r, now)
		var demands []fleet.Demand
		add := func(list []demand) {
			for _, d := range list {
				if j := n.jobs[d.Job]; j != nil && j.active {
					demands = append(demands, fleet.Demand{Spec: specIn(j.spec, d.Zone), Count: d.Count, Beyond: d.Beyond, Late: n.due(j, now).Add(-time.Duration(d.Behind) * time.Millisecond),
						Cheap: wire.Rank(j.spec.Priority) == 0 && len(n.goals(j)) == 0})
				}
			}
		}
		add(n.demands(now))
		for _, p := range slices.Sorted(maps.Keys(n.peers)) {
			if ps := n.peers[p]; now.Sub(ps.heard) < 3*time.Second && ps.entitled {
				add(ps.demands)
			}
		}
		slices.SortStableFunc(demands, func(a, b fleet.Demand) int {
			if d := wire.Rank(b.Spec.Priority) - wire.Rank(a.Spec.Priority); d != 0 {
				return d
			}
			return a.Late.Compare(b.Late)
		})
		settled := later(n.settled, r.started)
		plan := r.f.Decide(n.types, machines, demands, n.inflow(now), now, settled)
		if !slices.Equal(plan.Late, n.late) {
			n.log.Info("places where machines come up late", "before", n.late, "now", plan.Late)
			n.late = plan.Late
		}
		n.tellFleet(r, machines, demands, &plan, now)
		n.makePlan(machines, demands, now)
		lag := settings.Seconds(n.set.Deployment.Cloud.ListLag)
		if now.Sub(r.started) < lag && (r.since > n.record.First || n.record.Generation > 1) {
			plan.Rent = nil // machines rented by the last owner may not be listed yet
			r.f.Forget()
		}
		n.give(r, plan.Return, plan.Retire)
		if writes := n.unstruck(); len(writes) > 0 && !n.striking {
			n.striking = true
			n.group.Go(func() error {
				n.strike(n.ctx, writes)
				return nil
			})
		}
		n.mu.Unlock()
		for _, rent := range plan.Rent {
			n.group.Go(func() error {
				n.rent(ctx, r, rent)
				return nil
			})
		}
	}
	return nil
}

// inflowOver is the time over which what comes is counted.
const inflowOver = time.Minute

// inflow is how many CPUs the jobs that came of late keep busy.
func (n *Node) inflow(now time.Time) fleet.Inflow {
	in := fleet.Inflow{}
	for _, j := range n.jobs {
		if j.spec.Kind != wire.Service && !j.at.IsZero() && now.Sub(j.at) < inflowOver {
			in[wire.Rank(j.spec.Priority)] += float64(j.spec.Tasks) * j.spec.CPUs * j.spec.Estimate / inflowOver.Seconds()
		}
	}
	return in
}

// due is when a job should be complete for what the fleet rents. What is late
// anyway is not worth more machines at once than a new one takes to come up.
func (n *Node) due(j *job, now time.Time) time.Time {
	goal, late := n.goal(j, now)
	haste := time.Duration(n.opt.Haste * float64(run(j.spec)))
	switch {
	case late:
		return now.Add(haste + time.Minute)
	case len(n.goals(j)) == 0:
		return j.at.Add(haste + 5*time.Second)
	}
	return goal
}

// poll reads the cloud's list, at most about once in half its lag.
func (n *Node) poll(r *rental, now time.Time) {
	every := max(2*time.Second, settings.Seconds(n.set.Deployment.Cloud.ListLag)/2)
	if r.polling || now.Sub(r.polled) < every {
		return
	}
	r.polling = true
	n.group.Go(func() error {
		hosts, err := n.cloud.List(n.ctx)
		n.mu.Lock()
		defer n.mu.Unlock()
		r.polling = false
		if err != nil {
			n.log.Info("cloud list not read", "err", err)
			return nil
		}
		r.polled = time.Now()
		r.list = map[string]wire.Host{}
		for _, h := range hosts {
			if !n.machine(h.UID).gone {
				r.list[h.UID] = h
			}
		}
		awaited, _ := n.awaited(r.polled)
		n.knockAll(r.list, awaited)
		return nil
	})
}

// awaited is the machines that any owner's barrier waits for, and those that did
// not answer their home's knock.
func (n *Node) awaited(now time.Time) (awaited, mute map[string]bool) {
	awaited, mute = map[string]bool{}, map[string]bool{}
	add := func(to map[string]bool, names []string) {
		for _, name := range names {
			to[name] = true
		}
	}
	add(awaited, n.awaits())
	add(mute, n.mute())
	for _, p := range n.peers {
		if now.Sub(p.heard) < 3*time.Second {
			add(awaited, p.awaits)
			add(mute, p.mute)
		}
	}
	return awaited, mute
}

// fleetView sums up every machine that is listed, registered, reporting or
// rented lately.
func (n *Node) fleetView(r *rental, now time.Time) []fleet.Machine {
	n.recountMoved()
	names := map[string]bool{}
	for name := range r.list {
		names[name] = true
	}
	for name := range r.rented {
		names[name] = true
	}
	for name, m := range n.machines {
		if !m.gone && (m.view != nil || n.roster.Has(name)) {
			names[name] = true
		}
	}
	awaited, mute := n.awaited(now)
	var out []fleet.Machine
	last := "" // in the cloud's list, whose order is that of rental
	for name := range r.list {
		last = max(last, name)
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		x := n.machine(name)
		if x.gone || r.giving[name] {
			continue
		}
		if r.seen[name].IsZero() {
			r.seen[name] = now
			if h, ok := r.list[name]; ok {
				r.seen[name] = now.Add(-settings.Seconds(h.Age))
			}
		}
		m := fleet.Machine{Name: name, Since: r.seen[name], Heard: x.lastHeard(), Idle: x.idle, Kept: n.roster.Has(name), Bad: n.blame.Bad(name, now), Awaited: awaited[name], Mute: mute[name],
			Unknown: x.view != nil && n.homeUnheard(name, now)}
		m.Passed = name < last
		if h, ok := r.list[name]; ok {
			m.Type, m.Zone, m.Spot, m.State, m.Passed = h.Type, h.Zone, h.Spot, h.State, false
		} else if rent, ok := r.rented[name]; ok {
			m.Type, m.Zone, m.Spot = rent.Type, rent.Zone, rent.Spot
		}
		if x.view != nil {
			m.Type, m.Zone, m.Spot, m.Going = x.view.Type, x.view.Zone, x.view.Spot, x.view.Notice
			if n.count(x) {
				m.CPUs, m.GPUs, m.Mem = x.host.CPUs, x.host.GPUs, x.host.Memory
			}
			for _, t := range x.view.Tasks {
				if j := n.jobs[t.Job]; j != nil && t.State != wire.Exited {
					left := max(j.spec.Estimate, 1)
					if j.spec.Kind == wire.Service {
						left = 1e6
					} else if since, ok := x.running[t.Ref()]; ok {
						left = max(left-now.Sub(since).Seconds(), left/8)
					}
					m.Slots = append(m.Slots, fleet.Slot{CPUs: j.spec.CPUs, GPUs: j.spec.GPUs, Mem: j.spec.Memory, Left: left, Pinned: !j.spec.Spot})
				}
			}
			if m.Heard.IsZero() {
				m.Heard = r.started
			}
		}
		out = append(out, m)
	}
	return out
}

// lastHeard is when any controller last heard a machine, as far as known here. One
// that reports in vain to other controllers is alive, whatever its home says; a
// machine that never reported to its home counts from there.
func (m *machine) lastHeard() time.Time {
	if m.heard.IsZero() {
		return m.heard
	}
	return later(m.heard, m.came)
}

// homeUnheard says whether a machine's home is another member that holds its lease
// but is not heard here, as when connections between controllers are refused. Then
// nothing that happens on the machine is heard here either.
func (n *Node) homeUnheard(name string, now time.Time) bool {
	home := n.homeOf(name)
	p := n.peers[home]
	return p != nil && n.live[home].Incarnation == n.record.Nodes[home] && !p.near(now)
}

// rentsOut is how many requests for machines are paced or under way at a time. The others wait for their turn, and are
// dropped when it comes if their place has refused one meanwhile: they once held up more urgent ones by a quarter of a minute.
const rentsOut = 2

func (n *Node) rent(ctx context.Context, r *rental, rent wire.Rent) {
	select {
	case r.turn <- struct{}{}:
		defer func() { <-r.turn }()
	case <-ctx.Done():
		return
	}
	n.mu.Lock()
	if now := time.Now(); r.f.Moot(rent, now) {
		r.f.Answered(rent, 0, now, false)
		n.mu.Unlock()
		return
	}
	n.mu.Unlock()
	names, err := n.cloud.Rent(ctx, rent)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.log.Info("rent", "request", rent.Request, "type", rent.Type, "zone", rent.Zone, "spot", rent.Spot, "count", rent.Count, "got", len(names), "err", err)
	for _, name := range names {
		r.rented[name] = rent
		r.seen[name] = now
	}
	r.f.Answered(rent, len(names), now, err == nil || errors.Is(err, cloud.ErrNoCapacity))
}

// give returns machines: first nothing more is placed there, then the cloud is
// asked, and only its confirmation ends what may be on them. On those that retire
// nothing more is placed either.
func (n *Node) give(r *rental, names, retire []string) {
	var now []string
	for _, name := range names {
		if n.drain[name] {
			if len(now) < 100 {
				now = append(now, name)
				r.giving[name] = true
			}
		}
	}
	n.drain = map[string]bool{}
	for _, name := range slices.Concat(names, retire) {
		n.drain[name] = true
	}
	if len(now) == 0 {
		return
	}
	n.group.Go(func() error {
		err := n.cloud.Return(n.ctx, now)
		n.log.Info("return", "machines", now, "err", err)
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, name := range now {
			delete(r.giving, name)
			if err == nil {
				delete(r.rented, name)
				delete(r.list, name)
				n.machineGone(name)
			}
		}
		return nil
	})
}
