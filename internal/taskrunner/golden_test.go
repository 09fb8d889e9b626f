package taskrunner

import (
	"testing"
	"time"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/goldentest"
)

// TestGoldenSpool compares the entries of a spool with their golden files. A spool outlives the process that wrote it,
// so the format may only be extended.
func TestGoldenSpool(t *testing.T) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 678000000, time.UTC)
	attempt := artifactstore.Attempt{Job: "job-000412", Task: 3, Number: 2}
	task := Task{Claim: artifactstore.Claim{Attempt: attempt, Tenant: "vision", Machine: "n-000231", Session: 1, Class: "train"}, Token: "a.b", Command: []string{"run", "-x"},
		Env: []string{"A=1"}, Dir: "/work", Files: []string{"out"}}
	goldentest.Wire.Check(t, []goldentest.Case{
		{Name: "entry-full.json", Full: true, Value: entry{Task: &task, Stream: "stdout", Record: &artifactstore.Record{At: at, Data: []byte("line\n"), Dropped: &artifactstore.DroppedOutput{Bytes: 77, From: at, To: at}},
			Files: []string{"out/a"}, Exit: &artifactstore.Exit{Completed: true, Code: 3, Reason: "signal"}}},
		{Name: "entry-empty.json", Value: entry{}},
		{Name: "task-empty.json", Value: Task{}},
	})
	goldentest.Bytes(t, "directory.txt", []byte(spoolDir("/spool", attempt)+"\n"))
}
