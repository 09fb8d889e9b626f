package jobstate

import (
	"encoding/base64"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/protocol"
)

// PageSet distributes the finished tasks of a team's jobs over pages. Each page is the value of one key in the state
// service, so that one write saves the progress of many jobs. A page is always written as a whole, with the present
// finished tasks of every active job that has a part on it.
type PageSet struct {
	maxPageBytes int
	tasksPerPart int
	pages        map[int]*page
	pageOf       map[part]int // number of the page that holds the part
}

// part is a range of a job's tasks; all parts have tasksPerPart tasks, except that the last one may have fewer.
type part struct {
	job    string
	number int // counted from 0
}

// name returns the part's name on its page.
func (p part) name() string { return p.job + "/" + strconv.Itoa(p.number) }

// page is the state of one page.
type page struct {
	version   uint64 // in the state service; 0 if it does not exist there
	usedBytes int    // upper bound of its encoded size
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
	Done    DoneTasks         // the same tasks by job; saved once the page is written
}

// TaskCount returns the number of tasks of an active job; 0 for other jobs.
type TaskCount func(job string) int

// FinishedTasks returns the number of tasks of an active job and the set of those that are finished; 0 and nil for
// other jobs.
type FinishedTasks func(job string) (tasks int, done *bitset.BitSet)

// NewPageSet returns a set without pages; pageBytes is the maximum encoded size of a page.
func NewPageSet(pageBytes int) *PageSet {
	// A part's bitmap has up to half a page in binary, which is two thirds of a page in base64.
	words := pageBytes / 2 / bytesPerWord
	return &PageSet{
		maxPageBytes: pageBytes,
		tasksPerPart: words * bitsPerWord,
		pages:        map[int]*page{},
		pageOf:       map[part]int{},
	}
}

// partSize returns an upper bound of the encoded size of a part.
func (s *PageSet) partSize(p part, tasks int) int {
	bits := min(s.tasksPerPart, tasks-p.number*s.tasksPerPart)
	words := (bits + bitsPerWord - 1) / bitsPerWord
	return len(p.job) + partSyntaxBytes + base64.StdEncoding.EncodedLen(bitsLengthBytes+words*bytesPerWord)
}

// Read adds a page that was read from the state service to the set, and its finished tasks to done. Parts of jobs that
// are not active are ignored. It returns an error if a part is malformed; the page is in the set then, and some of its
// parts may have been read.
func (s *PageSet) Read(number int, version uint64, parts map[string]string, tasks TaskCount,
	done map[string]*bitset.BitSet) error {
	read := &page{version: version, usedBytes: emptyPageBytes}
	s.pages[number] = read
	return readParts(parts, s.tasksPerPart, tasks, done, func(p part, count int) {
		s.pageOf[p] = number
		read.usedBytes += s.partSize(p, count)
	})
}

// ReadParts adds the finished tasks of a page that was read from the state service to done, for any page size. It reads
// only the first part of each job, since the first task of a later part depends on the page size.
func ReadParts(parts map[string]string, tasks TaskCount, done map[string]*bitset.BitSet) error {
	first := map[string]string{}
	for name, text := range parts {
		if _, number, ok := protocol.SplitTask(name); ok && number > 0 {
			continue
		}
		first[name] = text
	}
	return readParts(first, protocol.MaxTasks, tasks, done, func(part, int) {})
}

// readParts adds the finished tasks of a page's parts to done, and calls found for each part of an active job.
func readParts(parts map[string]string, tasksPerPart int, tasks TaskCount, done map[string]*bitset.BitSet,
	found func(p part, count int)) error {
	for name, text := range parts {
		job, number, ok := protocol.SplitTask(name)
		if !ok {
			return fmt.Errorf("jobstate: malformed part name %.80q", name)
		}
		count, first := tasks(job), number*tasksPerPart
		if count <= first {
			continue // the job has ended
		}
		bits, err := decodeBits(text)
		if err != nil {
			return err
		}
		if done[job] == nil {
			done[job] = bitset.New(0)
		}
		for i, ok := bits.NextSet(0); ok && int(i) < tasksPerPart; i, ok = bits.NextSet(i + 1) {
			if task := first + int(i); task < count {
				done[job].Set(uint(task))
			}
		}
		found(part{job, number}, count)
	}
	return nil
}

// decodeBits decodes the bitmap of a part.
func decodeBits(text string) (*bitset.BitSet, error) {
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	bits := bitset.New(0)
	if err := bits.UnmarshalBinary(data); err != nil {
		return nil, err
	}
	return bits, nil
}

// encodeBits encodes the bitmap of a part.
func encodeBits(bits *bitset.BitSet) string {
	data, err := bits.MarshalBinary()
	if err != nil {
		panic(fmt.Sprintf("jobstate: encoding a bitmap: %v", err))
	}
	return base64.StdEncoding.EncodeToString(data)
}

// Plan returns the pages to write for jobs with finished tasks that are not saved yet. It removes the parts of jobs
// that are not active from the set.
func (s *PageSet) Plan(unsaved []*Job, finished FinishedTasks) []Page {
	s.dropEndedParts(finished)
	changed := map[int]bool{}
	for _, job := range unsaved {
		for _, number := range s.pagesOf(job.Spec.UID, finished) {
			changed[number] = true
		}
	}
	var plan []Page
	for _, number := range slices.Sorted(maps.Keys(changed)) {
		page := Page{Number: number, Version: s.pages[number].version, Parts: map[string]string{}, Done: DoneTasks{}}
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
func (s *PageSet) pagesOf(job string, finished FinishedTasks) (numbers []int) {
	tasks, done := finished(job)
	if done == nil {
		return nil
	}
	for n := 0; n*s.tasksPerPart < tasks; n++ {
		first, ok := done.NextSet(uint(n * s.tasksPerPart))
		if ok && int(first) < (n+1)*s.tasksPerPart {
			numbers = append(numbers, s.assignPage(part{job, n}, tasks))
		}
	}
	return numbers
}

// add adds a part, with those of its tasks that are finished, to the page.
func (p *Page) add(which part, finished *bitset.BitSet, tasksPerPart int) {
	if p.Done[which.job] == nil {
		p.Done[which.job] = bitset.New(0)
	}
	bits, first := bitset.New(0), uint(which.number*tasksPerPart)
	for i, ok := finished.NextSet(first); ok && i < first+uint(tasksPerPart); i, ok = finished.NextSet(i + 1) {
		bits.Set(i - first)
		p.Done[which.job].Set(i)
	}
	p.Parts[which.name()] = encodeBits(bits)
}

// dropEndedParts removes the parts of jobs that have ended from their pages. They are removed from the state service
// when the page is written next.
func (s *PageSet) dropEndedParts(finished FinishedTasks) {
	for _, pg := range s.pages {
		pg.usedBytes = emptyPageBytes
	}
	for p, number := range s.pageOf {
		if tasks, _ := finished(p.job); tasks == 0 {
			delete(s.pageOf, p)
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
