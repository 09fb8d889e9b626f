package blob

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// Reader reads the content of a blob. The blob is not collected until the reader is
// closed.
type Reader struct {
	io.Reader
	d     Digest
	close func()
	once  sync.Once
}

// Digest returns the digest of the blob being read.
func (r *Reader) Digest() Digest { return r.d }

// Close releases the blob.
func (r *Reader) Close() error {
	r.once.Do(r.close)
	return nil
}

// Open opens a blob that a tenant owns, starting at an offset. The content is not
// verified against the digest; Get and Scrub do that.
func (s *Store) Open(tenant string, d Digest, offset int64) (*Reader, error) {
	if offset < 0 || offset > d.Size {
		return nil, fmt.Errorf("%w: offset %d of %d", ErrNotFound, offset, d.Size)
	}
	return s.open(d, offset, func(key string) *entry { return s.touch(tenant, key) })
}

// OpenAny is Open without the check of the tenant, for callers that may read all blobs.
func (s *Store) OpenAny(d Digest, offset int64) (*Reader, error) {
	if offset < 0 || offset > d.Size {
		return nil, fmt.Errorf("%w: offset %d of %d", ErrNotFound, offset, d.Size)
	}
	return s.open(d, offset, func(key string) *entry {
		if e := s.lookup(key); e != nil && !e.corrupt && !s.deleting[key] {
			return e
		}
		return nil
	})
}

// open opens a blob, starting at an offset, if find returns its entry. Otherwise the error says why the blob can't be
// read.
func (s *Store) open(d Digest, offset int64, find func(key string) *entry) (*Reader, error) {
	key := d.key()
	for range 3 { // compaction may move a small blob in the log meanwhile
		s.mu.Lock()
		e := find(key)
		if e == nil {
			e := s.lookup(key)
			s.mu.Unlock()
			switch {
			case e == nil:
				return nil, fmt.Errorf("%w: %s", ErrNotFound, d)
			case e.corrupt:
				return nil, fmt.Errorf("%w: %s", ErrCorrupt, d)
			}
			return nil, fmt.Errorf("%w: %s", ErrTenant, d)
		}
		e = &entry{codec: e.codec, inline: e.inline, pos: e.pos}
		s.pins[key]++
		s.mu.Unlock()
		r, err := s.openContent(d, e)
		if err == nil {
			if _, err = io.CopyN(io.Discard, r, offset); err == nil {
				return &Reader{Reader: r, d: d, close: func() { r.Close(); s.unpin(key) }}, nil
			}
			r.Close()
		}
		s.unpin(key)
		if !errors.Is(err, fs.ErrNotExist) {
			return nil, fmt.Errorf("%w: %s: %v", ErrCorrupt, d, err)
		}
	}
	return nil, fmt.Errorf("%w: %s", ErrCorrupt, d)
}

func (s *Store) unpin(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pins[key]--; s.pins[key] <= 0 {
		delete(s.pins, key)
	}
}

// openContent opens the stored content of a blob, decompressed.
func (s *Store) openContent(d Digest, e *entry) (io.ReadCloser, error) {
	var raw io.ReadCloser
	if e.inline {
		b, err := s.log.Read(e.pos)
		if err != nil {
			return nil, err
		}
		r, err := decodeRecord(b)
		if err != nil {
			return nil, err
		}
		raw = io.NopCloser(bytes.NewReader(r.data))
	} else {
		f, err := os.Open(s.objectPath(d))
		if err != nil {
			return nil, err
		}
		raw = f
	}
	if e.codec == codecNone {
		return raw, nil
	}
	z, err := zstd.NewReader(raw, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20))
	if err != nil {
		raw.Close()
		return nil, err
	}
	return &zstdReader{z, raw}, nil
}

// zstdReader decompresses raw and closes it.
type zstdReader struct {
	*zstd.Decoder
	raw io.Closer
}

func (z *zstdReader) Close() error {
	z.Decoder.Close()
	return z.raw.Close()
}

// Get reads a whole blob of at most max bytes and verifies its digest.
func (s *Store) Get(tenant string, d Digest, max int64) ([]byte, error) {
	if d.Size > max {
		return nil, fmt.Errorf("%w: %s exceeds %d bytes", ErrNotFound, d, max)
	}
	r, err := s.Open(tenant, d, 0)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	b, err := io.ReadAll(io.LimitReader(r, d.Size+1))
	if err != nil || DigestOf(b) != d {
		return nil, fmt.Errorf("%w: %s", ErrCorrupt, d)
	}
	return b, nil
}
