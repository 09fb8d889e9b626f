package shards

import "slices"

// Probes tracks a controller's probes of machines in one term. A probe is an empty command, whose answer is the report
// that a barrier waits for.
type Probes struct {
	term       uint64
	probed     map[string]bool // by machine
	unanswered map[string]bool
}

// Begin starts the probes of a term. It returns false if that term is already the current one.
func (p *Probes) Begin(term uint64) bool {
	if p.term == term {
		return false
	}
	*p = Probes{term: term, probed: map[string]bool{}, unanswered: map[string]bool{}}
	return true
}

// Term returns the term of the probes, or 0 before the first.
func (p *Probes) Term() uint64 { return p.term }

// MarkProbed records that a machine is being probed in this term. It returns false if the machine already was.
func (p *Probes) MarkProbed(machine string) bool {
	if p.probed[machine] {
		return false
	}
	p.probed[machine] = true
	return true
}

// MarkUnanswered records that a machine did not answer a probe of the given term.
func (p *Probes) MarkUnanswered(term uint64, machine string) {
	if p.term == term {
		p.unanswered[machine] = true
	}
}

// Unanswered returns the sorted names of the machines that did not answer a probe and are not settled for the term in
// another way.
func (p *Probes) Unanswered(settled func(machine string, term uint64) bool) (machines []string) {
	for name := range p.unanswered {
		if !settled(name, p.term) {
			machines = append(machines, name)
		}
	}
	slices.Sort(machines)
	return machines
}
