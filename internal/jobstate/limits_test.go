package jobstate

import (
	"testing"

	"topazhollow/internal/protocol"
)

// TestLoweredLimits checks that beyond a lowered limit no task is placed, attempts that have not started are stopped,
// and running ones are stopped only on request. The limits are in force once no further attempt beyond them can start.
func TestLoweredLimits(t *testing.T) {
	for name, c := range map[string]struct {
		states  []protocol.TaskState // of three tasks of 2 CPUs each
		max     float64
		running bool
		stops   int
		inForce bool
	}{
		"within":                     {[]protocol.TaskState{protocol.Running, protocol.Pulling, ""}, 6, false, 0, true},
		"none has started":           {[]protocol.TaskState{"", "", ""}, 4, false, 1, false},
		"one pulls its image":        {[]protocol.TaskState{protocol.Running, protocol.Running, protocol.Pulling}, 4, false, 1, false},
		"all run":                    {[]protocol.TaskState{protocol.Running, protocol.Running, protocol.Running}, 2, false, 0, true},
		"all run, stop running ones": {[]protocol.TaskState{protocol.Running, protocol.Running, protocol.Running}, 2, true, 2, true},
		"one may start, stop all":    {[]protocol.TaskState{protocol.Running, "", protocol.Running}, 1, true, 3, false},
	} {
		m := newModel(t, 3)
		s := &protocol.Submission{UID: "job-9", Team: "team", Kind: protocol.JobArray, Priority: "standard", Tasks: 4, CPUs: 2}
		m.specs[s.UID], m.active[s.UID] = s, true
		m.team.Quota().SetLimits(Limits{Max: Resources{CPUs: 6, GPUs: 1}})
		m.team.AddJob(s, 1, m.now, nil)
		j := m.team.Job(s.UID)
		for i, state := range c.states {
			m.team.Place(j, i, Location{string(rune('a' + i)), "z", 1})
			m.team.setState(m.team.assignments.byTask[TaskID{s.UID, i}], state)
		}
		m.team.Quota().SetLimits(Limits{Max: Resources{CPUs: c.max, GPUs: 1}})
		m.team.StopExcess(c.running)
		m.team.StopExcess(c.running) // the second call must change nothing
		stops := 0
		for _, a := range m.team.assignments.byTask {
			if a.stopping {
				stops++
			}
		}
		if stops != c.stops || m.team.LimitsInForce() != c.inForce || m.team.Place(j, 3, Location{"d", "z", 1}) {
			t.Errorf("%s: %d stops, limits in force: %v", name, stops, m.team.LimitsInForce())
		}
		m.team.Quota().SetLimits(Limits{Max: Resources{CPUs: 8, GPUs: 1}})
		if !m.team.LimitsInForce() || !m.team.Place(j, 3, Location{"d", "z", 1}) {
			t.Errorf("%s: a raised limit is not used", name)
		}
	}
}

// TestGangBeyondLoweredLimits checks that a gang that has not started is stopped as a whole.
func TestGangBeyondLoweredLimits(t *testing.T) {
	m, j, locations := newModelWithGang(t)
	m.team.PlaceGang(j, 0, locations)
	observeGangTask(m, j, AttemptID(1, 1), 0, protocol.Waiting, "")
	m.team.Quota().SetLimits(Limits{Max: Resources{CPUs: 5}})
	m.team.StopExcess(false)
	for k, a := range m.team.assignments.byTask {
		if !a.stopping {
			t.Errorf("task %d is not stopped", k.Index)
		}
	}
}
