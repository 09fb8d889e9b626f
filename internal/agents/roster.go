package agents

import (
	"encoding/json"
	"errors"
	"maps"
	"math"
	"slices"
	"strconv"
)

// Roster is what a controller knows of the machines registered in the key-value store. Each key lists many of them, so
// that a wave of new or returned machines takes few writes. A controller registers machines under keys of its own; any
// controller may deregister those that the cloud confirmed to be gone.
type Roster struct {
	maxValueSize int // bytes that a key's value may have
	lists        map[string]*list
	listCount    map[string]int // by machine, how many lists name it
}

type list struct {
	version uint64
	names   map[string]bool
	size    int
}

// RosterWrite is a change of one key, to be written if the key still has the version.
type RosterWrite struct {
	Key     string
	Version uint64
	Names   []string
}

// Value is what the write puts into the key-value store.
func (w *RosterWrite) Value() RosterValue { return RosterValue{After: w.Version, Names: w.Names} }

// RosterValue is a key's value: the machines, and the version that it replaced. Keys are never deleted, so a value that
// replaced an older version than another controller has seen was written over a store that had lost that version;
// machines that it does not name are not deregistered by it.
type RosterValue struct {
	After uint64   `json:"after"`
	Names []string `json:"names"`
}

// DecodeRosterValue decodes a key's value; earlier versions of the program wrote the names alone.
func DecodeRosterValue(value json.RawMessage) (v RosterValue, err error) {
	if len(value) > 0 && value[0] == '[' {
		v.After = math.MaxUint64
		return v, json.Unmarshal(value, &v.Names)
	}
	return v, json.Unmarshal(value, &v)
}

// valueSize is what a value takes beside its names.
const valueSize = len(`{"after":18446744073709551615,"names":[]}`)

// ErrRosterDataLost says that a list of machines was written over a store that had lost the one known here.
var ErrRosterDataLost = errors.New("workers: a list of machines does not follow the one known")

// NewRoster returns an empty roster whose values may take so many bytes.
func NewRoster(maxValueSize int) *Roster {
	return &Roster{maxValueSize: maxValueSize, lists: map[string]*list{}, listCount: map[string]int{}}
}

// Has says whether a machine is registered.
func (r *Roster) Has(machine string) bool { return r.listCount[machine] > 0 }

// All returns the registered machines in no order.
func (r *Roster) All() []string { return slices.Collect(maps.Keys(r.listCount)) }

// Versions returns the version of each key known.
func (r *Roster) Versions() map[string]uint64 {
	out := make(map[string]uint64, len(r.lists))
	for key, l := range r.lists {
		if l.version > 0 {
			out[key] = l.version
		}
	}
	return out
}

// Keys returns the keys known to name any machine.
func (r *Roster) Keys() []string {
	var keys []string
	for key, l := range r.lists {
		if len(l.names) > 0 {
			keys = append(keys, key)
		}
	}
	return keys
}

// ApplyList takes in a key's value as of a version; an older one than known is ignored. It returns which machines became
// registered and which are no more, or ErrRosterDataLost.
func (r *Roster) ApplyList(key string, version uint64, value RosterValue) (added, removed []string, err error) {
	l := r.lists[key]
	if l == nil {
		l = &list{names: map[string]bool{}}
		r.lists[key] = l
	}
	if version <= l.version {
		return nil, nil, nil
	}
	if value.After < l.version {
		return nil, nil, ErrRosterDataLost
	}
	old := l.names
	l.version, l.names, l.size = version, map[string]bool{}, valueSize
	for _, name := range value.Names {
		if l.names[name] {
			continue
		}
		l.names[name] = true
		l.size += entrySize(name)
		if !old[name] {
			if r.listCount[name]++; r.listCount[name] == 1 {
				added = append(added, name)
			}
		}
	}
	for name := range old {
		if l.names[name] {
			continue
		}
		if r.listCount[name]--; r.listCount[name] <= 0 {
			delete(r.listCount, name)
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return added, removed, nil
}

// entrySize is what a name takes in a value, with quotes and comma.
func entrySize(name string) int { return len(name) + 3 }

// PlanRegistration returns the write that registers machines, as many as fit, in a key under a prefix that only this
// controller adds to.
func (r *Roster) PlanRegistration(prefix string, machines []string) RosterWrite {
	for i := 0; ; i++ {
		key := prefix + strconv.Itoa(i)
		l := r.lists[key]
		if l == nil {
			l = &list{size: valueSize}
		}
		w := RosterWrite{Key: key, Version: l.version, Names: slices.Collect(maps.Keys(l.names))}
		size := l.size
		for _, name := range machines {
			if size += entrySize(name); size > r.maxValueSize {
				break
			}
			w.Names = append(w.Names, name)
		}
		if len(w.Names) > len(l.names) {
			slices.Sort(w.Names)
			return w
		}
	}
}

// PlanDeregistration returns the writes that take machines off the roster.
func (r *Roster) PlanDeregistration(gone map[string]bool) []RosterWrite {
	var writes []RosterWrite
	for _, key := range slices.Sorted(maps.Keys(r.lists)) {
		l := r.lists[key]
		left := make([]string, 0, len(l.names))
		for name := range l.names {
			if !gone[name] {
				left = append(left, name)
			}
		}
		if len(left) < len(l.names) {
			slices.Sort(left)
			writes = append(writes, RosterWrite{Key: key, Version: l.version, Names: left})
		}
	}
	return writes
}
