package autoscaler

import (
	"math"
	"time"

	"topazhollow/internal/protocol"
)

// Outlook counts waiting tasks by what a decision expects of them. It tells operators why machines are acquired or not.
type Outlook struct {
	InTime      int // start in time on machines that exist or were requested earlier
	Acquiring   int // start on machines that are acquired for them
	NoSooner    int // start late, and a new machine would be up no sooner
	Refused     int // start late, and the pools that could help refuse requests at present
	NoPool      int // the catalog has no machine that they may use
	Unavailable int // number of pools that refuse requests at present

	LongestWaitSeconds float64 // until the last task starts that a new machine would help
	// CannotGrow is set if that was longer than saturatedWait within growthMemory, and no machine was to be had for as long.
	// While machines are requested the tasks count as if these were granted.
	CannotGrow bool

	Requested          int     // machines requested, not answered yet
	LongestBootSeconds float64 // expected boot time, of the type and zone where it is longest
}

// growthMemory is for how long after the last acquisition a fleet counts as growing. Requests to a pool that refuses are
// repeated within it.
const growthMemory = 3 * maxBackoff / 2

// saturatedWait is how long tasks must be expected to wait for a fleet that does not grow to count as one that cannot. A
// shorter queue passes by itself.
const saturatedWait = 2 * time.Minute

// outlook completes the pass's counts of tasks with the state of the pools.
func (r *scaleOutPass) outlook() Outlook {
	a, out := r.autoscaler, r.counts
	if out.LongestWaitSeconds >= saturatedWait.Seconds() {
		a.waitedLongAt = r.now
	}
	out.CannotGrow = r.now.Sub(a.waitedLongAt) < growthMemory && r.now.Sub(a.grewAt) >= growthMemory
	for _, count := range a.pending {
		out.Requested += count
	}
	for i := range r.types {
		t := &r.types[i]
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				p := pool{t.Name, zone, spot}
				out.LongestBootSeconds = max(out.LongestBootSeconds, a.bootSeconds(p, t))
				if a.isUnavailable(p, r.now) {
					out.Unavailable++
				}
			}
		}
	}
	return out
}

// countLate counts tasks that start late, in the given number of seconds, and for which no machine is acquired.
func (r *scaleOutPass) countLate(d *Demand, tasks int, start float64) {
	switch usable, refuses := r.poolsFor(d.Spec, start); {
	case !usable:
		r.counts.NoPool += tasks
	case refuses:
		r.counts.Refused += tasks
		r.counts.LongestWaitSeconds = max(r.counts.LongestWaitSeconds, start)
	default:
		r.counts.NoSooner += tasks
	}
}

// countGang counts the tasks of a gang, which start in the given number of seconds. acquired is set if machines are
// acquired for them.
func (r *scaleOutPass) countGang(d *Demand, start float64, acquired bool) {
	switch {
	case acquired:
		r.counts.Acquiring += d.Count
	case math.IsInf(start, 1):
		r.countLate(d, d.Count, start)
	default:
		r.counts.InTime += d.Count
	}
}

// poolsFor reports whether any pool has machines that a job may use, and whether a pool refuses requests whose machines
// would be up before the job's tasks start, in the given number of seconds.
func (r *scaleOutPass) poolsFor(s *protocol.Submission, start float64) (usable, refuses bool) {
	a := r.autoscaler
	for i := range r.types {
		t := &r.types[i]
		if !hasRoomFor(t, s) {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				if p := (pool{t.Name, zone, spot}); allowed(s, p.Type, p.Zone, p.Spot) {
					usable = true
					refuses = refuses || a.isUnavailable(p, r.now) && a.bootSeconds(p, t) < start
				}
			}
		}
	}
	return usable, refuses
}
