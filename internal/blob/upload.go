package blob

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"

	"topazhollow/internal/wal"
)

// Upload is a blob on its way in. What was written is kept across a restart of the
// store, but is durable, and seen by anybody, only once Commit returned.
type Upload struct {
	store  *Store
	id     string
	tenant string
	digest Digest
	urgent bool
	file   File

	mu       sync.Mutex
	sum      Sum // of the first bytes; the zero Sum: to be read again
	written  int64
	lastUsed time.Time
	ended    bool
}

// quotaRetryDelay is when to come back to a store without room.
const quotaRetryDelay = 10 * time.Second

// UploadOption is an option of an upload.
type UploadOption int

// UseReserve uploads may use the reserve: what must not fail once it was begun, as the
// seal of an attempt.
const UseReserve UploadOption = 1

// Begin starts an upload for a tenant. Room for it is kept until it ends. done says
// that the tenant has the blob already. Another tenant's blob does not count: who
// has no content to show gets none.
func (s *Store) Begin(tenant string, d Digest, choices ...UploadOption) (u *Upload, done bool, err error) {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails
	return s.BeginWithID(id, tenant, d, choices...)
}

// BeginWithID is Begin under an id of the caller's choice, so that it can find the upload
// again after a restart. One that is under way under that id is gone on with.
func (s *Store) BeginWithID(id [16]byte, tenant string, d Digest, choices ...UploadOption) (u *Upload, done bool, err error) {
	if s.Has(tenant, d) {
		return nil, true, nil
	}
	if u, err := s.Resume(tenant, hex.EncodeToString(id[:])); err == nil && u.digest == d {
		return u, false, nil
	}
	urgent := len(choices) > 0
	u = &Upload{store: s, id: hex.EncodeToString(id[:]), tenant: tenant, digest: d, urgent: urgent, sum: NewSum(), lastUsed: s.opt.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.uploads) >= s.opt.MaxUploads {
		return nil, false, ErrBusy
	}
	if err := s.reserveSpace(tenant, d.Size, urgent); err != nil {
		return nil, false, err
	}
	u.file, err = s.opt.OpenFile(s.uploadPath(u))
	if err != nil {
		s.releaseSpace(tenant, d.Size)
		return nil, false, fmt.Errorf("blob: %w", err)
	}
	s.uploads[u.id] = u
	s.pins[d.key()]++
	return u, false, nil
}

// reserveSpace keeps room for so many bytes. s.mu is held.
func (s *Store) reserveSpace(tenant string, bytes int64, urgent bool) error {
	free := int64(1) << 62
	if s.opt.Quota > 0 {
		free = s.opt.Quota - s.usedBytes[""] - s.reservedBytes[""]
		if !urgent {
			free -= s.opt.Reserve
		}
	}
	if bytes > free {
		return &FullError{Want: bytes, Free: max(0, free), Retry: quotaRetryDelay}
	}
	if s.opt.TenantQuota != nil && !urgent {
		if quota := s.opt.TenantQuota(tenant); quota > 0 && s.usedBytes[tenant]+s.reservedBytes[tenant]+bytes > quota {
			return &FullError{Tenant: tenant, Want: bytes, Free: max(0, quota-s.usedBytes[tenant]-s.reservedBytes[tenant]), Retry: quotaRetryDelay}
		}
	}
	s.reservedBytes[""] += bytes
	s.reservedBytes[tenant] += bytes
	return nil
}

// ReserveSpace keeps room for bytes that are written elsewhere on the same disk, as to the log
// of what is not sealed yet; Release gives it back. It is a FullError if there is none.
func (s *Store) ReserveSpace(tenant string, bytes int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reserveSpace(tenant, bytes, false)
}

// AccountSpace is Hold for what is on the disk already: it can't be refused.
func (s *Store) AccountSpace(tenant string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reservedBytes[""] += bytes
	s.reservedBytes[tenant] += bytes
}

// ReleaseSpace gives back what Hold or Held kept.
func (s *Store) ReleaseSpace(tenant string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseSpace(tenant, bytes)
}

