package teamstore

import (
	"strings"
	"testing"

	"topazhollow/internal/goldentest"
	"topazhollow/internal/teamconfig"
)

// The golden files of teams' keys in the state service, and of what the operator's tool prints: the forms may only grow.

func TestGoldenCommitted(t *testing.T) {
	goldentest.Bytes(t, "keys.txt", []byte(strings.Join([]string{"team: " + Prefix + "vision"}, "\n")+"\n"))
	entry := teamconfig.Entry{Number: 3, ChangeID: "drawn", CPUs: 96, CPUsMax: 192.5, GPUs: 8, GPUsMax: 16, Removed: true, StopExcess: true}
	goldentest.Wire.Check(t, []goldentest.Case{
		{Name: "committed-full.json", Value: Committed{Team: "vision", Entry: entry, Version: 412}, Full: true},
		{Name: "committed-empty.json", Value: Committed{}},
	})
}
