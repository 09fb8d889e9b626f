package agents

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Removal of machines from the roster. A list that another limit on values allowed may be larger than any value that can
// be written now, so it can't be rewritten without the machines that are gone. Such a list is split: the names that do
// not fit are first added to lists under the same prefix whose keys sort behind its own, and are left out of it only
// once they are known to be there.
//
// A machine that is on no list counts as gone. This never happens to another machine, whatever writes are lost, delayed
// or made by several controllers at once: a name is left out of a list only because it was on a list with a higher key,
// so that a name that was once on a list stays on that list or on one with a higher key. A reader that lists the keys
// in order also finds it on one of them.

// rosterPlan collects the writes of one call of PlanDeregistration.
type rosterPlan struct {
	roster *Roster
	drafts map[string]*draft // by key
}

// draft is a value to be written.
type draft struct {
	names map[string]bool
	size  int // of the encoded value in bytes

	addsCopies bool
}

// newDraft returns a draft with the given names.
func newDraft(names []string) *draft {
	d := &draft{names: map[string]bool{}, size: emptyValueSize}
	for _, name := range names {
		d.add(name)
	}
	return d
}

// add adds a name that the draft lacks.
func (d *draft) add(name string) {
	d.names[name] = true
	d.size += entrySize(name)
}

// PlanDeregistration returns the writes that remove machines from the roster. Machines on a list that is too large to
// be rewritten are removed by a later call, once the writes that split the list are applied.
func (r *Roster) PlanDeregistration(gone map[string]bool) []RosterWrite {
	plan := rosterPlan{roster: r, drafts: map[string]*draft{}}
	overflow := map[string][]string{} // by key, names to be added to other lists
	for key, l := range r.lists {
		left := namesWithout(l.names, gone)
		if len(left) == len(l.names) {
			continue
		}
		if d := newDraft(left); d.size <= r.maxValueSize {
			plan.drafts[key] = d
		} else if kept := slices.DeleteFunc(left, func(name string) bool { return r.isOnHigherList(name, key) }); r.fits(kept) {
			plan.drafts[key] = newDraft(kept)
		} else {
			overflow[key] = r.overflow(kept)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(overflow)) {
		plan.copyBehind(key, overflow[key], gone)
	}
	return plan.writes()
}

// namesWithout returns the names that are not gone, in order.
func namesWithout(names, gone map[string]bool) []string {
	left := make([]string, 0, len(names))
	for name := range names {
		if !gone[name] {
			left = append(left, name)
		}
	}
	slices.Sort(left)
	return left
}

// listPrefix returns the part of a list's key that precedes its number.
func listPrefix(key string) string { return key[:strings.LastIndexByte(key, '/')+1] }

// isOnHigherList reports whether a name is known to be on a list under the same prefix with a higher key.
func (r *Roster) isOnHigherList(name, key string) bool {
	if r.listCount[name] < 2 {
		return false
	}
	for other, l := range r.lists {
		if other > key && listPrefix(other) == listPrefix(key) && l.names[name] {
			return true
		}
	}
	return false
}

// fits reports whether a list of names may be written.
func (r *Roster) fits(names []string) bool { return newDraft(names).size <= r.maxValueSize }

// overflow returns the names at the end of a list that is too large, without which it may be written.
func (r *Roster) overflow(names []string) []string {
	size := emptyValueSize
	for i, name := range names {
		if size += entrySize(name); size > r.maxValueSize {
			return names[i:]
		}
	}
	return nil
}

// copyBehind adds names to lists with room under the prefix of a key that sort behind the key.
func (p *rosterPlan) copyBehind(key string, names []string, gone map[string]bool) {
	prefix := listPrefix(key)
	for i := 0; len(names) > 0; i++ {
		target := prefix + strconv.Itoa(i)
		if target <= key {
			continue
		}
		names = p.copyTo(target, names, gone)
	}
}

// copyTo adds as many of the names to a list as fit, and returns the rest.
func (p *rosterPlan) copyTo(target string, names []string, gone map[string]bool) (rest []string) {
	d := p.drafts[target]
	if d == nil {
		d = &draft{names: map[string]bool{}, size: emptyValueSize}
		if l := p.roster.lists[target]; l != nil {
			d = newDraft(namesWithout(l.names, gone))
		}
	}
	for i, name := range names {
		if d.names[name] {
			continue
		}
		if d.size+entrySize(name) > p.roster.maxValueSize {
			return names[i:]
		}
		d.add(name)
		d.addsCopies = true
		p.drafts[target] = d
	}
	return nil
}

// writes returns the planned writes in the order of their keys.
func (p *rosterPlan) writes() []RosterWrite {
	var writes []RosterWrite
	for _, key := range slices.Sorted(maps.Keys(p.drafts)) {
		d := p.drafts[key]
		w := RosterWrite{Key: key, Names: slices.Sorted(maps.Keys(d.names)), AddsCopies: d.addsCopies}
		if l := p.roster.lists[key]; l != nil {
			w.Version = l.version
		}
		if w.Names == nil {
			w.Names = []string{}
		}
		writes = append(writes, w)
	}
	return writes
}
