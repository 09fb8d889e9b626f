package teamconfig

import (
	"maps"
	"slices"
	"time"
)

// Status is the part of a controller's heartbeat that reports which configuration it knows.
type Status struct {
	Serial        uint64   `json:"serial"`              // increases with each status of the process
	Epoch         uint64   `json:"generation"`          // of the state service's data
	RecordVersion uint64   `json:"record"`              // version of the membership record that the status refers to
	KnownRevision uint64   `json:"known"`               // revision up to which every entry is known
	Unsettled     []string `json:"unsettled,omitempty"` // own teams not ready or with starts beyond limits
	BaseDigest    uint64   `json:"base"`                // digest of the settings file's teams
}

// MembershipRecord holds the fields of the membership record that Propagation uses.
type MembershipRecord struct {
	Epoch   uint64
	Version uint64
	Members map[string]uint64        // incarnations by name
	Owner   func(team string) string // "" for a team without an owner
}

// Propagation tracks which controllers know which changes. A change is in force everywhere once every member of the
// membership record knows it and the team's owner is ready and has no task starts under way beyond the changed limits
// (see Status.Unsettled), all as reported under the same record.
type Propagation struct {
	statuses    map[string]processStatus // latest, by controller
	behindSince map[string]time.Time     // by member, when it was first seen lagging
}

type processStatus struct {
	Status
	incarnation uint64
}

// NewPropagation returns a Propagation without any controller's status.
func NewPropagation() *Propagation {
	return &Propagation{statuses: map[string]processStatus{}, behindSince: map[string]time.Time{}}
}

// Apply applies a controller's status. Late and repeated statuses, and those of an earlier process, are ignored.
func (p *Propagation) Apply(node string, incarnation uint64, s Status) {
	old := p.statuses[node]
	if incarnation < old.incarnation || incarnation == old.incarnation && s.Serial <= old.Serial {
		return
	}
	p.statuses[node] = processStatus{s, incarnation}
}

// statusOf returns a member's status if it was reported under the record by the process that the record names.
func (p *Propagation) statusOf(r *MembershipRecord, node string) (Status, bool) {
	s, ok := p.statuses[node]
	return s.Status, ok && s.incarnation == r.Members[node] && s.Epoch == r.Epoch && s.RecordVersion == r.Version
}

// KnownByAll returns the revision up to which every member knows the entries according to its status under this record,
// 0 if a member's status is missing.
func (p *Propagation) KnownByAll(r *MembershipRecord) (revision uint64) {
	if len(r.Members) == 0 {
		return 0
	}
	revision = ^uint64(0)
	for node := range r.Members {
		s, ok := p.statusOf(r, node)
		if !ok {
			return 0
		}
		revision = min(revision, s.KnownRevision)
	}
	return revision
}

// Propagated returns those of the changes that are in force everywhere.
func (p *Propagation) Propagated(r *MembershipRecord, changes []Change) (reached []Change) {
	if len(changes) == 0 {
		return nil
	}
	known := p.KnownByAll(r)
	for _, x := range changes {
		if x.Version == 0 || x.Version > known {
			continue
		}
		if owner, ok := p.statusOf(r, r.Owner(x.Team)); ok && !slices.Contains(owner.Unsettled, x.Team) {
			reached = append(reached, x)
		}
	}
	return reached
}

// LaggingMember is a member that has not reported that it knows the last change.
type LaggingMember struct {
	Node           string  `json:"node"`
	Known          uint64  `json:"known"`
	LaggingSeconds float64 `json:"for_s"`
}

// Lagging returns the members that have not reported knowing the changes up to a version, and for how long.
func (p *Propagation) Lagging(r *MembershipRecord, latest uint64, now time.Time) (list []LaggingMember) {
	maps.DeleteFunc(p.behindSince, func(node string, _ time.Time) bool { _, member := r.Members[node]; return !member })
	for _, node := range slices.Sorted(maps.Keys(r.Members)) {
		s, ok := p.statusOf(r, node)
		if ok && s.KnownRevision >= latest {
			delete(p.behindSince, node)
			continue
		}
		if p.behindSince[node].IsZero() {
			p.behindSince[node] = now
		}
		list = append(list, LaggingMember{node, s.KnownRevision, now.Sub(p.behindSince[node]).Seconds()})
	}
	return list
}

// OtherSettings returns the controllers whose settings files have different teams or limits.
func (p *Propagation) OtherSettings(base uint64) (nodes []string) {
	for _, node := range slices.Sorted(maps.Keys(p.statuses)) {
		if p.statuses[node].BaseDigest != base {
			nodes = append(nodes, node)
		}
	}
	return nodes
}
