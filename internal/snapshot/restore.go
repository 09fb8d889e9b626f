package snapshot

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
	"topazhollow/internal/wait"
)

// Errors of a restore that callers test for.
var (
	ErrNoEpoch = errors.New("snapshot: the controllers have not begun an epoch after a data loss")
	ErrNotLost = errors.New("snapshot: the controllers report no lost data")
)

// Plan describes what a restore would write.
type Plan struct {
	Copy       uint64 `json:"copy"`
	Revision   uint64 `json:"revision"`
	Generation uint64 `json:"generation"`     // epoch that the restore writes to
	Jobs       int    `json:"jobs"`           // active jobs that the service lacks
	Ends       int    `json:"ends"`           // ended jobs whose end the service lacks
	Done       int    `json:"finished_tasks"` // finished tasks of those active jobs
	Teams      int    `json:"teams"`          // teams whose configuration is missing or older
	Newer      int    `json:"newer_there"`    // active jobs of the copy that the service has already, active or ended
	Changes    int    `json:"changes"`        // updates of the service that the restore makes

	record *leadership.Record
	fence  protocol.Condition // condition of every update: the key of the epoch is unchanged
	jobs   []userapi.ActiveJob
	ends   []datarecovery.Page
	done   map[string]*bitset.BitSet
	pages  int // number of the first page that the restore adds for ends
	teams  []kvstore.Update
}

// contents holds the jobs that are stored under the controllers' keys.
type contents struct {
	active map[string]userapi.ActiveJob
	ends   *datarecovery.Ends
	done   map[string]*bitset.BitSet
}

// parseKeys parses the controllers' keys.
func parseKeys(keys map[string]Entry) (*contents, error) {
	c := &contents{active: map[string]userapi.ActiveJob{}, ends: datarecovery.NewEnds(), done: map[string]*bitset.BitSet{}}
	pages := map[string]map[string]string{}
	for name, e := range keys {
		bad := func(err error) error { return fmt.Errorf("snapshot: key %s: %w", name, err) }
		if uid, ok := strings.CutPrefix(name, JobKey); ok {
			var s userapi.ActiveJob
			if err := json.Unmarshal(e.Value, &s); err != nil || s.Spec == nil || s.Spec.UID != uid {
				return nil, bad(errors.Join(errors.New("not a valid job"), err))
			}
			c.active[uid] = s
		} else if uid, ok := strings.CutPrefix(name, FinalKey); ok {
			var final userapi.JobEnd
			if err := json.Unmarshal(e.Value, &final); err != nil {
				return nil, bad(err)
			}
			c.ends.Add(datarecovery.End{UID: uid, Cancelled: final.State == protocol.Cancelled, Tasks: final.Tasks, Team: final.Team})
		} else if strings.HasPrefix(name, datarecovery.EndsKey) {
			ends, err := datarecovery.ReadPage(e.Value)
			if err != nil {
				return nil, bad(err)
			}
			for _, x := range ends {
				c.ends.Add(x)
			}
		} else if strings.HasPrefix(name, PageKey) {
			var parts map[string]string
			if err := json.Unmarshal(e.Value, &parts); err != nil {
				return nil, bad(err)
			}
			pages[name] = parts
		}
	}
	return c, c.parseDone(pages)
}

// parseDone parses the pages with the finished tasks of the active jobs.
func (c *contents) parseDone(pages map[string]map[string]string) error {
	tasks := func(uid string) int {
		if s, ok := c.active[uid]; ok {
			return s.Spec.Tasks
		}
		return 0
	}
	for name, parts := range pages {
		if err := jobstate.ReadParts(parts, tasks, c.done); err != nil {
			return fmt.Errorf("snapshot: key %s: %w", name, err)
		}
	}
	return nil
}

// Restorer restores copies into the state service.
type Restorer struct {
	config *Config
	client *kvstore.Client
}

// NewRestorer returns a restorer with the rates of the settings.
func NewRestorer(config *Config) *Restorer {
	return &Restorer{config: config, client: config.client()}
}

