// Package wal is a write-ahead log on a local disk. Records are appended in order and
// are durable once Append returns; concurrent appends share one fsync. A record that
// was partially written when the process or the machine stopped is truncated when the
// log is opened again. A record that was damaged later is reported as corrupt.
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

// Errors that callers test for.
var (
	ErrClosed  = errors.New("wal: closed")
	ErrBroken  = errors.New("wal: disk failed, the log must be reopened") // unacknowledged records may or may not be in the log
	ErrBusy    = errors.New("wal: too many bytes wait for the disk")
	ErrCorrupt = errors.New("wal: corrupt record")
	ErrTooLong = errors.New("wal: record too long")
	ErrBehind  = errors.New("wal: the log ends before the position")
)

// MaxRecord is the largest size of a record in bytes.
const MaxRecord = 16 << 20

const headerBytes = 8 // length and checksum, 4 bytes each

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// Pos is the position of a record in the log. Later records have greater positions.
type Pos struct {
	Segment uint32
	Offset  int64
}

// Before reports whether p is earlier than o.
func (p Pos) Before(o Pos) bool {
	return p.Segment < o.Segment || (p.Segment == o.Segment && p.Offset < o.Offset)
}

// File is an open segment file. *os.File implements it.
type File interface {
	io.ReaderAt
	io.WriterAt
	Sync() error
	Truncate(size int64) error
	Close() error
}

// OpenFile opens a file for reading and writing and creates it if needed.
func OpenFile(path string) (File, error) { return os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600) }

// Options configures a log; the zero value is usable.
type Options struct {
	SegmentBytes    int64 // size at which the next segment is started; 64 MiB if 0
	MaxPendingBytes int   // bytes that may wait to be written, beyond which Append returns ErrBusy; 32 MiB if 0
	// OpenFile opens a segment; OpenFile of this package if nil. Tests simulate failing
	// disks with it.
	OpenFile func(path string) (File, error)
	// Step is called before each write ("write") and fsync ("sync") and after each fsync
	// ("synced"). Tests kill the process in it.
	Step func(step string)
}

// Log is an open log. It is safe for concurrent use.
type Log struct {
	dir string
	opt Options

	wake         chan struct{} // wakes writeLoop
	writerDone   chan struct{}
	mu           sync.Mutex
	files        map[uint32]File
	first        uint32 // number of the oldest segment
	last         uint32 // number of the segment being written
	lastSize     int64  // bytes written to the last segment
	closed       bool
	broken       error // set by markBroken; Append returns it until the log is reopened
	pending      []*batch
	pendingBytes int // bytes of the pending batches
}

// Open opens the log in a directory, which it creates if needed, and calls replay for
// every record from a position on, in order. A partially written record at the end is
// truncated. For a corrupt record before that it returns ErrCorrupt with the position,
// after replaying all earlier records.
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

// setDefaults sets the defaults of unset options.
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

// checkPosition returns ErrBehind if the log ends before a position that its owner knows to be written.
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

// openSegment opens a segment and replays its records from a position on. In the last segment it truncates a partially
// written record.
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

// End returns the end of the written records. The next record begins there, or in a new segment.
func (l *Log) End() Pos {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Pos{l.last, l.lastSize}
}

// Close writes pending records and closes the log.
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
