// Package blob is a content-addressed store on a local disk, used for logs,
// artifacts and build actions. Small blobs are stored in a write-ahead log (package
// wal), large ones in files of their own. A blob is durable before its upload is
// acknowledged. The index can be rebuilt from the log, so losing it costs only the
// time to read the log again.
package blob

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	bolt "go.etcd.io/bbolt"

	"topazhollow/internal/wal"
)

// Errors that callers test for.
var (
	ErrDigest   = errors.New("blob: malformed digest")
	ErrNotFound = errors.New("blob: not found")
	ErrCorrupt  = errors.New("blob: content is corrupt on disk")
	ErrMismatch = errors.New("blob: content does not match its digest")
	ErrOffset   = errors.New("blob: wrong upload offset")
	ErrUpload   = errors.New("blob: no such upload")
	ErrTenant   = errors.New("blob: tenant does not own the blob")
	ErrBusy     = errors.New("blob: too many open uploads")
)

// FullError reports that a write exceeds a quota. The caller may retry after Retry,
// when a collection may have freed space.
type FullError struct {
	Tenant     string // "" for the store as a whole
	Want, Free int64
	Retry      time.Duration
}

func (e *FullError) Error() string {
	whose := "the store"
	if e.Tenant != "" {
		whose = "tenant " + e.Tenant
	}
	return fmt.Sprintf("blob: %s has %d bytes free, %d needed; retry in %s", whose, e.Free, e.Want, e.Retry)
}

// Options configures a store.
type Options struct {
	Dir           string
	MaxInline     int64                      // largest blob that is stored in the log, in bytes; 16 KiB if 0
	Quota         int64                      // bytes on disk; 0: unlimited
	Reserve       int64                      // bytes of Quota that only UseReserve uploads may take
	TenantQuota   func(tenant string) int64  // quota of a tenant in bytes; nil or 0: unlimited
	MaxUploads    int                        // uploads open at a time; 1024 if 0
	UploadTimeout time.Duration              // idle uploads are dropped after this time; 1 h if 0
	Now           func() time.Time           // clock for ages of blobs and uploads; time.Now if nil
	Step          func(step string)          // called at each durable step, for tests
	OpenFile      func(string) (File, error) // opens upload files, for tests
	// Repair reads an intact copy of a corrupt blob, for example from a replica.
	Repair func(ctx context.Context, d Digest) (io.ReadCloser, error)
}

// File is an open upload file.
type File = wal.File

// Store is an open store. It is safe for concurrent use.
type Store struct {
	opt  Options
	log  *wal.Log
	db   *bolt.DB
	stop context.CancelFunc
	done chan struct{}

	commitLock    sync.RWMutex // read-locked while a record is written and applied
	mu            sync.Mutex
	deleted       sync.Cond         // signalled when a deletion has ended; uses mu
	dirtyBlobs    map[string]*entry // blobs changed since the last checkpoint; nil: deleted
	dirtyRefs     map[string]*ref   // references changed since the last checkpoint; nil: deleted
	usedBytes     map[string]int64  // bytes on disk by tenant; "" is the total
	reservedBytes map[string]int64  // bytes reserved for uploads, keyed in the same way
	pins          map[string]int    // number of readers and uploads of a blob, which must not be deleted
	deleting      map[string]bool   // blobs that are being deleted
	uploads       map[string]*Upload
	applied       wal.Pos // the index, with dirtyBlobs and dirtyRefs, includes all records before it
	closed        bool
}

// ref is a named reference to blobs, which protects them from collection.
type ref struct {
	tenant string
	keys   []string
	pos    wal.Pos
}

var (
	bucketBlobs = []byte("blobs")
	bucketRefs  = []byte("refs")
	bucketUsed  = []byte("used")
	bucketMeta  = []byte("meta")
	keyPos      = []byte("applied")
)

// The index is written to disk every checkpointEvery, and during replay after every
// checkpointRecords records. This limits how much of the log the next start replays.
const (
	checkpointEvery   = 2 * time.Second
	checkpointRecords = 8192
)

