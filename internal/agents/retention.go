package agents

import (
	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// Agents list exited attempts until they are told to forget them, which jobstate.MayForget allows only under a later term.
// Registry tells when the term has to be raised for that.

// crowdedListBytes is the size of retained exits beyond which little of an agent's list is left for tasks.
const crowdedListBytes = protocol.MaxListedBytes / 2

// RetainsExits reports whether any agent lists an exited attempt that it may forget only under a later term.
func (g *Registry) RetainsExits() bool { return len(g.retained) > 0 }

// HasCrowdedList reports whether such attempts take up so much of any agent's list that tasks may soon find no room there.
func (g *Registry) HasCrowdedList() bool {
	for _, size := range g.retained {
		if size > crowdedListBytes {
			return true
		}
	}
	return false
}

// updateRetained records how much of an agent's list is taken by exited attempts that it may forget only under a later
// term.
func (g *Registry) updateRetained(machine string, a *Agent) {
	size := 0
	for i := range a.Heartbeat.Tasks {
		t := &a.Heartbeat.Tasks[i]
		if t.State == protocol.Exited && !jobstate.MayForget(t.Attempt, g.term) {
			size += protocol.ListedBytes(len(t.Task))
		}
	}
	if size == 0 {
		delete(g.retained, machine)
	} else {
		g.retained[machine] = size
	}
}
