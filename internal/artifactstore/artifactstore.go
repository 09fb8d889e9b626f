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

// Options configures a Store.
type Options struct {
	Dir             string      // directory of the log
	Blobs           *blob.Store // holds manifests, files and the streams of ended attempts
	Key             []byte      // signs manifests and tokens; 16 bytes or more
	MaxStreams      int         // per attempt; 16 if 0
	MaxFiles        int         // per attempt; 10,000 if 0
	MaxRecordBytes  int         // 64 KiB if 0
	MaxStreamBytes  int64       // 1 GiB if 0
	SegmentBytes    int64       // size of a log segment; the default of package wal if 0
	MaxOpenAttempts int         // 100,000 if 0
	Now             func() time.Time
	Step            func(step string) // called before each durable step; for tests
}

// Store holds the attempts and votes of one replica on its local disk. Its methods are safe for concurrent use.
// Package artifactreplication combines several stores into a replicated service.
type Store struct {
	opt Options
	log *wal.Log

	mu        sync.Mutex
	changed   sync.Cond
	open      map[Attempt]*openAttempt
	votes     map[Attempt]*Vote // of undecided registers; Number 0 is the register of the task's result
	latest    map[string]uint64 // highest attempt begun in this store, by task prefix
	unsettled map[Attempt]bool  // sealed as completed, not yet known whether they are the task's result
	locks     map[Attempt]*attemptLock
	closed    bool
}

// attemptLock serializes the operations on one attempt, so that its entries are logged in the order in which they
// were checked.
type attemptLock struct {
	sync.Mutex
	users int // operations that hold the lock or wait for it
}

// lockAttempt locks an attempt and returns the function that unlocks it. A lock is removed from the map when its last
// user unlocks it.
func (st *Store) lockAttempt(at Attempt) (unlock func()) {
	st.mu.Lock()
	l := st.locks[at]
	if l == nil {
		l = &attemptLock{}
		st.locks[at] = l
	}
	l.users++
	st.mu.Unlock()
	l.Lock()
	return func() {
		l.Unlock()
		st.mu.Lock()
		defer st.mu.Unlock()
		if l.users--; l.users == 0 {
			delete(st.locks, at)
		}
	}
}

// openAttempt is the state of an attempt that has not ended.
type openAttempt struct {
	claim     Claim
	streams   map[string]*openStream
	files     map[string]blob.Digest
	lastWrite time.Time // after a restart the time of the replay, until the next write
	reserved  int64     // bytes reserved for it in the blob store
}

// openStream is the state of a stream of an open attempt.
type openStream struct {
	next    uint64 // number of the next record
	bytes   int64
	lost    int64 // bytes of dropped output
	batches []recordBatch
}

// recordBatch locates the records of one append in the log.
type recordBatch struct {
	first, count uint64
	at           wal.Pos
}

// Record is one entry of a stream: data, or a marker in place of output that was dropped.
type Record struct {
	At      time.Time      `json:"at"`
	Data    []byte         `json:"data,omitempty"`
	Dropped *DroppedOutput `json:"hole,omitempty"`
}

// DroppedOutput describes output that the agent dropped for lack of space.
type DroppedOutput struct {
	Bytes int64     `json:"bytes"`
	From  time.Time `json:"from"`
	To    time.Time `json:"to"`
}

// entry is a record of the store's write-ahead log.
type entry struct {
	Kind          string   `json:"k"`
	Claim         *Claim   `json:"c,omitempty"`
	Attempt       Attempt  `json:"a"`
	Stream        string   `json:"s,omitempty"`
	First         uint64   `json:"n,omitempty"`
	Records       []Record `json:"r,omitempty"`
	Path          string   `json:"p,omitempty"`
	Digest        string   `json:"d,omitempty"`
	Vote          *Vote    `json:"v,omitempty"`
	ResultUnknown bool     `json:"u,omitempty"` // for kindClosed: it is not yet known whether the attempt is the task's result
}

// Kinds of log entries.
const (
	kindBegin   = "begin"
	kindAppend  = "append"
	kindFile    = "file"
	kindVote    = "vote"
	kindClosed  = "closed"  // the attempt has ended, and its end is durable
	kindSettled = "settled" // it is known whether the closed attempt is the task's result
)

