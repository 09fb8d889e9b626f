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
	Dir       string  `toml:"dir"`            // of the archive
	RPS       float64 `toml:"rps"`            // requests a second that it may take of the service's rate
	WriteRPS  float64 `toml:"write_rps"`      // changes a second of a restore
	ValueKB   float64 `toml:"value_kb"`       // the service's bounds, as in the controllers' settings
	TxnOps    int     `toml:"txn_ops"`        //
	FullEvery float64 `toml:"full_minutes"`   // between full copies, which also find what was lost in silence
	Keep      float64 `toml:"keep_hours"`     // copies older than that go, but for the newest and those before a loss
	Control   string  `toml:"control_record"` // key of the controllers' record
}

// DefaultConfig holds where the file says nothing.
func DefaultConfig() *Config {
	return &Config{State: "127.0.0.1:2379", Dir: "target/snapshot", RPS: 5, WriteRPS: 10, ValueKB: 8, TxnOps: 12, FullEvery: 30, Keep: 48, Control: "w/c"}
}

// LoadConfig reads and checks a settings file.
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

// String is the settings as a file.
func (c *Config) String() string { return tomlfile.String(c) }

// client is one with all of the stated rate.
func (c *Config) client() *kvstore.Client {
	const held = 0.85 // of the rates is what kvstore.New gives a single controller
	return kvstore.New(c.State, settings.KVStore{RequestsPerSecond: c.RPS / held, ChangesPerSecond: c.WriteRPS / held, ValueKB: c.ValueKB, ChangesPerTransaction: c.TxnOps}, 1)
}

// Follower copies the state service into an archive for as long as it runs.
type Follower struct {
	config  *Config
	archive *Archive
	client  *kvstore.Client
	log     *slog.Logger

	keys         map[string]Entry // the service as followed; nil before the first copy
	copyID       uint64           // of the copy that changes are added to
	revision     uint64
	storeID      string // the generation's name
	lastFullCopy time.Time
}

// NewFollower is a follower that has read nothing yet.
func NewFollower(set *Config, a *Archive, log *slog.Logger) *Follower {
	return &Follower{config: set, archive: a, client: set.client(), log: log}
}

// Run follows until the context ends or the archive can't be written.
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
		case errors.Is(err, kvstore.ErrRevisionWentBack):
			if err := f.recordLoss(ctx, "its revision went back"); err != nil {
				return err
			}
		case errors.Is(err, kvstore.ErrCompacted):
			f.log.Info("fell behind the service's changes: all is read again")
			f.copyID = 0
		default:
			f.log.Info("state service not read", "err", err)
		}
		wait.For(ctx, 300*time.Millisecond)
	}
	return nil
}

// errArchive marks what the disk refused: who runs the follower is to know.
var errArchive = errors.New("snapshot: archive not written")

func archiveErr(err error) error {
	if err != nil {
		return fmt.Errorf("%w: %w", errArchive, err)
	}
	return nil
}

// step makes a full copy when one is due, or takes in the next changes.
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
			// What belongs to a new generation is not added to the copy of an earlier one.
			if store := f.storeIDOf(map[string]Entry{x.Key: x}); f.storeID != "" && store != f.storeID {
				return f.recordLoss(ctx, "the controllers began a new generation")
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

// fullCopy reads everything, and what changed meanwhile, and writes it as a full fullCopy. What
// was followed and is not there, though no change took it away, was lost in silence.
func (f *Follower) fullCopy(ctx context.Context) error {
	listed, revision, err := f.client.List(ctx, "")
	if err != nil {
		return err
	}
	keys := map[string]Entry{}
	for _, e := range listed {
		keys[e.Key] = entryOf(e)
	}
	// The pages were read one after the other: from the first one's revision on, the changes
	// bring all of them to one moment.
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
	f.log.Info("full copy kept", "copy", id, "keys", len(keys), "revision", revision, "dropped", len(dropped))
	return nil
}

// catchUp applies the changes after a revision to keys, and gives the revision that they are of then.
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

// compareWithKept looks whether the store lost something that was kept, by this process or by the last one, and notes
// the loss.
func (f *Follower) compareWithKept(ctx context.Context, keys map[string]Entry, revision uint64) error {
	if f.copyID != 0 {
		return f.compareWithFollowed(ctx, keys, revision)
	}
	last, ok := f.archive.Latest()
	if !ok || f.keys != nil {
		return nil
	}
	// A follower that starts compares with what the last one kept.
	old, _, err := f.archive.Load(last.ID, 0)
	if err != nil {
		f.log.Error("the newest copy can't be read", "copy", last.ID, "err", err)
		return nil
	}
	reason := f.lossReason(old, last.LastRevision, keys, revision)
	if reason == "" || last.LossReason != "" {
		return nil
	}
	f.copyID = last.ID
	return f.recordLoss(ctx, reason)
}

// compareWithFollowed looks for keys that were followed and are gone though nobody deleted them.
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
	return f.recordLoss(ctx, fmt.Sprintf("%d keys are gone that nobody deleted", missing))
}

// lossReason says why a store can't be the one that a copy was made of, or "".
func (f *Follower) lossReason(old map[string]Entry, last uint64, keys map[string]Entry, revision uint64) string {
	before, now := f.storeIDOf(old), f.storeIDOf(keys)
	switch {
	case revision < last:
		return "its revision went back"
	case before != "" && before != now:
		return "the controllers began a new generation"
	}
	for name := range old {
		_, there := keys[name]
		if uid, final := strings.CutPrefix(name, FinalKey); final && !there && uid != "" {
			return "an end is gone, which is for ever"
		}
	}
	return ""
}

// recordLoss marks what was kept before the service recordLoss data; a copy of what it has now
// follows, beside it.
func (f *Follower) recordLoss(ctx context.Context, why string) error {
	f.log.Error("state service lost data; the copy before that is kept until it is pruned by its number", "copy", f.copyID, "why", why)
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

// Prefixes of the controllers' keys, as docs/data-recovery.md tells.
const (
	JobKey   = "w/a/"
	FinalKey = "f/"
	PageKey  = "b/"
)

// storeIDOf is the name of the generation's store, "" without a record.
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

// epochKey is the generation's own key, which every change of a restore rests on.
func epochKey(r *leadership.Record) string { return datarecovery.EpochKey + r.StoreID }
