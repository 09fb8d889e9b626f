package wal

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// Drop removes the finished segments before a number. They must not be read any more.
func (l *Log) Drop(before uint32) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for ; l.first < before && l.first < l.last; l.first++ {
		if f := l.files[l.first]; f != nil {
			f.Close()
			delete(l.files, l.first)
		}
		if err := os.Remove(filepath.Join(l.dir, segmentName(l.first))); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("wal: %w", err)
		}
	}
	return nil
}

// Compact frees the oldest segments, one after the other, as long as at most half of the
// bytes of a segment are live. It calls live for each record, which is valid until live
// returns; live returns a function that appends the record again, or nil if the record
// is no longer needed. beforeDrop, if not nil, is called before a segment is removed; it
// must make sure that stored positions refer to the new records.
func (l *Log) Compact(ctx context.Context, live func(at Pos, record []byte) (again func() error, err error), beforeDrop func() error) error {
	for ctx.Err() == nil {
		first, last := l.Segments()
		if first >= last {
			return nil
		}
		kept, all := 0, 0
		var moves []func() error
		err := l.Scan(first, func(at Pos, record []byte) error {
			again, err := live(at, record)
			if err != nil {
				return err
			}
			all += len(record)
			if again != nil {
				kept += len(record)
				moves = append(moves, again)
			}
			return nil
		})
		if err != nil || 2*kept > all {
			return err
		}
		if beforeDrop != nil {
			moves = append(moves, beforeDrop)
		}
		for _, move := range moves {
			if err := move(); err != nil {
				return err
			}
		}
		if err := l.Drop(first + 1); err != nil {
			return err
		}
	}
	return ctx.Err()
}
