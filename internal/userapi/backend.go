package userapi

import (
	"context"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// Backend is what the handler needs of its controller. Its methods may be called at the same time.
type Backend interface {
	// MachineTypes are those that the cloud rents, nil while they are unknown.
	MachineTypes() []protocol.MachineType

	// Healthy says whether the controller can serve users.
	Healthy() bool

	// Progress counts the tasks of a job that are done and that run, for display.
	Progress(uid string) (done, running int)

	// IsActive says that the store has the job as active, by a read begun after the call; it is false if unsure.
	IsActive(ctx context.Context, uid string) bool

	// Admit says whether a new job can be taken now and, if not, after how many seconds to come back.
	Admit(spec *protocol.Submission) (taken bool, retryAfterSeconds int)

	// JobAccepted is called once a job has been written to the store, at a version.
	JobAccepted(job ActiveJob, version uint64)

	// JobEnded is called once an end has been read from or written to the store.
	JobEnded(uid string, end JobEnd)

	// StoreTrusted says whether the store has what it acknowledged, as far as known.
	StoreTrusted() bool

	// KnownActiveJob is an active job as the controller knows it; version 0 means that the store lost it and it has
	// not been written back yet.
	KnownActiveJob(uid string) (job ActiveJob, version uint64, ok bool)

	// CertainlyNeverAccepted says whether a job that this controller does not know was surely never accepted.
	CertainlyNeverAccepted(ctx context.Context) bool

	// ReportMissing is called when the store lacks a job that it may have acknowledged.
	ReportMissing(uid string)

	// CopyToPeer has a peer remember a job, or else an end, before a user is told of it.
	CopyToPeer(ctx context.Context, job *ActiveJob, uid string, end JobEnd)

	// ConfirmingCancellation is called before a user is told that a job is cancelled.
	ConfirmingCancellation(uid string, end JobEnd)
}

// Teams looks up the teams' configuration.
type Teams interface {
	// Team is a team that takes new jobs.
	Team(name string) (t settings.Team, known bool)

	// Conditions are what must hold in the store when a job of the team is accepted, as that its configuration is
	// still the one that was looked up.
	Conditions(name string) []protocol.Condition
}

// settingsTeams are those of the settings.
type settingsTeams map[string]settings.Team

// Team finds a team.
func (t settingsTeams) Team(name string) (settings.Team, bool) {
	team, known := t[name]
	return team, known
}

// Conditions is nil: the settings do not change.
func (settingsTeams) Conditions(string) []protocol.Condition { return nil }
