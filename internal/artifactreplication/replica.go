package artifactreplication

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
	"topazhollow/internal/protocol"
)

// Errors of calls between replicas.
var (
	// ErrJoining reports that a replica does not have all its data yet, so that it can't vote or be counted.
	ErrJoining = errors.New("artifactreplication: replica is still joining")
	// ErrEpoch reports that two replicas use different lists of members.
	ErrEpoch = errors.New("artifactreplication: the replica uses a different list of members")
	// ErrNoQuorum reports that too few of a task's replicas answered.
	ErrNoQuorum = errors.New("artifactreplication: too few of the task's replicas answered")
)

// peerRequest is a request from one replica to another. Each operation uses some of the fields.
type peerRequest struct {
	Op       string                 `json:"op"`
	Claim    artifactstore.Claim    `json:"claim"`
	Attempt  artifactstore.Attempt  `json:"at"`
	Stream   string                 `json:"stream,omitempty"`
	First    uint64                 `json:"first,omitempty"`
	Records  []artifactstore.Record `json:"records,omitempty"`
	Path     string                 `json:"path,omitempty"`
	Digest   string                 `json:"digest,omitempty"`
	Ballot   artifactstore.Ballot   `json:"ballot"`
	Freeze   bool                   `json:"freeze,omitempty"`
	Value    []byte                 `json:"value,omitempty"`
	Buckets  []int                  `json:"buckets,omitempty"`
	Count    bool                   `json:"count,omitempty"` // fail with ErrJoining unless the replica has everything of the task
	From     string                 `json:"from"`
	Identity string                 `json:"identity"` // digest of the sender's member list
}

// peerResponse is the response to a peerRequest. Each operation sets some of the fields.
type peerResponse struct {
	Next    uint64                  `json:"next,omitempty"`
	Promise *artifactstore.Promise  `json:"promise,omitempty"`
	Task    *artifactstore.TaskView `json:"task,omitempty"`
	Tasks   []int                   `json:"tasks,omitempty"`
	Sums    []string                `json:"sums,omitempty"`
	Names   []string                `json:"names,omitempty"`
	Votes   []registerVote          `json:"votes,omitempty"`
	Status  *Status                 `json:"status,omitempty"`
}

// registerVote is a replica's vote in a register.
type registerVote struct {
	At   artifactstore.Attempt `json:"at"`
	Vote artifactstore.Vote    `json:"vote"`
}

// replica is the interface by which a node calls a replica, itself or another one.
type replica interface {
	do(ctx context.Context, c *peerRequest) (*peerResponse, error)
	// read calls each for the records of a stream, beginning with number from. If follow is set, it waits for more
	// until the context ends. ended reports that the attempt has ended.
	read(ctx context.Context, at artifactstore.Attempt, stream string, from uint64, follow bool, each func(artifactstore.Record) error) (next uint64, ended bool, err error)
	blob(ctx context.Context, tenant string, d blob.Digest, offset int64) (io.ReadCloser, error)
	put(ctx context.Context, tenant string, d blob.Digest, content io.Reader) error
}

// errorCodes maps errors to the codes by which clients and replicas distinguish them, and to the HTTP status and
// Retry-After of the response.
var errorCodes = []struct {
	code   string
	err    error
	status int
	retry  time.Duration
}{
	{"token", artifactstore.ErrToken, http.StatusUnauthorized, 0},
	{"claim", artifactstore.ErrClaim, http.StatusForbidden, 0},
	{"tenant", blob.ErrTenant, http.StatusForbidden, 0},
	{"sealed", artifactstore.ErrSealed, http.StatusConflict, 0},
	{"not whole", artifactstore.ErrIncomplete, http.StatusConflict, 0},
	{"unknown", artifactstore.ErrUnknown, http.StatusNotFound, 0},
	{"no blob", blob.ErrNotFound, http.StatusNotFound, 0},
	{"no upload", blob.ErrUpload, http.StatusNotFound, 0},
	{"offset", blob.ErrOffset, http.StatusConflict, 0},
	{"too much", artifactstore.ErrLimit, http.StatusRequestEntityTooLarge, 0},
	{"name", artifactstore.ErrName, http.StatusBadRequest, 0},
	{"digest", blob.ErrDigest, http.StatusBadRequest, 0},
	{"mismatch", blob.ErrMismatch, http.StatusBadRequest, 0},
	{"body", errMalformedRequest, http.StatusBadRequest, 0},
	{"forged", artifactstore.ErrForged, http.StatusBadRequest, 0},
	{"frozen", artifactstore.ErrFrozen, http.StatusServiceUnavailable, time.Second},
	{"joining", ErrJoining, http.StatusServiceUnavailable, time.Second},
	{"epoch", ErrEpoch, http.StatusServiceUnavailable, time.Second},
	{"too few", ErrNoQuorum, http.StatusServiceUnavailable, time.Second},
	{"busy", errBusy, http.StatusTooManyRequests, time.Second},
	{"rotten", blob.ErrCorrupt, http.StatusServiceUnavailable, 10 * time.Second},
}

