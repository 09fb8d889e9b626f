package controller

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/teamconfig"
	"topazhollow/internal/teamstore"
)

// configured is a region whose teams' configuration changes, and an operator who changes it.
type configured struct {
	*testCluster
	operator *teamstore.Writer
}

func newConfigured(t *testing.T, run time.Duration) *configured {
	r := openRegion(t, run, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 20, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 60}, func(r *testCluster) { r.configBound = 4 })
	c := &configured{testCluster: r}
	c.waitUntil("there is a record", func() bool { all := r.overviews(); return len(all) > 0 && len(all[0].Members) == 3 })
	c.operator = c.writer()
	return c
}

// writer is an operator's command that has just been begun.
func (c *configured) writer() *teamstore.Writer {
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	client := kvstore.New(c.state.Addr(), c.nodeSettings[0].Deployment.KVStore, 4)
	go client.Run(ctx)
	w := teamstore.New(client, c.nodeSettings[0].Deployment.Teams)
	c.waitUntil("the operator's command knows the store", func() bool { return w.BindEpoch(ctx, recordKey) == nil })
	return w
}

// set changes a team's limit of CPUs, and gives the number of the change.
func (c *configured) set(team string, edit func(*teamconfig.Entry)) uint64 {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	done, err := c.operator.Change(ctx, team, func(e *teamconfig.Entry, _ bool) error { edit(e); return nil })
	if err != nil {
		c.t.Fatal(err)
	}
	return done.Entry.Number
}

func limit(cpus float64) func(*teamconfig.Entry) {
	return func(e *teamconfig.Entry) { e.CPUsMax = cpus }
}

// inForce waits until some controller says that a change is in force.
func (c *configured) inForce(team string, number uint64) {
	c.t.Helper()
	c.waitUntil(fmt.Sprintf("change %d of %s in force", number, team), func() bool { return c.said(team, number) })
}

func (c *configured) said(team string, number uint64) bool {
	return slices.ContainsFunc(c.overviews(), func(o overview) bool { return o.Config != nil && o.Config.Changes[team] >= number })
}

// TestQuotaChangesUnderLoad: a quota is lowered and raised while more work waits than either allows. What is said to be
// in force is never exceeded, and a raised quota is used.
func TestQuotaChangesUnderLoad(t *testing.T) {
	c := newConfigured(t, 500*time.Millisecond)
	jobs := []*protocol.Submission{arrayJob(700, 60, "red"), arrayJob(701, 60, "red")}
	for _, j := range jobs {
		c.submit(j)
	}
	most := 24.0
	for i, cpus := range []float64{8, 24, 2, 12, 4, 24} {
		c.waitUntil("the team is at work", func() bool { return c.checker.CPUsOfTeam("red") > 0 })
		if cpus > most {
			c.checker.SetLimit("red", cpus)
		}
		number := c.set("red", limit(cpus))
		c.inForce("red", number)
		c.checker.SetLimit("red", cpus) // from here on no start goes beyond it
		most = cpus
		if i%2 == 1 {
			c.waitUntil("the raised quota is used", func() bool { return c.checker.CPUsOfTeam("red") > cpus/2 || c.queryState(jobs[1].UID) == protocol.Done })
		}
	}
	c.awaitAllDone(jobs)
}

// TestTeamComesAndGoes: a new team is never unknown where it is known elsewhere, a removed one takes no new jobs
// and its accepted ones run to their end.
func TestTeamComesAndGoes(t *testing.T) {
	c := newConfigured(t, 400*time.Millisecond)
	c.checker.SetLimit("green", 6)
	first := arrayJob(710, 8, "green")
	for i := range c.nodeSettings {
		c.waitUntil("an unknown team is refused", func() bool { status, _ := c.askAt(i, "POST", protocol.PathSubmit, first); return status == 422 })
	}
	number := c.set("green", func(e *teamconfig.Entry) { e.CPUs, e.CPUsMax = 4, 6 })
	for i := range c.nodeSettings { // at once: who does not know it yet reads before it refuses
		job := arrayJob(712+i, 1, "green")
		c.checker.RecordSubmission(job)
		status, st := c.askAt(i, "POST", protocol.PathSubmit, job)
		c.checker.RecordAnswer(job.UID, status, st.State, false)
		if status == 422 {
			t.Errorf("controller %d refuses a team that was there when it was asked", i)
		}
	}
	c.inForce("green", number)
	c.submit(first)
	c.waitUntil("it runs", func() bool { return c.checker.CPUsOfTeam("green") > 0 })
	number = c.set("green", func(e *teamconfig.Entry) { e.Removed = true })
	late := arrayJob(719, 1, "green")
	c.checker.RecordSubmission(late)
	for i := range c.nodeSettings {
		if status, _ := c.askAt(i, "POST", protocol.PathSubmit, late); status == 200 || status == 201 {
			t.Errorf("controller %d takes a job of a removed team", i)
		}
	}
	c.inForce("green", number)
	for i := range c.nodeSettings {
		if status, _ := c.askAt(i, "POST", protocol.PathSubmit, late); status != 422 {
			t.Errorf("controller %d answers a job of a removed team by %d", i, status)
		}
		if status, _ := c.askAt(i, "POST", protocol.PathSubmit, first); status != 200 {
			t.Errorf("controller %d answers a repeated submission by %d", i, status)
		}
	}
	c.awaitAllDone([]*protocol.Submission{first})
	c.inForce("green", c.set("green", func(e *teamconfig.Entry) { e.Removed = false }))
	c.submit(late)
	c.awaitAllDone([]*protocol.Submission{late})
}

