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

func (k *Store) manifest(tenant string, d blob.Digest) (*Manifest, error) {
	data, err := k.opt.Blobs.Get(tenant, d, maxManifest)
	if err != nil {
		return nil, err
	}
	return Verify(k.opt.Key, data)
}

// Ended gives the manifest of an attempt that is over.
func (k *Store) Ended(at Attempt) (*Manifest, error) {
	for _, name := range []string{sealedName(at), shelvedName(at)} {
		if tenant, ds, ok := k.opt.Blobs.Ref(name); ok {
			return k.manifest(tenant, ds[0])
		}
	}
	return nil, ErrUnknown
}

// Content gives what is here of a stream of an open attempt as it is kept once the
// attempt has ended: see AppendRecord.
func (k *Store) Content(at Attempt, name string) (content []byte, err error) {
	k.mu.Lock()
	a := k.open[at]
	k.mu.Unlock()
	if a == nil {
		return nil, ErrUnknown
	}
	err = k.pieces(a, name, 0, func(r Record) error {
		content = AppendRecord(content, r)
		return nil
	})
	return content, err
}

// AppendRecord adds a record to a stream's content: its JSON behind its length.
func AppendRecord(content []byte, r Record) []byte {
	b := protocol.Encode(&r)
	return append(binary.AppendUvarint(content, uint64(len(b))), b...)
}

// pieces hands over the records of an open attempt's stream from a number on.
func (k *Store) pieces(a *attempt, name string, from uint64, each func(Record) error) error {
	for i := 0; ; i++ {
		var p piece
		var b []byte
		for try := 0; ; try++ {
			k.mu.Lock()
			s := a.streams[name]
			if s == nil || i >= len(s.pieces) {
				k.mu.Unlock()
				return nil
			}
			p = s.pieces[i]
			k.mu.Unlock()
			if p.first+p.count <= from {
				break
			}
			var err error
			if b, err = k.log.Read(p.at); err == nil {
				break
			}
			if try > 0 || !errors.Is(err, fs.ErrNotExist) { // it may just have moved on in the log
				return err
			}
		}
		if b == nil {
			continue
		}
		var e entry
		if err := json.Unmarshal(b, &e); err != nil {
			return fmt.Errorf("keeper: entry at %v: %w", p.at, err)
		}
		for n, r := range e.Records {
			if p.first+uint64(n) < from {
				continue
			}
			if err := each(r); err != nil {
				return err
			}
		}
	}
}

// Read hands over the records of an attempt's stream from a number on, of open and
// of sealed attempts alike, and gives the number of the next. sealed says that no more
// can come.
func (k *Store) Read(at Attempt, name string, from uint64, each func(Record) error) (next uint64, sealed bool, err error) {
	next = from
	count := func(r Record) error {
		next++
		return each(r)
	}
	k.mu.Lock()
	a := k.open[at]
	k.mu.Unlock()
	if a != nil {
		err = k.pieces(a, name, from, count)
		return next, false, err
	}
	m, err := k.Ended(at)
	if err != nil {
		return next, false, err
	}
	i := slices.IndexFunc(m.Streams, func(s StreamInfo) bool { return s.Name == name })
	if i < 0 {
		return next, true, nil
	}
	data, err := k.opt.Blobs.Get(m.Tenant, m.Streams[i].Blob, 4<<30)
	if err != nil {
		return next, true, err
	}
	for n := uint64(0); len(data) > 0; n++ {
		size, used := binary.Uvarint(data)
		if used <= 0 || size > uint64(len(data)-used) {
			return next, true, fmt.Errorf("%w: stream %s", ErrNotWhole, name)
		}
		b := data[used : used+int(size)]
		data = data[used+int(size):]
		if n < from {
			continue
		}
		var r Record
		if err := json.Unmarshal(b, &r); err != nil {
			return next, true, fmt.Errorf("%w: stream %s: %v", ErrNotWhole, name, err)
		}
		if err := count(r); err != nil {
			return next, true, err
		}
	}
	return next, true, nil
}

// Wait returns once something changed that may concern a reader of an open attempt,
// or the context ended.
func (k *Store) Wait(ctx context.Context, at Attempt, name string, next uint64) error {
	stop := context.AfterFunc(ctx, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.changed.Broadcast()
	})
	defer stop()
	k.mu.Lock()
	defer k.mu.Unlock()
	for {
		a := k.open[at]
		if a == nil || k.closed || (a.streams[name] != nil && a.streams[name].next > next) {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		k.changed.Wait()
	}
}
