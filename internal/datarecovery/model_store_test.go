package datarecovery

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"topazhollow/internal/leadership"
)

// modelEntry is the value and the version of a key.
type modelEntry struct {
	value   string
	version uint64
}

// modelStore is a simple model of the state service.
type modelStore struct {
	keys     map[string]modelEntry
	revision uint64
}

func (s *modelStore) clone() *modelStore {
	c := &modelStore{keys: map[string]modelEntry{}, revision: s.revision}
	for k, v := range s.keys {
		c.keys[k] = v
	}
	return c
}

// txn applies a transaction atomically. An empty value deletes its key. failed are the keys whose versions differ.
func (s *modelStore) txn(guards map[string]uint64, sets map[string]string) (failed []string) {
	for k, v := range guards {
		if s.keys[k].version != v {
			failed = append(failed, k)
		}
	}
	if failed == nil && len(sets) > 0 {
		s.revision++
		for k, v := range sets {
			if v == "" {
				delete(s.keys, k)
			} else {
				s.keys[k] = modelEntry{v, s.revision}
			}
		}
	}
	return failed
}

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func encode(r *leadership.Record) string {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return string(b)
}

func (w *world) stored() (r *leadership.Record, version uint64) {
	c, ok := w.store.keys["w/c"]
	if !ok {
		return nil, 0
	}
	r = &leadership.Record{}
	if err := json.Unmarshal([]byte(c.value), r); err != nil {
		panic(err)
	}
	return r, c.version
}

func (w *world) presences() map[string]leadership.Presence {
	live := map[string]leadership.Presence{}
	for _, n := range w.nodes {
		if c, ok := w.store.keys["w/n/"+n.name]; ok {
			var inc uint64
			fmt.Sscan(c.value, &inc)
			live[n.name] = leadership.Presence{Incarnation: inc, Version: c.version}
		}
	}
	return live
}

// loseData silently removes data from the store.
func (w *world) loseData(saved *modelStore) {
	w.losses++
	for _, n := range w.nodes {
		if w.partitioned { // no peer retains its changes, so its watch must have read them before the loss
			w.follow(n)
		}
	}
	switch w.rng.IntN(4) {
	case 0:
		w.store = &modelStore{keys: map[string]modelEntry{}}
	case 1:
		for _, k := range sorted(w.store.keys) {
			if strings.HasPrefix(k, "w/a/") {
				delete(w.store.keys, k)
			}
		}
	default:
		w.store = saved.clone()
	}
}
