package userapi

import (
	"strings"
	"testing"

	"topazhollow/internal/goldentest"
	"topazhollow/internal/protocol"
)

// The golden files of jobs and their ends in the state service. They outlive the process that wrote them, so the forms may
// only grow.

func TestGoldenStored(t *testing.T) {
	goldentest.Bytes(t, "keys.txt", []byte(strings.Join([]string{
		"all that is watched: " + Watched,
		"active job: " + JobKey + "job-000412",
		"ended job: " + FinalKey + "job-000412",
	}, "\n")+"\n"))
	done := EndOf(goldentest.Submission(), protocol.Done)
	goldentest.Wire.Check(t, []goldentest.Case{
		{Name: "job-full.json", Value: Stored{Spec: goldentest.Submission(), At: 1767225600123}, Full: true},
		{Name: "job-empty.json", Value: Stored{Spec: &protocol.Submission{}}},
		{Name: "job-without-description.json", Value: Stored{}},
		{Name: "end-done.json", Value: done, Full: true},
		{Name: "end-withdrawn.json", Value: EndOf(&protocol.Submission{Tasks: 1, Team: "speech", CPUs: 0.25}, protocol.Cancelled)},
		{Name: "end-empty.json", Value: Final{}},
	})
}
