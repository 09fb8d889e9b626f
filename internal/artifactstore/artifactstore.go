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
	Dir       string
	Blobs     *blob.Store
	Key       []byte // of the manifests' codes; 16 bytes or more
	Streams   int    // of one attempt; 16 if 0
	Files     int    // of one attempt; 10,000 if 0
	Record    int    // bytes of one record; 64 KiB if 0
	StreamMax int64  // bytes of one stream; 1 GiB if 0
	Segment   int64  // bytes of the log's segments; as package wal has it if 0
	Open      int    // attempts that are not sealed; 100,000 if 0
	Now       func() time.Time
	Step      func(step string) // told of each durable step, for tests
}

// Store is one store's own part: what it holds on its disk, and its votes. Its
// methods may be called at the same time. What several replicas promise together is
// package replicas' matter.
type Store struct {
	opt Options
	log *wal.Log

	mu        sync.Mutex
	changed   sync.Cond
	open      map[Attempt]*attempt
	votes     map[Attempt]*Vote // of what is not decided; Number 0 stands for the task's result
	latest    map[string]uint64 // highest attempt begun, of tasks with open attempts
	unsettled map[Attempt]bool  // sealed and completed, and not known whether they are the result
	gates     map[Attempt]*gate
	closed    bool
}

// gate is held while something is written for an attempt, so that order is kept.
type gate struct {
	sync.Mutex
	users int
}

// enter takes an attempt's gate; leave gives it back.
func (k *Store) enter(at Attempt) (leave func()) {
	k.mu.Lock()
	g := k.gates[at]
	if g == nil {
		g = &gate{}
		k.gates[at] = g
	}
	g.users++
	k.mu.Unlock()
	g.Lock()
	return func() {
		g.Unlock()
		k.mu.Lock()
		defer k.mu.Unlock()
		if g.users--; g.users == 0 {
			delete(k.gates, at)
		}
	}
}

// attempt is one that has not ended.
type attempt struct {
	claim   Claim
	streams map[string]*stream
	files   map[string]blob.Digest
	touched time.Time // when something last came for it
	held    int64     // room kept for it in the store of blobs
}

// stream is what is known of an open attempt's stream.
type stream struct {
	next   uint64 // number of the next record
	bytes  int64
	lost   int64
	pieces []piece
}

// piece is records that came together.
type piece struct {
	first, count uint64
	at           wal.Pos
}

// Record is one entry of a stream: data, or a hole where output was dropped.
type Record struct {
	At   time.Time `json:"at"`
	Data []byte    `json:"data,omitempty"`
	Hole *Hole     `json:"hole,omitempty"`
}

// Hole marks output that an agent had no room to keep.
type Hole struct {
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
		return nil, fmt.Errorf("%w: a key of %d bytes, 16 are needed", ErrTooMuch, len(opt.Key))
	}
	opt.setDefaults()
	k := &Store{
		opt:       opt,
		open:      map[Attempt]*attempt{},
		votes:     map[Attempt]*Vote{},
		latest:    map[string]uint64{},
		unsettled: map[Attempt]bool{},
		gates:     map[Attempt]*gate{},
	}
	k.changed.L = &k.mu
	if err := k.replay(); err != nil {
		return nil, err
	}
	if err := k.tidy(context.Background()); err != nil {
		k.log.Close()
		return nil, err
	}
	return k, nil
}

// minKeyBytes is the shortest key that tokens may be made with.
const minKeyBytes = 16

