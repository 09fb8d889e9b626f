// Package protocol holds the messages of the protocol. The deployment's own words
// appear only here, in JSON tags and in the constants below.
package protocol

import (
	"bytes"
	stdjson "encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"
)

// Paths and values of the protocol.
const (
	JobArray = "batch"
	Gang     = "ensemble"
	Service  = "service"

	Pending   = "pending"
	Running   = "running"
	Done      = "done"
	Cancelled = "withdrawn"

	Pulling = "pulling"
	Waiting = "waiting"
	Saving  = "saving"
	Exited  = "exited"

	WhyDone       = "done"
	WhyStopped    = "stopped"
	WhyPeers      = "peers"
	WhyIncomplete = "incomplete"
	WhyError      = "error"
	WhyFull       = "full"
	WhyInUse      = "in_use"
	WhyNoSuch     = "no_such"

	Start  = "start"
	Stop   = "stop"
	Forget = "forget"

	HostBooting = "booting"
	HostRunning = "running"
	HostFailed  = "failed"

	PathSubmit    = "/submissions"
	PathHealth    = "/healthz"
	PathHeartbeat = "/v1/report"
	PathDo        = "/do"
	PathInspect   = "/inspect"
)

// MaxBody is the protocol's bound of a request body.
const MaxBody = 64 << 10

// MaxScaleOut is the protocol's bound of the machines that one request rents.
const MaxScaleOut = 50

// MaxTasks is the protocol's bound of a job's tasks.
const MaxTasks = 100000

// Encode gives the JSON of a value of this package.
func Encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("wire: value without JSON form: " + err.Error())
	}
	return data
}

// Decode reads JSON and ignores unknown fields.
func Decode(data []byte, v any) error {
	return json.Unmarshal(data, v)
}

// Submission is a job as its user describes it.
type Submission struct {
	UID        string   `json:"uid"`
	Class      string   `json:"clase"`
	Team       string   `json:"equipo"`
	Kind       string   `json:"tipo_trabajo"`
	Priority   string   `json:"prioridad"`
	Tasks      int      `json:"tramos"`
	CPUs       float64  `json:"cores"`
	GPUs       float64  `json:"cards"`
	Memory     float64  `json:"ram_gb"`
	Image      string   `json:"imagen"`
	ImageGB    float64  `json:"image_gb"`
	Types      []string `json:"modelos,omitempty"`
	Zone       *string  `json:"zona,omitempty"`
	OneZone    bool     `json:"together"`
	Spread     bool     `json:"apart"`
	Spot       bool     `json:"prestadas"`
	Estimate   float64  `json:"estimado_s"`
	Checkpoint float64  `json:"guardado_cada_s"`
	Save       float64  `json:"guardar_s"`
	Deadline   *float64 `json:"vence_s,omitempty"`
}

// Status is the answer about a job.
type Status struct {
	UID     string `json:"uid"`
	State   string `json:"estado"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// JobSummary is the answer to a submission or a withdrawal.
type JobSummary struct {
	UID   string `json:"uid"`
	State string `json:"estado"`
}

// Error is the body of a refusal.
type Error struct {
	Error string `json:"error"`
}

// Redirect tells a worker where to report.
type Redirect struct {
	Controller string `json:"informar_a,omitempty"`
}

// Heartbeat is what a worker says of itself.
type Heartbeat struct {
	Machine      string       `json:"estacion"`
	Addr         string       `json:"address"`
	Type         string       `json:"modelo"`
	Zone         string       `json:"zona"`
	Spot         bool         `json:"prestadas"`
	Incarnation  uint64       `json:"jornada"`
	Seq          uint64       `json:"correlativo"`
	FencingToken uint64       `json:"mando"`
	Notice       *float64     `json:"aviso_s"`
	Tasks        []TaskStatus `json:"tramos"`
}

// TaskStatus is one task in a report.
type TaskStatus struct {
	Task    string `json:"tramo"`
	Attempt uint64 `json:"intento"`
	State   string `json:"estado"`
	Why     string `json:"motivo,omitempty"`
	Saved   bool   `json:"kept,omitempty"`
}

// Command is one order to a worker.
type Command struct {
	Op      string   `json:"orden"`
	Task    string   `json:"tramo"`
	Attempt uint64   `json:"intento"`
	Grace   *float64 `json:"gracia_s,omitempty"`
}

// HeartbeatAnswer answers a report.
type HeartbeatAnswer struct {
	FencingToken uint64    `json:"mando"`
	Commands     []Command `json:"ordenes"`
}

// DirectCommands is the body of a command sent straight to a worker.
type DirectCommands struct {
	FencingToken uint64    `json:"mando"`
	Incarnation  uint64    `json:"jornada"`
	Commands     []Command `json:"ordenes"`
}

// Catalog lists the machine types.
type Catalog struct {
	Types []MachineType `json:"modelos"`
}

// MachineType is one type that the cloud rents.
type MachineType struct {
	Name      string   `json:"name"`
	CPUs      float64  `json:"cores"`
	GPUs      float64  `json:"cards"`
	Memory    float64  `json:"ram_gb"`
	Cache     float64  `json:"local_gb"`
	FetchRate float64  `json:"pull_gb_per_s"`
	Price     float64  `json:"price"`
	SpotPrice float64  `json:"low_price"`
	Boot      float64  `json:"ready_s"`
	Zones     []string `json:"zonas"`
}

// ScaleOutRequest asks the cloud for machines.
type ScaleOutRequest struct {
	Request string `json:"pedido"`
	Type    string `json:"modelo"`
	Zone    string `json:"zona"`
	Spot    bool   `json:"prestadas"`
	Count   int    `json:"how_many"`
}

// MachineNames lists machines.
type MachineNames struct {
	Machines []string `json:"estaciones"`
}

// Host is a machine in the cloud's list.
type Host struct {
	UID   string  `json:"uid"`
	Addr  string  `json:"address"`
	Type  string  `json:"modelo"`
	Zone  string  `json:"zona"`
	Spot  bool    `json:"prestadas"`
	State string  `json:"estado"`
	Age   float64 `json:"held_s"`
}

// HostList is one page of the cloud's list.
type HostList struct {
	Hosts []Host `json:"estaciones"`
	More  bool   `json:"more"`
}

// Entry is a key of the state service with its value.
type Entry struct {
	Key     string             `json:"path"`
	Value   stdjson.RawMessage `json:"v"`
	Version uint64             `json:"version"`
	Lease   uint64             `json:"permiso,omitempty"`
}

// EntryList is one page of keys.
type EntryList struct {
	Items    []Entry `json:"entries"`
	More     bool    `json:"more"`
	Revision uint64  `json:"revision"`
}

// Condition is a condition of a transaction.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"version"`
}

