package datarecovery

import (
	"slices"
	"strings"
	"testing"

	"topazhollow/internal/goldentest"
	"topazhollow/internal/protocol"
)

// Golden files of the data that recovery stores in the state service and sends to other controllers. Both outlive the
// process that wrote them, so their encoding may only be extended. Page.Others has no JSON names of its own: the names
// of End's fields are the encoding.

// ends contains two ends that a page packs and one that it stores in full because of its id.
var ends = []End{{UID: "job-000398", Cancelled: true, Tasks: 16, Team: "vision"}, {UID: "job-000412", Tasks: 100000, Team: "speech"},
	{UID: "job-x", Cancelled: true, Tasks: 4, Team: "maps"}}

func TestGoldenKeys(t *testing.T) {
	goldentest.Bytes(t, "keys.txt", []byte(strings.Join([]string{
		"generation: " + EpochKey + "DRAWN",
		"page of ends: " + EndsKey + "0",
		"finished tasks of a restore: " + FinishedKey + "7-0",
	}, "\n")+"\n"))
}

func TestGoldenEnds(t *testing.T) {
	pages := Pages(ends, 1<<10)
	if len(pages) != 1 {
		t.Fatalf("%d pages, want 1", len(pages))
	}
	goldentest.Wire.Check(t, []goldentest.Case{
		{Name: "page-full.json", Value: pages[0], Full: true},
		{Name: "page-packed.json", Value: Pages(ends[:2], 1<<10)[0]},
		{Name: "page-empty.json", Value: Page{}},
	})
	got, err := ReadPage(goldentest.Read(t, "page-full.json"))
	byID := func(a, b End) int { return strings.Compare(a.UID, b.UID) }
	if slices.SortFunc(got, byID); err != nil || !slices.Equal(got, ends) {
		t.Errorf("read %+v, error %v, want %+v", got, err, ends)
	}
}

func TestGoldenDigest(t *testing.T) {
	known := NewEnds()
	for _, end := range ends {
		known.Add(end)
	}
	goldentest.Wire.Check(t, []goldentest.Case{
		{Name: "digest-full.json", Value: known.Digest(), Full: true},
		{Name: "digest-empty.json", Value: NewEnds().Digest()},
	})
	var digest Digest
	if err := protocol.Decode(goldentest.Read(t, "digest-full.json"), &digest); err != nil {
		t.Fatal(err)
	}
	known.Add(End{UID: "job-000500", Team: "vision"})
	missing, err := known.MissingFrom(digest)
	if err != nil || !slices.Equal(missing, []End{{UID: "job-000500", Team: "vision"}}) {
		t.Errorf("missing %+v, error %v, want job-000500 alone", missing, err)
	}
}
