// Package admission decides who gets how much of what is short: the shares that are due to
// teams and their classes of jobs, the numbered plan by which all controllers keep them,
// what the door takes of what users hand in, and who was served. It does no I/O and reads
// no clock.
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

// Need is what a key has and wants of the machines, in CPUs.
type Need struct {
	Key
	Held    float64 // on machines
	Waiting float64 // could start now, within the team's quota
	Each    float64 // of its largest task that waits
	Memory  float64 // of the same, GB
	Rate    float64 // that would keep up with what comes and what waits
	Rank    int     // of its priority; higher is more urgent
}

func (n *Need) all() float64 { return n.Held + n.Waiting }

// Weights are the operators' choices. What is not named has the weight 1.
type Weights struct {
	Team  map[string]float64
	Class map[string]float64
	Floor float64       // part of what comes that each class and team is served at least; 0: no floors
	After time.Duration // for how long one is under its floor before the plan says so
}

func weight(m map[string]float64, name string) float64 {
	if w, ok := m[name]; ok {
		return w
	}
	return 1
}

// maxMin divides an amount among wants by weight: nobody gets more than it wants, and what
// somebody leaves goes to those who want more (weighted max-min fairness).
func maxMin(amount float64, wants, weights []float64) []float64 {
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

// Guarantee is what a team is guaranteed and may use at most, in CPUs.
type Guarantee struct{ CPUs, Most float64 }

// Divide gives what is due to each key of so many CPUs: first each team what it wants within
// its guarantee, then the rest by weight, and within a team by weight among its classes.
func Divide(cpus float64, needs []Need, teams map[string]Guarantee, w *Weights) map[Key]float64 {
	var names []string
	by := map[string][]Need{}
	for _, n := range needs {
		if n.all() <= 0 {
			continue
		}
		if by[n.Team] == nil {
			names = append(names, n.Team)
		}
		by[n.Team] = append(by[n.Team], n)
	}
	slices.Sort(names)
	within, beyond, ones := make([]float64, len(names)), make([]float64, len(names)), make([]float64, len(names))
	for i, name := range names {
		g, all := teams[name], 0.0
		for _, n := range by[name] {
			all += n.all()
		}
		if g.Most > 0 {
			all = min(all, g.Most)
		}
		within[i] = min(all, g.CPUs)
		beyond[i], ones[i] = all-within[i], weight(w.Team, name)
	}
	// A guarantee that there is not enough for is cut by what each is guaranteed.
	guaranteed := make([]float64, len(names))
	for i, name := range names {
		guaranteed[i] = max(teams[name].CPUs, 1e-9)
	}
	first := maxMin(cpus, within, guaranteed)
	left := cpus
	for _, x := range first {
		left -= x
	}
	second := maxMin(left, beyond, ones)
	due := map[Key]float64{}
	for i, name := range names {
		list := by[name]
		wants, weights := make([]float64, len(list)), make([]float64, len(list))
		for j, n := range list {
			wants[j], weights[j] = n.all(), weight(w.Class, n.Class)
		}
		for j, x := range maxMin(first[i]+second[i], wants, weights) {
			due[list[j].Key] = x
		}
	}
	return due
}

// crumb is the part of what is due that is left to a class or team of which not even the
// floor's part can be served: it goes on, without taking much from those who can be.
const crumb = 0.1

// Group is what is to be served: a class of all teams, a team with all its classes, or a class of one team at its limit.
type Group struct {
	Key           // of a class without a team, of a team without a class, or both
	Held  float64 // CPUs
	Floor float64 // that it is not to be kept under
	Waits bool
}

// withinLimit says whether the group is a class of one team, which has a floor within that team's limit.
func (g *Group) withinLimit() bool { return g.Team != "" && g.Class != "" }

// Floors gives what each class and each team is not to be kept under: enough to serve the
// floor's part of what comes, for as many as that is possible for, those first that need
// least for it. One for which it is not possible, as one that floods, is left a crumb. Of a team that asks for more than
// its limit, where that is less than all machines, each class has such a floor within the limit, and one that asks for little
// a higher one.
func Floors(cpus float64, needs []Need, teams map[string]Guarantee, w *Weights) []Group {
	due := Divide(cpus, needs, teams, w)
	groups := groupFloors(cpus, needs, due, teams, w, func(k Key) Key { return Key{Class: k.Class} })
	groups = append(groups, groupFloors(cpus, needs, due, teams, w, func(k Key) Key { return Key{Team: k.Team} })...)
	for _, of := range teamsAtLimit(cpus, needs, teams) {
		most := teams[of[0].Team].Most
		within := groupFloors(most, of, due, teams, w, func(k Key) Key { return k })
		raiseSmallFloors(within, most, w)
		groups = append(groups, within...)
	}
	return groups
}

// raiseSmallFloors raises the floors of classes that ask for less than an equal part of their team's limit: of what waits
// for its floor, users cancel some, and part of what came is gone before the floor holds.
func raiseSmallFloors(within []Group, most float64, w *Weights) {
	if w.Floor <= 0 {
		return
	}
	raise := (1 + w.Floor) / 2 / w.Floor
	left := most
	for i := range within {
		left -= within[i].Floor
	}
	for i := range within {
		g := &within[i]
		if extra := g.Floor * (raise - 1); g.Floor/w.Floor < most/float64(len(within)) && extra <= left {
			g.Floor += extra
			left -= extra
		}
	}
}

// teamsAtLimit gives the needs of each team that asks for more than its limit. Limits of more than so many CPUs of machines hold
// nothing back.
func teamsAtLimit(cpus float64, needs []Need, teams map[string]Guarantee) [][]Need {
	byTeam, asked := map[string][]Need{}, map[string]float64{}
	for _, n := range needs {
		byTeam[n.Team] = append(byTeam[n.Team], n)
		asked[n.Team] += n.all()
	}
	var over [][]Need
	for _, team := range slices.Sorted(maps.Keys(byTeam)) {
		if most := teams[team].Most; most > 0 && most < cpus && asked[team] > most {
			over = append(over, byTeam[team])
		}
	}
	return over
}

// groupFloors divides so many CPUs into floors for the groups that needs belong to.
func groupFloors(cpus float64, needs []Need, due map[Key]float64, teams map[string]Guarantee, w *Weights, of func(Key) Key) []Group {
	sums := map[Key]*Need{}
	share := map[Key]float64{}
	var keys []Key
	for _, n := range needs {
		g := of(n.Key)
		if sums[g] == nil {
			sums[g] = &Need{Key: g}
			keys = append(keys, g)
		}
		x := sums[g]
		x.Held, x.Waiting, x.Rate = x.Held+n.Held, x.Waiting+n.Waiting, x.Rate+min(n.Rate, n.all())
		share[g] += due[n.Key]
	}
	want := func(g Key) float64 {
		x := sums[g]
		most := math.Inf(1)
		if t := teams[g.Team]; g.Team != "" && t.Most > 0 {
			most = t.Most
		}
		return w.Floor * min(x.Rate, x.all(), most)
	}
	weighed := func(g Key) float64 { return want(g) / weight(w.Team, g.Team) / weight(w.Class, g.Class) }
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Or(cmp.Compare(weighed(a), weighed(b)), a.Compare(b)) })
	left := cpus
	var groups []Group
	for _, g := range keys {
		floor := want(g)
		if floor > left {
			floor = min(floor, crumb*share[g], max(left, 0))
		}
		left -= floor
		groups = append(groups, Group{g, sums[g].Held, floor, sums[g].Waiting > 0})
	}
	return groups
}

// Jain is Jain's fairness index of what was got of what was due: 1 if all got the same part
// of it, 1/n if one of n got everything (Jain, Chiu and Hawe, 1984).
func Jain(parts []float64) float64 {
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