// Op is one change of a transaction: a set or a delete.
type Op struct {
	Set    string             `json:"set,omitempty"`
	Value  stdjson.RawMessage `json:"v,omitempty"`
	Lease  uint64             `json:"permiso,omitempty"`
	Delete string             `json:"delete,omitempty"`
}

// Txn is a transaction of the state service.
type Txn struct {
	Conditions []Condition `json:"guards"`
	Then       []Op        `json:"then,omitempty"`
}

// TxnResult is the state service's answer to a transaction.
type TxnResult struct {
	Revision uint64   `json:"revision"`
	Failed   []string `json:"failed"`
}

// GrantRequest asks for a lease of the state service.
type GrantRequest struct {
	TTL int64 `json:"life_ms"`
}

// Grant is a lease of the state service.
type Grant struct {
	Lease uint64 `json:"permiso"`
}

// Changes is the answer of a watch.
type Changes struct {
	Revision uint64   `json:"revision"`
	Events   []Change `json:"news"`
}

// Change is one change seen by a watch.
type Change struct {
	Set     string             `json:"set,omitempty"`
	Delete  string             `json:"delete,omitempty"`
	Value   stdjson.RawMessage `json:"v,omitempty"`
	Version uint64             `json:"version"`
}

// RunTime is how long one of the job's tasks runs, as its owner estimates.
func (s *Submission) RunTime() time.Duration { return time.Duration(s.Estimate * float64(time.Second)) }

// Times is how many of the job's tasks so much room takes.
func (s *Submission) Times(cpus, gpus, memory float64) int {
	const slack = 1e-6 // absorbs rounding in sums of amounts
	times := float64(MaxTasks)
	for _, x := range [][2]float64{{cpus, s.CPUs}, {gpus, s.GPUs}, {memory, s.Memory}} {
		if x[1] > 0 {
			times = min(times, (x[0]+slack)/x[1])
		}
	}
	return int(max(times, 0))
}

// TaskName is the wire name of a task.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// SplitTask takes a task's wire name apart.
func SplitTask(name string) (job string, index int, ok bool) {
	at := strings.LastIndexByte(name, '/')
	if at <= 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(name[at+1:])
	if err != nil || n < 0 || n >= MaxTasks || strconv.Itoa(n) != name[at+1:] {
		return "", 0, false
	}
	return name[:at], n, true
}

// ValidUID says whether a job id has the protocol's form: job- and digits.
func ValidUID(uid string) bool {
	digits, ok := strings.CutPrefix(uid, "job-")
	if !ok || digits == "" || len(digits) > 64 {
		return false
	}
	for _, c := range digits {
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// Rank orders priorities: higher goes first.
func Rank(priority string) int {
	return slices.Index([]string{"low", "standard", "high", "prod"}, priority)
}

// FieldError names the field of a submission that is missing or invalid.
type FieldError struct {
	Field, Reason string
}

func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Reason) }

