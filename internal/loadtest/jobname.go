package loadtest

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// jobName is what a job's ID encodes, so that simulated agents need no job specification.
type jobName struct {
	Number int
	Team   int           // index
	Run    time.Duration // of each task; 0: until it is stopped
}

// String returns the job's ID.
func (n jobName) String() string {
	return fmt.Sprintf("job-%06d-t%d-r%d", n.Number, n.Team, n.Run.Milliseconds())
}

// parseJobName parses a job's ID; ok is false if it has another form.
func parseJobName(uid string) (n jobName, ok bool) {
	parts := strings.Split(uid, "-")
	if len(parts) != 4 || parts[0] != "job" || !strings.HasPrefix(parts[2], "t") || !strings.HasPrefix(parts[3], "r") {
		return n, false
	}
	number, err1 := strconv.Atoi(parts[1])
	team, err2 := strconv.Atoi(parts[2][1:])
	run, err3 := strconv.Atoi(parts[3][1:])
	if err1 != nil || err2 != nil || err3 != nil {
		return n, false
	}
	return jobName{number, team, time.Duration(run) * time.Millisecond}, true
}

// teamName returns the name of team i.
func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// zoneName returns the name of zone i.
func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i) }

// machineName returns the name of machine i.
func machineName(i int) string { return fmt.Sprintf("n-%06d", i) }

// machineType is the only machine type of the simulated cloud.
const machineType = "hollow"
