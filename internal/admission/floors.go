package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

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
func Floors(cpus float64, needs []Demand, teams map[string]Quota, w *Weights) []Group {
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
func teamsAtLimit(cpus float64, needs []Demand, teams map[string]Quota) [][]Demand {
	byTeam, asked := map[string][]Demand{}, map[string]float64{}
	for _, n := range needs {
		byTeam[n.Team] = append(byTeam[n.Team], n)
		asked[n.Team] += n.total()
	}
	var over [][]Demand
	for _, team := range slices.Sorted(maps.Keys(byTeam)) {
		if most := teams[team].Limit; most > 0 && most < cpus && asked[team] > most {
			over = append(over, byTeam[team])
		}
	}
	return over
}

// groupFloors divides so many CPUs into floors for the groups that needs belong to.
func groupFloors(cpus float64, needs []Demand, due map[Key]float64, teams map[string]Quota, w *Weights, groupOf func(Key) Key) []Group {
	sums := map[Key]*Demand{}
	share := map[Key]float64{}
	var keys []Key
	for _, n := range needs {
		g := groupOf(n.Key)
		if sums[g] == nil {
			sums[g] = &Demand{Key: g}
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
