package simulation

import (
	"bytes"
	"math"
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
	commandRepeat   func(d *protocol.DirectCommands) time.Duration // draws after what delay answered commands arrive again
	delayedCommands []*protocol.DirectCommands                     // currently delayed, copies of answered ones included
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
func (a *Agent) DisconnectNetwork(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.disconnected = on
}

// DropAnswers drops the answers to the agent's heartbeats and all direct commands; its heartbeats still arrive.
func (a *Agent) DropAnswers(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.dropAnswers = on
}

// DropHeartbeats drops the agent's heartbeats; direct commands still reach it.
func (a *Agent) DropHeartbeats(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.dropHeartbeats = on
}

// AnnounceEviction makes the agent's heartbeats announce that the cloud reclaims the machine after a time; 0: no
// notice.
func (a *Agent) AnnounceEviction(in time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.evictionSeconds = in.Seconds()
}

// Hang suspends or resumes the machine. A hanging machine sends no heartbeats, its tasks do not end, and direct
// commands stay unanswered. It executes these commands when it resumes, unless its lease expired meanwhile.
func (a *Agent) Hang(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.hanging = on
	if on {
		return
	}
	commands := a.faults.hangCommands
	a.faults.hangCommands = nil
	for i := range commands {
		a.applyDelayed(&commands[i])
	}
}

// LimitReach restricts the agent's heartbeats to the given controllers; without arguments it lifts the restriction. The
// agent cannot tell which controller sent a direct command, so a restriction blocks all direct commands.
func (a *Agent) LimitReach(nodes ...string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.reachable = nil
	for _, n := range nodes {
		if a.faults.reachable == nil {
			a.faults.reachable = map[string]bool{}
		}
		a.faults.reachable[n] = true
	}
}

// RepeatHeartbeats delivers heartbeats a second time after a drawn delay; 0: not this one, nil: none.
func (a *Agent) RepeatHeartbeats(after func() time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.repeatDelay = after
}

// CountRepeated returns how many copies of heartbeats were delivered, by RepeatHeartbeats or DeliverHeld.
func (a *Agent) CountRepeated() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.faults.repeatCount
}

// CopyHeartbeats keeps a copy of each heartbeat sent from now on, for DeliverHeld.
func (a *Agent) CopyHeartbeats(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.copyHeartbeats = on
}

// HoldHeartbeats withholds the next count heartbeats until DeliverHeld sends them.
func (a *Agent) HoldHeartbeats(count int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.holdNext = count
}

// CountHeld returns how many heartbeats wait for DeliverHeld.
func (a *Agent) CountHeld() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.faults.heldHeartbeats)
}

// DeliverHeld sends the held heartbeats to each of the given controllers in their original order and ignores the
// answers. It returns how many arrived.
func (a *Agent) DeliverHeld(nodes ...string) (arrived int) {
	a.mu.Lock()
	kept := a.faults.heldHeartbeats
	a.faults.heldHeartbeats = nil
	a.mu.Unlock()
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for _, node := range nodes {
		for _, body := range kept {
			if a.deliverCopy(client, "http://"+a.controllers[node]+protocol.PathHeartbeat, body) {
				arrived++
			}
			time.Sleep(deliveryInterval)
		}
	}
	return arrived
}

// UntilReleased is the delay of direct commands that are held until ReleaseCommands.
const UntilReleased time.Duration = math.MaxInt64

// DelayCommands delays direct commands by a drawn time and leaves them unanswered. They are then executed once if token
// and incarnation match. 0: not this request, UntilReleased: until ReleaseCommands, nil: none.
func (a *Agent) DelayCommands(delay func(d *protocol.DirectCommands) time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.commandDelay = delay
}

// RepeatCommands delivers direct commands that were executed and answered once more after a drawn delay, under the same
// token and incarnation. 0: not this request, UntilReleased: with ReleaseCommands, nil: none.
func (a *Agent) RepeatCommands(delay func(d *protocol.DirectCommands) time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.commandRepeat = delay
}

// scheduleCommandCopy schedules the repeated delivery of commands that were executed. The caller holds the lock.
func (a *Agent) scheduleCommandCopy(d *protocol.DirectCommands) {
	if a.faults.commandRepeat == nil {
		return
	}
	if delay := a.faults.commandRepeat(d); delay > 0 {
		a.holdCommands(d, delay)
	}
}

