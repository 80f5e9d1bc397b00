package cluster_test

import (
	"fmt"
	"slices"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

func pipelineJob(id string, needs ...string) wire.Job {
	return wire.Job{
		ID: id, Class: "c", Team: "team", Kind: wire.JobArray, Priority: wire.Low, Tasks: 1, CPUs: 1, MemoryGB: 1,
		EstimateS: 10, Dependencies: needs,
	}
}

// A dependency whose completion is only in memory does not count as done. Until its final status is
// stored, another leader could find it cancelled.
func TestJobStartsOnlyAfterTheFinalStatusOfEachDependencyIsStored(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("i-1", "a")
	first, second := tc.submitSpec(pipelineJob("j-1")), tc.submitSpec(pipelineJob("j-2"))
	dependent := tc.submitSpec(pipelineJob("j-3", "j-1", "j-2"))
	tc.expectScheduled(2)
	tc.persist()
	tc.heartbeat(agent)
	agent.ExitTask("j-1/0", 1, wire.CauseDone)
	agent.ExitTask("j-2/0", 1, wire.CauseDone)
	tc.heartbeat(agent)
	if first.State != cluster.Finishing || second.State != cluster.Finishing {
		t.Fatalf("dependencies are %v and %v, want finishing", first.State, second.State)
	}
	tc.expectScheduled(0)
	if dependent.State != cluster.Blocked || dependent.AllocationCount > 0 || tc.status(dependent).State != wire.JobPending {
		t.Fatalf(
			"dependent starts on a final status that is not stored: %v with %d allocations",
			dependent.State, dependent.AllocationCount,
		)
	}
	tc.cluster.FinalizeJob(first, false, tc.now)
	tc.expectScheduled(0)
	if dependent.AllocationCount > 0 {
		t.Fatal("dependent starts after one of its two dependencies")
	}
	tc.now += 7 * micro.Second
	tc.cluster.FinalizeJob(second, false, tc.now)
	tc.expectScheduled(1)
	if dependent.AllocationCount != 1 || dependent.EligibleSince != tc.now {
		t.Fatalf(
			"dependent is %v with %d allocations, eligible since %v",
			dependent.State, dependent.AllocationCount, dependent.EligibleSince,
		)
	}
}

// A dependency about which nothing is known may have been cancelled under an earlier leader, and is
// no longer in the list of live jobs.
func TestUnknownDependencyDoesNotCountAsDone(t *testing.T) {
	tc := newTestCluster(t)
	tc.addAgent("i-1", "a")
	job := tc.submitSpec(pipelineJob("j-2", "j-1"))
	tc.expectScheduled(0)
	if job.State != cluster.Blocked || len(tc.unknownDependencies) != 1 || tc.unknownDependencies[0] != "j-1" {
		t.Fatalf("dependent is %v, looked up: %v", job.State, tc.unknownDependencies)
	}
	tc.cluster.ApplyFinalStatus("j-1", cluster.FinalStatus{Aborted: true, EndedAt: tc.now})
	tc.expectScheduled(0)
	if job.AllocationCount > 0 || tc.status(job).State != wire.JobAborted {
		t.Fatalf("dependent is %v with %d allocations, want aborted", tc.status(job).State, job.AllocationCount)
	}
}

func TestAbortCascadesToAllDependentsOnly(t *testing.T) {
	tc := newTestCluster(t)
	first := tc.submitSpec(pipelineJob("j-0"))
	other := tc.submitSpec(pipelineJob("j-100"))
	for i := 1; i < 20; i++ {
		tc.submitSpec(pipelineJob(fmt.Sprint("j-", i), fmt.Sprint("j-", i-1)))
	}
	both := tc.submitSpec(pipelineJob("j-101", "j-100", "j-19"))
	tc.cluster.BeginAbort(first)
	if len(tc.dependencyAborted) > 0 {
		t.Fatal("dependents were aborted before the cancellation was stored: the last task may still complete first")
	}
	tc.cluster.FinalizeJob(first, true, tc.now)
	if len(tc.dependencyAborted) != 20 || tc.status(both).State != wire.JobAborted {
		t.Fatalf("%d dependents aborted, want 20; the last is %v", len(tc.dependencyAborted), tc.status(both).State)
	}
	if other.State != cluster.Active {
		t.Fatalf("%v: a job that does not depend on the cancelled one was aborted", other.State)
	}
	if late := tc.submitSpec(pipelineJob("j-102", "j-101")); tc.status(late).State != wire.JobAborted ||
		late.State != cluster.Aborting {
		t.Fatalf("dependent submitted after the abort is %v, want aborting", late.State)
	}
	if done := tc.submitSpec(pipelineJob("j-103", "j-100")); done.State != cluster.Blocked {
		t.Fatalf("dependent of a job that was not cancelled is %v, want blocked", done.State)
	}
}

// The abort of a job ended at a dependent whose own cancellation had begun: it and the jobs behind it were still reported
// as pending.
func TestAbortCascadesBeyondAJobWhoseOwnCancellationHasBegun(t *testing.T) {
	tc := newTestCluster(t)
	first, second := tc.submitSpec(pipelineJob("j-1")), tc.submitSpec(pipelineJob("j-2", "j-1"))
	third, fourth := tc.submitSpec(pipelineJob("j-3", "j-2")), tc.submitSpec(pipelineJob("j-4", "j-3"))
	tc.cluster.BeginAbort(second)
	tc.cluster.BeginAbort(first)
	if got := tc.status(third).State; got != wire.JobPending {
		t.Fatalf("the third job is %q before any abort is stored, want pending", got)
	}
	tc.cluster.FinalizeJob(first, true, tc.now)
	for _, job := range []*cluster.Job{second, third, fourth} {
		if got := tc.status(job).State; got != wire.JobAborted || job.State != cluster.Aborting {
			t.Errorf("%s is %q in state %v, want aborted and aborting", job.Spec.ID, got, job.State)
		}
	}
	if want := []string{"j-3", "j-4"}; !slices.Equal(tc.dependencyAborted, want) {
		t.Errorf("final states to be written for %v, want %v: the second one's write has begun", tc.dependencyAborted, want)
	}
	tc.cluster.FinalizeJob(second, true, tc.now)
	if len(tc.dependencyAborted) != 2 {
		t.Errorf("final states to be written for %v: the later end of the second job added some", tc.dependencyAborted)
	}
}

// The cancellation of a job is answered with `done`, so its dependents may start.
func TestCancellationAfterCompletionLetsDependentsStart(t *testing.T) {
	tc := newTestCluster(t)
	dependency := tc.submitSpec(pipelineJob("j-1"))
	dependent := tc.submitSpec(pipelineJob("j-2", "j-1"))
	tc.cluster.BeginAbort(dependency)
	tc.cluster.FinalizeJob(dependency, false, tc.now) // its last task completed first
	if dependent.State != cluster.Active {
		t.Fatalf("dependent is %v, want active", dependent.State)
	}
}

// A new leader finds the abort of one level of the pipeline stored, but not yet that of the next.
func TestAbortCascadeContinuesAfterAFailover(t *testing.T) {
	tc := newTestCluster(t)
	tc.cluster.FinalStatuses["j-1"] = cluster.FinalStatus{Aborted: true}
	tc.cluster.FinalStatuses["j-5"] = cluster.FinalStatus{EndedAt: tc.now - 9*micro.Second}
	third, second := tc.submitSpec(pipelineJob("j-3", "j-2")), tc.submitSpec(
		pipelineJob("j-2", "j-1"),
	) // jobs are read in no particular order
	if tc.status(second).State != wire.JobAborted || tc.status(third).State != wire.JobAborted ||
		len(tc.dependencyAborted) != 2 {
		t.Fatalf("dependents are %v and %v, want aborted", tc.status(second).State, tc.status(third).State)
	}
	tc.now += 5 * micro.Second
	if job := tc.cluster.AddJob(pipelineJob("j-6", "j-5"), tc.now-60*micro.Second); job.State != cluster.Active ||
		job.EligibleSince != tc.now-14*micro.Second {
		t.Fatalf(
			"dependent is %v, eligible for %v s, want active and 14 s", job.State, (tc.now - job.EligibleSince).Seconds(),
		)
	}
}

func TestBlockedJobUsesNoGuaranteeAndIsNotQueued(t *testing.T) {
	tc := newTestCluster(t)
	tc.cluster.Teams["team"].GuaranteedCPUs = 2
	big := pipelineJob("j-2", "j-1")
	big.Tasks = 3
	tc.submitSpec(pipelineJob("j-1"))
	tc.submitSpec(big)
	later := tc.submitSpec(pipelineJob("j-3"))
	tc.cluster.MarkGuarantees()
	if !later.WithinGuarantee || tc.cluster.PendingJobs[tc.cluster.Jobs["j-2"]] ||
		tc.cluster.ActiveJobs[tc.cluster.Jobs["j-2"]] {
		t.Fatal("a blocked job uses the guarantee or is scheduled")
	}
	tc.now += 300 * micro.Second
	tc.cluster.FinalizeJob(tc.cluster.Jobs["j-1"], false, tc.now)
	if job := tc.cluster.Jobs["j-2"]; !tc.cluster.PendingJobs[job] || job.EligibleSince != tc.now {
		t.Fatal("the job is not eligible from the time when its dependency ended")
	}
}

func TestPriorityAndDeadlineAreInheritedAndRevoked(t *testing.T) {
	tc := newTestCluster(t)
	tc.addAgent("i-1", "a")
	first := tc.submitSpec(pipelineJob("j-1"))
	tc.expectScheduled(1)
	second := tc.submitSpec(pipelineJob("j-2", "j-1"))
	spec := pipelineJob("j-3", "j-2")
	deadlineS := 100.0
	spec.Priority, spec.DeadlineS = wire.High, &deadlineS
	third := tc.submitSpec(spec)
	if first.PriorityLevel != 1 || second.PriorityLevel != 1 || first.DeadlineSource != third ||
		second.CriticalPath >= first.CriticalPath ||
		second.CriticalPath == 0 {
		t.Fatalf(
			"priority levels %d and %d, critical paths %v and %v", first.PriorityLevel, second.PriorityLevel,
			first.CriticalPath, second.CriticalPath,
		)
	}
	machine := tc.cluster.Machines["i-1"]
	if machine.Preemptible(1).CPU != 0 || machine.Preemptible(0).CPU != 1 {
		t.Fatalf("the machine counts the allocation under the old priority level: %+v", machine.UsedByPriority)
	}
	tc.cluster.BeginAbort(third)
	tc.cluster.FinalizeJob(third, true, tc.now)
	if first.PriorityLevel != 3 || first.DeadlineSource != nil || second.PriorityLevel != 3 ||
		machine.Preemptible(1).CPU != 1 {
		t.Fatalf("the job that set priority and deadline was aborted, but the level is still %d", first.PriorityLevel)
	}
}
