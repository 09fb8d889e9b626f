// Package blob keeps content under its sha256 on a local disk: for logs, artefacts
// and build actions alike. Small blobs lie in a log (package wal), large ones in
// files of their own; whatever a caller was told to be there is durable before.
// Everything that the index holds can be made again from the log, so that an index
// that is lost costs time only.
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

// Errors that callers decide by.
var (
	ErrDigest   = errors.New("blob: malformed digest")
	ErrNotFound = errors.New("blob: not here")
	ErrCorrupt  = errors.New("blob: went bad on the disk")
	ErrMismatch = errors.New("blob: content does not have that digest")
	ErrOffset   = errors.New("blob: upload goes on at another offset")
	ErrUpload   = errors.New("blob: no such upload")
	ErrTenant   = errors.New("blob: this tenant does not have it")
	ErrBusy     = errors.New("blob: too many uploads")
)

// FullError says that a quota leaves no room; try again once something was
// collected.
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
	return fmt.Sprintf("blob: %s has room for %d bytes, not for %d; try again in %s", whose, e.Free, e.Want, e.Retry)
}

// Options are a store's choices.
type Options struct {
	Dir           string
	MaxInline     int64                      // blobs up to so many bytes lie in the log; 16 KiB if 0
	Quota         int64                      // bytes on disk in all; 0: no bound
	Reserve       int64                      // of these, kept for what must not fail (see Urgent)
	TenantQuota   func(tenant string) int64  // a tenant's bytes; nil or 0: no bound of its own
	MaxUploads    int                        // open at a time; 1024 if 0
	UploadTimeout time.Duration              // uploads that nobody touched for so long are dropped; 1 h if 0
	Now           func() time.Time           // for ages; time.Now if nil
	Step          func(step string)          // told of each durable step, for tests
	OpenFile      func(string) (File, error) // opens upload files, for tests
	// Repair gives a good copy of a blob that went bad here, as from a replica.
	Repair func(ctx context.Context, d Digest) (io.ReadCloser, error)
}

// File is an open upload file, as the log's files are.
type File = wal.File

// Store is an open store. Its methods may be called at the same time.
type Store struct {
	opt  Options
	log  *wal.Log
	db   *bolt.DB
	stop context.CancelFunc
	done chan struct{}

	commitLock    sync.RWMutex // held for reading from before a record is written until it is applied
	mu            sync.Mutex
	deleted       sync.Cond
	dirtyBlobs    map[string]*entry // changed since the last checkpoint; nil: gone
	dirtyRefs     map[string]*ref   // the same for references
	usedBytes     map[string]int64  // bytes on disk by tenant, "" for all
	reservedBytes map[string]int64  // the same, promised to uploads
	pins          map[string]int    // readers and uploads of a blob
	deleting      map[string]bool
	uploads       map[string]*Upload
	applied       wal.Pos // behind the last record that fresh has
	closed        bool
}

// ref is a named reference to blobs.
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

// checkpointEvery is how often the index is brought up to date on disk, and
// checkpointAt how many changes make it sooner. Both bound what a start reads of
// the log again.
const (
	checkpointEvery = 2 * time.Second
	checkpointAt    = 8192
)

// Open opens the store in a directory, which it makes if need be. An index that is
// missing or can't be read is made again from the log.
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
		// The log does not reach as far as the index: it was put back from a copy, say.
		// The log is the truth.
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

func (s *Store) openLog() error {
	from, replayed := s.applied, 0
	log, err := wal.Open(filepath.Join(s.opt.Dir, "log"), wal.Options{Step: s.opt.Step}, from, func(at wal.Pos, b []byte) error {
		r, err := decodeRecord(b)
		if err != nil {
			return fmt.Errorf("%w at %v", err, at)
		}
		s.apply(r, at)
		if replayed++; replayed%checkpointAt == 0 {
			return s.writeIndex(at) // this record is then read again, which changes nothing
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

// lookup gives what is known of a blob; nil if it is not here. s.mu is held.
func (s *Store) lookup(key string) *entry {
	if e, ok := s.dirtyBlobs[key]; ok {
		return e
	}
	var e *entry
	// A read of the index fails only if its file is unreadable.
	_ = s.db.View(func(tx *bolt.Tx) (err error) {
		if b := tx.Bucket(bucketBlobs).Get([]byte(key)); b != nil {
			e, err = decodeEntry(b)
		}
		return err
	})
	return e
}

// lookupForUpdate gives the entry of a blob to be changed, nil if it is not here. s.mu is held.
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

// apply carries a record of the log over to the index. s.mu is held, or the store
// is being opened. It must give the same for the same records however often it is
// done from a position on.
func (s *Store) apply(r *record, at wal.Pos) {
	key := r.digest.key()
	switch r.kind {
	case recInline, recFile:
		e := s.lookupForUpdate(key)
		if e == nil {
			e = &entry{codec: r.codec, inline: r.kind == recInline, stored: r.stored, lastUsed: s.opt.Now().Unix()}
			s.dirtyBlobs[key] = e
			s.usedBytes[""] += r.stored
		} else if e.corrupt || e.pos != at { // repaired, or moved on in the log
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

// adjustUsage adds to what a blob takes of all quotas that it is counted in.
func (s *Store) adjustUsage(e *entry, bytes int64) {
	s.usedBytes[""] += bytes
	for _, t := range e.tenants {
		s.usedBytes[t] += bytes
	}
}

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

// commit writes records to the log and carries them over to the index.
func (s *Store) commit(ctx context.Context, rs ...*record) error {
	var data [][]byte
	for _, r := range rs {
		data = append(data, r.encode())
	}
	// What was begun is seen through: a caller that gives up must not leave it open
	// whether the records are there.
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

// Close brings the index up to date and ends the store. Open readers may be read
// to their end.
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

// objectPath is the file of a large blob.
func (s *Store) objectPath(d Digest) string {
	hash, size, _ := strings.Cut(d.String(), "/")
	return filepath.Join(s.opt.Dir, "objects", hash[:2], hash+"-"+size)
}

// Has says whether a tenant has a blob here, and counts it as used now.
func (s *Store) Has(tenant string, d Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.touch(tenant, d.key()) != nil
}

// Missing lists those of some blobs that a tenant does not have here. The others
// count as used now, so that they are not collected before they have an age again.
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

// Stats is what a store holds.
type Stats struct {
	Blobs   int
	Bytes   int64            // on disk, by the quotas' count
	Tenants map[string]int64 // the same by tenant; what several have counts for each
	Uploads int
}

// Stats counts what is here. Blobs are those of the last checkpoint.
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
