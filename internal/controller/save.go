package controller

import (
	"context"
	"errors"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
)

// maxValueBytes is the maximum size of a value to be written to the state service.
func maxValueBytes(s settings.KVStore) int { return int(s.ValueKB * 1024) }

// pageSizes returns the limits on a page of finished tasks. Earlier versions of the program know only the present one.
func pageSizes(s settings.KVStore) jobstate.PageSizes {
	return jobstate.PageSizes{Present: int(s.PresentValueKB() * 1024), Lowest: maxValueBytes(s)}
}

// pagesRetryDelay is the delay before the pages are read again that the state service did not answer.
const pagesRetryDelay = 300 * time.Millisecond

// readPages reads a team's pages and returns the finished tasks of its active jobs.
func (n *Node) readPages(shard *shards.Owned, entries []protocol.Entry) map[string]*bitset.BitSet {
	team, _ := shards.TeamOf(shard.Name())
	done, unreadable := shard.Pages().Read(entries, func(uid string) int {
		if j := n.jobs[uid]; j != nil && j.active && j.spec.Team == team {
			return j.spec.Tasks
		}
		return 0
	})
	for _, page := range unreadable {
		n.log.Error("unreadable page of finished tasks", "key", page.Key, "err", page.Err)
	}
	return done
}

// savePages periodically writes the pages of finished tasks of all owned shards.
func (n *Node) savePages(ctx context.Context) error {
	for sleep(ctx, settings.Seconds(n.options.BitmapIntervalSeconds)) {
		n.mu.Lock()
		if n.entitled(time.Now()) {
			for shard := range n.shards.All() {
				n.saveShard(shard)
			}
		}
		n.mu.Unlock()
	}
	return nil
}

// saveShard starts to write those pages of a shard that lack finished tasks.
func (n *Node) saveShard(shard *shards.Owned) {
	pages, due := shard.BeginSaving()
	if !due {
		return
	}
	control := protocol.Condition{Key: recordKey, Version: n.leadership.RecordVersion()}
	n.group.Go(func() error {
		for _, p := range pages {
			if err := n.savePage(shard, p, control); errors.Is(err, kvstore.ErrTooLarge) {
				n.shrinkPages(shard)
				break
			}
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		shard.Pages().EndSaving()
		return nil
	})
}

// savePage writes one page, provided that the membership record is still the one known here.
func (n *Node) savePage(shard *shards.Owned, p jobstate.Page, control protocol.Condition) error {
	key := shard.Pages().Key(p.Number)
	revision, err := n.kvStore.Commit(n.ctx, kvstore.Update{Deferrable: true,
		Conditions: []protocol.Condition{control, {Key: key, Version: p.Version}},
		Changes:    []protocol.Op{{Set: key, Value: protocol.Encode(p.Parts)}}})
	if err != nil {
		n.log.Debug("finished tasks not written yet", "key", key, "err", err)
		if !errors.Is(err, kvstore.ErrRefused) && !errors.Is(err, kvstore.ErrTooLarge) { // the outcome is unknown, or the page had another version
			n.readPageVersion(shard, p.Number)
		}
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	shard.Pages().MarkSaved(p, revision)
	for uid := range p.Done {
		n.reconcileMachinesOf(shard, uid)
	}
	return nil
}

// shrinkPages makes a shard's pages smaller after one was refused as too large, and reads them again, so that they are
// split.
func (n *Node) shrinkPages(shard *shards.Owned) {
	n.mu.Lock()
	shrunk := shard.Pages().Shrink()
	n.mu.Unlock()
	for shrunk {
		entries, _, err := n.kvStore.List(n.ctx, shards.PagesPrefix(shard.Name()))
		if err == nil {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.readPages(shard, entries)
			shard.Pages().MarkRead()
			return
		}
		if !sleep(n.ctx, pagesRetryDelay) {
			return
		}
	}
}

// readPageVersion reads the version of a page in the state service.
func (n *Node) readPageVersion(shard *shards.Owned, number int) {
	e, err := n.kvStore.Get(n.ctx, shard.Pages().Key(number))
	if err != nil {
		return
	}
	version := uint64(0)
	if e != nil {
		version = e.Version
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	shard.Pages().SetVersion(number, version)
}
