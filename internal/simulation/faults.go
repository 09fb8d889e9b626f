package simulation

import (
	"bytes"
	"net/http"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// hungStep is how often a machine that hangs looks whether it goes on.
const hungStep = 20 * time.Millisecond

// copyPause lies between the copies of an agent's reports that are delivered.
const copyPause = 60 * time.Millisecond

// keptReports bounds the copies of reports that an agent keeps.
const keptReports = 200

// faults are what keeps a machine's messages and tasks from their way.
type faults struct {
	gone  bool            // the machine is
	cut   bool            // nothing passes
	deaf  bool            // reports arrive; answers and direct commands are lost
	mute  bool            // no report arrives; direct commands do
	hung  bool            // the machine does nothing
	taken float64         // seconds until the cloud takes the machine away, as reports say; 0: no notice
	reach map[string]bool // the controllers that its reports come to; nil: all

	again   func() time.Duration // when a copy of a report is delivered once more
	repeats int                  // late copies that were delivered
	keep    bool                 // copies of reports
	hold    int                  // the next so many reports are kept instead of being delivered
	kept    [][]byte

	slow     func(d *protocol.DirectCommands) time.Duration // for how long direct commands are held up
	underway []*protocol.DirectCommands                     // commands that are held up now
	waiting  []protocol.DirectCommands                      // commands that came while the machine hung
	held     int                                            // commands that were held up, by now or for good
	obeyed   int                                            // commands that were held up and executed
	outdated int                                            // those whose token or session did not match any more
}

// unreached says whether no direct request comes through.
func (f *faults) unreached() bool { return f.gone || f.cut || f.deaf || f.reach != nil }

// silent says whether reports do not come to a controller.
func (f *faults) silent(node string) bool {
	return f.gone || f.cut || f.mute || f.reach != nil && !f.reach[node]
}

// DisconnectNetwork takes the agent's network away or gives it back.
func (w *Agent) DisconnectNetwork(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.cut = on
}

// DropAnswers has answers to the agent's reports and direct commands lost; its reports arrive.
func (w *Agent) DropAnswers(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.deaf = on
}

// DropHeartbeats keeps the agent from reaching any controller; direct commands reach it.
func (w *Agent) DropHeartbeats(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.mute = on
}

// AnnounceEviction has the agent's reports say that the cloud takes the machine away in so long; 0: no notice.
func (w *Agent) AnnounceEviction(in time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.taken = in.Seconds()
}

// Hang stops the machine, or has it go on. It reports nothing, its tasks make no end, and direct commands wait
// without an answer; within its lease it executes these once it goes on.
func (w *Agent) Hang(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.hung = on
	if on {
		return
	}
	waiting := w.faults.waiting
	w.faults.waiting = nil
	for i := range waiting {
		w.applyDelayed(&waiting[i])
	}
}

// LimitReach bounds which controllers the agent and its machine can be reached by; none given: all. Direct
// commands come from any of them, so that a bound shuts them out altogether.
func (w *Agent) LimitReach(nodes ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.reach = nil
	for _, n := range nodes {
		if w.faults.reach == nil {
			w.faults.reach = map[string]bool{}
		}
		w.faults.reach[n] = true
	}
}

// RepeatHeartbeats has copies of reports delivered once more after a time; 0: not that one, nil: none.
func (w *Agent) RepeatHeartbeats(after func() time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.again = after
}

// CountRepeated counts the late copies of reports that were delivered.
func (w *Agent) CountRepeated() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults.repeats
}

// CopyHeartbeats keeps a copy of each report that is sent from now on, for Deliver.
func (w *Agent) CopyHeartbeats(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.keep = on
}

// HoldHeartbeats has the next so many reports held up on their way until Deliver.
func (w *Agent) HoldHeartbeats(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.hold = count
}

// CountHeld counts the reports that wait for Deliver.
func (w *Agent) CountHeld() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.faults.kept)
}

