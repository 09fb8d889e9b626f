// Package admission decides who gets how much when CPUs are short: the fair shares of teams and their classes of jobs,
// the floors that a numbered plan has all controllers keep, which submissions are admitted when the state service is
// busy, and how many jobs were served in time. It does no I/O and reads no clock, and never places or stops a task. Its
// types are not safe for concurrent use; the controller guards them.
package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Key is one class of jobs of one team.
type Key struct {
	Team  string `json:"team"`
	Class string `json:"class"`
}

// Compare orders keys.
func (k Key) Compare(o Key) int {
	return cmp.Or(strings.Compare(k.Team, o.Team), strings.Compare(k.Class, o.Class))
}

// Demand is what a key uses and asks for, in CPUs.
type Demand struct {
	Key
	Used       float64 // on machines
	Waiting    float64 // could start now, within the team's quota
	TaskCPUs   float64 // of its largest task that waits
	TaskMemory float64 // of the same, GB
	Rate       float64 // that would keep up with what comes and what waits
	Rank       int     // of its priority; higher is more urgent
}

func (n *Demand) total() float64 { return n.Used + n.Waiting }

// Weights are the operators' choices. What is not named has the weight 1.
type Weights struct {
	Team       map[string]float64
	Class      map[string]float64
	FloorShare float64       // part of what comes that each class and team is served at least; 0: no floors
	FloorAfter time.Duration // for how long one is under its floor before the plan says so
}

func weight(m map[string]float64, name string) float64 {
	if w, ok := m[name]; ok {
		return w
	}
	return 1
}

// maxMinShares divides an amount among wants by weight: nobody gets more than it wants, and what somebody leaves goes
// to those who want more (weighted max-min fairness).
func maxMinShares(amount float64, wants, weights []float64) []float64 {
	got := make([]float64, len(wants))
	open := make([]int, 0, len(wants))
	for i, w := range wants {
		if w > 0 && weights[i] > 0 {
			open = append(open, i)
		}
	}
	// By what each wants of its weight: whoever wants least is content first.
	slices.SortFunc(open, func(a, b int) int {
		return cmp.Or(cmp.Compare(wants[a]/weights[a], wants[b]/weights[b]), a-b)
	})
	total := 0.0
	for _, i := range open {
		total += weights[i]
	}
	for _, i := range open {
		share := max(0, amount) * weights[i] / total
		got[i] = min(wants[i], share)
		amount -= got[i]
		total -= weights[i]
	}
	return got
}

// Quota is what a team is guaranteed and may use at most, in CPUs.
type Quota struct {
	Guaranteed float64
	Limit      float64 // 0: none
}

// FairShares divides CPUs among the keys: first each team gets what it asks for within its guaranteed quota, then the
// rest goes by weight, and within a team by weight among its classes.
func FairShares(cpus float64, needs []Demand, teams map[string]Quota, w *Weights) map[Key]float64 {
	byTeam := needsByTeam(needs)
	names := slices.Sorted(maps.Keys(byTeam))
	ofTeams := teamShares(cpus, names, byTeam, teams, w)
	shares := map[Key]float64{}
	for i, name := range names {
		list := byTeam[name]
		wants, weights := make([]float64, len(list)), make([]float64, len(list))
		for j := range list {
			wants[j], weights[j] = list[j].total(), weight(w.Class, list[j].Class)
		}
		for j, share := range maxMinShares(ofTeams[i], wants, weights) {
			shares[list[j].Key] = share
		}
	}
	return shares
}

// needsByTeam sorts the needs by team, those that are not empty.
func needsByTeam(needs []Demand) map[string][]Demand {
	byTeam := map[string][]Demand{}
	for _, n := range needs {
		if n.total() > 0 {
			byTeam[n.Team] = append(byTeam[n.Team], n)
		}
	}
	return byTeam
}

// teamShares divides CPUs among teams: what they ask for within their guaranteed quotas first, the rest by weight.
func teamShares(cpus float64, names []string, byTeam map[string][]Demand, teams map[string]Quota, w *Weights) []float64 {
	within, beyond := make([]float64, len(names)), make([]float64, len(names))
	guaranteed, weights := make([]float64, len(names)), make([]float64, len(names))
	for i, name := range names {
		quota, asked := teams[name], 0.0
		for _, n := range byTeam[name] {
			asked += n.total()
		}
		if quota.Limit > 0 {
			asked = min(asked, quota.Limit)
		}
		within[i] = min(asked, quota.Guaranteed)
		beyond[i] = asked - within[i]
		// Guaranteed quotas that there is not enough for are cut by what each team is guaranteed.
		guaranteed[i] = max(quota.Guaranteed, 1e-9)
		weights[i] = weight(w.Team, name)
	}
	shares := maxMinShares(cpus, within, guaranteed)
	left := cpus
	for _, share := range shares {
		left -= share
	}
	for i, share := range maxMinShares(left, beyond, weights) {
		shares[i] += share
	}
	return shares
}

// JainIndex is Jain's fairness index of what was got of what was due: 1 if all got the same part
// of it, 1/n if one of n got everything (Jain, Chiu and Hawe, 1984).
func JainIndex(parts []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, x := range parts {
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(parts)) * squares)
}

// MinShare is the smallest of some parts; 1 if there are none.
func MinShare(parts []float64) float64 {
	least := 1.0
	for _, x := range parts {
		least = math.Min(least, x)
	}
	return least
}
