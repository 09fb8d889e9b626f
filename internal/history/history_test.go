package history

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"topazhollow/internal/protocol"
)

// modelCheck is the reference model of Check: it compares every answer with every other one, and returns the violated
// rules by the position of the answer.
func modelCheck(calls []Call) map[uint64]string {
	broken := map[uint64]string{}
	for _, c := range calls {
		if c.Returned == 0 {
			continue
		}
		if rule := modelRule(c, calls); rule != "" {
			broken[c.Returned] = rule
		}
	}
	return broken
}

func isKnown(c Call) bool { return c.Returned > 0 && (c.Status == 200 || c.Status == 201) }
func isFinal(c Call) bool {
	return isKnown(c) && (c.State == protocol.Done || c.State == protocol.Cancelled)
}
func isActive(c Call) bool { return isKnown(c) && !isFinal(c) }
func isUnknown(c Call) bool {
	return c.Returned > 0 && (c.Status == 404 || c.Kind == Submit && (c.Status == 400 || c.Status == 422))
}

func modelRule(c Call, calls []Call) string {
	some := func(holds func(other Call) bool) bool {
		return slices.ContainsFunc(calls, func(o Call) bool { return o.Job == c.Job && holds(o) })
	}
	earlier := func(o Call) bool { return o.Returned > 0 && o.Returned < c.Invoked }
	switch {
	case isUnknown(c) && some(func(o Call) bool { return earlier(o) && isKnown(o) }):
		return Forgotten
	case !isKnown(c):
		return ""
	case !some(func(o Call) bool { return o.Kind == Submit && o.Invoked < c.Returned }):
		return Invented
	case isActive(c) && some(func(o Call) bool { return earlier(o) && isFinal(o) }):
		return WentBack
	case isFinal(c) && modelFirstFinal(c, calls) != c.State:
		return WentBack
	case isFinal(c) && c.State == protocol.Cancelled && !some(func(o Call) bool { return o.Kind == Cancel && o.Invoked < c.Returned }):
		return WentBack
	case isActive(c) && c.Kind == Cancel:
		return Unsettled
	case c.Status == 201 && some(func(o Call) bool { return earlier(o) && isKnown(o) }):
		return AcceptedTwice
	}
	return ""
}

// modelFirstFinal returns the state of the job's first final answer.
func modelFirstFinal(c Call, calls []Call) protocol.JobState {
	first := c
	for _, o := range calls {
		if o.Job == c.Job && isFinal(o) && o.Returned < first.Returned {
			first = o
		}
	}
	return first.State
}

// randomCalls records overlapping requests with random answers.
func randomCalls(rng *rand.Rand) []Call {
	var log Log
	var open []int
	statuses := []int{200, 200, 200, 201, 404, 422, 503}
	states := []protocol.JobState{protocol.Pending, protocol.Running, protocol.Done, protocol.Cancelled}
	for range 2 + rng.IntN(24) {
		if len(open) > 0 && rng.IntN(2) == 0 {
			k := rng.IntN(len(open))
			log.Return(open[k], statuses[rng.IntN(len(statuses))], states[rng.IntN(len(states))])
			open = slices.Delete(open, k, k+1)
			continue
		}
		kind := []Kind{Submit, Ask, Cancel}[rng.IntN(3)]
		open = append(open, log.Invoke(rng.IntN(3), kind, fmt.Sprintf("job-%d", rng.IntN(2))))
	}
	return log.Calls()
}

// TestCheckAgreesWithModel: on random histories, most of which violate a rule, Check must find what the model finds.
func TestCheckAgreesWithModel(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 14))
	seen := map[string]int{}
	for round := range 20000 {
		calls := randomCalls(rng)
		want, got := modelCheck(calls), map[uint64]string{}
		for _, v := range Check(calls) {
			got[v.Answer.Returned] = v.Rule
			seen[v.Rule]++
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("round %d: found %v, the model found %v, in\n%v", round, got, want, calls)
		}
		if len(want) == 0 {
			seen[""]++
		}
	}
	for _, rule := range []string{Forgotten, WentBack, AcceptedTwice, Invented, Unsettled, ""} {
		if seen[rule] == 0 {
			t.Errorf("no history with %q was generated", rule)
		}
	}
}

// record builds a history in which each request is answered before the next one is sent.
func record(steps ...Call) []Call {
	var log Log
	for _, s := range steps {
		log.Return(log.Invoke(s.Node, s.Kind, "job-1"), s.Status, s.State)
	}
	return log.Calls()
}

// TestOverlappingAnswersMayDiffer: an answer must constrain only requests that were sent after it arrived.
func TestOverlappingAnswersMayDiffer(t *testing.T) {
	var log Log
	submit := log.Invoke(0, Submit, "job-1")
	early := log.Invoke(1, Ask, "job-1")
	log.Return(submit, 201, protocol.Pending)
	log.Return(early, 404, "")
	if found := Check(log.Calls()); len(found) > 0 {
		t.Errorf("violation for a request that was sent before the acceptance arrived: %v", found)
	}
	log.Return(log.Invoke(2, Ask, "job-1"), 404, "")
	if found := Check(log.Calls()); len(found) != 1 || found[0].Rule != Forgotten {
		t.Errorf("want one violation for a request that was sent after the acceptance arrived: %v", found)
	}
}

// TestStaleAnswersOfOtherNodes: each kind of violation must be found, also in the answer of another controller than the
// one that gave the earlier answer.
func TestStaleAnswersOfOtherNodes(t *testing.T) {
	accepted := Call{Node: 0, Kind: Submit, Status: 201, State: protocol.Pending}
	cancelled := Call{Node: 1, Kind: Cancel, Status: 200, State: protocol.Cancelled}
	for rule, calls := range map[string][]Call{
		Forgotten:     record(accepted, Call{Node: 1, Kind: Ask, Status: 404}),
		WentBack:      record(accepted, cancelled, Call{Node: 2, Kind: Ask, Status: 200, State: protocol.Running}),
		AcceptedTwice: record(accepted, Call{Node: 1, Kind: Submit, Status: 201, State: protocol.Pending}),
		Invented:      record(Call{Node: 1, Kind: Ask, Status: 200, State: protocol.Pending}),
		Unsettled:     record(accepted, Call{Node: 1, Kind: Cancel, Status: 200, State: protocol.Running}),
		"":            record(accepted, Call{Node: 1, Kind: Ask, Status: 503}, cancelled, Call{Node: 2, Kind: Submit, Status: 200, State: protocol.Cancelled}),
	} {
		found := Check(calls)
		if rule == "" && len(found) > 0 || rule != "" && (len(found) != 1 || found[0].Rule != rule) {
			t.Errorf("%q: %v", rule, found)
		}
	}
}
