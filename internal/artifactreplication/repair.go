package artifactreplication

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
	"topazhollow/internal/protocol"
)

// Two replicas compare names to find what one of them lacks: names of ended attempts, of results, and of open
// attempts with their extents. Names are grouped into buckets by task. Buckets with equal sums of hashes are taken as
// equal; only the names of the other buckets are transferred.

// maxConcurrentRepairs is the number of tasks restored at a time. A repair mostly waits for disks.
const maxConcurrentRepairs = 8

// missingTask is a task of which this replica lacks something.
type missingTask struct {
	task    artifactstore.Attempt // the task; Number is 0
	peers   []string              // replicas that have something of it that is missing here
	copies  int                   // number of replicas that have the rarest missing item
	noticed time.Time
}

// orderRepairs groups the missing names by task and orders the tasks: those with the fewest copies first, then those
// noticed first. holders lists, by missing name, the replicas that have it.
func orderRepairs(holders map[string][]string, noticed func(task string) time.Time) []missingTask {
	byTask := map[string]*missingTask{}
	for _, name := range slices.Sorted(maps.Keys(holders)) {
		at, err := taskOf(name)
		if err != nil {
			continue // not a name of an attempt or a result
		}
		key := fmt.Sprintf("%s/%d", at.Job, at.Task)
		missing := byTask[key]
		if missing == nil {
			missing = &missingTask{task: at, copies: len(holders[name]), noticed: noticed(key)}
			byTask[key] = missing
		}
		missing.copies = min(missing.copies, len(holders[name]))
		for _, p := range holders[name] {
			if !slices.Contains(missing.peers, p) {
				missing.peers = append(missing.peers, p)
			}
		}
	}
	list := make([]missingTask, 0, len(byTask))
	for _, key := range slices.Sorted(maps.Keys(byTask)) {
		list = append(list, *byTask[key])
	}
	slices.SortStableFunc(list, func(a, b missingTask) int {
		return cmp.Or(cmp.Compare(a.copies, b.copies), a.noticed.Compare(b.noticed))
	})
	return list
}

// repairState is the result of the last comparison with the other replicas.
type repairState struct {
	firstMissing    map[string]time.Time           // when a task was first found to be incomplete here
	pending         int                            // number of tasks still to be restored
	underReplicated int                            // names that another replica lacks
	misplaced       int                            // tasks to hand over
	unreachable     map[string]string              // errors of the replicas that could not be compared with, by name
	undecided       map[artifactstore.Attempt]bool // registers in which a value was accepted here, but none known to be decided
	repairedTasks   int                            // since the start
	repairedBytes   int64                          // since the start
}

// InSync reports whether this replica has everything that it should have by the current list.
func (n *Node) InSync() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.id.isSynced(&n.opt.Members)
}

// Repair compares this replica with all others, restores what is missing here, hands over tasks of which it is not a
// replica, and completes unfinished decisions. A replica that is not in sync becomes so once all others
// have answered and everything missing was restored.
func (n *Node) Repair(ctx context.Context) error {
	inSync := n.InSync()
	found := n.compareAll(ctx, !inSync)
	began := n.opt.Now()
	list := n.planRepairs(found, began)
	errs := n.restoreAll(ctx, list)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if len(list) > 0 {
		n.opt.Log.Info("repair finished", "keeper", n.opt.Name, "tasks", len(list)-len(errs), "failed", len(errs),
			"took", n.opt.Now().Sub(began))
	}
	if !inSync && len(found.unreachable) == 0 && len(errs) == 0 {
		if err := n.becomeSynced(ctx, found.votes); err != nil {
			return err
		}
	}
	errs = append(errs, n.handOver(ctx), n.finishDecisions(ctx))
	return errors.Join(errs[:min(len(errs), maxReportedErrors)]...)
}

// maxReportedErrors is the maximum number of errors that one repair returns.
const maxReportedErrors = 10

// comparison is the result of comparing this replica with the others.
type comparison struct {
	missing         map[string][]string // replicas that have a name that is missing here, by name
	unreachable     map[string]string   // errors of the replicas that could not be compared with, by name
	votes           []registerVote      // votes of the others, to adopt if this replica lost its disk
	underReplicated int
}

// compareAll compares with every other replica. It requests the votes only while this replica is not in sync.
func (n *Node) compareAll(ctx context.Context, votes bool) *comparison {
	found := &comparison{missing: map[string][]string{}, unreachable: map[string]string{}}
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		if name == n.opt.Name {
			continue
		}
		theirVotes, underReplicated, err := n.compare(ctx, name, votes, found.missing)
		if err != nil {
			found.unreachable[name] = err.Error()
		}
		found.votes, found.underReplicated = append(found.votes, theirVotes...), found.underReplicated+underReplicated
	}
	return found
}

