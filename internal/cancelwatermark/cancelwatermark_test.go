package cancelwatermark

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// world models three controllers and a state service: which cancellation was confirmed when, what each process knows,
// and messages that arrive late or are lost with their connection.
type world struct {
	rng         *rand.Rand
	mutant      string // the fault that the model simulates; "" for none
	now         time.Time
	stored      []string
	confirmed   map[string]time.Time
	down        [3]time.Time // until then, the store does not serve a controller
	nodes       [3]*process
	inFlight    []func()
	arrivals    []time.Time
	lastProcess uint64

	aheadOfReads, restarts, gaps, confirmedAgain int // how often each case occurred
}

type process struct {
	id          uint64
	watermark   *Watermark
	knows       map[string]bool
	connections [3]int // number of the current connection to each peer
	statusFrom  [3]uint64
	statusAt    [3]time.Time // send time of the peer's last status, by its clock
}

var names = [3]string{"a", "b", "c"}

func (w *world) start(i int) {
	w.lastProcess++
	if old := w.nodes[i]; old != nil && w.rng.IntN(2) == 0 {
		for k := range old.connections {
			old.connections[k]++ // its last messages are lost
		}
	}
	var peers []string
	for k, n := range names {
		if k != i {
			peers = append(peers, n)
		}
	}
	w.nodes[i] = &process{id: w.lastProcess, watermark: New(peers, 30*time.Second, 10*time.Second), knows: map[string]bool{}}
	for k := range w.nodes {
		if n := w.nodes[k]; n != nil {
			n.connections[i]++ // connections to it are closed, and their messages lost
		}
	}
}

// send sends a message over the current connection. Messages of one connection stay in order.
func (w *world) send(i, k int, handle func(from, to *process)) {
	from, to, connection := w.nodes[i], w.nodes[k], w.nodes[i].connections[k]
	at := w.now.Add(time.Duration(w.rng.IntN(300)) * time.Millisecond)
	if n := len(w.arrivals); n > 0 && at.Before(w.arrivals[n-1]) {
		at = w.arrivals[n-1]
	}
	w.arrivals = append(w.arrivals, at)
	w.inFlight = append(w.inFlight, func() {
		if w.nodes[k] != to || from.connections[k] != connection {
			return // lost with its connection
		}
		id := from.id
		if w.mutant == "restarts go unnoticed" {
			id = 1
		}
		to.watermark.RecordIncarnation(names[i], id, w.now)
		if to.statusFrom[i] != from.id {
			to.statusFrom[i], to.statusAt[i] = from.id, time.Time{}
		}
		handle(from, to)
	})
}

func (w *world) confirm(i int, uid string) {
	n := w.nodes[i]
	n.knows[uid] = true
	if w.mutant == "cancellations are not sent" {
		w.recordConfirmation(uid)
		return
	}
	if number := n.watermark.RecordCancellation(uid); number > 0 {
		for k := range names {
			if k != i {
				w.sendCancellations(i, k, number, []string{uid})
			}
		}
	}
	w.recordConfirmation(uid)
}

func (w *world) recordConfirmation(uid string) {
	if w.confirmed[uid].IsZero() {
		w.confirmed[uid] = w.now
	}
}

func (w *world) sendCancellations(i, k int, number uint64, uids []string) {
	w.send(i, k, func(_, to *process) {
		for _, uid := range uids {
			to.knows[uid] = true
		}
		if number > to.watermark.ReceivedFrom(names[i])+1 {
			w.gaps++
			if w.mutant == "gaps are ignored" {
				to.watermark.peers[names[i]].received = number
			}
		}
		to.watermark.RecordReceived(names[i], number, len(uids))
	})
}

func (w *world) sendStatus(i int) {
	n := w.nodes[i]
	for k := range names {
		if k == i {
			continue
		}
		confirmed, echo, got, sent := n.watermark.Confirmed(), n.statusAt[k], n.watermark.ReceivedFrom(names[k]), w.now
		w.send(i, k, func(_, to *process) {
			to.statusAt[i] = sent
			if !echo.IsZero() {
				if w.mutant == "statuses count from their arrival" {
					echo = w.now
				}
				to.watermark.RecordConfirmedBy(names[i], confirmed, echo)
				to.watermark.RecordAcknowledgedBy(names[i], got)
			}
		})
		if from, uids := n.watermark.TakeUnacknowledged(names[k], w.now, 3); len(uids) > 0 && w.mutant != "nothing is sent again" {
			w.sendCancellations(i, k, from, uids)
		}
	}
}

