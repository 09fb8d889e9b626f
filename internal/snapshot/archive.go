// Package snapshot backs up the state service to a local disk, through its published
// protocol: full copies and the changes between them, in a log with checksums. It detects
// that the service lost data and then keeps the copy from before the loss. It can restore
// a copy, as of a chosen revision, into the epoch that the controllers began after a loss.
package snapshot

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"topazhollow/internal/protocol"
	"topazhollow/internal/wal"
)

// Errors that callers test for.
var (
	ErrNone    = errors.New("snapshot: no such copy")
	ErrVersion = errors.New("snapshot: record of a later format version")
)

// format is the format version of records; readers reject later ones.
const format = 1

// Entry is a key with its value, or a change of it.
type Entry struct {
	Key     string `cbor:"k"`
	Value   []byte `cbor:"v,omitempty"`
	Version uint64 `cbor:"r"`
	Deleted bool   `cbor:"d,omitempty"` // the change deleted the key
	Leased  bool   `cbor:"l,omitempty"` // the key is attached to a lease
}

// record is one record of the log: a CBOR map (RFC 8949), compressed with Zstandard.
type record struct {
	Format  int     `cbor:"f"`
	Kind    string  `cbor:"t"`           // begin, part, end, changes, lost
	Copy    uint64  `cbor:"c"`           // ID of the copy
	At      int64   `cbor:"a,omitempty"` // Unix time in ms
	From    uint64  `cbor:"x,omitempty"` // changes: revision before them; begin: revision of the copy
	To      uint64  `cbor:"y,omitempty"` // changes: revision after them; end: revision of the copy
	Entries []Entry `cbor:"e,omitempty"`
	Keys    int     `cbor:"n,omitempty"` // end: number of keys
	Sum     []byte  `cbor:"h,omitempty"` // end: contentSum of the keys
	Why     string  `cbor:"w,omitempty"` // lost: reason
}

// The kinds of records.
const (
	kindBegin   = "begin"
	kindPart    = "part"
	kindEnd     = "end"
	kindChanges = "changes"
	kindLost    = "lost"
)

// Copy describes a full copy and the changes recorded after it.
type Copy struct {
	ID           uint64    `json:"id"`
	At           time.Time `json:"at"`
	Until        time.Time `json:"until"` // time of the last recorded change
	Revision     uint64    `json:"revision"`
	LastRevision uint64    `json:"last_revision"`
	Keys         int       `json:"keys"`
	Changes      int       `json:"changes"`
	Sum          string    `json:"sha256"`
	Complete     bool      `json:"whole"`
	LossReason   string    `json:"service_lost,omitempty"` // why the follower concluded that the service lost data after it

	from wal.Pos // position of the begin record
}

// Archive is a directory of copies.
type Archive struct {
	log     *wal.Log
	lock    *os.File // file lock of the only writer; nil in a read-only archive
	enc     *zstd.Encoder
	dec     *zstd.Decoder
	decMode cbor.DecMode
	mu      sync.Mutex
	copies  []*Copy
	nextID  uint64
}

// Options configures an archive; the zero value is usable.
type Options struct {
	WAL      wal.Options // options of the log
	ReadOnly bool        // required while another process writes the archive
}

// ErrInUse is returned by Open when another process writes the archive.
var ErrInUse = errors.New("snapshot: another process writes this archive")

// readOnly is a segment that another process may be writing. A partially written record at
// its end is not truncated.
type readOnly struct{ *os.File }

func (readOnly) Truncate(int64) error               { return nil }
func (readOnly) WriteAt([]byte, int64) (int, error) { return 0, os.ErrPermission }

// acquire locks the archive for writing, or makes the log open its segments read-only.
func (a *Archive) acquire(dir string, opt *Options) error {
	if opt.ReadOnly {
		if _, err := os.Stat(dir); err != nil {
			return err
		}
		opt.WAL.OpenFile = func(path string) (wal.File, error) {
			f, err := os.Open(path)
			return readOnly{f}, err
		}
		return nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	var err error
	if a.lock, err = os.OpenFile(filepath.Join(dir, "lock"), os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return err
	}
	if err := syscall.Flock(int(a.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		a.lock.Close()
		return fmt.Errorf("%w: %s", ErrInUse, dir)
	}
	return nil
}

// Open opens an archive, which it creates if needed, and reads the list of its copies.
func Open(dir string, opt Options) (*Archive, error) {
	a := &Archive{nextID: 1}
	var err error
	if a.enc, err = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1)); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if a.dec, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(256<<20)); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if a.decMode, err = (cbor.DecOptions{MaxArrayElements: 1 << 20, DupMapKey: cbor.DupMapKeyEnforcedAPF}).DecMode(); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if opt.WAL.SegmentBytes == 0 {
		opt.WAL.SegmentBytes = 4 << 20 // small, since pruning frees space by whole segments
	}
	if err := a.acquire(dir, &opt); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	a.log, err = wal.Open(dir, opt.WAL, wal.Pos{}, func(at wal.Pos, data []byte) error {
		r, err := a.decode(data)
		if err != nil {
			return fmt.Errorf("%w: record in segment %d at offset %d", err, at.Segment, at.Offset)
		}
		a.index(at, r)
		return nil
	})
	if err != nil {
		if a.lock != nil {
			a.lock.Close()
		}
		return nil, fmt.Errorf("snapshot: %s: %w", dir, err)
	}
	return a, nil
}

