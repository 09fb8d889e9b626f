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

// PagesPrefix is the prefix of the keys of a shard's pages of finished tasks. Shards go by a hash, since a key takes no
// spaces and 200 bytes at most.
func PagesPrefix(shard string) string { return fmt.Sprintf("b/%016x/", xxhash.Sum64String(shard)) }

// PageKey is the key of one page of the shard.
func (o *Owned) PageKey(number int) string { return PagesPrefix(o.name) + strconv.Itoa(number) }

// UnreadablePage is a page of finished tasks that could not be read.
type UnreadablePage struct {
	Key string
	Err error
}

// ReadPages takes in the shard's pages as the state service has them, and gives the finished tasks by job. taskCount is
// the number of tasks of an active job of the team, 0 for others.
func (o *Owned) ReadPages(entries []protocol.Entry, taskCount func(uid string) int) (done map[string]*bitset.BitSet, unreadable []UnreadablePage) {
	done = map[string]*bitset.BitSet{}
	for _, e := range entries {
		if err := o.readPage(e, taskCount, done); err != nil {
			unreadable = append(unreadable, UnreadablePage{e.Key, err})
		}
	}
	return done, unreadable
}

// readPage takes in one page and adds its finished tasks to those given by job.
func (o *Owned) readPage(e protocol.Entry, taskCount func(uid string) int, done map[string]*bitset.BitSet) error {
	number, err := strconv.Atoi(strings.TrimPrefix(e.Key, PagesPrefix(o.name)))
	if err != nil {
		return err
	}
	var parts map[string]string
	if err := json.Unmarshal(e.Value, &parts); err != nil {
		return err
	}
	return o.pages.Read(number, e.Version, parts, taskCount, done)
}

// PagesRead says whether the pages hold what the state service has, and so may be written.
func (o *Owned) PagesRead() bool { return o.pagesRead }

// MarkPagesRead notes that all pages were read.
func (o *Owned) MarkPagesRead() { o.pagesRead = true }

// BeginSaving gives the pages that are to be written now. due is false if nothing is unsaved, or if the shard's pages
// cannot be written yet or are being written. The caller ends a saving that is due with SavingEnded.
func (o *Owned) BeginSaving() (pages []jobstate.Page, due bool) {
	if o.phase != Ready || !o.pagesRead || o.saving {
		return nil, false
	}
	unsaved := o.team.Unsaved()
	if len(unsaved) == 0 {
		return nil, false
	}
	o.saving = true
	return o.pages.Plan(unsaved, o.team.Finished), true
}

// PageVersionRead notes the version of a page in the state service whose write failed or may have.
func (o *Owned) PageVersionRead(number int, version uint64) { o.pages.Written(number, version) }

// PageSaved notes that a page was written under a version.
func (o *Owned) PageSaved(p jobstate.Page, version uint64) {
	o.pages.Written(p.Number, version)
	for uid, done := range p.Done {
		o.team.Saved(uid, done)
	}
}

// SavingEnded notes that no page of the shard is being written any more.
func (o *Owned) SavingEnded() { o.saving = false }
