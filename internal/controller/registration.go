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

// registerInterval is the least time between two writes that register machines. Machines whose first heartbeats arrive
// within it share one write.
const registerInterval = 250 * time.Millisecond

// rosterCopyDelay is the time between the writes that add names to a second list and those that leave them out of the
// first. Controllers of earlier versions read a single list after a conflict, and must have the second one by then.
const rosterCopyDelay = 5 * time.Second

// newRoster creates an empty roster with the size limit of the state service's values.
func newRoster(s *settings.Settings) *agents.Roster {
	return agents.NewRoster(maxValueBytes(s.Deployment.KVStore))
}

// applyRosterList applies the value of a key that lists registered machines.
func (n *Node) applyRosterList(key string, value json.RawMessage, version uint64) {
	list, err := agents.DecodeRosterValue(value)
	if err != nil {
		n.log.Error("unreadable key in the state service", "key", key, "err", err)
		return
	}
	added, removed, err := n.roster.ApplyList(key, version, list)
	if err != nil {
		// The list lacks changes that are known here, as when a process wrote it that started after a loss of data. A
		// machine's absence from such a list must never count as proof that its tasks have ended.
		n.recovery.detection.suspectLoss(datarecovery.Sign(err.Error()))
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

// isGone returns whether the cloud has confirmed the end of a machine.
func (n *Node) isGone(machine string) bool {
	m := n.machines[machine]
	return m != nil && m.gone
}

// registerMachines writes new machines homed here to the roster until the context ends.
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

// deregisterMachines removes gone machines from the roster, by which every controller learns of their end. Only the
// fleet's owner calls it.
func (n *Node) deregisterMachines(ctx context.Context, writes []agents.RosterWrite) {
	copied := false
	for _, w := range writes {
		n.writeRoster(ctx, w)
		copied = copied || w.AddsCopies
	}
	if copied {
		sleep(ctx, rosterCopyDelay)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.registration.FinishRemoval()
}

// writeRoster writes a roster key, and applies the value that the key has afterwards.
func (n *Node) writeRoster(ctx context.Context, w agents.RosterWrite) {
	value := protocol.Encode(w.Value())
	revision, err := n.kvStore.Commit(ctx, kvstore.Update{
		Conditions: []protocol.Condition{{Key: w.Key, Version: w.Version}},
		Changes:    []protocol.Op{{Set: w.Key, Value: value}},
	})
	if err != nil {
		n.log.Debug("roster not written", "key", w.Key, "err", err)
		if errors.Is(err, kvstore.ErrTooLarge) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.roster.HalveValueSize()
			return
		}
		if errors.Is(err, kvstore.ErrRefused) {
			return
		}
		// Another controller wrote the key, or the outcome of the write is unknown.
		n.readRosterList(ctx, w)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyRosterList(w.Key, value, revision)
}

// readRosterList reads and applies a roster key whose write failed or had an unknown outcome. All changes made before
// the read are applied first: a name that the list lacks may have been moved to another list.
func (n *Node) readRosterList(ctx context.Context, w agents.RosterWrite) {
	entry, err := n.kvStore.Get(ctx, w.Key)
	if err != nil || n.waitForChanges(ctx) != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if entry != nil {
		n.applyRosterList(w.Key, entry.Value, entry.Version)
	} else if known := n.roster.Versions()[w.Key]; known > 0 && known == w.Version {
		n.recovery.detection.suspectLoss(datarecovery.SignRosterGone)
	}
}