// holdCommands keeps commands until they are released, at the latest after a delay. The caller holds the lock.
func (a *Agent) holdCommands(d *protocol.DirectCommands, delay time.Duration) {
	a.faults.delayedCount++
	a.faults.delayedCommands = append(a.faults.delayedCommands, d)
	if delay < UntilReleased {
		time.AfterFunc(delay, func() { a.releaseCommands(d) })
	}
}

// ReleaseCommands executes or rejects all commands that are currently delayed.
func (a *Agent) ReleaseCommands() {
	a.mu.Lock()
	delayed := slices.Clone(a.faults.delayedCommands)
	a.mu.Unlock()
	for _, d := range delayed {
		a.releaseCommands(d)
	}
}

// CountDelayedCommands returns how many requests with commands were delayed, by DelayCommands or by a hanging machine,
// and how many of these were executed and rejected later.
func (a *Agent) CountDelayedCommands() (delayed, executed, rejected int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.faults.delayedCount, a.faults.executedCount, a.faults.rejectedCount
}

// StartsInFlight returns the tasks whose start commands are currently delayed.
func (a *Agent) StartsInFlight() (tasks []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, d := range a.faults.delayedCommands {
		for _, c := range d.Commands {
			if c.Op == protocol.Start {
				tasks = append(tasks, c.Task)
			}
		}
	}
	return tasks
}

func (a *Agent) isHanging() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.faults.hanging
}

// receivesAnswers reports whether the answer to a heartbeat reaches the agent.
func (a *Agent) receivesAnswers() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.faults.dropAnswers && !a.faults.hanging
}

// admitCommands reports whether direct commands are executed now. Otherwise it queues or delays them.
func (a *Agent) admitCommands(d *protocol.DirectCommands) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.faults.commandsBlocked() {
		return true // the caller aborts the request
	}
	if a.faults.hanging {
		a.faults.hangCommands = append(a.faults.hangCommands, *d)
		a.faults.delayedCount++
		return false
	}
	if a.faults.commandDelay == nil {
		return true
	}
	delay := a.faults.commandDelay(d)
	if delay <= 0 {
		return true
	}
	a.holdCommands(d, delay)
	return false
}

// releaseCommands executes delayed commands, or queues them if the machine hangs. It has no effect on commands that were
// released before.
func (a *Agent) releaseCommands(d *protocol.DirectCommands) {
	a.mu.Lock()
	defer a.mu.Unlock()
	index := slices.Index(a.faults.delayedCommands, d)
	if index < 0 {
		return
	}
	a.faults.delayedCommands = slices.Delete(a.faults.delayedCommands, index, index+1)
	switch {
	case a.faults.removed:
	case a.faults.hanging:
		a.faults.hangCommands = append(a.faults.hangCommands, *d)
	default:
		a.applyDelayed(d)
	}
}

// applyDelayed executes or rejects delayed commands and counts the outcome. The caller holds the lock.
func (a *Agent) applyDelayed(d *protocol.DirectCommands) {
	if a.applyCommands(d) {
		a.faults.executedCount++
	} else {
		a.faults.rejectedCount++
	}
}

// nextHeartbeat creates a heartbeat for a controller and reports whether it arrives there now.
func (a *Agent) nextHeartbeat(client *http.Client, node string) (body []byte, incarnation uint64, arrives bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	body = protocol.Encode(a.heartbeat())
	arrives = !a.faults.heartbeatsBlocked(node)
	held := arrives && a.faults.holdNext > 0
	if held {
		a.faults.holdNext--
	}
	if (held || arrives && a.faults.copyHeartbeats) && len(a.faults.heldHeartbeats) < maxHeldHeartbeats {
		a.faults.heldHeartbeats = append(a.faults.heldHeartbeats, body)
	}
	a.scheduleCopy(client, node, body)
	return body, a.incarnation, arrives && !held
}

// scheduleCopy schedules the repeated delivery of a heartbeat, if the fault is active.
func (a *Agent) scheduleCopy(client *http.Client, node string, body []byte) {
	if a.faults.repeatDelay == nil || a.faults.heartbeatsBlocked(node) {
		return
	}
	if after := a.faults.repeatDelay(); after > 0 {
		url := "http://" + a.controllers[node] + protocol.PathHeartbeat
		time.AfterFunc(after, func() { a.deliverCopy(client, url, body) })
	}
}

// deliverCopy sends a copy of an earlier heartbeat, unless the network is disconnected, and ignores the answer.
func (a *Agent) deliverCopy(client *http.Client, url string, body []byte) (arrived bool) {
	a.mu.Lock()
	disconnected := a.faults.disconnected
	a.mu.Unlock()
	if disconnected {
		return false
	}
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp.Body.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults.repeatCount++
	return true
}
