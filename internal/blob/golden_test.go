package blob

import (
	"testing"

	"topazhollow/internal/goldentest"
	"topazhollow/internal/wal"
)

// These tests compare the records of the log and the entries of the index with their golden files. Both outlive the
// process that wrote them, so the formats may only be extended.

// digestFile is the golden file of a digest as it is written in manifests.
const digestFile = "digest.txt"

func TestGoldenDigest(t *testing.T) {
	d := DigestOf([]byte("content"))
	text := goldentest.Bytes(t, digestFile, []byte(d.String()))
	if got, err := Parse(string(text)); err != nil || got != d {
		t.Errorf("parsed %v, error %v, want %v", got, err, d)
	}
	if got := digestFromKey(d.key()); got != d {
		t.Errorf("digest %v from its key, want %v", got, d)
	}
	s := &Store{opt: Options{Dir: "/store"}}
	goldentest.Bytes(t, "paths.txt", []byte("large blob: "+s.objectPath(d)+"\nindex: "+s.indexPath()+"\n"))
}

func TestGoldenRecords(t *testing.T) {
	d, other := DigestOf([]byte("content")), DigestOf([]byte("other"))
	form := goldentest.Form{
		Encode: func(value any) ([]byte, error) { return value.(*record).encode(), nil },
		Decode: func(data []byte, into any) error {
			r, err := decodeRecord(data)
			if err == nil {
				*into.(*record) = *r
			}
			return err
		},
	}
	form.Check(t, []goldentest.Case{
		{Name: "record-small.bin", Value: record{kind: recInline, codec: codecNone, digest: d, stored: 7, tenant: "vision", data: []byte("content")}},
		{Name: "record-file.bin", Value: record{kind: recFile, codec: codecZstd, digest: d, stored: 300, tenant: "vision"}},
		{Name: "record-tenant.bin", Value: record{kind: recTenant, digest: d, tenant: "speech"}},
		{Name: "record-drop.bin", Value: record{kind: recDrop, digest: d}},
		{Name: "record-reference.bin", Value: record{kind: recRef, tenant: "vision", name: "sealed/job-000412/000003/00000000000000000002", keys: []string{d.key(), other.key()}}},
		{Name: "record-unreference.bin", Value: record{kind: recUnref, name: "final/job-000412/000003/"}},
		{Name: "record-empty.bin", Value: record{}},
	})
	r, err := decodeRecord(goldentest.Read(t, "record-reference.bin"))
	if err != nil || r.kind != recRef || r.tenant != "vision" || len(r.keys) != 2 || digestFromKey(r.keys[1]) != other {
		t.Errorf("reference %+v, error %v", r, err)
	}
}

func TestGoldenIndex(t *testing.T) {
	d := DigestOf([]byte("content"))
	entries := goldentest.Form{
		Encode: func(value any) ([]byte, error) { return value.(*entry).encode(), nil },
		Decode: func(data []byte, into any) error {
			e, err := decodeEntry(data)
			if err == nil {
				*into.(*entry) = *e
			}
			return err
		},
	}
	entries.Check(t, []goldentest.Case{
		{Name: "entry-full.bin", Value: entry{codec: codecZstd, corrupt: true, inline: true, stored: 300, lastUsed: 1767225600, pos: wal.Pos{Segment: 2, Offset: 4096}, refs: 3, tenants: []string{"vision", "speech"}}},
		{Name: "entry-empty.bin", Value: entry{}},
	})
	refs := goldentest.Form{
		Encode: func(value any) ([]byte, error) { return value.(*ref).encode(), nil },
		Decode: func(data []byte, into any) error {
			*into.(*ref) = *decodeRef(data)
			return nil
		},
	}
	refs.Check(t, []goldentest.Case{{Name: "reference-full.bin", Value: ref{tenant: "vision", keys: []string{d.key()}, pos: wal.Pos{Segment: 2, Offset: 4096}}}})
}
