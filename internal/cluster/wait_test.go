package cluster_test

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A job that fails wherever it goes is retried ever more seldom, but is retried:
// its user may have mended what was wrong.
func TestJobThatFailsEverywhereIsRetriedEachMinute(t *testing.T) {
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
				t.Fatalf("given up after %d tries", tries)
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
		t.Fatalf("the longest time between tries is %v s", longest.Seconds())
	}
}

// On the only machine left, which is slow, an array's task was stopped each time
// it overran, and never completed.
func TestTaskOnASlowMachineStaysIfNothingElseFits(t *testing.T) {
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
			t.Fatal("stopped, to come back to the same machine")
		}
	}
}

// A machine that left a dispatch unanswered, or whose zone's controllers are out of
// touch, takes tasks again with its next heartbeat.
func TestMachineTakesTasksAtOnceAfterItsNextHeartbeat(t *testing.T) {
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

// A task that ran for long and was lost does not count as one that waited all the
// time: the ordinary rules hold for it again.
func TestRequeuedTaskRestartsItsWaitingTime(t *testing.T) {
	tc, agent, job := newClusterWithTask(t, 1)
	tc.startTasks(agent)
	tc.now += 10 * micro.Minute
	tc.cluster.Machines["m1"].QuarantinedUntil = tc.now + 10*micro.Minute
	agent.Epoch++ // it lost what it ran
	clear(agent.Tasks)
	tc.heartbeat(agent)
	tc.expectAllocations(job, 0)
	tc.expectScheduled(0)
	tc.now += micro.Minute
	tc.expectScheduled(1)
}
