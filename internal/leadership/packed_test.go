package leadership

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// randomRecord returns a record with the given numbers of members and shards, with random members as owners and
// replicas.
func randomRecord(rng *rand.Rand, members, shards int) *Record {
	r := (&Record{Term: 1<<20 + rng.Uint64N(1000), Epoch: 1, StoreID: "store"}).Clone()
	for i := range members {
		r.Nodes[fmt.Sprintf("controller-%02d", i)] = rng.Uint64()
	}
	names := r.Members()
	for i := range shards {
		order := rng.Perm(members)
		shard := Shard{Owner: names[order[0]], SinceTerm: r.Term - rng.Uint64N(r.Term), NeedsBarrier: rng.IntN(4) == 0, InSync: []string{}}
		for _, at := range order[1:min(members, 1+rng.IntN(ReplicasPerShard+1))] {
			shard.InSync = append(shard.InSync, names[at])
		}
		r.Shards[fmt.Sprintf("team/team-%04d", i)] = shard
	}
	return r
}

// TestRecordRoundTrip guards that a record is decoded as it was encoded, for any number of shards and members.
func TestRecordRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	forms := map[bool]int{}
	for range 200 {
		r := randomRecord(rng, 1+rng.IntN(8), rng.IntN(2*packedFrom))
		data, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		var got Record
		if err := json.Unmarshal(data, &got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got.Clone(), r.Clone()) {
			t.Fatalf("read %+v, written %+v", got, r)
		}
		packed := strings.Contains(string(data), `"packed"`)
		forms[packed]++
		if packed != (len(r.Shards) >= packedFrom) {
			t.Errorf("%d shards packed: %v", len(r.Shards), packed)
		}
	}
	if forms[true] == 0 || forms[false] == 0 {
		t.Fatalf("forms covered: %v", forms)
	}
}

// TestPlainFormIsRead guards that a record written by a version that knows only the plain form can be read, whatever
// the number of its shards.
func TestPlainFormIsRead(t *testing.T) {
	r := randomRecord(rand.New(rand.NewPCG(3, 4)), 3, 2*packedFrom)
	data, err := json.Marshal((*plainRecord)(r))
	if err != nil {
		t.Fatal(err)
	}
	var got Record
	if err := json.Unmarshal(data, &got); err != nil || !reflect.DeepEqual(got.Clone(), r.Clone()) {
		t.Fatalf("%v, read %+v", err, got)
	}
}

// TestShardOfNoMemberStaysPlain guards that a record is written in the plain form if a shard's owner is not a member,
// because the owner then has no index.
func TestShardOfNoMemberStaysPlain(t *testing.T) {
	r := randomRecord(rand.New(rand.NewPCG(5, 6)), 3, packedFrom)
	shard := r.Shards["team/team-0000"]
	shard.Owner = "gone"
	r.Shards["team/team-0000"] = shard
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var got Record
	if err := json.Unmarshal(data, &got); err != nil || got.Shards["team/team-0000"].Owner != "gone" {
		t.Fatalf("%v, read %+v", err, got.Shards["team/team-0000"])
	}
}

// TestLargeRecordFits guards that a record of 950 teams, with 3 or with 46 members and the usual number of replicas,
// fits into a transaction of the state service.
func TestLargeRecordFits(t *testing.T) {
	const transaction = 64 << 10
	for _, members := range []int{3, 46} {
		r := randomRecord(rand.New(rand.NewPCG(7, 8)), members, 951)
		data, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("951 shards, %d members: %d bytes", members, len(data))
		if len(data) > transaction*3/4 {
			t.Errorf("951 shards, %d members: %d bytes leave no room in a transaction of %d", members, len(data), transaction)
		}
	}
}

// TestInvalidPackedRecordRejected guards that indices out of range, ages before the first term and truncated shards are
// errors and do not yield owners.
func TestInvalidPackedRecordRejected(t *testing.T) {
	for _, item := range []string{"[]", "[0,0]", "[5,0,0]", "[0,0,0,7]", "[0,0,99]", "[18446744073709551615,0,0]", `"x"`, "[-1,0,0]"} {
		var r Record
		if err := json.Unmarshal([]byte(`{"term":9,"nodes":{"a":1,"b":2},"packed":{"team/x":`+item+`}}`), &r); err == nil {
			t.Errorf("%s is decoded as %+v", item, r.Shards["team/x"])
		}
	}
}
