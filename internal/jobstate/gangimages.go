package jobstate

import (
	"maps"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// A machine gives up the fetch of an image once no task waits for it. The tasks of a gang whose machines have the image wait
// for the others and exit as incomplete after a time. If the others were stopped then, every attempt would begin the same
// fetches anew. Instead they finish their fetches, while the places of the exited tasks are held for the next attempt.

const (
	firstFetchPatience = 2 * time.Minute // for fetches to finish; doubles each time that it is exceeded
	maxFetchDoublings  = 5
	placeHold          = 5 * time.Second // from the end of the last fetch until the next attempt is placed
)

// imageWait is the state of a gang of which some tasks finish fetching the image after others exited as incomplete.
type imageWait struct {
	since  time.Time      // when the first task exited; zero if the gang does not wait
	until  time.Time      // up to when the places are held
	places map[int]string // machines that tasks exited on, by task index
	failed int            // how often fetches were given up
}

// active reports whether the gang waits.
func (w *imageWait) active() bool { return !w.since.IsZero() }

// patience returns how long fetches may take.
func (w *imageWait) patience() time.Duration {
	return firstFetchPatience << min(w.failed, maxFetchDoublings)
}

// end ends the wait and gives the places up.
func (w *imageWait) end() { *w = imageWait{failed: w.failed} }

// releasePlaces gives up the places on a machine.
func (w *imageWait) releasePlaces(machine string) {
	maps.DeleteFunc(w.places, func(_ int, name string) bool { return name == machine })
}

// HeldPlaces returns the machines that have room for the gang's next attempt, which is not to be used otherwise: one entry
// for each task, sorted.
func (j *Job) HeldPlaces(now time.Time) []string {
	if !now.Before(j.images.until) {
		return nil
	}
	return slices.Sorted(maps.Values(j.images.places))
}

// FormerPlace returns the machine that a task of a gang exited on while others finished fetching the image, or "". It
// has the image.
func (j *Job) FormerPlace(index int) string { return j.images.places[index] }

// recordIncomplete records the exit of a gang's task that is still assigned. If the task waited in vain for others that
// fetch the image, the gang waits for these from now on; began reports whether it is the first such task.
func (j *Job) recordIncomplete(a *attempt, reason protocol.ExitReason, now time.Time) (began bool) {
	if j.Spec.Kind != protocol.Gang {
		return false
	}
	if !j.images.active() && reason == protocol.ReasonIncomplete && j.fetches(a) {
		j.images.since, j.images.until, j.images.places = now, now.Add(placeHold), map[int]string{}
		began = true
	}
	if j.images.active() && (reason == protocol.ReasonIncomplete || reason == protocol.ReasonStopped) {
		j.images.places[a.Index] = a.Machine
	}
	return began
}

// fetches reports whether any attempt of the gang other than one is fetching the image and is not being stopped.
func (j *Job) fetches(other *attempt) bool {
	for _, a := range j.attempts {
		if a != other && a.state == protocol.Pulling && !a.stopping {
			return true
		}
	}
	return false
}

// awaitsImages reports whether tasks of a gang that must restart are left to finish their fetches.
func (j *Job) awaitsImages(now time.Time) bool {
	if !j.images.active() || !j.fetches(nil) {
		return false
	}
	j.images.until = now.Add(placeHold)
	return true
}

// fetchesOverdue reports whether the gang has waited too long for its image.
func (j *Job) fetchesOverdue(now time.Time) bool {
	return j.images.active() && j.fetches(nil) && now.Sub(j.images.since) >= j.images.patience()
}

// giveUpFetches ends the wait for the image. The next attempt avoids the machines that have not fetched it.
func (j *Job) giveUpFetches(now time.Time) {
	for _, a := range j.attempts {
		if a.state == protocol.Pulling {
			j.avoid(a.Machine, now, migrationRetryPause, avoidAfterMigration)
		}
	}
	j.images.end()
	j.images.failed++
}
