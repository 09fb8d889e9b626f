package blob

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	bolt "go.etcd.io/bbolt"

	"topazhollow/internal/wal"
)

// SetRef sets a named reference to blobs, which protects them from collection. It
// replaces an earlier reference of that name. The tenant must own all the blobs. The
// reference is durable when SetRef returns.
func (s *Store) SetRef(ctx context.Context, tenant, name string, ds ...Digest) error {
	r := &record{kind: recRef, tenant: tenant, name: name}
	s.mu.Lock()
	for _, d := range ds {
		if s.touch(tenant, d.key()) == nil {
			s.mu.Unlock()
			s.unpinAll(r.keys)
			return fmt.Errorf("%w: %s", ErrNotFound, d)
		}
		s.pins[d.key()]++ // until the reference is applied
		r.keys = append(r.keys, d.key())
	}
	s.mu.Unlock()
	defer s.unpinAll(r.keys)
	return s.commit(ctx, r)
}

func (s *Store) unpinAll(keys []string) {
	for _, k := range keys {
		s.unpin(k)
	}
}

// DropRef removes a reference. It is no error if there is none.
func (s *Store) DropRef(ctx context.Context, name string) error {
	s.mu.Lock()
	r := s.lookupRef(name)
	s.mu.Unlock()
	if r == nil {
		return nil
	}
	return s.commit(ctx, &record{kind: recUnref, name: name})
}

// Ref returns the tenant and the blobs of a reference.
func (s *Store) Ref(name string) (tenant string, ds []Digest, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.lookupRef(name)
	if r == nil {
		return "", nil, false
	}
	for _, k := range r.keys {
		ds = append(ds, digestFromKey(k))
	}
	return r.tenant, ds, true
}

