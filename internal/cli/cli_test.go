package cli

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"topazhollow/internal/artifactreplication"
	"topazhollow/internal/artifactstore"
	"topazhollow/internal/protocol"
)

// TestMain lets the test binary act as topazhollowctl, since demo starts its processes from its own executable.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && slices.Contains([]string{"controller", "artifact-store", "fault-injection-agent"}, os.Args[1]) {
		os.Exit(Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func runCommand(args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	code := Main(context.Background(), args, &out, &errs)
	return code, out.String(), errs.String()
}

// TestDemo checks that demo runs a job on three controller processes, follows its output, fetches its files, runs a
// pipeline in order and leaves no files behind.
func TestDemo(t *testing.T) {
	tmp := t.TempDir()
	t.Setenv("TMPDIR", tmp)
	code, out, errs := runCommand("demo", "--job", "../../examples/grades.toml", "--most", "5m")
	if code != 0 {
		t.Fatalf("%d\n%s%s", code, out, errs)
	}
	for _, want := range []string{"job-000001/0 | route 0: grade 3 of 3\n", "is final", "job-000001 is done", "profiles/route-2.txt: 2 6.4%"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
	checkDemoPipeline(t, out)
	if left, err := os.ReadDir(tmp); err != nil || len(left) != 0 {
		t.Errorf("left behind: %v %v", left, err)
	}
}

// checkDemoPipeline checks the part of demo's output about its pipeline: the steps in order, whatever lies between.
func checkDemoPipeline(t *testing.T, out string) {
	t.Helper()
	rest := out
	for _, want := range []string{"job-000002 accepted", "job-000003 accepted", "job-000004 accepted", "job-000002 fetch: done\n", "job-000003 clean: done\n",
		"job-000004 publish: done\n", "each began only when the one before was done\n", "job-000004/0 | published tile 1,tile 2,tile 3\n", "attempt"} {
		_, after, found := strings.Cut(rest, want)
		if !found {
			t.Errorf("no %q, or not in order, in\n%s", want, out)
			continue
		}
		rest = after
	}
}

// TestCheckOrder checks that demo notices a job that begins too early or is cancelled.
func TestCheckOrder(t *testing.T) {
	var jobs []*demo
	for i := range 3 {
		jobs = append(jobs, &demo{spec: pipelineExamples[i].submission(pipelineJob(i))})
	}
	for _, x := range []struct {
		states []protocol.JobState
		want   string
	}{
		{[]protocol.JobState{protocol.Pending, protocol.Pending, protocol.Pending}, ""},
		{[]protocol.JobState{protocol.Done, protocol.Running, protocol.Pending}, ""},
		{[]protocol.JobState{protocol.Done, protocol.Done, protocol.Done}, ""},
		{[]protocol.JobState{protocol.Running, protocol.Running, protocol.Pending}, "job-000003 is running before job-000002 is done"},
		{[]protocol.JobState{protocol.Done, protocol.Running, protocol.Done}, "job-000004 is done before job-000003 is done"},
		{[]protocol.JobState{protocol.Done, protocol.Pending, protocol.Cancelled}, "job-000004 is withdrawn, but nobody cancelled it"},
	} {
		if err := checkOrder(jobs, x.states); err == nil && x.want != "" || err != nil && err.Error() != x.want {
			t.Errorf("%q: %v, want %q", x.states, err, x.want)
		}
	}
}

// TestExitCodes checks the exit codes and output that scripts rely on.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	key := bytes.Repeat([]byte{7}, 16)
	set := artifactreplication.DefaultConfig()
	set.Listen, set.Dir = "127.0.0.1:0", filepath.Join(dir, "keep")
	ctx, cancel := context.WithCancel(context.Background())
	ended, ready := make(chan error, 1), make(chan string, 1)
	go func() { ended <- RunArtifactStore(ctx, set, key, &bytes.Buffer{}, func(addr string) { ready <- addr }) }()
	t.Setenv("TOPAZ_KEEPER", "http://"+<-ready)
	t.Setenv(artifactreplication.KeyVariable, strings.Repeat("07", 16))
	code, token, errs := runCommand("token", "job-000001")
	if code != 0 {
		t.Fatal(errs)
	}
	t.Setenv("TOPAZ_TOKEN", strings.TrimSpace(token))
	task := 0
	write := artifactstore.Grant{Right: artifactstore.Write, Tenant: "red", Job: "job-000001", Task: &task, Number: 4, Machine: "m", Session: 1, Until: time.Now().Add(time.Hour)}.Token(key)
	post := func(path, body string) {
		t.Helper()
		if err := postTo(os.Getenv("TOPAZ_KEEPER")+path, write, body); err != nil {
			t.Fatal(err)
		}
	}
	post("/attempt", "")
	post("/streams/stdout?first=0", `[{"at":"2026-01-01T00:00:00Z","data":"aGVsbG8="}]`)
	for _, x := range []struct {
		args []string
		code int
		out  string
	}{
		{[]string{"logs", "job-000001/0"}, ExitPartial, "hello\n"},
		{[]string{"attempts", "job-000001/0"}, 0, "goes on"},
		{[]string{"logs", "job-000001/9"}, ExitUnknown, ""},
		{[]string{"fetch", "job-000001/0", dir}, ExitUnknown, ""},
		{[]string{"logs", "job-000002/0"}, ExitRefused, ""},
		{[]string{"logs", "job-000001"}, ExitUsage, ""},
		{[]string{"nothing"}, ExitUsage, ""},
		{[]string{"keep", "--config", "../../deploy/keep.toml", "--check"}, 0, "ok"},
		{[]string{"keep", "--config", "../../deploy/keep.toml", "--print-config"}, 0, "quota_gb = 10"},
		{[]string{"keep", "--config", filepath.Join(dir, "none.toml")}, ExitUsage, ""},
		{[]string{"build", "--config", "../../deploy/build.toml", "--check"}, 0, "ok"},
		{[]string{"build", "--config", "../../deploy/keep.toml", "--check"}, ExitUsage, ""},
		{[]string{"--help"}, 0, "Exit codes"},
	} {
		if code, out, errs := runCommand(x.args...); code != x.code || !strings.Contains(out, x.out) {
			t.Errorf("%q: %d, %q, %q", x.args, code, out, errs)
		}
	}
	post("/seal", `{"exit":{"completed":true},"records":{"stdout":1}}`)
	task = 1
	write = artifactstore.Grant{Right: artifactstore.Write, Tenant: "red", Job: "job-000001", Task: &task, Number: 2, Machine: "m", Session: 1, Until: time.Now().Add(time.Hour)}.Token(key)
	post("/attempt", "")
	post("/streams/stdout?first=0", `[{"at":"2026-01-01T00:00:00Z","data":"bm8="}]`)
	post("/seal", `{"exit":{"completed":false,"code":3,"reason":"no terrain"},"records":{"stdout":1}}`)
	if code, out, errs := runCommand("logs", "job-000001", "--failed"); code != 0 || out != "== job-000001/1 attempt 2 on m: sealed, exit 3 no terrain\n   no\n" {
		t.Errorf("failed tasks: %d %q %s", code, out, errs)
	}
	config := filepath.Join(dir, "keep.toml")
	if err := os.WriteFile(config, []byte("listen = \""+strings.TrimPrefix(os.Getenv("TOPAZ_KEEPER"), "http://")+"\""), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out, errs := runCommand("keep", "status", "--config", config); code != 0 || !strings.Contains(out, "keeper-1") || !strings.Contains(out, "serving") {
		t.Errorf("status: %d %s %s", code, out, errs)
	}
	if code, out, errs := runCommand("--output", "json", "logs", "job-000001/0"); code != 0 || !strings.Contains(out, `"state":"final"`) {
		t.Errorf("sealed: %d %s %s", code, out, errs)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestControllerDependencies keeps the controller program small: it must not link the artifact store, the tools or the
// modules that only they need.
func TestControllerDependencies(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "topazhollow/cmd/topazhollow").Output()
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(out), "topazhollow/internal/leadership\n") {
		t.Fatal("the list of the controller's dependencies lacks a package that it must have")
	}
	for _, forbidden := range []string{"bbolt", "klauspost", "BurntSushi", "grpc", "prometheus", "topazhollow/internal/artifactstore", "topazhollow/internal/blob", "topazhollow/internal/snapshot", "fxamacker", "topazhollow/internal/simulation", "topazhollow/internal/loadtest", "gonum"} {
		if strings.Contains(string(out), forbidden) {
			t.Errorf("the controller links %s", forbidden)
		}
	}
}

func postTo(url, token, body string) error {
	req, err := http.NewRequest("POST", url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return nil
}
