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

// configCluster is a test cluster with changes of the teams' configuration enabled, and an operator who makes them.
type configCluster struct {
	*testCluster
	operator *teamstore.Writer
}

// newConfigCluster starts a cluster and waits until all controllers are members.
func newConfigCluster(t *testing.T, run time.Duration) *configCluster {
	r := newTestClusterWith(t, run, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 20, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 60}, func(r *testCluster) { r.configBound = 4 })
	c := &configCluster{testCluster: r}
	c.waitUntil("there is a record", func() bool { all := r.overviews(); return len(all) > 0 && len(all[0].Members) == 3 })
	c.operator = c.writer()
	return c
}

// writer returns what an operator's command uses to change the configuration, as right after the command's start.
func (c *configCluster) writer() *teamstore.Writer {
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	client := kvstore.New(c.state.Addr(), c.nodeSettings[0].Deployment.KVStore, 4)
	go client.Run(ctx)
	w := teamstore.New(client, c.nodeSettings[0].Deployment.Teams)
	c.waitUntil("the operator's command knows the state service's epoch", func() bool { return w.BindEpoch(ctx, recordKey) == nil })
	return w
}

// changeTeam commits a change of a team's configuration, and returns the number of the change.
func (c *configCluster) changeTeam(team string, edit func(*teamconfig.Entry)) uint64 {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	done, err := c.operator.Change(ctx, team, func(e *teamconfig.Entry, _ bool) error { edit(e); return nil })
	if err != nil {
		c.t.Fatal(err)
	}
	return done.Entry.Number
}

// setLimit returns an edit that sets a team's limit of CPUs.
func setLimit(cpus float64) func(*teamconfig.Entry) {
	return func(e *teamconfig.Entry) { e.CPUsMax = cpus }
}

// awaitInForce waits until some controller reports that a change is in force.
func (c *configCluster) awaitInForce(team string, number uint64) {
	c.t.Helper()
	c.waitUntil(fmt.Sprintf("change %d of %s in force", number, team), func() bool { return c.reportedInForce(team, number) })
}

// reportedInForce returns whether some controller reports that a change, or a later one of the team, is in force.
func (c *configCluster) reportedInForce(team string, number uint64) bool {
	return slices.ContainsFunc(c.overviews(), func(o overview) bool { return o.Config != nil && o.Config.InForce[team] >= number })
}

// TestQuotaChangesUnderLoad: a quota is lowered and raised while more tasks wait than any of its values allows. A quota
// that is reported to be in force is never exceeded, and a raised quota is used.
func TestQuotaChangesUnderLoad(t *testing.T) {
	c := newConfigCluster(t, 500*time.Millisecond)
	jobs := []*protocol.Submission{arrayJob(700, 60, "red"), arrayJob(701, 60, "red")}
	for _, j := range jobs {
		c.submit(j)
	}
	most := 24.0
	for i, cpus := range []float64{8, 24, 2, 12, 4, 24} {
		c.waitUntil("the team's tasks run", func() bool { return c.checker.CPUsOfTeam("red") > 0 })
		if cpus > most {
			c.checker.SetLimit("red", cpus)
		}
		number := c.changeTeam("red", setLimit(cpus))
		c.awaitInForce("red", number)
		c.checker.SetLimit("red", cpus) // from here on no start may exceed it
		most = cpus
		if i%2 == 1 {
			c.waitUntil("the raised quota is used", func() bool { return c.checker.CPUsOfTeam("red") > cpus/2 || c.queryState(jobs[1].UID) == protocol.Done })
		}
	}
	c.awaitAllDone(jobs)
}

// TestTeamAddedAndRemoved: once a new team is committed, every controller accepts its jobs. A removed team's new jobs
// are refused, and its accepted ones run to their end.
func TestTeamAddedAndRemoved(t *testing.T) {
	c := newConfigCluster(t, 400*time.Millisecond)
	c.checker.SetLimit("green", 6)
	first := arrayJob(710, 8, "green")
	for i := range c.nodeSettings {
		c.waitUntil("an unknown team is refused", func() bool { status, _ := c.requestAt(i, "POST", protocol.PathSubmit, first); return status == 422 })
	}
	number := c.changeTeam("green", func(e *teamconfig.Entry) { e.CPUs, e.CPUsMax = 4, 6 })
	for i := range c.nodeSettings { // at once: a controller that does not know the team yet reads the configuration before it refuses
		job := arrayJob(712+i, 1, "green")
		c.checker.RecordSubmission(job)
		status, st := c.requestAt(i, "POST", protocol.PathSubmit, job)
		c.checker.RecordAnswer(job.UID, status, st.State, false)
		if status == 422 {
			t.Errorf("controller %d refuses a team that was committed before the request", i)
		}
	}
	c.awaitInForce("green", number)
	c.submit(first)
	c.waitUntil("the team's job runs", func() bool { return c.checker.CPUsOfTeam("green") > 0 })
	number = c.changeTeam("green", func(e *teamconfig.Entry) { e.Removed = true })
	late := arrayJob(719, 1, "green")
	c.checker.RecordSubmission(late)
	for i := range c.nodeSettings {
		if status, _ := c.requestAt(i, "POST", protocol.PathSubmit, late); status == 200 || status == 201 {
			t.Errorf("controller %d accepts a job of a removed team", i)
		}
	}
	c.awaitInForce("green", number)
	for i := range c.nodeSettings {
		if status, _ := c.requestAt(i, "POST", protocol.PathSubmit, late); status != 422 {
			t.Errorf("controller %d answers a job of a removed team with %d", i, status)
		}
		if status, _ := c.requestAt(i, "POST", protocol.PathSubmit, first); status != 200 {
			t.Errorf("controller %d answers a repeated submission with %d", i, status)
		}
	}
	c.awaitAllDone([]*protocol.Submission{first})
	c.awaitInForce("green", c.changeTeam("green", func(e *teamconfig.Entry) { e.Removed = false }))
	c.submit(late)
	c.awaitAllDone([]*protocol.Submission{late})
}