// Close closes the archive.
func (a *Archive) Close() error {
	err := a.log.Close()
	a.enc.Close()
	a.dec.Close()
	if a.lock != nil {
		err = errors.Join(err, a.lock.Close())
	}
	return err
}

func (a *Archive) decode(data []byte) (*record, error) {
	plain, err := a.dec.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	var r record
	if err := a.decMode.Unmarshal(plain, &r); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if r.Format > format {
		return nil, fmt.Errorf("%w: %d", ErrVersion, r.Format)
	}
	return &r, nil
}

func (a *Archive) encode(r *record) ([]byte, error) {
	r.Format = format
	plain, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return a.enc.EncodeAll(plain, nil), nil
}

// index updates the list of copies with a record.
func (a *Archive) index(at wal.Pos, r *record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Kind == kindBegin {
		a.copies = append(a.copies, &Copy{ID: r.Copy, At: time.UnixMilli(r.At), Until: time.UnixMilli(r.At), Revision: r.From, LastRevision: r.From, from: at})
		a.nextID = max(a.nextID, r.Copy+1)
		return
	}
	c := a.findCopy(r.Copy)
	if c == nil {
		return // its begin record is pruned already
	}
	switch r.Kind {
	case kindEnd:
		c.Complete, c.Keys, c.Revision, c.LastRevision, c.Sum = true, r.Keys, r.To, r.To, hex.EncodeToString(r.Sum)
		c.Until = time.UnixMilli(r.At)
	case kindChanges:
		c.LastRevision, c.Changes, c.Until = r.To, c.Changes+len(r.Entries), time.UnixMilli(r.At)
	case kindLost:
		c.LossReason = r.Why
	}
}

func (a *Archive) findCopy(id uint64) *Copy {
	for _, c := range a.copies {
		if c.ID == id {
			return c
		}
	}
	return nil
}

// append appends records to the log. They are durable when it returns.
func (a *Archive) append(ctx context.Context, records ...*record) error {
	var data [][]byte
	for _, r := range records {
		d, err := a.encode(r)
		if err != nil {
			return err
		}
		data = append(data, d)
	}
	at, err := a.log.Append(ctx, data...)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	for i, r := range records {
		a.index(at[i], r)
	}
	return nil
}

// maxPartKeys is the largest number of keys in one record of a full copy.
const maxPartKeys = 500

// PutCopy writes a full copy as of a revision and returns its ID.
func (a *Archive) PutCopy(ctx context.Context, keys map[string]Entry, revision uint64, now time.Time) (uint64, error) {
	a.mu.Lock()
	id := a.nextID
	a.nextID++
	a.mu.Unlock()
	records := []*record{{Kind: kindBegin, Copy: id, At: now.UnixMilli(), From: revision}}
	names := slices.Sorted(maps.Keys(keys))
	for chunk := range slices.Chunk(names, maxPartKeys) {
		r := &record{Kind: kindPart, Copy: id}
		for _, name := range chunk {
			r.Entries = append(r.Entries, keys[name])
		}
		records = append(records, r)
	}
	records = append(records, &record{Kind: kindEnd, Copy: id, At: now.UnixMilli(), To: revision, Keys: len(keys), Sum: contentSum(keys)})
	for chunk := range slices.Chunk(records, 64) { // a process killed in between leaves an incomplete copy, which is ignored
		if err := a.append(ctx, chunk...); err != nil {
			return 0, err
		}
	}
	return id, nil
}

// contentSum returns the sha256 of keys and values in the order of keys.
func contentSum(keys map[string]Entry) []byte {
	h := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(keys)) {
		fmt.Fprintf(h, "%d %s %d ", len(name), name, len(keys[name].Value))
		h.Write(keys[name].Value)
	}
	return h.Sum(nil)
}

// AppendChanges adds the changes after revision from, up to revision to, to a copy.
func (a *Archive) AppendChanges(ctx context.Context, id uint64, from, to uint64, entries []Entry, now time.Time) error {
	return a.append(ctx, &record{Kind: kindChanges, Copy: id, At: now.UnixMilli(), From: from, To: to, Entries: entries})
}

