package scheduler

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Each case restricts a job that could be placed, and expects the reason that follows from the restriction.
func TestExplainPendingReturnsReason(t *testing.T) {
	now := 10 * micro.Second
	for _, test := range []struct {
		want PendingReason
		set  func(tc *testCluster, job *cluster.Job, machine *cluster.Machine)
	}{
		{ReasonNextPass, func(*testCluster, *cluster.Job, *cluster.Machine) {}},
		{ReasonPartialFit, func(_ *testCluster, job *cluster.Job, _ *cluster.Machine) {
			job.Spec.Kind, job.Spec.CPUs = wire.Gang, 4
		}},
		{ReasonGPUHeadroom, func(tc *testCluster, _ *cluster.Job, machine *cluster.Machine) {
			tc.cluster.DescribeMachine(machine, "gpu", "a", false)
			tc.cluster.EnsureClass("g").LastJob = &wire.Job{GPUs: 4, CPUs: 8, MemoryGB: 64}
		}},
		{ReasonPrice, func(tc *testCluster, _ *cluster.Job, _ *cluster.Machine) {
			tc.scheduler.WithinPrice = func(*cluster.Job, *cluster.MachineType, bool, micro.Time) bool { return false }
		}},
		{ReasonReserved, func(tc *testCluster, _ *cluster.Job, machine *cluster.Machine) {
			tc.scheduler.reserveMachine(machine, tc.submitArray("j-2", 1, 1, 0), true, now)
		}},
		{ReasonQuarantined, func(_ *testCluster, _ *cluster.Job, machine *cluster.Machine) {
			machine.QuarantinedUntil = now + 1
		}},
		{ReasonUnreachable, func(_ *testCluster, _ *cluster.Job, machine *cluster.Machine) {
			machine.DispatchUnanswered = true
		}},
		{ReasonZoneConstraint, func(_ *testCluster, job *cluster.Job, _ *cluster.Machine) {
			job.Spec.OneZone, job.AllocationsByZone["b"] = true, 1
		}},
		{ReasonInsufficientResources, func(_ *testCluster, _ *cluster.Job, machine *cluster.Machine) {
			machine.UsedMemoryGB = machine.Type.MemoryGB
		}},
		{ReasonQuota, func(_ *testCluster, job *cluster.Job, _ *cluster.Machine) { job.Team = &cluster.Team{CPULimit: 0.5} }},
		{ReasonQuotaReserved, func(tc *testCluster, job *cluster.Job, _ *cluster.Machine) {
			job.Team = &cluster.Team{CPULimit: 8, QuotaReservedFor: tc.submitArray("j-2", 1, 1, 0)}
		}},
		{ReasonBackoff, func(_ *testCluster, job *cluster.Job, _ *cluster.Machine) { job.NotBefore = now + 1 }},
		{ReasonGangStopping, func(_ *testCluster, job *cluster.Job, _ *cluster.Machine) { job.GangStopping = true }},
	} {
		tc := newTestCluster(t)
		job, machine := tc.submitArray("j-1", 2, 1, 0), tc.addMachine("i-1", "small", "a")
		test.set(tc, job, machine)
		if got := tc.scheduler.ExplainPending(job, now); got != test.want {
			t.Errorf("ExplainPending returned %q, want %q", got, test.want)
		}
	}
}
