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

// Upload is an upload in progress. Written bytes survive a restart of the store, but
// the blob is durable and visible only after Commit has returned.
type Upload struct {
	store  *Store
	id     string
	tenant string
	digest Digest
	urgent bool // begun with UseReserve
	file   File

	mu       sync.Mutex
	sum      Sum // of the written bytes; zero after a restart, when the file must be read
	written  int64
	lastUsed time.Time
	ended    bool
}

// quotaRetryDelay is the retry delay that a FullError suggests.
const quotaRetryDelay = 10 * time.Second

// UploadOption is an option of an upload.
type UploadOption int

// UseReserve lets an upload use Options.Reserve and exceed the tenant's quota. It is
// for data that must not be refused, such as the seal of an attempt.
const UseReserve UploadOption = 1

// Begin starts an upload for a tenant and reserves space for it until it ends. done
// reports that the tenant owns the blob already. If only other tenants own it, the
// content must be uploaded again, as proof that this tenant has it.
func (s *Store) Begin(tenant string, d Digest, options ...UploadOption) (u *Upload, done bool, err error) {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails
	return s.BeginWithID(id, tenant, d, options...)
}

// BeginWithID is Begin with an id chosen by the caller, so that it can find the upload after
// a restart. An open upload of the same blob with that id is continued.
func (s *Store) BeginWithID(id [16]byte, tenant string, d Digest, options ...UploadOption) (u *Upload, done bool, err error) {
	if s.Has(tenant, d) {
		return nil, true, nil
	}
	if u, err := s.Resume(tenant, hex.EncodeToString(id[:])); err == nil && u.digest == d {
		return u, false, nil
	}
	urgent := len(options) > 0
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

// reserveSpace reserves bytes within the quotas; urgent bytes may take the reserve and exceed the tenant's quota. s.mu
// is held.
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

// ReserveSpace reserves bytes that are written elsewhere on the same disk, such as to the
// log of unsealed attempts, until ReleaseSpace. It returns a FullError beyond a quota.
func (s *Store) ReserveSpace(tenant string, bytes int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reserveSpace(tenant, bytes, false)
}

// AccountSpace is ReserveSpace for bytes that are on the disk already: it never fails.
func (s *Store) AccountSpace(tenant string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reservedBytes[""] += bytes
	s.reservedBytes[tenant] += bytes
}

// ReleaseSpace releases bytes that ReserveSpace or AccountSpace reserved.
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

// uploadPath returns the path of an upload's file. Its name holds all that a restart needs.
func (s *Store) uploadPath(u *Upload) string {
	hash := hex.EncodeToString(u.digest.Hash[:])
	return filepath.Join(s.opt.Dir, "uploads", fmt.Sprintf("%s-%s-%d-%s", u.id, hash, u.digest.Size, hex.EncodeToString([]byte(u.tenant))))
}

// openUploads restores the uploads that were open when the store was last closed. They were admitted then, some perhaps
// to the reserve, so only the store's whole quota bounds them.
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
			err = ErrUpload // the file is left over from compressing a blob
		}
		if err != nil || info.Size() > u.digest.Size || s.reserveSpace(u.tenant, u.digest.Size, true) != nil {
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

// Resume returns an open upload by its id, for the tenant that began it.
func (s *Store) Resume(tenant, id string) (*Upload, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.uploads[id]
	if u == nil || u.tenant != tenant {
		return nil, ErrUpload
	}
	return u, nil
}

// dropAbandoned ends uploads that were idle for Options.UploadTimeout. The lock order is
// the upload's lock before the store's, as in Commit: locking an upload while s.mu is held
// would deadlock with it.
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

// ID returns the id of the upload, for Resume.
func (u *Upload) ID() string { return u.id }

// Digest returns the digest of the blob being uploaded.
func (u *Upload) Digest() Digest { return u.digest }

// Offset returns the number of bytes written.
func (u *Upload) Offset() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.written
}

