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

// End is how a job ended: done, or cancelled.
type End struct {
	UID       string `json:"UID"`
	Cancelled bool   `json:"Withdrawn"`
	Tasks     int    `json:"Tasks"`
	Team      string `json:"Team"`
}

// Ends is the set of all job ends that a controller knows. Ends are never removed. An end whose job id has the usual
// form, a number of six digits or more, takes about ten bytes.
type Ends struct {
	ids       *roaring.Bitmap   // numbers of the usual ids
	packed    map[uint32]uint32 // ends by number of the usual id
	others    map[string]End    // ends that cannot be packed
	teams     []string
	teamIndex map[string]uint32 // indices in teams
}

// NewEnds returns an empty set.
func NewEnds() *Ends {
	return &Ends{ids: roaring.New(), packed: map[uint32]uint32{}, others: map[string]End{}, teamIndex: map[string]uint32{}}
}

// Layout of a packed end: the number of tasks in 17 bits, the index of the team in 14 bits, and one bit that is set if
// the job was cancelled.
const (
	taskBits     = 17
	teamBits     = 14
	cancelledBit = 1 << 31
)

// idPrefix is the prefix of a job id of the usual form; a number of at least six digits follows.
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

// Add adds an end and reports whether it is new. An end that is known for the job is kept.
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

// Get returns the end of a job and whether it is known.
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

// Len returns the number of known ends.
func (e *Ends) Len() int { return len(e.packed) + len(e.others) }

// Digest names the jobs whose ends are known, so that a peer can determine which ends are missing here.
type Digest struct {
	IDs    string   `json:"ids"`              // numbers of the usual ids: Roaring bitmap in the portable format, base64
	Others []string `json:"others,omitempty"` // ids of the ends that are not packed
}

// Digest returns the digest of the known ends.
func (e *Ends) Digest() Digest {
	e.ids.RunOptimize()
	data, err := e.ids.ToBytes()
	if err != nil {
		panic(fmt.Sprintf("datarecovery: encode bitmap: %v", err)) // writing to a buffer does not fail
	}
	return Digest{IDs: base64.StdEncoding.EncodeToString(data), Others: slices.Sorted(maps.Keys(e.others))}
}

// MissingFrom returns the ends known here that a digest does not name.
func (e *Ends) MissingFrom(d Digest) ([]End, error) {
	data, err := base64.StdEncoding.DecodeString(d.IDs)
	if err != nil {
		return nil, fmt.Errorf("datarecovery: decode digest: %w", err)
	}
	theirs := roaring.New()
	if err := theirs.UnmarshalBinary(data); err != nil {
		return nil, fmt.Errorf("datarecovery: decode digest: %w", err)
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

// All returns all ends, the packed ones first, each group in the order of ids.
func (e *Ends) All() []End {
	all, _ := e.MissingFrom(NewEnds().Digest()) // the digest of an empty set is always valid
	return all
}
