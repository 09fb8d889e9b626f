package snapshot

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// TestDonePagesFitLimits: the pages of finished tasks of jobs of all sizes fit, and together hold exactly those tasks.
func TestDonePagesFitLimits(t *testing.T) {
	for _, valueKB := range []int{1, 2, 8, 16} {
		rng := rand.New(rand.NewPCG(uint64(valueKB), 3))
		done, maxBytes := map[string]*bitset.BitSet{}, valueKB<<10-valueOverheadBytes
		for job := range 60 {
			uid := fmt.Sprintf("job-%064d", job)
			done[uid] = bitset.New(0)
			limit := []int{10, 5000, protocol.MaxTasks}[rng.IntN(3)]
			for range 1 + rng.IntN(3000) {
				done[uid].Set(uint(rng.IntN(limit)))
			}
		}
		read := map[string]*bitset.BitSet{}
		for _, page := range donePages(done, maxBytes) {
			if size := len(protocol.Encode(page)); size > maxBytes {
				t.Errorf("%d KB: page of %d bytes, limit %d", valueKB, size, maxBytes)
			}
			for uid, tasks := range jobstate.JoinFinished(page) {
				if read[uid] == nil {
					read[uid] = bitset.New(0)
				}
				read[uid].InPlaceUnion(tasks)
			}
		}
		if len(read) != len(done) {
			t.Errorf("%d KB: %d jobs read, want %d", valueKB, len(read), len(done))
		}
		for uid, tasks := range done {
			if read[uid] == nil || !read[uid].SymmetricDifference(tasks).None() {
				t.Errorf("%d KB: other tasks of %s are read", valueKB, uid)
			}
		}
	}
}