// Open opens a store and replays its log. It completes the ends of attempts that an earlier process had begun to
// record.
func Open(opt Options) (*Store, error) {
	if len(opt.Key) < minKeyBytes {
		return nil, fmt.Errorf("%w: the key has %d bytes, at least 16 are required", ErrLimit, len(opt.Key))
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

// minKeyBytes is the minimum length of the signing key.
const minKeyBytes = 16

// setDefaults fills in the options that are not set.
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

// finishInterrupted completes what an earlier process left unfinished: it closes attempts whose end is durable, drops
// the votes of decided registers, and reserves space for the attempts that are still open.
func (st *Store) finishInterrupted(ctx context.Context) error {
	for at := range st.votes {
		if _, decided, err := st.decidedValue(at); err != nil {
			return err
		} else if decided && at.Number == 0 {
			delete(st.votes, at)
		} else if decided && st.open[at] == nil {
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
		st.opt.Blobs.AccountSpace(a.claim.Tenant, a.reserved)
	}
	return nil
}

// Close closes the log and wakes up all waiting readers.
func (st *Store) Close() error {
	st.mu.Lock()
	st.closed = true
	st.mu.Unlock()
	st.changed.Broadcast()
	return st.log.Close()
}

// logEntry appends an entry to the log and then applies it to the state in memory.
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

// Names of references in the blob store. The reference of a sealed or partial attempt keeps its manifest, streams and
// files from being collected. The reference of a task's result keeps the manifest of that attempt. A partial attempt
// ended without a seal and can't be sealed any more.
func sealedName(a Attempt) string { return "sealed/" + a.String() }

func partialName(a Attempt) string { return "partial/" + a.String() }

func finalName(a Attempt) string { return "final/" + a.task() }

// openName is the reference that keeps a file of an open attempt until the attempt ends.
func openName(a Attempt, path string) string { return "open/" + a.String() + "/" + path }

// Begin opens an attempt for a machine and session. Repeating it with the same claim has no effect. Earlier attempts
// of the task keep their own files and streams.
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
		return fmt.Errorf("%w: %d attempts are open", ErrLimit, n)
	}
	return st.logEntry(ctx, &entry{Kind: kindBegin, Claim: &c, Attempt: c.Attempt})
}

// writableAttempt returns an open attempt, and sets the time of its last write, if the claim is the one that began it
// and the attempt is not frozen. The caller holds the attempt's lock.
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

// hasEnded reports whether this store has the end of an attempt, sealed or partial.
func (st *Store) hasEnded(at Attempt) bool {
	_, _, sealed := st.opt.Blobs.Ref(sealedName(at))
	_, _, partial := st.opt.Blobs.Ref(partialName(at))
	return sealed || partial
}

// Append adds records to a stream; first is the number of the first of them. Records that the stream already has are
// skipped. If first is beyond the end of the stream, Append returns a GapError. next is the number of the next
// record expected; all records before it are durable.
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
		return 0, fmt.Errorf("%w: the attempt has %d streams", ErrLimit, count)
	}
	if first > next {
		return next, &GapError{Stream: name, Expected: next, Received: first}
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
		return next, fmt.Errorf("%w: stream %s would have %d bytes", ErrLimit, name, size+more)
	}
	if err := st.opt.Blobs.ReserveSpace(c.Tenant, more); err != nil {
		return next, err
	}
	added := &entry{Kind: kindAppend, Attempt: c.Attempt, Stream: name, First: next, Records: records}
	if err := st.logEntry(ctx, added); err != nil {
		st.opt.Blobs.ReleaseSpace(c.Tenant, more)
		return next, err
	}
	a.reserved += more
	return next + uint64(len(records)), nil
}

// checkRecords returns the total size of records, or ErrLimit if one of them is too long or malformed.
func (st *Store) checkRecords(records []Record) (size int64, err error) {
	for _, r := range records {
		size += int64(len(r.Data))
		if len(r.Data) > st.opt.MaxRecordBytes || (r.Dropped != nil && (r.Dropped.Bytes < 0 || len(r.Data) > 0)) {
			return 0, fmt.Errorf("%w: malformed record, or too long with %d bytes", ErrLimit, len(r.Data))
		}
	}
	return size, nil
}

// Attach adds a file whose content the blob store already holds for the same tenant. If the path is attached already,
// its content is replaced.
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
	_, replaced := a.files[path]
	count := len(a.files)
	st.mu.Unlock()
	if !replaced && count >= st.opt.MaxFiles {
		return fmt.Errorf("%w: the attempt has %d files", ErrLimit, count)
	}
	// A reference of its own keeps the content until the attempt ends.
	if err := st.opt.Blobs.SetRef(ctx, c.Tenant, openName(c.Attempt, path), d); err != nil {
		return err
	}
	return st.logEntry(ctx, &entry{Kind: kindFile, Attempt: c.Attempt, Path: path, Digest: d.String()})
}

// Compact frees the log space of closed attempts: as long as at most half of the oldest segment is live, it appends the
// live entries of that segment to the log again and removes the segment.
func (st *Store) Compact(ctx context.Context) error {
	return st.log.Compact(ctx, func(_ wal.Pos, b []byte) (func() error, error) {
		var e entry
		if err := json.Unmarshal(b, &e); err != nil {
			return nil, err
		}
		st.mu.Lock()
		defer st.mu.Unlock()
		live := st.open[e.Attempt] != nil
		switch e.Kind {
		case kindClosed:
			live = st.unsettled[e.Attempt]
		case kindVote:
			live = st.votes[e.Attempt].isCurrent(e.Vote)
		case kindSettled:
			live = false
		}
		if !live {
			return nil, nil
		}
		return func() error { return st.logEntry(ctx, &e) }, nil
	}, nil)
}
