package protocol

import (
	"bytes"
	stdjson "encoding/json"
	"fmt"
	"math"
	"strings"
)

// FieldError names the field of a submission that is missing or invalid.
type FieldError struct {
	Field, Reason string
}

func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Reason) }

// PeekUID returns the job ID of a submission that may otherwise be malformed, "" if there is no valid one.
func PeekUID(body []byte) string {
	var raw map[string]stdjson.RawMessage
	var uid string
	if stdjson.Unmarshal(body, &raw) != nil || stdjson.Unmarshal(raw["uid"], &uid) != nil || !ValidUID(uid) {
		return ""
	}
	return uid
}

// nullable holds the fields that may be null or absent.
var nullable = map[string]bool{"modelos": true, "zona": true, "vence_s": true, "espera_a": true}

// ParseSubmission decodes and validates a submission. The error is a *FieldError if a field is missing or invalid. A
// field that is not nullable must be present.
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
		{"ram_gb", &s.MemoryGB}, {"imagen", &s.Image}, {"image_gb", &s.ImageGB}, {"modelos", &s.Types},
		{"zona", &s.Zone}, {"together", &s.OneZone}, {"apart", &s.Spread}, {"prestadas", &s.Spot},
		{"estimado_s", &s.EstimateSeconds}, {"guardado_cada_s", &s.CheckpointEverySeconds}, {"guardar_s", &s.CheckpointSeconds},
		{"vence_s", &s.DeadlineSeconds}, {"espera_a", &s.Dependencies},
	}
	for _, f := range fields {
		value, present := raw[f.name]
		if !present || string(value) == "null" {
			if nullable[f.name] {
				continue
			}
			return nil, &FieldError{f.name, "missing"}
		}
		if err := decodeField(value, f.into); err != nil {
			return nil, &FieldError{f.name, "wrong type or out of range"}
		}
	}
	s.Dependencies = withoutDuplicates(s.Dependencies)
	return &s, s.check()
}

// decodeField decodes the value of a field. An integer may be written in any form of a whole number.
func decodeField(value []byte, into any) error {
	err := stdjson.Unmarshal(value, into)
	if err == nil {
		return nil
	}
	if plain, changed := plainIntegers(value); changed {
		return stdjson.Unmarshal(plain, into)
	}
	return err
}

// withoutDuplicates returns the names in their order, each once; nil if there are none.
func withoutDuplicates(names []string) (unique []string) {
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if !seen[name] {
			seen[name] = true
			unique = append(unique, name)
		}
	}
	return unique
}

// Limits on the fields of a submission.
const (
	maxNameLength  = 200 // of the names of a class and a team, in bytes
	maxImageLength = 500 // in bytes
	maxTypes       = 1000
	maxAmount      = 1e9 // of any quantity, in the unit of the field
)

// check returns a *FieldError for the first invalid field, or nil.
func (s *Submission) check() error {
	for _, check := range []func() *FieldError{s.checkNames, s.checkTypes, s.checkAmounts, s.checkDependencies} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Submission) checkNames() *FieldError {
	switch {
	case !ValidUID(s.UID):
		return &FieldError{"uid", "not of the form job-000412"}
	case s.Class == "" || len(s.Class) > maxNameLength:
		return &FieldError{"clase", "empty or too long"}
	case s.Team == "" || len(s.Team) > maxNameLength:
		return &FieldError{"equipo", "empty or too long"}
	case s.Kind != JobArray && s.Kind != Gang && s.Kind != Service:
		return &FieldError{"tipo_trabajo", "unknown kind"}
	case Rank(s.Priority) < 0:
		return &FieldError{"prioridad", "unknown priority"}
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return &FieldError{"tramos", "not between 1 and 100000"}
	case s.Image == "" || len(s.Image) > maxImageLength:
		return &FieldError{"imagen", "empty or too long"}
	}
	return nil
}

func (s *Submission) checkTypes() *FieldError {
	switch {
	case len(s.Types) > maxTypes:
		return &FieldError{"modelos", "too many"}
	case s.Types != nil && len(s.Types) == 0:
		return &FieldError{"modelos", "empty"}
	}
	seen := map[string]bool{}
	for _, t := range s.Types {
		if t == "" || seen[t] {
			return &FieldError{"modelos", "empty or duplicate name"}
		}
		seen[t] = true
	}
	if s.Zone != nil && *s.Zone == "" {
		return &FieldError{"zona", "empty"}
	}
	return nil
}

func (s *Submission) checkAmounts() *FieldError {
	for _, amount := range []struct {
		field  string
		value  float64
		mayBe0 bool
	}{
		{"cores", s.CPUs, s.GPUs > 0 || s.MemoryGB > 0},
		{"cards", s.GPUs, true},
		{"ram_gb", s.MemoryGB, true},
		{"image_gb", s.ImageGB, true},
		{"estimado_s", s.EstimateSeconds, true},
		{"guardado_cada_s", s.CheckpointEverySeconds, true},
		{"guardar_s", s.CheckpointSeconds, true},
	} {
		isNumber := !math.IsNaN(amount.value)
		if !isNumber || amount.value < 0 || amount.value > maxAmount || (amount.value == 0 && !amount.mayBe0) {
			return &FieldError{amount.field, "out of range"}
		}
	}
	if s.DeadlineSeconds != nil && !(*s.DeadlineSeconds >= 0 && *s.DeadlineSeconds <= maxAmount) {
		return &FieldError{"vence_s", "out of range"}
	}
	return nil
}

func (s *Submission) checkDependencies() *FieldError {
	for _, uid := range s.Dependencies {
		switch {
		case !ValidUID(uid):
			return &FieldError{"espera_a", "not a list of job IDs"}
		case uid == s.UID:
			return &FieldError{"espera_a", "names the job itself"}
		}
	}
	return nil
}

// maxMachineName is the maximum length of a machine's name, in bytes.
const maxMachineName = 100

// CheckHeartbeat returns a *FieldError for the first field of a heartbeat that is missing or malformed, or nil.
func CheckHeartbeat(h *Heartbeat) error {
	switch {
	case h.Machine == "" || len(h.Machine) > maxMachineName || strings.ContainsAny(h.Machine, " /\n"):
		return &FieldError{"estacion", "missing or malformed"}
	case h.Addr == "":
		return &FieldError{"address", "missing"}
	case h.Incarnation == 0:
		return &FieldError{"jornada", "missing"}
	case h.Type == "" || h.Zone == "":
		return &FieldError{"modelo", "type or zone missing"}
	}
	return nil
}
