package teamstore

import (
	"strings"
	"testing"

	"topazhollow/internal/goldentest"
	"topazhollow/internal/teamconfig"
)

// The golden files hold the keys of teams in the state service and the output of the operators' tool. Their formats may
// only be extended.

// TestGoldenCommitted checks the key prefix and the format of committed changes.
func TestGoldenCommitted(t *testing.T) {
	goldentest.Bytes(t, "keys.txt", []byte(strings.Join([]string{"team: " + Prefix + "vision"}, "\n")+"\n"))
	entry := teamconfig.Entry{Number: 3, ChangeID: "drawn", CPUs: 96, CPUsMax: 192.5, GPUs: 8, GPUsMax: 16, Removed: true, StopExcess: true}
	goldentest.Wire.Check(t, []goldentest.Case{
		{Name: "committed-full.json", Value: Committed{Team: "vision", Entry: entry, Version: 412}, Full: true},
		{Name: "committed-empty.json", Value: Committed{}},
	})
}
