package keeper

import (
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"topazhollow/internal/blob"
	"topazhollow/internal/wal"
	"topazhollow/internal/wire"
)

// Options are a keeper's choices.
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

// Keeper is an open keeper. Its methods may be called at the same time.
type Keeper struct {
	opt Options
	log *wal.Log

	settling sync.Mutex // one result is decided at a time

	mu      sync.Mutex
	changed sync.Cond
	open    map[Attempt]*attempt
	latest  map[string]uint64 // highest attempt begun, of tasks with open attempts
	closed  bool
}

// attempt is one that is not sealed.
type attempt struct {
	mu      sync.Mutex // held while something is written for it, so that order is kept
	claim   Claim
	began   time.Time
	streams map[string]*stream
	files   map[string]blob.Digest
	touched time.Time // when something last came for it
	sealed  bool
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

// Hole marks output that a worker had no room to keep.
type Hole struct {
	Bytes int64     `json:"bytes"`
	From  time.Time `json:"from"`
	To    time.Time `json:"to"`
}

// entry is a record of the keeper's own log.
type entry struct {
	Kind    string   `json:"k"`
	Claim   *Claim   `json:"c,omitempty"`
	Attempt Attempt  `json:"a"`
	Began   int64    `json:"b,omitempty"` // ms of the epoch
	Stream  string   `json:"s,omitempty"`
	First   uint64   `json:"n,omitempty"`
	Records []Record `json:"r,omitempty"`
	Path    string   `json:"p,omitempty"`
	Digest  string   `json:"d,omitempty"`
}

// Kinds of entries.
const (
	kindBegin  = "begin"
	kindAppend = "append"
	kindFile   = "file"
	kindClosed = "closed" // sealed, and all that follows from it is durable
)

// Open opens a keeper's directory. What a process that ended had begun to seal is
// seen through.
func Open(opt Options) (*Keeper, error) {
	if len(opt.Key) < 16 {
		return nil, fmt.Errorf("%w: a key of %d bytes, 16 are needed", ErrTooMuch, len(opt.Key))
	}
	def := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	def(&opt.Streams, 16)
	def(&opt.Files, 10_000)
	def(&opt.Record, 64<<10)
	def(&opt.Open, 100_000)
	if opt.StreamMax <= 0 {
		opt.StreamMax = 1 << 30
	}
	if opt.Now == nil {
		opt.Now = time.Now
	}
	if opt.Step == nil {
		opt.Step = func(string) {}
	}
	k := &Keeper{opt: opt, open: map[Attempt]*attempt{}, latest: map[string]uint64{}}
	k.changed.L = &k.mu
	// An open attempt's beginning may have been written again behind entries that
	// belong to it.
	early := map[Attempt][]func(){}
	log, err := wal.Open(opt.Dir, wal.Options{Step: opt.Step, SegmentBytes: opt.Segment}, wal.Pos{}, func(at wal.Pos, b []byte) error {
		var e entry
		if err := json.Unmarshal(b, &e); err != nil {
			return fmt.Errorf("keeper: entry at %v: %w", at, err)
		}
		switch {
		case e.Kind == kindClosed:
			delete(early, e.Attempt)
		case e.Kind != kindBegin && k.open[e.Attempt] == nil:
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
	if err != nil {
		return nil, err
	}
	k.log = log
	for _, a := range slices.Collect(maps.Values(k.open)) {
		var err error
		if _, _, ok := opt.Blobs.Ref(sealedName(a.claim.Attempt)); ok {
			err = k.conclude(context.Background(), a)
		} else if _, _, ok := opt.Blobs.Ref(shelvedName(a.claim.Attempt)); ok {
			err = k.close(context.Background(), a)
		}
		if err != nil {
			log.Close()
			return nil, err
		}
	}
	return k, nil
}

// Close ends the keeper.
func (k *Keeper) Close() error {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.changed.Broadcast()
	return k.log.Close()
}

// apply carries an entry over to what is known. k.mu is held, or the keeper is
// being opened.
func (k *Keeper) apply(e *entry, at wal.Pos) {
	a := k.open[e.Attempt]
	switch e.Kind {
	case kindBegin:
		if a == nil && e.Claim != nil {
			k.open[e.Attempt] = &attempt{claim: *e.Claim, began: time.UnixMilli(e.Began), touched: k.opt.Now(), streams: map[string]*stream{}, files: map[string]blob.Digest{}}
			k.latest[e.Attempt.task()] = max(k.latest[e.Attempt.task()], e.Attempt.Number)
		}
	case kindAppend:
		if a == nil {
			return
		}
		s := a.streams[e.Stream]
		if s == nil {
			s = &stream{}
			a.streams[e.Stream] = s
		}
		// An entry may have been written again further on in the log, behind later ones.
		i, again := slices.BinarySearchFunc(s.pieces, e.First, func(p piece, first uint64) int { return cmp.Compare(p.first, first) })
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
	case kindFile:
		if d, err := blob.Parse(e.Digest); a != nil && err == nil {
			a.files[e.Path] = d
		}
	case kindClosed:
		delete(k.open, e.Attempt)
	}
}

// write makes an entry durable and carries it over.
func (k *Keeper) write(ctx context.Context, e *entry) error {
	at, err := k.log.Append(context.WithoutCancel(ctx), wire.Encode(e))
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
func sealedName(a Attempt) string  { return "sealed/" + a.String() }
func shelvedName(a Attempt) string { return "partial/" + a.String() }
func finalName(a Attempt) string   { return "final/" + a.task() }

// openName is the reference that keeps a file of an attempt until its seal.
func openName(a Attempt, path string) string { return "open/" + a.String() + "/" + path }

// Begin opens an attempt for its machine. Repeated by the same it has no effect.
// The files and streams of an earlier attempt stay that attempt's.
func (k *Keeper) Begin(ctx context.Context, c Claim) error {
	if err := c.check(); err != nil {
		return err
	}
	if c.Tenant == "" || c.Machine == "" || len(c.Tenant)+len(c.Machine) > 400 {
		return fmt.Errorf("%w: tenant %.100q, machine %.100q", ErrName, c.Tenant, c.Machine)
	}
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
	return k.write(ctx, &entry{Kind: kindBegin, Claim: &c, Attempt: c.Attempt, Began: k.opt.Now().UnixMilli()})
}

// mine finds an open attempt and holds it, for the machine and session that began it.
func (k *Keeper) mine(c Claim) (*attempt, error) {
	k.mu.Lock()
	a := k.open[c.Attempt]
	k.mu.Unlock()
	if a == nil {
		if k.over(c.Attempt) {
			return nil, ErrSealed
		}
		return nil, ErrUnknown
	}
	if a.claim != c {
		return nil, ErrClaim
	}
	a.mu.Lock()
	if a.sealed {
		a.mu.Unlock()
		return nil, ErrSealed
	}
	a.touched = k.opt.Now()
	return a, nil
}

// over says whether an attempt is sealed or shelved.
func (k *Keeper) over(at Attempt) bool {
	_, _, sealed := k.opt.Blobs.Ref(sealedName(at))
	_, _, shelved := k.opt.Blobs.Ref(shelvedName(at))
	return sealed || shelved
}

// Append adds records to a stream, the first of them under a number. Records that
// are there already have no second effect; a number behind the end is a GapError.
// next is the number of the record wanted next; all before it are durable.
func (k *Keeper) Append(ctx context.Context, c Claim, name string, first uint64, records []Record) (next uint64, err error) {
	if err := checkStream(name); err != nil {
		return 0, err
	}
	a, err := k.mine(c)
	if err != nil {
		return 0, err
	}
	defer a.mu.Unlock()
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
	for _, r := range records {
		size += int64(len(r.Data))
		if len(r.Data) > k.opt.Record || (r.Hole != nil && (r.Hole.Bytes < 0 || len(r.Data) > 0)) {
			return next, fmt.Errorf("%w: a record of %d bytes", ErrTooMuch, len(r.Data))
		}
	}
	if size > k.opt.StreamMax {
		return next, fmt.Errorf("%w: stream %s of %d bytes", ErrTooMuch, name, size)
	}
	if err := k.write(ctx, &entry{Kind: kindAppend, Attempt: c.Attempt, Stream: name, First: next, Records: records}); err != nil {
		return next, err
	}
	return next + uint64(len(records)), nil
}

// Attach adds a file, whose content the store of blobs has from the same tenant. A
// path that was attached before gets the new content.
func (k *Keeper) Attach(ctx context.Context, c Claim, path string, d blob.Digest) error {
	if err := CheckPath(path); err != nil {
		return err
	}
	a, err := k.mine(c)
	if err != nil {
		return err
	}
	defer a.mu.Unlock()
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

// Seal closes an attempt with what its worker says of its end and of how many
// records it put out in each stream; if they are not all here, it is refused with
// what is wanted. A repeated seal gives the manifest again. When it returns without
// an error the manifest is durable, and final says whether it is the task's result:
// the first of the completed ones, unless a later attempt had begun by then.
func (k *Keeper) Seal(ctx context.Context, c Claim, exit Exit, records map[string]uint64) (m *Manifest, final bool, err error) {
	a, err := k.mine(c)
	if errors.Is(err, ErrSealed) {
		return k.Sealed(c.Attempt)
	}
	if err != nil {
		return nil, false, err
	}
	defer a.mu.Unlock()
	k.mu.Lock()
	names := slices.Sorted(maps.Keys(a.streams))
	for name, want := range records {
		if s := a.streams[name]; (s == nil && want > 0) || (s != nil && s.next != want) {
			k.mu.Unlock()
			var have uint64
			if s != nil {
				have = s.next
			}
			return nil, false, fmt.Errorf("%w: %w", ErrNotWhole, &GapError{Stream: name, Want: have, Have: want})
		}
	}
	k.mu.Unlock()
	for _, name := range names {
		if _, said := records[name]; !said {
			return nil, false, fmt.Errorf("%w: nothing was said of stream %s", ErrNotWhole, name)
		}
	}
	keep, err := k.gather(ctx, a, exit)
	if err != nil {
		return nil, false, err
	}
	k.opt.Step("seal")
	if err := k.opt.Blobs.SetRef(ctx, c.Tenant, sealedName(c.Attempt), keep...); err != nil {
		return nil, false, err
	}
	if err := k.conclude(ctx, a); err != nil {
		return nil, false, err
	}
	return k.Sealed(c.Attempt)
}

// gather puts an attempt's streams and its manifest among the blobs. It gives what is
// to be kept of it, the manifest first. a.mu is held.
func (k *Keeper) gather(ctx context.Context, a *attempt, exit Exit) (keep []blob.Digest, err error) {
	keep = make([]blob.Digest, 1)
	tenant := a.claim.Tenant
	m := &Manifest{Claim: a.claim, Sealed: k.opt.Now().UTC(), Exit: exit, Streams: []StreamInfo{}, Files: []FileInfo{}}
	for _, name := range slices.Sorted(maps.Keys(a.streams)) {
		content, err := k.content(a, name)
		if err != nil {
			return nil, err
		}
		d, err := k.opt.Blobs.Put(ctx, tenant, content, blob.Urgent)
		if err != nil {
			return nil, err
		}
		s := a.streams[name]
		m.Streams = append(m.Streams, StreamInfo{Name: name, Records: s.next, Bytes: s.bytes, Lost: s.lost, Blob: d, Digest: d.String()})
		keep = append(keep, d)
	}
	for _, path := range slices.Sorted(maps.Keys(a.files)) {
		m.Files = append(m.Files, FileInfo{Path: path, Digest: a.files[path].String()})
		keep = append(keep, a.files[path])
	}
	keep[0], err = k.opt.Blobs.Put(ctx, tenant, m.sign(k.opt.Key), blob.Urgent)
	return keep, err
}

// Shelve moves partial attempts that nothing came for in an age out of the way: their
// output stays readable, and they can never be sealed any more. It gives how many.
func (k *Keeper) Shelve(ctx context.Context, age time.Duration) (count int, err error) {
	k.mu.Lock()
	list := slices.Collect(maps.Values(k.open))
	k.mu.Unlock()
	for _, a := range list {
		a.mu.Lock()
		if !a.sealed && k.opt.Now().Sub(a.touched) > age {
			var keep []blob.Digest
			if keep, err = k.gather(ctx, a, Exit{Reason: "never sealed"}); err == nil {
				err = k.opt.Blobs.SetRef(ctx, a.claim.Tenant, shelvedName(a.claim.Attempt), keep...)
			}
			if err == nil {
				err = k.close(ctx, a)
			}
			count++
		}
		a.mu.Unlock()
		if err != nil {
			return count, err
		}
	}
	return count, nil
}

// close takes an attempt out of what is open. a.mu is held.
func (k *Keeper) close(ctx context.Context, a *attempt) error {
	at := a.claim.Attempt
	if err := k.write(ctx, &entry{Kind: kindClosed, Attempt: at}); err != nil {
		return err
	}
	a.sealed = true
	for path := range a.files {
		if err := k.opt.Blobs.DropRef(ctx, openName(at, path)); err != nil {
			return err
		}
	}
	return nil
}

// Trim gives back the log's space that closed attempts took: first segments of which
// at most half lives on, which is written again at the end.
func (k *Keeper) Trim(ctx context.Context) error {
	return k.log.Compact(ctx, func(_ wal.Pos, b []byte) (func() error, error) {
		var e entry
		if err := json.Unmarshal(b, &e); err != nil {
			return nil, err
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.open[e.Attempt] == nil || e.Kind == kindClosed {
			return nil, nil
		}
		return func() error { return k.write(ctx, &e) }, nil
	}, nil)
}

// conclude does what follows from a seal. It is begun anew after a restart, so each
// step may be taken twice.
func (k *Keeper) conclude(ctx context.Context, a *attempt) error {
	at := a.claim.Attempt
	tenant, ds, ok := k.opt.Blobs.Ref(sealedName(at))
	if !ok {
		return ErrUnknown
	}
	m, err := k.manifest(tenant, ds[0])
	if err != nil {
		return err
	}
	k.opt.Step("final")
	if m.Exit.Completed {
		if err := k.settle(ctx, tenant, at, ds[0]); err != nil {
			return err
		}
	}
	k.opt.Step("close")
	return k.close(ctx, a)
}

// settle makes an attempt its task's result if there is none and no later attempt
// has begun. One settles at a time.
func (k *Keeper) settle(ctx context.Context, tenant string, at Attempt, d blob.Digest) error {
	k.settling.Lock()
	defer k.settling.Unlock()
	k.mu.Lock()
	latest := k.latest[at.task()]
	k.mu.Unlock()
	name := finalName(at)
	if _, _, there := k.opt.Blobs.Ref(name); there || latest > at.Number {
		return nil
	}
	for _, over := range []func(Attempt) string{sealedName, shelvedName} {
		prefix := strings.TrimSuffix(over(at), fmt.Sprintf("%020d", at.Number))
		if later, err := k.opt.Blobs.Refs(prefix, over(at), 1); err != nil || len(later) > 0 {
			return err
		}
	}
	return k.opt.Blobs.SetRef(ctx, tenant, name, d)
}

func (k *Keeper) manifest(tenant string, d blob.Digest) (*Manifest, error) {
	data, err := k.opt.Blobs.Get(tenant, d, 64<<20)
	if err != nil {
		return nil, err
	}
	return Verify(k.opt.Key, data)
}

// Sealed gives the manifest of a sealed attempt, and whether it is its task's result.
func (k *Keeper) Sealed(at Attempt) (m *Manifest, final bool, err error) {
	tenant, ds, ok := k.opt.Blobs.Ref(sealedName(at))
	if !ok {
		return nil, false, ErrUnknown
	}
	if m, err = k.manifest(tenant, ds[0]); err != nil {
		return nil, false, err
	}
	_, f, ok := k.opt.Blobs.Ref(finalName(at))
	return m, ok && f[0] == ds[0], nil
}

// shelved gives the manifest of an attempt that was never sealed.
func (k *Keeper) shelved(at Attempt) (*Manifest, error) {
	tenant, ds, ok := k.opt.Blobs.Ref(shelvedName(at))
	if !ok {
		return nil, ErrUnknown
	}
	return k.manifest(tenant, ds[0])
}

// ended gives the manifest of an attempt that is over, whether it was sealed, and
// whether it is its task's result.
func (k *Keeper) ended(at Attempt) (m *Manifest, sealed, final bool, err error) {
	m, final, err = k.Sealed(at)
	if errors.Is(err, ErrUnknown) {
		m, err = k.shelved(at)
		return m, false, false, err
	}
	return m, err == nil, final, err
}

// Final gives the result of a task, if it has one.
func (k *Keeper) Final(job string, task int) (*Manifest, error) {
	tenant, ds, ok := k.opt.Blobs.Ref(finalName(Attempt{Job: job, Task: task}))
	if !ok {
		return nil, ErrUnknown
	}
	return k.manifest(tenant, ds[0])
}

// Known is an attempt as a list of a task's attempts has it.
type Known struct {
	Attempt
	Machine string
	Sealed  bool // else it is partial, and stays so unless its worker seals it
	Final   bool
}

// State is what an attempt is, as Line has it.
func (x Known) State() string {
	switch {
	case x.Final:
		return StateFinal
	case x.Sealed:
		return StateSealed
	}
	return StatePartial
}

// state is what an attempt is, as Line has it; "" if it is not known.
func (k *Keeper) state(at Attempt) (string, error) {
	k.mu.Lock()
	open := k.open[at] != nil // before the rest: it may be sealed meanwhile
	k.mu.Unlock()
	_, sealed, final, err := k.ended(at)
	switch {
	case errors.Is(err, ErrUnknown) && open:
		return StateGoesOn, nil
	case errors.Is(err, ErrUnknown):
		return "", nil
	case err != nil:
		return "", err
	}
	return Known{Sealed: sealed, Final: final}.State(), nil
}

// Attempts lists a task's attempts in their order.
func (k *Keeper) Attempts(job string, task int) ([]Known, error) {
	prefix := Attempt{Job: job, Task: task}.task()
	var list []Known
	for _, kind := range []string{"sealed/", "partial/"} {
		names, err := k.opt.Blobs.Refs(kind+prefix, "", 1000)
		if err != nil {
			return nil, err
		}
		for _, name := range names {
			at := Attempt{Job: job, Task: task}
			if at.Number, err = strconv.ParseUint(strings.TrimPrefix(name, kind+prefix), 10, 64); err != nil {
				return nil, fmt.Errorf("%w: %s", ErrName, name)
			}
			m, sealed, final, err := k.ended(at)
			if err != nil {
				return nil, err
			}
			list = append(list, Known{at, m.Machine, sealed, final})
		}
	}
	k.mu.Lock()
	for at, a := range k.open {
		if at.Job == job && at.Task == task && !slices.ContainsFunc(list, func(x Known) bool { return x.Attempt == at }) {
			list = append(list, Known{Attempt: at, Machine: a.claim.Machine})
		}
	}
	k.mu.Unlock()
	slices.SortFunc(list, func(a, b Known) int { return strings.Compare(a.String(), b.String()) })
	return list, nil
}

// content gives a stream of an open attempt as it is kept once sealed: each record's
// JSON behind its length.
func (k *Keeper) content(a *attempt, name string) ([]byte, error) {
	var out bytes.Buffer
	err := k.pieces(a, name, 0, func(r Record) error {
		b := wire.Encode(&r)
		out.Write(binary.AppendUvarint(nil, uint64(len(b))))
		out.Write(b)
		return nil
	})
	return out.Bytes(), err
}

// pieces hands over the records of an open attempt's stream from a number on.
func (k *Keeper) pieces(a *attempt, name string, from uint64, each func(Record) error) error {
	for i := 0; ; i++ {
		var p piece
		var b []byte
		for try := 0; ; try++ {
			k.mu.Lock()
			s := a.streams[name]
			if s == nil || i >= len(s.pieces) {
				k.mu.Unlock()
				return nil
			}
			p = s.pieces[i]
			k.mu.Unlock()
			if p.first+p.count <= from {
				break
			}
			var err error
			if b, err = k.log.Read(p.at); err == nil {
				break
			}
			if try > 0 || !errors.Is(err, fs.ErrNotExist) { // it may just have moved on in the log
				return err
			}
		}
		if b == nil {
			continue
		}
		var e entry
		if err := json.Unmarshal(b, &e); err != nil {
			return fmt.Errorf("keeper: entry at %v: %w", p.at, err)
		}
		for n, r := range e.Records {
			if p.first+uint64(n) < from {
				continue
			}
			if err := each(r); err != nil {
				return err
			}
		}
	}
}

// Read hands over the records of an attempt's stream from a number on, of open and
// of sealed attempts alike, and gives the number of the next. sealed says that no more
// can come.
func (k *Keeper) Read(at Attempt, name string, from uint64, each func(Record) error) (next uint64, sealed bool, err error) {
	next = from
	count := func(r Record) error {
		next++
		return each(r)
	}
	k.mu.Lock()
	a := k.open[at]
	k.mu.Unlock()
	if a != nil {
		err = k.pieces(a, name, from, count)
		return next, false, err
	}
	m, _, _, err := k.ended(at)
	if err != nil {
		return next, false, err
	}
	i := slices.IndexFunc(m.Streams, func(s StreamInfo) bool { return s.Name == name })
	if i < 0 {
		return next, true, nil
	}
	data, err := k.opt.Blobs.Get(m.Tenant, m.Streams[i].Blob, 4<<30)
	if err != nil {
		return next, true, err
	}
	for n := uint64(0); len(data) > 0; n++ {
		size, used := binary.Uvarint(data)
		if used <= 0 || size > uint64(len(data)-used) {
			return next, true, fmt.Errorf("%w: stream %s", ErrNotWhole, name)
		}
		b := data[used : used+int(size)]
		data = data[used+int(size):]
		if n < from {
			continue
		}
		var r Record
		if err := json.Unmarshal(b, &r); err != nil {
			return next, true, fmt.Errorf("%w: stream %s: %v", ErrNotWhole, name, err)
		}
		if err := count(r); err != nil {
			return next, true, err
		}
	}
	return next, true, nil
}

// Wait returns once something changed that may concern a reader of an open attempt,
// or the context ended.
func (k *Keeper) Wait(ctx context.Context, at Attempt, name string, next uint64) error {
	stop := context.AfterFunc(ctx, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.changed.Broadcast()
	})
	defer stop()
	k.mu.Lock()
	defer k.mu.Unlock()
	for {
		a := k.open[at]
		if a == nil || k.closed || (a.streams[name] != nil && a.streams[name].next > next) {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		k.changed.Wait()
	}
}
