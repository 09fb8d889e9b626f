package jobstate

import (
	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/protocol"
)

// SplitFinished splits a job's finished tasks into fine parts, by the parts' names. The bitmap of a part begins with its
// first task.
func SplitFinished(job string, done *bitset.BitSet) map[string]*bitset.BitSet {
	parts := map[string]*bitset.BitSet{}
	for i, ok := done.NextSet(0); ok; i, ok = done.NextSet(i + 1) {
		p := part{job, firstFinePart + int(i)/tasksPerFinePart}
		name := p.name()
		if parts[name] == nil {
			parts[name] = bitset.New(0)
		}
		parts[name].Set(i % tasksPerFinePart)
	}
	return parts
}

// JoinFinished returns finished tasks by job, from bitmaps that are each of a whole job or of a fine part.
func JoinFinished(bitmaps map[string]*bitset.BitSet) map[string]*bitset.BitSet {
	done := map[string]*bitset.BitSet{}
	for name, bits := range bitmaps {
		job, number, isPart := protocol.SplitTask(name)
		if !isPart || number < firstFinePart {
			job, number = name, firstFinePart
		}
		first := uint(number-firstFinePart) * tasksPerFinePart
		if done[job] == nil {
			done[job] = bitset.New(0)
		}
		for i, ok := bits.NextSet(0); ok && first+i < protocol.MaxTasks; i, ok = bits.NextSet(i + 1) {
			done[job].Set(first + i)
		}
	}
	return done
}
