package drill_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"testing"

	"topazhollow/internal/drill"
)

// TestMeetings: two or three drawn troubles overlap around one moment, below controller processes that are really
// killed and stopped, while users cancel jobs of long tasks. No rule breaks, and all that was not cancelled is done.
func TestMeetings(t *testing.T) {
	for i := range uint64(2) {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			trials, err := drill.Meetings(context.Background(), drill.MeetingOptions{Program: os.Args[0], Dir: t.TempDir(), Seed: 200 * i, Trials: 3, Out: io.Discard})
			if err != nil || len(trials) != 3 {
				t.Fatal(len(trials), err)
			}
			for _, x := range trials {
				if len(x.Met) < 2 {
					t.Errorf("seed %d: only %v met", x.Seed, x.Met)
				}
				if x.Broken != "" {
					t.Errorf("seed %d: %v: %s", x.Seed, x.Met, x.Broken)
				}
			}
		})
	}
}
