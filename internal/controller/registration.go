package controller

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/datarecovery"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// enrolEvery is the least time between two writes of new machines: those that
// report meanwhile share one.
const registerInterval = 250 * time.Millisecond

func newRoster(s *settings.Settings) *agents.Roster {
	return agents.NewRoster(maxValueBytes(s.Deployment.KVStore))
}

// learnRoster takes in a key that lists registered machines.
func (n *Node) applyRosterList(key string, value json.RawMessage, version uint64) {
	list, err := agents.DecodeRosterValue(value)
	if err != nil {
		n.log.Error("unreadable key in the state service", "key", key, "err", err)
		return
	}
	added, removed, err := n.roster.ApplyList(key, version, list)
	if err != nil {
		// As by a process that started after the loss. That a machine is not named in such a
		// list must never free what it runs.
		n.suspectLoss(datarecovery.Sign(err.Error()))
		return
	}
	for _, name := range added {
		n.machine(name)
		delete(n.unregistered, name)
	}
	for _, name := range removed {
		n.machineGone(name)
	}
	if len(added) > 0 {
		n.wake()
	}
}

// enrol registers the machines that report here. Every machine that may get a
// start is in the state service first, so that an owner without memory knows
// whom to wait for.
func (n *Node) registerMachines(ctx context.Context) error {
	for sleep(ctx, registerInterval) {
		n.mu.Lock()
		var names []string
		for name := range n.unregistered {
			if n.roster.Has(name) || n.machine(name).gone {
				delete(n.unregistered, name)
			} else {
				names = append(names, name)
			}
		}
		var w agents.RosterWrite
		if len(names) > 0 {
			slices.Sort(names)
			w = n.roster.PlanRegistration(machineKey+n.name+"/", names)
		}
		n.mu.Unlock()
		if len(names) > 0 {
			n.writeRoster(ctx, w)
		}
	}
	return nil
}

// strike takes machines that are gone off the roster, which tells every
// controller. The fleet's owner does it.
func (n *Node) deregisterMachines(ctx context.Context, writes []agents.RosterWrite) {
	for _, w := range writes {
		n.writeRoster(ctx, w)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.removingGone = false
}

// unstruck plans the writes that take gone machines off the roster.
func (n *Node) planDeregistration() []agents.RosterWrite {
	gone := map[string]bool{}
	for _, name := range n.roster.All() {
		if m := n.machines[name]; m != nil && m.gone {
			gone[name] = true
		}
	}
	if len(gone) == 0 {
		return nil
	}
	return n.roster.PlanDeregistration(gone)
}

func (n *Node) writeRoster(ctx context.Context, w agents.RosterWrite) {
	value := protocol.Encode(w.Value())
	revision, err := n.kvStore.Commit(ctx, kvstore.Update{
		Conditions: []protocol.Condition{{Key: w.Key, Version: w.Version}}, Changes: []protocol.Op{{Set: w.Key, Value: value}}})
	if err != nil {
		n.log.Debug("roster not written yet", "key", w.Key, "err", err)
		if errors.Is(err, kvstore.ErrRefused) {
			return
		}
		// Another controller wrote it, or the outcome is open: read it.
		e, err := n.kvStore.Get(ctx, w.Key)
		if err != nil {
			return
		}
		if e == nil {
			n.mu.Lock()
			defer n.mu.Unlock()
			if v := n.roster.Versions()[w.Key]; v > 0 && v == w.Version {
				n.suspectLoss(datarecovery.SignRosterGone)
			}
			return
		}
		value, revision = e.Value, e.Version
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyRosterList(w.Key, value, revision)
}
