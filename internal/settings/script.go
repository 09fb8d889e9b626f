package settings

import (
	"fmt"
	"os"
	"slices"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Options are the operator's own choices, set by a Starlark script: each is a global variable of the script with the
// option's name, see optionTable and weightTable.
type Options struct {
	SampleSize        int     // machines looked at for one placement
	IdleReturnSeconds float64 // for which an idle machine is kept
	WarmMachines      int     // machines kept even when idle
	SpotShare         float64 // largest share of spot machines when scaling out
	SafetyRunTimes    float64 // estimated run times in hand before a job is due, when scaling out

	ControllerLeaseSeconds float64 // of a controller's lease in the key-value store
	BitmapIntervalSeconds  float64 // between writes of finished tasks

	ClassFloor        float64            // part of its share that a class of a team is not kept under for long
	FloorAfterSeconds float64            // under that part before a floor is kept
	TeamWeights       map[string]float64 // of teams, where it is short; 1 if not given
	ClassWeights      map[string]float64 // of classes, where it is short; 1 if not given

	// ConfigMaxAgeSeconds is after which time what is known of the teams' configuration is too old to rely on; 0 if the
	// configuration does not change.
	ConfigMaxAgeSeconds float64

	// CopyWaitSeconds is for how long after a loss of the store's data the jobs that no controller remembers may come
	// back with a copy; 0 until operators say that nothing more comes.
	CopyWaitSeconds float64
}

// DefaultOptions are the options without a script.
func DefaultOptions() *Options {
	return &Options{
		SampleSize:             32,
		IdleReturnSeconds:      10,
		WarmMachines:           1,
		SpotShare:              1,
		SafetyRunTimes:         2,
		ControllerLeaseSeconds: 5,
		BitmapIntervalSeconds:  1,
		ClassFloor:             0.5,
		FloorAfterSeconds:      90,
	}
}

// option is an option that is a number, with its bounds.
type option struct {
	name   string
	lo, hi float64
	whole  bool
	set    func(*Options, float64)
}

// optionTable has the options that are numbers.
var optionTable = []option{
	{"sample_size", 1, 10000, true, func(o *Options, v float64) { o.SampleSize = int(v) }},
	{"idle_return_s", 0, 86400, false, func(o *Options, v float64) { o.IdleReturnSeconds = v }},
	{"warm_machines", 0, 10000, true, func(o *Options, v float64) { o.WarmMachines = int(v) }},
	{"spot_share", 0, 1, false, func(o *Options, v float64) { o.SpotShare = v }},
	{"haste", 0, 10, false, func(o *Options, v float64) { o.SafetyRunTimes = v }},
	{"node_lease_s", 2, 60, false, func(o *Options, v float64) { o.ControllerLeaseSeconds = v }},
	{"class_floor", 0, 1, false, func(o *Options, v float64) { o.ClassFloor = v }},
	{"floor_after_s", 0, 86400, false, func(o *Options, v float64) { o.FloorAfterSeconds = v }},
	{"config_bound_s", 0, 600, false, func(o *Options, v float64) { o.ConfigMaxAgeSeconds = v }},
	{"copy_wait_s", 0, 86400, false, func(o *Options, v float64) { o.CopyWaitSeconds = v }},
	{"bitmap_every_s", 0.1, 60, false, func(o *Options, v float64) { o.BitmapIntervalSeconds = v }},
}

// LoadScript runs the operator's script; no path means the defaults.
func LoadScript(path string) (*Options, error) {
	if path == "" {
		return DefaultOptions(), nil
	}
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	return ParseScript(path, src)
}

// Bounds of a script.
const (
	maxScriptBytes = 64 << 10
	maxScriptSteps = 1_000_000
	maxScriptTime  = 5 * time.Second
)

// ParseScript runs a script, bounded in size, steps and time. It can load nothing and reach nothing outside itself.
// The error names the line or the option.
func ParseScript(name string, src []byte) (*Options, error) {
	globals, err := runScript(name, src)
	if err != nil {
		return nil, err
	}
	o := DefaultOptions()
	for name, value := range globals {
		if err := o.set(name, value); err != nil {
			return nil, err
		}
	}
	return o, nil
}

// runScript gives the script's global variables.
func runScript(name string, src []byte) (starlark.StringDict, error) {
	if len(src) > maxScriptBytes {
		return nil, fmt.Errorf("script: %s: longer than 64 KiB", name)
	}
	thread := &starlark.Thread{Name: "script"}
	thread.SetMaxExecutionSteps(maxScriptSteps)
	timer := time.AfterFunc(maxScriptTime, func() { thread.Cancel("took too long") })
	defer timer.Stop()
	dialect := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}
	globals, err := starlark.ExecFileOptions(dialect, thread, name, src, nil)
	if e, ok := err.(*starlark.EvalError); ok && len(e.CallStack) > 0 {
		return nil, fmt.Errorf("script: %s: %s", e.CallStack.At(0).Pos, e.Msg)
	}
	if err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	return globals, nil
}

// set takes an option from a global variable. Functions and names that begin with _ are the script's helpers.
func (o *Options) set(name string, value starlark.Value) error {
	if set, ok := weightTable[name]; ok {
		weights, err := readWeights(name, value)
		if err != nil {
			return err
		}
		set(o, weights)
		return nil
	}
	at := slices.IndexFunc(optionTable, func(opt option) bool { return opt.name == name })
	if at < 0 {
		if _, callable := value.(starlark.Callable); callable || name[0] == '_' {
			return nil
		}
		return fmt.Errorf("script: %s: no such option (helpers start with _)", name)
	}
	opt := optionTable[at]
	v, isNumber := starlark.AsFloat(value)
	_, isInt := value.(starlark.Int)
	if !isNumber || (opt.whole && !isInt) || !(v >= opt.lo && v <= opt.hi) {
		return fmt.Errorf("script: %s: %s is not between %g and %g", name, value, opt.lo, opt.hi)
	}
	opt.set(o, v)
	return nil
}

// weightTable has the options that are dictionaries of names and weights.
var weightTable = map[string]func(*Options, map[string]float64){
	"team_weights":  func(o *Options, w map[string]float64) { o.TeamWeights = w },
	"class_weights": func(o *Options, w map[string]float64) { o.ClassWeights = w },
}

// readWeights reads a dictionary of weights between 0.01 and 100.
func readWeights(name string, value starlark.Value) (map[string]float64, error) {
	dict, ok := value.(*starlark.Dict)
	if !ok {
		return nil, fmt.Errorf("script: %s: a dictionary of names and weights is expected", name)
	}
	out := map[string]float64{}
	for _, item := range dict.Items() {
		key, ok := starlark.AsString(item[0])
		if !ok {
			return nil, fmt.Errorf("script: %s: %s is no name", name, item[0])
		}
		v, ok := starlark.AsFloat(item[1])
		if !ok || !(v >= 0.01 && v <= 100) {
			return nil, fmt.Errorf("script: %s: %s of %q is not between 0.01 and 100", name, item[1], key)
		}
		out[key] = v
	}
	return out, nil
}
