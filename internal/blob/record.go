package blob

import (
	"encoding/binary"
	"errors"

	"topazhollow/internal/wal"
)

// Kinds of records in the log. The index can be rebuilt from them and the files of
// large blobs.
const (
	recInline = 'S' // a small blob with its content
	recFile   = 'F' // a large blob, whose file is durable before the record
	recTenant = 'T' // another tenant uploaded the content of an existing blob
	recDrop   = 'D' // a blob was deleted
	recRef    = 'R' // a reference, replacing one of the same name
	recUnref  = 'U' // a reference was dropped
)

// Codecs of stored content.
const (
	codecNone = 0
	codecZstd = 1
)

// record is one entry of the log.
type record struct {
	kind   byte
	codec  byte
	digest Digest
	stored int64    // bytes on disk
	tenant string   // owner of the blob or of the reference
	name   string   // of a reference
	keys   []string // keys of the blobs of a reference
	data   []byte
}

var errRecord = errors.New("blob: malformed record")

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func (r *record) encode() []byte {
	b := make([]byte, 0, 64+len(r.data)+len(r.tenant)+len(r.name)+keySize*len(r.keys))
	b = append(b, r.kind, r.codec)
	b = append(b, r.digest.key()...)
	b = binary.AppendUvarint(b, uint64(r.stored))
	b = appendString(b, r.tenant)
	b = appendString(b, r.name)
	b = binary.AppendUvarint(b, uint64(len(r.keys)))
	for _, k := range r.keys {
		b = append(b, k...)
	}
	return append(b, r.data...)
}

// decoder reads fields that encode wrote; failed is set at the first malformed field.
type decoder struct {
	b      []byte
	failed bool
}

func (d *decoder) take(n uint64) []byte {
	if n > uint64(len(d.b)) {
		d.failed, d.b = true, nil
		return nil
	}
	p := d.b[:n]
	d.b = d.b[n:]
	return p
}

func (d *decoder) uvarint() uint64 {
	n, used := binary.Uvarint(d.b)
	if used <= 0 {
		d.failed, d.b = true, nil
		return 0
	}
	d.b = d.b[used:]
	return n
}

// decodeRecord decodes a record of the log. Its data refers to b.
func decodeRecord(b []byte) (*record, error) {
	d := &decoder{b: b}
	r := &record{}
	if head := d.take(2 + keySize); !d.failed {
		r.kind, r.codec = head[0], head[1]
		r.digest = digestFromKey(string(head[2:]))
	}
	r.stored = int64(d.uvarint())
	r.tenant = string(d.take(d.uvarint()))
	r.name = string(d.take(d.uvarint()))
	for n := d.uvarint(); n > 0 && !d.failed; n-- {
		r.keys = append(r.keys, string(d.take(keySize)))
	}
	r.data = d.b
	if d.failed || r.digest.Size < 0 || r.stored < 0 {
		return nil, errRecord
	}
	return r, nil
}

// entry is a blob's entry in the index.
type entry struct {
	codec    byte
	corrupt  bool  // the content on disk is damaged and not repaired yet
	inline   bool  // the content is stored in the log
	stored   int64 // bytes on disk
	lastUsed int64 // Unix time in seconds, at a resolution of a minute
	pos      wal.Pos
	refs     uint32   // number of references to the blob
	tenants  []string // owners
}

func (e *entry) encode() []byte {
	flags := e.codec
	if e.corrupt {
		flags |= 0x80
	}
	if e.inline {
		flags |= 0x40
	}
	b := append(make([]byte, 0, 64), flags)
	b = binary.AppendUvarint(b, uint64(e.stored))
	b = binary.AppendUvarint(b, uint64(e.lastUsed))
	b = binary.AppendUvarint(b, uint64(e.pos.Segment))
	b = binary.AppendUvarint(b, uint64(e.pos.Offset))
	b = binary.AppendUvarint(b, uint64(e.refs))
	b = binary.AppendUvarint(b, uint64(len(e.tenants)))
	for _, t := range e.tenants {
		b = appendString(b, t)
	}
	return b
}

func decodeEntry(b []byte) (*entry, error) {
	d := &decoder{b: b}
	e := &entry{}
	if head := d.take(1); !d.failed {
		e.codec, e.corrupt, e.inline = head[0]&0x3f, head[0]&0x80 != 0, head[0]&0x40 != 0
	}
	e.stored, e.lastUsed = int64(d.uvarint()), int64(d.uvarint())
	e.pos = wal.Pos{Segment: uint32(d.uvarint()), Offset: int64(d.uvarint())}
	e.refs = uint32(d.uvarint())
	for n := d.uvarint(); n > 0 && !d.failed; n-- {
		e.tenants = append(e.tenants, string(d.take(d.uvarint())))
	}
	if d.failed {
		return nil, errRecord
	}
	return e, nil
}