func (s *Store) releaseSpace(tenant string, bytes int64) {
	s.reservedBytes[""] -= bytes
	if s.reservedBytes[tenant] -= bytes; s.reservedBytes[tenant] <= 0 {
		delete(s.reservedBytes, tenant)
	}
}

// uploadPath names an upload's file by all that a restart must know of it.
func (s *Store) uploadPath(u *Upload) string {
	hash := hex.EncodeToString(u.digest.Hash[:])
	return filepath.Join(s.opt.Dir, "uploads", fmt.Sprintf("%s-%s-%d-%s", u.id, hash, u.digest.Size, hex.EncodeToString([]byte(u.tenant))))
}

// openUploads takes up the uploads that were on their way when the store ended.
func (s *Store) openUploads() error {
	entries, err := os.ReadDir(filepath.Join(s.opt.Dir, "uploads"))
	if err != nil {
		return fmt.Errorf("blob: %w", err)
	}
	for _, e := range entries {
		path := filepath.Join(s.opt.Dir, "uploads", e.Name())
		parts := bytes.SplitN([]byte(e.Name()), []byte("-"), 4)
		info, err := e.Info()
		u := &Upload{store: s}
		if err == nil && len(parts) == 4 && len(parts[0]) == 32 {
			u.id = string(parts[0])
			u.digest, err = Parse(string(parts[1]) + "/" + string(parts[2]))
			tenant, terr := hex.DecodeString(string(parts[3]))
			u.tenant, err = string(tenant), errors.Join(err, terr)
		} else {
			err = ErrUpload // left over from packing a blob
		}
		if err != nil || info.Size() > u.digest.Size || s.reserveSpace(u.tenant, u.digest.Size, false) != nil {
			if err := os.Remove(path); err != nil {
				return fmt.Errorf("blob: %w", err)
			}
			continue
		}
		if u.file, err = s.opt.OpenFile(path); err != nil {
			return fmt.Errorf("blob: %w", err)
		}
		u.written, u.lastUsed = info.Size(), s.opt.Now()
		s.uploads[u.id] = u
		s.pins[u.digest.key()]++
	}
	return nil
}

// Resume finds an upload again by its id, for the tenant that began it.
func (s *Store) Resume(tenant, id string) (*Upload, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.uploads[id]
	if u == nil || u.tenant != tenant {
		return nil, ErrUpload
	}
	return u, nil
}

// dropAbandoned ends uploads that nobody touched for long. An upload's lock is never
// waited for with the store's held: a commit takes them the other way round, and the two
// would wait for each other for good.
func (s *Store) dropAbandoned() {
	s.mu.Lock()
	uploads := slices.Collect(maps.Values(s.uploads))
	s.mu.Unlock()
	for _, u := range uploads {
		u.mu.Lock()
		if s.opt.Now().Sub(u.lastUsed) > s.opt.UploadTimeout {
			u.end()
		}
		u.mu.Unlock()
	}
}

// ID names the upload, for Resume.
func (u *Upload) ID() string { return u.id }

// Digest is what is to come.
func (u *Upload) Digest() Digest { return u.digest }

// Offset is how many bytes are there.
func (u *Upload) Offset() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.written
}

// Write adds content at an offset. What is there already is passed over, so that a
// repeated piece has no second effect; a piece that begins behind the end is ErrGap.
func (u *Upload) Write(offset int64, p []byte) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastUsed = u.store.opt.Now()
	switch {
	case u.ended:
		return ErrUpload
	case offset < 0 || offset > u.written:
		return fmt.Errorf("%w: at %d, wanted at %d", ErrOffset, offset, u.written)
	case offset+int64(len(p)) > u.digest.Size:
		return fmt.Errorf("%w: more than %d bytes", ErrMismatch, u.digest.Size)
	case offset+int64(len(p)) <= u.written:
		return nil
	}
	p = p[u.written-offset:]
	if _, err := u.file.WriteAt(p, u.written); err != nil {
		// What went out is passed over by the next try.
		return fmt.Errorf("blob: %w", err)
	}
	if u.sum.Hash != nil {
		u.sum.Write(p)
	}
	u.written += int64(len(p))
	return nil
}

// Abort ends the upload and drops what was written.
func (u *Upload) Abort() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.end()
}

