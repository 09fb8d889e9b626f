// Package admission decides how CPUs are shared while they are short. It computes the fair shares of teams and their
// classes of jobs, plans the floors that all controllers enforce, decides which submissions are admitted while the
// state service is busy, and counts how many jobs were served in time.
//
// The package does no I/O, reads no clock, and never places or stops a task. Its types are not safe for concurrent use;
// the controller serializes access to them.
package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Key identifies one class of jobs of one team, the unit that CPUs are shared among.
type Key struct {
	Team  string `json:"team"`
	Class string `json:"class"`
}

// Compare orders keys by team, then by class.
func (k Key) Compare(o Key) int {
	return cmp.Or(strings.Compare(k.Team, o.Team), strings.Compare(k.Class, o.Class))
}

// Demand is what a key uses and asks for. Amounts are in CPUs unless stated otherwise.
type Demand struct {
	Key
	Used       float64 // by tasks on machines
	Waiting    float64 // of waiting tasks that could start within the team's quota
	TaskCPUs   float64 // largest number of CPUs of a waiting task
	TaskMemory float64 // largest memory of a waiting task, in GB
	Rate       float64 // needed to keep up with arrivals and the backlog
	Rank       int     // of its priority; higher is more urgent

	FirstTaskRate float64 // needed to keep up with the first tasks of the jobs that arrive
}

// total returns the CPUs that the key uses and asks for.
func (d *Demand) total() float64 { return d.Used + d.Waiting }

// Weights are the operator's options for sharing. A team or class without an entry has weight 1.
type Weights struct {
	Team       map[string]float64
	Class      map[string]float64
	FloorShare float64       // fraction of its arrivals that each class and team is guaranteed; 0: no floors
	FloorAfter time.Duration // how long a group must be below its floor before a plan includes it
}

// weight returns the weight of a team or class, 1 if it has no entry.
func weight(m map[string]float64, name string) float64 {
	if w, ok := m[name]; ok {
		return w
	}
	return 1
}

// maxMinShares divides an amount among wants by weighted max-min fairness: no share exceeds its want, and what one
// leaves unused is divided among those that want more.
func maxMinShares(amount float64, wants, weights []float64) []float64 {
	got := make([]float64, len(wants))
	open := make([]int, 0, len(wants))
	for i, w := range wants {
		if w > 0 && weights[i] > 0 {
			open = append(open, i)
		}
	}
	// In order of want per weight: the smallest are satisfied first and free the rest of their shares.
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

// Quota is a team's guarantee and limit, in CPUs.
type Quota struct {
	Guaranteed float64
	Limit      float64 // 0: none
}

// FairShares divides CPUs among the keys. Each team first gets its demand up to its guarantee, then the rest is divided
// by the teams' weights. Each team's share is divided by weight among its classes.
func FairShares(cpus float64, demands []Demand, teams map[string]Quota, w *Weights) map[Key]float64 {
	byTeam := demandsByTeam(demands)
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

// demandsByTeam groups the demands that are not empty by team.
func demandsByTeam(demands []Demand) map[string][]Demand {
	byTeam := map[string][]Demand{}
	for _, n := range demands {
		if n.total() > 0 {
			byTeam[n.Team] = append(byTeam[n.Team], n)
		}
	}
	return byTeam
}

// teamShares divides CPUs among teams: demand up to their guarantees first, the rest by weight.
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
		// If there are too few CPUs for all guarantees, they are divided in proportion to the guarantees.
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

// JainIndex returns Jain's fairness index of the fractions that each received of its due: 1 if all are equal, 1/n if
// one of n received everything (Jain, Chiu and Hawe, 1984).
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

// MinShare returns the smallest of the fractions, 1 if there are none.
func MinShare(parts []float64) float64 {
	least := 1.0
	for _, x := range parts {
		least = math.Min(least, x)
	}
	return least
}
