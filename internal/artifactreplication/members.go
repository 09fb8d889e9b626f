// Package artifactreplication makes several replicas one: it places tasks on them, has what
// agents put out acknowledged by enough of them, decides what must be decided once, and
// repairs what one of them lacks. docs/replica.md says what is promised.
package artifactreplication

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"slices"

	"github.com/cespare/xxhash/v2"

	"topazhollow/internal/protocol"
	"topazhollow/internal/wal"
)

// State is what the settings say of a replica.
type State string

// States of replicas. One that serves but does not have all yet that it should is
// joining by itself; no word in the settings is needed for it.
const (
	Serving  State = "serving"
	Draining State = "draining" // gets nothing new and hands over what it has
	Gone     State = "gone"     // what it had is not coming back
)

// Member is a replica in the settings.
type Member struct {
	Name  string `toml:"name"`
	Zone  string `toml:"zone"`
	URL   string `toml:"url"`
	State State  `toml:"state"`
}

// Members is the settings' list of replicas. Whoever changes it raises the epoch by one.
type Members struct {
	Epoch  uint64   `toml:"epoch"`
	Copies int      `toml:"copies"` // of each task
	Acks   int      `toml:"acks"`   // copies that are durable before a write is acknowledged
	List   []Member `toml:"keeper"`
}

func (m *Members) check(self string) error {
	if m.Epoch == 0 {
		return errors.New("field members.epoch: 1 or more is expected")
	}
	if m.Copies < 1 || m.Copies > 7 {
		return fmt.Errorf("field members.copies: %d is not between 1 and 7", m.Copies)
	}
	if m.Acks <= m.Copies/2 || m.Acks > m.Copies {
		return fmt.Errorf("field members.acks: %d is no majority of %d copies", m.Acks, m.Copies)
	}
	seen, serving, mine := map[string]bool{}, 0, false
	for i, x := range m.List {
		field := fmt.Sprintf("field members.keeper[%d]", i)
		u, err := url.Parse(x.URL)
		switch {
		case x.Name == "" || len(x.Name) > 64:
			return fmt.Errorf("%s.name: 1 to 64 bytes are expected", field)
		case seen[x.Name]:
			return fmt.Errorf("%s.name: %s is there twice", field, x.Name)
		case err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https"):
			return fmt.Errorf("%s.url: %q is no address as https://host:port", field, x.URL)
		case x.State != Serving && x.State != Draining && x.State != Gone:
			return fmt.Errorf("%s.state: %q is not serving, draining or gone", field, x.State)
		}
		seen[x.Name] = true
		if x.State == Serving {
			serving++
		}
		mine = mine || (x.Name == self && x.State != Gone)
	}
	if !mine {
		return fmt.Errorf("field name: %q is not in members.keeper, or gone", self)
	}
	if serving == 0 {
		return errors.New("field members.keeper: none is serving")
	}
	return nil
}

// ReplicasOf lists the replicas of a task in their rank: by rendezvous hashing (Thaler and
// Ravishankar, 1998), zones that have none yet first.
func (m *Members) ReplicasOf(job string, task int) []string {
	type ranked struct {
		*Member
		weight uint64
	}
	var all []ranked
	for i := range m.List {
		if x := &m.List[i]; x.State == Serving {
			all = append(all, ranked{x, xxhash.Sum64String(fmt.Sprintf("%s|%s/%d", x.Name, job, task))})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name)) })
	var names []string
	used := map[string]bool{}
	for _, again := range []bool{false, true} {
		for _, x := range all {
			if len(names) < m.Copies && !slices.Contains(names, x.Name) && (again || !used[x.Zone]) {
				names = append(names, x.Name)
				used[x.Zone] = true
			}
		}
	}
	return names
}

// IsReplica says whether a replica is one of a task's.
func (m *Members) IsReplica(self, job string, task int) bool {
	return slices.Contains(m.ReplicasOf(job, task), self)
}

// majority of so many replicas.
func majority(n int) int { return n/2 + 1 }

// acknowledgementsNeeded is how many of a task's replicas must have a write.
func (m *Members) acknowledgementsNeeded(n int) int { return min(n, max(m.Acks, majority(n))) }

// digest tells lists of the same epoch apart.
func (m *Members) digest() string {
	return fmt.Sprintf("%d.%016x", m.Epoch, xxhash.Sum64(protocol.Encode(m)))
}

// identity is what a replica knows of itself across starts. A replica whose directory
// is empty has a new one, and so knows that it has lost what it had, or never had any.
type identity struct {
	Disk        string    `json:"disk"`
	Incarnation uint64    `json:"incarnation"` // starts of this directory
	Lists       []Members `json:"lists"`       // from the one whose tasks are all here on; empty: none is
	path        string
}

func openIdentity(dir string, cur *Members) (*identity, error) {
	id := &identity{path: filepath.Join(dir, "identity.json")}
	b, err := os.ReadFile(id.path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		var r [8]byte
		_, _ = rand.Read(r[:]) // never fails
		id.Disk = hex.EncodeToString(r[:])
	case err != nil:
		return nil, err
	default:
		if err := json.Unmarshal(b, id); err != nil {
			return nil, fmt.Errorf("%s: %w", id.path, err)
		}
	}
	id.Incarnation++
	if n := len(id.Lists); n > 0 {
		switch last := &id.Lists[n-1]; {
		case cur.Epoch < last.Epoch:
			return nil, fmt.Errorf("field members.epoch: %d, but %d was in force here", cur.Epoch, last.Epoch)
		case cur.Epoch == last.Epoch && cur.digest() != last.digest():
			return nil, fmt.Errorf("field members.epoch: the list was changed without raising it above %d", cur.Epoch)
		case cur.Epoch == last.Epoch+1:
			id.Lists = append(id.Lists, *cur)
		case cur.Epoch > last.Epoch: // what was written under the lists between is not known here
			id.Lists = nil
		}
	}
	return id, id.save()
}

// counts says whether the replica has all of a task that it should, and so may vote and
// be counted by readers.
func (id *identity) isComplete(self, job string, task int) bool {
	for i := range id.Lists {
		if !id.Lists[i].IsReplica(self, job, task) {
			return false
		}
	}
	return len(id.Lists) > 0
}

func (id *identity) isSynced(cur *Members) bool {
	return len(id.Lists) == 1 && id.Lists[0].Epoch == cur.Epoch
}

// synced notes that everything is here that should be by a list.
func (id *identity) markSynced(cur *Members) error {
	id.Lists = []Members{*cur}
	return id.save()
}

// save makes it durable.
func (id *identity) save() error {
	dir := filepath.Dir(id.path)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	f, err := os.OpenFile(id.path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(protocol.Encode(id))
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Rename(id.path+".new", id.path); err != nil {
		return err
	}
	return wal.SyncDir(dir)
}
