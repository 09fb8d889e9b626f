package artifactstore

import (
	"crypto/hmac"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"topazhollow/internal/protocol"
)

// ErrToken says that a token is forged, too old or not for this.
var ErrToken = errors.New("keeper: token refused")

// Right is what a token allows.
type Right string

// Rights of tokens.
const (
	// Write lets a machine's session put out for one attempt.
	Write Right = "write"
	// Read lets its bearer read a job's output and files, or one task's.
	Read Right = "read"
	// Peer lets one store ask another.
	Peer Right = "peer"
	// Operate lets its bearer read metrics and status.
	Operate Right = "operate"
	// Build lets its bearer use an instance of the front for build tools; Job names it.
	Build Right = "build"
)

// Grant is what a token stands for. It holds until its time is over, to the second,
// by the store's time of day.
type Grant struct {
	Right   Right     `json:"r"`
	Tenant  string    `json:"t"`
	Job     string    `json:"j"`
	Task    *int      `json:"k,omitempty"` // nil: all tasks of the job
	Number  uint64    `json:"a,omitempty"` // of the attempt, to write
	Machine string    `json:"m,omitempty"` // to write
	Session uint64    `json:"s,omitempty"`
	Class   string    `json:"c,omitempty"` // of the job, to write
	Until   time.Time `json:"u"`
}

// maxToken bounds a token's text.
const maxTokenBytes = 2048

// Token is a grant as text: its JSON and an HMAC-SHA256 over that, both in base64url
// without padding, with a dot between them.
func (g Grant) Token(key []byte) string {
	body := protocol.Encode(&g)
	enc := base64.RawURLEncoding
	return enc.EncodeToString(body) + "." + enc.EncodeToString(mac(tokenKey(key), body))
}

// tokenKey is a key of its own for tokens, so that no manifest's code is a token's.
func tokenKey(key []byte) []byte { return mac(key, []byte("token")) }

// ParseToken checks a token and gives what it stands for.
func ParseToken(key []byte, token string, now time.Time) (*Grant, error) {
	body, code, ok := strings.Cut(token, ".")
	if !ok || len(token) > maxTokenBytes {
		return nil, fmt.Errorf("%w: malformed", ErrToken)
	}
	enc := base64.RawURLEncoding.Strict()
	b, err := enc.DecodeString(body)
	c, cerr := enc.DecodeString(code)
	if err != nil || cerr != nil || !hmac.Equal(c, mac(tokenKey(key), b)) {
		return nil, fmt.Errorf("%w: not given out here", ErrToken)
	}
	var g Grant
	if err := json.Unmarshal(b, &g); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrToken, err)
	}
	if !now.Before(g.Until) {
		return nil, fmt.Errorf("%w: it ended at %s", ErrToken, g.Until.UTC().Format(time.RFC3339))
	}
	return &g, nil
}

// Allows says whether the grant is for reading a task, or -1 for all of a job.
func (g *Grant) Allows(job string, task int) bool {
	return g.Right == Read && g.Job == job && (g.Task == nil || *g.Task == task)
}

// Claim is whose output a grant to write lets in.
func (g *Grant) Claim() (Claim, error) {
	if g.Right != Write || g.Task == nil {
		return Claim{}, fmt.Errorf("%w: not for writing", ErrToken)
	}
	return Claim{Attempt: Attempt{g.Job, *g.Task, g.Number}, Tenant: g.Tenant, Machine: g.Machine, Session: g.Session, Class: g.Class}, nil
}