// Write writes content at an offset. Bytes that were written before are skipped, so that a
// repeated write has no effect. It returns ErrOffset for an offset beyond the end.
func (u *Upload) Write(offset int64, p []byte) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastUsed = u.store.opt.Now()
	switch {
	case u.ended:
		return ErrUpload
	case offset < 0 || offset > u.written:
		return fmt.Errorf("%w: %d, want at most %d", ErrOffset, offset, u.written)
	case offset+int64(len(p)) > u.digest.Size:
		return fmt.Errorf("%w: more than %d bytes", ErrMismatch, u.digest.Size)
	case offset+int64(len(p)) <= u.written:
		return nil
	}
	p = p[u.written-offset:]
	if _, err := u.file.WriteAt(p, u.written); err != nil {
		// u.written stays: a retry overwrites what was written.
		return fmt.Errorf("blob: %w", err)
	}
	if u.sum.Hash != nil {
		u.sum.Write(p)
	}
	u.written += int64(len(p))
	return nil
}

// Abort ends the upload and removes what was written.
func (u *Upload) Abort() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.end()
}

// end closes the upload, removes its file and releases its space. u.mu is held.
func (u *Upload) end() {
	if u.ended {
		return
	}
	u.ended = true
	u.file.Close()
	_ = os.Remove(u.store.uploadPath(u)) // renamed already, or handled at the next start
	s := u.store
	s.mu.Lock()
	delete(s.uploads, u.id)
	s.releaseSpace(u.tenant, u.digest.Size)
	s.mu.Unlock()
	s.unpin(u.digest.key())
}

// Commit verifies the content and makes the blob durable and visible. After ErrMismatch
// the upload has ended; after any other error Commit can be called again.
func (u *Upload) Commit(ctx context.Context) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastUsed = u.store.opt.Now()
	switch {
	case u.ended:
		return ErrUpload
	case u.written < u.digest.Size:
		return fmt.Errorf("%w: %d of %d bytes written", ErrOffset, u.written, u.digest.Size)
	}
	if u.sum.Hash == nil { // resumed after a restart
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

// A blob is stored compressed if that reduces it to maxCompressedRatio of its size or
// less. A large blob is compressed only if that holds for a sample from its beginning.
const (
	compressSampleBytes = 64 << 10
	maxCompressedRatio  = 0.8
)

// storeContent makes verified content durable and visible for a tenant. The file of a
// large blob is renamed from path.
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

// hasIntact reports whether a blob is stored and not corrupt. It waits for a deletion in progress.
func (s *Store) hasIntact(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.deleting[key] {
		s.deleted.Wait()
	}
	e := s.lookup(key)
	return e != nil && !e.corrupt
}

// inlineRecord returns the record of a blob that is stored in the log.
func inlineRecord(tenant string, d Digest, data []byte) *record {
	r := &record{kind: recInline, digest: d, tenant: tenant, data: data}
	if packed := compress(data); packed != nil {
		r.codec, r.data = codecZstd, packed
	}
	r.stored = int64(len(r.data)) + keySize + 32
	return r
}

// storeFile makes a large blob's file durable, compressed if that saves enough space, and renames it to its final path.
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

// moveToObjects renames a synced file to its final path and syncs the directories, so that
// the name survives a crash.
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
		panic(fmt.Sprintf("blob: zstd encoder: %v", err))
	}
	return e
})

// compress compresses data. It returns nil if that does not save enough space.
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

// compressFile compresses a file into a new one at path, syncs it and returns its size.
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

// Put uploads a whole blob and returns its digest.
func (s *Store) Put(ctx context.Context, tenant string, data []byte, options ...UploadOption) (Digest, error) {
	d := DigestOf(data)
	if d.Size <= s.opt.MaxInline { // no file needed
		if s.Has(tenant, d) {
			return d, nil
		}
		s.mu.Lock()
		err := s.reserveSpace(tenant, d.Size, len(options) > 0)
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
	u, done, err := s.Begin(tenant, d, options...)
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
func (s *Store) PutReader(ctx context.Context, tenant string, d Digest, r io.Reader, options ...UploadOption) error {
	u, done, err := s.Begin(tenant, d, options...)
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

// memoryFile is the content of a small blob as a File.
type memoryFile struct{ *bytes.Reader }

func (memoryFile) WriteAt([]byte, int64) (int, error) { return 0, errors.ErrUnsupported }
func (memoryFile) Sync() error                        { return nil }
func (memoryFile) Truncate(int64) error               { return errors.ErrUnsupported }
func (memoryFile) Close() error                       { return nil }
