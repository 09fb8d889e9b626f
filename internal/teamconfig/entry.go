// Package teamconfig decides what a controller may do by what it knows of the teams' configuration, which can change
// while the controllers run. It does no I/O and reads no clock: what the state service and the other controllers report
// goes in, limits and verdicts come out. It never writes an entry. Its types are not safe for concurrent use; the
// controller guards them. docs/configuration.md says why it is done so.
//
// The configuration is a base, which the settings file gives, and one Entry for each team that was ever changed.
// An entry is written whole by each change, guarded by the version of its key, and is never deleted.
package teamconfig

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// Entry is a team's configuration as the state service has it.
type Entry struct {
	// Number is that of the team's change, from 1. It goes on after a loss of the state service's data.
	Number   uint64  `json:"number"`
	ChangeID string  `json:"change"`   // drawn name, by which whoever wrote the change knows it again
	CPUs     float64 `json:"cpus"`     // guaranteed
	CPUsMax  float64 `json:"cpus_max"` // limit; 0: none
	GPUs     float64 `json:"gpus"`     // guaranteed
	GPUsMax  float64 `json:"gpus_max"` // limit; 0: none
	// Removed says that the team takes no new jobs. The accepted ones run to their end within these limits.
	Removed    bool `json:"removed,omitempty"`
	StopExcess bool `json:"stop_excess,omitempty"`
}

// Limits are what a team is guaranteed and what it may use at most, which is infinity without a limit.
type Limits struct {
	CPUs, CPUsMax, GPUs, GPUsMax float64
}

// Change is a team's entry and the version of its key, 0 if the state service does not have it.
type Change struct {
	Team    string `json:"team"`
	Entry   Entry  `json:"entry"`
	Version uint64 `json:"version,omitempty"`
}

const (
	maxNameBytes = 100  // bytes of a team's name, which is part of its key
	maxAmount    = 1e9  // CPUs or GPUs
	minLimit     = 0.01 // below it a limit is a mistake: none at all is 0
)

// ValidTeam says whether a team can have an entry: letters, digits, points, dashes and underscores.
func ValidTeam(name string) bool {
	plain := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("._-", r)
	}
	return name != "" && len(name) <= maxNameBytes && strings.IndexFunc(name, func(r rune) bool { return !plain(r) }) < 0
}

// Check names the first field that is out of range.
func (e *Entry) Check() error {
	if e.Number == 0 || e.ChangeID == "" {
		return &protocol.FieldError{Field: "number", Reason: "missing"}
	}
	for _, x := range []struct {
		field string
		value float64
		least float64
	}{{"cpus", e.CPUs, 0}, {"cpus_max", e.CPUsMax, minLimit}, {"gpus", e.GPUs, 0}, {"gpus_max", e.GPUsMax, minLimit}} {
		if math.IsNaN(x.value) || x.value < 0 || x.value > maxAmount || x.value > 0 && x.value < x.least {
			reason := fmt.Sprintf("%g is not 0 or between %g and %g", x.value, max(x.least, 0), float64(maxAmount))
			return &protocol.FieldError{Field: x.field, Reason: reason}
		}
	}
	return nil
}

// Limits are those that the entry sets.
func (e *Entry) Limits() Limits {
	l := Limits{e.CPUs, e.CPUsMax, e.GPUs, e.GPUsMax}
	for _, limit := range []*float64{&l.CPUsMax, &l.GPUsMax} {
		if *limit == 0 {
			*limit = math.Inf(1)
		}
	}
	return l
}

// EntryFromSettings is an entry, without number and name, that sets what the settings file says of a team.
func EntryFromSettings(t settings.Team) Entry {
	e := Entry{CPUs: t.CPUs, CPUsMax: t.CPUsMax, GPUs: t.GPUs, GPUsMax: t.GPUsMax}
	for _, limit := range []*float64{&e.CPUsMax, &e.GPUsMax} {
		if math.IsInf(*limit, 1) {
			*limit = 0
		}
	}
	return e
}

func limitsOf(t settings.Team) Limits { return Limits{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} }

// minLimits is the least of both in each amount.
func minLimits(a, b Limits) Limits {
	return Limits{min(a.CPUs, b.CPUs), min(a.CPUsMax, b.CPUsMax), min(a.GPUs, b.GPUs), min(a.GPUsMax, b.GPUsMax)}
}

func (l Limits) team(name string) settings.Team {
	return settings.Team{Name: name, CPUs: l.CPUs, CPUsMax: l.CPUsMax, GPUs: l.GPUs, GPUsMax: l.GPUsMax}
}

// BaseDigest names the teams of a settings file, in any order: controllers with different files are distinguished.
func BaseDigest(teams []settings.Team) uint64 {
	lines := make([]string, len(teams))
	for i, t := range teams {
		lines[i] = fmt.Sprintf("%q %g %g %g %g", t.Name, t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax)
	}
	slices.Sort(lines)
	return xxhash.Sum64String(strings.Join(lines, "\n"))
}
