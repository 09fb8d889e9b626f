package settings

import (
	"fmt"
	"strings"
	"testing"

	"topazhollow/internal/goldentest"
)

// The golden files are files that operators write: names may be added to their formats, but not renamed or removed. The
// tests compare each value separately, so that the names of Go fields are free to change.

// value is the decoded value of a setting.
type value struct {
	name      string
	got, want any
}

// compare reports each value that differs from the wanted one.
func compare(t *testing.T, values []value) {
	t.Helper()
	for _, v := range values {
		if fmt.Sprint(v.got) != fmt.Sprint(v.want) {
			t.Errorf("%s: %v, want %v", v.name, v.got, v.want)
		}
	}
}

// TestGoldenSettings checks every field of the settings file.
func TestGoldenSettings(t *testing.T) {
	s, err := Parse(goldentest.Read(t, "settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	goldentest.AllSet(t, *s)
	d := s.Deployment
	team, objective := d.Teams[0], d.Objectives[0]
	next := d.KVStore.Announced
	compare(t, []value{
		{"state.next.rps", next.RequestsPerSecond, 151}, {"state.next.write_rps", next.ChangesPerSecond, 31},
		{"state.next.value_kb", next.ValueKB, 10}, {"state.next.txn_ops", next.ChangesPerTransaction, 25},
		{"host_name", s.Name, "estacion-1"}, {"zone", s.Zone, "a"}, {"serve_on", s.Listen, "10.0.0.1:8080"}, {"peer_listen", s.PeerListen, "10.0.0.1:8081"},
		{"seeds.host_name", s.Peers[0].Name, "estacion-2"}, {"seeds.zone", s.Peers[0].Zone, "b"}, {"seeds.endpoint", s.Peers[0].Endpoint, "10.0.0.2:8081"},
		{"outside.cloud", s.Services.Cloud, "10.2.0.2:1"}, {"outside.state", s.Services.KVStore, "10.2.0.1:2"},
		{"initial_size", d.Size, 2}, {"zones", d.Zones, []string{"a", "b"}}, {"clock_off_ms", d.ClockErrorMillis, 25},
		{"teams.name", team.Name, "vision"}, {"teams.cpus", team.CPUs, 96}, {"teams.cpus_max", team.CPUsMax, 192.5}, {"teams.gpus", team.GPUs, 8}, {"teams.gpus_max", team.GPUsMax, 16},
		{"teams.cpus_max 0", d.Teams[1].CPUsMax, "+Inf"}, {"teams.gpus_max 0", d.Teams[1].GPUsMax, "+Inf"},
		{"objectives.kind", objective.Kind, "start"}, {"objectives.class", objective.Class, "train"}, {"objectives.within_s", objective.WithinSeconds, 30},
		{"objectives.share", objective.Share, 0.95}, {"objectives.times", objective.DeadlineFactor, 1.5},
		{"workers.report_s", d.Agents.HeartbeatSeconds, 3}, {"workers.lease_s", d.Agents.LeaseSeconds, 26}, {"workers.gang_wait_s", d.Agents.GangWaitSeconds, 35},
		{"workers.gang_peer_s", d.Agents.GangPeerSeconds, 8}, {"workers.cancel_s", d.Agents.CancelSeconds, 56},
		{"state.rps", d.KVStore.RequestsPerSecond, 150}, {"state.write_rps", d.KVStore.ChangesPerSecond, 30}, {"state.value_kb", d.KVStore.ValueKB, 9}, {"state.txn_ops", d.KVStore.ChangesPerTransaction, 24},
		{"cloud.rps", d.Cloud.RequestsPerSecond, 6}, {"cloud.list_lag_s", d.Cloud.ListLagSeconds, 4},
		{"limits.cores", d.Limits.Cores, 0.3}, {"limits.memory_mb", d.Limits.MemoryMB, 234}, {"limits.max_sockets", d.Limits.MaxSockets, 2500},
	})
}

// TestSettingsOfEarlierVersions checks that a file without the announced limits is read as before.
func TestSettingsOfEarlierVersions(t *testing.T) {
	s, err := Parse(goldentest.Read(t, "settings-without-next.json"))
	if err != nil {
		t.Fatal(err)
	}
	want := KVStore{RequestsPerSecond: 150, ChangesPerSecond: 30, ValueKB: 9, ChangesPerTransaction: 24}
	if got := s.Deployment.KVStore; got != want {
		t.Errorf("limits %+v, want %+v", got, want)
	}
}

// TestAnnouncedLimits: of the present and the announced limits the lower one applies, and limits that are not announced
// stay as they are.
func TestAnnouncedLimits(t *testing.T) {
	const present = `"txn_ops":24},`
	file := string(goldentest.Read(t, "settings-without-next.json"))
	for _, c := range []struct {
		next string
		want KVStore
	}{
		{`{"rps":90,"write_rps":21,"value_kb":2,"txn_ops":8}`, KVStore{RequestsPerSecond: 90, ChangesPerSecond: 21, ValueKB: 2, ChangesPerTransaction: 8}},
		{`{"rps":900,"write_rps":210,"value_kb":20,"txn_ops":80}`, KVStore{RequestsPerSecond: 150, ChangesPerSecond: 30, ValueKB: 9, ChangesPerTransaction: 24}},
		{`{"value_kb":2}`, KVStore{RequestsPerSecond: 150, ChangesPerSecond: 30, ValueKB: 2, ChangesPerTransaction: 24}},
		{`null`, KVStore{RequestsPerSecond: 150, ChangesPerSecond: 30, ValueKB: 9, ChangesPerTransaction: 24}},
	} {
		s, err := Parse([]byte(strings.Replace(file, present, `"txn_ops":24,"next":`+c.next+`},`, 1)))
		if err != nil {
			t.Fatalf("%s: %v", c.next, err)
		}
		got := s.Deployment.KVStore
		if got.PresentValueKB() != 9 {
			t.Errorf("%s: present limit on values %g KB, want 9", c.next, got.PresentValueKB())
		}
		got.Announced, got.presentValueKB = nil, 0
		if got != c.want {
			t.Errorf("%s: limits %+v, want %+v", c.next, got, c.want)
		}
	}
	for _, next := range []string{`{"value_kb":0.5}`, `{"txn_ops":3}`, `{"rps":-1}`} {
		if _, err := Parse([]byte(strings.Replace(file, present, `"txn_ops":24,"next":`+next+`},`, 1))); err == nil {
			t.Errorf("accepted the announced limits %s", next)
		}
	}
}

// TestGoldenScript checks every option of the script.
func TestGoldenScript(t *testing.T) {
	o, err := ParseScript("options.star", goldentest.Read(t, "options.star"))
	if err != nil {
		t.Fatal(err)
	}
	goldentest.AllSet(t, *o)
	compare(t, []value{
		{"sample_size", o.SampleSize, 33}, {"idle_return_s", o.IdleReturnSeconds, 11.5}, {"warm_machines", o.WarmMachines, 2}, {"spot_share", o.SpotShare, 0.5}, {"haste", o.SafetyRunTimes, 3},
		{"node_lease_s", o.ControllerLeaseSeconds, 6}, {"class_floor", o.ClassFloor, 0.25}, {"floor_after_s", o.FloorAfterSeconds, 91}, {"config_bound_s", o.ConfigMaxAgeSeconds, 12}, {"copy_wait_s", o.CopyWaitSeconds, 13},
		{"bitmap_every_s", o.BitmapIntervalSeconds, 1.5}, {"team_weights", o.TeamWeights, map[string]float64{"vision": 2}}, {"class_weights", o.ClassWeights, map[string]float64{"train": 0.5}},
	})
}

// TestGoldenDefaults checks the options that apply without a script.
func TestGoldenDefaults(t *testing.T) {
	o := DefaultOptions()
	compare(t, []value{
		{"sample_size", o.SampleSize, 32}, {"idle_return_s", o.IdleReturnSeconds, 10}, {"warm_machines", o.WarmMachines, 1}, {"spot_share", o.SpotShare, 1}, {"haste", o.SafetyRunTimes, 2},
		{"node_lease_s", o.ControllerLeaseSeconds, 5}, {"class_floor", o.ClassFloor, 0.5}, {"floor_after_s", o.FloorAfterSeconds, 90}, {"config_bound_s", o.ConfigMaxAgeSeconds, 0}, {"copy_wait_s", o.CopyWaitSeconds, 0},
		{"bitmap_every_s", o.BitmapIntervalSeconds, 1}, {"team_weights", len(o.TeamWeights), 0}, {"class_weights", len(o.ClassWeights), 0},
	})
}
