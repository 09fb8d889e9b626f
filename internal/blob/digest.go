package blob

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"strconv"
	"strings"
)

// Digest identifies a blob by its sha256 and its size in bytes.
type Digest struct {
	Hash [sha256.Size]byte
	Size int64
}

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest { return Digest{sha256.Sum256(data), int64(len(data))} }

// String returns the digest as hash/size, the form that Parse reads.
func (d Digest) String() string {
	return hex.EncodeToString(d.Hash[:]) + "/" + strconv.FormatInt(d.Size, 10)
}

// Parse parses a digest written as hash/size: 64 lower-case hexadecimal digits and
// a decimal number without sign or leading zeros.
func Parse(s string) (Digest, error) {
	hash, size, ok := strings.Cut(s, "/")
	d := Digest{}
	n, err := strconv.ParseInt(size, 10, 64)
	if !ok || err != nil || n < 0 || strconv.FormatInt(n, 10) != size || len(hash) != 2*sha256.Size || strings.ToLower(hash) != hash {
		return Digest{}, fmt.Errorf("%w: %.100q", ErrDigest, s)
	}
	if _, err := hex.Decode(d.Hash[:], []byte(hash)); err != nil {
		return Digest{}, fmt.Errorf("%w: %.100q", ErrDigest, s)
	}
	d.Size = n
	return d, nil
}

// keySize is the length of a key of the index, in bytes.
const keySize = sha256.Size + 8

// key returns the digest as a key of the index: the hash and the big-endian size.
func (d Digest) key() string {
	return string(binary.BigEndian.AppendUint64(d.Hash[:], uint64(d.Size)))
}

func digestFromKey(key string) Digest {
	var d Digest
	copy(d.Hash[:], key)
	d.Size = int64(binary.BigEndian.Uint64([]byte(key[sha256.Size:])))
	return d
}

// parseObjectName parses the name of a large blob's file.
func parseObjectName(name string) (Digest, error) {
	i := strings.IndexByte(name, '-')
	if i < 0 {
		return Digest{}, fmt.Errorf("%w: %.100q", ErrDigest, name)
	}
	return Parse(name[:i] + "/" + name[i+1:])
}

// Sum is a running sha256.
type Sum struct{ hash.Hash }

// NewSum returns an empty Sum.
func NewSum() Sum { return Sum{sha256.New()} }

// Digest returns the digest of the size bytes written so far.
func (s Sum) Digest(size int64) Digest { return Digest{[sha256.Size]byte(s.Sum(nil)), size} }

// Is reports whether the hash of the bytes written so far is that of a digest.
func (s Sum) Is(d Digest) bool { return [sha256.Size]byte(s.Sum(nil)) == d.Hash }
