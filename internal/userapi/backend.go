package userapi

import (
	"context"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// Backend is the handler's interface to its controller. Its methods must be safe for concurrent use.
type Backend interface {
	// MachineTypes returns the machine types that the cloud rents, nil while they are unknown.
	MachineTypes() []protocol.MachineType

	// Healthy reports whether the controller can serve users.
	Healthy() bool

	// Progress returns how many tasks of a job are done and how many are running, for display.
	Progress(uid string) (done, running int)

	// Activity returns whether a job is active, according to a read of the store that started after the call.
	Activity(ctx context.Context, uid string) Activity

	// CatchUp returns once the controller knows all changes of the store that were made before the call.
	CatchUp(ctx context.Context) error

	// AcceptsDependencies reports whether jobs with dependencies may be accepted now. That is not so while a controller
	// runs a version of the program that ignores dependencies.
	AcceptsDependencies() bool

	// Admit reports whether a new job can be accepted now and, if not, after how many seconds to retry.
	Admit(spec *protocol.Submission) (admitted bool, retryAfterSeconds int)

	// JobAccepted is called after a job has been written to the store; version is that of its key.
	JobAccepted(job ActiveJob, version uint64)

	// JobEnded is called after the end of a job has been read from the store or written to it.
	JobEnded(uid string, end JobEnd)

	// StoreTrusted reports whether the store still holds everything it acknowledged, as far as is known.
	StoreTrusted() bool

	// KnownActiveJob returns an active job that the controller has in memory. Version 0 means that the store lost the
	// job and that it has not been written back yet.
	KnownActiveJob(uid string) (job ActiveJob, version uint64, ok bool)

	// CertainlyNeverAccepted reports whether a job that this controller does not know was certainly never accepted.
	CertainlyNeverAccepted(ctx context.Context) bool

	// ReportMissing is called when the store lacks a job that it may have acknowledged.
	ReportMissing(uid string)

	// CopyToPeer sends a copy of a job, or of an end if job is nil, to a peer. It is called before the user's request
	// is answered.
	CopyToPeer(ctx context.Context, job *ActiveJob, uid string, end JobEnd)

	// ConfirmingCancellation is called before an answer to a user confirms that a job is cancelled.
	ConfirmingCancellation(uid string, end JobEnd)
}

// Activity is what a controller knows of a job that the store may have as active.
type Activity int

// Values of Activity.
const (
	Uncertain     Activity = iota // the job is not active, or that is unknown
	Active                        // neither ended nor cancelled with a job that it needs
	CancelledWith                 // the store has it as active, but a job that it needs was cancelled
)

// Teams looks up the teams' configuration.
type Teams interface {
	// Team returns a team that accepts new jobs.
	Team(name string) (t settings.Team, known bool)

	// Conditions returns what must hold in the store when a job of the team is accepted, for example that the team's
	// configuration has not changed since it was looked up.
	Conditions(name string) []protocol.Condition
}

// settingsTeams holds the teams of the settings by name.
type settingsTeams map[string]settings.Team

// Team returns a team of the settings.
func (t settingsTeams) Team(name string) (settings.Team, bool) {
	team, known := t[name]
	return team, known
}

// Conditions returns nil because the settings do not change.
func (settingsTeams) Conditions(string) []protocol.Condition { return nil }
