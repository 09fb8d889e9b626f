// Package artifactstore stores the output of tasks: the records of their streams while they run and, once an attempt
// has ended, a signed manifest of its streams and files. At most one sealed attempt of a task becomes the task's
// result.
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

// Errors that callers distinguish.
var (
	ErrName       = errors.New("artifactstore: name not allowed")
	ErrClaim      = errors.New("artifactstore: the attempt belongs to another machine or session")
	ErrSealed     = errors.New("artifactstore: the attempt has ended")
	ErrUnknown    = errors.New("artifactstore: no such attempt")
	ErrForged     = errors.New("artifactstore: invalid or wrongly signed manifest")
	ErrLimit      = errors.New("artifactstore: limit exceeded")
	ErrIncomplete = errors.New("artifactstore: the output is incomplete")
)

// GapError reports records whose number is not the next one of the stream.
type GapError struct {
	Stream             string
	Expected, Received uint64 // the number expected next, and the one received
}

func (e *GapError) Error() string {
	return fmt.Sprintf("artifactstore: stream %s: expected record %d, got %d", e.Stream, e.Expected, e.Received)
}

// Attempt identifies one attempt of a task. The scheduler numbers the attempts of a task in increasing order and
// never reuses a number.
type Attempt struct {
	Job    string `json:"job"`
	Task   int    `json:"task"`
	Number uint64 `json:"attempt"`
}

// String returns job/task/attempt with zero-padded numbers, so that names sort in the order of the numbers.
func (a Attempt) String() string { return fmt.Sprintf("%s/%06d/%020d", a.Job, a.Task, a.Number) }

// task returns the common prefix of the names of the task's attempts.
func (a Attempt) task() string { return fmt.Sprintf("%s/%06d/", a.Job, a.Task) }

func (a Attempt) check() error {
	if !protocol.ValidUID(a.Job) || a.Task < 0 || a.Task >= 1_000_000 || a.Number == 0 {
		return fmt.Errorf("%w: attempt %d of task %d of job %.100q", ErrName, a.Number, a.Task, a.Job)
	}
	return nil
}

// Claim identifies the writer of an attempt: the machine that runs it, in one session. All writes must carry the
// claim that began the attempt.
type Claim struct {
	Attempt
	Tenant  string `json:"tenant"`
	Machine string `json:"machine"`
	Session uint64 `json:"session"`
	Class   string `json:"class,omitempty"` // of the job; the retention policy may depend on it
}

// StreamInfo describes a stream in a manifest.
type StreamInfo struct {
	Name    string      `json:"name"`
	Records uint64      `json:"records"`
	Bytes   int64       `json:"bytes"`          // of data, without dropped output
	Lost    int64       `json:"lost,omitempty"` // bytes of dropped output
	Blob    blob.Digest `json:"-"`
	Digest  string      `json:"blob"`
}

// FileInfo describes a file in a manifest.
type FileInfo struct {
	Path   string `json:"path"`
	Digest string `json:"blob"`
}

// Exit is the end of an attempt as its agent reported it.
type Exit struct {
	Completed bool   `json:"completed"`
	Code      int    `json:"code"`
	Reason    string `json:"reason,omitempty"`
}

// Manifest describes an attempt that has ended. Whether the attempt is the task's result is not part of it, since
// that is decided after the seal.
type Manifest struct {
	Claim
	Sealed  time.Time    `json:"sealed"`            // time at which a node built the manifest, also of a partial attempt
	Partial bool         `json:"partial,omitempty"` // ended without a seal from its agent
	Exit    Exit         `json:"exit"`
	Streams []StreamInfo `json:"streams"`
	Files   []FileInfo   `json:"files"`
	Code    string       `json:"hmac_sha256"`
}

// maxManifestBytes is the maximum size of an encoded manifest.
const maxManifestBytes = 8 << 20

// blobDigests lists the blobs that a signed manifest needs, the manifest itself first.
func (m *Manifest) blobDigests(signed []byte) ([]blob.Digest, error) {
	digests := []blob.Digest{blob.DigestOf(signed)}
	for _, s := range m.Streams {
		digests = append(digests, s.Blob)
	}
	for _, f := range m.Files {
		d, err := blob.Parse(f.Digest)
		if err != nil {
			return nil, err
		}
		digests = append(digests, d)
	}
	return digests, nil
}

// Sign sets the manifest's code, an HMAC-SHA256 (RFC 2104) over its JSON without the code, and returns the signed
// JSON.
func (m *Manifest) Sign(key []byte) []byte {
	m.Code = ""
	m.Code = hex.EncodeToString(mac(key, protocol.Encode(m)))
	return protocol.Encode(m)
}

// mac returns the HMAC-SHA256 of data.
func mac(key, data []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(data)
	return h.Sum(nil)
}

// Verify decodes a manifest and checks its code.
func Verify(key, data []byte) (*Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrForged, err)
	}
	code, err := hex.DecodeString(m.Code)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrForged, err)
	}
	unsigned := m
	unsigned.Code = ""
	if !hmac.Equal(code, mac(key, protocol.Encode(&unsigned))) {
		return nil, fmt.Errorf("%w: %s", ErrForged, m.Attempt)
	}
	for i := range m.Streams {
		if m.Streams[i].Blob, err = blob.Parse(m.Streams[i].Digest); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrForged, err)
		}
	}
	return &m, nil
}

// Maximum lengths of names.
const (
	maxStreamNameBytes = 64
	maxPathBytes       = 1024
)

// CheckStream accepts stream names of ASCII letters, digits, '-', '_' and '.' that don't begin with a dot.
func CheckStream(name string) error {
	if name == "" || len(name) > maxStreamNameBytes || strings.ContainsFunc(name, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.')
	}) || strings.HasPrefix(name, ".") {
		return fmt.Errorf("%w: stream %.100q", ErrName, name)
	}
	return nil
}

// EscapePath escapes the path of a task's file for a URL and keeps its slashes.
func EscapePath(path string) string {
	segments := strings.Split(path, "/")
	for i := range segments {
		segments[i] = url.PathEscape(segments[i])
	}
	return strings.Join(segments, "/")
}

// CheckPath accepts relative paths that stay below the task's directory: segments separated by single slashes, none
// of them empty, "." or "..", and no backslash or control character.
func CheckPath(path string) error {
	invalid := path == "" || len(path) > maxPathBytes || !utf8.ValidString(path) || strings.ContainsFunc(path, func(r rune) bool { return r < 0x20 || r == 0x7f || r == '\\' })
	if invalid || slices.ContainsFunc(strings.Split(path, "/"), func(s string) bool { return s == "" || s == "." || s == ".." }) {
		return fmt.Errorf("%w: path %.100q", ErrName, path)
	}
	return nil
}
