package datarecovery

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Page is a group of job ends, encoded as one value in the state service or as one message between controllers.
type Page struct {
	Teams  []string `json:"teams"`
	Data   string   `json:"data,omitempty"` // per packed end: difference to the previous id, then the end; base64
	Others []End    `json:"others,omitempty"`
}

// Upper bounds of the sizes of the parts of an encoded page, in bytes.
const (
	pageFrameSize       = 64   // an empty page
	packedEndMax        = 20   // a packed end
	otherEndFrame       = 80   // an end in JSON, without its job id and team name
	teamNameFrame       = 3    // quotes and comma of a team name
	base64In, base64Out = 3, 4 // base64 encodes 3 bytes as 4
)

// Pages encodes ends as pages of at most maxBytes each.
func Pages(ends []End, maxBytes int) []Page {
	ends = slices.Clone(ends)
	slices.SortFunc(ends, func(a, b End) int { return strings.Compare(a.UID, b.UID) })
	w := pageWriter{maxBytes: maxBytes}
	w.begin()
	for _, end := range ends {
		w.add(end)
	}
	w.flush()
	return w.pages
}

// pageWriter fills pages one after the other.
type pageWriter struct {
	maxBytes int
	pages    []Page

	// State of the current page.
	size   int
	teams  []string
	team   map[string]int // index in teams
	data   []byte
	others []End
	last   uint32 // number of the last packed id
}

func (w *pageWriter) begin() {
	w.size, w.teams, w.team, w.data, w.others, w.last = pageFrameSize, []string{}, map[string]int{}, nil, nil, 0
}

func (w *pageWriter) flush() {
	if len(w.data) > 0 || len(w.others) > 0 {
		w.pages = append(w.pages, Page{Teams: w.teams, Data: base64.StdEncoding.EncodeToString(w.data), Others: w.others})
	}
	w.begin()
}

func (w *pageWriter) add(end End) {
	id, usual := parseUsualID(end.UID)
	usual = usual && end.Tasks >= 0 && end.Tasks < 1<<taskBits
	need := packedEndMax
	if !usual {
		need = len(end.UID) + len(end.Team) + otherEndFrame
	}
	if _, known := w.team[end.Team]; !known {
		need += len(end.Team) + teamNameFrame
	}
	if w.size+need > w.maxBytes || (usual && id < w.last) {
		w.flush()
	}
	w.size += need
	if usual {
		w.pack(id, end)
	} else {
		w.others = append(w.others, end)
	}
}

// pack appends an end with a usual id: the difference to the previous id, then the number of tasks, the team's index
// and whether the job was cancelled.
func (w *pageWriter) pack(id uint32, end End) {
	team, known := w.team[end.Team]
	if !known {
		team = len(w.teams)
		w.team[end.Team] = team
		w.teams = append(w.teams, end.Team)
	}
	packed := uint64(end.Tasks)<<1 | uint64(team)<<(taskBits+1)
	if end.Cancelled {
		packed |= 1
	}
	before := len(w.data)
	w.data = binary.AppendUvarint(w.data, uint64(id-w.last))
	w.data = binary.AppendUvarint(w.data, packed)
	w.size += (len(w.data)-before)*base64Out/base64In + 1 - packedEndMax
	w.last = id
}

// ReadPage decodes a page from a value in the state service.
func ReadPage(value []byte) ([]End, error) {
	var p Page
	if err := json.Unmarshal(value, &p); err != nil {
		return nil, fmt.Errorf("datarecovery: decode page of ends: %w", err)
	}
	return p.Ends()
}

// Ends decodes the ends of the page.
func (p *Page) Ends() ([]End, error) {
	data, err := base64.StdEncoding.DecodeString(p.Data)
	if err != nil {
		return nil, fmt.Errorf("datarecovery: decode page of ends: %w", err)
	}
	ends := slices.Clone(p.Others)
	id := uint64(0)
	for len(data) > 0 {
		distance, size := binary.Uvarint(data)
		if size <= 0 {
			return nil, ErrPageTruncated
		}
		packed, packedSize := binary.Uvarint(data[size:])
		if packedSize <= 0 {
			return nil, ErrPageTruncated
		}
		data = data[size+packedSize:]
		id += distance
		team := packed >> (taskBits + 1)
		if id > math.MaxUint32 || team >= uint64(len(p.Teams)) {
			return nil, ErrPageOutOfRange
		}
		ends = append(ends, End{
			UID:       usualID(uint32(id)),
			Cancelled: packed&1 == 1,
			Tasks:     int(packed >> 1 & (1<<taskBits - 1)),
			Team:      p.Teams[team],
		})
	}
	return ends, nil
}

// Errors of pages that cannot be decoded.
var (
	ErrPageTruncated  = errors.New("datarecovery: page of ends is truncated")
	ErrPageOutOfRange = errors.New("datarecovery: page of ends has an id or a team index out of range")
)