var (
	errMalformedRequest = errors.New("artifactreplication: malformed request")
	errBusy             = errors.New("artifactreplication: too many concurrent calls")
)

// remote is another replica, called over HTTP.
type remote struct {
	n    *Node
	name string
	url  string
	http *http.Client

	mu    sync.Mutex
	token string
	until time.Time
}

func (r *remote) request(ctx context.Context, method, path string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(r.url, "/")+path, body)
	if err != nil {
		return nil, err
	}
	now := r.n.opt.Now()
	r.mu.Lock()
	if !now.Before(r.until.Add(-time.Minute)) {
		r.until = now.Add(10 * time.Minute)
		r.token = artifactstore.Grant{Right: artifactstore.Peer, Machine: r.n.opt.Name, Until: r.until}.Token(r.n.opt.Key)
	}
	req.Header.Set("Authorization", "Bearer "+r.token)
	r.mu.Unlock()
	resp, err := r.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	var a artifactstore.Answer
	if err := json.NewDecoder(io.LimitReader(resp.Body, 64<<10)).Decode(&a); err != nil {
		return nil, fmt.Errorf("replica %s: %s", r.name, resp.Status)
	}
	return nil, fmt.Errorf("replica %s: %w", r.name, errorOf(&a, resp))
}

// errorOf returns the error that an error response stands for.
func errorOf(a *artifactstore.Answer, resp *http.Response) error {
	if a.Code == "gap" && a.Next != nil {
		return &artifactstore.GapError{Expected: *a.Next}
	}
	if a.Code == "full" {
		seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
		return &blob.FullError{Retry: time.Duration(seconds) * time.Second}
	}
	for _, c := range errorCodes {
		if c.code == a.Code {
			return fmt.Errorf("%w (%s)", c.err, a.Error)
		}
	}
	return fmt.Errorf("%s %s", resp.Status, a.Error)
}

func (r *remote) do(ctx context.Context, c *peerRequest) (*peerResponse, error) {
	cc := *c
	cc.From, cc.Identity = r.n.opt.Name, r.n.opt.Members.digest()
	resp, err := r.request(ctx, "POST", "/peer/call", bytes.NewReader(protocol.Encode(&cc)))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	a := &peerResponse{}
	return a, json.NewDecoder(resp.Body).Decode(a)
}

func (r *remote) read(ctx context.Context, at artifactstore.Attempt, stream string, from uint64, follow bool, each func(artifactstore.Record) error) (uint64, bool, error) {
	q := url.Values{"job": {at.Job}, "task": {strconv.Itoa(at.Task)}, "attempt": {strconv.FormatUint(at.Number, 10)}, "stream": {stream}, "from": {strconv.FormatUint(from, 10)}}
	if follow {
		q.Set("follow", "1")
	}
	resp, err := r.request(ctx, "GET", "/peer/records?"+q.Encode(), nil)
	if err != nil {
		return from, false, err
	}
	defer resp.Body.Close()
	d := json.NewDecoder(resp.Body)
	for next := from; ; {
		var l artifactstore.Line
		if err := d.Decode(&l); err != nil {
			return next, false, fmt.Errorf("replica %s: stream of records interrupted: %w", r.name, err)
		}
		if l.State != "" {
			return next, l.State == streamEnded, nil
		}
		if l.Record == nil || l.Number != next {
			return next, false, fmt.Errorf("replica %s: got record %d, expected %d", r.name, l.Number, next)
		}
		if err := each(*l.Record); err != nil {
			return next, false, err
		}
		next++
	}
}

// streamEnded is the State of the last line between replicas if the attempt has ended.
const streamEnded = "ended"

