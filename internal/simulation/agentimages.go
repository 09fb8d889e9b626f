package simulation

import (
	"time"

	"topazhollow/internal/protocol"
)

// pollInterval is how often a task checks for its image and for the other tasks of its gang.
const pollInterval = 25 * time.Millisecond

// ImageConfig makes agents fetch images, and the tasks of a gang start together.
type ImageConfig struct {
	Fetch    func(machine, image string) time.Duration // returns how long a machine takes to fetch an image
	GangWait time.Duration                             // how long a task waits for the others of its gang
	GangPeer time.Duration                             // how soon a task notices that another one of its running gang is gone
	Gangs    *Gangs                                    // shared by all agents
}

// images is what a machine has of images.
type images struct {
	present map[string]bool
	fetches map[string]time.Time // images being fetched, and when each fetch is complete
}

func newImages() images {
	return images{present: map[string]bool{}, fetches: map[string]time.Time{}}
}

// poll calls a function after pollInterval, or once a hanging machine resumes, unless the attempt has ended by then.
func (a *Agent) poll(id attemptID, status *protocol.TaskStatus, do func()) {
	time.AfterFunc(pollInterval, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		switch {
		case a.tasks[id] != status || status.State == protocol.Exited:
		case a.faults.hanging:
			a.poll(id, status, do)
		default:
			do()
		}
	})
}

// pull lets an attempt wait for its image, which the machine fetches once for all tasks that need it.
func (a *Agent) pull(id attemptID, status *protocol.TaskStatus, spec *protocol.Submission) {
	status.State = protocol.Pulling
	if _, fetching := a.images.fetches[spec.Image]; !fetching && !a.images.present[spec.Image] {
		a.images.fetches[spec.Image] = time.Now().Add(a.config.Images.Fetch(a.name, spec.Image))
	}
	a.awaitImage(id, status, spec)
}

// awaitImage continues once the machine has the image.
func (a *Agent) awaitImage(id attemptID, status *protocol.TaskStatus, spec *protocol.Submission) {
	if complete, fetching := a.images.fetches[spec.Image]; fetching && !time.Now().Before(complete) {
		a.images.present[spec.Image] = true
		delete(a.images.fetches, spec.Image)
	}
	if !a.images.present[spec.Image] {
		a.poll(id, status, func() { a.awaitImage(id, status, spec) })
		return
	}
	a.checker.RecordStart(id.task, a.name, a.machineType, a.zone, a.spot)
	if spec.Kind != protocol.Gang {
		a.begin(id, status)
		return
	}
	status.State = protocol.Waiting
	a.config.Images.Gangs.join(id)
	a.reportSoon()
	a.awaitGang(id, status, spec, time.Now().Add(a.config.Images.GangWait))
}

// giveUpFetch gives the fetch of a task's image up if no other task waits for it. The task has just exited.
func (a *Agent) giveUpFetch(task string) {
	uid, _, _ := protocol.SplitTask(task)
	spec := a.checker.Spec(uid)
	if spec == nil {
		return
	}
	for _, t := range a.tasks {
		other, _, _ := protocol.SplitTask(t.Task)
		if t.State == protocol.Pulling && a.checker.Spec(other).Image == spec.Image {
			return
		}
	}
	delete(a.images.fetches, spec.Image)
}

// begin lets a task run that has its image and its gang.
func (a *Agent) begin(id attemptID, status *protocol.TaskStatus) {
	status.State = protocol.Running
	a.finishLater(id)
	a.reportSoon()
}

// awaitGang begins the task once all tasks of its gang wait, or ends it when it has waited for too long.
func (a *Agent) awaitGang(id attemptID, status *protocol.TaskStatus, spec *protocol.Submission, until time.Time) {
	switch {
	case a.config.Images.Gangs.begins(id, spec.Tasks):
		a.begin(id, status)
		a.watchGang(id, status, time.Now())
	case time.Now().After(until):
		a.exit(status, protocol.ReasonIncomplete)
	default:
		a.poll(id, status, func() { a.awaitGang(id, status, spec, until) })
	}
}

// watchGang completes the task with its gang, and ends it if another task of the running gang has been gone for GangPeer.
func (a *Agent) watchGang(id attemptID, status *protocol.TaskStatus, wholeAt time.Time) {
	done, whole := a.config.Images.Gangs.look(id)
	if whole {
		wholeAt = time.Now()
	}
	switch {
	case done:
		a.finish(status, true)
	case time.Since(wholeAt) > a.config.Images.GangPeer:
		a.exit(status, protocol.ReasonPeers)
	default:
		a.poll(id, status, func() { a.watchGang(id, status, wholeAt) })
	}
}

// reportSoon makes the agent send a heartbeat without waiting for the next one that is due.
func (a *Agent) reportSoon() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}