// end drops the upload's file. u.mu is held.
func (u *Upload) end() {
	if u.ended {
		return
	}
	u.ended = true
	u.file.Close()
	_ = os.Remove(u.store.uploadPath(u)) // moved away, or dropped at the next start
	s := u.store
	s.mu.Lock()
	delete(s.uploads, u.id)
	s.releaseSpace(u.tenant, u.digest.Size)
	s.mu.Unlock()
	s.unpin(u.digest.key())
}

// Commit verifies what was written and makes it visible. When it returns without an
// error the blob is durable. After ErrMismatch the upload is gone; after any other
// error it can be tried again.
func (u *Upload) Commit(ctx context.Context) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastUsed = u.store.opt.Now()
	switch {
	case u.ended:
		return ErrUpload
	case u.written < u.digest.Size:
		return fmt.Errorf("%w: %d of %d bytes are here", ErrOffset, u.written, u.digest.Size)
	}
	if u.sum.Hash == nil { // taken up after a restart
		sum := NewSum()
		if _, err := io.Copy(sum, io.NewSectionReader(u.file, 0, u.digest.Size)); err != nil {
			return fmt.Errorf("blob: %w", err)
		}
		u.sum = sum
	}
	if !u.sum.Is(u.digest) {
		u.end()
		return fmt.Errorf("%w: %s", ErrMismatch, u.digest)
	}
	if err := u.store.storeContent(ctx, u.tenant, u.digest, u.file, u.store.uploadPath(u)); err != nil {
		return err
	}
	u.end()
	return nil
}

// compressSampleBytes is how much of a blob is packed to see whether that maxCompressedRatio, and maxCompressedRatio the
// part of its size that it must come down to.
const (
	compressSampleBytes = 64 << 10
	maxCompressedRatio  = 0.8
)

// storeContent makes verified content durable and visible for a tenant. A large blob's file
// is moved from path.
func (s *Store) storeContent(ctx context.Context, tenant string, d Digest, file File, path string) error {
	if s.hasIntact(d.key()) {
		return s.commit(ctx, &record{kind: recTenant, digest: d, tenant: tenant})
	}
	if d.Size > s.opt.MaxInline {
		return s.storeFile(ctx, tenant, d, file, path)
	}
	data := make([]byte, d.Size)
	if _, err := file.ReadAt(data, 0); err != nil && err != io.EOF {
		return fmt.Errorf("blob: %w", err)
	}
	return s.commit(ctx, inlineRecord(tenant, d, data))
}

// hasIntact waits while a blob is being deleted, and says whether it is there and sound.
func (s *Store) hasIntact(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.deleting[key] {
		s.deleted.Wait()
	}
	e := s.lookup(key)
	return e != nil && !e.corrupt
}

// inlineRecord is a blob that lies in the log, packed if that pays.
func inlineRecord(tenant string, d Digest, data []byte) *record {
	r := &record{kind: recInline, digest: d, tenant: tenant, data: data}
	if packed := compress(data); packed != nil {
		r.codec, r.data = codecZstd, packed
	}
	r.stored = int64(len(r.data)) + keySize + 32
	return r
}

// storeFile makes a large blob's file durable, packed if that pays, and moves it to its place.
func (s *Store) storeFile(ctx context.Context, tenant string, d Digest, file File, path string) error {
	r := &record{kind: recFile, digest: d, tenant: tenant, stored: d.Size}
	sample := make([]byte, min(d.Size, compressSampleBytes))
	if _, err := file.ReadAt(sample, 0); err != nil && err != io.EOF {
		return fmt.Errorf("blob: %w", err)
	}
	if compress(sample) != nil {
		if packed, err := s.compressFile(d, file, path+".zst"); err == nil && float64(packed) <= maxCompressedRatio*float64(d.Size) {
			path, r.codec, r.stored = path+".zst", codecZstd, packed
		} else {
			_ = os.Remove(path + ".zst")
		}
	}
	if r.codec == codecNone {
		s.opt.Step("sync file")
		if err := file.Sync(); err != nil {
			return fmt.Errorf("blob: %w", err)
		}
	}
	if err := s.moveToObjects(path, s.objectPath(d)); err != nil {
		return fmt.Errorf("blob: %w", err)
	}
	return s.commit(ctx, r)
}

