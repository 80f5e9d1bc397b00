package cluster_test

import (
	"fmt"
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

// Done in memory is not done: until the end is in the store, another leader could
// find the dependency cancelled.
func TestTaskStartsOnlyOnceEachDependencysFinalStatusIsStored(t *testing.T) {
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
		t.Fatalf("%v, %v", first.State, second.State)
	}
	tc.expectScheduled(0)
	if dependent.State != cluster.Blocked || dependent.AllocationCount > 0 || dependent.Status().State != wire.JobPending {
		t.Fatalf("it goes by what is not stored: %v with %d places", dependent.State, dependent.AllocationCount)
	}
	tc.cluster.FinalizeJob(first, false, tc.now)
	tc.expectScheduled(0)
	if dependent.AllocationCount > 0 {
		t.Fatal("one of two ends was enough")
	}
	tc.now += 7 * micro.Second
	tc.cluster.FinalizeJob(second, false, tc.now)
	tc.expectScheduled(1)
	if dependent.AllocationCount != 1 || dependent.EligibleSince != tc.now {
		t.Fatalf("%v with %d places, its clocks from %v", dependent.State, dependent.AllocationCount, dependent.EligibleSince)
	}
}

// Nothing is known of a dependency: it may have been cancelled under an earlier
// leader and have left the lists.
func TestUnknownDependencyIsNeverTakenForDone(t *testing.T) {
	tc := newTestCluster(t)
	tc.addAgent("i-1", "a")
	job := tc.submitSpec(pipelineJob("j-2", "j-1"))
	tc.expectScheduled(0)
	if job.State != cluster.Blocked || len(tc.unknownDependencies) != 1 || tc.unknownDependencies[0] != "j-1" {
		t.Fatalf("%v, looked up: %v", job.State, tc.unknownDependencies)
	}
	tc.cluster.ApplyFinalStatus("j-1", cluster.FinalStatus{Aborted: true, EndedAt: tc.now}, tc.now)
	tc.expectScheduled(0)
	if job.AllocationCount > 0 || job.Status().State != wire.JobAborted {
		t.Fatalf("%v with %d places", job.Status().State, job.AllocationCount)
	}
}

func TestAbortCascadesToAllDependentsAndNothingElse(t *testing.T) {
	tc := newTestCluster(t)
	first := tc.submitSpec(pipelineJob("j-0"))
	other := tc.submitSpec(pipelineJob("j-100"))
	for i := 1; i < 20; i++ {
		tc.submitSpec(pipelineJob(fmt.Sprint("j-", i), fmt.Sprint("j-", i-1)))
	}
	both := tc.submitSpec(pipelineJob("j-101", "j-100", "j-19"))
	tc.cluster.BeginAbort(first)
	if len(tc.dependencyAborted) > 0 {
		t.Fatal("the withdrawal is not stored yet: its last task may still win")
	}
	tc.cluster.FinalizeJob(first, true, tc.now)
	if len(tc.dependencyAborted) != 20 || both.Status().State != wire.JobAborted {
		t.Fatalf("%d fell, the last is %v", len(tc.dependencyAborted), both.Status().State)
	}
	if other.State != cluster.Active {
		t.Fatalf("%v: nobody cancelled it", other.State)
	}
	if late := tc.submitSpec(pipelineJob("j-102", "j-101")); late.Status().State != wire.JobAborted ||
		late.State != cluster.Aborting {
		t.Fatalf("submitted later: %v", late.State)
	}
	if done := tc.submitSpec(pipelineJob("j-103", "j-100")); done.State != cluster.Blocked {
		t.Fatalf("%v", done.State)
	}
}

// A job is answered `done` to its cancellation: what comes after it goes on.
func TestCancellationAfterCompletionLetsDependentsStart(t *testing.T) {
	tc := newTestCluster(t)
	dependency := tc.submitSpec(pipelineJob("j-1"))
	dependent := tc.submitSpec(pipelineJob("j-2", "j-1"))
	tc.cluster.BeginAbort(dependency)
	tc.cluster.FinalizeJob(dependency, false, tc.now) // its last task had won
	if dependent.State != cluster.Active {
		t.Fatalf("%v", dependent.State)
	}
}

// A new leader finds one level aborted and stored, the next not yet.
func TestFailoverBetweenTwoLevelsFinishesTheCascade(t *testing.T) {
	tc := newTestCluster(t)
	tc.cluster.FinalStatuses["j-1"] = cluster.FinalStatus{Aborted: true}
	tc.cluster.FinalStatuses["j-5"] = cluster.FinalStatus{EndedAt: tc.now - 9*micro.Second}
	third, second := tc.submitSpec(pipelineJob("j-3", "j-2")), tc.submitSpec(
		pipelineJob("j-2", "j-1"),
	) // read in any command
	if second.Status().State != wire.JobAborted || third.Status().State != wire.JobAborted ||
		len(tc.dependencyAborted) != 2 {
		t.Fatalf("%v, %v", second.Status().State, third.Status().State)
	}
	tc.now += 5 * micro.Second
	if job := tc.cluster.AddJob(pipelineJob("j-6", "j-5"), tc.now-60*micro.Second, tc.now); job.State != cluster.Active ||
		job.EligibleSince != tc.now-14*micro.Second {
		t.Fatalf("%v, its clocks from %v s ago", job.State, (tc.now - job.EligibleSince).Seconds())
	}
}

func TestBlockedJobHoldsNoGuaranteeAndNoQueuePosition(t *testing.T) {
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
		t.Fatal("a job that can't start yet counts")
	}
	tc.now += 300 * micro.Second
	tc.cluster.FinalizeJob(tc.cluster.Jobs["j-1"], false, tc.now)
	if job := tc.cluster.Jobs["j-2"]; !tc.cluster.PendingJobs[job] || job.EligibleSince != tc.now {
		t.Fatal("its age counts from the end of what it awaited")
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
			"ranks %d, %d; %v after the first, %v after the second", first.PriorityLevel, second.PriorityLevel,
			first.CriticalPath, second.CriticalPath,
		)
	}
	machine := tc.cluster.Machines["i-1"]
	if machine.Preemptible(1).CPU != 0 || machine.Preemptible(0).CPU != 1 {
		t.Fatalf("the machine counts its place under the old rank: %+v", machine.UsedByPriority)
	}
	tc.cluster.BeginAbort(third)
	tc.cluster.FinalizeJob(third, true, tc.now)
	if first.PriorityLevel != 3 || first.DeadlineSource != nil || second.PriorityLevel != 3 ||
		machine.Preemptible(1).CPU != 1 {
		t.Fatalf("the job that asked for it is gone: rank %d", first.PriorityLevel)
	}
}