func (w *world) read(i int) {
	if w.now.Before(w.down[i]) {
		return
	}
	n, began := w.nodes[i], w.now
	snapshot := len(w.stored)
	w.arrivals = append(w.arrivals, w.now)
	late := w.now.Add(time.Duration(w.rng.IntN(2000)) * time.Millisecond)
	var deliver func()
	deliver = func() {
		if w.now.Before(late) {
			w.inFlight, w.arrivals = append(w.inFlight, deliver), append(w.arrivals, w.now)
			return
		}
		for _, uid := range w.stored[:snapshot] {
			n.knows[uid] = true
		}
		if w.mutant == "reads count from their end" {
			began = w.now
		}
		n.watermark.RecordRead(began)
	}
	w.inFlight = append(w.inFlight, deliver)
}

// run simulates the given number of steps and returns a description of the violated invariant, or "" if none was.
func (w *world) run(steps int) string {
	for i := range names {
		w.start(i)
	}
	for range steps {
		w.now = w.now.Add(time.Duration(1+w.rng.IntN(60)) * time.Millisecond)
		for k, n := 0, len(w.inFlight); k < n && !w.now.Before(w.arrivals[0]); k++ {
			f := w.inFlight[0]
			w.inFlight, w.arrivals = w.inFlight[1:], w.arrivals[1:]
			f()
		}
		i := w.rng.IntN(3)
		switch x := w.rng.IntN(100); {
		case x < 4 && !w.now.Before(w.down[i]): // commit a cancellation, and perhaps confirm it
			uid := fmt.Sprint("job-", len(w.stored))
			w.stored = append(w.stored, uid)
			if w.rng.IntN(4) > 0 {
				w.confirm(i, uid)
			}
		case x < 6 && !w.now.Before(w.down[i]) && len(w.stored) > 0: // find a committed cancellation and confirm it
			w.confirm(i, w.stored[w.rng.IntN(len(w.stored))])
		case x < 8: // confirm a known cancellation again
			for uid := range w.nodes[i].knows {
				w.confirmedAgain++
				w.confirm(i, uid)
				break
			}
		case x < 14:
			w.read(i)
		case x < 60:
			w.sendStatus(i)
		case x == 60 && w.rng.IntN(6) == 0:
			w.restarts++
			w.start(i)
		case x == 61 && w.rng.IntN(3) == 0:
			k := w.rng.IntN(3)
			w.nodes[i].connections[k]++
		case x == 62 && w.rng.IntN(4) == 0: // the store refuses one controller
			w.down[i] = w.now.Add(time.Duration(w.rng.IntN(30000)) * time.Millisecond)
		case x == 63 && w.rng.IntN(6) == 0: // the store is down for all
			for k := range w.down {
				w.down[k] = w.now.Add(20 * time.Second)
			}
		}
		for k, n := range w.nodes {
			until := n.watermark.KnownUntil(w.now)
			if until.After(n.watermark.LastRead()) {
				w.aheadOfReads++
			}
			for uid, at := range w.confirmed {
				if at.Before(until) && !n.knows[uid] {
					return fmt.Sprintf("%s does not know %s, confirmed %v before its watermark", names[k], uid, until.Sub(at))
				}
			}
		}
	}
	return ""
}

func newWorld(seed uint64, mutant string) *world {
	return &world{rng: rand.New(rand.NewPCG(seed, 5)), mutant: mutant, now: time.Unix(1000, 0), confirmed: map[string]time.Time{}}
}

// TestWatermarkModel guards that every cancellation confirmed by any controller before another controller's watermark
// is known to that controller, whatever messages are lost or late, processes restart or requests are refused. Renewals
// based on anything else kept tasks alive past their time when the state service refused first one controller and
// then all.
func TestWatermarkModel(t *testing.T) {
	var sum world
	for seed := range uint64(60) {
		w := newWorld(seed, "")
		if broken := w.run(2500); broken != "" {
			t.Fatalf("seed %d: %s", seed, broken)
		}
		sum.aheadOfReads += w.aheadOfReads
		sum.restarts += w.restarts
		sum.gaps += w.gaps
		sum.confirmedAgain += w.confirmedAgain
	}
	if sum.aheadOfReads == 0 || sum.restarts == 0 || sum.gaps == 0 || sum.confirmedAgain == 0 {
		t.Fatalf("a case did not occur: advanced by peers %d times, restarts %d, gaps %d, confirmed again %d", sum.aheadOfReads, sum.restarts, sum.gaps, sum.confirmedAgain)
	}
}

