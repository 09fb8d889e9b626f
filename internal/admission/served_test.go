package admission

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// TestServedCounts: counts cover the window only, and a poorly served key is returned once per repeatAfter.
func TestServedCounts(t *testing.T) {
	s := NewServedCounts()
	k, now := Key{"t", "c"}, time.Unix(1000, 0)
	for range 10 {
		s.Record(k, now, func(c *Count) { c.Late++ })
	}
	s.Record(k, now, func(c *Count) { c.Done++; c.InTime++ })
	if c := s.Counts(now)[k]; c.InTimeShare() > 0.1 || !slices.Equal(s.PoorlyServed(now), []Key{k}) || s.PoorlyServed(now) != nil {
		t.Fatalf("%+v", c)
	}
	now = now.Add(Window + windowStep)
	if got := s.Counts(now); len(got) != 0 {
		t.Fatalf("%v after the window", slices.Collect(maps.Keys(got)))
	}
	if j := JainIndex([]float64{1, 0, 0, 0}); j != 0.25 || JainIndex([]float64{2, 2}) != 1 || MinShare([]float64{0.4, 0.9}) != 0.4 {
		t.Fatal(j)
	}
}
