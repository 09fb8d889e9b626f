package wal

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
)

func segmentName(n uint32) string { return fmt.Sprintf("%08d.log", n) }

// segments returns the numbers of the segments in a directory, in order.
func segments(dir string) ([]uint32, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var list []uint32
	for _, e := range entries {
		name, ok := strings.CutSuffix(e.Name(), ".log")
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(name, 10, 32)
		if err != nil || segmentName(uint32(n)) != e.Name() {
			return nil, fmt.Errorf("wal: %s is not the name of a segment", e.Name())
		}
		list = append(list, uint32(n))
	}
	slices.Sort(list)
	return list, nil
}

// SyncDir syncs a directory, so that created, renamed and removed entries are durable.
func SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Segments returns the numbers of the first segment and of the one being written.
func (l *Log) Segments() (first, last uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first, l.last
}
