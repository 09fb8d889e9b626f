package datarecovery

import (
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/protocol"
)

const (
	// stateResendInterval is the time after which the retained state is sent again to the peers, since one that has not
	// entered the epoch yet does not answer.
	stateResendInterval = 300 * time.Millisecond
	// proposedJobLife is how long a job that a peer was about to accept counts as accepted if the store loses its data
	// meanwhile. It does not exceed the time that a user waits for the answer.
	proposedJobLife = 10 * time.Second
)

// RememberedJob is a job that is known here and may be missing in the store.
type RememberedJob struct {
	Spec              *protocol.Submission
	SubmittedAtMillis int64 // Unix time in milliseconds
}

// proposedJob is a job that a peer was about to accept.
type proposedJob struct {
	RememberedJob
	proposedAt time.Time
}

// Gathering holds state that controllers send each other, both after a loss of data and before it, so that more than
// one of them retains it: finished tasks and jobs that a peer was about to accept. It also tracks the peers whose
// retained state is still awaited. It does no I/O and reads no clock; the caller guards it by a lock.
type Gathering struct {
	exchange      *Exchange                 // in progress; nil: none
	exchangedWith map[string]bool           // peers that sent their retained state since this process started
	sentAt        time.Time                 // when the retained state was last sent to all peers
	finished      map[string]*bitset.BitSet // finished tasks, by job
	proposed      map[string]proposedJob    // by job
}

// NewGathering returns an empty state that awaits nobody.
func NewGathering() *Gathering {
	return &Gathering{
		exchangedWith: map[string]bool{},
		finished:      map[string]*bitset.BitSet{},
		proposed:      map[string]proposedJob{},
	}
}

// Begin starts an exchange with the other members of an epoch.
func (g *Gathering) Begin(epoch uint64, members []string) {
	g.exchange = NewExchange(epoch, members)
	g.sentAt = time.Time{}
}

// Progress is the progress of an exchange.
type Progress struct {
	Ready     bool // no reachable member is awaited: teams may start
	Completed bool // every member has answered; true once only
}

// Progress returns the progress of the exchange. member reports whether a controller is still a member, mayBeReachable
// whether to wait for it.
func (g *Gathering) Progress(member, mayBeReachable func(name string) bool) Progress {
	if g.exchange == nil {
		return Progress{Ready: true}
	}
	g.exchange.DropFormerMembers(member)
	awaited := g.exchange.Awaited()
	for _, name := range awaited {
		if mayBeReachable(name) {
			return Progress{}
		}
	}
	if len(awaited) > 0 {
		return Progress{Ready: true}
	}
	g.exchange = nil
	return Progress{Ready: true, Completed: true}
}

// Awaited returns the members whose retained state or answer is awaited.
func (g *Gathering) Awaited() []string { return g.exchange.Awaited() }

// StateReceived records that a peer sent all of its retained state.
func (g *Gathering) StateReceived(peer string) { g.exchangedWith[peer] = true }

// StateAnswered records that a peer's retained state was received and answered. It reports whether an exchange is in
// progress.
func (g *Gathering) StateAnswered(peer string) (awaited bool) {
	if g.exchange == nil {
		return false
	}
	g.exchange.StateReceived(peer)
	return true
}

// AnswerReceived records that a peer answered the retained state sent in an epoch. It reports whether an exchange of
// that epoch is in progress.
func (g *Gathering) AnswerReceived(peer string, epoch uint64) (awaited bool) {
	if g.exchange == nil || epoch != g.exchange.Epoch {
		return false
	}
	g.exchange.Answered(peer)
	return true
}

// ExchangedWith reports whether a peer sent its retained state since this process started. Until then, this process
// cannot distinguish a job that was never accepted from one that the store lost.
func (g *Gathering) ExchangedWith(peer string) bool { return g.exchangedWith[peer] }

// SendDue reports whether to send the retained state to all peers now; if so, it restarts the resend interval.
// allExchanged reports whether every peer that may be reachable sent its own since this process started.
func (g *Gathering) SendDue(now time.Time, allExchanged func() bool) bool {
	if now.Sub(g.sentAt) <= stateResendInterval || (g.exchange == nil && allExchanged()) {
		return false
	}
	g.sentAt = now
	return true
}

// JobProposed records a job that a peer is about to accept. If the store accepts the job, the watch delivers it; if
// not, the record expires.
func (g *Gathering) JobProposed(job RememberedJob, now time.Time) {
	g.proposed[job.Spec.UID] = proposedJob{job, now}
}

// JobKnown removes a job from the proposed ones, as it is known to be accepted.
func (g *Gathering) JobKnown(uid string) { delete(g.proposed, uid) }

// ProposedJobs returns the jobs that count as accepted if the store loses its data now.
func (g *Gathering) ProposedJobs(now time.Time) []RememberedJob {
	var jobs []RememberedJob
	for _, job := range g.proposed {
		if now.Sub(job.proposedAt) < proposedJobLife {
			jobs = append(jobs, job.RememberedJob)
		}
	}
	return jobs
}

// ExpireProposedJobs removes proposed jobs that no longer count as accepted.
func (g *Gathering) ExpireProposedJobs(now time.Time) {
	for uid, job := range g.proposed {
		if now.Sub(job.proposedAt) > proposedJobLife {
			delete(g.proposed, uid)
		}
	}
}

// Finished returns the remembered finished tasks of a job; nil: none. The caller must not modify the set.
func (g *Gathering) Finished(uid string) *bitset.BitSet { return g.finished[uid] }

// FinishedByJob returns the remembered finished tasks of all jobs. The caller must not modify them.
func (g *Gathering) FinishedByJob() map[string]*bitset.BitSet { return g.finished }

// MergeFinished adds finished tasks of a job.
func (g *Gathering) MergeFinished(uid string, tasks *bitset.BitSet) {
	if g.finished[uid] == nil {
		g.finished[uid] = bitset.New(0)
	}
	g.finished[uid].InPlaceUnion(tasks)
}

// ForgetFinished removes the finished tasks of a job that ended.
func (g *Gathering) ForgetFinished(uid string) { delete(g.finished, uid) }

// TakeFinished removes and returns all remembered finished tasks. The caller merges those of running jobs back.
func (g *Gathering) TakeFinished() map[string]*bitset.BitSet {
	taken := g.finished
	g.finished = map[string]*bitset.BitSet{}
	return taken
}
