// Package estimate corrects the owners' estimates of how long tasks run by what
// completed tasks took: of the same job once some of it is done, else of its class.
// It does no I/O and reads no clock.
package estimate

import (
	"math"
	"slices"
)

const (
	// enough is how many completed tasks of a job speak for the rest of it.
	enough = 3
	// kept is how many jobs of a class are remembered, and perJob how many tasks of a
	// job, the latest ones: what happened long ago says little.
	kept, perJob = 31, 15
	// doubt is how many jobs the owners' own word weighs in a class's correction.
	doubt = 5
	// most bounds a class's correction, either way.
	most = 3.0
)

// Book remembers what tasks took.
type Book struct {
	classes map[string]*class
	jobs    map[string]*job
}

type class struct {
	ratios []float64 // log of what a job's tasks took to what was estimated; the latest last
	shift  float64   // log of the correction
}

type job struct {
	runs   []float64 // seconds, the latest last
	median float64
	told   bool // its class knows
}

// New is an empty book.
func New() *Book { return &Book{classes: map[string]*class{}, jobs: map[string]*job{}} }

func median(xs []float64) float64 {
	s := slices.Sorted(slices.Values(xs))
	return (s[(len(s)-1)/2] + s[len(s)/2]) / 2
}

// Ran books that a task ran from its start to its completion in so many seconds.
// Tasks that were stopped, failed or went on from a checkpoint do not count. A job
// counts once for its class, by its median, however many tasks it has.
func (b *Book) Ran(uid, className string, estimate, seconds float64) {
	if seconds <= 0 || math.IsNaN(seconds) {
		return
	}
	j := b.jobs[uid]
	if j == nil {
		j = &job{}
		b.jobs[uid] = j
	}
	j.runs = append(j.runs, seconds)
	j.runs = j.runs[max(0, len(j.runs)-perJob):]
	j.median = median(j.runs)
	if len(j.runs) < enough || j.told || estimate <= 0 {
		return
	}
	j.told = true
	c := b.classes[className]
	if c == nil {
		c = &class{}
		b.classes[className] = c
	}
	c.ratios = append(c.ratios, math.Log(j.median/estimate))
	c.ratios = c.ratios[max(0, len(c.ratios)-kept):]
	n := float64(len(c.ratios))
	c.shift = max(-math.Log(most), min(math.Log(most), median(c.ratios)*n/(n+doubt)))
}

// Run is how many seconds a task of a job probably takes, given the owner's
// estimate; 0 stays 0, as of services.
func (b *Book) Run(uid, className string, estimate float64) float64 {
	if estimate <= 0 {
		return estimate
	}
	if j := b.jobs[uid]; j != nil && len(j.runs) >= enough {
		return j.median
	}
	if c := b.classes[className]; c != nil {
		return estimate * math.Exp(c.shift)
	}
	return estimate
}

// Forget drops what is known of a job that is over; its class remembers.
func (b *Book) Forget(uid string) { delete(b.jobs, uid) }