// Plan compares a copy with the contents of the service and writes nothing. Without force
// it returns ErrNotLost if the controllers report no lost data.
func (r *Restorer) Plan(ctx context.Context, a *Archive, id, upTo uint64, force bool) (*Plan, error) {
	keys, revision, err := a.Load(id, upTo)
	if err != nil {
		return nil, err
	}
	old, err := parseKeys(keys)
	if err != nil {
		return nil, err
	}
	current, err := r.listStore(ctx)
	if err != nil {
		return nil, err
	}
	record, err := r.lossRecord(current, force)
	if err != nil {
		return nil, err
	}
	have, err := parseKeys(current)
	if err != nil {
		return nil, err
	}
	p := &Plan{
		Copy:       id,
		Revision:   revision,
		Generation: record.Epoch,
		record:     record,
		fence:      protocol.Condition{Key: epochKey(record), Version: current[epochKey(record)].Version},
		done:       map[string]*bitset.BitSet{},
		pages:      nextEndPage(current),
	}
	p.addJobs(old, have)
	lacking := missingEnds(old, have)
	p.ends = datarecovery.Pages(lacking, r.maxValueBytes())
	if p.teams, err = missingTeams(keys, current); err != nil {
		return nil, err
	}
	p.Jobs, p.Ends, p.Teams = len(p.jobs), len(lacking), len(p.teams)
	p.Changes = p.Teams + p.Jobs + len(p.ends) + 2*len(donePages(p.done, r.maxValueBytes()))
	return p, nil
}

// listStore reads all keys of the service.
func (r *Restorer) listStore(ctx context.Context) (map[string]Entry, error) {
	listed, _, err := r.client.List(ctx, "")
	if err != nil {
		return nil, err
	}
	current := map[string]Entry{}
	for _, e := range listed {
		current[e.Key] = entryOf(e)
	}
	return current, nil
}

// lossRecord returns the control record of the epoch that the controllers began after a loss. Without force it returns
// ErrNotLost if the record reports no lost data.
func (r *Restorer) lossRecord(current map[string]Entry, force bool) (*leadership.Record, error) {
	record, err := controlRecord(current, r.config.Control)
	switch {
	case err != nil:
		return nil, err
	case record == nil || current[epochKey(record)].Version == 0:
		return nil, ErrNoEpoch
	case !record.DataLost && !force:
		return nil, ErrNotLost
	}
	return record, nil
}

// valueOverheadBytes is the size of a value beside its content, in bytes.
const valueOverheadBytes = 64

// maxValueBytes returns the largest size of the content of a value in the service.
func (r *Restorer) maxValueBytes() int { return int(r.config.ValueKB*1024) - valueOverheadBytes }

// missingEnds returns the ends in the copy that the service lacks. An end takes precedence over an active job in the
// service.
func missingEnds(old, have *contents) (lacking []datarecovery.End) {
	for _, x := range old.ends.All() {
		if _, ended := have.ends.Get(x.UID); !ended {
			lacking = append(lacking, x)
		}
	}
	return lacking
}

// addJobs adds to the plan the active jobs of the copy that the service lacks, with their finished tasks.
func (p *Plan) addJobs(old, have *contents) {
	for _, uid := range slices.Sorted(maps.Keys(old.active)) {
		_, active := have.active[uid]
		_, ended := have.ends.Get(uid)
		if active || ended {
			p.Newer++
			continue
		}
		p.jobs = append(p.jobs, old.active[uid])
		if d := old.done[uid]; d != nil && d.Any() {
			p.done[uid] = d
			p.Done += int(d.Count())
		}
	}
}

// nextEndPage returns the number of the page after the last page of ends in the service.
func nextEndPage(current map[string]Entry) (next int) {
	for name := range current {
		text, isPage := strings.CutPrefix(name, datarecovery.EndsKey)
		if number, err := strconv.Atoi(text); isPage && err == nil {
			next = max(next, number+1)
		}
	}
	return next
}

// emptyPageBytes is the size of a page without finished tasks, in bytes.
const emptyPageBytes = 2

// donePages splits finished tasks into pages of at most maxBytes bytes each; a larger job is split into fine parts,
// which controllers of earlier versions ignore.
func donePages(done map[string]*bitset.BitSet, maxBytes int) (pages []map[string]*bitset.BitSet) {
	done = splitLarge(done, maxBytes)
	size := maxBytes + 1 // begins the first page
	for _, uid := range slices.Sorted(maps.Keys(done)) {
		n := len(protocol.Encode(map[string]*bitset.BitSet{uid: done[uid]}))
		if size+n > maxBytes {
			pages = append(pages, map[string]*bitset.BitSet{})
			size = emptyPageBytes
		}
		pages[len(pages)-1][uid] = done[uid]
		size += n
	}
	return pages
}

// splitLarge returns the finished tasks with each job that exceeds a page of maxBytes bytes split into fine parts.
func splitLarge(done map[string]*bitset.BitSet, maxBytes int) map[string]*bitset.BitSet {
	split := map[string]*bitset.BitSet{}
	for uid, tasks := range done {
		if len(protocol.Encode(map[string]*bitset.BitSet{uid: tasks}))+emptyPageBytes > maxBytes {
			maps.Copy(split, jobstate.SplitFinished(uid, tasks))
		} else {
			split[uid] = tasks
		}
	}
	return split
}

