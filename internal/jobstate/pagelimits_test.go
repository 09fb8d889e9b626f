package jobstate

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/protocol"
)

// pageModel is a plain model of the pages in the state service and of the jobs whose tasks finish.
type pageModel struct {
	t        *testing.T
	name     string // of the run
	rng      *rand.Rand
	sizes    PageSizes
	pageSet  *PageSet
	pages    map[int]storedPage
	revision uint64
	jobs     map[string]*Job
	done     map[string]*bitset.BitSet // finished
	saved    map[string]*bitset.BitSet // finished, and reported as saved
	next     int                       // number of the next job
	fine     int                       // fine parts written
}

// storedPage is the value of one page.
type storedPage struct {
	version uint64
	parts   map[string]string
}

// find implements FinishedTasks.
func (m *pageModel) find(uid string) (int, *bitset.BitSet) {
	if j := m.jobs[uid]; j != nil {
		return j.Spec.Tasks, m.done[uid]
	}
	return 0, nil
}

// count implements TaskCount.
func (m *pageModel) count(uid string) int { tasks, _ := m.find(uid); return tasks }

// addJob adds a job of 1 to protocol.MaxTasks tasks, most of them small.
func (m *pageModel) addJob() {
	uid := fmt.Sprintf("job-%06d", m.next)
	if m.next++; m.rng.IntN(3) == 0 {
		uid += strings.Repeat("x", 64-len(uid)+len("job-"))
	}
	limits := []int{50, 5000, 40000, protocol.MaxTasks}
	m.jobs[uid] = &Job{Spec: &protocol.Submission{UID: uid, Tasks: 1 + m.rng.IntN(limits[m.rng.IntN(len(limits))])}, savedDone: bitset.New(0)}
	m.done[uid], m.saved[uid] = bitset.New(0), bitset.New(0)
}

// readAll reads all pages into a new set, as a new owner does, and checks that exactly finished tasks are read and that
// no saved one is missing.
func (m *pageModel) readAll(sizes PageSizes) *PageSet {
	set, found := NewPageSet(sizes), map[string]*bitset.BitSet{}
	for number, page := range m.pages {
		if err := set.Read(number, page.version, page.parts, m.count, found); err != nil {
			m.t.Fatal(err)
		}
	}
	for uid := range m.jobs {
		m.checkRead("a new owner", uid, found[uid], m.saved[uid])
	}
	return set
}

// checkRead checks that a reader found at least the tasks in least and no task that is not finished.
func (m *pageModel) checkRead(reader, uid string, got, least *bitset.BitSet) {
	if got == nil {
		got = bitset.New(0)
	}
	if !got.IsSuperSet(least) || !m.done[uid].IsSuperSet(got) {
		m.t.Fatalf("%s: %s reads %d tasks of %s (%d tasks), %d are saved and %d finished", m.name, reader, got.Count(), uid, m.count(uid), least.Count(), m.done[uid].Count())
	}
}

// readAsEarlierVersion decodes all pages as versions of the program do that know only coarse parts.
func (m *pageModel) readAsEarlierVersion() map[string]*bitset.BitSet {
	perPart := m.sizes.Present / 16 * 64
	found := map[string]*bitset.BitSet{}
	for uid := range m.jobs {
		found[uid] = bitset.New(0)
	}
	for _, page := range m.pages {
		for name, text := range page.parts {
			job, number, ok := protocol.SplitTask(name)
			if !ok {
				m.t.Fatalf("%s: an earlier version can't read the name %q", m.name, name)
			}
			first := number * perPart
			if m.count(job) <= first {
				continue
			}
			data, err := base64.StdEncoding.DecodeString(text)
			bits := bitset.New(0)
			if err != nil || bits.UnmarshalBinary(data) != nil {
				m.t.Fatalf("%s: an earlier version can't read %q", m.name, name)
			}
			for i, ok := bits.NextSet(0); ok && int(i) < perPart; i, ok = bits.NextSet(i + 1) {
				if first+int(i) < m.count(job) {
					found[job].Set(uint(first) + i)
				}
			}
		}
	}
	return found
}

// checkEarlierVersions checks what earlier versions read: only finished tasks, and all saved tasks of jobs that keep the
// earlier form.
func (m *pageModel) checkEarlierVersions() {
	for uid, got := range m.readAsEarlierVersion() {
		least := bitset.New(0)
		if m.keepsForm(m.jobs[uid]) {
			least = m.saved[uid]
		}
		m.checkRead("an earlier version", uid, got, least)
	}
}

// keepsForm reports whether a job is written as earlier versions do.
func (m *pageModel) keepsForm(j *Job) bool {
	if m.sizes.Lowest == m.sizes.Present {
		return true
	}
	onePart := len(j.Spec.UID) + 16 + (8+(j.Spec.Tasks+63)/64*8+2)/3*4
	return j.Spec.Tasks <= m.sizes.Present/16*64 && onePart <= m.sizes.Lowest
}

