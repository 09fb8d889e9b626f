package wal

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
)

// batch holds the records of one Append.
type batch struct {
	data      []byte
	offsets   []int64 // of each record in data
	positions []Pos
	done      chan error
}

// Append appends records. When it returns without an error, they are on the disk,
// consecutive and in this order, and at holds their positions. With an error, some of
// them may have been written. After ErrBusy none is or will be written. When the
// context is cancelled, the records may still be written later.
func (l *Log) Append(ctx context.Context, records ...[]byte) (at []Pos, err error) {
	b := &batch{done: make(chan error, 1)}
	size := 0
	for _, r := range records {
		if len(r) == 0 || len(r) > MaxRecord {
			return nil, fmt.Errorf("%w: %d bytes", ErrTooLong, len(r))
		}
		size += headerBytes + len(r)
	}
	b.data = make([]byte, 0, size)
	for _, r := range records {
		b.offsets = append(b.offsets, int64(len(b.data)))
		b.data = binary.LittleEndian.AppendUint32(b.data, uint32(len(r)))
		b.data = binary.LittleEndian.AppendUint32(b.data, crc32.Checksum(r, checksumTable))
		b.data = append(b.data, r...)
	}
	l.mu.Lock()
	switch {
	case l.closed:
		l.mu.Unlock()
		return nil, ErrClosed
	case l.broken != nil:
		l.mu.Unlock()
		return nil, l.broken
	case l.pendingBytes > 0 && l.pendingBytes+len(b.data) > l.opt.MaxPendingBytes:
		l.mu.Unlock()
		return nil, ErrBusy
	}
	l.pending = append(l.pending, b)
	l.pendingBytes += len(b.data)
	l.mu.Unlock()
	l.wakeWriter()
	select {
	case err := <-b.done:
		return b.positions, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *Log) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// writeLoop writes the pending batches, all of them with one fsync, until the log is closed.
func (l *Log) writeLoop() {
	defer close(l.writerDone)
	for range l.wake {
		for {
			l.mu.Lock()
			group, closed := l.pending, l.closed
			l.pending = nil
			f, n, size := l.files[l.last], l.last, l.lastSize
			l.mu.Unlock()
			if len(group) == 0 {
				if closed {
					return
				}
				break
			}
			l.writeGroup(group, f, n, size)
		}
	}
}

// writeGroup writes batches at the end of a segment, at offset size, syncs the segment once and acknowledges the
// batches. It begins the next segment if this one is full.
func (l *Log) writeGroup(group []*batch, f File, n uint32, size int64) {
	var data []byte
	for _, b := range group {
		for _, off := range b.offsets {
			b.positions = append(b.positions, Pos{n, size + int64(len(data)) + off})
		}
		data = append(data, b.data...)
	}
	l.mu.Lock()
	err := l.broken
	l.mu.Unlock()
	if err == nil {
		err = l.writeAndSync(f, data, size)
	}
	l.mu.Lock()
	if err == nil {
		size += int64(len(data))
		l.lastSize = size
	}
	l.pendingBytes -= len(data)
	l.mu.Unlock()
	if err == nil && size >= l.opt.SegmentBytes {
		// If the next segment can't be created, the next append tries again.
		_ = l.rotate()
	}
	for _, b := range group {
		b.done <- err
	}
}

// writeAndSync writes data at the end of a segment, at offset size, and syncs the file.
func (l *Log) writeAndSync(f File, data []byte, size int64) error {
	l.opt.Step("write")
	if _, err := f.WriteAt(data, size); err != nil {
		// For example a full disk: remove the partial write, so that the log stays usable.
		if undo := f.Truncate(size); undo != nil {
			_ = l.markBroken(undo)
		}
		return fmt.Errorf("wal: %w", err)
	}
	l.opt.Step("sync")
	if err := f.Sync(); err != nil {
		return l.markBroken(err) // after a failed fsync it is unknown which pages are on the disk
	}
	l.opt.Step("synced")
	return nil
}

func (l *Log) markBroken(cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken == nil {
		l.broken = fmt.Errorf("%w: %v", ErrBroken, cause)
	}
	return l.broken
}

// rotate creates the next segment.
func (l *Log) rotate() error {
	l.mu.Lock()
	n := l.last + 1
	l.mu.Unlock()
	f, err := l.opt.OpenFile(filepath.Join(l.dir, segmentName(n)))
	if err != nil {
		return err
	}
	if err := SyncDir(l.dir); err != nil {
		f.Close()
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.files[n], l.last, l.lastSize = f, n, 0
	return nil
}
