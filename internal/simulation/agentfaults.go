package simulation

import (
	"bytes"
	"net/http"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// hangPollInterval is how often a hanging machine checks whether it has been resumed.
const hangPollInterval = 20 * time.Millisecond

// deliveryInterval is the pause between two held heartbeats that DeliverHeld sends.
const deliveryInterval = 60 * time.Millisecond

// maxHeldHeartbeats bounds the heartbeats that an agent keeps for DeliverHeld.
const maxHeldHeartbeats = 200

// faults are the faults injected into a machine, and what they held back.
type faults struct {
	removed         bool            // the machine no longer exists
	disconnected    bool            // no message passes in either direction
	dropAnswers     bool            // heartbeats arrive; answers and direct commands are lost
	dropHeartbeats  bool            // heartbeats are lost; direct commands arrive
	hanging         bool            // the machine does nothing
	evictionSeconds float64         // announced in heartbeats; 0: no eviction notice
	reachable       map[string]bool // the controllers that receive its heartbeats; nil: all

	repeatDelay    func() time.Duration // draws after what delay a heartbeat is delivered again
	repeatCount    int                  // copies of heartbeats that were delivered, by RepeatHeartbeats or DeliverHeld
	copyHeartbeats bool                 // keep a copy of each heartbeat in heldHeartbeats
	holdNext       int                  // number of next heartbeats that are kept instead of sent
	heldHeartbeats [][]byte

	commandDelay    func(d *protocol.DirectCommands) time.Duration // draws the delay of direct commands
	delayedCommands []*protocol.DirectCommands                     // currently delayed
	hangCommands    []protocol.DirectCommands                      // received while the machine hangs
	delayedCount    int                                            // all requests that were delayed, executed or not
	executedCount   int                                            // delayed requests that were executed
	rejectedCount   int                                            // delayed requests whose token or incarnation no longer matched
}

// commandsBlocked reports whether no direct request reaches the agent.
func (f *faults) commandsBlocked() bool {
	return f.removed || f.disconnected || f.dropAnswers || f.reachable != nil
}

// heartbeatsBlocked reports whether no heartbeat reaches a controller.
func (f *faults) heartbeatsBlocked(node string) bool {
	return f.removed || f.disconnected || f.dropHeartbeats || f.reachable != nil && !f.reachable[node]
}

// DisconnectNetwork disconnects the agent from all controllers, or reconnects it.
func (w *Agent) DisconnectNetwork(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.disconnected = on
}

// DropAnswers drops the answers to the agent's heartbeats and all direct commands; its heartbeats still arrive.
func (w *Agent) DropAnswers(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.dropAnswers = on
}

// DropHeartbeats drops the agent's heartbeats; direct commands still reach it.
func (w *Agent) DropHeartbeats(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.dropHeartbeats = on
}

// AnnounceEviction makes the agent's heartbeats announce that the cloud reclaims the machine after a time; 0: no
// notice.
func (w *Agent) AnnounceEviction(in time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.evictionSeconds = in.Seconds()
}

// Hang suspends or resumes the machine. A hanging machine sends no heartbeats, its tasks do not end, and direct
// commands stay unanswered. It executes these commands when it resumes, unless its lease expired meanwhile.
func (w *Agent) Hang(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.hanging = on
	if on {
		return
	}
	commands := w.faults.hangCommands
	w.faults.hangCommands = nil
	for i := range commands {
		w.applyDelayed(&commands[i])
	}
}

// LimitReach restricts the agent's heartbeats to the given controllers; without arguments it lifts the restriction. The
// agent cannot tell which controller sent a direct command, so a restriction blocks all direct commands.
func (w *Agent) LimitReach(nodes ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.reachable = nil
	for _, n := range nodes {
		if w.faults.reachable == nil {
			w.faults.reachable = map[string]bool{}
		}
		w.faults.reachable[n] = true
	}
}

// RepeatHeartbeats delivers heartbeats a second time after a drawn delay; 0: not this one, nil: none.
func (w *Agent) RepeatHeartbeats(after func() time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.repeatDelay = after
}

// CountRepeated returns how many copies of heartbeats were delivered, by RepeatHeartbeats or DeliverHeld.
func (w *Agent) CountRepeated() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults.repeatCount
}

// CopyHeartbeats keeps a copy of each heartbeat sent from now on, for DeliverHeld.
func (w *Agent) CopyHeartbeats(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.copyHeartbeats = on
}

// HoldHeartbeats withholds the next count heartbeats until DeliverHeld sends them.
func (w *Agent) HoldHeartbeats(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.holdNext = count
}

// CountHeld returns how many heartbeats wait for DeliverHeld.
func (w *Agent) CountHeld() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.faults.heldHeartbeats)
}