// Apply writes a plan to the service: teams, then ends, so that no ended job runs again,
// then finished tasks, then jobs. Every update is conditional on the key of the epoch, and
// the update that adds a job also on the service lacking that job, so that newer data is
// not overwritten. Values that exceed the limit of the service are left out and named in the
// error that Apply returns at the end. Apply can be repeated and calls progress, if not nil, after each update.
func (r *Restorer) Apply(ctx context.Context, p *Plan, progress func(done, all int)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = r.client.Run(ctx) // ends with the context
	}()
	defer func() { cancel(); <-stopped }()
	r.client.SetFence(p.fence)
	count, tooLarge := 0, []error(nil)
	for _, u := range p.updates(r.maxValueBytes()) {
		switch err := r.put(ctx, u); {
		case errors.Is(err, kvstore.ErrTooLarge): // the others are restored all the same
			tooLarge = append(tooLarge, fmt.Errorf("snapshot: not restored: %w", err))
		case err != nil:
			return err
		}
		if count++; progress != nil {
			progress(count, p.Changes)
		}
	}
	return errors.Join(tooLarge...)
}

// updates returns the updates of a plan in the order in which Apply makes them.
func (p *Plan) updates(maxBytes int) []kvstore.Update {
	all := slices.Clone(p.teams) // before the jobs, so that none starts beyond a lowered quota
	for i, page := range p.ends {
		key := datarecovery.EndsKey + strconv.Itoa(p.pages+i)
		all = append(all, kvstore.Update{
			Conditions: []protocol.Condition{{Key: key}},
			Changes:    []protocol.Op{{Set: key, Value: protocol.Encode(page)}},
		})
	}
	var finished []string
	for i, page := range donePages(p.done, maxBytes) {
		key := fmt.Sprintf("%s%d-%d", datarecovery.FinishedKey, p.Copy, i)
		all = append(all, kvstore.Update{Changes: []protocol.Op{{Set: key, Value: protocol.Encode(page)}}})
		finished = append(finished, key)
	}
	for _, s := range p.jobs {
		uid := s.Spec.UID
		all = append(all, kvstore.Update{
			Conditions: []protocol.Condition{{Key: JobKey + uid}, {Key: FinalKey + uid}},
			Changes:    []protocol.Op{{Set: JobKey + uid, Value: protocol.Encode(s)}},
		})
	}
	for _, key := range finished { // by now every live controller has read the page, and the owners of the jobs write it to their own pages
		all = append(all, kvstore.Update{Changes: []protocol.Op{{Delete: key}}})
	}
	return all
}

// restoreRetryDelay is the delay before an update is retried that the service refused or did not answer.
const restoreRetryDelay = 300 * time.Millisecond

// put commits an update and retries it during outages. A conflict means that the service has newer data, which is kept.
func (r *Restorer) put(ctx context.Context, u kvstore.Update) error {
	for {
		_, err := r.client.Commit(ctx, u)
		switch {
		case errors.Is(err, kvstore.ErrUpdatesHeld), errors.Is(err, kvstore.ErrRevisionDecreased):
			return fmt.Errorf("%w: the state service lost data again", ErrNoEpoch)
		case err == nil || errors.Is(err, kvstore.ErrConflict):
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, kvstore.ErrInvalid):
			return err
		}
		if !wait.For(ctx, restoreRetryDelay) {
			return ctx.Err()
		}
	}
}

// Declare clears DataLost in the control record: from then on the controllers report a job
// that none of them remembers as unknown. changed reports whether DataLost was set.
func (r *Restorer) Declare(ctx context.Context) (changed bool, err error) {
	for range 5 {
		e, err := r.client.GetControl(ctx, r.config.Control)
		if err != nil {
			return false, err
		}
		if e == nil {
			return false, ErrNoEpoch
		}
		record, err := controlRecord(map[string]Entry{r.config.Control: entryOf(*e)}, r.config.Control)
		if err != nil {
			return false, err
		}
		if !record.DataLost {
			return false, nil
		}
		record.DataLost, record.PreviousVersion = false, e.Version
		m, err := r.client.GetControl(ctx, epochKey(record))
		if err != nil {
			return false, err
		}
		if m == nil {
			return false, ErrNoEpoch
		}
		_, _, err = r.client.CommitControl(ctx, protocol.Txn{Conditions: []protocol.Condition{{Key: r.config.Control, Version: e.Version}, {Key: m.Key, Version: m.Version}},
			Then: []protocol.Op{{Set: r.config.Control, Value: protocol.Encode(record)}}})
		if err == nil {
			return true, nil
		} else if !errors.Is(err, kvstore.ErrConflict) {
			return false, err
		}
	}
	return false, fmt.Errorf("snapshot: the control record changes too often: %w", kvstore.ErrConflict)
}
