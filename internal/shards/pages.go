package shards

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/bits-and-blooms/bitset"
	"github.com/cespare/xxhash/v2"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// PagesPrefix returns the key prefix of a shard's pages of finished tasks. It contains a hash of the shard's name,
// because keys may not contain spaces and are limited to 200 bytes.
func PagesPrefix(shard string) string { return fmt.Sprintf("b/%016x/", xxhash.Sum64String(shard)) }

// Pages tracks the pages in the state service that store a team's finished tasks.
type Pages struct {
	shard  string
	team   *jobstate.Team
	sizes  jobstate.PageSizes
	set    *jobstate.PageSet
	read   bool // set matches the state service
	saving bool
}

// Key returns the key of one page.
func (p *Pages) Key(number int) string { return PagesPrefix(p.shard) + strconv.Itoa(number) }

// UnreadablePage is a page of finished tasks that could not be decoded.
type UnreadablePage struct {
	Key string
	Err error
}

// Read decodes the pages stored in the state service and returns the finished tasks by job. taskCount returns the
// number of tasks of an active job of the team, and 0 for other jobs.
func (p *Pages) Read(entries []protocol.Entry, taskCount jobstate.TaskCount) (
	done map[string]*bitset.BitSet, unreadable []UnreadablePage) {
	done = map[string]*bitset.BitSet{}
	for _, e := range entries {
		if err := p.readPage(e, taskCount, done); err != nil {
			unreadable = append(unreadable, UnreadablePage{e.Key, err})
		}
	}
	return done, unreadable
}

// readPage decodes one page and adds its finished tasks to done.
func (p *Pages) readPage(e protocol.Entry, taskCount jobstate.TaskCount, done map[string]*bitset.BitSet) error {
	number, err := strconv.Atoi(strings.TrimPrefix(e.Key, PagesPrefix(p.shard)))
	if err != nil {
		return err
	}
	var parts map[string]string
	if err := json.Unmarshal(e.Value, &parts); err != nil {
		return err
	}
	return p.set.Read(number, e.Version, parts, taskCount, done)
}

// AreRead reports whether all pages were read from the state service, and so may be written.
func (p *Pages) AreRead() bool { return p.read }

// MarkRead records that all pages were read.
func (p *Pages) MarkRead() { p.read = true }

// beginSaving returns the pages to write now. due is false if nothing is unsaved, or if the pages have not been read
// yet or are already being written.
func (p *Pages) beginSaving() (pages []jobstate.Page, due bool) {
	if !p.read || p.saving {
		return nil, false
	}
	unsaved := p.team.Unsaved()
	if len(unsaved) == 0 {
		return nil, false
	}
	p.saving = true
	return p.set.Plan(unsaved, p.team.FinishedTasks), true
}

// SetVersion records the version in the state service of a page whose write failed or may have failed.
func (p *Pages) SetVersion(number int, version uint64) { p.set.RecordWritten(number, version) }

// MarkSaved records that a page was written under the given version.
func (p *Pages) MarkSaved(page jobstate.Page, version uint64) {
	p.set.RecordSaved(page, version)
	for uid, done := range page.Done {
		p.team.Job(uid).RecordSaved(done)
	}
}

// Shrink halves the size of pages after the state service refused one as too large. The pages must be read again then;
// until they are, none is written. It returns false if pages can't be smaller.
func (p *Pages) Shrink() bool {
	sizes, ok := p.sizes.Halved()
	if ok {
		p.sizes, p.set, p.read = sizes, jobstate.NewPageSet(sizes), false
	}
	return ok
}

// EndSaving records that no page is being written any more.
func (p *Pages) EndSaving() { p.saving = false }
