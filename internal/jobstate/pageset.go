package jobstate

import (
	"encoding/base64"
	"maps"
	"slices"

	"github.com/bits-and-blooms/bitset"
)

// PageSet distributes the finished tasks of a team's jobs over pages. Each page is the value of one key in the state
// service, so that one write saves the progress of many jobs. A page is always written as a whole, with the present
// finished tasks of every active job that has a part on it.
//
// A page may hold parts that are to be left out: those of a job that is now written in another form, and all parts of a
// page that is too large to be written again. They stay on their page until other pages have all their finished tasks,
// so that no finished task is lost between two writes.
type PageSet struct {
	maxPageBytes int
	tasksPerPart int  // of coarse parts
	lowered      bool // pages must be smaller than those that the size of coarse parts follows from
	pages        map[int]*page
	pageOf       map[part]int              // number of the page that holds the part
	stored       map[string]*bitset.BitSet // by job, finished tasks that parts in pageOf have in the state service
}

// page is the state of one page.
type page struct {
	version   uint64 // in the state service; 0 if it does not exist there
	usedBytes int    // upper bound of its encoded size
	leftovers map[part]storedPart
}

// Sizes of a page's encoding, in bytes, and of a bitmap's words.
const (
	emptyPageBytes  = 2  // the braces
	partSyntaxBytes = 14 // a part's number, quotes and punctuation
	bitsLengthBytes = 8  // the number of bits, which precedes a bitmap's words
	bitsPerWord     = 64
	bytesPerWord    = bitsPerWord / 8
)

// Page is a page to be written if the state service still has the given version.
type Page struct {
	Number  int
	Version uint64
	Parts   map[string]string // encoded bitmaps by part name
	Done    DoneTasks         // the same tasks by job, without those of leftovers; saved once the page is written
}

// TaskCount returns the number of tasks of an active job; 0 for other jobs.
type TaskCount func(job string) int

// FinishedTasks returns the number of tasks of an active job and the set of those that are finished; 0 and nil for
// other jobs.
type FinishedTasks func(job string) (tasks int, done *bitset.BitSet)

// PageSizes are limits on the encoded size of a page, in bytes.
type PageSizes struct {
	Present int // of the pages that earlier versions of the program read and write; coarse parts follow from it
	Lowest  int // of the pages to be written
}

// minPageBytes is the lowest limit on pages; fine parts fit into such a page.
const minPageBytes = 1 << 10

// Halved returns the sizes after the state service refused a page as too large. ok is false if pages can't be smaller.
func (s PageSizes) Halved() (halved PageSizes, ok bool) {
	halved = PageSizes{Present: s.Present, Lowest: max(minPageBytes, s.Lowest/2)}
	return halved, halved.Lowest < s.Lowest
}

// NewPageSet returns a set without pages.
func NewPageSet(sizes PageSizes) *PageSet {
	// A coarse part's bitmap has up to half a page in binary, which is two thirds of a page in base64.
	words := sizes.Present / 2 / bytesPerWord
	return &PageSet{
		maxPageBytes: sizes.Lowest,
		tasksPerPart: words * bitsPerWord,
		lowered:      sizes.Lowest < sizes.Present,
		pages:        map[int]*page{},
		pageOf:       map[part]int{},
		stored:       map[string]*bitset.BitSet{},
	}
}

// partSize returns an upper bound of the encoded size of a part.
func (s *PageSet) partSize(p part, tasks int) int {
	first, end := p.tasks(s.tasksPerPart)
	words := (min(end, tasks) - first + bitsPerWord - 1) / bitsPerWord
	return len(p.job) + partSyntaxBytes + base64.StdEncoding.EncodedLen(bitsLengthBytes+words*bytesPerWord)
}

// firstPart returns the first part of the form in which a job is written: in fine parts if pages must be smaller than
// before and the job is not in one coarse part that fits.
func (s *PageSet) firstPart(job string, tasks int) part {
	coarse := part{job, 0}
	if s.lowered && (tasks > s.tasksPerPart || emptyPageBytes+s.partSize(coarse, tasks) > s.maxPageBytes) {
		return part{job, firstFinePart}
	}
	return coarse
}

// Read adds a page that was read from the state service to the set, and its finished tasks to done. Parts of jobs that
// are not active are ignored. It returns an error if a part is malformed; the page is in the set then, and some of its
// parts may have been read.
func (s *PageSet) Read(number int, version uint64, parts map[string]string, tasks TaskCount,
	done map[string]*bitset.BitSet) error {
	read := &page{version: version, leftovers: map[part]storedPart{}}
	s.pages[number] = read
	var kept []storedPart
	size := emptyPageBytes
	err := readParts(parts, s.tasksPerPart, tasks, func(p storedPart) {
		mergeDone(done, p)
		if s.isLeftover(p) {
			read.leftovers[p.part] = p
			size += p.size()
			return
		}
		kept = append(kept, p)
		size += s.partSize(p.part, p.jobTasks)
	})
	if size > s.maxPageBytes && len(kept)+len(read.leftovers) > 1 { // it can't be written with these parts again
		for _, p := range kept {
			read.leftovers[p.part] = p
		}
		kept = nil
	}
	for _, p := range kept {
		s.pageOf[p.part] = number
		mergeDone(s.stored, p)
	}
	read.usedBytes = size
	return err
}

// isLeftover reports whether a part that was read is to be left out of its page: its job is written in another form now,
// another page holds it, or it has tasks beyond its range because the page size was another one.
func (s *PageSet) isLeftover(p storedPart) bool {
	first := s.firstPart(p.job, p.jobTasks)
	if _, held := s.pageOf[p.part]; held || (p.number >= firstFinePart) != (first.number >= firstFinePart) {
		return true
	}
	_, end := p.tasks(s.tasksPerPart)
	_, beyond := p.done.NextSet(uint(end))
	return beyond
}

