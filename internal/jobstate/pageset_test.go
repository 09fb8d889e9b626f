package jobstate

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/protocol"
)

// TestPageSetModel has random jobs start, finish tasks and end, and writes their pages to a map. At times a new owner
// reads the pages. It must find all tasks that were saved, and no page may exceed its maximum size.
func TestPageSetModel(t *testing.T) {
	const maxBytes = 400
	type value struct {
		version uint64
		parts   map[string]string
	}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 11))
		store, revision := map[int]value{}, uint64(0)
		pageSet := NewPageSet(PageSizes{maxBytes, maxBytes})
		jobs, done, saved := map[string]*Job{}, map[string]*bitset.BitSet{}, map[string]*bitset.BitSet{}
		find := func(uid string) (int, *bitset.BitSet) {
			if j := jobs[uid]; j != nil {
				return j.Spec.Tasks, done[uid]
			}
			return 0, nil
		}
		for step := range 80 {
			switch rng.IntN(6) {
			case 0:
				uid := fmt.Sprintf("job-%06d", step)
				jobs[uid] = &Job{Spec: &protocol.Submission{UID: uid, Tasks: 1 + rng.IntN(4000)}}
				done[uid], saved[uid] = bitset.New(0), bitset.New(0)
			case 1:
				for uid := range jobs {
					if rng.IntN(4) == 0 {
						delete(jobs, uid)
					}
				}
			case 2: // a new owner reads all pages
				pageSet = NewPageSet(PageSizes{maxBytes, maxBytes})
				found := map[string]*bitset.BitSet{}
				for number, v := range store {
					if err := pageSet.Read(number, v.version, v.parts, func(uid string) int { n, _ := find(uid); return n }, found); err != nil {
						t.Fatal(err)
					}
				}
				for uid := range jobs {
					if got := found[uid]; (got == nil && saved[uid].Any()) || (got != nil && !got.IsSuperSet(saved[uid])) {
						t.Fatalf("seed %d: a new owner does not find the saved tasks of %s", seed, uid)
					}
				}
			default:
				var unsaved []*Job
				for uid, j := range jobs {
					if rng.IntN(2) == 0 {
						for range rng.IntN(20) {
							done[uid].Set(uint(rng.IntN(j.Spec.Tasks)))
						}
						unsaved = append(unsaved, j)
					}
				}
				for _, p := range pageSet.Plan(unsaved, find) {
					text, err := json.Marshal(p.Parts)
					if err != nil || len(text) > maxBytes {
						t.Fatalf("seed %d: page of %d bytes, error %v", seed, len(text), err)
					}
					if store[p.Number].version != p.Version {
						t.Fatalf("seed %d: page %d is written under version %d", seed, p.Number, p.Version)
					}
					revision++
					store[p.Number] = value{revision, p.Parts}
					pageSet.RecordWritten(p.Number, revision)
					for uid, b := range p.Done {
						saved[uid].InPlaceUnion(b)
					}
				}
				for _, j := range unsaved {
					if uid := j.Spec.UID; !saved[uid].IsSuperSet(done[uid]) {
						t.Fatalf("seed %d: finished tasks of %s are not in the plan", seed, uid)
					}
				}
			}
		}
	}
}