// Open opens the store in a directory, which it creates if needed. An index that is
// missing or unreadable is rebuilt from the log.
func Open(opt Options) (*Store, error) {
	if opt.MaxInline <= 0 {
		opt.MaxInline = 16 << 10
	}
	if opt.MaxUploads <= 0 {
		opt.MaxUploads = 1024
	}
	if opt.UploadTimeout <= 0 {
		opt.UploadTimeout = time.Hour
	}
	if opt.Now == nil {
		opt.Now = time.Now
	}
	if opt.Step == nil {
		opt.Step = func(string) {}
	}
	if opt.OpenFile == nil {
		opt.OpenFile = wal.OpenFile
	}
	for _, dir := range []string{"objects", "uploads", "rotten"} {
		if err := os.MkdirAll(filepath.Join(opt.Dir, dir), 0o700); err != nil {
			return nil, fmt.Errorf("blob: %w", err)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Store{opt: opt, stop: stop, done: make(chan struct{}), dirtyBlobs: map[string]*entry{}, dirtyRefs: map[string]*ref{}, usedBytes: map[string]int64{},
		reservedBytes: map[string]int64{}, pins: map[string]int{}, deleting: map[string]bool{}, uploads: map[string]*Upload{}}
	s.deleted.L = &s.mu
	if err := s.openIndex(); err != nil {
		stop()
		return nil, err
	}
	err := s.openLog()
	if errors.Is(err, errIndexAhead) {
		// The log ends before the index does, for example after it was restored from
		// a backup. The log is authoritative.
		if err = s.resetIndex(); err == nil {
			err = s.openLog()
		}
	}
	if err == nil {
		err = s.openUploads()
	}
	if err != nil {
		stop()
		if s.log != nil {
			s.log.Close()
		}
		s.db.Close()
		return nil, err
	}
	go s.runMaintenance(ctx)
	return s, nil
}

// openLog opens the log and applies the records after the index's position.
func (s *Store) openLog() error {
	from, replayed := s.applied, 0
	log, err := wal.Open(filepath.Join(s.opt.Dir, "log"), wal.Options{Step: s.opt.Step}, from, func(at wal.Pos, b []byte) error {
		r, err := decodeRecord(b)
		if err != nil {
			return fmt.Errorf("%w at %v", err, at)
		}
		s.apply(r, at)
		if replayed++; replayed%checkpointRecords == 0 {
			return s.writeIndex(at) // the next start replays the record at this position again, which has no effect
		}
		return nil
	})
	if errors.Is(err, wal.ErrBehind) {
		return errIndexAhead
	}
	if err != nil {
		return err
	}
	s.log = log
	s.applied = log.End()
	return s.checkpoint()
}

// lookup returns the entry of a blob, or nil if there is none. s.mu is held.
func (s *Store) lookup(key string) *entry {
	if e, ok := s.dirtyBlobs[key]; ok {
		return e
	}
	var e *entry
	// Reading the index fails only if its file is unreadable; the blob then counts as missing.
	_ = s.db.View(func(tx *bolt.Tx) (err error) {
		if b := tx.Bucket(bucketBlobs).Get([]byte(key)); b != nil {
			e, err = decodeEntry(b)
		}
		return err
	})
	return e
}

// lookupForUpdate returns the entry of a blob for modification, or nil if there is none. s.mu is held.
func (s *Store) lookupForUpdate(key string) *entry {
	e := s.lookup(key)
	if e == nil {
		return nil
	}
	if _, ok := s.dirtyBlobs[key]; !ok {
		s.dirtyBlobs[key] = e
	}
	return e
}

// lookupRef returns a reference, or nil if there is none. s.mu is held.
func (s *Store) lookupRef(name string) *ref {
	if r, ok := s.dirtyRefs[name]; ok {
		return r
	}
	var r *ref
	_ = s.db.View(func(tx *bolt.Tx) error {
		if b := tx.Bucket(bucketRefs).Get([]byte(name)); b != nil {
			r = decodeRef(b)
		}
		return nil
	})
	return r
}

func (r *ref) encode() []byte {
	b := binary.BigEndian.AppendUint32(nil, r.pos.Segment)
	b = binary.BigEndian.AppendUint64(b, uint64(r.pos.Offset))
	b = appendString(b, r.tenant)
	return append(b, strings.Join(r.keys, "")...)
}

func decodeRef(b []byte) *ref {
	d := &decoder{b: b}
	r := &ref{}
	if head := d.take(12); !d.failed {
		r.pos = wal.Pos{Segment: binary.BigEndian.Uint32(head), Offset: int64(binary.BigEndian.Uint64(head[4:]))}
	}
	r.tenant = string(d.take(d.uvarint()))
	for len(d.b) >= keySize {
		r.keys = append(r.keys, string(d.take(keySize)))
	}
	return r
}

// apply applies a log record to the index. s.mu is held, or the store is being
// opened. Applying is idempotent: replaying the records from a position again yields
// the same index.
func (s *Store) apply(r *record, at wal.Pos) {
	key := r.digest.key()
	switch r.kind {
	case recInline, recFile:
		e := s.lookupForUpdate(key)
		if e == nil {
			e = &entry{codec: r.codec, inline: r.kind == recInline, stored: r.stored, lastUsed: s.opt.Now().Unix()}
			s.dirtyBlobs[key] = e
			s.usedBytes[""] += r.stored
		} else if e.corrupt || e.pos != at { // repaired, or rewritten later in the log
			s.adjustUsage(e, r.stored-e.stored)
			e.codec, e.inline, e.stored, e.corrupt = r.codec, r.kind == recInline, r.stored, false
		}
		e.pos = at
		s.addTenant(e, r.tenant)
	case recTenant:
		if e := s.lookupForUpdate(key); e != nil {
			s.addTenant(e, r.tenant)
			if now := s.opt.Now().Unix(); now-e.lastUsed > 60 {
				e.lastUsed = now
			}
		}
	case recDrop:
		if e := s.lookupForUpdate(key); e != nil {
			s.adjustUsage(e, -e.stored)
			s.dirtyBlobs[key] = nil
		}
	case recRef, recUnref:
		if old := s.lookupRef(r.name); old != nil {
			s.adjustRefCounts(old.keys, -1)
		}
		s.dirtyRefs[r.name] = nil
		if r.kind == recRef {
			s.dirtyRefs[r.name] = &ref{tenant: r.tenant, keys: r.keys, pos: at}
			s.adjustRefCounts(r.keys, 1)
		}
	}
}

// adjustUsage adds bytes to the usage of the store and of every tenant that owns the blob.
func (s *Store) adjustUsage(e *entry, bytes int64) {
	s.usedBytes[""] += bytes
	for _, t := range e.tenants {
		s.usedBytes[t] += bytes
	}
}

// addTenant makes a tenant an owner of a blob and charges the blob to it.
func (s *Store) addTenant(e *entry, tenant string) {
	if !slices.Contains(e.tenants, tenant) {
		e.tenants = append(slices.Clone(e.tenants), tenant)
		s.usedBytes[tenant] += e.stored
	}
}

func (s *Store) adjustRefCounts(keys []string, by int) {
	for _, k := range keys {
		if e := s.lookupForUpdate(k); e != nil {
			e.refs = uint32(max(0, int(e.refs)+by))
		}
	}
}

// commit appends records to the log and applies them to the index.
func (s *Store) commit(ctx context.Context, rs ...*record) error {
	var data [][]byte
	for _, r := range rs {
		data = append(data, r.encode())
	}
	// The context's cancellation is ignored: a cancelled append could still be written
	// to the log without being applied to the index.
	s.commitLock.RLock()
	defer s.commitLock.RUnlock()
	at, err := s.log.Append(context.WithoutCancel(ctx), data...)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, r := range rs {
		s.apply(r, at[i])
	}
	return nil
}

// Close writes the index and closes the store. Open readers stay usable.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	for _, u := range s.uploads {
		u.file.Close()
	}
	s.mu.Unlock()
	s.stop()
	<-s.done
	return errors.Join(s.log.Close(), s.checkpoint(), s.db.Close())
}

