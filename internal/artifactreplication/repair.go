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

// Two replicas find out what one of them lacks by names: of ended attempts, of results,
// and of open attempts with how much of them is there. Names fall into buckets by their
// tasks; equal sums of hashes mean equal buckets, and only the names of others are sent.

// maxRepairs is how many tasks are brought at a time: most of what one takes is waiting
// for disks.
const maxRepairs = 8

// lack is a task of which something is missing here.
type lack struct {
	at      artifactstore.Attempt // its task
	peers   []string              // who has something of it that is missing here
	copies  int                   // fewest replicas that have the same missing thing
	noticed time.Time
}

// plan puts what is missing into the order in which it is brought: what the fewest
// others have first, of those what was noticed first. have tells by name who has it.
func plan(have map[string][]string, noticed func(task string) time.Time) []lack {
	by := map[string]*lack{}
	for _, name := range slices.Sorted(maps.Keys(have)) {
		at, err := taskOf(name)
		if err != nil {
			continue // not a name of ours
		}
		key := fmt.Sprintf("%s/%d", at.Job, at.Task)
		l := by[key]
		if l == nil {
			l = &lack{at: at, copies: len(have[name]), noticed: noticed(key)}
			by[key] = l
		}
		l.copies = min(l.copies, len(have[name]))
		for _, p := range have[name] {
			if !slices.Contains(l.peers, p) {
				l.peers = append(l.peers, p)
			}
		}
	}
	list := make([]lack, 0, len(by))
	for _, key := range slices.Sorted(maps.Keys(by)) {
		list = append(list, *by[key])
	}
	slices.SortStableFunc(list, func(a, b lack) int {
		return cmp.Or(cmp.Compare(a.copies, b.copies), a.noticed.Compare(b.noticed))
	})
	return list
}

// repairState is what is known of the last look at what others have.
type repairState struct {
	noticed map[string]time.Time // tasks of which something is missing here, since when
	left    int                  // tasks
	short   int                  // names that another lacks
	strays  int                  // tasks that are to be handed over
	away    map[string]string    // replicas that could not be asked, and why
	voted   map[artifactstore.Attempt]bool
	mended  int
	bytes   int64
}

// InSync says whether all is here that should be by the list in force.
func (n *Node) InSync() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.id.full(&n.opt.Members)
}

// Repair looks at what the other replicas have, brings what is missing here, hands over
// what does not belong here, and sees through what was left half decided. A replica that
// has had an answer of all others, and all that they have for it, is full from then on.
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
		n.opt.Log.Info("repaired", "keeper", n.opt.Name, "tasks", len(list)-len(errs), "failed", len(errs),
			"took", n.opt.Now().Sub(began))
	}
	if !inSync && len(found.away) == 0 && len(errs) == 0 {
		if err := n.becomeSynced(ctx, found.bound); err != nil {
			return err
		}
	}
	errs = append(errs, n.handOver(ctx), n.finishDecisions(ctx))
	return errors.Join(errs[:min(len(errs), maxErrors)]...)
}

// maxErrors bounds the errors that one repair gives.
const maxErrors = 10

// comparison is what comparing with the other replicas found.
type comparison struct {
	have  map[string][]string // replicas that have what is not here, by task
	away  map[string]string   // why a replica did not answer, by its name
	bound []boundTo           // votes of others that this one lost
	short int
}

// compareAll compares with every other replica, of votes only while this one is not in sync.
func (n *Node) compareAll(ctx context.Context, votes bool) *comparison {
	found := &comparison{have: map[string][]string{}, away: map[string]string{}}
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		if name == n.opt.Name {
			continue
		}
		bound, short, err := n.compare(ctx, name, votes, found.have)
		if err != nil {
			found.away[name] = err.Error()
		}
		found.bound, found.short = append(found.bound, bound...), found.short+short
	}
	return found
}