// linked waits until all controllers hear each other. One that dials another in the moment in which that one ends in this process may
// be left with a connection that nobody reads and nobody closes, which has nothing to do with the configuration.
func (c *configured) linked() {
	c.waitUntil("all hear each other", func() bool {
		all := c.overviews()
		return len(all) == 3 && !slices.ContainsFunc(all, func(o overview) bool { return len(o.UnreachablePeers) > 0 || len(o.Members) < 3 })
	})
}

// TestConfigurationInTrouble: a quota is lowered while one thing after the other goes wrong. What is said to be in force is never
// exceeded, and in the end the change is in force and the work is done.
func TestConfigurationInTrouble(t *testing.T) {
	apart := func(c *configured, on bool) {
		c.doors[0].RefuseAll(on)
		c.pipes.Isolate(0, on)
	}
	for name, trouble := range map[string]func(c *configured) (change uint64){
		"one refused by the store": func(c *configured) uint64 {
			c.doors[0].RefuseAll(true)
			number := c.set("red", limit(4))
			c.inForce("red", number)
			c.checker.SetLimit("red", 4)
			c.doors[0].RefuseAll(false)
			return number
		},
		"one cut off": func(c *configured) uint64 {
			apart(c, true)
			number := c.set("red", limit(4))
			c.inForce("red", number)
			c.checker.SetLimit("red", 4)
			c.waitUntil("its tasks go on", func() bool { return c.checker.CPUsOfTeam("red") > 0 })
			apart(c, false)
			return number
		},
		"all end at once": func(c *configured) uint64 {
			number := c.set("red", limit(4))
			for i := range c.nodes {
				c.crash(i)
			}
			for i := range c.nodes {
				c.start(i)
			}
			return number
		},
		"each ends as it learns": func(c *configured) (number uint64) {
			for i, cpus := range []float64{10, 6, 4} {
				number = c.set("red", limit(cpus))
				c.crash(i)
				c.start(i)
				c.linked()
			}
			return number
		},
		"one returns with an old settings file": func(c *configured) uint64 {
			number := c.set("red", limit(4))
			c.inForce("red", number)
			c.checker.SetLimit("red", 4)
			c.crash(0)
			old := *c.nodeSettings[0]
			old.Deployment.Teams = []settings.Team{{Name: "red", CPUs: 32, CPUsMax: 64}, {Name: "blue", CPUs: 8, CPUsMax: 16}}
			c.nodeSettings[0] = &old
			c.start(0)
			c.waitUntil("it is a member and named", func() bool {
				all := c.overviews()
				return len(all) == 3 && len(all[1].Members) == 3 && all[1].Config != nil && slices.Contains(all[1].Config.Strangers, c.nodeSettings[0].Name)
			})
			large := arrayJob(739, 8, "red")
			large.Kind = protocol.Gang
			c.waitUntil("a job that needs more than the changed limit is refused", func() bool {
				status, _ := c.askAt(0, "POST", protocol.PathSubmit, large)
				return status == 422
			})
			return number
		},
		"the store goes back": func(c *configured) uint64 {
			saved := c.state.Snapshot()
			number := c.set("red", limit(4))
			c.inForce("red", number)
			c.checker.SetLimit("red", 4)
			c.state.RollBack(saved)
			c.waitUntil("the change is written back", func() bool { return c.recovered(true) && c.state.CountKeys(teamstore.Prefix) == 1 })
			c.operator = c.writer()
			return number
		},
		"the store loses all and one ends": func(c *configured) uint64 {
			number := c.set("red", limit(4))
			c.inForce("red", number)
			c.checker.SetLimit("red", 4)
			c.crash(1)
			c.state.LoseAll()
			c.start(1)
			c.waitUntil("the change is written back", func() bool { return c.recovered(true) && c.state.CountKeys(teamstore.Prefix) == 1 })
			c.operator = c.writer()
			return number
		},
		"the store loses the changes": func(c *configured) uint64 {
			number := c.set("red", limit(4))
			c.inForce("red", number)
			c.checker.SetLimit("red", 4)
			c.state.LosePrefix(teamstore.Prefix)
			c.waitUntil("the change is written back", func() bool { return c.recovered(true) && c.state.CountKeys(teamstore.Prefix) == 1 })
			c.operator = c.writer()
			return number
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newConfigured(t, 600*time.Millisecond)
			job := arrayJob(730, 40, "red")
			c.submit(job)
			c.waitUntil("the team is at work", func() bool { return c.checker.CPUsOfTeam("red") > 8 })
			number := trouble(c)
			c.inForce("red", number)
			c.checker.SetLimit("red", 4)
			more := arrayJob(732, 20, "red") // the first one may be over by now
			c.submit(more)
			c.waitUntil("the team is at work within the lowered quota", func() bool { used := c.checker.CPUsOfTeam("red"); return used > 0 && used <= 4 })
			number = c.set("red", limit(24))
			c.checker.SetLimit("red", 24)
			c.inForce("red", number)
			c.awaitAllDone([]*protocol.Submission{job, more})
		})
	}
}

