package artifactstore

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"topazhollow/internal/blob"
	"topazhollow/internal/protocol"
	"topazhollow/internal/wal"
)

// Options are a store's choices.
type Options struct {
	Dir             string
	Blobs           *blob.Store
	Key             []byte // of the manifests' codes; 16 bytes or more
	MaxStreams      int    // of one attempt; 16 if 0
	MaxFiles        int    // of one attempt; 10,000 if 0
	MaxRecordBytes  int    // bytes of one record; 64 KiB if 0
	MaxStreamBytes  int64  // bytes of one stream; 1 GiB if 0
	SegmentBytes    int64  // bytes of the log's segments; as package wal has it if 0
	MaxOpenAttempts int    // attempts that are not sealed; 100,000 if 0
	Now             func() time.Time
	Step            func(step string) // told of each durable step, for tests
}

// Store is one store's own part: what it holds on its disk, and its votes. Its
// methods may be called at the same time. What several replicas promise together is
// package replicas' matter.
type Store struct {
	opt Options
	log *wal.Log

	mu        sync.Mutex
	changed   sync.Cond
	open      map[Attempt]*openAttempt
	votes     map[Attempt]*Vote // of what is not decided; Number 0 stands for the task's result
	latest    map[string]uint64 // highest attempt begun, of tasks with open attempts
	unsettled map[Attempt]bool  // sealed and completed, and not known whether they are the result
	locks     map[Attempt]*attemptLock
	closed    bool
}

// gate is held while something is written for an attempt, so that order is kept.
type attemptLock struct {
	sync.Mutex
	users int
}

// enter takes an attempt's gate; leave gives it back.
func (st *Store) lockAttempt(at Attempt) (leave func()) {
	st.mu.Lock()
	g := st.locks[at]
	if g == nil {
		g = &attemptLock{}
		st.locks[at] = g
	}
	g.users++
	st.mu.Unlock()
	g.Lock()
	return func() {
		g.Unlock()
		st.mu.Lock()
		defer st.mu.Unlock()
		if g.users--; g.users == 0 {
			delete(st.locks, at)
		}
	}
}

// attempt is one that has not ended.
type openAttempt struct {
	claim     Claim
	streams   map[string]*openStream
	files     map[string]blob.Digest
	lastWrite time.Time // when something last came for it
	reserved  int64     // room kept for it in the store of blobs
}

// stream is what is known of an open attempt's stream.
type openStream struct {
	next    uint64 // number of the next record
	bytes   int64
	lost    int64
	batches []recordBatch
}

// piece is records that came together.
type recordBatch struct {
	first, count uint64
	at           wal.Pos
}

// Record is one entry of a stream: data, or a hole where output was dropped.
type Record struct {
	At      time.Time      `json:"at"`
	Data    []byte         `json:"data,omitempty"`
	Dropped *DroppedOutput `json:"hole,omitempty"`
}

// Hole marks output that an agent had no room to keep.
type DroppedOutput struct {
	Bytes int64     `json:"bytes"`
	From  time.Time `json:"from"`
	To    time.Time `json:"to"`
}

// entry is a record of the store's own log.
type entry struct {
	Kind    string   `json:"k"`
	Claim   *Claim   `json:"c,omitempty"`
	Attempt Attempt  `json:"a"`
	Stream  string   `json:"s,omitempty"`
	First   uint64   `json:"n,omitempty"`
	Records []Record `json:"r,omitempty"`
	Path    string   `json:"p,omitempty"`
	Digest  string   `json:"d,omitempty"`
	Vote    *Vote    `json:"v,omitempty"`
	Settle  bool     `json:"u,omitempty"` // of a closed one: whether it is the result is open
}

// Kinds of entries.
const (
	kindBegin  = "begin"
	kindAppend = "append"
	kindFile   = "file"
	kindVote   = "vote"
	kindClosed = "closed"  // ended, and that is durable
	kindSettle = "settled" // it is known whether a closed one is the result
)

// Open opens a store's directory. What a process that ended had begun to seal is
// seen through.
func Open(opt Options) (*Store, error) {
	if len(opt.Key) < minKeyBytes {
		return nil, fmt.Errorf("%w: a key of %d bytes, 16 are needed", ErrLimit, len(opt.Key))
	}
	opt.setDefaults()
	st := &Store{
		opt:       opt,
		open:      map[Attempt]*openAttempt{},
		votes:     map[Attempt]*Vote{},
		latest:    map[string]uint64{},
		unsettled: map[Attempt]bool{},
		locks:     map[Attempt]*attemptLock{},
	}
	st.changed.L = &st.mu
	if err := st.replay(); err != nil {
		return nil, err
	}
	if err := st.finishInterrupted(context.Background()); err != nil {
		st.log.Close()
		return nil, err
	}
	return st, nil
}

