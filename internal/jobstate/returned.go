package jobstate

// ReturnedAttempts are attempts that a machine lists although they had been proven to be off it. That breaks the rule that
// a task is on one machine at a time, so they are kept for operators.
type ReturnedAttempts struct {
	seen map[AttemptRef]bool
	next []AttemptRef // first seen since the last Take
}

// add records an attempt, the first time only.
func (r *ReturnedAttempts) add(ref AttemptRef) {
	if r.seen[ref] {
		return
	}
	if r.seen == nil {
		r.seen = map[AttemptRef]bool{}
	}
	r.seen[ref] = true
	r.next = append(r.next, ref)
}

// Take returns the attempts that were first seen since the last call.
func (r *ReturnedAttempts) Take() []AttemptRef {
	next := r.next
	r.next = nil
	return next
}

// Count returns how many there were since the team has had its present owner.
func (r *ReturnedAttempts) Count() int { return len(r.seen) }

// Returned returns the attempts that machines list again after the team had released them.
func (t *Team) Returned() *ReturnedAttempts { return &t.returned }

// noteReturned records a listed attempt that is not assigned although this Team created it: the Team released it.
func (o *observation) noteReturned(x *TaskStatus) {
	if TermOf(x.Attempt) >= o.team.firstTerm {
		o.team.returned.add(x.Ref())
	}
}
