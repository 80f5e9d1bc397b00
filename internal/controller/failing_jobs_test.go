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

// storeChangeCount returns the number of changes that the store has recorded for keys with the prefix.
func (w *simCluster) storeChangeCount(prefix string) int {
	ev, err := w.store.Watch(w.ctx, prefix, 0, 0)
	if err != nil {
		w.t.Fatal(err)
	}
	return len(ev.Events)
}

// schedulingPassCount returns the number of scheduling passes of the process, read from its metrics.
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

// Jobs that fail on every machine, 60 with one task and one with 3000 tasks, use a bounded number of task starts,
// record changes, provisioned machines and scheduling passes, whatever their number of tasks. Meanwhile jobs of another
// team finish in time, and the failing jobs can be cancelled like any other.
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
		var failing []*userJob
		for range singles {
			failing = append(
				failing, sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, runTime: 10 * micro.Second, alwaysFails: true}),
			)
		}
		large := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 3000, runTime: 10 * micro.Second, alwaysFails: true})
		failing = append(failing, large)
		for _, job := range failing {
			go job.submit()
		}
		var slowest micro.Time
		for from := sim.now(); sim.now() < from+span; {
			job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 4, runTime: 5 * micro.Second, team: "other"})
			at := sim.now()
			go job.submit()
			sim.waitUntil(
				job.id+" done beside the failing jobs", micro.Minute,
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
		for _, job := range failing[:singles] {
			most, all = max(most, starts[job.id]), all+starts[job.id]
		}
		largeStarts := starts[large.id]
		mu.Unlock()
		records, largeRecords := sim.storeChangeCount("run/"), sim.storeChangeCount("run/"+large.id+"/")
		t.Logf(
			"%d starts of %d one-task jobs, at most %d of one job; %d starts of the large job; %d record changes, "+
				"%d of the large job; %d machines provisioned, %d scheduling passes; the slowest healthy job took %.1f s",
			all,
			singles,
			most,
			largeStarts,
			records,
			largeRecords,
			machines,
			passes,
			slowest.Seconds(),
		)
		if most > 20 || largeStarts > 80 {
			t.Errorf("%d starts of a one-task job, %d of the large job, want at most 20 and 80", most, largeStarts)
		}
		if largeRecords > 3*largeStarts || records > 4*(all+largeStarts)+400 {
			t.Errorf("%d record changes, %d of them for the large job: more than its starts account for", records, largeRecords)
		}
		// At most one pass per 100 ms; many of them are for the healthy jobs.
		if most := int(sim.now() / (100 * micro.Millisecond)); passes > most {
			t.Errorf("%d scheduling passes, more than one per 100 ms", passes)
		}
		if machines > 16 {
			t.Errorf("%d machines were provisioned, want at most 16", machines)
		}
		if slowest > 25*micro.Second {
			t.Errorf("a healthy job took %.1f s, want at most 25 s", slowest.Seconds())
		}
		var done sync.WaitGroup
		at := sim.now()
		for _, job := range failing {
			done.Go(func() {
				if state := job.cancel(); state != wire.JobAborted {
					t.Errorf("%s: state %s after its cancellation, want aborted", job.id, state)
				}
			})
		}
		done.Wait()
		if took := sim.now() - at; took > 5*micro.Second {
			t.Errorf("the cancellations took %.1f s, want at most 5 s", took.Seconds())
		}
		sim.sleep(5 * micro.Second)
		mu.Lock()
		before := len(starts)
		n := starts[large.id]
		mu.Unlock()
		sim.sleep(micro.Minute)
		mu.Lock()
		defer mu.Unlock()
		if len(starts) != before || starts[large.id] != n {
			t.Error("tasks were started after the cancellation")
		}
	})
}