// planRepairs returns the tasks to restore in the order of orderRepairs, and updates the status.
func (n *Node) planRepairs(found *comparison, now time.Time) []missingTask {
	noticed := map[string]time.Time{}
	list := orderRepairs(found.missing, func(task string) time.Time {
		n.mu.Lock()
		defer n.mu.Unlock()
		since, ok := n.repair.firstMissing[task]
		if !ok {
			since = now
		}
		noticed[task] = since
		return since
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.repair.firstMissing, n.repair.pending, n.repair.underReplicated, n.repair.unreachable = noticed, len(list), found.underReplicated, found.unreachable
	return list
}

// restoreAll restores the listed tasks concurrently and returns the errors.
func (n *Node) restoreAll(ctx context.Context, list []missingTask) (errs []error) {
	var repairs errgroup.Group
	repairs.SetLimit(maxConcurrentRepairs)
	for _, l := range list {
		repairs.Go(func() error {
			err := ctx.Err()
			if err == nil {
				err = n.restoreTask(ctx, l)
			}
			n.mu.Lock()
			defer n.mu.Unlock()
			if err != nil {
				errs = append(errs, fmt.Errorf("%s/%d: %w", l.task.Job, l.task.Task, err))
			} else {
				n.repair.pending--
				n.repair.repairedTasks++
			}
			return nil
		})
	}
	_ = repairs.Wait() // the errors are in errs
	return errs
}

// becomeSynced adopts the votes that the others reported and records that this replica has everything that it should
// have. From then on it votes and is counted.
func (n *Node) becomeSynced(ctx context.Context, votes []registerVote) error {
	for _, v := range votes {
		if err := n.store.Adopt(ctx, v.At, &v.Vote, n.limitRate(n.fetch(v.At, ""))); err != nil {
			return err
		}
	}
	n.mu.Lock()
	err := n.id.markSynced(&n.opt.Members)
	n.mu.Unlock()
	if err != nil {
		return err
	}
	n.opt.Log.Info("replica in sync", "keeper", n.opt.Name,
		"epoch", n.opt.Members.Epoch, "disk", n.id.Disk, "incarnation", n.id.Incarnation)
	return nil
}

// compare compares this replica with another one. It adds to holders the names that are missing here and that the other
// one has, and counts the names that the other one lacks. It requests the other's votes before its names, so that a
// register decided in between shows up in the names.
func (n *Node) compare(ctx context.Context, name string, votes bool, holders map[string][]string) (theirVotes []registerVote, underReplicated int, err error) {
	p := n.peers[name]
	do := func(c *peerRequest) (*peerResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, 4*n.opt.PeerTimeout)
		defer cancel()
		return p.do(ctx, c)
	}
	if votes {
		a, err := do(&peerRequest{Op: "votes"})
		if err != nil {
			return nil, 0, err
		}
		theirVotes = a.Votes
	}
	a, err := do(&peerRequest{Op: "sums"})
	if err != nil {
		return nil, 0, err
	}
	sums, err := n.checksums(name)
	if err != nil {
		return nil, 0, err
	}
	if len(a.Sums) != bucketCount {
		return nil, 0, fmt.Errorf("%w: %d bucket sums", errMalformedRequest, len(a.Sums))
	}
	differ := []int{misplacedBucket}
	for i := range sums {
		if sums[i] != a.Sums[i] {
			differ = append(differ, i)
		}
	}
	ourNames := map[string]bool{} // names here; true if both replicas should have it
	if err := n.eachName(name, func(x string, at artifactstore.Attempt, misplaced bool) {
		if b := bucketOf(at); misplaced || sums[b] != a.Sums[b] {
			ourNames[x] = !misplaced
		}
	}); err != nil {
		return nil, 0, err
	}
	theirNames := map[string]bool{}
	for chunk := range slices.Chunk(differ, maxBucketsPerCall) {
		a, err := do(&peerRequest{Op: "names", Buckets: chunk})
		if err != nil {
			return nil, 0, err
		}
		for _, x := range a.Names {
			theirNames[x] = true
			if !ourNames[x] && !n.isPresent(x) {
				holders[x] = append(holders[x], name)
			}
		}
	}
	for x, belongs := range ourNames {
		if belongs && !theirNames[x] && !strings.HasPrefix(x, "open/") {
			underReplicated++
		}
	}
	return theirVotes, underReplicated, nil
}

// isPresent reports whether a name that another replica has needs no repair here.
func (n *Node) isPresent(name string) bool {
	if _, _, ok := n.blobs.Ref(name); ok {
		return true
	}
	rest, ok := strings.CutPrefix(name, "open/")
	if !ok {
		return false
	}
	i := strings.LastIndexByte(rest, '/')
	at, err := artifactstore.ParseName("open/" + rest[:max(i, 0)])
	if err != nil {
		return true
	}
	_, err = n.store.EndManifest(at)
	return err == nil
}

// restoreTask restores what this replica lacks of a task.
func (n *Node) restoreTask(ctx context.Context, missing missingTask) error {
	var errs []error
	for _, name := range missing.peers {
		p := n.peers[name]
		callCtx, cancel := context.WithTimeout(ctx, n.opt.PeerTimeout)
		a, err := p.do(callCtx, &peerRequest{Op: "task", Attempt: missing.task})
		cancel()
		if err == nil {
			err = n.restoreFrom(ctx, missing.task, name, a.Task)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// restoreFrom restores what another replica's view of a task shows and this replica lacks.
func (n *Node) restoreFrom(ctx context.Context, task artifactstore.Attempt, name string, t *artifactstore.TaskView) error {
	isExpired := n.opt.Retention.IsExpired(n.opt.Now())
	src := rateLimitedReplica{n.peers[name], n}
	expired := map[uint64]bool{}
	for _, v := range t.Attempts {
		if _, err := n.store.EndManifest(v.Attempt); err == nil || v.Machine == "" {
			continue
		}
		fetch := n.limitRate(n.fetch(v.Attempt, name))
		if v.Ended == "" {
			if err := n.restoreOpenAttempt(ctx, src, v, fetch); err != nil {
				return err
			}
			continue
		}
		d, err := blob.Parse(v.Ended)
		if err != nil {
			return err
		}
		value, err := n.readBlob(ctx, v.Job, v.Task, v.Tenant, d)
		if err != nil {
			return err
		}
		m, err := artifactstore.Verify(n.opt.Key, value)
		if err != nil {
			return err
		}
		if isExpired(m) { // the other replica is about to drop it too
			expired[m.Number] = true
			continue
		}
		if err := n.store.Learn(ctx, v.Attempt, value, fetch); err != nil {
			return err
		}
	}
	if t.Result == nil || expired[t.Result.Number] {
		return nil
	}
	return n.store.Learn(ctx, task, protocol.Encode(t.Result), n.limitRate(n.fetch(task, name)))
}

// restoreOpenAttempt begins an open attempt here, if needed, and copies the records and files of it that this replica
// lacks.
func (n *Node) restoreOpenAttempt(ctx context.Context, src replica, v artifactstore.AttemptView, fetch artifactstore.Fetch) error {
	err := n.store.Begin(ctx, v.Claim)
	if errors.Is(err, artifactstore.ErrSealed) {
		return nil
	}
	if err != nil {
		return err
	}
	ours := map[string]artifactstore.Extent{}
	files := map[string]string{}
	for _, o := range n.store.OpenAttempts() {
		if o.Attempt == v.Attempt {
			ours, files = o.Streams, o.Files
		}
	}
	for _, stream := range slices.Sorted(maps.Keys(v.Streams)) {
		if ours[stream].Next < v.Streams[stream].Next {
			_, err = n.copyRecords(ctx, v.Claim, stream, ours[stream].Next, 0, src, local{n})
		}
		if err != nil {
			break
		}
	}
	for _, path := range slices.Sorted(maps.Keys(v.Files)) {
		if err != nil || files[path] == v.Files[path] {
			continue
		}
		var d blob.Digest
		if d, err = blob.Parse(v.Files[path]); err != nil {
			break
		}
		if !n.blobs.Has(v.Tenant, d) {
			var r io.ReadCloser
			if r, err = fetch(ctx, v.Tenant, d); err != nil {
				break
			}
			err = n.blobs.PutReader(ctx, v.Tenant, d, r)
			r.Close()
		}
		if err == nil {
			err = n.store.Attach(ctx, v.Claim, path, d)
		}
	}
	switch {
	case errors.Is(err, artifactstore.ErrSealed): // ended in the meantime
		return nil
	case errors.Is(err, artifactstore.ErrFrozen): // another node has begun to end it
		_, rerr := n.resolve(ctx, v.Attempt)
		return errors.Join(err, rerr)
	}
	return err
}

// OpenVerified opens a blob that is corrupt here on a replica that has an intact copy.
func (n *Node) OpenVerified(ctx context.Context, d blob.Digest) (io.ReadCloser, error) {
	errs := []error{blob.ErrCorrupt}
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		if name == n.opt.Name {
			continue
		}
		r, err := n.peers[name].blob(ctx, "", d, 0)
		if err == nil {
			return r, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}
