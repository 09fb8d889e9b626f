package artifactreplication

import (
	"encoding/hex"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	crand "crypto/rand"

	"golang.org/x/time/rate"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
)

// Options are a node's choices.
type Options struct {
	Name                 string // the own one among Members
	Dir                  string // for what it must know of itself across starts
	Members              Members
	Store                *artifactstore.Store
	Blobs                *blob.Store
	Key                  []byte
	PeerTimeout          time.Duration   // for another replica's answer; 5 s if 0
	RepairBytesPerSecond float64         // bytes a second that repair may bring; no bound if 0
	Retention            *Retention      // how long what is kept; nil: for ever
	Revoked              *RevocationList // tokens that are refused; nil: none
	HTTP                 *http.Client    // for the other replicas; http.DefaultClient if nil
	Log                  *slog.Logger
	Now                  func() time.Time
}

// Node is one replica among several. Whichever is asked answers for all of them.
type Node struct {
	opt      Options
	store    *artifactstore.Store
	blobs    *blob.Store
	peers    map[string]replica // all that are not gone, the own one too
	ballotID string             // names this process in ballots
	round    atomic.Uint64
	inFlight map[string]chan struct{} // what goes on behind callers' backs, by replica

	mu            sync.Mutex
	id            *identity
	repair        repairState
	metrics       *metrics
	repairLimiter *rate.Limiter // of repair; nil: none
}

// New makes a node of a replica and its store.
func New(opt Options) (*Node, error) {
	if opt.PeerTimeout <= 0 {
		opt.PeerTimeout = 5 * time.Second
	}
	if opt.Now == nil {
		opt.Now = time.Now
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	if opt.HTTP == nil {
		opt.HTTP = http.DefaultClient
	}
	if err := opt.Members.check(opt.Name); err != nil {
		return nil, err
	}
	id, err := openIdentity(opt.Dir, &opt.Members)
	if err != nil {
		return nil, err
	}
	var r [6]byte
	_, _ = crand.Read(r[:]) // never fails
	n := &Node{opt: opt, store: opt.Store, blobs: opt.Blobs, id: id, peers: map[string]replica{}, inFlight: map[string]chan struct{}{},
		ballotID: fmt.Sprintf("%s.%d.%s", opt.Name, id.Incarnation, hex.EncodeToString(r[:]))}
	n.repair.firstMissing = map[string]time.Time{}
	n.metrics, n.repairLimiter = newMetrics(n), newRateLimiter(opt.RepairBytesPerSecond)
	for _, m := range opt.Members.List {
		if m.State == Gone {
			continue
		}
		n.peers[m.Name] = &remote{n: n, name: m.Name, url: m.URL, http: opt.HTTP}
		n.inFlight[m.Name] = make(chan struct{}, maxCallsPerPeer)
	}
	n.peers[opt.Name] = local{n}
	return n, nil
}

func (n *Node) isComplete(job string, task int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.id.isComplete(n.opt.Name, job, task)
}
