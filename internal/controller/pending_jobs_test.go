package controller

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// The reason that a job waits is logged once, after 30 s, and for at most maxExplanations jobs per review.
func TestWaitReasonIsLoggedOnce(t *testing.T) {
	fleet := newFleet(t, 4)
	for job := range fleet.leader.cluster.PendingJobs {
		fleet.leader.cluster.FinalizeJob(job, true, fleet.now) // jobs that newFleet could not place
	}
	var out bytes.Buffer
	fleet.leader.log = slog.New(slog.NewTextHandler(&out, nil))
	for i := range 10 {
		fleet.leader.intake.AddJob(
			wire.Job{
				ID: fmt.Sprint("j-77", i), Class: "c", Team: "team", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 2, CPUs: 8,
				MemoryGB: 1, EstimateS: 50,
			},
		)
	}
	review := func() int {
		before := strings.Count(out.String(), "msg=\"job waits\"")
		fleet.leader.reviewPendingJobs(fleet.now)
		return strings.Count(out.String(), "msg=\"job waits\"") - before
	}
	fleet.now += 29 * micro.Second
	if n := review(); n != 0 {
		t.Fatalf("%d jobs were logged after 29 s, want none", n)
	}
	logged := 0
	for i := range 5 {
		fleet.now += micro.Second
		n := review()
		if n > maxExplanations {
			t.Fatalf("%d jobs were logged in one review, more than maxExplanations", n)
		}
		if logged += n; i == 0 && n != maxExplanations {
			t.Fatalf("%d jobs were logged in the first review, want maxExplanations", n)
		}
	}
	if logged != 10 || fleet.leader.pendingTasks.Load() != 20 {
		t.Fatalf("%d jobs were logged and %d pending tasks counted, want 10 and 20", logged, fleet.leader.pendingTasks.Load())
	}
	if !strings.Contains(out.String(), "job=j-770 since_s=3") ||
		!strings.Contains(out.String(), "reason=\"insufficient resources\"") {
		t.Fatal(out.String())
	}
	fleet.now += 5 * micro.Minute
	if n := review(); n != 0 {
		t.Fatalf("%d jobs were logged again", n)
	}
}
