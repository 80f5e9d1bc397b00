package controller

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// storeChangeCount counts the changes of the store whose key begins so.
func (w *simCluster) storeChangeCount(prefix string) int {
	ev, err := w.store.Watch(w.ctx, prefix, 0, 0)
	if err != nil {
		w.t.Fatal(err)
	}
	return len(ev.Events)
}

// schedulingPassCount is how often the process looked for capacity.
func (p *controllerProcess) schedulingPassCount() int {
	var b strings.Builder
	p.runningNode().Metrics.Write(&b)
	for line := range strings.Lines(b.String()) {
		var n int
		if _, err := fmt.Sscanf(line, "pass count=%d", &n); err == nil {
			return n
		}
	}
	return 0
}

// Jobs submitted with a mistake, many at once and one of thousands of tasks, cost
// so many starts, records, instance requests and passes, whatever their number of tasks;
// another team's work is served beside them, and they are cancelled like any.
func TestJobsThatFailOnEveryMachineUseBoundedResources(t *testing.T) {
	const (
		singles = 60
		span    = 3 * micro.Minute
	)
	runScenario(t, 5, 3, func(sim *simCluster) { sim.fastBoot = true }, func(sim *simCluster) {
		var mu sync.Mutex
		starts := map[string]int{}
		sim.onTaskStart = func(_ *fakeMachine, key fake.AttemptKey) {
			id, _, _ := wire.ParseTaskName(key.Task)
			mu.Lock()
			defer mu.Unlock()
			starts[id]++
		}
		sim.waitForRestoredLeader()
		var bad []*userJob
		for range singles {
			bad = append(
				bad, sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, runTime: 10 * micro.Second, alwaysFails: true}),
			)
		}
		huge := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 3000, runTime: 10 * micro.Second, alwaysFails: true})
		bad = append(bad, huge)
		for _, job := range bad {
			go job.submit()
		}
		var slowest micro.Time
		for from := sim.now(); sim.now() < from+span; {
			job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 4, runTime: 5 * micro.Second, team: "other"})
			at := sim.now()
			go job.submit()
			sim.waitUntil(
				job.id+" done beside the jobs that fail", micro.Minute,
				func() bool { return replyState(job.queryStatus(sim.randomUserNode())) == wire.JobDone },
			)
			slowest = max(slowest, sim.now()-at)
		}
		machines, _ := sim.instanceCounts()
		passes := 0
		for _, controller := range sim.controllers {
			passes += controller.schedulingPassCount()
		}
		mu.Lock()
		most, all := 0, 0
		for _, job := range bad[:singles] {
			most, all = max(most, starts[job.id]), all+starts[job.id]
		}
		hugeStarts := starts[huge.id]
		mu.Unlock()
		records, hugeRecords := sim.storeChangeCount("run/"), sim.storeChangeCount("run/"+huge.id+"/")
		t.Logf(
			"%d starts of %d jobs, %d at most of one, %d of the huge one; %d changes of records, %d of the huge one's; %d machines rented, %d passes; good work took %.1f s at most",
			all,
			singles,
			most,
			hugeStarts,
			records,
			hugeRecords,
			machines,
			passes,
			slowest.Seconds(),
		)
		if most > 20 || hugeStarts > 80 {
			t.Errorf("%d starts of one job, %d of the huge one", most, hugeStarts)
		}
		if hugeRecords > 3*hugeStarts || records > 4*(all+hugeStarts)+400 {
			t.Errorf("%d changes of records, %d of them the huge job's", records, hugeRecords)
		}
		// One for each tenth of a second at the most, of which many are for good work.
		if most := int(sim.now() / (100 * micro.Millisecond)); passes > most {
			t.Errorf("%d passes", passes)
		}
		if machines > 16 {
			t.Errorf("%d machines were rented", machines)
		}
		if slowest > 25*micro.Second {
			t.Errorf("good work took %.1f s", slowest.Seconds())
		}
		var done sync.WaitGroup
		at := sim.now()
		for _, job := range bad {
			done.Go(func() {
				if state := job.cancel(); state != wire.JobAborted {
					t.Errorf("%s: cancelled, and %s", job.id, state)
				}
			})
		}
		done.Wait()
		if took := sim.now() - at; took > 5*micro.Second {
			t.Errorf("cancelled after %.1f s", took.Seconds())
		}
		sim.sleep(5 * micro.Second)
		mu.Lock()
		before := len(starts)
		n := starts[huge.id]
		mu.Unlock()
		sim.sleep(micro.Minute)
		mu.Lock()
		defer mu.Unlock()
		if len(starts) != before || starts[huge.id] != n {
			t.Error("started after the cancellation")
		}
	})
}
