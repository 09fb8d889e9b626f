package history

import (
	"cmp"
	"fmt"
	"slices"

	"topazhollow/internal/protocol"
)

// The rules that an answer can break.
const (
	// Forgotten: a job that was known to some user is answered as unknown, or its repeated submission is refused.
	Forgotten = "forgotten"
	// WentBack: an ended job is called active, or done and cancelled, or cancelled though nobody asked for that.
	WentBack = "went_back"
	// AcceptedTwice: a submission counts as the first one after the job was known.
	AcceptedTwice = "accepted_twice"
	// Invented: a job is known before anybody submitted it.
	Invented = "invented"
	// Unsettled: a cancellation is answered with a state that is not final.
	Unsettled = "unsettled"
)

// Violation is an answer that contradicts what came before.
type Violation struct {
	Rule   string
	Answer Call
	Before Call // the answer that it contradicts, if any
}

// String tells both answers.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s after %s", v.Rule, v.Answer, v.Before)
}

// String tells request and answer.
func (c Call) String() string {
	if c.Invoked == 0 {
		return "nothing"
	}
	return fmt.Sprintf("%s %s at %d [%d,%d] %d %s", c.Kind, c.Job, c.Node, c.Invoked, c.Returned, c.Status, c.State)
}

// level orders what answers say of a job; an answer of a lower level is older.
type level int

const (
	inconclusive level = iota // says nothing, as 503
	unknown                   // never accepted
	active
	final
)

func (c *Call) level() level {
	success := c.Status == 200 || c.Status == 201
	refused := c.Status == 404 || c.Kind == Submit && (c.Status == 400 || c.Status == 422)
	switch {
	case c.Returned == 0:
		return inconclusive
	case refused:
		return unknown
	case success && (c.State == protocol.Done || c.State == protocol.Cancelled):
		return final
	case success:
		return active
	}
	return inconclusive
}

// Check gives the answers that contradict earlier ones, at most one violation an answer, by job and then in the
// order in which the answers arrived.
func Check(calls []Call) []Violation {
	jobs := map[string][]Call{}
	for _, c := range calls {
		jobs[c.Job] = append(jobs[c.Job], c)
	}
	var found []Violation
	for _, job := range sortedKeys(jobs) {
		found = append(found, checkJob(jobs[job])...)
	}
	return found
}

func sortedKeys(jobs map[string][]Call) []string {
	var names []string
	for name := range jobs {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// knowledge is what users were told of a job by some position.
type knowledge struct {
	latest    Call // the first answer of the highest level
	submitted bool
	cancelled bool
}

// event is the sending or the return of a call.
type event struct {
	at      uint64
	call    *Call
	returns bool
}

func events(calls []Call) []event {
	var all []event
	for i := range calls {
		c := &calls[i]
		all = append(all, event{at: c.Invoked, call: c})
		if c.Returned > 0 {
			all = append(all, event{at: c.Returned, call: c, returns: true})
		}
	}
	slices.SortFunc(all, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return all
}

// checkJob goes once through a job's requests and answers in their order.
func checkJob(calls []Call) []Violation {
	var found []Violation
	var now knowledge
	ended := Call{} // the first final answer
	before := map[*Call]Call{}
	for _, m := range events(calls) {
		c := m.call
		if !m.returns {
			now.submitted = now.submitted || c.Kind == Submit
			now.cancelled = now.cancelled || c.Kind == Cancel
			before[c] = now.latest
			continue
		}
		if v, broken := checkAnswer(c, before[c], ended, now); broken {
			found = append(found, v)
		}
		if c.level() == final && ended.Invoked == 0 {
			ended = *c
		}
		if l := c.level(); l > unknown && l > now.latest.level() {
			now.latest = *c
		}
	}
	return found
}

// checkAnswer compares an answer with the best that had arrived when its request was sent, with the first final answer,
// and with what was asked for until it arrived.
func checkAnswer(c *Call, before, ended Call, now knowledge) (Violation, bool) {
	broken := func(rule string, earlier Call) (Violation, bool) {
		return Violation{Rule: rule, Answer: *c, Before: earlier}, true
	}
	l := c.level()
	switch {
	case l == inconclusive:
	case l == unknown && before.level() > unknown:
		return broken(Forgotten, before)
	case l == unknown:
	case !now.submitted:
		return broken(Invented, Call{})
	case l == active && before.level() == final:
		return broken(WentBack, before)
	case l == final && ended.Invoked > 0 && ended.State != c.State:
		return broken(WentBack, ended)
	case l == final && c.State == protocol.Cancelled && !now.cancelled:
		return broken(WentBack, Call{})
	case l == active && c.Kind == Cancel:
		return broken(Unsettled, Call{})
	case c.Status == 201 && before.level() > unknown:
		return broken(AcceptedTwice, before)
	}
	return Violation{}, false
}
