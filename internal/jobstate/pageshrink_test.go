package jobstate

import "testing"

// TestHalvedPageSizes: pages become smaller down to 1 KB, while the geometry of the parts stays.
func TestHalvedPageSizes(t *testing.T) {
	sizes, lowest := PageSizes{Present: 8 << 10, Lowest: 3 << 10}, []int{1536, 1024}
	for _, want := range lowest {
		halved, ok := sizes.Halved()
		if sizes = halved; !ok || sizes != (PageSizes{Present: 8 << 10, Lowest: want}) {
			t.Fatalf("%+v, %t, want %d", sizes, ok, want)
		}
	}
	if _, ok := sizes.Halved(); ok {
		t.Error("pages below 1 KB")
	}
}
