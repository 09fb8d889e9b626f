package jobstate

import (
	"encoding/json"
	"strconv"
	"testing"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/goldentest"
	"topazhollow/internal/protocol"
)

// The golden files hold a team's pages of finished tasks as stored in the state service. Stored pages outlive the
// process that wrote them, so the format may only be extended. The golden files of messages between controllers that
// contain this package's types are in the module's root.

// smallPageBytes is a page size with 64 tasks per part, so that a job of 100 tasks has two parts.
const smallPageBytes = 20

// finished has the number of tasks and the finished tasks of each job.
var finished = map[string]struct {
	tasks int
	done  *bitset.BitSet
}{
	"job-000398": {100, bitset.New(0).Set(0).Set(63).Set(64).Set(99)},
	"job-000412": {3, bitset.New(0).Set(2)},
}

// TestGoldenPages compares the encoding of pages with the golden files, and reads the pages back.
func TestGoldenPages(t *testing.T) {
	var jobs []*Job
	for _, uid := range []string{"job-000398", "job-000412"} {
		jobs = append(jobs, &Job{Spec: &protocol.Submission{UID: uid}})
	}
	pages := NewPageSet(PageSizes{smallPageBytes, smallPageBytes}).Plan(jobs, func(job string) (int, *bitset.BitSet) { return finished[job].tasks, finished[job].done })
	if len(pages) != 3 {
		t.Fatalf("%d pages, want 3", len(pages))
	}
	reader, read := NewPageSet(PageSizes{smallPageBytes, smallPageBytes}), map[string]*bitset.BitSet{}
	for _, p := range pages {
		if p.Version != 0 {
			t.Errorf("page %d: version %d, want 0", p.Number, p.Version)
		}
		value := goldentest.Bytes(t, "page-"+strconv.Itoa(p.Number)+".json", protocol.Encode(p.Parts))
		var parts map[string]string
		if err := json.Unmarshal(value, &parts); err != nil {
			t.Fatal(err)
		}
		if err := reader.Read(p.Number, 412, parts, func(job string) int { return finished[job].tasks }, read); err != nil {
			t.Fatal(err)
		}
	}
	for job, f := range finished {
		if read[job] == nil || !read[job].SymmetricDifference(f.done).None() {
			t.Errorf("%s: read %v, want %v", job, read[job], f.done)
		}
	}
}

// TestGoldenFineParts compares a page of a job that is written in fine parts with the golden file.
func TestGoldenFineParts(t *testing.T) {
	const tasks = 40000
	done := bitset.New(0).Set(0).Set(4095).Set(4096).Set(39999)
	sizes := PageSizes{Present: 8 << 10, Lowest: 2 << 10}
	jobs := []*Job{{Spec: &protocol.Submission{UID: "job-000398"}}}
	pages := NewPageSet(sizes).Plan(jobs, func(string) (int, *bitset.BitSet) { return tasks, done })
	if len(pages) != 1 {
		t.Fatalf("%d pages, want 1", len(pages))
	}
	value := goldentest.Bytes(t, "page-fine.json", protocol.Encode(pages[0].Parts))
	var parts map[string]string
	if err := json.Unmarshal(value, &parts); err != nil {
		t.Fatal(err)
	}
	read := map[string]*bitset.BitSet{}
	if err := ReadParts(parts, func(string) int { return tasks }, read); err != nil || !read["job-000398"].SymmetricDifference(done).None() {
		t.Errorf("read %v, error %v", read["job-000398"], err)
	}
}

// TestGoldenAttempt guards the format of attempt numbers, from which controllers of other versions also derive the
// term.
func TestGoldenAttempt(t *testing.T) {
	if got := AttemptID(41, 2); got != 687865858 || TermOf(got) != 41 {
		t.Errorf("attempt %d of term %d, want 687865858 of 41", got, TermOf(got))
	}
}