// PeekUID reads only the id of a submission, for requests whose rest may be bad.
func PeekUID(body []byte) string {
	var only struct {
		UID string `json:"uid"`
	}
	if stdjson.Unmarshal(body, &only) != nil || !ValidUID(only.UID) {
		return ""
	}
	return only.UID
}

var nullable = map[string]bool{"modelos": true, "zona": true, "vence_s": true}

// ParseSubmission reads and checks a submission. An error is a *FieldError
// where one field is to blame.
func ParseSubmission(body []byte) (*Submission, error) {
	trimmed := bytes.TrimSpace(body)
	if len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, fmt.Errorf("body is not a JSON object")
	}
	var raw map[string]stdjson.RawMessage
	if err := stdjson.Unmarshal(trimmed, &raw); err != nil {
		return nil, fmt.Errorf("body is not JSON")
	}
	var s Submission
	fields := []struct {
		name string
		into any
	}{
		{"uid", &s.UID}, {"clase", &s.Class}, {"equipo", &s.Team}, {"tipo_trabajo", &s.Kind},
		{"prioridad", &s.Priority}, {"tramos", &s.Tasks}, {"cores", &s.CPUs}, {"cards", &s.GPUs},
		{"ram_gb", &s.Memory}, {"imagen", &s.Image}, {"image_gb", &s.ImageGB}, {"modelos", &s.Types},
		{"zona", &s.Zone}, {"together", &s.OneZone}, {"apart", &s.Spread}, {"prestadas", &s.Spot},
		{"estimado_s", &s.Estimate}, {"guardado_cada_s", &s.Checkpoint}, {"guardar_s", &s.Save},
		{"vence_s", &s.Deadline},
	}
	for _, f := range fields {
		value, present := raw[f.name]
		if !present || string(value) == "null" {
			if nullable[f.name] {
				continue
			}
			return nil, &FieldError{f.name, "missing"}
		}
		if err := stdjson.Unmarshal(value, f.into); err != nil {
			return nil, &FieldError{f.name, "wrong type or out of range"}
		}
	}
	return &s, s.check()
}

func (s *Submission) check() error {
	bad := func(field, reason string) error { return &FieldError{field, reason} }
	switch {
	case !ValidUID(s.UID):
		return bad("uid", "not of the form job-000412")
	case s.Class == "" || len(s.Class) > 200:
		return bad("clase", "empty or too long")
	case s.Team == "" || len(s.Team) > 200:
		return bad("equipo", "empty or too long")
	case s.Kind != JobArray && s.Kind != Gang && s.Kind != Service:
		return bad("tipo_trabajo", "unknown kind")
	case Rank(s.Priority) < 0:
		return bad("prioridad", "unknown priority")
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return bad("tramos", "not between 1 and 100000")
	case s.Image == "" || len(s.Image) > 500:
		return bad("imagen", "empty or too long")
	case len(s.Types) > 1000:
		return bad("modelos", "too many")
	}
	if s.Types != nil && len(s.Types) == 0 {
		return bad("modelos", "empty")
	}
	seen := map[string]bool{}
	for _, t := range s.Types {
		if t == "" || seen[t] {
			return bad("modelos", "empty or duplicate name")
		}
		seen[t] = true
	}
	if s.Zone != nil && *s.Zone == "" {
		return bad("zona", "empty")
	}
	for _, v := range []struct {
		field string
		value float64
		zero  bool
	}{
		{"cores", s.CPUs, s.GPUs > 0 || s.Memory > 0}, {"cards", s.GPUs, true}, {"ram_gb", s.Memory, true}, {"image_gb", s.ImageGB, true},
		{"estimado_s", s.Estimate, true}, {"guardado_cada_s", s.Checkpoint, true}, {"guardar_s", s.Save, true},
	} {
		if math.IsNaN(v.value) || v.value < 0 || v.value > 1e9 || (v.value == 0 && !v.zero) {
			return bad(v.field, "out of range")
		}
	}
	if s.Deadline != nil && !(*s.Deadline >= 0 && *s.Deadline <= 1e9) {
		return bad("vence_s", "out of range")
	}
	return nil
}

// CheckHeartbeat says what is wrong with a report.
func CheckHeartbeat(r *Heartbeat) error {
	switch {
	case r.Machine == "" || len(r.Machine) > 100 || strings.ContainsAny(r.Machine, " /\n"):
		return &FieldError{"estacion", "missing or malformed"}
	case r.Addr == "":
		return &FieldError{"address", "missing"}
	case r.Incarnation == 0:
		return &FieldError{"jornada", "missing"}
	case r.Type == "" || r.Zone == "":
		return &FieldError{"modelo", "type or zone missing"}
	}
	return nil
}
