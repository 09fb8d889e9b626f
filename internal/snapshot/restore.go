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

// Errors of a restore that callers decide by.
var (
	ErrNoEpoch = errors.New("snapshot: the controllers have not begun a generation after a loss")
	ErrNotLost = errors.New("snapshot: the controllers miss nothing")
)

// Plan is what a restore would put back.
type Plan struct {
	Copy       uint64 `json:"copy"`
	Revision   uint64 `json:"revision"`
	Generation uint64 `json:"generation"`
	Jobs       int    `json:"jobs"`           // active ones that the service lacks
	Ends       int    `json:"ends"`           // ends that it lacks
	Done       int    `json:"finished_tasks"` // of those jobs
	Teams      int    `json:"teams"`          // whose configuration it lacks
	Newer      int    `json:"newer_there"`    // jobs of the copy of which the service knows more
	Changes    int    `json:"changes"`        // of the service

	record *leadership.Record
	fence  protocol.Condition
	jobs   []userapi.ActiveJob
	ends   []datarecovery.Page
	done   map[string]*bitset.BitSet
	pages  int
	teams  []kvstore.Update
}

// contents are a copy's jobs as the controllers' keys hold them.
type contents struct {
	active map[string]userapi.ActiveJob
	ends   *datarecovery.Ends
	done   map[string]*bitset.BitSet
}

