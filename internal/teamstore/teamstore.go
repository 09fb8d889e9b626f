// Package teamstore commits operators' changes of the teams' configuration to the state service, by the client that the
// controllers use. internal/teamconfig decides what the controllers do by them.
package teamstore

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/teamconfig"
	"topazhollow/internal/userapi"
)

// Prefix is that of the teams' keys, which every controller watches.
const Prefix = userapi.WatchedPrefix + "t/"

// Errors that callers decide by.
var (
	ErrNoRecord = errors.New("the state service has no control record with its generation's key: no controller runs on it, or it lost data")
	ErrTeamName = errors.New("a team's name has letters, digits, points, dashes and underscores only, 100 at the most")
)

// retryInterval is the pause before a change is tried again that met another one or had no answer.
const retryInterval = 200 * time.Millisecond

// Writer commits changes. Its methods may be called at once by many; changes of different teams share transactions.
type Writer struct {
	client *kvstore.Client
	base   []settings.Team
}

// New is a writer to a deployment's state service, with an equal share of the rates beside the controllers. The
// client's Run must be running.
func New(client *kvstore.Client, base []settings.Team) *Writer { return &Writer{client, base} }

// BindEpoch reads which epoch of the state service's data the changes are for. They fail in any other.
func (w *Writer) BindEpoch(ctx context.Context, controlKey string) error {
	e, err := w.client.Get(ctx, controlKey)
	if err != nil {
		return err
	}
	var record leadership.Record
	if e == nil || json.Unmarshal(e.Value, &record) != nil || record.StoreID == "" {
		return ErrNoRecord
	}
	marker, err := w.client.Get(ctx, datarecovery.EpochKey+record.StoreID)
	if err != nil {
		return err
	}
	if marker == nil {
		return ErrNoRecord
	}
	w.client.SetFence(protocol.Condition{Key: marker.Key, Version: marker.Version})
	return nil
}

// Committed is a change that the state service acknowledged.
type Committed struct {
	Team    string           `json:"team"`
	Entry   teamconfig.Entry `json:"entry"`
	Version uint64           `json:"version"`
}

// Change commits what edit makes of a team's entry, which is that of the settings file if the team has none yet, or
// all zero for a new team; known says whether it is one. A conflict has edit tried again on what is there then; an
// answer that did not come is settled by reading.
func (w *Writer) Change(ctx context.Context, team string, edit func(e *teamconfig.Entry, known bool) error) (Committed, error) {
	if !teamconfig.ValidTeam(team) {
		return Committed{}, fmt.Errorf("%w: %q", ErrTeamName, team)
	}
	change := rand.Text()
	for {
		e, version, known, err := w.read(ctx, team)
		if err == nil {
			if e.ChangeID == change { // an earlier try was carried out after all
				return Committed{team, e, version}, nil
			}
			if err := edit(&e, known); err != nil {
				return Committed{}, err
			}
			e.Number, e.ChangeID = e.Number+1, change
			if err := e.Check(); err != nil {
				return Committed{}, err
			}
			key := Prefix + team
			version, err = w.client.Commit(ctx, kvstore.Update{
				Conditions: []protocol.Condition{{Key: key, Version: version}},
				Changes:    []protocol.Op{{Set: key, Value: protocol.Encode(e)}},
			})
			if err == nil {
				return Committed{team, e, version}, nil
			}
		}
		if errors.Is(err, kvstore.ErrUpdatesHeld) || errors.Is(err, kvstore.ErrRevisionDecreased) || errors.Is(err, kvstore.ErrInvalid) {
			return Committed{}, err
		}
		select {
		case <-ctx.Done():
			return Committed{}, fmt.Errorf("not known to be committed: %w", err)
		case <-time.After(retryInterval):
		}
	}
}

// read gives a team's entry and the version of its key, 0 if it has none.
func (w *Writer) read(ctx context.Context, team string) (e teamconfig.Entry, version uint64, known bool, err error) {
	stored, err := w.client.Get(ctx, Prefix+team)
	if err != nil {
		return e, 0, false, err
	}
	if stored != nil {
		err = json.Unmarshal(stored.Value, &e)
		return e, stored.Version, true, err
	}
	for _, t := range w.base {
		if t.Name == team {
			return teamconfig.EntryFromSettings(t), 0, true, nil
		}
	}
	return e, 0, false, nil
}

// List reads all entries.
func (w *Writer) List(ctx context.Context) (all []Committed, err error) {
	entries, _, err := w.client.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	for _, x := range entries {
		c := Committed{Team: x.Key[len(Prefix):], Version: x.Version}
		if err := json.Unmarshal(x.Value, &c.Entry); err != nil {
			return nil, fmt.Errorf("key %s: %w", x.Key, err)
		}
		all = append(all, c)
	}
	return all, nil
}
