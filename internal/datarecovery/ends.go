package datarecovery

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/RoaringBitmap/roaring/v2"
)

// End is how a job ended.
type End struct {
	UID       string `json:"UID"`
	Cancelled bool   `json:"Withdrawn"`
	Tasks     int    `json:"Tasks"`
	Team      string `json:"Team"`
}

// Ends is every job's end that a controller knows. It only grows: an end is for ever.
// Job ids of the usual form, a number of six digits or more, take some ten bytes.
type Ends struct {
	ids       *roaring.Bitmap
	packed    map[uint32]uint32
	others    map[string]End
	teams     []string
	teamIndex map[string]uint32
}

// NewEnds knows none.
func NewEnds() *Ends {
	return &Ends{ids: roaring.New(), packed: map[uint32]uint32{}, others: map[string]End{}, teamIndex: map[string]uint32{}}
}

// A packed end: tasks in 17 bits, the team's index in 14, and whether it was withdrawn.
const (
	taskBits = 17
	teamBits = 14
)

// prefix and digits are the usual form of a job's id.
const idPrefix = "job-"

func parseUsualID(uid string) (uint32, bool) {
	digits, ok := strings.CutPrefix(uid, idPrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 32)
	if err != nil || usualID(uint32(n)) != uid {
		return 0, false
	}
	return uint32(n), true
}

func usualID(n uint32) string { return fmt.Sprintf("%s%06d", idPrefix, n) }

// Learn takes in an end and says whether it was new. The first that was learned stays.
func (e *Ends) Learn(x End) bool {
	if _, known := e.Get(x.UID); known {
		return false
	}
	n, usual := parseUsualID(x.UID)
	team, named := e.teamIndex[x.Team]
	if !named {
		team = uint32(len(e.teams))
	}
	if !usual || team >= 1<<teamBits || x.Tasks < 0 || x.Tasks >= 1<<taskBits {
		e.others[x.UID] = x
		return true
	}
	if !named {
		e.teamIndex[x.Team] = team
		e.teams = append(e.teams, x.Team)
	}
	v := uint32(x.Tasks) | team<<taskBits
	if x.Cancelled {
		v |= 1 << 31
	}
	e.packed[n] = v
	e.ids.Add(n)
	return true
}

// Get finds a job's end.
func (e *Ends) Get(uid string) (End, bool) {
	if n, ok := parseUsualID(uid); ok {
		if v, ok := e.packed[n]; ok {
			return e.unpack(n, v), true
		}
	}
	x, ok := e.others[uid]
	return x, ok
}

func (e *Ends) unpack(n, v uint32) End {
	return End{UID: usualID(n), Cancelled: v>>31 == 1, Tasks: int(v & (1<<taskBits - 1)), Team: e.teams[v>>taskBits&(1<<teamBits-1)]}
}

// Len counts the ends.
func (e *Ends) Len() int { return len(e.packed) + len(e.others) }

// Digest names the ends known, for a peer to find those that are lacking here: a
// compressed bitmap of the usual ids, and the others.
type Digest struct {
	IDs    string   `json:"ids"` // portable Roaring form, base64
	Others []string `json:"others,omitempty"`
}

// Digest sums up what is known.
func (e *Ends) Digest() Digest {
	e.ids.RunOptimize()
	data, err := e.ids.ToBytes()
	if err != nil {
		panic(fmt.Sprintf("datarecovery: bitmap without binary form: %v", err)) // only a failing writer makes one
	}
	return Digest{IDs: base64.StdEncoding.EncodeToString(data), Others: slices.Sorted(maps.Keys(e.others))}
}

// Lacking lists the ends known here that a digest does not name.
func (e *Ends) Lacking(d Digest) ([]End, error) {
	data, err := base64.StdEncoding.DecodeString(d.IDs)
	if err != nil {
		return nil, fmt.Errorf("datarecovery: digest: %w", err)
	}
	theirs := roaring.New()
	if err := theirs.UnmarshalBinary(data); err != nil {
		return nil, fmt.Errorf("datarecovery: digest: %w", err)
	}
	var out []End
	for it := roaring.AndNot(e.ids, theirs).Iterator(); it.HasNext(); {
		n := it.Next()
		out = append(out, e.unpack(n, e.packed[n]))
	}
	for _, uid := range slices.Sorted(maps.Keys(e.others)) {
		if !slices.Contains(d.Others, uid) {
			out = append(out, e.others[uid])
		}
	}
	return out, nil
}

