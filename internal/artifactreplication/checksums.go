package artifactreplication

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/zeebo/blake3"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/protocol"
)

// bucketCount is the number of buckets, which must be the same on all replicas.
const bucketCount = 1024

// maxBucketsPerCall is how many buckets one call lists. Large calls are cheaper in total, since each call iterates over
// all names.
const maxBucketsPerCall = 256

// misplacedBucket is the bucket of the names that a replica has although it is not a replica of their task (any
// more).
const misplacedBucket = -1

// bucketOf returns the bucket of a task's names.
func bucketOf(at artifactstore.Attempt) int {
	h := blake3.Sum256(fmt.Appendf(nil, "%s/%d", at.Job, at.Task))
	return int(binary.LittleEndian.Uint32(h[:])) % bucketCount
}

// eachName calls f for the names of the ended attempts, results and open attempts that this replica has of those tasks
// of which the other one is a replica. The name of an open attempt holds a hash of its extents and files. misplaced
// reports that this replica is not one of the task's replicas.
func (n *Node) eachName(other string, f func(name string, at artifactstore.Attempt, misplaced bool)) error {
	var last artifactstore.Attempt
	var theirs, ours bool
	visit := func(name string, at artifactstore.Attempt) {
		if last.Job != at.Job || last.Task != at.Task {
			replicas := n.opt.Members.ReplicasOf(at.Job, at.Task)
			theirs, ours, last = slices.Contains(replicas, other), slices.Contains(replicas, n.opt.Name), at
		}
		if theirs {
			f(name, at, !ours)
		}
	}
	for after := ""; ; {
		names, err := n.store.RefNames(after, 2000)
		if err != nil {
			return err
		}
		for _, name := range names {
			at, err := artifactstore.ParseName(name)
			if err != nil {
				return err
			}
			visit(name, at)
		}
		if len(names) < 2000 {
			break
		}
		after = names[len(names)-1]
	}
	for _, v := range n.store.OpenAttempts() {
		v.Idle = 0
		h := blake3.Sum256(protocol.Encode(&struct {
			S map[string]artifactstore.Extent
			F map[string]string
		}{v.Streams, v.Files}))
		visit(fmt.Sprintf("open/%s/%x", v.Attempt, h[:8]), v.Attempt)
	}
	return nil
}

// checksums returns for each bucket the sum of the hashes of its names, over the tasks that this replica and the other
// one should both have. A sum does not depend on the order of the names.
func (n *Node) checksums(other string) ([]string, error) {
	var sums [bucketCount][2]uint64
	err := n.eachName(other, func(name string, at artifactstore.Attempt, misplaced bool) {
		if misplaced {
			return
		}
		h := blake3.Sum256([]byte(name))
		s := &sums[bucketOf(at)]
		s[0] += binary.LittleEndian.Uint64(h[:])
		s[1] += binary.LittleEndian.Uint64(h[8:])
	})
	list := make([]string, bucketCount)
	for i, s := range sums {
		b := binary.LittleEndian.AppendUint64(nil, s[0])
		list[i] = hex.EncodeToString(binary.LittleEndian.AppendUint64(b, s[1]))
	}
	return list, err
}

// namesInBuckets lists the names in the given buckets, in one iteration over all names.
func (n *Node) namesInBuckets(other string, buckets []int) (list []string, err error) {
	err = n.eachName(other, func(name string, at artifactstore.Attempt, misplaced bool) {
		b := misplacedBucket
		if !misplaced {
			b = bucketOf(at)
		}
		if slices.Contains(buckets, b) {
			list = append(list, name)
		}
	})
	return list, err
}

// taskOf returns the task that a name belongs to.
func taskOf(name string) (artifactstore.Attempt, error) {
	if rest, ok := strings.CutPrefix(name, "open/"); ok {
		if i := strings.LastIndexByte(rest, '/'); i >= 0 {
			name = "open/" + rest[:i]
		}
	}
	at, err := artifactstore.ParseName(name)
	at.Number = 0
	return at, err
}
