// Package teamstore commits operators' changes to the teams' configuration to the state service, through the same
// client as the controllers. internal/teamconfig decides how controllers apply the changes.
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

// Prefix is the prefix of the teams' keys, which every controller watches.
const Prefix = userapi.WatchedPrefix + "t/"

// Errors that callers distinguish with errors.Is.
var (
	ErrNoRecord = errors.New("the state service has no control record with the key of its epoch: no controller uses it, or it lost data")
	ErrTeamName = errors.New("a team name must consist of 1 to 100 letters, digits, dots, hyphens and underscores")
)

// retryInterval is the delay before a change is retried after a conflict or a request without an answer.
const retryInterval = 200 * time.Millisecond

// Writer commits changes. It is safe for concurrent use; changes of different teams share transactions.
type Writer struct {
	client *kvstore.Client
	base   []settings.Team
}

// New returns a writer that uses a client of a deployment's state service. The client must have the share of the rate
// limits of one more controller, and its Run must be running.
func New(client *kvstore.Client, base []settings.Team) *Writer { return &Writer{client, base} }

// BindEpoch reads the present epoch of the state service's data and makes all changes conditional on it, so that they
// fail in any other epoch.
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

// Change applies edit to a team's entry and commits the result. A team without an entry starts from its amounts in the
// settings file, and a team that is not there either, for which known is false, from zero. After a conflict Change
// reads the entry again and retries. If there was no answer, reading the entry shows whether the change was made.
func (w *Writer) Change(ctx context.Context, team string, edit func(e *teamconfig.Entry, known bool) error) (Committed, error) {
	if !teamconfig.ValidTeam(team) {
		return Committed{}, fmt.Errorf("%w: %q", ErrTeamName, team)
	}
	change := rand.Text()
	for {
		e, version, known, err := w.read(ctx, team)
		if err == nil {
			if e.ChangeID == change { // an earlier attempt without an answer was committed
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
			return Committed{}, fmt.Errorf("unknown whether the change was committed: %w", err)
		case <-time.After(retryInterval):
		}
	}
}

// read returns a team's entry and the version of its key, which is 0 if the key does not exist. Without a key the entry
// is that of the settings file; known is false if the team is not there either.
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

// List returns all entries.
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