// finishTasks finishes some tasks of some jobs and returns those jobs.
func (m *pageModel) finishTasks() (unsaved []*Job) {
	for uid, j := range m.jobs {
		if m.rng.IntN(3) > 0 {
			continue
		}
		for range 1 + m.rng.IntN(30) {
			m.done[uid].Set(uint(m.rng.IntN(j.Spec.Tasks)))
		}
		unsaved = append(unsaved, j)
	}
	return unsaved
}

// save writes pages. Some writes are refused, of some the outcome is unknown, and the owner may crash in between.
func (m *pageModel) save(unsaved []*Job, limit int) {
	for _, p := range m.pageSet.Plan(unsaved, m.find) {
		text, err := json.Marshal(p.Parts)
		if err != nil || len(text) > limit {
			m.t.Fatalf("%s: page of %d bytes, limit %d, error %v", m.name, len(text), limit, err)
		}
		if m.pages[p.Number].version != p.Version {
			m.t.Fatalf("%s: page %d is written under version %d", m.name, p.Number, p.Version)
		}
		outcome := m.rng.IntN(12)
		if outcome == 0 {
			continue // refused
		}
		m.write(p)
		if outcome == 1 {
			m.pageSet.RecordWritten(p.Number, m.revision) // the answer was lost, and the version was read
			continue
		}
		m.pageSet.RecordSaved(p, m.revision)
		for uid, done := range p.Done {
			m.saved[uid].InPlaceUnion(done)
			m.jobs[uid].savedDone.InPlaceUnion(done)
		}
		if outcome == 2 {
			m.pageSet = m.readAll(m.sizes) // the owner crashed
			return
		}
	}
}

// write stores a page and checks what readers find from then on.
func (m *pageModel) write(p Page) {
	m.revision++
	m.pages[p.Number] = storedPage{m.revision, p.Parts}
	for name := range p.Parts {
		if number, _ := strconv.Atoi(name[strings.LastIndexByte(name, '/')+1:]); number >= firstFinePart {
			m.fine++
		}
	}
	m.checkEarlierVersions()
	m.readAll(m.sizes)
}

// TestPagesUnderLoweredLimits has jobs of all sizes start, finish tasks and end. Their pages are written under the
// present limit at first, then by a version that keeps to the lower one. After every write, a new owner finds all saved
// tasks and none that is not finished, an earlier version finds none that is not finished and all those of jobs that
// keep the earlier form, and every page fits.
func TestPagesUnderLoweredLimits(t *testing.T) {
	const steps = 60
	for _, sizes := range []PageSizes{{8 << 10, 2 << 10}, {16 << 10, 2 << 10}, {8 << 10, 1 << 10}, {8 << 10, 8 << 10}} {
		fine := 0
		for seed := range uint64(12) {
			m := &pageModel{t: t, name: fmt.Sprintf("%v, seed %d", sizes, seed), rng: rand.New(rand.NewPCG(seed, 5)), sizes: sizes, pages: map[int]storedPage{},
				jobs: map[string]*Job{}, done: map[string]*bitset.BitSet{}, saved: map[string]*bitset.BitSet{}}
			present := PageSizes{sizes.Present, sizes.Present}
			m.pageSet = NewPageSet(present)
			for step := range steps {
				limit := sizes.Lowest
				if step < steps/3 {
					limit = sizes.Present
				} else if step == steps/3 {
					m.pageSet = m.readAll(sizes) // the upgrade
				}
				m.step(limit)
			}
			m.finish()
			fine += m.fine
		}
		if lowered := sizes.Lowest < sizes.Present; lowered != (fine > 0) {
			t.Errorf("%v: %d fine parts written", sizes, fine)
		}
	}
}

// finish saves all jobs without faults, and checks that one plan suffices for all finished tasks.
func (m *pageModel) finish() {
	var all []*Job
	for _, j := range m.jobs {
		all = append(all, j)
	}
	for range 2 {
		for uid, j := range m.jobs {
			m.done[uid].Set(uint(m.rng.IntN(j.Spec.Tasks)))
		}
		for _, p := range m.pageSet.Plan(all, m.find) {
			m.write(p)
			m.pageSet.RecordSaved(p, m.revision)
			for uid, done := range p.Done {
				m.saved[uid].InPlaceUnion(done)
				m.jobs[uid].savedDone.InPlaceUnion(done)
			}
		}
		for uid := range m.jobs {
			if !m.saved[uid].IsSuperSet(m.done[uid]) {
				m.t.Fatalf("%s: finished tasks of %s are not in the plan", m.name, uid)
			}
		}
	}
}

// step adds, ends or saves jobs.
func (m *pageModel) step(limit int) {
	switch m.rng.IntN(6) {
	case 0, 1:
		m.addJob()
	case 2:
		for uid := range m.jobs {
			if m.rng.IntN(8) == 0 {
				delete(m.jobs, uid)
			}
		}
	default:
		m.save(m.finishTasks(), limit)
	}
}
