package autoscaler

import (
	"cmp"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// maxWaitForKept is how long work may wait while the kept machines appear to have room for it. After that they are taken
// for unusable to it, for a reason that is not known here, such as errors of the job's tasks on them.
const maxWaitForKept = 5 * time.Second

// returnPass returns retired machines to service for waiting tasks that the kept machines have no room for.
type returnPass struct {
	autoscaler *Autoscaler
	kept       forecast           // the present room on the kept machines
	retired    []*bin             // the present room on the retired machines, the fullest first
	names      map[*bin]string    // of the retired machines
	useless    map[taskShape]bool // shapes of tasks that no retired machine has room for
}

// returnNeeded returns to service every retired machine that waiting tasks need: under their own constraints they do not
// fit on the kept machines, or they have waited for too long. Sums of free capacity do not show that, as a task may be
// allowed on few of the machines that the sum counts.
func (a *Autoscaler) returnNeeded(live []*Machine, types []protocol.MachineType, demands []Demand, now time.Time) {
	a.recordWaiting(demands, now)
	if len(a.retired) == 0 || len(a.waitingSince) == 0 {
		return
	}
	p := a.newReturnPass(live)
	for i := range demands {
		d := &demands[i]
		switch {
		case d.Count == 0:
		case now.Sub(a.waitingSince[d.Spec.UID]) >= maxWaitForKept:
			p.returnUntilFits(d.Spec, d.Count)
		default:
			p.provide(types, d)
		}
	}
}

// recordWaiting records since when each job has had waiting tasks without interruption.
func (a *Autoscaler) recordWaiting(demands []Demand, now time.Time) {
	before := a.waitingSince
	a.waitingSince = make(map[string]time.Time, len(demands))
	for i := range demands {
		uid := demands[i].Spec.UID
		if since, waited := before[uid]; waited && demands[i].Count > 0 {
			a.waitingSince[uid] = since
		} else if demands[i].Count > 0 {
			a.waitingSince[uid] = now
		}
	}
}

// newReturnPass returns a pass over the given machines.
func (a *Autoscaler) newReturnPass(live []*Machine) *returnPass {
	p := &returnPass{autoscaler: a, kept: forecast{queues: map[taskShape]*binQueue{}}, names: map[*bin]string{}, useless: map[taskShape]bool{}}
	for _, m := range live {
		b := m.presentBin()
		if a.retired[m.Name] {
			p.retired = append(p.retired, b)
			p.names[b] = m.Name
		} else {
			p.kept.bins = append(p.kept.bins, b)
		}
	}
	slices.SortFunc(p.retired, func(x, y *bin) int {
		return cmp.Or(cmp.Compare(x.changes[0].cpus, y.changes[0].cpus), cmp.Compare(p.names[x], p.names[y]))
	})
	return p
}

// provide makes room for a demand's tasks on the kept machines, by returning retired ones where that is necessary.
func (p *returnPass) provide(types []protocol.MachineType, d *Demand) {
	if d.Spec.Zone != nil || !d.Spec.OneZone && !d.Spec.Spread {
		p.place(d.Spec, d.Count)
		return
	}
	zones := p.kept.gangZones(types, d.Spec, d.Count)
	if d.Spec.OneZone {
		for i := range zones {
			if zones[i].at == 0 {
				p.place(zones[i].spec, d.Count)
				return
			}
		}
	}
	// The zones of the job's other tasks are not known here, so that the waiting ones may need any of the zones.
	for i := range zones {
		p.place(zones[i].spec, d.Count)
	}
}

// place reserves room for tasks on the kept machines, and returns retired machines that fit as long as it is too little.
func (p *returnPass) place(s *protocol.Submission, count int) {
	for count > 0 {
		queue := p.kept.queueFor(s, false)
		if queue.earliestStart() == 0 {
			count -= queue.reserve(ServiceRunSeconds, count)
		} else if p.returnFor(s) == nil {
			return
		}
	}
}

// returnUntilFits returns retired machines until they have room for all of the tasks, or no other one fits.
func (p *returnPass) returnUntilFits(s *protocol.Submission, count int) {
	for count > 0 {
		b := p.returnFor(s)
		if b == nil {
			return
		}
		count -= b.tasksThatFit(s, 0)
	}
}

// returnFor returns to service the fullest retired machine that has room for a task of a job, and gives its room. It
// returns nil if there is none.
func (p *returnPass) returnFor(s *protocol.Submission) *bin {
	shape := shapeOf(s, false)
	if p.useless[shape] {
		return nil
	}
	i := slices.IndexFunc(p.retired, func(b *bin) bool {
		return allowed(s, b.pool.Type, b.pool.Zone, b.pool.Spot) && b.tasksThatFit(s, 0) > 0
	})
	if i < 0 {
		p.useless[shape] = true
		return nil
	}
	b := p.retired[i]
	p.retired = slices.Delete(p.retired, i, i+1)
	delete(p.autoscaler.retired, p.names[b])
	p.kept.bins = append(p.kept.bins, b)
	return b
}
