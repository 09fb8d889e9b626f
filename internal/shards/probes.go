package shards

import "slices"

// Probes is what a controller knows of its probes in one term: a command without content, whose answer is the
// report that a barrier waits for.
type Probes struct {
	term       uint64
	asked      map[string]bool // probed, or to be probed
	unanswered map[string]bool
}

// Begin starts a term's probes; false if it is that term already.
func (p *Probes) Begin(term uint64) bool {
	if p.term == term {
		return false
	}
	*p = Probes{term: term, asked: map[string]bool{}, unanswered: map[string]bool{}}
	return true
}

// Term is the term of the probes; 0 before the first.
func (p *Probes) Term() uint64 { return p.term }

// MarkProbed says whether a machine is to be probed now: it was not in this term.
func (p *Probes) MarkProbed(machine string) bool {
	if p.asked[machine] {
		return false
	}
	p.asked[machine] = true
	return true
}

// MarkUnanswered notes that a machine did not answer a probe of a term.
func (p *Probes) MarkUnanswered(term uint64, machine string) {
	if p.term == term {
		p.unanswered[machine] = true
	}
}

// Unanswered lists in order the machines that did not answer a probe and are not settled for the term otherwise.
func (p *Probes) Unanswered(settled func(machine string, term uint64) bool) (machines []string) {
	for name := range p.unanswered {
		if !settled(name, p.term) {
			machines = append(machines, name)
		}
	}
	slices.Sort(machines)
	return machines
}
