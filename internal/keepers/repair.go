package keepers

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/blake3"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"topazhollow/internal/blob"
	"topazhollow/internal/keeper"
	"topazhollow/internal/wire"
)

// Two keepers find out what one of them lacks by names: of ended attempts, of results,
// and of open attempts with how much of them is there. Names fall into buckets by their
// tasks; equal sums of hashes mean equal buckets, and only the names of others are sent.

const buckets = 1024

// bucketsAtOnce is how many buckets one call lists: each call walks over all names.
const bucketsAtOnce = 256

// mendsAtOnce is how many tasks are brought at a time: most of what one takes is waiting
// for disks.
const mendsAtOnce = 8

// strays is the bucket of what a keeper has though it is not its keeper (any more).
const strays = -1

// bucketOf is the bucket of a task's names.
func bucketOf(at keeper.Attempt) int {
	h := blake3.Sum256(fmt.Appendf(nil, "%s/%d", at.Job, at.Task))
	return int(binary.LittleEndian.Uint32(h[:])) % buckets
}

// each walks over the names of what is here of tasks that another keeper is to have too.
func (n *Node) each(other string, f func(name string, at keeper.Attempt, stray bool)) error {
	var last keeper.Attempt
	var theirs, mine bool
	visit := func(name string, at keeper.Attempt) {
		if last.Job != at.Job || last.Task != at.Task {
			place := n.opt.Members.Place(at.Job, at.Task)
			theirs, mine, last = slices.Contains(place, other), slices.Contains(place, n.opt.Name), at
		}
		if theirs {
			f(name, at, !mine)
		}
	}
	for after := ""; ; {
		names, err := n.keeper.Names(after, 2000)
		if err != nil {
			return err
		}
		for _, name := range names {
			at, err := keeper.ParseName(name)
			if err != nil {
				return err
			}
			visit(name, at)
		}
		if len(names) < 2000 {
			break
		}
		after = names[len(names)-1]
	}
	for _, v := range n.keeper.Open() {
		v.Idle = 0
		h := blake3.Sum256(wire.Encode(&struct {
			S map[string]keeper.Extent
			F map[string]string
		}{v.Streams, v.Files}))
		visit(fmt.Sprintf("open/%s/%x", v.Attempt, h[:8]), v.Attempt)
	}
	return nil
}

// sums gives each bucket's sum of hashes, of what another keeper is to have too.
func (n *Node) sums(other string) ([]string, error) {
	var sums [buckets][2]uint64
	err := n.each(other, func(name string, at keeper.Attempt, stray bool) {
		if stray {
			return
		}
		h := blake3.Sum256([]byte(name))
		s := &sums[bucketOf(at)]
		s[0] += binary.LittleEndian.Uint64(h[:])
		s[1] += binary.LittleEndian.Uint64(h[8:])
	})
	list := make([]string, buckets)
	for i, s := range sums {
		b := binary.LittleEndian.AppendUint64(nil, s[0])
		list[i] = hex.EncodeToString(binary.LittleEndian.AppendUint64(b, s[1]))
	}
	return list, err
}

// names lists some buckets, in one walk.
func (n *Node) names(other string, of []int) (list []string, err error) {
	err = n.each(other, func(name string, at keeper.Attempt, stray bool) {
		b := strays
		if !stray {
			b = bucketOf(at)
		}
		if slices.Contains(of, b) {
			list = append(list, name)
		}
	})
	return list, err
}

// lack is a task of which something is missing here.
type lack struct {
	at      keeper.Attempt // its task
	peers   []string       // who has something of it that is missing here
	copies  int            // fewest keepers that have the same missing thing
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

// taskOf is the task that a name belongs to.
func taskOf(name string) (keeper.Attempt, error) {
	if rest, ok := strings.CutPrefix(name, "open/"); ok {
		if i := strings.LastIndexByte(rest, '/'); i >= 0 {
			name = "open/" + rest[:i]
		}
	}
	at, err := keeper.ParseName(name)
	at.Number = 0
	return at, err
}

// repairState is what is known of the last look at what others have.
type repairState struct {
	noticed map[string]time.Time // tasks of which something is missing here, since when
	left    int                  // tasks
	short   int                  // names that another lacks
	strays  int                  // tasks that are to be handed over
	away    map[string]string    // keepers that could not be asked, and why
	voted   map[keeper.Attempt]bool
	mended  int
	bytes   int64
}

// Full says whether all is here that should be by the list in force.
func (n *Node) Full() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.id.full(&n.opt.Members)
}