// Refs returns, in order, the names of references that begin with a prefix and sort
// after a given name, at most as many as most.
func (s *Store) Refs(prefix, after string, most int) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := map[string]bool{}
	for name, r := range s.dirtyRefs {
		if strings.HasPrefix(name, prefix) && name > after {
			changed[name] = r != nil
		}
	}
	var names []string
	err := s.db.View(func(tx *bolt.Tx) error {
		c := tx.Bucket(bucketRefs).Cursor()
		for k, _ := c.Seek([]byte(max(prefix, after))); k != nil && strings.HasPrefix(string(k), prefix) && len(names) < most+len(changed); k, _ = c.Next() {
			name := string(k)
			if _, known := changed[name]; !known && name > after {
				names = append(names, name)
			}
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("blob: index: %w", err)
	}
	for name, there := range changed {
		if there {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(most, len(names))], nil
}

// forEachBlob calls f for all blobs in order of their digests. It reads the index in
// pages, so that it does not block the store. Blobs that are added or deleted
// meanwhile may be missed.
func (s *Store) forEachBlob(ctx context.Context, from string, f func(key string, e *entry) error) error {
	if err := s.checkpoint(); err != nil {
		return err
	}
	for ctx.Err() == nil {
		var keys []string
		var list []*entry
		err := s.db.View(func(tx *bolt.Tx) error {
			c := tx.Bucket(bucketBlobs).Cursor()
			for k, v := c.Seek([]byte(from)); k != nil && len(keys) < 512; k, v = c.Next() {
				e, err := decodeEntry(v)
				if err != nil {
					return err
				}
				keys, list = append(keys, string(k)), append(list, e)
			}
			return nil
		})
		if err != nil {
			return fmt.Errorf("blob: index: %w", err)
		}
		for i, k := range keys {
			if err := f(k, list[i]); err != nil {
				return err
			}
		}
		if len(keys) < 512 {
			return nil
		}
		from = keys[len(keys)-1] + "\x00"
	}
	return ctx.Err()
}

// Collect deletes blobs that have no reference, no open reader or upload, and were
// not used for the given age. It also compacts the log. It returns the number of
// deleted blobs and their bytes.
func (s *Store) Collect(ctx context.Context, age time.Duration) (blobs int, freed int64, err error) {
	limit := s.opt.Now().Add(-age).Unix()
	err = s.forEachBlob(ctx, "", func(key string, _ *entry) error {
		ok, size, err := s.deleteIfUnused(ctx, key, limit)
		if ok {
			blobs++
			freed += size
		}
		return err
	})
	if err == nil {
		err = s.compact(ctx)
	}
	return blobs, freed, err
}

// deleteIfUnused deletes a blob that has no reference, reader or upload and was not used after limit.
func (s *Store) deleteIfUnused(ctx context.Context, key string, limit int64) (ok bool, size int64, err error) {
	s.mu.Lock()
	e := s.lookup(key)
	if e == nil || e.refs > 0 || e.lastUsed > limit || s.pins[key] > 0 || s.deleting[key] {
		s.mu.Unlock()
		return false, 0, nil
	}
	s.deleting[key] = true // from now on it can be neither opened nor stored
	size, inline := e.stored, e.inline
	s.mu.Unlock()
	err = s.commit(ctx, &record{kind: recDrop, digest: digestFromKey(key)})
	if err == nil && !inline {
		// A file that remains is removed by the next scrub.
		_ = os.Remove(s.objectPath(digestFromKey(key)))
	}
	s.mu.Lock()
	delete(s.deleting, key)
	s.mu.Unlock()
	s.deleted.Broadcast()
	return err == nil, size, err
}

// compact rewrites the live records of the log's oldest segments at its end, as long
// as that frees at least half of a segment.
func (s *Store) compact(ctx context.Context) error {
	return s.log.Compact(ctx, func(at wal.Pos, b []byte) (func() error, error) {
		r, err := decodeRecord(b)
		if err != nil || !s.isLive(r, at) {
			return nil, err
		}
		r.data = slices.Clone(r.data)
		return func() error { return s.rewrite(ctx, r, at) }, nil
	}, s.checkpoint) // the index must have the new positions before the old segment is removed
}

// isLive reports whether a record is still needed to rebuild the index. A tenant's
// record is rewritten along with its blob's record. A drop record is never needed, since
// the record of its blob is removed before it or with it.
func (s *Store) isLive(r *record, at wal.Pos) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.kind {
	case recInline, recFile:
		e := s.lookup(r.digest.key())
		return e != nil && e.pos == at
	case recTenant:
		return s.lookup(r.digest.key()) != nil
	case recRef:
		f := s.lookupRef(r.name)
		return f != nil && f.pos == at
	}
	return false
}

// rewrite appends the record at a position again at the end of the log, unless it is no longer live.
func (s *Store) rewrite(ctx context.Context, r *record, at wal.Pos) error {
	if !s.isLive(r, at) {
		return nil
	}
	rs := []*record{r}
	if r.kind == recInline || r.kind == recFile {
		s.mu.Lock()
		if e := s.lookup(r.digest.key()); e != nil {
			for _, t := range e.tenants {
				if t != r.tenant {
					rs = append(rs, &record{kind: recTenant, digest: r.digest, tenant: t})
				}
			}
		}
		s.mu.Unlock()
	}
	return s.commit(ctx, rs...)
}

// ScrubResult is the result of a scrub.
type ScrubResult struct {
	Blobs, Bad, Repaired int
	Bytes                int64
	Unrepaired           []Digest // corrupt blobs that could not be repaired, at most 1000
	Orphans              int      // removed files that belong to no blob
}

// Scrub reads every blob at a limited rate and verifies its digest. A corrupt blob is
// replaced by a copy from Options.Repair; if there is none, the blob counts as missing
// and can be uploaded again. Files that belong to no blob are removed.
func (s *Store) Scrub(ctx context.Context, bytesPerSecond float64) (ScrubResult, error) {
	var found ScrubResult
	limit := rate.NewLimiter(rate.Limit(bytesPerSecond), 1<<20)
	err := s.forEachBlob(ctx, "", func(key string, _ *entry) error {
		d := digestFromKey(key)
		found.Blobs++
		found.Bytes += d.Size
		for left := d.Size; left > 0; left -= 1 << 20 {
			if err := limit.WaitN(ctx, int(min(left, 1<<20))); err != nil {
				return err
			}
		}
		if s.verify(d) {
			return nil
		}
		s.mu.Lock()
		e := s.lookup(key)
		bad := e != nil && !s.deleting[key]
		if bad && !e.corrupt {
			s.lookupForUpdate(key).corrupt = true
		}
		s.mu.Unlock()
		if !bad {
			return nil // collected meanwhile
		}
		found.Bad++
		if s.repair(ctx, d) {
			found.Repaired++
		} else if len(found.Unrepaired) < 1000 {
			found.Unrepaired = append(found.Unrepaired, d)
		}
		return nil
	})
	if err == nil {
		found.Orphans, err = s.removeOrphans(ctx)
	}
	return found, err
}

// verify reads a blob and reports whether its content matches its digest.
func (s *Store) verify(d Digest) bool {
	r, err := s.open(d, 0, s.lookup)
	if err != nil {
		return errors.Is(err, ErrNotFound) // collected meanwhile
	}
	defer r.Close()
	sum := NewSum()
	n, err := io.Copy(sum, io.LimitReader(r, d.Size+1))
	return err == nil && n == d.Size && sum.Is(d)
}

// repair replaces a corrupt blob by a copy from Options.Repair.
func (s *Store) repair(ctx context.Context, d Digest) bool {
	key := d.key()
	s.mu.Lock()
	e := s.lookup(key)
	if e == nil {
		s.mu.Unlock()
		return false
	}
	tenants := slices.Clone(e.tenants)
	s.pins[key]++
	s.mu.Unlock()
	defer s.unpin(key)
	if s.opt.Repair == nil || len(tenants) == 0 {
		return false
	}
	good, err := s.opt.Repair(ctx, d)
	if err != nil {
		return false
	}
	defer good.Close()
	u, done, err := s.Begin(tenants[0], d, UseReserve)
	if err != nil || done {
		return false
	}
	buf := make([]byte, 256<<10)
	for at := int64(0); ; {
		n, rerr := good.Read(buf)
		if err := u.Write(at, buf[:n]); err != nil {
			break
		}
		at += int64(n)
		if rerr == io.EOF {
			if u.Commit(ctx) == nil {
				return true
			}
			break
		}
		if rerr != nil {
			break
		}
	}
	u.Abort()
	return false
}

// removeOrphans removes object files without an entry in the index. A process leaves
// one if it ends after it renamed the file and before it wrote the record, or before
// it removed the file of a deleted blob.
func (s *Store) removeOrphans(ctx context.Context) (orphans int, err error) {
	dirs, err := os.ReadDir(filepath.Join(s.opt.Dir, "objects"))
	if err != nil {
		return 0, fmt.Errorf("blob: %w", err)
	}
	for _, dir := range dirs {
		files, err := os.ReadDir(filepath.Join(s.opt.Dir, "objects", dir.Name()))
		if err != nil {
			return orphans, fmt.Errorf("blob: %w", err)
		}
		for _, f := range files {
			if ctx.Err() != nil {
				return orphans, ctx.Err()
			}
			path := filepath.Join(s.opt.Dir, "objects", dir.Name(), f.Name())
			info, err := f.Info()
			if err != nil || s.opt.Now().Sub(info.ModTime()) < time.Hour {
				continue // the file may belong to an upload that is being committed
			}
			d, derr := parseObjectName(f.Name())
			s.mu.Lock()
			e := s.lookup(d.key())
			orphan := derr != nil || ((e == nil || e.inline) && s.pins[d.key()] == 0)
			if orphan {
				err = os.Remove(path)
			}
			s.mu.Unlock()
			if orphan && err == nil {
				orphans++
			}
		}
	}
	return orphans, nil
}
