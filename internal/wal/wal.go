// Package wal is a log on a local disk: records are appended in order and are
// durable once Append returns. Appends that come while the disk is busy share one
// fsync. A record that was only half written when the process or the machine ended
// is taken off when the log is opened again; one that went bad later is told of.
package wal

import (
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sync"
)

// Errors that callers decide by.
var (
	ErrClosed  = errors.New("wal: closed")
	ErrBroken  = errors.New("wal: the disk failed, open the log anew") // what was not acknowledged may or may not be there
	ErrBusy    = errors.New("wal: too much waits for the disk")
	ErrCorrupt = errors.New("wal: a record went bad")
	ErrTooLong = errors.New("wal: record too long")
	ErrBehind  = errors.New("wal: the log ends before that position")
)

// MaxRecord bounds one record, in bytes.
const MaxRecord = 16 << 20

const headerBytes = 8 // length and checksum of a record

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// Pos is where a record begins. Later records have greater positions.
type Pos struct {
	Segment uint32
	Offset  int64
}

// Before says whether p is earlier than o.
func (p Pos) Before(o Pos) bool {
	return p.Segment < o.Segment || (p.Segment == o.Segment && p.Offset < o.Offset)
}

// File is what the log needs of an open file. *os.File is one.
type File interface {
	io.ReaderAt
	io.WriterAt
	Sync() error
	Truncate(size int64) error
	Close() error
}

// OpenFile opens a file of the system's for reading and writing, making it if need be.
func OpenFile(path string) (File, error) { return os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600) }

// Options are a log's choices; the zero value is usable.
type Options struct {
	SegmentBytes    int64 // a segment that has grown so far is followed by the next; 64 MiB if 0
	MaxPendingBytes int   // bytes that may wait for the disk; 32 MiB if 0
	// OpenFile opens a segment; OpenFile of this package if nil. Tests put failing
	// disks here.
	OpenFile func(path string) (File, error)
	// Step is told each durable step before ("write", "sync") and after ("synced")
	// it is taken. Tests end the process here.
	Step func(step string)
}

// Log is an open log. Its methods may be called at the same time.
type Log struct {
	dir string
	opt Options

	wake         chan struct{} // signals the writer
	writerDone   chan struct{}
	mu           sync.Mutex
	files        map[uint32]File
	first        uint32
	last         uint32
	lastSize     int64 // of the last segment
	closed       bool
	broken       error
	pending      []*batch
	pendingBytes int // waiting
}

// Open opens the log in a directory, which it makes if need be, and hands every
// whole record from a position on to replay, in order. What was half written at
// the end is taken off. A bad record before the end is ErrCorrupt with its
// position: everything before it was handed over.
func Open(dir string, opt Options, from Pos, replay func(at Pos, record []byte) error) (*Log, error) {
	opt.setDefaults()
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	numbers, err := segments(dir)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	if len(numbers) == 0 {
		numbers = []uint32{1}
	}
	l := &Log{
		dir:        dir,
		opt:        opt,
		wake:       make(chan struct{}, 1),
		writerDone: make(chan struct{}),
		files:      map[uint32]File{},
		first:      numbers[0],
		last:       numbers[len(numbers)-1],
	}
	if err := l.checkPosition(from); err != nil {
		return nil, err
	}
	for _, n := range numbers {
		if err := l.openSegment(n, from, replay); err != nil {
			l.closeFiles()
			return nil, err
		}
	}
	if err := SyncDir(dir); err != nil {
		l.closeFiles()
		return nil, fmt.Errorf("wal: %w", err)
	}
	go l.writeLoop()
	return l, nil
}

// setDefaults replaces what is not given.
func (o *Options) setDefaults() {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = 64 << 20
	}
	if o.MaxPendingBytes <= 0 {
		o.MaxPendingBytes = 32 << 20
	}
	if o.OpenFile == nil {
		o.OpenFile = OpenFile
	}
	if o.Step == nil {
		o.Step = func(string) {}
	}
}

// checkPosition is ErrBehind if the log ends before a position that its owner knows to be written.
func (l *Log) checkPosition(from Pos) error {
	if from == (Pos{}) {
		return nil
	}
	size := int64(0)
	if st, err := os.Stat(filepath.Join(l.dir, segmentName(l.last))); err == nil {
		size = st.Size()
	}
	if end := (Pos{l.last, size}); end.Before(from) {
		return fmt.Errorf("%w: %v, not %v", ErrBehind, end, from)
	}
	return nil
}

// openSegment opens a segment and replays its records from a position on. Of the last segment it takes off what was
// half written.
func (l *Log) openSegment(n uint32, from Pos, replay func(at Pos, record []byte) error) error {
	f, err := l.opt.OpenFile(filepath.Join(l.dir, segmentName(n)))
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	l.files[n] = f
	if n < from.Segment {
		return nil
	}
	begin := int64(0)
	if n == from.Segment {
		begin = from.Offset
	}
	end, err := scanRecords(f, begin, func(off int64, rec []byte) error { return replay(Pos{n, off}, rec) })
	torn := errors.Is(err, errTorn)
	switch {
	case n == l.last && (err == nil || torn):
		l.lastSize = end
		return f.Truncate(end)
	case torn:
		return fmt.Errorf("%w: segment %d at %d", ErrCorrupt, n, end)
	}
	return err
}

// End is where the next record will begin, at the earliest.
func (l *Log) End() Pos {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Pos{l.last, l.lastSize}
}

// Close ends the log after what waits was written.
func (l *Log) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil
	}
	l.closed = true
	l.mu.Unlock()
	l.wakeWriter()
	<-l.writerDone
	l.closeFiles()
	return nil
}

func (l *Log) closeFiles() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.files {
		f.Close()
	}
	l.files = map[uint32]File{}
}
