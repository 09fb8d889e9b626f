package datarecovery

import (
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/protocol"
)

const (
	// memoriesResendInterval is after what time peers that did not answer are sent memories again, as when
	// they have not entered the epoch yet.
	memoriesResendInterval = 300 * time.Millisecond
	// proposedJobLife is for how long a job that a peer was about to accept counts as accepted if the store loses its
	// data meanwhile: no longer than a user waits for the answer.
	proposedJobLife = 10 * time.Second
)

// RememberedJob is a job that the store may not have.
type RememberedJob struct {
	Spec              *protocol.Submission
	SubmittedAtMillis int64 // of its submission, ms
}

type proposedJob struct {
	RememberedJob
	proposedAt time.Time
}

// Gathering is what controllers exchange after the state service lost data, and before, so that more than one
// remembers it: whose memories are still awaited, finished tasks, and jobs that a peer was about to accept. It owns
// its state, does no I/O and reads no clock; its owner guards it by a lock.
type Gathering struct {
	exchange      *Exchange       // that is under way; nil: none
	exchangedWith map[string]bool // peers that sent their memories since this process started
	sentAt        time.Time       // when peers were last sent the memories
	finished      map[string]*bitset.BitSet
	proposed      map[string]proposedJob
}

// NewGathering remembers nothing and awaits nobody.
func NewGathering() *Gathering {
	return &Gathering{
		exchangedWith: map[string]bool{},
		finished:      map[string]*bitset.BitSet{},
		proposed:      map[string]proposedJob{},
	}
}

// Begin awaits the memories of the other members of an epoch.
func (g *Gathering) Begin(epoch uint64, members []string) {
	g.exchange = NewExchange(epoch, members)
	g.sentAt = time.Time{}
}

// Progress is how far an exchange is.
type Progress struct {
	Ready     bool // nobody who may be heard is awaited: teams may start
	Completed bool // by this call, every member answered
}

// Progress says how far the exchange is. member tells who is one still, mayBeHeard whom it is worth to wait for.
func (g *Gathering) Progress(member, mayBeHeard func(name string) bool) Progress {
	if g.exchange == nil {
		return Progress{Ready: true}
	}
	g.exchange.DropFormerMembers(member)
	awaited := g.exchange.Awaited()
	for _, name := range awaited {
		if mayBeHeard(name) {
			return Progress{}
		}
	}
	if len(awaited) > 0 {
		return Progress{Ready: true}
	}
	g.exchange = nil
	return Progress{Ready: true, Completed: true}
}

// Awaited lists the members whose memories, or whose answer, are awaited.
func (g *Gathering) Awaited() []string { return g.exchange.Awaited() }

// MemoriesReceived books that a peer sent all that it remembers.
func (g *Gathering) MemoriesReceived(peer string) { g.exchangedWith[peer] = true }

// MemoriesAnswered books that a peer's memories were answered here. It says whether they were awaited.
func (g *Gathering) MemoriesAnswered(peer string) (awaited bool) {
	if g.exchange == nil {
		return false
	}
	g.exchange.MemoriesReceived(peer)
	return true
}

// AnswerReceived books that a peer answered the memories of an epoch. It says whether that was awaited.
func (g *Gathering) AnswerReceived(peer string, epoch uint64) (awaited bool) {
	if g.exchange == nil || epoch != g.exchange.Epoch {
		return false
	}
	g.exchange.Answered(peer)
	return true
}

// ExchangedWith says whether a peer sent its memories since this process started. Before that this process cannot
// tell a job that was never accepted from one that the store lost.
func (g *Gathering) ExchangedWith(peer string) bool { return g.exchangedWith[peer] }

// SendDue says whether memories are to be sent to all peers now, and if so takes it as done. allExchanged tells
// whether every peer that may be heard sent its own since this process started.
func (g *Gathering) SendDue(now time.Time, allExchanged func() bool) bool {
	if now.Sub(g.sentAt) <= memoriesResendInterval || (g.exchange == nil && allExchanged()) {
		return false
	}
	g.sentAt = now
	return true
}

// JobProposed takes down a job that a peer is about to accept. If the store accepts it, that is read there;
// if not, it is forgotten.
func (g *Gathering) JobProposed(job RememberedJob, now time.Time) {
	g.proposed[job.Spec.UID] = proposedJob{job, now}
}

// JobKnown books that a job is not merely proposed any more.
func (g *Gathering) JobKnown(uid string) { delete(g.proposed, uid) }

// ProposedJobs are those that count as accepted if the store loses its data now.
func (g *Gathering) ProposedJobs(now time.Time) []RememberedJob {
	var jobs []RememberedJob
	for _, job := range g.proposed {
		if now.Sub(job.proposedAt) < proposedJobLife {
			jobs = append(jobs, job.RememberedJob)
		}
	}
	return jobs
}

// ExpireProposedJobs forgets the proposed jobs that count as accepted no more.
func (g *Gathering) ExpireProposedJobs(now time.Time) {
	for uid, job := range g.proposed {
		if now.Sub(job.proposedAt) > proposedJobLife {
			delete(g.proposed, uid)
		}
	}
}

// Finished are the finished tasks that are remembered of a job; nil: none. The caller does not change them.
func (g *Gathering) Finished(uid string) *bitset.BitSet { return g.finished[uid] }

// FinishedByJob are all finished tasks that are remembered. The caller does not change them.
func (g *Gathering) FinishedByJob() map[string]*bitset.BitSet { return g.finished }

// MergeFinished adds finished tasks of a job.
func (g *Gathering) MergeFinished(uid string, tasks *bitset.BitSet) {
	if g.finished[uid] == nil {
		g.finished[uid] = bitset.New(0)
	}
	g.finished[uid].InPlaceUnion(tasks)
}

// ForgetFinished drops the finished tasks of a job that ended.
func (g *Gathering) ForgetFinished(uid string) { delete(g.finished, uid) }

// TakeFinished empties the memory of finished tasks and returns what it held, for those of jobs that still run to
// be merged again.
func (g *Gathering) TakeFinished() map[string]*bitset.BitSet {
	taken := g.finished
	g.finished = map[string]*bitset.BitSet{}
	return taken
}
