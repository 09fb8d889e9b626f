package protocol

import (
	"errors"
	"math"
	"strings"
	"testing"
)

const good = `{"uid":"job-000412","clase":"train","equipo":"vision","tipo_trabajo":"ensemble","prioridad":"high","tramos":16,
"cores":8.0,"cards":1.0,"ram_gb":64.0,"imagen":"img-07","image_gb":6.2,"modelos":["g8"],"zona":null,"together":true,"apart":false,
"prestadas":true,"estimado_s":240.0,"guardado_cada_s":30.0,"guardar_s":4.0,"vence_s":900.0,"nuevo":{"x":1}}`

// TestSubmissions: valid submissions are accepted, and errors about invalid ones name the field.
func TestSubmissions(t *testing.T) {
	if s, err := ParseSubmission([]byte(good)); err != nil || s.Tasks != 16 || s.Zone != nil || *s.DeadlineSeconds != 900 {
		t.Fatalf("%+v %v", s, err)
	}
	for _, c := range []struct{ old, new, field string }{
		{`"job-000412"`, `"000412"`, "uid"},
		{`"job-000412"`, `"job-0/1"`, "uid"},
		{`"tramos":16`, `"tramos":1.5`, "tramos"},
		{`"tramos":16`, `"tramos":0`, "tramos"},
		{`"tramos":16`, `"tramos":100001`, "tramos"},
		{`"cores":8.0`, `"cores":-1`, "cores"},
		{`"cores":8.0`, `"cores":1e400`, "cores"},
		{`"cores":8.0`, `"cores":"8"`, "cores"},
		{`"ram_gb":64.0`, `"ram_gb":null`, "ram_gb"},
		{`"ram_gb":64.0,`, ``, "ram_gb"},
		{`["g8"]`, `["g8","g8"]`, "modelos"},
		{`["g8"]`, `[]`, "modelos"},
		{`"high"`, `"urgent"`, "prioridad"},
		{`"ensemble"`, `"gang"`, "tipo_trabajo"},
		{`900.0`, `-900.0`, "vence_s"},
		{`"together":true`, `"together":1`, "together"},
	} {
		_, err := ParseSubmission([]byte(strings.Replace(good, c.old, c.new, 1)))
		var bad *FieldError
		if !errors.As(err, &bad) || bad.Field != c.field {
			t.Errorf("%s: %v, want field %s", c.new, err, c.field)
		}
	}
	for _, body := range []string{"", "[]", "null", "{", "\"x\"", good + "x"} {
		if _, err := ParseSubmission([]byte(body)); err == nil {
			t.Errorf("accepted %.20q", body)
		}
	}
}

// TestTaskNames: SplitTask reverses TaskName and rejects other names.
func TestTaskNames(t *testing.T) {
	if job, i, ok := SplitTask(TaskName("job-1", 42)); !ok || job != "job-1" || i != 42 {
		t.Fatal(job, i, ok)
	}
	for _, name := range []string{"", "/1", "job-1", "job-1/", "job-1/-1", "job-1/01", "job-1/100000", "job-1/x"} {
		if _, _, ok := SplitTask(name); ok {
			t.Errorf("accepted %q", name)
		}
	}
}

// TestHeartbeatHasRoomForAllListedTasks guards against heartbeats that are refused for their size (review/2): the longest
// entries that fill MaxListedBytes must leave room for the rest of the longest heartbeat, with a space after each separator.
func TestHeartbeatHasRoomForAllListedTasks(t *testing.T) {
	long := strings.Repeat("n", 200)
	notice := 123456.789
	h := Heartbeat{Machine: long, Addr: long, Type: long, Zone: long, Incarnation: math.MaxUint64, Seq: math.MaxUint64, FencingToken: math.MaxUint64, NoticeSeconds: &notice}
	for free := MaxListedBytes; ; {
		name := TaskName("job-999999", MaxTasks-1)
		if TaskNameLength("job-999999", MaxTasks-1) != len(name) {
			t.Fatalf("length of %s: %d", name, TaskNameLength("job-999999", MaxTasks-1))
		}
		if free -= ListedBytes(len(name)); free < 0 {
			break
		}
		h.Tasks = append(h.Tasks, TaskStatus{Task: name, Attempt: 1<<53 - 1, State: Exited, Reason: ReasonIncomplete, Checkpointed: true})
	}
	body := strings.NewReplacer(",", ", ", ":", ": ").Replace(string(Encode(h)))
	if len(body) > MaxBody {
		t.Errorf("a heartbeat with %d tasks takes %d bytes, more than %d", len(h.Tasks), len(body), MaxBody)
	}
	if len(h.Tasks) < 400 {
		t.Errorf("a machine may have only %d tasks", len(h.Tasks))
	}
}