// DeliverHeld sends the held heartbeats to each of the given controllers in their original order and ignores the
// answers. It returns how many arrived.
func (w *Agent) DeliverHeld(nodes ...string) (arrived int) {
	w.mu.Lock()
	kept := w.faults.heldHeartbeats
	w.faults.heldHeartbeats = nil
	w.mu.Unlock()
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for _, node := range nodes {
		for _, body := range kept {
			if w.deliverCopy(client, "http://"+w.controllers[node]+protocol.PathHeartbeat, body) {
				arrived++
			}
			time.Sleep(deliveryInterval)
		}
	}
	return arrived
}

// DelayCommands delays direct commands by a drawn time and leaves them unanswered. They are then executed once if token
// and incarnation match. 0: not this request, nil: none.
func (w *Agent) DelayCommands(delay func(d *protocol.DirectCommands) time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.commandDelay = delay
}

// CountDelayedCommands returns how many requests with commands were delayed, by DelayCommands or by a hanging machine,
// and how many of these were executed and rejected later.
func (w *Agent) CountDelayedCommands() (delayed, executed, rejected int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults.delayedCount, w.faults.executedCount, w.faults.rejectedCount
}

// StartsInFlight returns the tasks whose start commands are currently delayed.
func (w *Agent) StartsInFlight() (tasks []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.faults.delayedCommands {
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
	return w.faults.hanging
}

// receivesAnswers reports whether the answer to a heartbeat reaches the agent.
func (w *Agent) receivesAnswers() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.faults.dropAnswers && !w.faults.hanging
}

// admitCommands reports whether direct commands are executed now. Otherwise it queues or delays them.
func (w *Agent) admitCommands(d *protocol.DirectCommands) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.commandsBlocked() {
		return true // the caller aborts the request
	}
	if w.faults.hanging {
		w.faults.hangCommands = append(w.faults.hangCommands, *d)
		w.faults.delayedCount++
		return false
	}
	if w.faults.commandDelay == nil {
		return true
	}
	delay := w.faults.commandDelay(d)
	if delay > 0 {
		w.faults.delayedCount++
		w.faults.delayedCommands = append(w.faults.delayedCommands, d)
		time.AfterFunc(delay, func() { w.releaseCommands(d) })
	}
	return delay <= 0
}

// releaseCommands executes delayed commands, or queues them if the machine hangs.
func (w *Agent) releaseCommands(d *protocol.DirectCommands) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.delayedCommands = slices.DeleteFunc(w.faults.delayedCommands, func(other *protocol.DirectCommands) bool { return other == d })
	switch {
	case w.faults.removed:
	case w.faults.hanging:
		w.faults.hangCommands = append(w.faults.hangCommands, *d)
	default:
		w.applyDelayed(d)
	}
}

// applyDelayed executes or rejects delayed commands and counts the outcome. The caller holds the lock.
func (w *Agent) applyDelayed(d *protocol.DirectCommands) {
	if w.applyCommands(d) {
		w.faults.executedCount++
	} else {
		w.faults.rejectedCount++
	}
}

// nextHeartbeat creates a heartbeat for a controller and reports whether it arrives there now.
func (w *Agent) nextHeartbeat(client *http.Client, node string) (body []byte, incarnation uint64, arrives bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	body = protocol.Encode(w.heartbeat())
	arrives = !w.faults.heartbeatsBlocked(node)
	held := arrives && w.faults.holdNext > 0
	if held {
		w.faults.holdNext--
	}
	if (held || arrives && w.faults.copyHeartbeats) && len(w.faults.heldHeartbeats) < maxHeldHeartbeats {
		w.faults.heldHeartbeats = append(w.faults.heldHeartbeats, body)
	}
	w.scheduleCopy(client, node, body)
	return body, w.incarnation, arrives && !held
}

// scheduleCopy schedules the repeated delivery of a heartbeat, if the fault is active.
func (w *Agent) scheduleCopy(client *http.Client, node string, body []byte) {
	if w.faults.repeatDelay == nil || w.faults.heartbeatsBlocked(node) {
		return
	}
	if after := w.faults.repeatDelay(); after > 0 {
		url := "http://" + w.controllers[node] + protocol.PathHeartbeat
		time.AfterFunc(after, func() { w.deliverCopy(client, url, body) })
	}
}

// deliverCopy sends a copy of an earlier heartbeat, unless the network is disconnected, and ignores the answer.
func (w *Agent) deliverCopy(client *http.Client, url string, body []byte) (arrived bool) {
	w.mu.Lock()
	disconnected := w.faults.disconnected
	w.mu.Unlock()
	if disconnected {
		return false
	}
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp.Body.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.repeatCount++
	return true
}
