package teamconfig

import (
	"maps"
	"slices"
	"time"
)

// Status is what a controller's heartbeat says of the configuration that it knows.
type Status struct {
	Serial        uint64   `json:"serial"`     // of this process's statuses, rising
	Epoch         uint64   `json:"generation"` // of the state service's data
	RecordVersion uint64   `json:"record"`     // version of the membership record under which this holds
	KnownRevision uint64   `json:"known"`      // revision up to which every entry is known
	Unsettled     []string `json:"unsettled,omitempty"`
	BaseDigest    uint64   `json:"base"` // digest of the settings file's teams
}

// MembershipRecord is what counts of a membership record.
type MembershipRecord struct {
	Epoch   uint64
	Version uint64
	Members map[string]uint64        // with their incarnations
	Owner   func(team string) string // "" for a team that has none yet
}

// Propagation is what a controller knows of who knows which changes. A change is in force everywhere once every member
// of the membership record knows it, and the team's owner has nothing under way any more that it would not allow (see
// Status.Unsettled), all as reported under one and the same record.
type Propagation struct {
	statuses    map[string]processStatus
	behindSince map[string]time.Time // since when a member is behind
}

type processStatus struct {
	Status
	incarnation uint64
}

// NewPropagation knows no controller's status yet.
func NewPropagation() *Propagation {
	return &Propagation{statuses: map[string]processStatus{}, behindSince: map[string]time.Time{}}
}

// Apply takes in a controller's status. A late or repeated one of the same process changes nothing.
func (f *Propagation) Apply(node string, incarnation uint64, w Status) {
	old := f.statuses[node]
	if incarnation < old.incarnation || incarnation == old.incarnation && w.Serial <= old.Serial {
		return
	}
	f.statuses[node] = processStatus{w, incarnation}
}

// statusOf is a member's status under the record, if there is one.
func (f *Propagation) statusOf(r *MembershipRecord, node string) (Status, bool) {
	w, ok := f.statuses[node]
	return w.Status, ok && w.incarnation == r.Members[node] && w.Epoch == r.Epoch && w.RecordVersion == r.Version
}

// KnownByAll is the revision up to which every member knows the entries, by statuses under this record; 0 if
// that of one is missing.
func (f *Propagation) KnownByAll(r *MembershipRecord) (revision uint64) {
	if len(r.Members) == 0 {
		return 0
	}
	revision = ^uint64(0)
	for node := range r.Members {
		w, ok := f.statusOf(r, node)
		if !ok {
			return 0
		}
		revision = min(revision, w.KnownRevision)
	}
	return revision
}

// Propagated lists those of the changes that are in force everywhere.
func (f *Propagation) Propagated(r *MembershipRecord, changes []Change) (reached []Change) {
	if len(changes) == 0 {
		return nil
	}
	known := f.KnownByAll(r)
	for _, x := range changes {
		if x.Version == 0 || x.Version > known {
			continue
		}
		if owner, ok := f.statusOf(r, r.Owner(x.Team)); ok && !slices.Contains(owner.Unsettled, x.Team) {
			reached = append(reached, x)
		}
	}
	return reached
}

// LaggingMember is a member that does not know the last change, as far as its statuses say.
type LaggingMember struct {
	Node           string  `json:"node"`
	Known          uint64  `json:"known"`
	LaggingSeconds float64 `json:"for_s"` // since when, in seconds
}

// Lagging lists the members that are not known to know the changes up to a version, and since when.
func (f *Propagation) Lagging(r *MembershipRecord, latest uint64, now time.Time) (list []LaggingMember) {
	maps.DeleteFunc(f.behindSince, func(node string, _ time.Time) bool { _, member := r.Members[node]; return !member })
	for _, node := range slices.Sorted(maps.Keys(r.Members)) {
		w, ok := f.statusOf(r, node)
		if ok && w.KnownRevision >= latest {
			delete(f.behindSince, node)
			continue
		}
		if f.behindSince[node].IsZero() {
			f.behindSince[node] = now
		}
		list = append(list, LaggingMember{node, w.KnownRevision, now.Sub(f.behindSince[node]).Seconds()})
	}
	return list
}

// OtherSettings lists the controllers whose settings file names other teams or other limits.
func (f *Propagation) OtherSettings(base uint64) (nodes []string) {
	for _, node := range slices.Sorted(maps.Keys(f.statuses)) {
		if f.statuses[node].BaseDigest != base {
			nodes = append(nodes, node)
		}
	}
	return nodes
}
