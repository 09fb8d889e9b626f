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

// SetRef keeps blobs from being collected under a name, in place of what the name
// stood for before. All of them must be there for the tenant. It is durable when it
// returns.
func (s *Store) SetRef(ctx context.Context, tenant, name string, ds ...Digest) error {
	r := &record{kind: recRef, tenant: tenant, name: name}
	s.mu.Lock()
	for _, d := range ds {
		if s.touch(tenant, d.key()) == nil {
			s.mu.Unlock()
			s.unpinAll(r.keys)
			return fmt.Errorf("%w: %s", ErrNotFound, d)
		}
		s.pins[d.key()]++ // until the reference counts
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

// DropRef takes a reference back. One that is not there is no error.
func (s *Store) DropRef(ctx context.Context, name string) error {
	s.mu.Lock()
	r := s.lookupRef(name)
	s.mu.Unlock()
	if r == nil {
		return nil
	}
	return s.commit(ctx, &record{kind: recUnref, name: name})
}

// Ref gives what a name stands for.
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

// Refs lists the names of references with a prefix, in order, after a name, at most
// so many.
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

// forEachBlob walks over all blobs in order of their digests, in pieces, so that the store
// stays usable meanwhile. Blobs that come or go during the walk may be missed.
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

// Collect drops blobs that no reference holds and that were not used for an age.
// What a reader or an upload has open stays. It also gives back the log's space that
// dropped blobs took. It gives how many blobs and bytes went.
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

// deleteIfUnused takes one blob out if nothing holds it.
func (s *Store) deleteIfUnused(ctx context.Context, key string, limit int64) (ok bool, size int64, err error) {
	s.mu.Lock()
	e := s.lookup(key)
	if e == nil || e.refs > 0 || e.lastUsed > limit || s.pins[key] > 0 || s.deleting[key] {
		s.mu.Unlock()
		return false, 0, nil
	}
	s.deleting[key] = true // nobody opens or takes it from now on
	size, small := e.stored, e.inline
	s.mu.Unlock()
	err = s.commit(ctx, &record{kind: recDrop, digest: digestFromKey(key)})
	if err == nil && !small {
		// A file that stays behind is found by the next Sweep.
		_ = os.Remove(s.objectPath(digestFromKey(key)))
	}
	s.mu.Lock()
	delete(s.deleting, key)
	s.mu.Unlock()
	s.deleted.Broadcast()
	return err == nil, size, err
}

// compact moves what lives on in the log's first segments to its end while that
// gives back at least half of them.
func (s *Store) compact(ctx context.Context) error {
	return s.log.Compact(ctx, func(at wal.Pos, b []byte) (func() error, error) {
		r, err := decodeRecord(b)
		if err != nil || !s.isLive(r, at) {
			return nil, err
		}
		r.data = slices.Clone(r.data)
		return func() error { return s.rewrite(ctx, r, at) }, nil
	}, s.checkpoint) // the index must know the new places before the old ones go
}

// isLive says whether a record is still needed to make the index again. A tenant's
// record is moved with its blob's, and a drop's blob was in an earlier segment,
// which is gone.
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

// rewrite writes a record again at the end of the log, unless it died meanwhile.
func (s *Store) rewrite(ctx context.Context, r *record, was wal.Pos) error {
	if !s.isLive(r, was) {
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

// ScrubResult is what a scrub found.
type ScrubResult struct {
	Blobs, Bad, Repaired int
	Bytes                int64
	Unrepaired           []Digest // went bad and could not be repaired, at most 1000
	Orphans              int      // files that belong to no blob, removed
}

// Scrub reads every blob and compares it with its digest, at most so many bytes a
// second. What went bad is repaired by Options.Repair; else it is put aside, counts
// as missing and can be uploaded again. Files that belong to no blob are removed.
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

// verify reads a blob and says whether it is what it should be.
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

// repair puts a good copy in place of a bad one.
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

// removeOrphans removes object files that the index does not know: a process that ended
// between moving a file and writing its record leaves one, as does one that ended
// before it removed a collected blob's.
func (s *Store) removeOrphans(ctx context.Context) (strays int, err error) {
	dirs, err := os.ReadDir(filepath.Join(s.opt.Dir, "objects"))
	if err != nil {
		return 0, fmt.Errorf("blob: %w", err)
	}
	for _, dir := range dirs {
		files, err := os.ReadDir(filepath.Join(s.opt.Dir, "objects", dir.Name()))
		if err != nil {
			return strays, fmt.Errorf("blob: %w", err)
		}
		for _, f := range files {
			if ctx.Err() != nil {
				return strays, ctx.Err()
			}
			path := filepath.Join(s.opt.Dir, "objects", dir.Name(), f.Name())
			info, err := f.Info()
			if err != nil || s.opt.Now().Sub(info.ModTime()) < time.Hour {
				continue // perhaps on its way in
			}
			d, derr := parseObjectName(f.Name())
			s.mu.Lock()
			e := s.lookup(d.key())
			stray := derr != nil || ((e == nil || e.inline) && s.pins[d.key()] == 0)
			if stray {
				err = os.Remove(path)
			}
			s.mu.Unlock()
			if stray && err == nil {
				strays++
			}
		}
	}
	return strays, nil
}
