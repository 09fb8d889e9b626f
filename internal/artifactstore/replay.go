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
func (k *Store) replay() (err error) {
	// An open attempt's beginning may have been written again behind entries that belong to it.
	early := map[Attempt][]func(){}
	options := wal.Options{Step: k.opt.Step, SegmentBytes: k.opt.Segment}
	k.log, err = wal.Open(k.opt.Dir, options, wal.Pos{}, func(at wal.Pos, b []byte) error {
		var e entry
		if err := json.Unmarshal(b, &e); err != nil {
			return fmt.Errorf("keeper: entry at %v: %w", at, err)
		}
		switch {
		case e.Kind == kindClosed:
			delete(early, e.Attempt)
		case (e.Kind == kindAppend || e.Kind == kindFile) && k.open[e.Attempt] == nil:
			early[e.Attempt] = append(early[e.Attempt], func() { k.apply(&e, at) })
			return nil
		}
		k.apply(&e, at)
		for _, late := range early[e.Attempt] {
			late()
		}
		delete(early, e.Attempt)
		return nil
	})
	return err
}

// apply carries an entry over to what is known. k.mu is held, or the store is
// being opened.
func (k *Store) apply(e *entry, at wal.Pos) {
	a := k.open[e.Attempt]
	switch e.Kind {
	case kindBegin:
		if a == nil && e.Claim != nil {
			k.open[e.Attempt] = &attempt{
				claim:   *e.Claim,
				touched: k.opt.Now(),
				streams: map[string]*stream{},
				files:   map[string]blob.Digest{},
			}
			k.latest[e.Attempt.task()] = max(k.latest[e.Attempt.task()], e.Attempt.Number)
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
			k.votes[e.Attempt] = k.votes[e.Attempt].add(e.Vote)
		}
	case kindClosed:
		if a != nil {
			k.opt.Blobs.ReleaseSpace(a.claim.Tenant, a.held)
		}
		delete(k.open, e.Attempt)
		delete(k.votes, e.Attempt)
		if e.Settle {
			k.unsettled[e.Attempt] = true
		}
	case kindSettle:
		delete(k.unsettled, e.Attempt)
	}
}

// applyRecords adds an entry's records to their stream. An entry may have been written again further on in the log,
// behind later ones.
func (a *attempt) applyRecords(e *entry, at wal.Pos) {
	s := a.streams[e.Stream]
	if s == nil {
		s = &stream{}
		a.streams[e.Stream] = s
	}
	byFirst := func(p piece, first uint64) int { return cmp.Compare(p.first, first) }
	i, again := slices.BinarySearchFunc(s.pieces, e.First, byFirst)
	if again {
		s.pieces[i].at = at
		return
	}
	s.pieces = slices.Insert(s.pieces, i, piece{e.First, uint64(len(e.Records)), at})
	s.next = max(s.next, e.First+uint64(len(e.Records)))
	for _, r := range e.Records {
		s.bytes += int64(len(r.Data))
		if r.Hole != nil {
			s.lost += r.Hole.Bytes
		}
	}
}
