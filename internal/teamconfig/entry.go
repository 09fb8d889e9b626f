// Package teamconfig tracks the teams' configuration, which can change while the controllers run, and decides which
// limits a controller enforces. Callers pass in what they read from the state service and receive from other
// controllers. The package does no I/O, reads no clock and never writes an entry. Its types are not safe for concurrent
// use; the controller serializes access to them. docs/configuration.md gives the reasons for the design.
//
// The configuration consists of a base, which is the settings file, and one Entry for each team that was ever changed.
// Each change writes the whole entry, conditional on the version of its key. Entries are never deleted.
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

// Entry is a team's configuration as stored in the state service.
type Entry struct {
	// Number counts the team's changes from 1. The count continues after a loss of the store's data.
	Number   uint64  `json:"number"`
	ChangeID string  `json:"change"`   // random ID, by which the writer recognizes its change
	CPUs     float64 `json:"cpus"`     // guaranteed
	CPUsMax  float64 `json:"cpus_max"` // limit; 0: none
	GPUs     float64 `json:"gpus"`     // guaranteed
	GPUsMax  float64 `json:"gpus_max"` // limit; 0: none
	// Removed means that the team accepts no new jobs. Those already accepted run to completion within these limits.
	Removed    bool `json:"removed,omitempty"`
	StopExcess bool `json:"stop_excess,omitempty"` // running tasks beyond lowered limits are to be stopped
}

// Limits are a team's guarantees and limits. A limit is infinite if there is none.
type Limits struct {
	CPUs, CPUsMax, GPUs, GPUsMax float64
}

// Change is a team's entry with the version of its key, which is 0 if the state service does not have the entry.
type Change struct {
	Team    string `json:"team"`
	Entry   Entry  `json:"entry"`
	Version uint64 `json:"version,omitempty"`
}

const (
	maxNameBytes = 100  // of a team's name, which is part of its key
	maxAmount    = 1e9  // CPUs or GPUs
	minLimit     = 0.01 // a smaller limit other than 0, which means none, is taken for a mistake
)

// ValidTeam reports whether a team of this name can have an entry: 1 to 100 letters, digits, dots, hyphens and
// underscores.
func ValidTeam(name string) bool {
	plain := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("._-", r)
	}
	return name != "" && len(name) <= maxNameBytes && strings.IndexFunc(name, func(r rune) bool { return !plain(r) }) < 0
}

// Check returns a *protocol.FieldError for the first field that is missing or out of range, or nil.
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

// Limits returns the limits that the entry sets.
func (e *Entry) Limits() Limits {
	l := Limits{e.CPUs, e.CPUsMax, e.GPUs, e.GPUsMax}
	for _, limit := range []*float64{&l.CPUsMax, &l.GPUsMax} {
		if *limit == 0 {
			*limit = math.Inf(1)
		}
	}
	return l
}

// EntryFromSettings returns an entry with the settings file's amounts of a team, without Number and ChangeID.
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

// minLimits returns the smaller of both values for each amount.
func minLimits(a, b Limits) Limits {
	return Limits{min(a.CPUs, b.CPUs), min(a.CPUsMax, b.CPUsMax), min(a.GPUs, b.GPUs), min(a.GPUsMax, b.GPUsMax)}
}

func (l Limits) team(name string) settings.Team {
	return settings.Team{Name: name, CPUs: l.CPUs, CPUsMax: l.CPUsMax, GPUs: l.GPUs, GPUsMax: l.GPUsMax}
}

// BaseDigest returns a digest of the teams of a settings file, regardless of their order. It detects controllers with
// different settings files.
func BaseDigest(teams []settings.Team) uint64 {
	lines := make([]string, len(teams))
	for i, t := range teams {
		lines[i] = fmt.Sprintf("%q %g %g %g %g", t.Name, t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax)
	}
	slices.Sort(lines)
	return xxhash.Sum64String(strings.Join(lines, "\n"))
}