// awaitConnected waits until all controllers receive each other's messages. As all run in one process, a controller
// that dials another just as that one ends may be left with a connection that is neither read nor closed. That does not
// concern the configuration.
func (c *configCluster) awaitConnected() {
	c.waitUntil("all controllers are connected", func() bool {
		all := c.overviews()
		return len(all) == 3 && !slices.ContainsFunc(all, func(o overview) bool { return len(o.UnreachablePeers) > 0 || len(o.Members) < 3 })
	})
}

// TestConfigurationChangeDuringFaults: a quota is lowered during a fault. A quota that is reported to be in force is
// never exceeded, and eventually the change is in force and the jobs are done.
func TestConfigurationChangeDuringFaults(t *testing.T) {
	isolate := func(c *configCluster, on bool) {
		c.storeEndpoints[0].RefuseAll(on)
		c.peerPaths.Isolate(0, on)
	}
	for name, fault := range map[string]func(c *configCluster) (change uint64){
		"the state service refuses one controller": func(c *configCluster) uint64 {
			c.storeEndpoints[0].RefuseAll(true)
			number := c.changeTeam("red", setLimit(4))
			c.awaitInForce("red", number)
			c.checker.SetLimit("red", 4)
			c.storeEndpoints[0].RefuseAll(false)
			return number
		},
		"one controller is isolated": func(c *configCluster) uint64 {
			isolate(c, true)
			number := c.changeTeam("red", setLimit(4))
			c.awaitInForce("red", number)
			c.checker.SetLimit("red", 4)
			c.waitUntil("the team's tasks continue", func() bool { return c.checker.CPUsOfTeam("red") > 0 })
			isolate(c, false)
			return number
		},
		"all controllers crash at once": func(c *configCluster) uint64 {
			number := c.changeTeam("red", setLimit(4))
			for i := range c.nodes {
				c.crash(i)
			}
			for i := range c.nodes {
				c.start(i)
			}
			return number
		},
		"each controller crashes after a change": func(c *configCluster) (number uint64) {
			for i, cpus := range []float64{10, 6, 4} {
				number = c.changeTeam("red", setLimit(cpus))
				c.crash(i)
				c.start(i)
				c.awaitConnected()
			}
			return number
		},
		"one controller restarts with an old settings file": func(c *configCluster) uint64 {
			number := c.changeTeam("red", setLimit(4))
			c.awaitInForce("red", number)
			c.checker.SetLimit("red", 4)
			c.crash(0)
			old := *c.nodeSettings[0]
			old.Deployment.Teams = []settings.Team{{Name: "red", CPUs: 32, CPUsMax: 64}, {Name: "blue", CPUs: 8, CPUsMax: 16}}
			c.nodeSettings[0] = &old
			c.start(0)
			c.waitUntil("it is a member and its other settings file is reported", func() bool {
				all := c.overviews()
				return len(all) == 3 && len(all[1].Members) == 3 && all[1].Config != nil && slices.Contains(all[1].Config.OtherSettings, c.nodeSettings[0].Name)
			})
			large := arrayJob(739, 8, "red")
			large.Kind = protocol.Gang
			c.waitUntil("a job that needs more than the changed limit is refused", func() bool {
				status, _ := c.requestAt(0, "POST", protocol.PathSubmit, large)
				return status == 422
			})
			return number
		},
		"the state service is rolled back": func(c *configCluster) uint64 {
			saved := c.state.Snapshot()
			number := c.changeTeam("red", setLimit(4))
			c.awaitInForce("red", number)
			c.checker.SetLimit("red", 4)
			c.state.RollBack(saved)
			c.waitUntil("the change is written back", func() bool { return c.recovered(true) && c.state.CountKeys(teamstore.Prefix) == 1 })
			c.operator = c.writer()
			return number
		},
		"the state service loses all data and one controller crashes": func(c *configCluster) uint64 {
			number := c.changeTeam("red", setLimit(4))
			c.awaitInForce("red", number)
			c.checker.SetLimit("red", 4)
			c.crash(1)
			c.state.LoseAll()
			c.start(1)
			c.waitUntil("the change is written back", func() bool { return c.recovered(true) && c.state.CountKeys(teamstore.Prefix) == 1 })
			c.operator = c.writer()
			return number
		},
		"the state service loses the changes": func(c *configCluster) uint64 {
			number := c.changeTeam("red", setLimit(4))
			c.awaitInForce("red", number)
			c.checker.SetLimit("red", 4)
			c.state.LosePrefix(teamstore.Prefix)
			c.waitUntil("the change is written back", func() bool { return c.recovered(true) && c.state.CountKeys(teamstore.Prefix) == 1 })
			c.operator = c.writer()
			return number
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newConfigCluster(t, 600*time.Millisecond)
			job := arrayJob(730, 40, "red")
			c.submit(job)
			c.waitUntil("the team's tasks run", func() bool { return c.checker.CPUsOfTeam("red") > 8 })
			number := fault(c)
			c.awaitInForce("red", number)
			c.checker.SetLimit("red", 4)
			more := arrayJob(732, 20, "red") // the first job may have ended by now
			c.submit(more)
			c.waitUntil("the team's tasks run within the lowered quota", func() bool { used := c.checker.CPUsOfTeam("red"); return used > 0 && used <= 4 })
			number = c.changeTeam("red", setLimit(24))
			c.checker.SetLimit("red", 24)
			c.awaitInForce("red", number)
			c.awaitAllDone([]*protocol.Submission{job, more})
		})
	}
}

