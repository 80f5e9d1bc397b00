package recovery

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/wire"
)

// A late duplicate of a submission must not add a job again whose final state is stored.
func TestIntakeIgnoresSubmissionOfEndedJob(t *testing.T) {
	intake := newTestIntake(t, fake.NewStore())
	intake.Cluster.FinalStatuses["j-1"] = cluster.FinalStatus{Aborted: true}
	intake.AddJob(wire.Job{
		ID: "j-1", Team: "team", Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 1, CPUs: 1,
	})
	if intake.Cluster.Jobs["j-1"] != nil || intake.Knows("j-1") {
		t.Error("an ended job was added again")
	}
}