// setDefaults replaces what is not given.
func (o *Options) setDefaults() {
	for _, bound := range []struct {
		value     *int
		unlessSet int
	}{
		{&o.Streams, 16},
		{&o.Files, 10_000},
		{&o.Record, 64 << 10},
		{&o.Open, 100_000},
	} {
		if *bound.value <= 0 {
			*bound.value = bound.unlessSet
		}
	}
	if o.StreamMax <= 0 {
		o.StreamMax = 1 << 30
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Step == nil {
		o.Step = func(string) {}
	}
}

// tidy sees through what a process that ended had begun.
func (k *Store) tidy(ctx context.Context) error {
	for at := range k.votes {
		if _, there, err := k.decided(at); err != nil {
			return err
		} else if there && at.Number == 0 {
			delete(k.votes, at)
		} else if there && k.open[at] == nil {
			if err := k.close(ctx, at); err != nil {
				return err
			}
		}
	}
	for _, at := range slices.Collect(maps.Keys(k.open)) {
		if k.over(at) {
			if err := k.close(ctx, at); err != nil {
				return err
			}
			continue
		}
		a := k.open[at]
		for _, s := range a.streams {
			a.held += s.bytes
		}
		k.opt.Blobs.AccountSpace(a.claim.Tenant, a.held)
	}
	return nil
}

// Close ends the store.
func (k *Store) Close() error {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.changed.Broadcast()
	return k.log.Close()
}

// write makes an entry durable and carries it over.
func (k *Store) write(ctx context.Context, e *entry) error {
	at, err := k.log.Append(context.WithoutCancel(ctx), protocol.Encode(e))
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.apply(e, at[0])
	k.mu.Unlock()
	k.changed.Broadcast()
	return nil
}

// Names of references in the store of blobs. A sealed attempt's keeps its manifest,
// streams and files; a final one's keeps the manifest a second time.
// A shelved one is kept like a sealed one, but can't be sealed any more.
func sealedName(a Attempt) string { return "sealed/" + a.String() }

func shelvedName(a Attempt) string { return "partial/" + a.String() }

func finalName(a Attempt) string { return "final/" + a.task() }

// openName is the reference that keeps a file of an attempt until its seal.
func openName(a Attempt, path string) string { return "open/" + a.String() + "/" + path }

// Begin opens an attempt for its machine. Repeated by the same it has no effect.
// The files and streams of an earlier attempt stay that attempt's.
func (k *Store) Begin(ctx context.Context, c Claim) error {
	if err := c.check(); err != nil {
		return err
	}
	if c.Tenant == "" || c.Machine == "" || len(c.Tenant)+len(c.Machine) > 400 {
		return fmt.Errorf("%w: tenant %.100q, machine %.100q", ErrName, c.Tenant, c.Machine)
	}
	defer k.enter(c.Attempt)()
	k.mu.Lock()
	a, n := k.open[c.Attempt], len(k.open)
	k.mu.Unlock()
	if a != nil {
		if a.claim != c {
			return ErrClaim
		}
		return nil
	}
	if k.over(c.Attempt) {
		return ErrSealed
	}
	if n >= k.opt.Open {
		return fmt.Errorf("%w: %d open attempts", ErrTooMuch, n)
	}
	return k.write(ctx, &entry{Kind: kindBegin, Claim: &c, Attempt: c.Attempt})
}

// mine finds an open attempt, for the machine and session that began it. Its gate is
// held.
func (k *Store) mine(c Claim) (*attempt, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.open[c.Attempt]
	switch v := k.votes[c.Attempt]; {
	case a == nil:
		if k.over(c.Attempt) {
			return nil, ErrSealed
		}
		return nil, ErrUnknown
	case a.claim != c:
		return nil, ErrClaim
	case v.frozen():
		return nil, ErrFrozen
	}
	a.touched = k.opt.Now()
	return a, nil
}

// over says whether an attempt is sealed or shelved.
func (k *Store) over(at Attempt) bool {
	_, _, sealed := k.opt.Blobs.Ref(sealedName(at))
	_, _, shelved := k.opt.Blobs.Ref(shelvedName(at))
	return sealed || shelved
}

// Append adds records to a stream, the first of them under a number. Records that
// are there already have no second effect; a number behind the end is a GapError.
// next is the number of the record wanted next; all before it are durable.
func (k *Store) Append(ctx context.Context, c Claim, name string, first uint64, records []Record) (next uint64, err error) {
	if err := CheckStream(name); err != nil {
		return 0, err
	}
	defer k.enter(c.Attempt)()
	a, err := k.mine(c)
	if err != nil {
		return 0, err
	}
	k.mu.Lock()
	s := a.streams[name]
	count, size := len(a.streams), int64(0)
	if s != nil {
		next, size = s.next, s.bytes
	}
	k.mu.Unlock()
	if s == nil && count >= k.opt.Streams {
		return 0, fmt.Errorf("%w: %d streams", ErrTooMuch, count)
	}
	if first > next {
		return next, &GapError{Stream: name, Want: next, Have: first}
	}
	if first+uint64(len(records)) <= next {
		return next, nil
	}
	records = records[next-first:]
	more, err := k.sizeOf(records)
	if err != nil {
		return next, err
	}
	if size+more > k.opt.StreamMax {
		return next, fmt.Errorf("%w: stream %s of %d bytes", ErrTooMuch, name, size+more)
	}
	if err := k.opt.Blobs.ReserveSpace(c.Tenant, more); err != nil {
		return next, err
	}
	added := &entry{Kind: kindAppend, Attempt: c.Attempt, Stream: name, First: next, Records: records}
	if err := k.write(ctx, added); err != nil {
		k.opt.Blobs.ReleaseSpace(c.Tenant, more)
		return next, err
	}
	a.held += more
	return next + uint64(len(records)), nil
}

// sizeOf is how many bytes records have; ErrTooMuch says that one is too long or malformed.
func (k *Store) sizeOf(records []Record) (size int64, err error) {
	for _, r := range records {
		size += int64(len(r.Data))
		if len(r.Data) > k.opt.Record || (r.Hole != nil && (r.Hole.Bytes < 0 || len(r.Data) > 0)) {
			return 0, fmt.Errorf("%w: a record of %d bytes", ErrTooMuch, len(r.Data))
		}
	}
	return size, nil
}

// Attach adds a file, whose content the store of blobs has from the same tenant. A
// path that was attached before gets the new content.
func (k *Store) Attach(ctx context.Context, c Claim, path string, d blob.Digest) error {
	if err := CheckPath(path); err != nil {
		return err
	}
	defer k.enter(c.Attempt)()
	a, err := k.mine(c)
	if err != nil {
		return err
	}
	k.mu.Lock()
	_, again := a.files[path]
	count := len(a.files)
	k.mu.Unlock()
	if !again && count >= k.opt.Files {
		return fmt.Errorf("%w: %d files", ErrTooMuch, count)
	}
	// Until the seal a reference of its own keeps the content.
	if err := k.opt.Blobs.SetRef(ctx, c.Tenant, openName(c.Attempt, path), d); err != nil {
		return err
	}
	return k.write(ctx, &entry{Kind: kindFile, Attempt: c.Attempt, Path: path, Digest: d.String()})
}

// Trim gives back the log's space that closed attempts took: first segments of which
// at most half lives on, which is written again at the end.
func (k *Store) Trim(ctx context.Context) error {
	return k.log.Compact(ctx, func(_ wal.Pos, b []byte) (func() error, error) {
		var e entry
		if err := json.Unmarshal(b, &e); err != nil {
			return nil, err
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		alive := k.open[e.Attempt] != nil
		switch e.Kind {
		case kindClosed:
			alive = k.unsettled[e.Attempt]
		case kindVote:
			alive = k.votes[e.Attempt].needs(e.Vote)
		case kindSettle:
			alive = false
		}
		if !alive {
			return nil, nil
		}
		return func() error { return k.write(ctx, &e) }, nil
	}, nil)
}
