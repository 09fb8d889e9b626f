package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/datarecovery"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// registerInterval is the least time between two writes of new machines: those whose heartbeats come meanwhile share one.
const registerInterval = 250 * time.Millisecond

func newRoster(s *settings.Settings) *agents.Roster {
	return agents.NewRoster(maxValueBytes(s.Deployment.KVStore))
}

// applyRosterList takes in a key that lists registered machines.
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
		n.registration.Done(name)
	}
	for _, name := range removed {
		n.machineGone(name)
	}
	if len(added) > 0 {
		n.wake()
	}
}

// isGone says whether the cloud confirmed a machine's end.
func (n *Node) isGone(machine string) bool {
	m := n.machines[machine]
	return m != nil && m.gone
}

// registerMachines registers the machines whose agents have this controller as their home.
func (n *Node) registerMachines(ctx context.Context) error {
	for sleep(ctx, registerInterval) {
		n.mu.Lock()
		w, due := n.registration.Next(n.roster, rosterPrefix+n.name+"/", func(machine string) bool {
			return n.machine(machine).gone
		})
		n.mu.Unlock()
		if due {
			n.writeRoster(ctx, w)
		}
	}
	return nil
}

// deregisterMachines takes machines that are gone off the roster, which tells every controller. The fleet's owner does
// it.
func (n *Node) deregisterMachines(ctx context.Context, writes []agents.RosterWrite) {
	for _, w := range writes {
		n.writeRoster(ctx, w)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.registration.FinishRemoval()
}

// writeRoster makes a write, and takes in what the key has then.
func (n *Node) writeRoster(ctx context.Context, w agents.RosterWrite) {
	value := protocol.Encode(w.Value())
	revision, err := n.kvStore.Commit(ctx, kvstore.Update{
		Conditions: []protocol.Condition{{Key: w.Key, Version: w.Version}},
		Changes:    []protocol.Op{{Set: w.Key, Value: value}},
	})
	if err != nil {
		n.log.Debug("roster not written yet", "key", w.Key, "err", err)
		if errors.Is(err, kvstore.ErrRefused) {
			return
		}
		// Another controller wrote it, or the outcome is open.
		n.readRosterList(ctx, w)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyRosterList(w.Key, value, revision)
}

// readRosterList reads a key whose write had no certain outcome.
func (n *Node) readRosterList(ctx context.Context, w agents.RosterWrite) {
	entry, err := n.kvStore.Get(ctx, w.Key)
	if err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if entry != nil {
		n.applyRosterList(w.Key, entry.Value, entry.Version)
	} else if known := n.roster.Versions()[w.Key]; known > 0 && known == w.Version {
		n.suspectLoss(datarecovery.SignRosterGone)
	}
}
