package teamconfig

import (
	"maps"
	"slices"
	"time"
)

// Word is what a controller tells its peers of its configuration, in its status.
type Word struct {
	Serial     uint64   `json:"serial"`     // of this process's words, rising
	Generation uint64   `json:"generation"` // of the state service's data
	Record     uint64   `json:"record"`     // version of the control record under which this holds
	Known      uint64   `json:"known"`      // revision up to which every entry is known
	Unsettled  []string `json:"unsettled,omitempty"`
	Base       uint64   `json:"base"` // digest of the settings file's teams
}

// Record is what counts of a control record.
type Record struct {
	Generation uint64
	Version    uint64
	Members    map[string]uint64        // with their incarnations
	Owner      func(team string) string // "" for a team that has none yet
}

// Force is what a controller knows of who knows what. A change is in force everywhere once every member of the
// control record knows it, and the team's owner has nothing under way any more that it would
// not allow (see Word.Unsettled), all as said under one and the same record.
type Force struct {
	words  map[string]heard
	behind map[string]time.Time // since when a member is behind
}

type heard struct {
	Word
	incarnation uint64
}

// NewForce knows nothing yet.
func NewForce() *Force { return &Force{words: map[string]heard{}, behind: map[string]time.Time{}} }

// Heard takes in a controller's word. A late or doubled one of the same process changes nothing.
func (f *Force) Heard(node string, incarnation uint64, w Word) {
	old := f.words[node]
	if incarnation < old.incarnation || incarnation == old.incarnation && w.Serial <= old.Serial {
		return
	}
	f.words[node] = heard{w, incarnation}
}

// said is a member's word under the record, if there is one.
func (f *Force) said(r *Record, node string) (Word, bool) {
	w, ok := f.words[node]
	return w.Word, ok && w.incarnation == r.Members[node] && w.Generation == r.Generation && w.Record == r.Version
}

// Reached is the revision up to which every member knows the entries, by words under this record; 0 if
// the word of one is missing.
func (f *Force) Reached(r *Record) (revision uint64) {
	if len(r.Members) == 0 {
		return 0
	}
	revision = ^uint64(0)
	for node := range r.Members {
		w, ok := f.said(r, node)
		if !ok {
			return 0
		}
		revision = min(revision, w.Known)
	}
	return revision
}

// Reach gives those of the changes that are in force everywhere.
func (f *Force) Reach(r *Record, changes []Change) (reached []Change) {
	if len(changes) == 0 {
		return nil
	}
	known := f.Reached(r)
	for _, x := range changes {
		if x.Version == 0 || x.Version > known {
			continue
		}
		if owner, ok := f.said(r, r.Owner(x.Team)); ok && !slices.Contains(owner.Unsettled, x.Team) {
			reached = append(reached, x)
		}
	}
	return reached
}

// Behind is a member that does not know the last change, as far as heard.
type Behind struct {
	Node  string  `json:"node"`
	Known uint64  `json:"known"`
	For   float64 `json:"for_s"` // since when, in seconds
}

// Lagging lists the members that are not known to know the changes up to a version, and since when.
func (f *Force) Lagging(r *Record, latest uint64, now time.Time) (list []Behind) {
	maps.DeleteFunc(f.behind, func(node string, _ time.Time) bool { _, member := r.Members[node]; return !member })
	for _, node := range slices.Sorted(maps.Keys(r.Members)) {
		w, ok := f.said(r, node)
		if ok && w.Known >= latest {
			delete(f.behind, node)
			continue
		}
		if f.behind[node].IsZero() {
			f.behind[node] = now
		}
		list = append(list, Behind{node, w.Known, now.Sub(f.behind[node]).Seconds()})
	}
	return list
}

// Strangers lists the controllers whose settings file names other teams or other limits.
func (f *Force) Strangers(base uint64) (nodes []string) {
	for _, node := range slices.Sorted(maps.Keys(f.words)) {
		if f.words[node].Base != base {
			nodes = append(nodes, node)
		}
	}
	return nodes
}
