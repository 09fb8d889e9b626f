package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/cespare/xxhash/v2"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// maxValueBytes is what one value of the state service may take.
func maxValueBytes(s settings.State) int { return int(s.ValueKB * 1024) }

// pagesPrefix is the prefix of an item's pages of finished tasks. Items go by a
// hash, since a key takes no spaces and 200 bytes at most.
func pagesPrefix(item string) string { return fmt.Sprintf("b/%016x/", xxhash.Sum64String(item)) }

// readPages takes a team's pages into its book and gives the finished tasks of
// its active jobs.
func (n *Node) readPages(it *shard, entries []protocol.Entry) map[string]*bitset.BitSet {
	team, _ := teamOf(it.name)
	done := map[string]*bitset.BitSet{}
	tasks := func(uid string) int {
		if j := n.jobs[uid]; j != nil && j.active && j.spec.Team == team {
			return j.spec.Tasks
		}
		return 0
	}
	for _, e := range entries {
		number, err := strconv.Atoi(strings.TrimPrefix(e.Key, pagesPrefix(it.name)))
		var parts map[string]string
		if err == nil {
			err = json.Unmarshal(e.Value, &parts)
		}
		if err == nil {
			err = it.pages.Read(number, e.Version, parts, tasks, done)
		}
		if err != nil {
			n.log.Error("unreadable page of finished tasks", "key", e.Key, "err", err)
		}
	}
	return done
}

// savePages writes pages of finished tasks, paced.
func (n *Node) savePages(ctx context.Context) error {
	for pause(ctx, settings.Seconds(n.options.BitmapEvery)) {
		n.mu.Lock()
		if n.entitled(time.Now()) {
			for _, it := range n.shards {
				if it.phase == shardReady && it.pagesRead && !it.saving {
					n.saveShard(it)
				}
			}
		}
		n.mu.Unlock()
	}
	return nil
}

func (n *Node) saveShard(it *shard) {
	unsaved := it.team.Unsaved()
	if len(unsaved) == 0 {
		return
	}
	pages := it.pages.Plan(unsaved, it.team.Finished)
	control := protocol.Condition{Key: controlKey, Version: n.recordVersion}
	it.saving = true
	n.group.Go(func() error {
		for _, p := range pages {
			n.savePage(it, p, control)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		it.saving = false
		return nil
	})
}

func (n *Node) savePage(it *shard, p jobstate.Page, control protocol.Condition) {
	key := pagesPrefix(it.name) + strconv.Itoa(p.Number)
	revision, err := n.kvStore.Commit(n.ctx, kvstore.Update{Later: true,
		Guards: []protocol.Condition{control, {Key: key, Version: p.Version}},
		Ops:    []protocol.Op{{Set: key, Value: protocol.Encode(p.Parts)}}})
	if err != nil {
		n.log.Debug("finished tasks not written yet", "key", key, "err", err)
		if errors.Is(err, kvstore.ErrRefused) {
			return
		}
		// A write whose outcome is open, or that met another version.
		e, err := n.kvStore.Get(n.ctx, key)
		if err != nil {
			return
		}
		revision = 0
		if e != nil {
			revision = e.Version
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	it.pages.Written(p.Number, revision)
	if err != nil {
		return
	}
	for uid, done := range p.Done {
		it.team.Saved(uid, done)
		n.reconcileMachinesOf(it, uid)
	}
}
