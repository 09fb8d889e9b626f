package snapshot

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/tomlfile"
	"topazhollow/internal/wait"
)

// Config is the settings file of topazhollowctl snapshot.
type Config struct {
	State     string  `toml:"state"`          // address of the state service
	Dir       string  `toml:"dir"`            // directory of the archive
	RPS       float64 `toml:"rps"`            // requests a second
	WriteRPS  float64 `toml:"write_rps"`      // changes a second during a restore
	ValueKB   float64 `toml:"value_kb"`       // largest value of the service, as in the controllers' settings
	TxnOps    int     `toml:"txn_ops"`        // most operations in a transaction of the service
	FullEvery float64 `toml:"full_minutes"`   // interval of full copies, which also detect keys that disappeared without a delete
	Keep      float64 `toml:"keep_hours"`     // older copies are removed, except the newest and those from before a loss
	Control   string  `toml:"control_record"` // key of the controllers' control record
}

// DefaultConfig returns the values of settings that the file leaves out.
func DefaultConfig() *Config {
	return &Config{State: "127.0.0.1:2379", Dir: "target/snapshot", RPS: 5, WriteRPS: 10, ValueKB: 8, TxnOps: 12, FullEvery: 30, Keep: 48, Control: "w/c"}
}

// LoadConfig reads and validates a settings file.
func LoadConfig(path string) (*Config, error) {
	c := DefaultConfig()
	if err := tomlfile.Load(path, c); err != nil {
		return nil, err
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func (c *Config) check() error {
	switch {
	case c.State == "":
		return errors.New("field state: an address with a port is expected")
	case c.Dir == "":
		return errors.New("field dir: a directory is expected")
	case c.Control == "":
		return errors.New("field control_record: a key is expected")
	}
	return tomlfile.CheckBounds(tomlfile.In("rps", c.RPS, 0.1, 1e6), tomlfile.In("write_rps", c.WriteRPS, 0.1, 1e6),
		tomlfile.In("value_kb", c.ValueKB, 1, 1<<16), tomlfile.In("txn_ops", float64(c.TxnOps), 4, 1e4),
		tomlfile.In("full_minutes", c.FullEvery, 0.01, 1e5), tomlfile.In("keep_hours", c.Keep, 0, 1e5))
}

// String formats the settings as a file.
func (c *Config) String() string { return tomlfile.String(c) }

// client returns a client that uses the full configured rates.
func (c *Config) client() *kvstore.Client {
	const singleControllerShare = 0.85 // share of the rates that kvstore.New gives a single controller
	return kvstore.New(c.State, settings.KVStore{RequestsPerSecond: c.RPS / singleControllerShare, ChangesPerSecond: c.WriteRPS / singleControllerShare, ValueKB: c.ValueKB, ChangesPerTransaction: c.TxnOps}, 1)
}

// Follower continuously copies the state service into an archive.
type Follower struct {
	config  *Config
	archive *Archive
	client  *kvstore.Client
	log     *slog.Logger

	keys         map[string]Entry // contents of the service as followed; nil before the first copy, empty after a loss
	copyID       uint64           // copy that changes are appended to; 0: a full copy is needed
	revision     uint64
	storeID      string // store ID in the control record; it changes with each epoch after a loss
	lastFullCopy time.Time
}

// NewFollower returns a follower that has not read the service yet.
func NewFollower(config *Config, a *Archive, log *slog.Logger) *Follower {
	return &Follower{config: config, archive: a, client: config.client(), log: log}
}

// Run follows the service until the context ends or writing to the archive fails.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case err == nil:
			continue
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, errArchive):
			return err
		case errors.Is(err, kvstore.ErrRevisionDecreased):
			if err := f.recordLoss(ctx, "its revision went back"); err != nil {
				return err
			}
		case errors.Is(err, kvstore.ErrCompacted):
			f.log.Info("changes since the last read were compacted; making a full copy")
			f.copyID = 0
		default:
			f.log.Info("reading the state service failed", "err", err)
		}
		wait.For(ctx, 300*time.Millisecond)
	}
	return nil
}

// errArchive marks a failed write to the archive, which ends the follower.
var errArchive = errors.New("snapshot: writing the archive failed")

func archiveErr(err error) error {
	if err != nil {
		return fmt.Errorf("%w: %w", errArchive, err)
	}
	return nil
}

// step makes a full copy if one is due, and otherwise appends the next changes.
func (f *Follower) step(ctx context.Context) error {
	if f.copyID == 0 || time.Since(f.lastFullCopy) > settings.Seconds(f.config.FullEvery*60) {
		return f.fullCopy(ctx)
	}
	ch, err := f.client.Watch(ctx, "", f.revision)
	if err != nil || ch.Revision == f.revision {
		return err
	}
	return f.appendChanges(ctx, ch)
}

func (f *Follower) appendChanges(ctx context.Context, ch *protocol.Changes) error {
	var entries []Entry
	for _, e := range ch.Events {
		x := Entry{Key: e.Set + e.Delete, Value: e.Value, Version: e.Version, Deleted: e.Delete != ""}
		if x.Key == f.config.Control && !x.Deleted {
			// Changes of a new epoch must not be added to a copy of an earlier one.
			if store := f.storeIDOf(map[string]Entry{x.Key: x}); f.storeID != "" && store != f.storeID {
				return f.recordLoss(ctx, "the controllers began a new epoch after a data loss")
			}
		}
		entries = append(entries, x)
	}
	if err := f.archive.AppendChanges(ctx, f.copyID, f.revision, ch.Revision, entries, time.Now()); err != nil {
		return archiveErr(err)
	}
	for _, x := range entries {
		apply(f.keys, x)
	}
	f.revision = ch.Revision
	f.storeID = f.storeIDOf(f.keys)
	return nil
}

