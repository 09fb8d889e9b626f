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

// PagesPrefix is the prefix of the keys of a shard's pages of finished tasks. Shards go by a hash, since a key
// takes no spaces and 200 bytes at most.
func PagesPrefix(shard string) string { return fmt.Sprintf("b/%016x/", xxhash.Sum64String(shard)) }

// Pages is the pages on which the state service keeps a team's finished tasks.
type Pages struct {
	shard  string
	team   *jobstate.Team
	set    *jobstate.PageSet
	read   bool // set has what the state service has
	saving bool
}

// Key is the key of one page.
func (p *Pages) Key(number int) string { return PagesPrefix(p.shard) + strconv.Itoa(number) }

// UnreadablePage is a page of finished tasks that could not be read.
type UnreadablePage struct {
	Key string
	Err error
}

// Read takes in the pages as the state service has them, and gives the finished tasks by job. taskCount is
// the number of tasks of an active job of the team, 0 for others.
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

// readPage takes in one page and adds its finished tasks to those given by job.
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

// AreRead says whether the pages hold what the state service has, and so may be written.
func (p *Pages) AreRead() bool { return p.read }

// MarkRead notes that all pages were read.
func (p *Pages) MarkRead() { p.read = true }

// beginSaving gives the pages that are to be written now; due is false if nothing is unsaved, or if the pages were
// not read yet or are being written.
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

// SetVersion notes the version of a page in the state service whose write failed or may have.
func (p *Pages) SetVersion(number int, version uint64) { p.set.Written(number, version) }

// MarkSaved notes that a page was written under a version.
func (p *Pages) MarkSaved(page jobstate.Page, version uint64) {
	p.set.Written(page.Number, version)
	for uid, done := range page.Done {
		p.team.Job(uid).RecordSaved(done)
	}
}

// EndSaving notes that no page is being written any more.
func (p *Pages) EndSaving() { p.saving = false }
