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

const bucketCount = 1024

// maxBuckets is how many buckets one call lists: each call walks over all names.
const maxBucketsPerCall = 256

// strayNames is the bucket of what a replica has though it is not its replica (any more).
const misplacedBucket = -1

// bucketOf is the bucket of a task's names.
func bucketOf(at artifactstore.Attempt) int {
	h := blake3.Sum256(fmt.Appendf(nil, "%s/%d", at.Job, at.Task))
	return int(binary.LittleEndian.Uint32(h[:])) % bucketCount
}

// eachName walks over the names of what is here of tasks that another replica is to have too.
func (n *Node) eachName(other string, f func(name string, at artifactstore.Attempt, stray bool)) error {
	var last artifactstore.Attempt
	var theirs, mine bool
	visit := func(name string, at artifactstore.Attempt) {
		if last.Job != at.Job || last.Task != at.Task {
			place := n.opt.Members.ReplicasOf(at.Job, at.Task)
			theirs, mine, last = slices.Contains(place, other), slices.Contains(place, n.opt.Name), at
		}
		if theirs {
			f(name, at, !mine)
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

// checksums gives each bucket's sum of hashes, of what another replica is to have too.
func (n *Node) checksums(other string) ([]string, error) {
	var sums [bucketCount][2]uint64
	err := n.eachName(other, func(name string, at artifactstore.Attempt, stray bool) {
		if stray {
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

// names lists some buckets, in one walk.
func (n *Node) namesInBuckets(other string, of []int) (list []string, err error) {
	err = n.eachName(other, func(name string, at artifactstore.Attempt, stray bool) {
		b := misplacedBucket
		if !stray {
			b = bucketOf(at)
		}
		if slices.Contains(of, b) {
			list = append(list, name)
		}
	})
	return list, err
}

// taskOf is the task that a name belongs to.
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
