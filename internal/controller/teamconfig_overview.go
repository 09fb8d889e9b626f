package controller

import (
	"time"

	"topazhollow/internal/teamconfig"
)

// configOverview is what operators see of the configuration.
type configOverview struct {
	Known     uint64                     `json:"known_revision"`
	Age       *float64                   `json:"age_s"` // of what is known; nil: nothing is
	Fresh     bool                       `json:"fresh"`
	Latest    uint64                     `json:"latest_change"`
	Reached   uint64                     `json:"known_by_all"` // revision up to which every member knows the entries
	Record    uint64                     `json:"record"`       // version of the membership record by which that is said
	Behind    []teamconfig.LaggingMember `json:"behind"`
	Open      []openChange               `json:"not_in_force"`
	Unwritten int                        `json:"unwritten"`        // remembered, and lost by the state service
	Lacks     bool                       `json:"may_lack_changes"` // after a loss that nobody could make up for
	Overruled []teamconfig.Change        `json:"overruled,omitempty"`
	Strangers []string                   `json:"other_settings_file,omitempty"`
	Changes   map[string]uint64          `json:"in_force"` // numbers of the teams' changes that are in force
}

// openChange is a change that is not known to be in force, and whom it waits for.
type openChange struct {
	Team   string `json:"team"`
	Number uint64 `json:"number"`
	Owner  string `json:"owner"`
}

func (n *Node) configStatus(now time.Time) *configOverview {
	if n.teamConfig == nil {
		return nil
	}
	n.teamConfigStatus(now) // applies its own status, so that a single controller is up to date too
	r, c := n.configRecord(), n.teamConfig.config
	lost := n.leadership.Record() != nil && n.leadership.Record().DataLost
	propagation := n.teamConfig.propagation
	o := &configOverview{
		Known:     c.KnownRevision(),
		Fresh:     c.Fresh(now),
		Latest:    c.LatestVersion(),
		Reached:   propagation.KnownByAll(r),
		Record:    r.Version,
		Behind:    propagation.Lagging(r, c.LatestVersion(), now),
		Unwritten: len(c.Unwritten()),
		Lacks:     lost,
		Overruled: c.Overruled(),
		Strangers: propagation.OtherSettings(n.teamConfig.baseDigest),
		Changes:   c.InForce(),
		Open:      []openChange{},
	}
	if age, known := c.Age(now); known {
		seconds := age.Seconds()
		o.Age = &seconds
	}
	for _, x := range c.NotInForce() {
		o.Open = append(o.Open, openChange{x.Team, x.Entry.Number, r.Owner(x.Team)})
	}
	return o
}
