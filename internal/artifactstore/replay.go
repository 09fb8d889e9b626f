package artifactstore

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"topazhollow/internal/blob"
	"topazhollow/internal/wal"
)

// replay opens the log and applies its entries.
func (st *Store) replay() (err error) {
	// Compaction may have moved the begin entry of an open attempt behind other entries of the attempt. Those are
	// deferred until the begin entry is read.
	deferred := map[Attempt][]func(){}
	options := wal.Options{Step: st.opt.Step, SegmentBytes: st.opt.SegmentBytes}
	st.log, err = wal.Open(st.opt.Dir, options, wal.Pos{}, func(at wal.Pos, b []byte) error {
		var e entry
		if err := json.Unmarshal(b, &e); err != nil {
			return fmt.Errorf("artifactstore: malformed log entry at %v: %w", at, err)
		}
		switch {
		case e.Kind == kindClosed:
			delete(deferred, e.Attempt)
		case (e.Kind == kindAppend || e.Kind == kindFile) && st.open[e.Attempt] == nil:
			deferred[e.Attempt] = append(deferred[e.Attempt], func() { st.apply(&e, at) })
			return nil
		}
		st.apply(&e, at)
		for _, applyDeferred := range deferred[e.Attempt] {
			applyDeferred()
		}
		delete(deferred, e.Attempt)
		return nil
	})
	return err
}

// apply applies a log entry to the state in memory. The caller holds st.mu, or the store is being opened.
func (st *Store) apply(e *entry, at wal.Pos) {
	a := st.open[e.Attempt]
	switch e.Kind {
	case kindBegin:
		if a == nil && e.Claim != nil {
			st.open[e.Attempt] = &openAttempt{
				claim:     *e.Claim,
				lastWrite: st.opt.Now(),
				streams:   map[string]*openStream{},
				files:     map[string]blob.Digest{},
			}
			st.latest[e.Attempt.task()] = max(st.latest[e.Attempt.task()], e.Attempt.Number)
		}
	case kindAppend:
		if a != nil {
			a.applyRecords(e, at)
		}
	case kindFile:
		if d, err := blob.Parse(e.Digest); a != nil && err == nil {
			a.files[e.Path] = d
		}
	case kindVote:
		if e.Vote != nil {
			st.votes[e.Attempt] = st.votes[e.Attempt].merge(e.Vote)
		}
	case kindClosed:
		if a != nil {
			st.opt.Blobs.ReleaseSpace(a.claim.Tenant, a.reserved)
		}
		delete(st.open, e.Attempt)
		delete(st.votes, e.Attempt)
		if e.ResultUnknown {
			st.unsettled[e.Attempt] = true
		}
	case kindSettled:
		delete(st.unsettled, e.Attempt)
	}
}

// applyRecords adds the batch of an append entry to its stream. Compaction may have appended the entry to
// the log again, behind later ones; then only its position changes.
func (a *openAttempt) applyRecords(e *entry, at wal.Pos) {
	s := a.streams[e.Stream]
	if s == nil {
		s = &openStream{}
		a.streams[e.Stream] = s
	}
	byFirst := func(p recordBatch, first uint64) int { return cmp.Compare(p.first, first) }
	i, rewritten := slices.BinarySearchFunc(s.batches, e.First, byFirst)
	if rewritten {
		s.batches[i].at = at
		return
	}
	s.batches = slices.Insert(s.batches, i, recordBatch{e.First, uint64(len(e.Records)), at})
	s.next = max(s.next, e.First+uint64(len(e.Records)))
	for _, r := range e.Records {
		s.bytes += int64(len(r.Data))
		if r.Dropped != nil {
			s.lost += r.Dropped.Bytes
		}
	}
}
