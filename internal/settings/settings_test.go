package settings

import (
	"math"
	"strings"
	"testing"
)

const good = `{"host_name":"e0","zone":"z","serve_on":"10.0.0.1:8080","peer_listen":"10.0.0.1:8081",
"seeds":[{"host_name":"e1","zone":"z","endpoint":"10.0.0.2:8081"}],"outside":{"cloud":"10.2.0.2:1","state":"10.2.0.1:2"},
"deployment":{"initial_size":2,"zones":["z"],"teams":[{"name":"t","cpus":1,"cpus_max":2,"gpus":0,"gpus_max":0}],
"workers":{"report_s":3,"lease_s":26,"gang_wait_s":35,"gang_peer_s":8,"cancel_s":56},
"state":{"rps":150,"write_rps":30,"value_kb":8,"txn_ops":24},"cloud":{"rps":6,"list_lag_s":3},
"limits":{"cores":0.3,"memory_mb":234,"max_sockets":2500},"clock_off_ms":25},"nuevo":1}`

// TestBadFieldIsNamed: the error about an invalid setting is one line that names the field.
func TestBadFieldIsNamed(t *testing.T) {
	if _, err := Parse([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, field string }{
		{`"host_name":"e0",`, ``, "host_name"},
		{`"10.0.0.1:8080"`, `"localhost:8080"`, "serve_on"},
		{`"10.0.0.2:8081"`, `"10.0.0.2"`, "seeds[0].endpoint"},
		{`"host_name":"e1"`, `"host_name":"e0"`, "seeds[0].host_name"},
		{`"10.2.0.1:2"`, `""`, "outside.state"},
		{`"initial_size":2`, `"initial_size":3`, "deployment.initial_size"},
		{`["z"]`, `[]`, "deployment.zones"},
		{`["z"]`, `["z","z"]`, "deployment.zones[1]"},
		{`"cpus_max":2`, `"cpus_max":-2`, "deployment.teams[0].cpus_max"},
		{`"txn_ops":24`, `"txn_ops":0`, "deployment.state.txn_ops"},
		{`"memory_mb":234`, `"memory_mb":1`, "deployment.limits.memory_mb"},
		{`"lease_s":26`, `"lease_s":0`, "deployment.workers.lease_s"},
		{`"rps":6`, `"rps":"6"`, "rps"},
	} {
		_, err := Parse([]byte(strings.Replace(good, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line naming %s", c.new, err, c.field)
		}
	}
}

// TestNoLimit: a limit of 0 means none. It guards against refusing every submission of a team without guarantee and
// limit as needing more than the limit.
func TestNoLimit(t *testing.T) {
	s, err := Parse([]byte(strings.Replace(good, `"cpus":1,"cpus_max":2`, `"cpus":0,"cpus_max":0`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if team := s.Deployment.Teams[0]; !math.IsInf(team.CPUsMax, 1) || !math.IsInf(team.GPUsMax, 1) || team.CPUs != 0 {
		t.Fatalf("%+v, want no guarantee and no limit", team)
	}
}

// TestScripts: options are checked against their bounds, and a script cannot run forever.
func TestScripts(t *testing.T) {
	o, err := ParseScript("s.star", []byte("_n = [8 for _ in range(2)]\nwarm_machines = _n[0]\nidle_return_s = 1.5\n"))
	if err != nil || o.WarmMachines != 8 || o.IdleReturnSeconds != 1.5 || o.SampleSize != DefaultOptions().SampleSize {
		t.Fatalf("%+v %v", o, err)
	}
	for src, want := range map[string]string{
		"warm_machines = -1":                             "warm_machines",
		"warm_machines = 1.5":                            "warm_machines",
		"spot_share = \"all\"":                           "spot_share",
		"warm_machine = 1":                               "warm_machine",
		"x = 1 // 0":                                     "s.star:1",
		"\n\nwarm_machines = ":                           "s.star:3",
		"load(\"x\", \"y\")":                             "s.star",
		"for i in range(100000000):\n  pass":             "s.star",
		"warm_machines = 1" + strings.Repeat(" ", 70000): "64 KiB",
	} {
		if _, err := ParseScript("s.star", []byte(src)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.30q: %v, want %s", src, err, want)
		}
	}
}