// MarkLost records that the service lost data after a copy. From then on the copy is kept
// until it is pruned by its ID.
func (a *Archive) MarkLost(ctx context.Context, id uint64, why string, now time.Time) error {
	return a.append(ctx, &record{Kind: kindLost, Copy: id, At: now.UnixMilli(), Why: why})
}

// Copies returns the copies, oldest first, including incomplete ones.
func (a *Archive) Copies() []Copy {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []Copy
	for _, c := range a.copies {
		out = append(out, *c)
	}
	return out
}

// Latest returns the newest complete copy.
func (a *Archive) Latest() (Copy, bool) {
	copies := a.Copies()
	for i := len(copies) - 1; i >= 0; i-- {
		if copies[i].Complete {
			return copies[i], true
		}
	}
	return Copy{}, false
}

// Load reads a copy and applies its changes up to a revision, or all of them if upTo is 0.
// It verifies the checksum of the copy and that no changes are missing.
func (a *Archive) Load(id, upTo uint64) (keys map[string]Entry, revision uint64, err error) {
	a.mu.Lock()
	found := a.findCopy(id)
	var c Copy
	if found != nil {
		c = *found
	}
	a.mu.Unlock()
	if found == nil || !c.Complete {
		return nil, 0, fmt.Errorf("%w: %d", ErrNone, id)
	}
	if upTo != 0 && upTo < c.Revision {
		return nil, 0, fmt.Errorf("%w: copy %d begins at revision %d", ErrNone, id, c.Revision)
	}
	keys = map[string]Entry{}
	ended := false
	err = a.scan(c.from, func(r *record) error {
		if r.Copy != id {
			return nil
		}
		switch r.Kind {
		case kindPart:
			for _, e := range r.Entries {
				keys[e.Key] = e
			}
		case kindEnd:
			ended, revision = true, r.To
			if !bytes.Equal(contentSum(keys), r.Sum) || len(keys) != r.Keys {
				return fmt.Errorf("%w: copy %d does not match its checksum", wal.ErrCorrupt, id)
			}
		case kindChanges:
			if r.From != revision {
				return fmt.Errorf("%w: copy %d: changes start at revision %d, want %d", wal.ErrCorrupt, id, r.From, revision)
			}
			for _, e := range r.Entries {
				if upTo == 0 || e.Version <= upTo {
					apply(keys, e)
				}
			}
			revision = r.To
		}
		return nil
	})
	if err == nil && !ended {
		err = fmt.Errorf("%w: copy %d has no end record", wal.ErrCorrupt, id)
	}
	if err != nil {
		return nil, 0, err
	}
	if upTo != 0 {
		revision = min(revision, upTo)
	}
	return keys, revision, nil
}

// apply applies a change to keys, unless they hold a later version of the key.
func apply(keys map[string]Entry, e Entry) {
	if old, ok := keys[e.Key]; ok && old.Version > e.Version {
		return
	}
	if e.Deleted {
		delete(keys, e.Key)
	} else {
		keys[e.Key] = e
	}
}

// scan calls each for the records from a position on.
func (a *Archive) scan(from wal.Pos, each func(*record) error) error {
	return a.log.Replay(from, func(_ wal.Pos, data []byte) error {
		r, err := a.decode(data)
		if err != nil {
			return err
		}
		return each(r)
	})
}

// Verify loads every complete copy, which verifies it. It returns the number of copies and keys.
func (a *Archive) Verify() (copies, keys int, err error) {
	for _, c := range a.Copies() {
		if !c.Complete {
			continue
		}
		k, _, err := a.Load(c.ID, 0)
		if err != nil {
			return copies, keys, err
		}
		copies, keys = copies+1, keys+len(k)
	}
	return copies, keys, nil
}

// Prune removes the oldest copies, up to the first one that must be kept: the newest
// complete copy, one that began at or after the given time, or one after which the service
// lost data. An incomplete copy before the newest complete one is not kept, nor is one
// whose ID is in named. Space is freed by whole segments.
func (a *Archive) Prune(before time.Time, named ...uint64) (dropped []uint64, err error) {
	latest, ok := a.Latest()
	if !ok {
		return nil, nil
	}
	a.mu.Lock()
	keep := slices.IndexFunc(a.copies, func(c *Copy) bool {
		old := c.At.Before(before) && c.LossReason == "" || !c.Complete && c.ID < latest.ID || slices.Contains(named, c.ID)
		return c.ID == latest.ID || !old
	})
	if keep < 0 {
		keep = 0
	}
	for _, c := range a.copies[:keep] {
		dropped = append(dropped, c.ID)
	}
	a.copies = a.copies[keep:]
	first := a.copies[0].from.Segment
	a.mu.Unlock()
	return dropped, a.log.Drop(first)
}

// entryOf converts a listed key to an Entry.
func entryOf(e protocol.Entry) Entry {
	return Entry{Key: e.Key, Value: e.Value, Version: e.Version, Leased: e.Lease != 0}
}
