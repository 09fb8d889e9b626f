// Package artifactstore keeps what tasks put out: their streams record by record while they
// run, and, once an attempt is sealed, a manifest of its streams and files. Of each
// task one sealed attempt at most becomes the final result.
package artifactstore

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"topazhollow/internal/blob"
	"topazhollow/internal/protocol"
)

// Errors that callers decide by.
var (
	ErrName     = errors.New("keeper: name not allowed")
	ErrClaim    = errors.New("keeper: the attempt belongs to another machine or session")
	ErrSealed   = errors.New("keeper: the attempt is sealed")
	ErrUnknown  = errors.New("keeper: no such attempt")
	ErrForged   = errors.New("keeper: the manifest's code does not fit")
	ErrTooMuch  = errors.New("keeper: beyond a bound")
	ErrNotWhole = errors.New("keeper: what the worker put out is not all here")
)

// GapError says which record of a stream is wanted next.
type GapError struct {
	Stream     string
	Want, Have uint64 // the next number, and the one that came
}

func (e *GapError) Error() string {
	return fmt.Sprintf("keeper: stream %s: record %d is wanted, not %d", e.Stream, e.Want, e.Have)
}

// Attempt names one try of a task. The scheduler numbers the attempts of a task
// upwards and never repeats a number.
type Attempt struct {
	Job    string `json:"job"`
	Task   int    `json:"task"`
	Number uint64 `json:"attempt"`
}

// String is job/task/attempt with the numbers at full width, so that names sort as
// the numbers do.
func (a Attempt) String() string { return fmt.Sprintf("%s/%06d/%020d", a.Job, a.Task, a.Number) }

// task is the attempt's task, as a prefix of names.
func (a Attempt) task() string { return fmt.Sprintf("%s/%06d/", a.Job, a.Task) }

func (a Attempt) check() error {
	if !protocol.ValidUID(a.Job) || a.Task < 0 || a.Task >= 1_000_000 || a.Number == 0 {
		return fmt.Errorf("%w: attempt %.100q of task %d", ErrName, a.Job, a.Task)
	}
	return nil
}

// Claim is who puts out: the machine that runs the attempt, in one of its sessions.
type Claim struct {
	Attempt
	Tenant  string `json:"tenant"`
	Machine string `json:"machine"`
	Session uint64 `json:"session"`
	Class   string `json:"class,omitempty"` // of the job; how long it is kept may go by it
}

// StreamInfo is a stream in a manifest.
type StreamInfo struct {
	Name    string      `json:"name"`
	Records uint64      `json:"records"`
	Bytes   int64       `json:"bytes"`          // of data, holes not counted
	Lost    int64       `json:"lost,omitempty"` // bytes that holes stand for
	Blob    blob.Digest `json:"-"`
	Digest  string      `json:"blob"`
}

// FileInfo is a file in a manifest.
type FileInfo struct {
	Path   string `json:"path"`
	Digest string `json:"blob"`
}

// Exit is how an attempt ended, in its agent's words.
type Exit struct {
	Completed bool   `json:"completed"`
	Code      int    `json:"code"`
	Reason    string `json:"reason,omitempty"`
}

// Manifest is a sealed attempt. Final says whether it is its task's result; it is
// no part of what the code covers, since it is decided after the seal.
type Manifest struct {
	Claim
	Sealed  time.Time    `json:"sealed"`
	Partial bool         `json:"partial,omitempty"` // never sealed by its agent, and never will be
	Exit    Exit         `json:"exit"`
	Streams []StreamInfo `json:"streams"`
	Files   []FileInfo   `json:"files"`
	Code    string       `json:"hmac_sha256"`
}

// maxManifest bounds a manifest, in bytes.
const maxManifest = 8 << 20

// keeps lists the blobs that must be kept for a signed manifest, itself first.
func (m *Manifest) keeps(signed []byte) ([]blob.Digest, error) {
	keep := []blob.Digest{blob.DigestOf(signed)}
	for _, s := range m.Streams {
		keep = append(keep, s.Blob)
	}
	for _, f := range m.Files {
		d, err := blob.Parse(f.Digest)
		if err != nil {
			return nil, err
		}
		keep = append(keep, d)
	}
	return keep, nil
}

// Sign gives a manifest its code: HMAC-SHA256 (RFC 2104) over its JSON without one.
func (m *Manifest) Sign(key []byte) []byte {
	m.Code = ""
	m.Code = hex.EncodeToString(mac(key, protocol.Encode(m)))
	return protocol.Encode(m)
}

func mac(key, data []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(data)
	return h.Sum(nil)
}

// Verify reads a manifest and checks its code.
func Verify(key, data []byte) (*Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrForged, err)
	}
	code, err := hex.DecodeString(m.Code)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrForged, err)
	}
	bare := m
	bare.Code = ""
	if !hmac.Equal(code, mac(key, protocol.Encode(&bare))) {
		return nil, fmt.Errorf("%w: %s", ErrForged, m.Attempt)
	}
	for i := range m.Streams {
		if m.Streams[i].Blob, err = blob.Parse(m.Streams[i].Digest); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrForged, err)
		}
	}
	return &m, nil
}

// Bounds of names, in bytes.
const (
	maxStream = 64
	maxPath   = 1024
)

// CheckStream allows short printable names without a slash.
func CheckStream(name string) error {
	if name == "" || len(name) > maxStream || strings.ContainsFunc(name, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.')
	}) || strings.HasPrefix(name, ".") {
		return fmt.Errorf("%w: stream %.100q", ErrName, name)
	}
	return nil
}

// EscapePath is a path of a task's files as part of a URL.
func EscapePath(path string) string {
	segments := strings.Split(path, "/")
	for i := range segments {
		segments[i] = url.PathEscape(segments[i])
	}
	return strings.Join(segments, "/")
}

// CheckPath allows relative paths of a task's files that stay below its directory:
// segments parted by single slashes, none of them empty, "." or "..", no
// backslash and no control character.
func CheckPath(path string) error {
	bad := path == "" || len(path) > maxPath || !utf8.ValidString(path) || strings.ContainsFunc(path, func(r rune) bool { return r < 0x20 || r == 0x7f || r == '\\' })
	if bad || slices.ContainsFunc(strings.Split(path, "/"), func(s string) bool { return s == "" || s == "." || s == ".." }) {
		return fmt.Errorf("%w: path %.100q", ErrName, path)
	}
	return nil
}
