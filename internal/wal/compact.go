package wal

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// Drop removes finished segments before a number. Nobody may read them any more.
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

// Compact gives back the space of the first segments, one after the other, as long as
// at most half of the next one lives on. live is handed each record, valid until it
// returns, and gives how to write it again at the end, or nil if it is needed no more.
// settle, if given, is called before a segment goes: whoever keeps positions must have
// the new ones by then.
func (l *Log) Compact(ctx context.Context, live func(at Pos, record []byte) (again func() error, err error), settle func() error) error {
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
		if settle != nil {
			moves = append(moves, settle)
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
