package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
)

var errTorn = errors.New("wal: torn record")

// scanRecords calls each for every whole record of a file from an offset on. It returns
// the offset after the last of them, with errTorn if another record begins there that is
// incomplete or has a wrong checksum.
func scanRecords(f io.ReaderAt, at int64, each func(off int64, rec []byte) error) (int64, error) {
	r := &recordReader{r: io.NewSectionReader(f, at, 1<<62), buf: make([]byte, 0, 64<<10)}
	for {
		head, err := r.next(headerBytes)
		if err == io.EOF {
			return at, nil
		}
		if err != nil {
			return at, errTorn
		}
		n, sum := int64(binary.LittleEndian.Uint32(head)), binary.LittleEndian.Uint32(head[4:])
		if n == 0 || n > MaxRecord {
			return at, errTorn
		}
		rec, err := r.next(int(n))
		if err != nil || crc32.Checksum(rec, checksumTable) != sum {
			return at, errTorn
		}
		if err := each(at, rec); err != nil {
			return at, err
		}
		at += headerBytes + n
	}
}

// recordReader reads a segment with read-ahead.
type recordReader struct {
	r   io.Reader
	buf []byte
	pos int
}

// next returns the next n bytes, valid until the next call. At the end of the file it
// returns io.EOF, and io.ErrUnexpectedEOF if only some bytes are left.
func (c *recordReader) next(n int) ([]byte, error) {
	if len(c.buf)-c.pos < n {
		rest := append(make([]byte, 0, max(n, 64<<10)), c.buf[c.pos:]...)
		m, err := io.ReadAtLeast(c.r, rest[len(rest):cap(rest)], n-len(rest))
		c.buf, c.pos = rest[:len(rest)+m], 0
		if len(c.buf) < n {
			if len(c.buf) == 0 && err == io.EOF {
				return nil, io.EOF
			}
			return nil, io.ErrUnexpectedEOF
		}
	}
	p := c.buf[c.pos : c.pos+n]
	c.pos += n
	return p, nil
}

// Read returns the record at a position.
func (l *Log) Read(at Pos) ([]byte, error) {
	l.mu.Lock()
	f := l.files[at.Segment]
	l.mu.Unlock()
	if f == nil {
		return nil, fmt.Errorf("wal: no segment %d: %w", at.Segment, fs.ErrNotExist)
	}
	var head [headerBytes]byte
	if _, err := f.ReadAt(head[:], at.Offset); err != nil {
		return nil, fmt.Errorf("%w: segment %d at %d: %v", ErrCorrupt, at.Segment, at.Offset, err)
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n == 0 || n > MaxRecord {
		return nil, fmt.Errorf("%w: segment %d at %d: length %d", ErrCorrupt, at.Segment, at.Offset, n)
	}
	rec := make([]byte, n)
	if _, err := f.ReadAt(rec, at.Offset+headerBytes); err != nil {
		return nil, fmt.Errorf("%w: segment %d at %d: %v", ErrCorrupt, at.Segment, at.Offset, err)
	}
	if crc32.Checksum(rec, checksumTable) != binary.LittleEndian.Uint32(head[4:]) {
		return nil, fmt.Errorf("%w: segment %d at %d: wrong checksum", ErrCorrupt, at.Segment, at.Offset)
	}
	return rec, nil
}

// Scan calls each for the records of one finished segment, for example to rewrite the
// live ones before the segment is dropped.
func (l *Log) Scan(segment uint32, each func(at Pos, record []byte) error) error {
	l.mu.Lock()
	f, last := l.files[segment], l.last
	l.mu.Unlock()
	if f == nil || segment >= last {
		return fmt.Errorf("wal: segment %d does not exist or is not finished", segment)
	}
	end, err := scanRecords(f, 0, func(off int64, rec []byte) error { return each(Pos{segment, off}, rec) })
	if errors.Is(err, errTorn) {
		return fmt.Errorf("%w: segment %d at %d", ErrCorrupt, segment, end)
	}
	return err
}

// Replay calls each for the records from a position to the current end, in order.
func (l *Log) Replay(from Pos, each func(at Pos, record []byte) error) error {
	end := l.End()
	for n := from.Segment; n <= end.Segment; n++ {
		l.mu.Lock()
		f := l.files[n]
		l.mu.Unlock()
		if f == nil {
			return fmt.Errorf("wal: no segment %d: %w", n, fs.ErrNotExist)
		}
		at, size := int64(0), int64(1<<62)
		if n == from.Segment {
			at = from.Offset
		}
		if n == end.Segment {
			size = end.Offset
		}
		stop, err := scanRecords(io.NewSectionReader(f, 0, size), at, func(off int64, rec []byte) error { return each(Pos{n, off}, rec) })
		if errors.Is(err, errTorn) {
			err = fmt.Errorf("%w: segment %d at %d", ErrCorrupt, n, stop)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
