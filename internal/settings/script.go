package settings

import (
	"fmt"
	"os"
	"slices"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Options are the operator's options. A Starlark script sets each by a global variable with the option's name; see
// optionTable and weightTable.
type Options struct {
	SampleSize        int     // machines examined for one placement
	IdleReturnSeconds float64 // how long an idle machine is kept
	WarmMachines      int     // number of machines kept even when idle
	SpotShare         float64 // 0 excludes spot machines when scaling out; any other value allows them
	SafetyRunTimes    float64 // safety margin before a job is due when scaling out, in estimated run times

	ControllerLeaseSeconds float64 // duration of a controller's lease in the state service
	BitmapIntervalSeconds  float64 // between writes of the bitmaps of finished tasks

	ClassFloor        float64            // fraction of its arrivals that each class and team is guaranteed; 0: none
	FloorAfterSeconds float64            // how long a class or team must be below its floor before the floor is enforced
	TeamWeights       map[string]float64 // weights of teams while CPUs are short; 1 if absent
	ClassWeights      map[string]float64 // weights of classes while CPUs are short; 1 if absent

	// ConfigMaxAgeSeconds is the age after which the known configuration of the teams is stale; 0 if the configuration
	// never changes.
	ConfigMaxAgeSeconds float64

	// CopyWaitSeconds is how long after a loss of the store's data a restored copy may bring back jobs that no
	// controller has in memory; with 0 the controllers wait until an operator declares that no copy will be restored.
	CopyWaitSeconds float64
}

// DefaultOptions returns the options that apply without a script.
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

// option describes a numeric option.
type option struct {
	name     string
	min, max float64
	integer  bool
	set      func(*Options, float64)
}

// optionTable holds the numeric options.
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

// LoadScript runs the operator's script and returns its options. Without a path it returns the defaults.
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

// Limits on a script.
const (
	maxScriptBytes = 64 << 10
	maxScriptSteps = 1_000_000
	maxScriptTime  = 5 * time.Second
)

// ParseScript runs a script with limits on its size, steps and time, and returns its options. The script cannot load
// modules or access anything outside itself. The error names the line or the option.
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

// runScript runs a script and returns its global variables.
func runScript(name string, src []byte) (starlark.StringDict, error) {
	if len(src) > maxScriptBytes {
		return nil, fmt.Errorf("script: %s: longer than 64 KiB", name)
	}
	thread := &starlark.Thread{Name: "script"}
	thread.SetMaxExecutionSteps(maxScriptSteps)
	timer := time.AfterFunc(maxScriptTime, func() { thread.Cancel("time limit exceeded") })
	defer timer.Stop()
	fileOptions := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}
	globals, err := starlark.ExecFileOptions(fileOptions, thread, name, src, nil)
	if e, ok := err.(*starlark.EvalError); ok && len(e.CallStack) > 0 {
		return nil, fmt.Errorf("script: %s: %s", e.CallStack.At(0).Pos, e.Msg)
	}
	if err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	return globals, nil
}

// set sets an option from a global variable. Functions and names that start with _ are helpers of the script and are
// ignored.
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
	if !isNumber || (opt.integer && !isInt) || !(v >= opt.min && v <= opt.max) {
		return fmt.Errorf("script: %s: %s is not between %g and %g", name, value, opt.min, opt.max)
	}
	opt.set(o, v)
	return nil
}

// weightTable holds the options that are dictionaries of weights by name.
var weightTable = map[string]func(*Options, map[string]float64){
	"team_weights":  func(o *Options, w map[string]float64) { o.TeamWeights = w },
	"class_weights": func(o *Options, w map[string]float64) { o.ClassWeights = w },
}

// readWeights converts a dictionary of weights, which must be between 0.01 and 100.
func readWeights(name string, value starlark.Value) (map[string]float64, error) {
	dict, ok := value.(*starlark.Dict)
	if !ok {
		return nil, fmt.Errorf("script: %s: must be a dictionary of weights by name", name)
	}
	out := map[string]float64{}
	for _, item := range dict.Items() {
		key, ok := starlark.AsString(item[0])
		if !ok {
			return nil, fmt.Errorf("script: %s: key %s is not a string", name, item[0])
		}
		v, ok := starlark.AsFloat(item[1])
		if !ok || !(v >= 0.01 && v <= 100) {
			return nil, fmt.Errorf("script: %s: weight %s of %q is not between 0.01 and 100", name, item[1], key)
		}
		out[key] = v
	}
	return out, nil
}