// fullCopy lists all keys, applies the changes made meanwhile and writes the result as a
// full copy. Before that it compares the keys with those followed so far: a key that
// disappeared without a delete shows a loss of data.
func (f *Follower) fullCopy(ctx context.Context) error {
	listed, revision, err := f.client.List(ctx, "")
	if err != nil {
		return err
	}
	keys := map[string]Entry{}
	for _, e := range listed {
		keys[e.Key] = entryOf(e)
	}
	// The pages of the list were read at different revisions. Applying the changes since the
	// first page makes them consistent.
	if revision, err = f.catchUp(ctx, keys, revision); err != nil {
		return err
	}
	if err := f.compareWithKept(ctx, keys, revision); err != nil {
		return err
	}
	id, err := f.archive.PutCopy(ctx, keys, revision, time.Now())
	if err != nil {
		return archiveErr(err)
	}
	f.keys, f.copyID, f.revision, f.lastFullCopy, f.storeID = keys, id, revision, time.Now(), f.storeIDOf(keys)
	dropped, err := f.archive.Prune(time.Now().Add(-settings.Seconds(f.config.Keep * 3600)))
	if err != nil {
		return archiveErr(err)
	}
	f.log.Info("full copy written", "copy", id, "keys", len(keys), "revision", revision, "dropped", len(dropped))
	return nil
}

// catchUp applies the changes after a revision to keys and returns their new revision.
func (f *Follower) catchUp(ctx context.Context, keys map[string]Entry, after uint64) (uint64, error) {
	ch, err := f.client.Changes(ctx, "", after)
	if err != nil {
		return 0, err
	}
	for _, e := range ch.Events {
		apply(keys, Entry{Key: e.Set + e.Delete, Value: e.Value, Version: e.Version, Deleted: e.Delete != ""})
	}
	return ch.Revision, nil
}

// compareWithKept checks whether the service lost data that this process or an earlier one has copied, and records the
// loss.
func (f *Follower) compareWithKept(ctx context.Context, keys map[string]Entry, revision uint64) error {
	if f.copyID != 0 {
		return f.compareWithFollowed(ctx, keys, revision)
	}
	last, ok := f.archive.Latest()
	if !ok || f.keys != nil {
		return nil
	}
	// The first full copy after a start is compared with the newest copy in the archive.
	old, _, err := f.archive.Load(last.ID, 0)
	if err != nil {
		f.log.Error("reading the newest copy failed", "copy", last.ID, "err", err)
		return nil
	}
	reason := f.lossReason(old, last.LastRevision, keys, revision)
	if reason == "" || last.LossReason != "" {
		return nil
	}
	f.copyID = last.ID
	return f.recordLoss(ctx, reason)
}

// compareWithFollowed checks for followed keys that are missing or older without a change that explains it.
func (f *Follower) compareWithFollowed(ctx context.Context, keys map[string]Entry, revision uint64) error {
	if _, err := f.catchUp(ctx, f.keys, f.revision); err != nil {
		return err
	}
	missing := 0
	for name, e := range f.keys {
		if now, ok := keys[name]; e.Version <= revision && (!ok || now.Version < e.Version) {
			missing++
		}
	}
	if missing == 0 {
		return nil
	}
	return f.recordLoss(ctx, fmt.Sprintf("%d keys disappeared or went back without a change", missing))
}

// lossReason returns why the service must have lost data since a copy, or "" if there is no sign of that.
func (f *Follower) lossReason(old map[string]Entry, last uint64, keys map[string]Entry, revision uint64) string {
	before, now := f.storeIDOf(old), f.storeIDOf(keys)
	switch {
	case revision < last:
		return "its revision went back"
	case before != "" && before != now:
		return "the controllers began a new epoch after a data loss"
	}
	for name := range old {
		_, there := keys[name]
		if uid, final := strings.CutPrefix(name, FinalKey); final && !there && uid != "" {
			return "the record of an ended job is missing, which is never deleted"
		}
	}
	return ""
}

// recordLoss marks the current copy as the one before a loss of data. The next step makes
// a full copy of what the service still has, in addition to it.
func (f *Follower) recordLoss(ctx context.Context, why string) error {
	f.log.Error("state service lost data; the copy from before the loss is kept until it is pruned by its ID", "copy", f.copyID, "why", why)
	if f.copyID != 0 {
		if err := f.archive.MarkLost(ctx, f.copyID, why, time.Now()); err != nil {
			return archiveErr(err)
		}
	}
	f.client.ForgetRevisions()
	f.copyID, f.revision, f.storeID = 0, 0, ""
	f.keys = map[string]Entry{}
	return nil
}

// Prefixes of the controllers' keys, as described in docs/data-recovery.md.
const (
	JobKey   = "w/a/"
	FinalKey = "f/"
	PageKey  = "b/"
)

// storeIDOf returns the store ID in the control record, or "" if there is none.
func (f *Follower) storeIDOf(keys map[string]Entry) string {
	r, err := controlRecord(keys, f.config.Control)
	if err != nil || r == nil {
		return ""
	}
	return r.StoreID
}

func controlRecord(keys map[string]Entry, control string) (*leadership.Record, error) {
	e, ok := keys[control]
	if !ok {
		return nil, nil
	}
	var r leadership.Record
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return nil, fmt.Errorf("snapshot: control record: %w", err)
	}
	return &r, nil
}

// epochKey is the key of the record's epoch. Every update of a restore is conditional on it.
func epochKey(r *leadership.Record) string { return datarecovery.EpochKey + r.StoreID }
