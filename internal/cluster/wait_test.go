package cluster_test

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A job that fails on every machine is retried less and less often, but it is still retried,
// because its user may have corrected the mistake.
func TestJobThatFailsEverywhereIsRetriedEveryMinute(t *testing.T) {
	tc := newTestCluster(t)
	var agents []*fake.Agent
	for i := range 12 {
		agents = append(agents, tc.addAgent(fmt.Sprint("m", 10+i), "a"))
	}
	job := tc.submit("j-1", wire.JobArray, 1, 1)
	failed, longest := tc.now, micro.Time(0)
	for tries := 0; tries < 40; tc.now += micro.Second {
		if tc.scheduler.Schedule(tc.now) == 0 {
			if tc.now-failed > 10*micro.Minute {
				t.Fatalf("not retried for 10 minutes after %d tries", tries)
			}
			continue
		}
		tries++
		longest = max(longest, tc.now-failed)
		tc.persist()
		for _, agent := range agents {
			tc.heartbeat(agent)
			agent.ExitTask("j-1/0", uint64(job.Tasks[0].Attempt), wire.CauseError)
			tc.heartbeat(agent)
		}
		tc.expectAllocations(job, 0)
		failed = tc.now
	}
	if longest < 30*micro.Second || longest > 62*micro.Second {
		t.Fatalf("the longest time between tries is %v s, want 30 to 62 s", longest.Seconds())
	}
}

// An array's task on the only remaining machine, which was slow, was stopped each time it overran
// and never completed.
func TestTaskOnASlowMachineIsNotStoppedIfNoOtherMachineFits(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	machine := tc.cluster.Machines["m1"]
	machine.QuarantinedUntil, machine.Overruns = tc.now+3*micro.Minute, 2
	job := tc.submit("j-1", wire.JobArray, 1, 1)
	tc.expectScheduled(0)
	tc.now += micro.Minute
	tc.expectScheduled(1)
	tc.persist()
	tc.heartbeat(agent)
	tc.heartbeat(agent)
	tc.now += 2 * micro.Minute
	for _, allocation := range job.Allocations() {
		if tc.cluster.CheckOverrun(allocation, 10*micro.Second, tc.now); allocation.Stopping {
			t.Fatal("the task is stopped although only the same machine is available")
		}
	}
}

// A machine that left a dispatch unanswered, or whose zone's controllers are unreachable, accepts
// tasks again after its next heartbeat.
func TestUnreachableMachineGetsTasksAfterItsNextHeartbeat(t *testing.T) {
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	tc.cluster.Machines["m1"].DispatchUnanswered = true
	tc.cluster.ZoneUnreachableSince["a"] = tc.now
	tc.submit("j-1", wire.JobArray, 1, 1)
	tc.expectScheduled(0)
	tc.now += 6 * micro.Second
	tc.heartbeat(agent)
	tc.expectScheduled(1)
}

// A task that ran for long and lost its allocation does not count as having waited all the time: the
// ordinary rules apply to it again.
func TestRequeuedTaskRestartsItsWaitingTime(t *testing.T) {
	tc, agent, job := newClusterWithTask(t, 1)
	tc.startTasks(agent)
	tc.now += 10 * micro.Minute
	tc.cluster.Machines["m1"].QuarantinedUntil = tc.now + 10*micro.Minute
	agent.Epoch++ // the machine lost its tasks
	clear(agent.Tasks)
	tc.heartbeat(agent)
	tc.expectAllocations(job, 0)
	tc.expectScheduled(0)
	tc.now += micro.Minute
	tc.expectScheduled(1)
}