// Page is a number of ends as one value of the state service and as one line between
// controllers.
type Page struct {
	Teams  []string `json:"teams"`
	Data   string   `json:"data,omitempty"` // of each: distance to the last id, packed end
	Others []End    `json:"others,omitempty"`
}

// Pages puts ends on pages of so many bytes at most.
func Pages(ends []End, room int) []Page {
	var pages []Page
	ends = slices.Clone(ends)
	slices.SortFunc(ends, func(a, b End) int { return strings.Compare(a.UID, b.UID) })
	team, teams, size := map[string]int{}, []string{}, 0
	var data []byte
	var others []End
	last := uint32(0)
	flush := func() {
		if len(data) > 0 || len(others) > 0 {
			pages = append(pages, Page{Teams: teams, Data: base64.StdEncoding.EncodeToString(data), Others: others})
		}
		team, teams, size, data, others, last = map[string]int{}, []string{}, 64, nil, nil, 0
	}
	flush()
	for _, x := range ends {
		n, usual := parseUsualID(x.UID)
		usual = usual && x.Tasks >= 0 && x.Tasks < 1<<taskBits
		more := 20
		if !usual {
			more = len(x.UID) + len(x.Team) + 80
		}
		if _, ok := team[x.Team]; !ok {
			more += len(x.Team) + 3
		}
		if size+more > room || (usual && n < last) {
			flush()
		}
		size += more
		if !usual {
			others = append(others, x)
			continue
		}
		at, ok := team[x.Team]
		if !ok {
			at = len(teams)
			team[x.Team] = at
			teams = append(teams, x.Team)
		}
		v := uint64(x.Tasks)<<1 | uint64(at)<<(taskBits+1)
		if x.Cancelled {
			v |= 1
		}
		before := len(data)
		data = binary.AppendUvarint(data, uint64(n-last))
		data = binary.AppendUvarint(data, v)
		size += (len(data)-before)*4/3 + 1 - 20
		last = n
	}
	flush()
	return pages
}

// ReadPage reads a page as the state service holds it.
func ReadPage(value []byte) ([]End, error) {
	var p Page
	if err := json.Unmarshal(value, &p); err != nil {
		return nil, fmt.Errorf("datarecovery: page of ends: %w", err)
	}
	return p.Ends()
}

// Ends reads a page.
func (p *Page) Ends() ([]End, error) {
	data, err := base64.StdEncoding.DecodeString(p.Data)
	if err != nil {
		return nil, fmt.Errorf("datarecovery: page of ends: %w", err)
	}
	out := slices.Clone(p.Others)
	at := uint64(0)
	next := func() (uint64, error) {
		v, size := binary.Uvarint(data)
		if size <= 0 {
			return 0, fmt.Errorf("datarecovery: page of ends: cut short")
		}
		data = data[size:]
		return v, nil
	}
	for len(data) > 0 {
		step, err := next()
		if err != nil {
			return nil, err
		}
		v, err := next()
		if err != nil {
			return nil, err
		}
		at += step
		team := v >> (taskBits + 1)
		if at > 1<<32-1 || team >= uint64(len(p.Teams)) {
			return nil, fmt.Errorf("datarecovery: page of ends: out of range")
		}
		out = append(out, End{UID: usualID(uint32(at)), Cancelled: v&1 == 1, Tasks: int(v >> 1 & (1<<taskBits - 1)), Team: p.Teams[team]})
	}
	return out, nil
}

// All lists every end in the order of ids.
func (e *Ends) All() []End {
	all, _ := e.Lacking(NewEnds().Digest()) // an own digest can be read
	return all
}
