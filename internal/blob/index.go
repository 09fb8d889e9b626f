package blob

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"topazhollow/internal/wal"
)

// indexLockTimeout is how long a store waits for the lock of its index. The kernel may release the lock of a killed
// process more than a second after it has ended on a busy machine, and its successor may start at once.
const indexLockTimeout = 15 * time.Second

var errIndexAhead = errors.New("blob: index is ahead of the log")

func (s *Store) indexPath() string { return filepath.Join(s.opt.Dir, "index") }

// openIndex opens the index and reads its position and quotas. An unreadable index is
// renamed and replaced by an empty one.
func (s *Store) openIndex() error {
	open := func() error {
		db, err := bolt.Open(s.indexPath(), 0o600, &bolt.Options{Timeout: indexLockTimeout})
		if err != nil {
			return err
		}
		err = db.Update(func(tx *bolt.Tx) error {
			for _, b := range [][]byte{bucketBlobs, bucketRefs, bucketUsed, bucketMeta} {
				if _, err := tx.CreateBucketIfNotExists(b); err != nil {
					return err
				}
			}
			if pos := tx.Bucket(bucketMeta).Get(keyPos); len(pos) == 12 {
				s.applied = wal.Pos{Segment: binary.BigEndian.Uint32(pos), Offset: int64(binary.BigEndian.Uint64(pos[4:]))}
			}
			return tx.Bucket(bucketUsed).ForEach(func(k, v []byte) error {
				s.usedBytes[strings.TrimPrefix(string(k), "/")] = int64(binary.BigEndian.Uint64(v))
				return nil
			})
		})
		if err != nil {
			db.Close()
			return err
		}
		s.db = db
		return nil
	}
	err := open()
	if errors.Is(err, bolterrors.ErrTimeout) {
		return fmt.Errorf("blob: another process has %s open: %w", s.opt.Dir, err)
	}
	if err != nil { // unreadable: rebuild it from the log
		if rerr := os.Rename(s.indexPath(), s.indexPath()+".bad"); rerr != nil && !errors.Is(rerr, fs.ErrNotExist) {
			return fmt.Errorf("blob: %w", rerr)
		}
		s.applied, s.usedBytes = wal.Pos{}, map[string]int64{}
		err = open()
	}
	if err != nil {
		return fmt.Errorf("blob: index: %w", err)
	}
	return nil
}

// resetIndex replaces the index by an empty one.
func (s *Store) resetIndex() error {
	s.db.Close()
	if err := os.Remove(s.indexPath()); err != nil {
		return fmt.Errorf("blob: %w", err)
	}
	s.applied, s.usedBytes, s.dirtyBlobs, s.dirtyRefs = wal.Pos{}, map[string]int64{}, map[string]*entry{}, map[string]*ref{}
	return s.openIndex()
}

// runMaintenance periodically writes the index and drops abandoned uploads.
func (s *Store) runMaintenance(ctx context.Context) {
	defer close(s.done)
	t := time.NewTicker(checkpointEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			// A failure loses no data: the next start replays more of the log.
			_ = s.checkpoint()
			s.dropAbandoned()
		}
	}
}

// checkpoint writes the changes since the last checkpoint to the index.
func (s *Store) checkpoint() error {
	s.commitLock.Lock()
	end := s.log.End() // all records before it are applied
	s.commitLock.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied = end
	return s.writeIndex(end)
}

// writeIndex writes the changes to the index together with upTo, the position before
// which all records are included. s.mu is held.
func (s *Store) writeIndex(upTo wal.Pos) error {
	err := s.db.Update(func(tx *bolt.Tx) error {
		put := func(b *bolt.Bucket, key string, value []byte) error {
			if value == nil {
				return b.Delete([]byte(key))
			}
			return b.Put([]byte(key), value)
		}
		blobs := tx.Bucket(bucketBlobs)
		for _, key := range slices.Sorted(maps.Keys(s.dirtyBlobs)) {
			var value []byte
			if e := s.dirtyBlobs[key]; e != nil {
				value = e.encode()
			}
			if err := put(blobs, key, value); err != nil {
				return err
			}
		}
		for name, r := range s.dirtyRefs {
			var value []byte
			if r != nil {
				value = r.encode()
			}
			if err := put(tx.Bucket(bucketRefs), name, value); err != nil {
				return err
			}
		}
		for tenant, n := range s.usedBytes {
			if err := tx.Bucket(bucketUsed).Put([]byte("/"+tenant), binary.BigEndian.AppendUint64(nil, uint64(n))); err != nil {
				return err
			}
		}
		pos := binary.BigEndian.AppendUint32(nil, upTo.Segment)
		return tx.Bucket(bucketMeta).Put(keyPos, binary.BigEndian.AppendUint64(pos, uint64(upTo.Offset)))
	})
	if err != nil {
		return fmt.Errorf("blob: index: %w", err)
	}
	s.dirtyBlobs, s.dirtyRefs = map[string]*entry{}, map[string]*ref{}
	return nil
}
