package agents

import (
	"encoding/json"
	"errors"
	"maps"
	"math"
	"slices"
	"strconv"
)

// Roster is a controller's view of the machines registered in the state service. Each key lists many machines, so that
// a batch of acquired or released machines takes few writes. A controller registers machines only under its own keys.
// Any controller may deregister machines that are confirmed by the cloud to be gone.
type Roster struct {
	maxValueSize int // maximum size of a key's value in bytes
	lists        map[string]*list
	listCount    map[string]int // by machine, number of lists that contain it
}

// list is the last known value of a key.
type list struct {
	version uint64
	names   map[string]bool
	size    int // of the encoded value in bytes
}

// RosterWrite is a conditional write of one key: it applies only if the key still has the given version.
type RosterWrite struct {
	Key     string
	Version uint64
	Names   []string

	AddsCopies bool // it adds names that are on another list, to be left out there later
}

// Value returns the value to be written.
func (w *RosterWrite) Value() RosterValue { return RosterValue{After: w.Version, Names: w.Names} }

// RosterValue is a key's value: the machines, and the version of the key that it replaced. Keys are never deleted. If
// that version is older than one that a controller knows, the store had lost the later version before this value was
// written, and machines missing from the value have not been deregistered.
type RosterValue struct {
	After uint64   `json:"after"`
	Names []string `json:"names"`
}

// DecodeRosterValue decodes a key's value. It also accepts the format of earlier versions of the program, a plain list
// of names.
func DecodeRosterValue(value json.RawMessage) (v RosterValue, err error) {
	if len(value) > 0 && value[0] == '[' {
		v.After = math.MaxUint64
		return v, json.Unmarshal(value, &v.Names)
	}
	return v, json.Unmarshal(value, &v)
}

// emptyValueSize is the maximum size in bytes of an encoded value without names.
const emptyValueSize = len(`{"after":18446744073709551615,"names":[]}`)

// ErrRosterDataLost means that the state service had lost the list known here before another one was written.
var ErrRosterDataLost = errors.New("roster: list of machines replaces an older version than the known one")

// NewRoster returns an empty Roster whose encoded values are limited to maxValueSize bytes.
func NewRoster(maxValueSize int) *Roster {
	return &Roster{maxValueSize: maxValueSize, lists: map[string]*list{}, listCount: map[string]int{}}
}

// minValueSize is the lowest limit on values that a list is split for, in bytes.
const minValueSize = 1 << 10

// HalveValueSize lowers the limit on values after the state service refused a list as too large, so that later writes
// split it.
func (r *Roster) HalveValueSize() {
	r.maxValueSize = max(min(minValueSize, r.maxValueSize), r.maxValueSize/2)
}

// Has reports whether a machine is registered.
func (r *Roster) Has(machine string) bool { return r.listCount[machine] > 0 }

// All returns the registered machines in no particular order.
func (r *Roster) All() []string { return slices.Collect(maps.Keys(r.listCount)) }

// Versions returns the version of each known key.
func (r *Roster) Versions() map[string]uint64 {
	out := make(map[string]uint64, len(r.lists))
	for key, l := range r.lists {
		if l.version > 0 {
			out[key] = l.version
		}
	}
	return out
}

// Keys returns the known keys that list at least one machine.
func (r *Roster) Keys() []string {
	var keys []string
	for key, l := range r.lists {
		if len(l.names) > 0 {
			keys = append(keys, key)
		}
	}
	return keys
}

// ApplyList applies a version of a key's value; a version that is not newer than the known one is ignored. It returns
// the machines that became registered and those that are no longer registered, or ErrRosterDataLost.
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
	l.version, l.names, l.size = version, map[string]bool{}, emptyValueSize
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

// entrySize is the size in bytes of a name in an encoded value, with quotes and comma.
func entrySize(name string) int { return len(name) + 3 }

// PlanRegistration returns a write that registers as many of the machines as fit, in a key under a prefix to which only
// this controller adds.
func (r *Roster) PlanRegistration(prefix string, machines []string) RosterWrite {
	for i := 0; ; i++ {
		key := prefix + strconv.Itoa(i)
		l := r.lists[key]
		if l == nil {
			l = &list{size: emptyValueSize}
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
