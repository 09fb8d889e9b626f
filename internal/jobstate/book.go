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

// PageSet lays out the finished tasks of a team's jobs on pages, each the value of
// one key in the state service, so that many jobs share one change. A page is
// always written whole: with what is known of every active job that has a part
// on it.
type PageSet struct {
	room  int // bytes of a page
	bits  int // tasks of one part
	pages map[int]*page
	at    map[part]int // the page of each part
}

// part is a stretch of a job's tasks.
type part struct {
	job    string
	number int
}

type page struct {
	version uint64
	used    int
}

// Page is a page to be written under its present version.
type Page struct {
	Number  int
	Version uint64
	Parts   map[string]string         // encoded bitmaps by the name of the part
	Done    map[string]*bitset.BitSet // the same by job, to be booked once written
}

// NewPageSet is an empty book whose pages may take so many bytes.
func NewPageSet(room int) *PageSet {
	// Half a page in binary is two thirds of one in base64.
	return &PageSet{room: room, bits: room / 2 * 8 / 64 * 64, pages: map[int]*page{}, at: map[part]int{}}
}

// size bounds what a part takes on its page: name, length and words in base64,
// quotes and punctuation.
func (b *PageSet) size(p part, tasks int) int {
	bits := min(b.bits, tasks-p.number*b.bits)
	return len(p.job) + 14 + base64.StdEncoding.EncodedLen(8+(bits+63)/64*8)
}

// Read takes in a page as found in the state service and adds its finished tasks
// to those given by job. tasks tells the size of an active job, 0 for others.
func (b *PageSet) Read(number int, version uint64, parts map[string]string, tasks func(job string) int, into map[string]*bitset.BitSet) error {
	pg := &page{version: version, used: 2}
	b.pages[number] = pg
	return readParts(parts, b.bits, tasks, into, func(p part, count int) {
		b.at[p] = number
		pg.used += b.size(p, count)
	})
}

// ReadParts reads the parts of one page of any size, as found in the state service, and
// adds the finished tasks to those given by job. Parts after a job's first are left out,
// since where they begin depends on the page's size.
func ReadParts(parts map[string]string, tasks func(job string) int, into map[string]*bitset.BitSet) error {
	first := map[string]string{}
	for name, text := range parts {
		if _, n, ok := protocol.SplitTask(name); ok && n > 0 {
			continue
		}
		first[name] = text
	}
	return readParts(first, protocol.MaxTasks, tasks, into, func(part, int) {})
}

func readParts(parts map[string]string, bits int, tasks func(job string) int, into map[string]*bitset.BitSet, found func(p part, count int)) error {
	for name, text := range parts {
		job, n, ok := protocol.SplitTask(name)
		if !ok {
			return fmt.Errorf("ledger: malformed part %.80q", name)
		}
		count := tasks(job)
		if count <= n*bits {
			continue // the job is over
		}
		data, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			return err
		}
		done := bitset.New(0)
		if err := done.UnmarshalBinary(data); err != nil {
			return err
		}
		all := into[job]
		if all == nil {
			all = bitset.New(0)
			into[job] = all
		}
		for i, ok := done.NextSet(0); ok; i, ok = done.NextSet(i + 1) {
			if at := n*bits + int(i); int(i) < bits && at < count {
				all.Set(uint(at))
			}
		}
		found(part{job, n}, count)
	}
	return nil
}

// Plan gives the pages to write for jobs whose finished tasks the state service
// does not know yet. find gives the size of an active job and its finished
// tasks; parts of others leave the book.
func (b *PageSet) Plan(unsaved []*Job, find func(job string) (tasks int, done *bitset.BitSet)) []Page {
	dirty := map[int]bool{}
	b.sweep(find)
	for _, j := range unsaved {
		tasks, done := find(j.Spec.UID)
		for n := 0; done != nil && n*b.bits < tasks; n++ {
			if i, ok := done.NextSet(uint(n * b.bits)); !ok || int(i) >= (n+1)*b.bits {
				continue
			}
			dirty[b.place(part{j.Spec.UID, n}, tasks)] = true
		}
	}
	var out []Page
	for _, number := range slices.Sorted(maps.Keys(dirty)) {
		out = append(out, Page{Number: number, Version: b.pages[number].version, Parts: map[string]string{}, Done: map[string]*bitset.BitSet{}})
	}
	for p, number := range b.at {
		at, ok := slices.BinarySearchFunc(out, number, func(x Page, n int) int { return x.Number - n })
		if !ok {
			continue
		}
		_, done := find(p.job)
		if done == nil {
			continue
		}
		bits, all := bitset.New(0), out[at].Done[p.job]
		if all == nil {
			all = bitset.New(0)
			out[at].Done[p.job] = all
		}
		for i, ok := done.NextSet(uint(p.number * b.bits)); ok && int(i) < (p.number+1)*b.bits; i, ok = done.NextSet(i + 1) {
			bits.Set(i - uint(p.number*b.bits))
			all.Set(i)
		}
		data, err := bits.MarshalBinary()
		if err != nil {
			panic(fmt.Sprintf("ledger: bitmap without binary form: %v", err))
		}
		out[at].Parts[p.job+"/"+strconv.Itoa(p.number)] = base64.StdEncoding.EncodeToString(data)
	}
	return out
}

// sweep takes the parts of jobs that are over off the book. They vanish from
// the state service when their page is written next.
func (b *PageSet) sweep(find func(job string) (int, *bitset.BitSet)) {
	for _, pg := range b.pages {
		pg.used = 2
	}
	for p, number := range b.at {
		if tasks, _ := find(p.job); tasks == 0 {
			delete(b.at, p)
		} else {
			b.pages[number].used += b.size(p, tasks)
		}
	}
}

// place finds the page of a part, or gives it one with room.
func (b *PageSet) place(p part, tasks int) int {
	if number, ok := b.at[p]; ok {
		return number
	}
	size := b.size(p, tasks)
	for number := 0; ; number++ {
		pg := b.pages[number]
		if pg == nil {
			pg = &page{used: 2}
			b.pages[number] = pg
		}
		if pg.used == 2 || pg.used+size <= b.room {
			pg.used += size
			b.at[p] = number
			return number
		}
	}
}

// Written books the version that a page has in the state service now.
func (b *PageSet) Written(number int, version uint64) {
	if pg := b.pages[number]; pg != nil {
		pg.version = version
	}
}