// planRepairs lists what is to be restored, in the order of plan, and notes it for the status.
func (n *Node) planRepairs(found *comparison, now time.Time) []lack {
	noticed := map[string]time.Time{}
	list := plan(found.have, func(task string) time.Time {
		n.mu.Lock()
		defer n.mu.Unlock()
		since, ok := n.repair.noticed[task]
		if !ok {
			since = now
		}
		noticed[task] = since
		return since
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.repair.noticed, n.repair.left, n.repair.short, n.repair.away = noticed, len(list), found.short, found.away
	return list
}

// restoreAll restores what is listed, several at a time, and gives what failed.
func (n *Node) restoreAll(ctx context.Context, list []lack) (errs []error) {
	var repairs errgroup.Group
	repairs.SetLimit(maxRepairs)
	for _, l := range list {
		repairs.Go(func() error {
			err := ctx.Err()
			if err == nil {
				err = n.restoreCopy(ctx, l)
			}
			n.mu.Lock()
			defer n.mu.Unlock()
			if err != nil {
				errs = append(errs, fmt.Errorf("%s/%d: %w", l.at.Job, l.at.Task, err))
			} else {
				n.repair.left--
				n.repair.mended++
			}
			return nil
		})
	}
	_ = repairs.Wait() // what failed is in errs
	return errs
}

// becomeSynced takes over the votes that the others know of, and notes that all is here that should be: from then on
// this replica counts.
func (n *Node) becomeSynced(ctx context.Context, bound []boundTo) error {
	for _, b := range bound {
		if err := n.store.Adopt(ctx, b.At, &b.Vote, n.limitRate(n.fetch(b.At, ""))); err != nil {
			return err
		}
	}
	n.mu.Lock()
	err := n.id.synced(&n.opt.Members)
	n.mu.Unlock()
	if err != nil {
		return err
	}
	n.opt.Log.Info("all is here that should be", "keeper", n.opt.Name,
		"epoch", n.opt.Members.Epoch, "disk", n.id.Disk, "incarnation", n.id.Incarnation)
	return nil
}

// compare adds what a replica has and this one lacks, and counts what it lacks itself.
// What it is bound to in registers is read before its names: what is decided meanwhile
// is among those.
func (n *Node) compare(ctx context.Context, name string, votes bool, have map[string][]string) (bound []boundTo, short int, err error) {
	p := n.peers[name]
	ask := func(c *call) (*answer, error) {
		ctx, cancel := context.WithTimeout(ctx, 4*n.opt.PeerTimeout)
		defer cancel()
		return p.do(ctx, c)
	}
	if votes {
		a, err := ask(&call{Op: "votes"})
		if err != nil {
			return nil, 0, err
		}
		bound = a.Votes
	}
	a, err := ask(&call{Op: "sums"})
	if err != nil {
		return nil, 0, err
	}
	mine, err := n.checksums(name)
	if err != nil {
		return nil, 0, err
	}
	if len(a.Sums) != buckets {
		return nil, 0, fmt.Errorf("%w: %d sums", errBody, len(a.Sums))
	}
	differ := []int{strayNames}
	for i := range mine {
		if mine[i] != a.Sums[i] {
			differ = append(differ, i)
		}
	}
	here := map[string]bool{} // whether both are to have it, by name
	if err := n.eachName(name, func(x string, at artifactstore.Attempt, stray bool) {
		if b := bucketOf(at); stray || mine[b] != a.Sums[b] {
			here[x] = !stray
		}
	}); err != nil {
		return nil, 0, err
	}
	there := map[string]bool{}
	for of := range slices.Chunk(differ, maxBuckets) {
		a, err := ask(&call{Op: "names", Buckets: of})
		if err != nil {
			return nil, 0, err
		}
		for _, x := range a.Names {
			there[x] = true
			if !here[x] && !n.isMember(x) {
				have[x] = append(have[x], name)
			}
		}
	}
	for x, belongs := range here {
		if belongs && !there[x] && !strings.HasPrefix(x, "open/") {
			short++
		}
	}
	return bound, short, nil
}

// isMember says whether a name that another replica has needs nothing to be done here.
func (n *Node) isMember(name string) bool {
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
	_, err = n.store.Ended(at)
	return err == nil
}

// restoreCopy brings what is missing here of a task.
func (n *Node) restoreCopy(ctx context.Context, l lack) error {
	var errs []error
	for _, name := range l.peers {
		p := n.peers[name]
		asked, cancel := context.WithTimeout(ctx, n.opt.PeerTimeout)
		a, err := p.do(asked, &call{Op: "task", Attempt: l.at})
		cancel()
		if err == nil {
			err = n.take(ctx, l.at, name, a.Task)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// take brings what another replica's view of a task shows and this one lacks.
func (n *Node) take(ctx context.Context, task artifactstore.Attempt, name string, t *artifactstore.TaskView) error {
	over := n.opt.Retain.IsExpired(n.opt.Now())
	src := pacedSource{n.peers[name], n}
	expired := map[uint64]bool{}
	for _, v := range t.Attempts {
		if _, err := n.store.Ended(v.Attempt); err == nil || v.Machine == "" {
			continue
		}
		fetch := n.limitRate(n.fetch(v.Attempt, name))
		if v.Ended == "" {
			if err := n.takeOpen(ctx, src, v, fetch); err != nil {
				return err
			}
			continue
		}
		d, err := blob.Parse(v.Ended)
		if err != nil {
			return err
		}
		value, err := n.readWhole(ctx, v.Job, v.Task, v.Tenant, d)
		if err != nil {
			return err
		}
		m, err := artifactstore.Verify(n.opt.Key, value)
		if err != nil {
			return err
		}
		if over(m) { // it is about to go there too
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

func (n *Node) takeOpen(ctx context.Context, src replica, v artifactstore.View, fetch artifactstore.Fetch) error {
	err := n.store.Begin(ctx, v.Claim)
	if errors.Is(err, artifactstore.ErrSealed) {
		return nil
	}
	if err != nil {
		return err
	}
	mine := map[string]artifactstore.Extent{}
	files := map[string]string{}
	for _, o := range n.store.Open() {
		if o.Attempt == v.Attempt {
			mine, files = o.Streams, o.Files
		}
	}
	for _, stream := range slices.Sorted(maps.Keys(v.Streams)) {
		if mine[stream].Next < v.Streams[stream].Next {
			_, err = n.copyRecords(ctx, v.Claim, stream, mine[stream].Next, 0, src, local{n})
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
	case errors.Is(err, artifactstore.ErrSealed): // meanwhile
		return nil
	case errors.Is(err, artifactstore.ErrFrozen): // somebody began to end it
		_, rerr := n.resolve(ctx, v.Attempt)
		return errors.Join(err, rerr)
	}
	return err
}

// OpenVerified gives a copy of a blob that went bad here, from a replica that has a good one.
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
