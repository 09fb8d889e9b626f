package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
)

// TestConfigCommands checks that changes are committed on top of the settings file and of each other, that invalid
// changes are refused with the team or field named, and that nothing is written to a state service without a control
// record.
func TestConfigCommands(t *testing.T) {
	store, err := simulation.NewKVStore(16, 16)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.json")
	data, err := json.Marshal(settings.Settings{Name: "node-a", Listen: "127.0.0.1:1", PeerListen: "127.0.0.1:2",
		Services: settings.ServiceAddrs{KVStore: store.Addr(), Cloud: "127.0.0.1:3"},
		Deployment: settings.Deployment{Zones: []string{"z"}, Teams: []settings.Team{{Name: "red", CPUs: 4, CPUsMax: 8}},
			Agents: settings.Agents{HeartbeatSeconds: 1, LeaseSeconds: 5, CancelSeconds: 10}, KVStore: settings.KVStore{RequestsPerSecond: 1000, ChangesPerSecond: 1000, ValueKB: 8, ChangesPerTransaction: 8},
			Cloud: settings.Cloud{RequestsPerSecond: 1}, Limits: settings.Limits{Cores: 1, MemoryMB: 64, MaxSockets: 64}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	runCommand := func(args ...string) (int, string) {
		var out, errs bytes.Buffer
		code := Main(t.Context(), append([]string{"config"}, args...), &out, &errs)
		return code, out.String() + errs.String()
	}
	if code, output := runCommand("set-team", "red", "--settings", file, "--cpus-max", "2"); code != ExitFailed || !strings.Contains(output, "no control record") || store.CountKeys("w/t/") > 0 {
		t.Errorf("without a control record: %d %s", code, output)
	}
	store.Put("w/c", `{"term":1,"generation":1,"store":"drawn"}`)
	store.Put("w/g/drawn", `{}`)
	many := filepath.Join(dir, "many.toml")
	if err := os.WriteFile(many, []byte("[[team]]\nname = \"red\"\ncpus_max = 6\n[[team]]\nname = \"green\"\ncpus = 1\ncpus_max = 3.5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	wrong := filepath.Join(dir, "wrong.toml")
	if err := os.WriteFile(wrong, []byte("[[team]]\nname = \"red\"\ncpus_most = 6\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"set-team", "red", "--cpus-max", "2"}, 0, "red: change 1"},
		{[]string{"apply", many}, 0, "green: change 1"},
		{[]string{"apply", wrong}, ExitUsage, "cpus_most"},
		{[]string{"remove-team", "green"}, 0, "green: change 2"},
		{[]string{"set-team", "red", "--cpus-max", "0.001"}, ExitFailed, "cpus_max"},
		{[]string{"set-team", "no/name", "--cpus-max", "1"}, ExitFailed, "no/name"},
		{[]string{"list"}, 0, "cpus 4 of 6"},
		{[]string{"list"}, 0, "cpus 1 of 3.5  gpus 0 of 0  removed"},
	} {
		if code, output := runCommand(append(c.args, "--settings", file)...); code != c.code || !strings.Contains(output, c.want) {
			t.Errorf("%v: %d %s", c.args, code, output)
		}
	}
	if store.CountKeys("w/t/") != 2 {
		t.Errorf("%d keys", store.CountKeys("w/t/"))
	}
	asked := 0
	controller := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked++
		fmt.Fprintf(w, `{"node":"node-a","configuration":{"known_revision":9,"in_force":{"red":%d},
			"behind":[{"node":"node-b","known":7,"for_s":1.5}],"not_in_force":[{"team":"red","number":3,"owner":"node-b"}]}}`, min(asked, 3))
	}))
	defer controller.Close()
	addr := strings.TrimPrefix(controller.URL, "http://")
	if code, output := runCommand("set-team", "red", "--settings", file, "--cpus-max", "5", "--wait", addr); code != 0 || asked != 3 || !strings.Contains(output, "in force everywhere, reported by node-a") {
		t.Errorf("asked %d times: %d %s", asked, code, output)
	}
	if code, output := runCommand("status", addr); code != 0 || !strings.Contains(output, "node-b is behind") || !strings.Contains(output, "change 3 of team red is not in force") {
		t.Errorf("%d %s", code, output)
	}
	if code, output := runCommand("set-team", "red", "--settings", file, "--cpus-max", "7", "--wait", addr, "--most", "700ms"); code != ExitFailed || !strings.Contains(output, "not known to be in force") {
		t.Errorf("%d %s", code, output)
	}
}