func (r *remote) blob(ctx context.Context, tenant string, d blob.Digest, offset int64) (io.ReadCloser, error) {
	q := url.Values{"tenant": {tenant}, "blob": {d.String()}, "offset": {strconv.FormatInt(offset, 10)}}
	resp, err := r.request(ctx, "GET", "/peer/blob?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	return resp.Body, nil
}

func (r *remote) put(ctx context.Context, tenant string, d blob.Digest, content io.Reader) error {
	q := url.Values{"tenant": {tenant}, "blob": {d.String()}}
	resp, err := r.request(ctx, "PUT", "/peer/blob?"+q.Encode(), content)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// local is the node's own replica.
type local struct{ n *Node }

func (l local) do(ctx context.Context, c *peerRequest) (*peerResponse, error) {
	return l.n.serve(ctx, c)
}

func (l local) read(ctx context.Context, at artifactstore.Attempt, stream string, from uint64, follow bool, each func(artifactstore.Record) error) (next uint64, ended bool, err error) {
	for next = from; ; {
		if next, ended, err = l.n.store.Read(at, stream, next, each); err != nil || ended || !follow {
			return next, ended, err
		}
		if l.n.store.WaitForRecords(ctx, at, stream, next) != nil {
			return next, false, nil
		}
	}
}

func (l local) blob(_ context.Context, tenant string, d blob.Digest, offset int64) (io.ReadCloser, error) {
	return l.n.blobs.Open(tenant, d, offset)
}

func (l local) put(ctx context.Context, tenant string, d blob.Digest, content io.Reader) error {
	return l.n.blobs.PutReader(ctx, tenant, d, content)
}

// serve performs an operation on this replica alone, for this node or another one.
func (n *Node) serve(ctx context.Context, c *peerRequest) (*peerResponse, error) {
	store, a := n.store, &peerResponse{}
	var err error
	if c.Count && !n.isComplete(c.Attempt.Job, c.Attempt.Task) {
		return nil, ErrJoining
	}
	switch c.Op {
	case "begin":
		err = store.Begin(ctx, c.Claim)
	case "append":
		a.Next, err = store.Append(ctx, c.Claim, c.Stream, c.First, c.Records)
		if errors.Is(err, artifactstore.ErrUnknown) { // this replica missed the begin of the attempt
			if err = store.Begin(ctx, c.Claim); err == nil {
				a.Next, err = store.Append(ctx, c.Claim, c.Stream, c.First, c.Records)
			}
		}
	case "attach":
		var d blob.Digest
		if d, err = blob.Parse(c.Digest); err != nil {
			return nil, err
		}
		err = store.Attach(ctx, c.Claim, c.Path, d)
		if errors.Is(err, artifactstore.ErrUnknown) {
			if err = store.Begin(ctx, c.Claim); err == nil {
				err = store.Attach(ctx, c.Claim, c.Path, d)
			}
		}
	case "prepare":
		a.Promise, err = store.Prepare(ctx, c.Attempt, c.Ballot, c.Freeze)
	case "accept":
		a.Promise, err = store.Accept(ctx, c.Attempt, c.Ballot, c.Value, n.fetch(c.Attempt, c.From))
	case "learn":
		err = store.Learn(ctx, c.Attempt, c.Value, n.fetch(c.Attempt, c.From))
		if errors.Is(err, artifactstore.ErrConflictingDecisions) {
			n.opt.Log.Error("two values decided in a register", "job", c.Attempt.Job, "task", c.Attempt.Task, "attempt", c.Attempt.Number, "keeper", c.From)
		}
	case "task":
		a.Task, err = store.Task(c.Attempt.Job, c.Attempt.Task)
	case "tasks":
		a.Tasks, err = store.Tasks(c.Attempt.Job)
	case "sums":
		a.Sums, err = n.checksums(c.From)
	case "names":
		a.Names, err = n.namesInBuckets(c.From, c.Buckets)
	case "votes":
		for at, v := range store.Votes() {
			if n.opt.Members.IsReplica(c.From, at.Job, at.Task) {
				a.Votes = append(a.Votes, registerVote{at, v})
			}
		}
	case "status":
		a.Status = n.Status()
	default:
		err = fmt.Errorf("%w: unknown operation %.40q", errMalformedRequest, c.Op)
	}
	if err != nil {
		return nil, err
	}
	return a, nil
}

// fetch returns a Fetch for the blobs of an attempt. It tries the replica named first before the others.
func (n *Node) fetch(at artifactstore.Attempt, first string) artifactstore.Fetch {
	return func(ctx context.Context, tenant string, d blob.Digest) (io.ReadCloser, error) {
		return n.openBlob(ctx, append([]string{first}, n.sources(at.Job, at.Task)...), tenant, d, 0)
	}
}

// sources lists the replicas that may have data of a task: its replicas, then the draining ones, which may have been
// its replicas.
func (n *Node) sources(job string, task int) []string {
	names := n.opt.Members.ReplicasOf(job, task)
	for _, m := range n.opt.Members.List {
		if m.State == Draining {
			names = append(names, m.Name)
		}
	}
	return names
}

// openBlob opens a blob on the first replica that has it, trying this one before all others.
func (n *Node) openBlob(ctx context.Context, names []string, tenant string, d blob.Digest, offset int64) (io.ReadCloser, error) {
	r, err := n.blobs.Open(tenant, d, offset)
	if err == nil {
		return r, nil
	}
	errs := []error{err}
	for _, name := range names {
		if p := n.peers[name]; p != nil && name != n.opt.Name {
			r, err := p.blob(ctx, tenant, d, offset)
			if err == nil {
				return r, nil
			}
			errs = append(errs, err)
		}
	}
	for _, err := range errs { // report that a replica lacks the blob rather than that a call failed
		if errors.Is(err, blob.ErrNotFound) {
			return nil, err
		}
	}
	return nil, errors.Join(errs...)
}
