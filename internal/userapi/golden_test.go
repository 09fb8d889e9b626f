package userapi

import (
	"strings"
	"testing"

	"topazhollow/internal/goldentest"
	"topazhollow/internal/protocol"
)

// The golden files hold jobs and their ends as stored in the state service. They outlive the process that wrote them,
// so their formats may only be extended.

// TestGoldenStored checks the key prefixes and the stored formats.
func TestGoldenStored(t *testing.T) {
	goldentest.Bytes(t, "keys.txt", []byte(strings.Join([]string{
		"all that is watched: " + WatchedPrefix,
		"active job: " + ActiveJobPrefix + "job-000412",
		"ended job: " + EndedJobPrefix + "job-000412",
	}, "\n")+"\n"))
	done := NewJobEnd(goldentest.Submission(), protocol.Done)
	goldentest.Wire.Check(t, []goldentest.Case{
		{Name: "job-full.json", Value: ActiveJob{Spec: goldentest.Submission(), SubmittedAtMillis: 1767225600123}, Full: true},
		{Name: "job-empty.json", Value: ActiveJob{Spec: &protocol.Submission{}}},
		{Name: "job-without-description.json", Value: ActiveJob{}},
		{Name: "end-done.json", Value: done, Full: true},
		{Name: "end-withdrawn.json", Value: NewJobEnd(&protocol.Submission{Tasks: 1, Team: "speech", CPUs: 0.25}, protocol.Cancelled)},
		{Name: "end-empty.json", Value: JobEnd{}},
	})
}

// TestJobOfEarlierVersions checks that a job as stored before jobs could wait for others is read as one without
// dependencies.
func TestJobOfEarlierVersions(t *testing.T) {
	want := ActiveJob{Spec: goldentest.Submission(), SubmittedAtMillis: 1767225600123}
	want.Spec.Dependencies = nil
	goldentest.Wire.CheckEarlier(t, "job-full-before-dependencies.json", want)
}
