package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// The floor of a group whose full floor does not fit lets it make progress without taking much from groups whose floors do
// fit. minFloorShare is the fraction of its fair share that a class or team is guaranteed if its full floor does not fit.
const minFloorShare = 0.1

// Group is a set of keys that has a floor: a class across all teams, a team with all its classes, or a class of one
// team at its limit.
type Group struct {
	Key                // Team is empty for a class across all teams, Class for a team with all its classes
	Used       float64 // CPUs
	Floor      float64 // guaranteed CPUs
	HasWaiting bool
}

// withinLimit reports whether the group is a class of one team, whose floor is within that team's limit.
func (g *Group) withinLimit() bool { return g.Team != "" && g.Class != "" }

// Floors returns the floor of each class and each team: enough CPUs to serve the fraction FloorShare of its arrivals.
// Floors are granted in ascending order of demand per weight while CPUs last. A group whose floor no longer fits, such
// as one that floods the system, gets minFloorShare of its fair share instead. If a team asks for more than its limit,
// and the limit is less than all machines have, each of its classes also has a floor within the limit, which is raised
// for classes with little demand.
func Floors(cpus float64, demands []Demand, teams map[string]Quota, w *Weights) []Group {
	due := FairShares(cpus, demands, teams, w)
	groups := groupFloors(cpus, demands, due, teams, w, func(k Key) Key { return Key{Class: k.Class} })
	groups = append(groups, groupFloors(cpus, demands, due, teams, w, func(k Key) Key { return Key{Team: k.Team} })...)
	for _, of := range teamsAtLimit(cpus, demands, teams) {
		limit := teams[of[0].Team].Limit
		within := groupFloors(limit, of, due, teams, w, func(k Key) Key { return k })
		raiseSmallFloors(within, limit, w)
		groups = append(groups, within...)
	}
	return groups
}

// raiseSmallFloors raises the floors of classes that ask for less than an equal part of their team's limit. It
// compensates for jobs that users cancel while they wait, and for arrivals that are gone before the floor takes effect.
func raiseSmallFloors(within []Group, limit float64, w *Weights) {
	if w.FloorShare <= 0 {
		return
	}
	raise := (1 + w.FloorShare) / 2 / w.FloorShare // from FloorShare of the demand halfway to all of it
	left := limit
	for i := range within {
		left -= within[i].Floor
	}
	for i := range within {
		g := &within[i]
		if extra := g.Floor * (raise - 1); g.Floor/w.FloorShare < limit/float64(len(within)) && extra <= left {
			g.Floor += extra
			left -= extra
		}
	}
}

// teamsAtLimit returns the demands of each team that asks for more than its limit. cpus is the total of all machines; a
// limit of that or more has no effect.
func teamsAtLimit(cpus float64, demands []Demand, teams map[string]Quota) [][]Demand {
	byTeam, asked := map[string][]Demand{}, map[string]float64{}
	for _, n := range demands {
		byTeam[n.Team] = append(byTeam[n.Team], n)
		asked[n.Team] += n.total()
	}
	var over [][]Demand
	for _, team := range slices.Sorted(maps.Keys(byTeam)) {
		if limit := teams[team].Limit; limit > 0 && limit < cpus && asked[team] > limit {
			over = append(over, byTeam[team])
		}
	}
	return over
}

// groupFloors divides CPUs into floors for the groups that the demands belong to. due holds the fair shares of the
// keys.
func groupFloors(cpus float64, demands []Demand, due map[Key]float64, teams map[string]Quota, w *Weights, groupOf func(Key) Key) []Group {
	sums := map[Key]*Demand{}
	share := map[Key]float64{}
	var keys []Key
	for _, n := range demands {
		g := groupOf(n.Key)
		if sums[g] == nil {
			sums[g] = &Demand{Key: g}
			keys = append(keys, g)
		}
		x := sums[g]
		x.Used, x.Waiting, x.Rate = x.Used+n.Used, x.Waiting+n.Waiting, x.Rate+min(n.Rate, n.total())
		x.FirstTaskRate += min(n.FirstTaskRate, n.total())
		share[g] += due[n.Key]
	}
	want := func(g Key) float64 {
		x := sums[g]
		limit := math.Inf(1)
		if t := teams[g.Team]; g.Team != "" && t.Limit > 0 {
			limit = t.Limit
		}
		return w.FloorShare * min(x.Rate, x.total(), limit)
	}
	weightedDemand := func(g Key) float64 { return want(g) / weight(w.Team, g.Team) / weight(w.Class, g.Class) }
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Or(cmp.Compare(weightedDemand(a), weightedDemand(b)), a.Compare(b)) })
	left := cpus
	var groups []Group
	for _, g := range keys {
		floor := want(g)
		if floor > left {
			floor = min(floor, max(minFloorShare*share[g], FirstTaskShare*sums[g].FirstTaskRate), max(left, 0))
		}
		left -= floor
		groups = append(groups, Group{g, sums[g].Used, floor, sums[g].Waiting > 0})
	}
	return groups
}