// TestChangesArriveLate: an operator's changes have no answer and are carried out late, twice, or after newer ones. The last
// one that was acknowledged stands.
func TestChangesArriveLate(t *testing.T) {
	c := newConfigured(t, 400*time.Millisecond)
	door, err := c.state.NewEndpoint()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client := kvstore.New(door.Addr(), c.nodeSettings[0].Deployment.KVStore, 4)
	go client.Run(ctx)
	held := teamstore.New(client, nil)
	c.waitUntil("it knows the store", func() bool { return held.BindEpoch(ctx, recordKey) == nil })
	first := true
	door.DelayTransactions(func() time.Duration { // an answer that does not come, of a change that does
		if !first {
			return 0
		}
		first = false
		return 100 * time.Millisecond
	})
	done, err := held.Change(ctx, "red", func(e *teamconfig.Entry, _ bool) error { e.CPUsMax = 20; return nil })
	if err != nil || done.Entry.Number != 1 {
		t.Fatalf("%+v, %v: carried out once, and known to be", done, err)
	}
	door.DelayTransactions(func() time.Duration { return 3 * time.Second })
	gone, end := context.WithTimeout(ctx, 2500*time.Millisecond) // the command is ended before the answer
	if _, err := held.Change(gone, "red", limitEdit(2)); err == nil {
		t.Error("a change without an answer counts as committed")
	}
	end()
	number := c.set("red", limit(16))
	c.inForce("red", number)
	c.waitUntil("the late one met the newer one", func() bool { _, met := door.CountDelayed(); return met > 0 })
	for _, txn := range c.state.AppliedTransactions() {
		for _, o := range txn.Then {
			if len(o.Set) > len(teamstore.Prefix) && o.Set[:len(teamstore.Prefix)] == teamstore.Prefix && c.state.RepeatTransaction(txn) {
				t.Errorf("carried out again: %s", protocol.Encode(txn))
			}
		}
	}
	all, err := held.List(ctx)
	if err != nil || len(all) != 1 || all[0].Entry.CPUsMax != 16 {
		t.Errorf("%+v, %v", all, err)
	}
}

func limitEdit(cpus float64) func(*teamconfig.Entry, bool) error {
	return func(e *teamconfig.Entry, _ bool) error { e.CPUsMax = cpus; return nil }
}

// TestNothingFollowedByDefault: without the option no status tells of the configuration, no acceptance rests on it, and a
// key of it changes nothing.
func TestNothingFollowedByDefault(t *testing.T) {
	n := newNodeHarness(2, 1).n
	now := time.Now()
	n.watchedKeysRead = true
	n.applyChange(protocol.Change{Set: teamstore.Prefix + "team-0", Value: []byte(`{"number":1,"change":"x","cpus_max":1}`), Version: 9})
	n.applyTeamLimits(now)
	if s := n.status(now); n.teamConfig != nil || s.Config != nil || n.rememberedConfig() != nil {
		t.Error("the configuration is followed")
	}
	if len(n.acknowledgedKeys()) != len(n.roster.Versions()) || len(n.shardNames()) != 2 || n.shards.OfTeam("team-0").Team().Quota().Limits().Max.CPUs != 10000 {
		t.Errorf("witnesses %v, items %v", n.acknowledgedKeys(), n.shardNames())
	}
}