// minKeyBytes is the shortest key that tokens may be made with.
const minKeyBytes = 16

// setDefaults replaces what is not given.
func (o *Options) setDefaults() {
	for _, bound := range []struct {
		value     *int
		unlessSet int
	}{
		{&o.MaxStreams, 16},
		{&o.MaxFiles, 10_000},
		{&o.MaxRecordBytes, 64 << 10},
		{&o.MaxOpenAttempts, 100_000},
	} {
		if *bound.value <= 0 {
			*bound.value = bound.unlessSet
		}
	}
	if o.MaxStreamBytes <= 0 {
		o.MaxStreamBytes = 1 << 30
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Step == nil {
		o.Step = func(string) {}
	}
}

// tidy sees through what a process that ended had begun.
func (st *Store) finishInterrupted(ctx context.Context) error {
	for at := range st.votes {
		if _, there, err := st.decidedValue(at); err != nil {
			return err
		} else if there && at.Number == 0 {
			delete(st.votes, at)
		} else if there && st.open[at] == nil {
			if err := st.closeAttempt(ctx, at); err != nil {
				return err
			}
		}
	}
	for _, at := range slices.Collect(maps.Keys(st.open)) {
		if st.hasEnded(at) {
			if err := st.closeAttempt(ctx, at); err != nil {
				return err
			}
			continue
		}
		a := st.open[at]
		for _, s := range a.streams {
			a.reserved += s.bytes
		}
		st.opt.Blobs.Held(a.claim.Tenant, a.reserved)
	}
	return nil
}

// Close ends the store.
func (st *Store) Close() error {
	st.mu.Lock()
	st.closed = true
	st.mu.Unlock()
	st.changed.Broadcast()
	return st.log.Close()
}

// write makes an entry durable and carries it over.
func (st *Store) logEntry(ctx context.Context, e *entry) error {
	at, err := st.log.Append(context.WithoutCancel(ctx), protocol.Encode(e))
	if err != nil {
		return err
	}
	st.mu.Lock()
	st.apply(e, at[0])
	st.mu.Unlock()
	st.changed.Broadcast()
	return nil
}

// Names of references in the store of blobs. A sealed attempt's keeps its manifest,
// streams and files; a final one's keeps the manifest a second time.
// A shelved one is kept like a sealed one, but can't be sealed any more.
func sealedName(a Attempt) string { return "sealed/" + a.String() }

func partialName(a Attempt) string { return "partial/" + a.String() }

func finalName(a Attempt) string { return "final/" + a.task() }

// openName is the reference that keeps a file of an attempt until its seal.
func openName(a Attempt, path string) string { return "open/" + a.String() + "/" + path }

// Begin opens an attempt for its machine. Repeated by the same it has no effect.
// The files and streams of an earlier attempt stay that attempt's.
func (st *Store) Begin(ctx context.Context, c Claim) error {
	if err := c.check(); err != nil {
		return err
	}
	if c.Tenant == "" || c.Machine == "" || len(c.Tenant)+len(c.Machine) > 400 {
		return fmt.Errorf("%w: tenant %.100q, machine %.100q", ErrName, c.Tenant, c.Machine)
	}
	defer st.lockAttempt(c.Attempt)()
	st.mu.Lock()
	a, n := st.open[c.Attempt], len(st.open)
	st.mu.Unlock()
	if a != nil {
		if a.claim != c {
			return ErrClaim
		}
		return nil
	}
	if st.hasEnded(c.Attempt) {
		return ErrSealed
	}
	if n >= st.opt.MaxOpenAttempts {
		return fmt.Errorf("%w: %d open attempts", ErrLimit, n)
	}
	return st.logEntry(ctx, &entry{Kind: kindBegin, Claim: &c, Attempt: c.Attempt})
}

// mine finds an open attempt, for the machine and session that began it. Its gate is
// held.
func (st *Store) writableAttempt(c Claim) (*openAttempt, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	a := st.open[c.Attempt]
	switch v := st.votes[c.Attempt]; {
	case a == nil:
		if st.hasEnded(c.Attempt) {
			return nil, ErrSealed
		}
		return nil, ErrUnknown
	case a.claim != c:
		return nil, ErrClaim
	case v.frozen():
		return nil, ErrFrozen
	}
	a.lastWrite = st.opt.Now()
	return a, nil
}

// over says whether an attempt is sealed or shelved.
func (st *Store) hasEnded(at Attempt) bool {
	_, _, sealed := st.opt.Blobs.Ref(sealedName(at))
	_, _, shelved := st.opt.Blobs.Ref(partialName(at))
	return sealed || shelved
}

// Append adds records to a stream, the first of them under a number. Records that
// are there already have no second effect; a number behind the end is a GapError.
// next is the number of the record wanted next; all before it are durable.
func (st *Store) Append(ctx context.Context, c Claim, name string, first uint64, records []Record) (next uint64, err error) {
	if err := CheckStream(name); err != nil {
		return 0, err
	}
	defer st.lockAttempt(c.Attempt)()
	a, err := st.writableAttempt(c)
	if err != nil {
		return 0, err
	}
	st.mu.Lock()
	s := a.streams[name]
	count, size := len(a.streams), int64(0)
	if s != nil {
		next, size = s.next, s.bytes
	}
	st.mu.Unlock()
	if s == nil && count >= st.opt.MaxStreams {
		return 0, fmt.Errorf("%w: %d streams", ErrLimit, count)
	}
	if first > next {
		return next, &GapError{Stream: name, Want: next, Have: first}
	}
	if first+uint64(len(records)) <= next {
		return next, nil
	}
	records = records[next-first:]
	more, err := st.checkRecords(records)
	if err != nil {
		return next, err
	}
	if size+more > st.opt.MaxStreamBytes {
		return next, fmt.Errorf("%w: stream %s of %d bytes", ErrLimit, name, size+more)
	}
	if err := st.opt.Blobs.Hold(c.Tenant, more); err != nil {
		return next, err
	}
	added := &entry{Kind: kindAppend, Attempt: c.Attempt, Stream: name, First: next, Records: records}
	if err := st.logEntry(ctx, added); err != nil {
		st.opt.Blobs.Release(c.Tenant, more)
		return next, err
	}
	a.reserved += more
	return next + uint64(len(records)), nil
}

// sizeOf is how many bytes records have; ErrTooMuch says that one is too long or malformed.
func (st *Store) checkRecords(records []Record) (size int64, err error) {
	for _, r := range records {
		size += int64(len(r.Data))
		if len(r.Data) > st.opt.MaxRecordBytes || (r.Dropped != nil && (r.Dropped.Bytes < 0 || len(r.Data) > 0)) {
			return 0, fmt.Errorf("%w: a record of %d bytes", ErrLimit, len(r.Data))
		}
	}
	return size, nil
}

// Attach adds a file, whose content the store of blobs has from the same tenant. A
// path that was attached before gets the new content.
func (st *Store) Attach(ctx context.Context, c Claim, path string, d blob.Digest) error {
	if err := CheckPath(path); err != nil {
		return err
	}
	defer st.lockAttempt(c.Attempt)()
	a, err := st.writableAttempt(c)
	if err != nil {
		return err
	}
	st.mu.Lock()
	_, again := a.files[path]
	count := len(a.files)
	st.mu.Unlock()
	if !again && count >= st.opt.MaxFiles {
		return fmt.Errorf("%w: %d files", ErrLimit, count)
	}
	// Until the seal a reference of its own keeps the content.
	if err := st.opt.Blobs.SetRef(ctx, c.Tenant, openName(c.Attempt, path), d); err != nil {
		return err
	}
	return st.logEntry(ctx, &entry{Kind: kindFile, Attempt: c.Attempt, Path: path, Digest: d.String()})
}

// Trim gives back the log's space that closed attempts took: first segments of which
// at most half lives on, which is written again at the end.
func (st *Store) Compact(ctx context.Context) error {
	return st.log.Compact(ctx, func(_ wal.Pos, b []byte) (func() error, error) {
		var e entry
		if err := json.Unmarshal(b, &e); err != nil {
			return nil, err
		}
		st.mu.Lock()
		defer st.mu.Unlock()
		alive := st.open[e.Attempt] != nil
		switch e.Kind {
		case kindClosed:
			alive = st.unsettled[e.Attempt]
		case kindVote:
			alive = st.votes[e.Attempt].isCurrent(e.Vote)
		case kindSettle:
			alive = false
		}
		if !alive {
			return nil, nil
		}
		return func() error { return st.logEntry(ctx, &e) }, nil
	}, nil)
}
