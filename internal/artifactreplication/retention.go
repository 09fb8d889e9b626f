package artifactreplication

import (
	"fmt"
	"os"
	"sync"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"topazhollow/internal/artifactstore"
)

// Retention decides how long attempts are kept after their end: a fixed number of days, or the result of an
// operator's Starlark script. The script defines
//
//	def keep_days(cls, team, completed, partial, mb):
//
// and returns a number of days; 0 is for ever. It can't load modules or access anything outside itself, and the steps
// of each call are limited.
type Retention struct {
	Days     float64 // used without a script and when the script fails; 0: for ever
	mu       sync.Mutex
	keepDays starlark.Callable
}

const (
	maxScriptBytes = 64 << 10
	maxScriptSteps = 100_000
	maxKeepDays    = 36500
)

// LoadRetention loads a script and calls it once for each kind of attempt to validate it. Without a path, days
// applies to all attempts.
func LoadRetention(path string, days float64) (*Retention, error) {
	r := &Retention{Days: days}
	if path == "" {
		return r, nil
	}
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if len(src) > maxScriptBytes {
		return nil, fmt.Errorf("%s: larger than %d bytes", path, maxScriptBytes)
	}
	thread := &starlark.Thread{Name: path}
	thread.SetMaxExecutionSteps(maxScriptSteps)
	globals, err := starlark.ExecFileOptions(&syntax.FileOptions{}, thread, path, src, nil)
	if err != nil {
		return nil, err
	}
	globals.Freeze()
	keepDays, ok := globals["keep_days"].(starlark.Callable)
	if !ok {
		return nil, fmt.Errorf("%s: a function keep_days(cls, team, completed, partial, mb) is expected", path)
	}
	r.keepDays = keepDays
	for _, m := range []*artifactstore.Manifest{{}, {Exit: artifactstore.Exit{Completed: true}}, {Partial: true}} {
		if _, err := r.days(m); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// days returns how long to keep an attempt.
func (r *Retention) days(m *artifactstore.Manifest) (float64, error) {
	if r.keepDays == nil {
		return r.Days, nil
	}
	var size int64
	for _, s := range m.Streams {
		size += s.Bytes
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	thread := &starlark.Thread{Name: "keep_days"}
	thread.SetMaxExecutionSteps(maxScriptSteps)
	v, err := starlark.Call(thread, r.keepDays, starlark.Tuple{starlark.String(m.Class), starlark.String(m.Tenant), starlark.Bool(m.Exit.Completed),
		starlark.Bool(m.Partial), starlark.Float(float64(size) / 1e6)}, nil)
	if err != nil {
		return r.Days, fmt.Errorf("keep_days: %w", err)
	}
	days, ok := starlark.AsFloat(v)
	if !ok || !(days >= 0 && days <= maxKeepDays) {
		return r.Days, fmt.Errorf("keep_days: %s is not between 0 and %d", v, maxKeepDays)
	}
	return days, nil
}

// IsExpired returns a function that reports whether an ended attempt need not be kept any more. Days applies if the
// script fails.
func (r *Retention) IsExpired(now time.Time) func(*artifactstore.Manifest) bool {
	return func(m *artifactstore.Manifest) bool {
		if r == nil {
			return false
		}
		days, err := r.days(m)
		if err != nil {
			days = r.Days
		}
		return days > 0 && now.Sub(m.Sealed) > time.Duration(days*24*float64(time.Hour))
	}
}
