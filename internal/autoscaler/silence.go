package autoscaler

import "time"

// When a silent machine is given up.

// patience is how long a machine may be silent before it is returned. One that
// the cloud no longer lists is gone already, and the cloud's word ends the wait
// for it. Its list is in the order of rental, so that a missing machine before one
// that is there is not just too new. One that an owner's barrier waits for has so
// long as hurry says. In a zone that is cut off, machines and what they run live
// on, and come back with their images and results.
func (f *Fleet) patience(m *Machine, hurry time.Duration, cut bool) time.Duration {
	switch {
	case m.Awaited && m.SkippedInList, m.Awaited && m.ProbeUnanswered && hurry <= f.opt.Overdue:
		return time.Second
	case m.State == "":
		return min(f.opt.Unlisted, f.opt.Silent)
	case m.Awaited:
		return min(hurry, f.opt.Silent)
	case cut:
		return max(f.opt.Cut, f.opt.Silent)
	}
	return f.opt.Silent
}

// hurry is how long a machine may be silent that a barrier waits for, which costs
// all of a team more than a new machine. If only a few are missing when all others
// must have reported, it is those; if many are, they get the time in which a worker
// finds another controller, and more than a tenth are rather cut off.
func (f *Fleet) hurry(machines []Machine, now, settled time.Time) time.Duration {
	overdue, silent := 0, 0
	for i := range machines {
		m := &machines[i]
		if m.Awaited && m.ProbeUnanswered {
			overdue++
		} else if quiet := now.Sub(later(m.Heard, settled)); m.Awaited && quiet > f.opt.Hurry {
			overdue++
			silent++
		} else if m.Awaited && quiet > f.opt.Overdue {
			overdue++
		}
	}
	switch {
	case 50*overdue <= len(machines):
		return f.opt.Overdue
	case silent <= (len(machines)+9)/10:
		return f.opt.Hurry
	}
	return f.opt.Silent
}

// enoughForCut is how many machines of a zone there must be to tell a cut of the
// zone from the end of some of them.
const enoughForCut = 4

// cutZones are the zones of whose machines at least three quarters fell silent, so
// that it is rather the zone's network.
func (f *Fleet) cutZones(machines []Machine, now, settled time.Time) map[string]bool {
	known, silent := map[string]int{}, map[string]int{}
	for i := range machines {
		m := &machines[i]
		if m.Heard.IsZero() || m.HomeUnheard {
			continue
		}
		known[m.Zone]++
		if now.Sub(later(m.Heard, settled)) > f.opt.Hurry/2 {
			silent[m.Zone]++
		}
	}
	cut := map[string]bool{}
	for zone, n := range known {
		cut[zone] = n >= enoughForCut && 4*silent[zone] >= 3*n
	}
	return cut
}
