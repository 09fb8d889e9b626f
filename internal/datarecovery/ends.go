package datarecovery

import (
	"encoding/base64"
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
	ids       *roaring.Bitmap   // usual ids
	packed    map[uint32]uint32 // ends by usual id
	others    map[string]End    // ends that cannot be packed
	teams     []string
	teamIndex map[string]uint32 // in teams
}

// NewEnds knows none.
func NewEnds() *Ends {
	return &Ends{ids: roaring.New(), packed: map[uint32]uint32{}, others: map[string]End{}, teamIndex: map[string]uint32{}}
}

// A packed end: tasks in 17 bits, the team's index in 14, and whether it was cancelled.
const (
	taskBits     = 17
	teamBits     = 14
	cancelledBit = 1 << 31
)

// idPrefix and digits are the usual form of a job's id.
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

// Add takes in an end and says whether it was new. The first that was learned stays.
func (e *Ends) Add(x End) bool {
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
	packed := uint32(x.Tasks) | team<<taskBits
	if x.Cancelled {
		packed |= cancelledBit
	}
	e.packed[n] = packed
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

func (e *Ends) unpack(id, packed uint32) End {
	return End{
		UID:       usualID(id),
		Cancelled: packed&cancelledBit != 0,
		Tasks:     int(packed & (1<<taskBits - 1)),
		Team:      e.teams[packed>>taskBits&(1<<teamBits-1)],
	}
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

// MissingFrom lists the ends known here that a digest does not name.
func (e *Ends) MissingFrom(d Digest) ([]End, error) {
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

// All lists every end in the order of ids.
func (e *Ends) All() []End {
	all, _ := e.MissingFrom(NewEnds().Digest()) // an own digest can be read
	return all
}
