package artifactstore

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"slices"

	"topazhollow/internal/blob"
	"topazhollow/internal/protocol"
)

func (st *Store) readManifest(tenant string, d blob.Digest) (*Manifest, error) {
	data, err := st.opt.Blobs.Get(tenant, d, maxManifestBytes)
	if err != nil {
		return nil, err
	}
	return Verify(st.opt.Key, data)
}

// EndManifest returns the manifest of an attempt that has ended, or ErrUnknown.
func (st *Store) EndManifest(at Attempt) (*Manifest, error) {
	for _, name := range []string{sealedName(at), partialName(at)} {
		if tenant, digests, ok := st.opt.Blobs.Ref(name); ok {
			return st.readManifest(tenant, digests[0])
		}
	}
	return nil, ErrUnknown
}

// StreamContent returns the records that this store has of a stream of an open attempt, encoded as in the blob that
// is kept after the end: see AppendRecord.
func (st *Store) StreamContent(at Attempt, name string) (content []byte, err error) {
	st.mu.Lock()
	a := st.open[at]
	st.mu.Unlock()
	if a == nil {
		return nil, ErrUnknown
	}
	err = st.readOpen(a, name, 0, func(r Record) error {
		content = AppendRecord(content, r)
		return nil
	})
	return content, err
}

// AppendRecord appends a record to a stream's encoded content: its JSON, preceded by the length as an unsigned
// varint.
func AppendRecord(content []byte, r Record) []byte {
	b := protocol.Encode(&r)
	return append(binary.AppendUvarint(content, uint64(len(b))), b...)
}

// readOpen calls each for the records of an open attempt's stream, beginning with number from.
func (st *Store) readOpen(a *openAttempt, name string, from uint64, each func(Record) error) error {
	for i := 0; ; i++ {
		var batch recordBatch
		var b []byte
		for try := 0; ; try++ {
			st.mu.Lock()
			s := a.streams[name]
			if s == nil || i >= len(s.batches) {
				st.mu.Unlock()
				return nil
			}
			batch = s.batches[i]
			st.mu.Unlock()
			if batch.first+batch.count <= from {
				break
			}
			var err error
			if b, err = st.log.Read(batch.at); err == nil {
				break
			}
			if try > 0 || !errors.Is(err, fs.ErrNotExist) { // retry once: a compaction may have moved the entry
				return err
			}
		}
		if b == nil {
			continue
		}
		var e entry
		if err := json.Unmarshal(b, &e); err != nil {
			return fmt.Errorf("artifactstore: malformed log entry at %v: %w", batch.at, err)
		}
		for n, r := range e.Records {
			if batch.first+uint64(n) < from {
				continue
			}
			if err := each(r); err != nil {
				return err
			}
		}
	}
}

// Read calls each for the records of a stream, beginning with number from, whether the attempt is open or has ended.
// It returns the number of the next record. sealed reports that the attempt has ended, so that no more records can
// follow.
func (st *Store) Read(at Attempt, name string, from uint64, each func(Record) error) (next uint64, sealed bool, err error) {
	next = from
	count := func(r Record) error {
		next++
		return each(r)
	}
	st.mu.Lock()
	a := st.open[at]
	st.mu.Unlock()
	if a != nil {
		err = st.readOpen(a, name, from, count)
		return next, false, err
	}
	m, err := st.EndManifest(at)
	if err != nil {
		return next, false, err
	}
	i := slices.IndexFunc(m.Streams, func(s StreamInfo) bool { return s.Name == name })
	if i < 0 {
		return next, true, nil
	}
	data, err := st.opt.Blobs.Get(m.Tenant, m.Streams[i].Blob, 4<<30)
	if err != nil {
		return next, true, err
	}
	for n := uint64(0); len(data) > 0; n++ {
		size, used := binary.Uvarint(data)
		if used <= 0 || size > uint64(len(data)-used) {
			return next, true, fmt.Errorf("%w: the content of stream %s is truncated", ErrIncomplete, name)
		}
		b := data[used : used+int(size)]
		data = data[used+int(size):]
		if n < from {
			continue
		}
		var r Record
		if err := json.Unmarshal(b, &r); err != nil {
			return next, true, fmt.Errorf("%w: malformed record in stream %s: %v", ErrIncomplete, name, err)
		}
		if err := count(r); err != nil {
			return next, true, err
		}
	}
	return next, true, nil
}

// WaitForRecords returns when the stream of an open attempt has a record with number next, the attempt or the store
// is closed, or the context ends.
func (st *Store) WaitForRecords(ctx context.Context, at Attempt, name string, next uint64) error {
	stop := context.AfterFunc(ctx, func() {
		st.mu.Lock()
		defer st.mu.Unlock()
		st.changed.Broadcast()
	})
	defer stop()
	st.mu.Lock()
	defer st.mu.Unlock()
	for {
		a := st.open[at]
		if a == nil || st.closed || (a.streams[name] != nil && a.streams[name].next > next) {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		st.changed.Wait()
	}
}
