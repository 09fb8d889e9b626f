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

// Need is what a key uses and asks for, in CPUs.
type Need struct {
	Key
	Used       float64 // on machines
	Waiting    float64 // could start now, within the team's quota
	TaskCPUs   float64 // of its largest task that waits
	TaskMemory float64 // of the same, GB
	Rate       float64 // that would keep up with what comes and what waits
	Rank       int     // of its priority; higher is more urgent
}

func (n *Need) total() float64 { return n.Used + n.Waiting }

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
func FairShares(cpus float64, needs []Need, teams map[string]Quota, w *Weights) map[Key]float64 {
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
func needsByTeam(needs []Need) map[string][]Need {
	byTeam := map[string][]Need{}
	for _, n := range needs {
		if n.total() > 0 {
			byTeam[n.Team] = append(byTeam[n.Team], n)
		}
	}
	return byTeam
}

// teamShares divides CPUs among teams: what they ask for within their guaranteed quotas first, the rest by weight.
func teamShares(cpus float64, names []string, byTeam map[string][]Need, teams map[string]Quota, w *Weights) []float64 {
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

// leastFloorShare is the part of its fair share that a class or team keeps as a floor if its floor cannot be served: it
// goes on, without taking much from those whose floors can be.
const leastFloorShare = 0.1

// Group is what has a floor: a class of all teams, a team with all its classes, or a class of one team at its limit.
type Group struct {
	Key                // of a class without a team, of a team without a class, or both
	Used       float64 // CPUs
	Floor      float64 // that it is not to be kept under
	HasWaiting bool
}

// withinLimit says whether the group is a class of one team, which has a floor within that team's limit.
func (g *Group) withinLimit() bool { return g.Team != "" && g.Class != "" }

// Floors gives what each class and each team is not to be kept under: enough to serve the floor's part of what comes,
// for as many as that is possible for, those first that need least for it. One for which it is not possible, as one
// that floods, keeps leastFloorShare of its fair share. Of a team that asks for more than its limit, where that is less
// than all machines, each class has such a floor within the limit, and one that asks for little a higher one.
func Floors(cpus float64, needs []Need, teams map[string]Quota, w *Weights) []Group {
	due := FairShares(cpus, needs, teams, w)
	groups := groupFloors(cpus, needs, due, teams, w, func(k Key) Key { return Key{Class: k.Class} })
	groups = append(groups, groupFloors(cpus, needs, due, teams, w, func(k Key) Key { return Key{Team: k.Team} })...)
	for _, of := range teamsAtLimit(cpus, needs, teams) {
		most := teams[of[0].Team].Limit
		within := groupFloors(most, of, due, teams, w, func(k Key) Key { return k })
		raiseSmallFloors(within, most, w)
		groups = append(groups, within...)
	}
	return groups
}

// raiseSmallFloors raises the floors of classes that ask for less than an equal part of their team's limit: of what
// waits for its floor, users cancel some, and part of what came is gone before the floor holds.
func raiseSmallFloors(within []Group, most float64, w *Weights) {
	if w.FloorShare <= 0 {
		return
	}
	raise := (1 + w.FloorShare) / 2 / w.FloorShare
	left := most
	for i := range within {
		left -= within[i].Floor
	}
	for i := range within {
		g := &within[i]
		if extra := g.Floor * (raise - 1); g.Floor/w.FloorShare < most/float64(len(within)) && extra <= left {
			g.Floor += extra
			left -= extra
		}
	}
}

// teamsAtLimit gives the needs of each team that asks for more than its limit. Limits of more than so many CPUs of
// machines hold nothing back.
func teamsAtLimit(cpus float64, needs []Need, teams map[string]Quota) [][]Need {
	byTeam, asked := map[string][]Need{}, map[string]float64{}
	for _, n := range needs {
		byTeam[n.Team] = append(byTeam[n.Team], n)
		asked[n.Team] += n.total()
	}
	var over [][]Need
	for _, team := range slices.Sorted(maps.Keys(byTeam)) {
		if most := teams[team].Limit; most > 0 && most < cpus && asked[team] > most {
			over = append(over, byTeam[team])
		}
	}
	return over
}

// groupFloors divides so many CPUs into floors for the groups that needs belong to.
func groupFloors(cpus float64, needs []Need, due map[Key]float64, teams map[string]Quota, w *Weights, groupOf func(Key) Key) []Group {
	sums := map[Key]*Need{}
	share := map[Key]float64{}
	var keys []Key
	for _, n := range needs {
		g := groupOf(n.Key)
		if sums[g] == nil {
			sums[g] = &Need{Key: g}
			keys = append(keys, g)
		}
		x := sums[g]
		x.Used, x.Waiting, x.Rate = x.Used+n.Used, x.Waiting+n.Waiting, x.Rate+min(n.Rate, n.total())
		share[g] += due[n.Key]
	}
	want := func(g Key) float64 {
		x := sums[g]
		most := math.Inf(1)
		if t := teams[g.Team]; g.Team != "" && t.Limit > 0 {
			most = t.Limit
		}
		return w.FloorShare * min(x.Rate, x.total(), most)
	}
	weighed := func(g Key) float64 { return want(g) / weight(w.Team, g.Team) / weight(w.Class, g.Class) }
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Or(cmp.Compare(weighed(a), weighed(b)), a.Compare(b)) })
	left := cpus
	var groups []Group
	for _, g := range keys {
		floor := want(g)
		if floor > left {
			floor = min(floor, leastFloorShare*share[g], max(left, 0))
		}
		left -= floor
		groups = append(groups, Group{g, sums[g].Used, floor, sums[g].Waiting > 0})
	}
	return groups
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

// Smallest is the smallest of some parts; 1 if there are none.
func Smallest(parts []float64) float64 {
	least := 1.0
	for _, x := range parts {
		least = math.Min(least, x)
	}
	return least
}