// TestLateConfigurationChanges: an operator's changes get no answer, and are applied late, repeated, or arrive after
// newer ones. The last acknowledged change must remain.
func TestLateConfigurationChanges(t *testing.T) {
	c := newConfigCluster(t, 400*time.Millisecond)
	endpoint, err := c.state.NewEndpoint()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client := kvstore.New(endpoint.Addr(), c.nodeSettings[0].Deployment.KVStore, 4)
	go client.Run(ctx)
	delayed := teamstore.New(client, nil)
	c.waitUntil("the writer knows the state service's epoch", func() bool { return delayed.BindEpoch(ctx, recordKey) == nil })
	first := true
	endpoint.DelayTransactions(func() time.Duration { // the change is applied, but its answer is lost
		if !first {
			return 0
		}
		first = false
		return 100 * time.Millisecond
	})
	done, err := delayed.Change(ctx, "red", func(e *teamconfig.Entry, _ bool) error { e.CPUsMax = 20; return nil })
	if err != nil || done.Entry.Number != 1 {
		t.Fatalf("%+v, %v: want one change that is known to be committed", done, err)
	}
	endpoint.DelayTransactions(func() time.Duration { return 3 * time.Second })
	short, end := context.WithTimeout(ctx, 2500*time.Millisecond) // the command ends before the answer
	if _, err := delayed.Change(short, "red", setLimitEdit(2)); err == nil {
		t.Error("a change without an answer counts as committed")
	}
	end()
	number := c.changeTeam("red", setLimit(16))
	c.awaitInForce("red", number)
	c.waitUntil("the late change conflicted with the newer one", func() bool { _, conflicted := endpoint.CountDelayed(); return conflicted > 0 })
	for _, txn := range c.state.AppliedTransactions() {
		for _, o := range txn.Then {
			if len(o.Set) > len(teamstore.Prefix) && o.Set[:len(teamstore.Prefix)] == teamstore.Prefix && c.state.RepeatTransaction(txn) {
				t.Errorf("applied again: %s", protocol.Encode(txn))
			}
		}
	}
	all, err := delayed.List(ctx)
	if err != nil || len(all) != 1 || all[0].Entry.CPUsMax != 16 {
		t.Errorf("the writer lists %+v, %v: want one entry with the last acknowledged limit", all, err)
	}
}

// setLimitEdit returns an edit for teamstore.Writer.Change that sets a team's limit of CPUs.
func setLimitEdit(cpus float64) func(*teamconfig.Entry, bool) error {
	return func(e *teamconfig.Entry, _ bool) error { e.CPUsMax = cpus; return nil }
}

// TestConfigurationIsNotFollowedByDefault: without the option no status contains the configuration, no acceptance
// depends on it, and its keys have no effect.
func TestConfigurationIsNotFollowedByDefault(t *testing.T) {
	n := newNodeHarness(2, 1).n
	now := time.Now()
	n.watchedKeysRead = true
	n.applyChange(protocol.Change{Set: teamstore.Prefix + "team-0", Value: []byte(`{"number":1,"change":"x","cpus_max":1}`), Version: 9})
	n.applyTeamLimits(now)
	if s := n.status(now); n.teamConfig != nil || s.Config != nil || n.rememberedConfig() != nil {
		t.Error("the configuration is followed")
	}
	if len(n.recovery.detection.acknowledgedKeys()) != len(n.roster.Versions()) || len(n.shardNames()) != 2 || n.shards.OfTeam("team-0").Team().Quota().Limits().Max.CPUs != 10000 {
		t.Errorf("checked keys %v, shards %v", n.recovery.detection.acknowledgedKeys(), n.shardNames())
	}
}
