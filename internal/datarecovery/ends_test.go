package datarecovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

func manyEnds() []End {
	var ends []End
	for i := range 400 {
		ends = append(ends, End{UID: fmt.Sprintf("job-%06d", 7*i), Cancelled: i%3 == 0, Tasks: i, Team: fmt.Sprint("team-", i%5)})
	}
	return append(ends,
		End{UID: "nightly", Tasks: 3, Team: "team-1"},
		End{UID: "job-7", Tasks: 1, Team: "team-1"},
		End{UID: "job-4000000", Tasks: 1<<taskBits - 1, Team: "team-2"},
		End{UID: "job-4000001", Tasks: 1 << taskBits, Team: "team-2", Cancelled: true})
}

// TestPagesRoundTrip: ends encoded as pages of any size are decoded unchanged, and no page exceeds the limit.
func TestPagesRoundTrip(t *testing.T) {
	want := manyEnds()
	slices.SortFunc(want, func(a, b End) int { return strings.Compare(a.UID, b.UID) })
	for _, maxBytes := range []int{300, 2000, 100_000} {
		var got []End
		for _, page := range Pages(manyEnds(), maxBytes) {
			value, err := json.Marshal(page)
			if err != nil || len(value) > maxBytes {
				t.Fatalf("maxBytes %d: page of %d bytes, %v", maxBytes, len(value), err)
			}
			ends, err := ReadPage(value)
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, ends...)
		}
		slices.SortFunc(got, func(a, b End) int { return strings.Compare(a.UID, b.UID) })
		if !slices.Equal(got, want) {
			t.Errorf("maxBytes %d: %d ends, not the %d written", maxBytes, len(got), len(want))
		}
	}
}

// TestPageEncoding pins the encoding of pages: they outlive the process that wrote them, and controllers of different
// versions read them.
func TestPageEncoding(t *testing.T) {
	pages := Pages([]End{{UID: "job-000012", Tasks: 5, Team: "red"}, {UID: "job-000300", Tasks: 2, Team: "blue", Cancelled: true}, {UID: "x", Tasks: 1, Team: "red"}}, 10_000)
	got, err := json.Marshal(pages)
	const want = `[{"teams":["red","blue"],"data":"DAqgAoWAEA==","others":[{"UID":"x","Withdrawn":false,"Tasks":1,"Team":"red"}]}]`
	if err != nil || string(got) != want {
		t.Errorf("%s instead of %s, %v", got, want, err)
	}
}

// TestDamagedPages: decoding a damaged page returns an error.
func TestDamagedPages(t *testing.T) {
	for value, want := range map[string]error{
		`{"teams":["red"],"data":"DA=="}`:     ErrPageTruncated,
		`{"teams":["red"],"data":"gA=="}`:     ErrPageTruncated,
		`{"teams":[],"data":"DAo="}`:          ErrPageOutOfRange,
		`{"teams":["red"],"data":"gICAgCAK"}`: ErrPageOutOfRange,
		`{"teams":["red"],"data":"*"}`:        nil,
		`[]`:                                  nil,
	} {
		if ends, err := ReadPage([]byte(value)); err == nil || want != nil && !errors.Is(err, want) {
			t.Errorf("%s: %v, %v", value, ends, err)
		}
	}
}

// TestMissingEnds: MissingFrom returns exactly the ends that a peer's digest lacks, and the first end added for a job
// is kept.
func TestMissingEnds(t *testing.T) {
	mine, theirs := NewEnds(), NewEnds()
	for i, end := range manyEnds() {
		if !mine.Add(end) {
			t.Fatalf("%v counts as known", end)
		}
		if i%2 == 0 {
			theirs.Add(end)
		}
	}
	missing, err := mine.MissingFrom(theirs.Digest())
	if err != nil || len(missing) != mine.Len()-theirs.Len() {
		t.Fatalf("%d missing of %d, %v", len(missing), mine.Len()-theirs.Len(), err)
	}
	for _, end := range missing {
		theirs.Add(end)
	}
	if !slices.Equal(mine.All(), theirs.All()) {
		t.Error("the ends differ after the exchange")
	}
	if mine.Add(End{UID: "nightly", Tasks: 9}) {
		t.Error("a second end of a job was added")
	}
	if end, known := mine.Get("nightly"); !known || end.Tasks != 3 {
		t.Errorf("%+v", end)
	}
	if _, err := mine.MissingFrom(Digest{IDs: "*"}); err == nil {
		t.Error("a damaged digest was accepted")
	}
}