// size returns the encoded size of a stored part.
func (p *storedPart) size() int { return len(p.job) + partSyntaxBytes + len(p.text) }

// Plan returns the pages to write for jobs with finished tasks that are not saved yet. It removes the parts of jobs
// that are not active from the set.
func (s *PageSet) Plan(unsaved []*Job, finished FinishedTasks) []Page {
	s.dropParts(finished)
	changed := map[int]bool{}
	for _, job := range unsaved {
		for _, number := range s.pagesOf(job, finished) {
			changed[number] = true
		}
	}
	var plan []Page
	for _, number := range slices.Sorted(maps.Keys(changed)) {
		page := Page{Number: number, Version: s.pages[number].version, Parts: map[string]string{}, Done: DoneTasks{}}
		for p, stored := range s.pages[number].leftovers {
			page.Parts[p.name()] = stored.text
		}
		plan = append(plan, page)
	}
	for p, number := range s.pageOf {
		at, ok := slices.BinarySearchFunc(plan, number, func(x Page, n int) int { return x.Number - n })
		if !ok {
			continue
		}
		if _, done := finished(p.job); done != nil {
			plan[at].add(p, done, s.tasksPerPart)
		}
	}
	return plan
}

// pagesOf lists the pages with finished tasks of a job. Parts that are on no page yet are assigned to one.
func (s *PageSet) pagesOf(job *Job, finished FinishedTasks) (numbers []int) {
	uid := job.Spec.UID
	tasks, done := finished(uid)
	if done == nil {
		return nil
	}
	for p := s.firstPart(uid, tasks); ; p.number++ {
		first, end := p.tasks(s.tasksPerPart)
		if first >= tasks {
			return numbers
		}
		task, ok := done.NextSet(uint(first))
		if ok && int(task) < end && !s.isStored(p, job, done) {
			numbers = append(numbers, s.assignPage(p, tasks))
		}
	}
}

// isStored reports whether a fine part need not be written: its page has all its finished tasks. Coarse parts are always
// written, as in earlier versions.
func (s *PageSet) isStored(p part, job *Job, done *bitset.BitSet) bool {
	stored := s.stored[p.job]
	if p.number < firstFinePart || stored == nil || job.savedDone == nil {
		return false
	}
	first, end := p.tasks(s.tasksPerPart)
	for i, ok := done.NextSet(uint(first)); ok && int(i) < end; i, ok = done.NextSet(i + 1) {
		if !stored.Test(i) || !job.savedDone.Test(i) {
			return false
		}
	}
	return true
}

// add adds a part, with those of its tasks that are finished, to the page.
func (p *Page) add(which part, finished *bitset.BitSet, tasksPerPart int) {
	if p.Done[which.job] == nil {
		p.Done[which.job] = bitset.New(0)
	}
	first, end := which.tasks(tasksPerPart)
	bits := bitset.New(0)
	for i, ok := finished.NextSet(uint(first)); ok && int(i) < end; i, ok = finished.NextSet(i + 1) {
		bits.Set(i - uint(first))
		p.Done[which.job].Set(i)
	}
	p.Parts[which.name()] = encodeBits(bits)
}

// dropParts removes the parts of jobs that have ended from their pages, and the leftovers whose finished tasks are on
// other pages. They are removed from the state service when the page is written next.
func (s *PageSet) dropParts(finished FinishedTasks) {
	for _, pg := range s.pages {
		pg.usedBytes = emptyPageBytes
		for p, stored := range pg.leftovers {
			if tasks, _ := finished(p.job); tasks == 0 || s.stored[p.job] != nil && s.stored[p.job].IsSuperSet(stored.done) {
				delete(pg.leftovers, p)
			} else {
				pg.usedBytes += stored.size()
			}
		}
	}
	for p, number := range s.pageOf {
		if tasks, _ := finished(p.job); tasks == 0 {
			delete(s.pageOf, p)
			delete(s.stored, p.job)
		} else {
			s.pages[number].usedBytes += s.partSize(p, tasks)
		}
	}
}

// assignPage returns the number of the page that holds a part. A part that is on no page is assigned to the first page
// that is empty or that it fits on.
func (s *PageSet) assignPage(p part, tasks int) int {
	if number, ok := s.pageOf[p]; ok {
		return number
	}
	size := s.partSize(p, tasks)
	for number := 0; ; number++ {
		pg := s.pages[number]
		if pg == nil {
			pg = &page{usedBytes: emptyPageBytes}
			s.pages[number] = pg
		}
		if _, holdsLeftover := pg.leftovers[p]; holdsLeftover {
			continue
		}
		if pg.usedBytes == emptyPageBytes || pg.usedBytes+size <= s.maxPageBytes {
			pg.usedBytes += size
			s.pageOf[p] = number
			return number
		}
	}
}

// RecordWritten records the present version of a page in the state service.
func (s *PageSet) RecordWritten(number int, version uint64) {
	if pg := s.pages[number]; pg != nil {
		pg.version = version
	}
}

// RecordSaved records that a planned page was written under the given version.
func (s *PageSet) RecordSaved(saved Page, version uint64) {
	s.RecordWritten(saved.Number, version)
	for job, done := range saved.Done {
		if s.stored[job] == nil {
			s.stored[job] = bitset.New(0)
		}
		s.stored[job].InPlaceUnion(done)
	}
}
