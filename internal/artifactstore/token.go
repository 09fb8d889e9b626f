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

// ErrToken reports that a token is forged, expired or not valid for the request.
var ErrToken = errors.New("artifactstore: token refused")

// Right is the kind of access that a token grants.
type Right string

// Rights of tokens.
const (
	// Write allows a machine's session to write the output of one attempt.
	Write Right = "write"
	// Read allows its bearer to read the output and files of a job or of one task.
	Read Right = "read"
	// Peer allows one replica to call another.
	Peer Right = "peer"
	// Operate allows its bearer to read metrics and status.
	Operate Right = "operate"
	// Build allows its bearer to use an instance of the remote-execution server; Job is the name of the instance.
	Build Right = "build"
)

// Grant is the content of a token. It is valid until Until by the server's clock.
type Grant struct {
	Right   Right     `json:"r"`
	Tenant  string    `json:"t"`
	Job     string    `json:"j"`
	Task    *int      `json:"k,omitempty"` // nil: all tasks of the job
	Number  uint64    `json:"a,omitempty"` // attempt, for Write
	Machine string    `json:"m,omitempty"` // for Write
	Session uint64    `json:"s,omitempty"` // for Write
	Class   string    `json:"c,omitempty"` // class of the job, for Write
	Until   time.Time `json:"u"`
}

// maxTokenBytes is the maximum length of a token.
const maxTokenBytes = 2048

// Token encodes a grant: its JSON and an HMAC-SHA256 over that, both in base64url without padding and separated by a
// dot.
func (g Grant) Token(key []byte) string {
	body := protocol.Encode(&g)
	enc := base64.RawURLEncoding
	return enc.EncodeToString(body) + "." + enc.EncodeToString(mac(tokenKey(key), body))
}

// tokenKey derives the key for tokens, so that the code of a manifest can't serve as that of a token.
func tokenKey(key []byte) []byte { return mac(key, []byte("token")) }

// ParseToken verifies a token and returns its grant.
func ParseToken(key []byte, token string, now time.Time) (*Grant, error) {
	body, encodedSignature, ok := strings.Cut(token, ".")
	if !ok || len(token) > maxTokenBytes {
		return nil, fmt.Errorf("%w: malformed", ErrToken)
	}
	enc := base64.RawURLEncoding.Strict()
	b, err := enc.DecodeString(body)
	signature, signatureErr := enc.DecodeString(encodedSignature)
	if err != nil || signatureErr != nil || !hmac.Equal(signature, mac(tokenKey(key), b)) {
		return nil, fmt.Errorf("%w: wrong signature", ErrToken)
	}
	var g Grant
	if err := json.Unmarshal(b, &g); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrToken, err)
	}
	if !now.Before(g.Until) {
		return nil, fmt.Errorf("%w: expired at %s", ErrToken, g.Until.UTC().Format(time.RFC3339))
	}
	return &g, nil
}

// Allows reports whether the grant allows reading a task, or all tasks of a job if task is -1.
func (g *Grant) Allows(job string, task int) bool {
	return g.Right == Read && g.Job == job && (g.Task == nil || *g.Task == task)
}

// Claim returns the claim of the attempt that a write grant is for.
func (g *Grant) Claim() (Claim, error) {
	if g.Right != Write || g.Task == nil {
		return Claim{}, fmt.Errorf("%w: not a write token", ErrToken)
	}
	return Claim{Attempt: Attempt{g.Job, *g.Task, g.Number}, Tenant: g.Tenant, Machine: g.Machine, Session: g.Session, Class: g.Class}, nil
}