// Repair looks at what the other keepers have, brings what is missing here, hands over
// what does not belong here, and sees through what was left half decided. A keeper that
// has had an answer of all others, and all that they have for it, is full from then on.
func (n *Node) Repair(ctx context.Context) error {
	full := n.Full()
	have := map[string][]string{}
	away := map[string]string{}
	short := 0
	var bound []boundTo
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		if name == n.opt.Name {
			continue
		}
		votes, lacks, err := n.compare(ctx, name, !full, have)
		if err != nil {
			away[name] = err.Error()
		}
		bound, short = append(bound, votes...), short+lacks
	}
	now := n.opt.Now()
	noticed := map[string]time.Time{}
	list := plan(have, func(task string) time.Time {
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
	n.repair.noticed, n.repair.left, n.repair.short, n.repair.away = noticed, len(list), short, away
	n.mu.Unlock()
	var errs []error
	var mends errgroup.Group
	mends.SetLimit(mendsAtOnce)
	for _, l := range list {
		mends.Go(func() error {
			err := ctx.Err()
			if err == nil {
				err = n.mend(ctx, l)
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
	_ = mends.Wait() // what failed is in errs
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if len(list) > 0 {
		n.opt.Log.Info("repaired", "keeper", n.opt.Name, "tasks", len(list)-len(errs), "failed", len(errs), "took", n.opt.Now().Sub(now))
	}
	if !full && len(away) == 0 && len(errs) == 0 {
		for _, b := range bound {
			if err := n.keeper.Adopt(ctx, b.At, &b.Vote, n.paced(n.fetch(b.At, ""))); err != nil {
				return err
			}
		}
		n.mu.Lock()
		err := n.id.synced(&n.opt.Members)
		n.mu.Unlock()
		if err != nil {
			return err
		}
		n.opt.Log.Info("all is here that should be", "keeper", n.opt.Name, "epoch", n.opt.Members.Epoch, "disk", n.id.Disk, "incarnation", n.id.Incarnation)
	}
	errs = append(errs, n.handOver(ctx), n.seeThrough(ctx))
	return errors.Join(errs[:min(len(errs), 10)]...)
}

// compare adds what a keeper has and this one lacks, and counts what it lacks itself.
// What it is bound to in registers is read before its names: what is decided meanwhile
// is among those.
func (n *Node) compare(ctx context.Context, name string, votes bool, have map[string][]string) (bound []boundTo, short int, err error) {
	p := n.peers[name]
	ask := func(c *call) (*answer, error) {
		ctx, cancel := context.WithTimeout(ctx, 4*n.opt.Patience)
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
	mine, err := n.sums(name)
	if err != nil {
		return nil, 0, err
	}
	if len(a.Sums) != buckets {
		return nil, 0, fmt.Errorf("%w: %d sums", errBody, len(a.Sums))
	}
	differ := []int{strays}
	for i := range mine {
		if mine[i] != a.Sums[i] {
			differ = append(differ, i)
		}
	}
	here := map[string]bool{} // whether both are to have it, by name
	if err := n.each(name, func(x string, at keeper.Attempt, stray bool) {
		if b := bucketOf(at); stray || mine[b] != a.Sums[b] {
			here[x] = !stray
		}
	}); err != nil {
		return nil, 0, err
	}
	there := map[string]bool{}
	for of := range slices.Chunk(differ, bucketsAtOnce) {
		a, err := ask(&call{Op: "names", Buckets: of})
		if err != nil {
			return nil, 0, err
		}
		for _, x := range a.Names {
			there[x] = true
			if !here[x] && !n.there(x) {
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

// there says whether a name that another keeper has needs nothing to be done here.
func (n *Node) there(name string) bool {
	if _, _, ok := n.blobs.Ref(name); ok {
		return true
	}
	rest, ok := strings.CutPrefix(name, "open/")
	if !ok {
		return false
	}
	i := strings.LastIndexByte(rest, '/')
	at, err := keeper.ParseName("open/" + rest[:max(i, 0)])
	if err != nil {
		return true
	}
	_, err = n.keeper.Ended(at)
	return err == nil
}

// paced makes a fetch keep to the rate that repair may take, so that it starves nobody.
func (n *Node) paced(f keeper.Fetch) keeper.Fetch {
	return func(ctx context.Context, tenant string, d blob.Digest) (io.ReadCloser, error) {
		r, err := f(ctx, tenant, d)
		if err != nil {
			return nil, err
		}
		return &pacedReader{ctx, r, n}, nil
	}
}

type pacedReader struct {
	ctx context.Context
	io.ReadCloser
	n *Node
}

func (p *pacedReader) Read(b []byte) (int, error) {
	got, err := p.ReadCloser.Read(b[:min(len(b), 64<<10)])
	return got, errors.Join(err, p.n.pace(p.ctx, got))
}

// pace waits until repair may have brought so many bytes more.
func (n *Node) pace(ctx context.Context, bytes int) error {
	n.mu.Lock()
	n.repair.bytes += int64(bytes)
	n.mu.Unlock()
	if n.limit == nil {
		return nil
	}
	return n.limit.WaitN(ctx, min(bytes, n.limit.Burst()))
}

func newLimit(bytesPerSecond float64) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(bytesPerSecond), 1<<20)
}

// pacedSource is a keeper whose records are read at repair's rate.
type pacedSource struct {
	replica
	n *Node
}

func (p pacedSource) read(ctx context.Context, at keeper.Attempt, stream string, from uint64, follow bool, each func(keeper.Record) error) (uint64, bool, error) {
	return p.replica.read(ctx, at, stream, from, follow, func(r keeper.Record) error {
		if err := p.n.pace(ctx, len(r.Data)); err != nil {
			return err
		}
		return each(r)
	})
}

// mend brings what is missing here of a task.
func (n *Node) mend(ctx context.Context, l lack) error {
	var errs []error
	for _, name := range l.peers {
		p := n.peers[name]
		asked, cancel := context.WithTimeout(ctx, n.opt.Patience)
		a, err := p.do(asked, &call{Op: "task", Attempt: l.at})
		cancel()
		if err == nil {
			err = n.take(ctx, l.at, name, a.Task)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// take brings what another keeper's view of a task shows and this one lacks.
func (n *Node) take(ctx context.Context, task keeper.Attempt, name string, t *keeper.TaskView) error {
	over := n.opt.Retain.Over(n.opt.Now())
	src := pacedSource{n.peers[name], n}
	expired := map[uint64]bool{}
	for _, v := range t.Attempts {
		if _, err := n.keeper.Ended(v.Attempt); err == nil || v.Machine == "" {
			continue
		}
		fetch := n.paced(n.fetch(v.Attempt, name))
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
		value, err := n.whole(ctx, v.Job, v.Task, v.Tenant, d)
		if err != nil {
			return err
		}
		m, err := keeper.Verify(n.opt.Key, value)
		if err != nil {
			return err
		}
		if over(m) { // it is about to go there too
			expired[m.Number] = true
			continue
		}
		if err := n.keeper.Learn(ctx, v.Attempt, value, fetch); err != nil {
			return err
		}
	}
	if t.Result == nil || expired[t.Result.Number] {
		return nil
	}
	return n.keeper.Learn(ctx, task, wire.Encode(t.Result), n.paced(n.fetch(task, name)))
}

func (n *Node) takeOpen(ctx context.Context, src replica, v keeper.View, fetch keeper.Fetch) error {
	err := n.keeper.Begin(ctx, v.Claim)
	if errors.Is(err, keeper.ErrSealed) {
		return nil
	}
	if err != nil {
		return err
	}
	mine := map[string]keeper.Extent{}
	files := map[string]string{}
	for _, o := range n.keeper.Open() {
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
			err = n.blobs.Take(ctx, v.Tenant, d, r)
			r.Close()
		}
		if err == nil {
			err = n.keeper.Attach(ctx, v.Claim, path, d)
		}
	}
	switch {
	case errors.Is(err, keeper.ErrSealed): // meanwhile
		return nil
	case errors.Is(err, keeper.ErrFrozen): // somebody began to end it
		_, rerr := n.resolve(ctx, v.Attempt)
		return errors.Join(err, rerr)
	}
	return err
}

// handOver lets go of what does not belong here once all of its keepers have it.
func (n *Node) handOver(ctx context.Context) error {
	tasks := map[keeper.Attempt]bool{}
	for _, m := range n.opt.Members.List {
		if m.State != Serving || m.Name == n.opt.Name {
			continue
		}
		if err := n.each(m.Name, func(_ string, at keeper.Attempt, stray bool) {
			if stray {
				tasks[keeper.Attempt{Job: at.Job, Task: at.Task}] = true
			}
		}); err != nil {
			return err
		}
	}
	left := len(tasks)
	defer func() {
		n.mu.Lock()
		n.repair.strays = left
		n.mu.Unlock()
	}()
	for at := range tasks {
		mine, err := n.keeper.Task(at.Job, at.Task)
		if err != nil {
			return err
		}
		names := n.opt.Members.Place(at.Job, at.Task)
		got, _ := n.ask(ctx, names, len(names), func(ctx context.Context, _ string, r replica) (*answer, error) {
			return r.do(ctx, &call{Op: "task", Attempt: at, Count: true})
		})
		whole := len(got) == len(names)
		for _, r := range got {
			whole = whole && covers(r.Task, mine)
		}
		if !whole {
			continue // they bring it themselves
		}
		for _, v := range mine.Attempts {
			if v.Ended == "" {
				err = n.keeper.Abandon(ctx, v.Attempt)
			} else {
				err = n.keeper.Forget(ctx, v.Attempt)
			}
			if err != nil {
				return err
			}
		}
		if err := n.keeper.Forget(ctx, at); err != nil {
			return err
		}
		left--
	}
	return nil
}

// covers says whether a keeper has all that another has of a task.
func covers(theirs, mine *keeper.TaskView) bool {
	if mine.Result != nil && (theirs.Result == nil || *theirs.Result != *mine.Result) {
		return false
	}
	for _, v := range mine.Attempts {
		i := slices.IndexFunc(theirs.Attempts, func(t keeper.View) bool { return t.Number == v.Number })
		if i < 0 {
			return false
		}
		t := theirs.Attempts[i]
		if t.Ended != "" {
			continue
		}
		if v.Ended != "" {
			return false
		}
		for stream, x := range v.Streams {
			if t.Streams[stream].Next < x.Next {
				return false
			}
		}
		for path := range v.Files {
			if t.Files[path] == "" {
				return false
			}
		}
	}
	return true
}

// seeThrough finishes what somebody left half decided: ends and results that were
// accepted here, and completed attempts of which nobody said whether they are the
// result.
func (n *Node) seeThrough(ctx context.Context) error {
	var errs []error
	seen := map[keeper.Attempt]bool{}
	for at, v := range n.keeper.Votes() {
		if v.Value == nil {
			continue
		}
		if seen[at] = true; n.repair.voted[at] { // since the last round
			_, err := n.resolve(ctx, at)
			errs = append(errs, err)
		}
	}
	n.repair.voted = seen
	for _, at := range n.keeper.Unsettled() {
		m, err := n.keeper.Ended(at)
		if err == nil && n.opt.Members.Here(n.opt.Name, at.Job, at.Task) {
			_, err = n.settle(ctx, m.Claim, blob.Of(wire.Encode(m)).String())
		}
		if err == nil {
			err = n.keeper.Settled(ctx, at)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// Good gives a copy of a blob that went bad here, from a keeper that has a good one.
func (n *Node) Good(ctx context.Context, d blob.Digest) (io.ReadCloser, error) {
	errs := []error{blob.ErrRotten}
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