// DeliverHeld sends what was kept of reports to each of some controllers, in the order in which it was made; nobody
// hears the answers. It gives how many arrived.
func (w *Agent) DeliverHeld(nodes ...string) (arrived int) {
	w.mu.Lock()
	kept := w.faults.kept
	w.faults.kept = nil
	w.mu.Unlock()
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for _, node := range nodes {
		for _, body := range kept {
			if w.repeat(client, "http://"+w.nodes[node]+protocol.PathHeartbeat, body) {
				arrived++
			}
			time.Sleep(copyPause)
		}
	}
	return arrived
}

// DelayCommands has direct commands held up for a time, unanswered, and then executed once if token and session
// match; 0: not that one, nil: none.
func (w *Agent) DelayCommands(hold func(d *protocol.DirectCommands) time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.slow = hold
}

// CountDelayedCommands counts the requests with commands that were held up, on the way or by a machine that hung; of them
// those that were executed, and those that were refused by then.
func (w *Agent) CountDelayedCommands() (held, obeyed, outdated int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults.held, w.faults.obeyed, w.faults.outdated
}

// StartsInFlight lists the tasks whose starts are held up on their way to the machine now.
func (w *Agent) StartsInFlight() (tasks []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.faults.underway {
		for _, c := range d.Commands {
			if c.Op == protocol.Start {
				tasks = append(tasks, c.Task)
			}
		}
	}
	return tasks
}

func (w *Agent) isHanging() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults.hung
}

// receives says whether the answer to a report comes through.
func (w *Agent) receives() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.faults.deaf && !w.faults.hung
}

// passes says whether direct commands come through now; otherwise they may be executed later.
func (w *Agent) passes(d *protocol.DirectCommands) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.unreached() {
		return true // and are refused there
	}
	if w.faults.hung {
		w.faults.waiting = append(w.faults.waiting, *d)
		w.faults.held++
		return false
	}
	if w.faults.slow == nil {
		return true
	}
	held := w.faults.slow(d)
	if held > 0 {
		w.faults.held++
		w.faults.underway = append(w.faults.underway, d)
		time.AfterFunc(held, func() { w.delayCommands(d) })
	}
	return held <= 0
}

// delayCommands executes direct commands that were held up.
func (w *Agent) delayCommands(d *protocol.DirectCommands) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.underway = slices.DeleteFunc(w.faults.underway, func(other *protocol.DirectCommands) bool { return other == d })
	switch {
	case w.faults.gone:
	case w.faults.hung:
		w.faults.waiting = append(w.faults.waiting, *d)
	default:
		w.applyDelayed(d)
	}
}

func (w *Agent) applyDelayed(d *protocol.DirectCommands) {
	if w.applyCommands(d) {
		w.faults.obeyed++
	} else {
		w.faults.outdated++
	}
}

// nextHeartbeat makes a report for a controller and says whether it arrives there now.
func (w *Agent) nextHeartbeat(client *http.Client, node string) (body []byte, session uint64, arrives bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	body = protocol.Encode(w.heartbeat())
	arrives = !w.faults.silent(node)
	held := arrives && w.faults.hold > 0
	if held {
		w.faults.hold--
	}
	if (held || arrives && w.faults.keep) && len(w.faults.kept) < keptReports {
		w.faults.kept = append(w.faults.kept, body)
	}
	w.copyLater(client, node, body)
	return body, w.session, arrives && !held
}

// copyLater has a copy of a report delivered once more, if that is wished for.
func (w *Agent) copyLater(client *http.Client, node string, body []byte) {
	if w.faults.again == nil || w.faults.silent(node) {
		return
	}
	if after := w.faults.again(); after > 0 {
		url := "http://" + w.nodes[node] + protocol.PathHeartbeat
		time.AfterFunc(after, func() { w.repeat(client, url, body) })
	}
}

// repeat delivers a copy of an earlier report; nobody hears the answer.
func (w *Agent) repeat(client *http.Client, url string, body []byte) (arrived bool) {
	w.mu.Lock()
	cut := w.faults.cut
	w.mu.Unlock()
	if cut {
		return false
	}
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp.Body.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.repeats++
	return true
}
