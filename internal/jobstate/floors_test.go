package jobstate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"topazhollow/internal/protocol"
)

// TestFloorsBeyondQuotaBlockNoClass guards against classes below their floors blocking each other: if less quota was
// left than the sum of their shortfalls, each class left it to the others and none demanded any. If the limit suffices
// for the largest waiting task, some quota must be demanded, and never more than the limit.
func TestFloorsBeyondQuotaBlockNoClass(t *testing.T) {
	now := time.Unix(1000, 0)
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		limit := float64(1 + rng.IntN(40))
		team := NewTeam("t", Limits{Max: Resources{CPUs: limit, GPUs: math.Inf(1)}}, NewReplica(), 1, func(string, ...any) {})
		floors, largest := map[string]float64{}, 0.0
		for i := range 1 + rng.IntN(5) {
			class := fmt.Sprint("c", i)
			spec := &protocol.Submission{UID: fmt.Sprint("job-", i), Class: class, Kind: protocol.JobArray, Priority: "standard", Tasks: 50, CPUs: float64(1 + rng.IntN(4)), EstimateSeconds: 30}
			team.AddJob(spec, 1, now, nil)
			floors[class] = spec.CPUs * float64(1+rng.IntN(10))
			largest = max(largest, spec.CPUs)
		}
		team.Quota().SetFloors(floors)
		requested := 0.0
		for _, d := range team.Quota().Demands(now) {
			requested += float64(d.Count) * d.Spec.CPUs
		}
		if requested > limit+roundingTolerance {
			t.Fatalf("seed %d: %g CPUs demanded of %g, floors %v", seed, requested, limit, floors)
		}
		if requested == 0 && limit >= largest {
			t.Fatalf("seed %d: nothing is demanded of %g CPUs of quota, floors %v", seed, limit, floors)
		}
	}
}