// TestWatermarkModelCatchesMutants shows that the model detects a watermark that advances on insufficient knowledge.
func TestWatermarkModelCatchesMutants(t *testing.T) {
	for _, mutant := range []string{"restarts go unnoticed", "cancellations are not sent", "gaps are ignored",
		"statuses count from their arrival", "reads count from their end"} {
		caught := false
		for seed := range uint64(60) {
			caught = caught || newWorld(seed, mutant).run(2500) != ""
		}
		if !caught {
			t.Errorf("mutant %q is not detected", mutant)
		}
	}
}

// TestWatermarkAdvancesByPeers guards that the watermark advances with the peers' statuses during an outage, since
// machines would otherwise lose their tasks. It stops with the first peer that is silent or has restarted.
func TestWatermarkAdvancesByPeers(t *testing.T) {
	w := New([]string{"b", "c"}, 30*time.Second, 10*time.Second)
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	if w.MayRenew(at(0), time.Time{}) {
		t.Fatal("renews before anything was read")
	}
	receiveStatus := func(name string, process, confirmed uint64, s float64) {
		w.RecordIncarnation(name, process, at(s))
		w.RecordConfirmedBy(name, confirmed, at(s-0.5))
	}
	receiveStatus("b", 1, 0, 0.5)
	receiveStatus("c", 1, 0, 0.5)
	w.RecordRead(at(1))
	for s := 2.0; s < 100; s++ {
		receiveStatus("b", 1, 0, s)
		receiveStatus("c", 1, 0, s)
		if !w.MayRenew(at(s), time.Time{}) {
			t.Fatalf("does not renew %g s into an outage in which all peers send statuses", s)
		}
	}
	if got, want := w.KnownUntil(at(100)), at(98.5); !got.Equal(want) {
		t.Fatalf("watermark %v after the last statuses, want %v", got.Sub(start), want.Sub(start))
	}
	// For a machine whose home may have sent it something earlier, the time counts from that moment.
	if w.MayRenew(at(100), at(80)) || !w.MayRenew(at(100), at(90)) {
		t.Error("an earlier bound does not limit the renewal, or a later one does")
	}
	receiveStatus("b", 1, 1, 101) // one cancellation that was not received here
	receiveStatus("c", 1, 0, 101)
	if got := w.KnownUntil(at(101)); !got.Equal(at(98.5)) {
		t.Errorf("advances to %v past a cancellation that was not received", got.Sub(start))
	}
	w.RecordReceived("b", 1, 1)
	receiveStatus("b", 1, 1, 102)
	receiveStatus("c", 2, 0, 102) // restarted: the last cancellations that its earlier process confirmed may be unknown here
	if got := w.KnownUntil(at(102)); !got.Equal(at(1)) {
		t.Errorf("watermark %v with a restarted peer, want that of the last read", got.Sub(start))
	}
	w.RecordRead(at(103))
	receiveStatus("c", 2, 0, 104)
	if got := w.KnownUntil(at(104)); !got.Equal(at(103)) {
		t.Errorf("watermark %v after a read, want 103 s", got.Sub(start))
	}
}

// TestImpossibleNumbersAreIgnored guards that invalid numbers from a peer change nothing.
func TestImpossibleNumbersAreIgnored(t *testing.T) {
	w := New([]string{"b"}, 30*time.Second, 10*time.Second)
	now := time.Unix(1000, 0)
	w.RecordRead(now)
	w.RecordIncarnation("b", 1, now)
	if w.RecordCancellation("job-000001") != 1 || w.RecordCancellation("job-000001") != 0 || w.RecordCancellation("job-000002") != 2 {
		t.Fatal("confirmations are not numbered once each from 1 on")
	}
	w.RecordReceived("b", 0, 1<<40)
	w.RecordReceived("b", 1<<63, 3)
	w.RecordAcknowledgedBy("b", 1<<63)
	w.RecordAcknowledgedBy("nobody", 1)
	w.RecordConfirmedBy("nobody", 0, now.Add(time.Hour))
	if w.ReceivedFrom("b") != 0 {
		t.Errorf("%d cancellations count as received, without a valid number or after a gap", w.ReceivedFrom("b"))
	}
	if from, uids := w.TakeUnacknowledged("b", now, 500); from != 1 || len(uids) != 2 {
		t.Errorf("resends %v from %d, but the peer has none", uids, from)
	}
	w.RecordAcknowledgedBy("b", 1)
	if from, uids := w.TakeUnacknowledged("b", now.Add(time.Minute), 500); from != 2 || len(uids) != 1 || uids[0] != "job-000002" {
		t.Errorf("resends %v from %d, want the second", uids, from)
	}
}