// parseKeys takes the controllers' keys apart.
func parseKeys(keys map[string]Entry) (*contents, error) {
	c := &contents{active: map[string]userapi.ActiveJob{}, ends: datarecovery.NewEnds(), done: map[string]*bitset.BitSet{}}
	pages := map[string]map[string]string{}
	for name, e := range keys {
		bad := func(err error) error { return fmt.Errorf("snapshot: key %s: %w", name, err) }
		if uid, ok := strings.CutPrefix(name, JobKey); ok {
			var s userapi.ActiveJob
			if err := json.Unmarshal(e.Value, &s); err != nil || s.Spec == nil || s.Spec.UID != uid {
				return nil, bad(errors.Join(errors.New("no job"), err))
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
	return c, c.readDone(pages)
}

// readDone reads the pages of finished tasks of the active jobs.
func (c *contents) readDone(pages map[string]map[string]string) error {
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

// Restorer puts a copy back into the state service.
type Restorer struct {
	config *Config
	client *kvstore.Client
}

// NewRestorer is a restorer with the rates of the settings.
func NewRestorer(set *Config) *Restorer { return &Restorer{config: set, client: set.client()} }

// Plan compares a copy with what the service has. It writes nothing. Without force it
// refuses when the controllers say that nothing was lost for good.
func (r *Restorer) Plan(ctx context.Context, a *Archive, id, upTo uint64, force bool) (*Plan, error) {
	keys, revision, err := a.Load(id, upTo)
	if err != nil {
		return nil, err
	}
	old, err := parseKeys(keys)
	if err != nil {
		return nil, err
	}
	now, err := r.listStore(ctx)
	if err != nil {
		return nil, err
	}
	record, err := r.lossRecord(now, force)
	if err != nil {
		return nil, err
	}
	have, err := parseKeys(now)
	if err != nil {
		return nil, err
	}
	p := &Plan{
		Copy:       id,
		Revision:   revision,
		Generation: record.Epoch,
		record:     record,
		fence:      protocol.Condition{Key: epochKey(record), Version: now[epochKey(record)].Version},
		done:       map[string]*bitset.BitSet{},
		pages:      countEndPages(now),
	}
	p.addJobs(old, have)
	lacking := missingEnds(old, have)
	p.ends = datarecovery.Pages(lacking, r.maxValueBytes())
	if p.teams, err = missingTeams(keys, now); err != nil {
		return nil, err
	}
	p.Jobs, p.Ends, p.Teams = len(p.jobs), len(lacking), len(p.teams)
	p.Changes = p.Teams + p.Jobs + len(p.ends) + 2*len(donePages(p.done, r.maxValueBytes()))
	return p, nil
}

// listStore reads all that the store has.
func (r *Restorer) listStore(ctx context.Context) (map[string]Entry, error) {
	listed, _, err := r.client.List(ctx, "")
	if err != nil {
		return nil, err
	}
	now := map[string]Entry{}
	for _, e := range listed {
		now[e.Key] = entryOf(e)
	}
	return now, nil
}

// lossRecord is the control record of the epoch that the controllers began after a loss. Without force it is
// ErrNotLost if they say that nothing was lost for good.
func (r *Restorer) lossRecord(now map[string]Entry, force bool) (*leadership.Record, error) {
	record, err := controlRecord(now, r.config.Control)
	switch {
	case err != nil:
		return nil, err
	case record == nil || now[epochKey(record)].Version == 0:
		return nil, ErrNoEpoch
	case !record.DataLost && !force:
		return nil, ErrNotLost
	}
	return record, nil
}

// valueOverhead is what a value takes beside its content, in bytes.
const valueOverhead = 64

// maxValueBytes is how many bytes of content a value of the store may have.
func (r *Restorer) maxValueBytes() int { return int(r.config.ValueKB*1024) - valueOverhead }

// missingEnds are the ends of the copy that the store lacks; an end beats whatever the store has of the job.
func missingEnds(old, have *contents) (lacking []datarecovery.End) {
	for _, x := range old.ends.All() {
		if _, ended := have.ends.Get(x.UID); !ended {
			lacking = append(lacking, x)
		}
	}
	return lacking
}

// addJobs plans the active jobs of the copy, with their finished tasks, of which the store has nothing newer.
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

// countEndPages is the number behind that of the last page of ends in the store.
func countEndPages(now map[string]Entry) (pages int) {
	for name := range now {
		text, isPage := strings.CutPrefix(name, datarecovery.EndsKey)
		if number, err := strconv.Atoi(text); isPage && err == nil {
			pages = max(pages, number+1)
		}
	}
	return pages
}

// donePages parts finished tasks into values of a size.
func donePages(done map[string]*bitset.BitSet, room int) (pages []map[string]*bitset.BitSet) {
	size := room + 1
	for _, uid := range slices.Sorted(maps.Keys(done)) {
		n := len(protocol.Encode(map[string]*bitset.BitSet{uid: done[uid]}))
		if size+n > room {
			pages = append(pages, map[string]*bitset.BitSet{})
			size = 2
		}
		pages[len(pages)-1][uid] = done[uid]
		size += n
	}
	return pages
}

// Apply carries out a plan: ends first, so that nothing that ended runs again, then
// finished tasks, then jobs. Every change rests on the generation's key and on the
// service lacking the job, so that what came meanwhile stays; it can be repeated.
func (r *Restorer) Apply(ctx context.Context, p *Plan, tell func(done, all int)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ran := make(chan struct{})
	go func() {
		defer close(ran)
		_ = r.client.Run(ctx) // ends with the context
	}()
	defer func() { cancel(); <-ran }()
	r.client.SetFence(p.fence)
	count := 0
	for _, u := range p.updates(r.maxValueBytes()) {
		if err := r.put(ctx, u); err != nil {
			return err
		}
		if count++; tell != nil {
			tell(count, p.Changes)
		}
	}
	return nil
}

// updates are the plan's updates in the order in which they are made.
func (p *Plan) updates(room int) []kvstore.Update {
	all := slices.Clone(p.teams) // before the jobs, so that none starts beyond a lowered quota
	for i, page := range p.ends {
		key := datarecovery.EndsKey + strconv.Itoa(p.pages+i)
		all = append(all, kvstore.Update{
			Conditions: []protocol.Condition{{Key: key}},
			Changes:    []protocol.Op{{Set: key, Value: protocol.Encode(page)}},
		})
	}
	var finished []string
	for i, page := range donePages(p.done, room) {
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
	for _, key := range finished { // every controller that lives has read it, and the owners write it to their pages
		all = append(all, kvstore.Update{Changes: []protocol.Op{{Delete: key}}})
	}
	return all
}

// restoreRetryDelay is between tries of an update while the store refuses or does not answer.
const restoreRetryDelay = 300 * time.Millisecond

// put commits an update, again and again through outages. A conflict means that the store has something newer, which
// stays.
func (r *Restorer) put(ctx context.Context, u kvstore.Update) error {
	for {
		_, err := r.client.Commit(ctx, u)
		switch {
		case errors.Is(err, kvstore.ErrUpdatesHeld), errors.Is(err, kvstore.ErrRevisionWentBack):
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

// Declare ends the search for what nobody remembers: from then on a job that is not known
// is told to be unknown. It says whether that changed anything.
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
