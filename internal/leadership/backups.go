package leadership

import (
	"maps"
	"slices"
)

// BackupsPerItem is how many members beside its owner hold an item's replica (the companion's k). Work is lost
// only if the owner and all of them fail within one lease.
const BackupsPerItem = 2

// PreferredOwners is the owner that the ranking wishes for each item of the record. The caller does not change it, and the
// record does not change after the first call.
func (r *Record) PreferredOwners() map[string]string {
	if r.preferredOwners == nil {
		r.preferredOwners = AssignOwners(slices.Collect(maps.Keys(r.Shards)), r.Members())
	}
	return r.preferredOwners
}

// BackupsOf names the members that should hold an item's replica beside its owner: the owner that the ranking wishes, so that
// the item can be handed to it, then the highest-ranked reachable ones. There are BackupsPerItem of them, or as many as there are.
func (r *Record) BackupsOf(name, owner string, reachable func(node string) bool) []string {
	var others []string
	for _, node := range r.Members() {
		if node != owner && reachable(node) {
			others = append(others, node)
		}
	}
	if len(others) <= BackupsPerItem {
		return others
	}
	others = Ranked(name, others)
	if at := slices.Index(others, r.PreferredOwners()[name]); at >= BackupsPerItem {
		others[0], others[at] = others[at], others[0]
	}
	return others[:BackupsPerItem]
}

// withoutSurplus takes members out that are in sync and should not hold the replica, once all that should are in sync.
func withoutSurplus(inSync, backups []string) []string {
	if len(backups) == 0 {
		return inSync
	}
	for _, backup := range backups {
		if !slices.Contains(inSync, backup) {
			return inSync
		}
	}
	return slices.DeleteFunc(inSync, func(node string) bool { return !slices.Contains(backups, node) })
}
