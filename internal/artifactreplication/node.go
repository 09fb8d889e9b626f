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

// Options configures a Node.
type Options struct {
	Name                 string // name of this replica in Members
	Dir                  string // directory of identity.json
	Members              Members
	Store                *artifactstore.Store
	Blobs                *blob.Store
	Key                  []byte
	PeerTimeout          time.Duration   // of calls to other replicas; 5 s if 0
	RepairBytesPerSecond float64         // maximum rate of repair; unlimited if 0
	Retention            *Retention      // how long attempts are kept; nil: for ever
	Revoked              *RevocationList // revoked tokens; nil: none
	HTTP                 *http.Client    // client for calls to other replicas; http.DefaultClient if nil
	Log                  *slog.Logger
	Now                  func() time.Time
}

// Node is one replica of the artifact store. Any node can serve a client: it coordinates the replicas of the task
// concerned.
type Node struct {
	opt      Options
	store    *artifactstore.Store
	blobs    *blob.Store
	peers    map[string]replica // by name, including this one, without those that are gone
	ballotID string             // identifies this process in ballots
	round    atomic.Uint64
	inFlight map[string]chan struct{} // calls in progress, also those that no caller waits for any more, by replica

	mu            sync.Mutex
	id            *identity
	repair        repairState
	metrics       *metrics
	repairLimiter *rate.Limiter // limits repair traffic; nil: unlimited
}

// New creates the node of a replica and counts the start in the replica's identity file.
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
