package jobstate

import (
	"encoding/base64"
	"fmt"
	"strconv"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/protocol"
)

// The parts of a job's bitmap on pages. Coarse parts are numbered from 0 and have as many tasks as the page size allows,
// so that the first task of part 1 depends on the page size. Fine parts have a fixed size and do not depend on it. Their
// numbers begin so high that versions of the program that do not know them take their jobs for ended ones.

// Geometry of the fine parts.
const (
	firstFinePart    = 50000 // times the tasks of the smallest coarse part, it is beyond protocol.MaxTasks
	tasksPerFinePart = 4096  // with the longest job ID, a part fits into a page of 1 KB
)

// part is a range of a job's tasks. All parts of a form have the same number of tasks, except that the last one may
// have fewer.
type part struct {
	job    string
	number int // counted from 0, or from firstFinePart
}

// name returns the part's name on its page.
func (p part) name() string { return p.job + "/" + strconv.Itoa(p.number) }

// tasks returns the range of the part's tasks, where end may exceed the job's number of tasks.
func (p part) tasks(tasksPerCoarsePart int) (first, end int) {
	if p.number >= firstFinePart {
		first = (p.number - firstFinePart) * tasksPerFinePart
		return first, first + tasksPerFinePart
	}
	first = p.number * tasksPerCoarsePart
	return first, first + tasksPerCoarsePart
}

// storedPart is a part that was read from a page.
type storedPart struct {
	part
	jobTasks int            // number of tasks of the job
	text     string         // its encoded bitmap
	done     *bitset.BitSet // by the tasks' indices in the job
}

// ReadParts adds the finished tasks of a page that was read from the state service to done, for any page size. Of coarse
// parts it reads only the first one of each job, since the first task of a later part depends on the page size.
func ReadParts(parts map[string]string, tasks TaskCount, done map[string]*bitset.BitSet) error {
	known := map[string]string{}
	for name, text := range parts {
		if _, number, ok := protocol.SplitTask(name); ok && number > 0 && number < firstFinePart {
			continue
		}
		known[name] = text
	}
	return readParts(known, protocol.MaxTasks, tasks, func(p storedPart) { mergeDone(done, p) })
}

// mergeDone adds the finished tasks of a part to done.
func mergeDone(done map[string]*bitset.BitSet, p storedPart) {
	if done[p.job] == nil {
		done[p.job] = bitset.New(0)
	}
	done[p.job].InPlaceUnion(p.done)
}

// readParts decodes a page's parts, and calls found for each part of an active job.
func readParts(parts map[string]string, tasksPerPart int, tasks TaskCount, found func(storedPart)) error {
	for name, text := range parts {
		job, number, ok := protocol.SplitTask(name)
		if !ok {
			return fmt.Errorf("jobstate: malformed part name %.80q", name)
		}
		p := part{job, number}
		first, end := p.tasks(tasksPerPart)
		count := tasks(job)
		if count <= first {
			continue // the job has ended
		}
		bits, err := decodeBits(text)
		if err != nil {
			return err
		}
		if number == 0 {
			end = count // the first part begins with the first task whatever the page size was
		}
		stored := storedPart{part: p, jobTasks: count, text: text, done: bitset.New(0)}
		for i, ok := bits.NextSet(0); ok && first+int(i) < min(end, count); i, ok = bits.NextSet(i + 1) {
			stored.done.Set(uint(first) + i)
		}
		found(stored)
	}
	return nil
}

// decodeBits decodes the bitmap of a part.
func decodeBits(text string) (*bitset.BitSet, error) {
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	bits := bitset.New(0)
	if err := bits.UnmarshalBinary(data); err != nil {
		return nil, err
	}
	return bits, nil
}

// encodeBits encodes the bitmap of a part.
func encodeBits(bits *bitset.BitSet) string {
	data, err := bits.MarshalBinary()
	if err != nil {
		panic(fmt.Sprintf("jobstate: encoding a bitmap: %v", err))
	}
	return base64.StdEncoding.EncodeToString(data)
}