// moveToObjects moves a durable file to its place among the objects, so that it is there after a
// crash.
func (s *Store) moveToObjects(from, to string) error {
	if err := os.MkdirAll(filepath.Dir(to), 0o700); err != nil {
		return err
	}
	s.opt.Step("rename")
	if err := os.Rename(from, to); err != nil {
		return err
	}
	s.opt.Step("sync directory")
	return errors.Join(wal.SyncDir(filepath.Dir(to)), wal.SyncDir(filepath.Join(s.opt.Dir, "objects")))
}

var encoder = sync.OnceValue(func() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(2))
	if err != nil {
		panic(fmt.Sprintf("blob: zstd without an encoder: %v", err))
	}
	return e
})

// compress compresses data, or gives nil if that does not pay.
func compress(data []byte) []byte {
	if len(data) < 256 {
		return nil
	}
	packed := encoder().EncodeAll(data, make([]byte, 0, len(data)))
	if float64(len(packed)) > maxCompressedRatio*float64(len(data)) {
		return nil
	}
	return packed
}

// compressFile compresses a file into another, which is durable afterwards, and gives
// its size. The last step verifies that the content comes back.
func (s *Store) compressFile(d Digest, file File, path string) (int64, error) {
	out, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return 0, err
	}
	defer out.Close()
	z, err := zstd.NewWriter(out, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(z, io.NewSectionReader(file, 0, d.Size)); err != nil {
		z.Close()
		return 0, err
	}
	if err := z.Close(); err != nil {
		return 0, err
	}
	s.opt.Step("sync file")
	if err := out.Sync(); err != nil {
		return 0, err
	}
	return out.Seek(0, io.SeekCurrent)
}

// Put uploads a whole blob and gives its digest.
func (s *Store) Put(ctx context.Context, tenant string, data []byte, choices ...UploadOption) (Digest, error) {
	d := DigestOf(data)
	if d.Size <= s.opt.MaxInline { // no file needed
		if s.Has(tenant, d) {
			return d, nil
		}
		s.mu.Lock()
		err := s.reserveSpace(tenant, d.Size, len(choices) > 0)
		if err == nil {
			s.pins[d.key()]++
		}
		s.mu.Unlock()
		if err != nil {
			return d, err
		}
		err = s.storeContent(ctx, tenant, d, memoryFile{bytes.NewReader(data)}, "")
		s.mu.Lock()
		s.releaseSpace(tenant, d.Size)
		s.mu.Unlock()
		s.unpin(d.key())
		return d, err
	}
	u, done, err := s.Begin(tenant, d, choices...)
	if err != nil || done {
		return d, err
	}
	if err := u.Write(0, data); err != nil {
		u.Abort()
		return d, err
	}
	if err := u.Commit(ctx); err != nil {
		u.Abort()
		return d, err
	}
	return d, nil
}

// PutReader uploads a whole blob from a reader.
func (s *Store) PutReader(ctx context.Context, tenant string, d Digest, r io.Reader, choices ...UploadOption) error {
	u, done, err := s.Begin(tenant, d, choices...)
	if err != nil || done {
		return err
	}
	buf := make([]byte, min(d.Size+1, 256<<10))
	for err == nil {
		var n int
		n, err = r.Read(buf)
		if n > 0 {
			err = errors.Join(u.Write(u.Offset(), buf[:n]), err)
		}
	}
	if err == io.EOF || errors.Is(err, io.EOF) && u.Offset() == d.Size {
		err = u.Commit(ctx)
	}
	if err != nil {
		u.Abort()
	}
	return err
}

// memoryFile is a small blob's content, read like a file.
type memoryFile struct{ *bytes.Reader }

func (memoryFile) WriteAt([]byte, int64) (int, error) { return 0, errors.ErrUnsupported }
func (memoryFile) Sync() error                        { return nil }
func (memoryFile) Truncate(int64) error               { return errors.ErrUnsupported }
func (memoryFile) Close() error                       { return nil }
