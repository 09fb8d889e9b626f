// Package artifactreplication replicates the artifact store: it assigns tasks to replicas, writes the output of
// agents to a quorum of them, decides by consensus what must be decided only once, and repairs replicas that lack
// data. docs/keeper.md describes its guarantees.
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

// State is the configured state of a replica.
type State string

// States of replicas. Joining is not configured: a serving replica reports it until it has all data that it should
// have.
const (
	Serving  State = "serving"
	Draining State = "draining" // gets no new tasks and hands over those that it has
	Gone     State = "gone"     // removed for good, with its data
)

// Member is a replica in the configuration.
type Member struct {
	Name  string `toml:"name"`
	Zone  string `toml:"zone"`
	URL   string `toml:"url"`
	State State  `toml:"state"`
}

// Members is the configured list of replicas. Every change of the list must raise the epoch by one. The digest and
// identity.json encode it as JSON under the names of its Go fields, so these names must stay.
type Members struct {
	Epoch  uint64   `toml:"epoch"`
	Copies int      `toml:"copies"` // replicas of each task
	Acks   int      `toml:"acks"`   // replicas that must hold a write durably before it is acknowledged
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
		return fmt.Errorf("field members.acks: %d is not a majority of %d copies", m.Acks, m.Copies)
	}
	seen, serving, listed := map[string]bool{}, 0, false
	for i, x := range m.List {
		field := fmt.Sprintf("field members.keeper[%d]", i)
		u, err := url.Parse(x.URL)
		switch {
		case x.Name == "" || len(x.Name) > 64:
			return fmt.Errorf("%s.name: 1 to 64 bytes are expected", field)
		case seen[x.Name]:
			return fmt.Errorf("%s.name: %s is listed twice", field, x.Name)
		case err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https"):
			return fmt.Errorf("%s.url: %q is not an address like https://host:port", field, x.URL)
		case x.State != Serving && x.State != Draining && x.State != Gone:
			return fmt.Errorf("%s.state: %q is not serving, draining or gone", field, x.State)
		}
		seen[x.Name] = true
		if x.State == Serving {
			serving++
		}
		listed = listed || (x.Name == self && x.State != Gone)
	}
	if !listed {
		return fmt.Errorf("field name: %q is not listed in members.keeper, or gone", self)
	}
	if serving == 0 {
		return errors.New("field members.keeper: none is serving")
	}
	return nil
}

// ReplicasOf lists the replicas of a task in the order of their rank. It uses rendezvous hashing (Thaler and
// Ravishankar, 1998) and prefers zones that hold no replica of the task yet.
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
	for _, reuseZones := range []bool{false, true} {
		for _, x := range all {
			if len(names) < m.Copies && !slices.Contains(names, x.Name) && (reuseZones || !used[x.Zone]) {
				names = append(names, x.Name)
				used[x.Zone] = true
			}
		}
	}
	return names
}

// IsReplica reports whether a replica is one of a task's.
func (m *Members) IsReplica(self, job string, task int) bool {
	return slices.Contains(m.ReplicasOf(job, task), self)
}

// majority returns the size of a majority of n replicas.
func majority(n int) int { return n/2 + 1 }

// acknowledgementsNeeded returns how many of a task's n replicas must acknowledge a write.
func (m *Members) acknowledgementsNeeded(n int) int { return min(n, max(m.Acks, majority(n))) }

// digest identifies a list; it differs between different lists of the same epoch.
func (m *Members) digest() string {
	return fmt.Sprintf("%d.%016x", m.Epoch, xxhash.Sum64(protocol.Encode(m)))
}

// identity is the state of a replica that survives restarts. Lists begins with the list for which the replica last had
// all data; the later ones are those in force since then. It is empty if the replica never had all data, lost its disk
// or skipped a list. A replica with an empty directory creates a new identity without lists, and so is not counted
// until it has all data that it should have.
type identity struct {
	Disk        string    `json:"disk"`
	Incarnation uint64    `json:"incarnation"` // number of starts on this directory
	Lists       []Members `json:"lists"`
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
			return nil, fmt.Errorf("field members.epoch: %d is lower than %d, which was in force here", cur.Epoch, last.Epoch)
		case cur.Epoch == last.Epoch && cur.digest() != last.digest():
			return nil, fmt.Errorf("field members.epoch: the list was changed without raising it above %d", cur.Epoch)
		case cur.Epoch == last.Epoch+1:
			id.Lists = append(id.Lists, *cur)
		case cur.Epoch > last.Epoch: // this replica may lack writes made under the lists in between
			id.Lists = nil
		}
	}
	return id, id.save()
}

// isComplete reports whether the replica has everything that it should have of a task, so that it may vote and be
// counted by readers.
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

// markSynced records that the replica has everything that it should have by a list.
func (id *identity) markSynced(cur *Members) error {
	id.Lists = []Members{*cur}
	return id.save()
}

// save writes the identity durably.
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