// objectPath is the path of a large blob's file.
func (s *Store) objectPath(d Digest) string {
	hash, size, _ := strings.Cut(d.String(), "/")
	return filepath.Join(s.opt.Dir, "objects", hash[:2], hash+"-"+size)
}

// Has reports whether a tenant owns a blob, and marks the blob as used now.
func (s *Store) Has(tenant string, d Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.touch(tenant, d.key()) != nil
}

// Missing returns those of the given blobs that a tenant does not own. The others are
// marked as used now, so that they are not collected before they reach the age again.
func (s *Store) Missing(tenant string, ds []Digest) (missing []Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range ds {
		if s.touch(tenant, d.key()) == nil {
			missing = append(missing, d)
		}
	}
	return missing
}

// touch returns the entry of an intact blob that a tenant owns and marks it as used now, or
// returns nil. s.mu is held.
func (s *Store) touch(tenant, key string) *entry {
	e := s.lookup(key)
	if e == nil || e.corrupt || s.deleting[key] || !slices.Contains(e.tenants, tenant) {
		return nil
	}
	if now := s.opt.Now().Unix(); now-e.lastUsed > 60 {
		s.lookupForUpdate(key).lastUsed = now
	}
	return e
}

// Stats describes the contents of a store.
type Stats struct {
	Blobs   int
	Bytes   int64            // on disk, as counted for quotas
	Tenants map[string]int64 // by tenant; a blob counts for each tenant that owns it
	Uploads int
}

// Stats returns the current usage. The number of blobs is that of the last checkpoint.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{Bytes: s.usedBytes[""], Tenants: maps.Clone(s.usedBytes), Uploads: len(s.uploads)}
	delete(st.Tenants, "")
	_ = s.db.View(func(tx *bolt.Tx) error {
		st.Blobs = tx.Bucket(bucketBlobs).Stats().KeyN
		return nil
	})
	return st
}
