package controller

import (
	"time"

	"topazhollow/internal/teamconfig"
)

// configOverview is the part of the overview that concerns the teams' configuration.
type configOverview struct {
	Known          uint64                     `json:"known_revision"`
	Age            *float64                   `json:"age_s"` // of the known configuration; nil: none is known
	Fresh          bool                       `json:"fresh"`
	Latest         uint64                     `json:"latest_change"`
	KnownByAll     uint64                     `json:"known_by_all"` // revision up to which every member knows the entries
	RecordVersion  uint64                     `json:"record"`       // version of the membership record for known_by_all
	Lagging        []teamconfig.LaggingMember `json:"behind"`
	NotInForce     []pendingChange            `json:"not_in_force"`
	Unwritten      int                        `json:"unwritten"`        // entries lost by the state service, to be written back
	MayLackChanges bool                       `json:"may_lack_changes"` // data was lost that no controller remembers
	Overruled      []teamconfig.Change        `json:"overruled,omitempty"`
	OtherSettings  []string                   `json:"other_settings_file,omitempty"`
	InForce        map[string]uint64          `json:"in_force"` // by team, the number of the last change in force
}

// pendingChange is a change that is not known to be in force, and the owner of its team.
type pendingChange struct {
	Team   string `json:"team"`
	Number uint64 `json:"number"`
	Owner  string `json:"owner"`
}

// configStatus collects the configuration part of the overview; nil if the configuration cannot change.
func (n *Node) configStatus(now time.Time) *configOverview {
	if n.teamConfig == nil {
		return nil
	}
	n.teamConfigStatus(now) // applies this controller's own status, so that a deployment of one is up to date too
	r, c := n.configRecord(), n.teamConfig.config
	lost := n.leadership.Record() != nil && n.leadership.Record().DataLost
	propagation := n.teamConfig.propagation
	o := &configOverview{
		Known:          c.KnownRevision(),
		Fresh:          c.Fresh(now),
		Latest:         c.LatestVersion(),
		KnownByAll:     propagation.KnownByAll(r),
		RecordVersion:  r.Version,
		Lagging:        propagation.Lagging(r, c.LatestVersion(), now),
		Unwritten:      len(c.Unwritten()),
		MayLackChanges: lost,
		Overruled:      c.Overruled(),
		OtherSettings:  propagation.OtherSettings(n.teamConfig.baseDigest),
		InForce:        c.InForce(),
		NotInForce:     []pendingChange{},
	}
	if age, known := c.Age(now); known {
		seconds := age.Seconds()
		o.Age = &seconds
	}
	for _, x := range c.NotInForce() {
		o.NotInForce = append(o.NotInForce, pendingChange{x.Team, x.Entry.Number, r.Owner(x.Team)})
	}
	return o
}
