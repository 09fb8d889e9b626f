// Package cancelwatermark decides until when a controller may keep workers alive. A controller that
// has not heard of a withdrawal must not renew the lease of a machine that runs the job's tasks past
// the time in which they have to be gone. So it keeps a horizon: the moment up to which all withdrawals that any
// controller confirmed to a user are surely known here. A read of the state service moves it; without
// that, the peers move it, which number what they confirm and say how far they are. It does no I/O and reads no clock.
package cancelwatermark

import (
	"slices"
	"time"
)

// Watermark is what one controller's process knows of the withdrawals that were confirmed.
type Watermark struct {
	reach time.Duration
	read  time.Time
	told  []string // confirmed here, in order
	first map[string]bool
	peers map[string]*peer
}

// peer is the process of another controller that was heard last.
type peer struct {
	process uint64
	since   time.Time // when it was first heard: its earlier processes had ended by then
	got     uint64    // of its withdrawals, taken in here without a gap
	upTo    time.Time // all that it confirmed before are known here
	has     uint64    // of this process's withdrawals, as it says
	retold  time.Time
}

// Margin covers what a message and its handling take, between a user's answer and the moment in which the
// others may have it, and between an answer to a worker and the lease that it renews.
const Margin = 1500 * time.Millisecond

// least is what a horizon may be behind in a deployment whose cancellations have no more time than a lease
// and the margin: there no bound could be kept, and one that never renews serves nobody.
const least = 3 * time.Second

// drift is by how much two steady clocks may differ, as a part of the time.
const drift = 0.001

// retellAfter is how long a peer may take to say that it has what it was told.
const retellAfter = time.Second

// New is the horizon of a process that knows nothing yet. Tasks of a withdrawn job must be gone after cancel,
// and a worker ends what it runs after lease without an answer.
func New(peers []string, cancel, lease time.Duration) *Watermark {
	h := &Watermark{reach: max(least, cancel-time.Duration(2*drift*float64(cancel))-lease-Margin), first: map[string]bool{}, peers: map[string]*peer{}}
	for _, name := range peers {
		h.peers[name] = &peer{}
	}
	return h
}

// Read books that everything was taken in that the state service had when a read began.
func (h *Watermark) Read(began time.Time) {
	if began.After(h.read) {
		h.read = began
	}
}

// LastRead is when the latest such read began.
func (h *Watermark) LastRead() time.Time { return h.read }

// Confirm numbers a withdrawal that is about to be confirmed to a user here, from 1 on. It is to
// be told to the peers before the user gets the answer; number is 0 if that was done before.
func (h *Watermark) Confirm(uid string) (number uint64) {
	if h.first[uid] {
		return 0
	}
	h.first[uid] = true
	h.told = append(h.told, uid)
	return uint64(len(h.told))
}

// Told counts the withdrawals confirmed here.
func (h *Watermark) Told() uint64 { return uint64(len(h.told)) }

// Met books that a line of a peer's process came. What an earlier process of it confirmed
// last may be unknown here until the state service is read again.
func (h *Watermark) Met(name string, process uint64, now time.Time) {
	if p := h.peers[name]; p != nil && p.process != process {
		*p = peer{process: process, since: now}
	}
}

// Take books that a peer's withdrawals from a number on were taken in. After a gap they are known, but do not
// count until what is missing came.
func (h *Watermark) Take(name string, from uint64, count int) {
	if p := h.peers[name]; p != nil && from > 0 && from <= p.got+1 {
		p.got = max(p.got, from+uint64(count)-1)
	}
}

// Got counts the withdrawals of a peer's present process that were taken in without a gap.
func (h *Watermark) Got(name string) uint64 {
	if p := h.peers[name]; p != nil {
		return p.got
	}
	return 0
}

// Heard takes in that a peer had confirmed told withdrawals when it said so, which was after it had heard what
// was sent from here at a time.
func (h *Watermark) Heard(name string, told uint64, sent time.Time) {
	if p := h.peers[name]; p != nil && p.got >= told && sent.After(p.upTo) {
		p.upTo = sent
	}
}

// Has takes in how many of this process's withdrawals a peer says it has.
func (h *Watermark) Has(name string, count uint64) {
	if p := h.peers[name]; p != nil && count <= h.Told() {
		p.has = max(p.has, count)
	}
}

// Lacking lists up to most withdrawals that a peer may not have, and the number of the first. It lists none if that was
// done a moment ago.
func (h *Watermark) Lacking(name string, now time.Time, most int) (from uint64, uids []string) {
	p := h.peers[name]
	if p == nil || p.has >= h.Told() || now.Sub(p.retold) < retellAfter {
		return 0, nil
	}
	p.retold = now
	return p.has + 1, slices.Clone(h.told[p.has:min(h.Told(), p.has+uint64(most))])
}

// Until is the horizon: every withdrawal that any controller confirmed before is known here. It is zero before
// the first read.
func (h *Watermark) Until(now time.Time) time.Time {
	if h.read.IsZero() {
		return time.Time{}
	}
	until := now // what is confirmed here is known here
	for _, p := range h.peers {
		known := h.read
		// An earlier process of the peer had confirmed its last before this one was heard.
		if p.process != 0 && !h.read.Before(p.since) && p.upTo.After(known) {
			known = p.upTo
		}
		if known.Before(until) {
			until = known
		}
	}
	return until
}

// Renews says whether the lease of a machine may be renewed now, of which nothing is known
// that is older than since, if that is not zero: a job that was withdrawn right after the horizon
// has no task there any more, by that lease, once its time is over.
func (h *Watermark) Renews(now, since time.Time) bool {
	until := h.Until(now)
	if until.IsZero() {
		return false
	}
	if !since.IsZero() && since.Before(until) {
		until = since
	}
	return !now.After(until.Add(h.reach))
}
