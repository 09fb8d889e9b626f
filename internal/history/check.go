package history

import (
	"cmp"
	"fmt"
	"slices"

	"topazhollow/internal/protocol"
)

// The rules that an answer can violate.
const (
	// Forgotten: a job that an earlier answer reported as known is unknown, or its repeated submission is refused.
	Forgotten = "forgotten"
	// WentBack: an ended job is reported as active, as done and also as cancelled, or as cancelled without a request to
	// cancel it or a job that it needs.
	WentBack = "went_back"
	// AcceptedTwice: a submission is accepted as new although the job was known.
	AcceptedTwice = "accepted_twice"
	// Invented: a job is reported as known before it was submitted.
	Invented = "invented"
	// Unsettled: the answer to a cancellation holds a state that is not final.
	Unsettled = "unsettled"
)

// Violation is an answer that violates a rule.
type Violation struct {
	Rule   string
	Answer Call
	Before Call // the answer that it contradicts, if any
}

// String formats the rule and both answers.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s after %s", v.Rule, v.Answer, v.Before)
}

// String formats the request and its answer.
func (c Call) String() string {
	if c.Invoked == 0 {
		return "nothing"
	}
	return fmt.Sprintf("%s %s at %d [%d,%d] %d %s", c.Kind, c.Job, c.Node, c.Invoked, c.Returned, c.Status, c.State)
}

// level is the stage of a job that an answer reports, in the order in which a job passes through the stages.
type level int

const (
	inconclusive level = iota // no answer, or one without information on the job, such as 503
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

// Check returns the violations, at most one for each answer, ordered by job and then by the position of the answer.
func Check(calls []Call) []Violation {
	jobs := map[string][]Call{}
	for _, c := range calls {
		jobs[c.Job] = append(jobs[c.Job], c)
	}
	var found []Violation
	for _, job := range sortedKeys(jobs) {
		found = append(found, checkJob(jobs[job], firstCancellation(jobs, job))...)
	}
	return found
}

// firstCancellation returns the position of the first request to cancel a job or one that it needs, directly or through
// others; 0 if there is none. The cancellation of a job that is done cancels no other job.
func firstCancellation(jobs map[string][]Call, job string) (first uint64) {
	seen := map[string]bool{job: true}
	for stack := []string{job}; len(stack) > 0; {
		name := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if name != job && slices.ContainsFunc(jobs[name], isDone) {
			continue
		}
		for _, c := range jobs[name] {
			if c.Kind == Cancel && (first == 0 || c.Invoked < first) {
				first = c.Invoked
			}
			for _, dependency := range c.Dependencies {
				if !seen[dependency] {
					seen[dependency] = true
					stack = append(stack, dependency)
				}
			}
		}
	}
	return first
}

// isDone reports whether an answer says that the job is done.
func isDone(c Call) bool { return c.level() == final && c.State == protocol.Done }

func sortedKeys(jobs map[string][]Call) []string {
	var names []string
	for name := range jobs {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// knowledge is what answers and requests have established on a job up to a position.
type knowledge struct {
	highest   Call // the first answer of the highest level
	submitted bool
}

// event is the sending of a request or the arrival of its answer.
type event struct {
	at      uint64 // position in the log
	call    *Call
	returns bool // the answer arrives
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

// checkJob checks the answers on one job in a single pass over its events. cancelledAt is the position of the first
// request that may have cancelled it; 0 if there is none.
func checkJob(calls []Call, cancelledAt uint64) []Violation {
	var found []Violation
	var known knowledge
	ended := Call{}            // the first final answer
	before := map[*Call]Call{} // the highest answer that had arrived when the call was sent
	for _, e := range events(calls) {
		c := e.call
		if !e.returns {
			known.submitted = known.submitted || c.Kind == Submit
			before[c] = known.highest
			continue
		}
		if v, violation := checkAnswer(c, before[c], ended, known, cancelledAt); violation {
			found = append(found, v)
		}
		if c.level() == final && ended.Invoked == 0 {
			ended = *c
		}
		if l := c.level(); l > unknown && l > known.highest.level() {
			known.highest = *c
		}
	}
	return found
}

// checkAnswer compares an answer with the answer of the highest level that had arrived when its request was sent, with
// the first final answer, and with the requests that were sent before it arrived. cancelledAt is as for checkJob.
func checkAnswer(c *Call, before, ended Call, known knowledge, cancelledAt uint64) (Violation, bool) {
	violation := func(rule string, earlier Call) (Violation, bool) {
		return Violation{Rule: rule, Answer: *c, Before: earlier}, true
	}
	l := c.level()
	switch {
	case l == inconclusive:
	case l == unknown && before.level() > unknown:
		return violation(Forgotten, before)
	case l == unknown:
	case !known.submitted:
		return violation(Invented, Call{})
	case l == active && before.level() == final:
		return violation(WentBack, before)
	case l == final && ended.Invoked > 0 && ended.State != c.State:
		return violation(WentBack, ended)
	case l == final && c.State == protocol.Cancelled && (cancelledAt == 0 || cancelledAt > c.Returned):
		return violation(WentBack, Call{})
	case l == active && c.Kind == Cancel:
		return violation(Unsettled, Call{})
	case c.Status == 201 && before.level() > unknown:
		return violation(AcceptedTwice, before)
	}
	return Violation{}, false
}
