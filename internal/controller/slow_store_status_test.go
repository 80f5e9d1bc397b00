package controller

import (
	"strings"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// delayJobEndWrites leaves one in oneIn writes of job ends unanswered, and has the store execute them up to 6 s later.
func (w *simCluster) delayJobEndWrites(oneIn int) {
	for _, controller := range w.controllers {
		controller.mu.Lock()
		if controller.link != nil {
			controller.link.OnCommit(func(transaction wire.Transaction) fake.CommitFault {
				for _, change := range transaction.Then {
					if strings.HasSuffix(change.Put, "/end") && w.randomInt(oneIn) == 0 {
						return fake.CommitFault{Unanswered: true, ExecuteAfter: w.randomTime(0, 6*micro.Second)}
					}
				}
				return fake.CommitFault{}
			})
		}
		controller.mu.Unlock()
	}
}

// pollUntilDone queries the status of a job at all nodes in turn, until its user knows that it is done.
func (w *simCluster) pollUntilDone(job *userJob) {
	for w.ctx.Err() == nil {
		for _, controller := range w.controllers {
			job.queryStatus(controller)
			time.Sleep(w.randomDuration(50*micro.Millisecond, 400*micro.Millisecond))
		}
		if knowledge := job.knowledge(); knowledge.done {
			return
		}
	}
}

// Guards against status replies that report a job as done and later as queued. This was seen while the store was ten
// times slower and nodes were restarted. The later reply came from a read that had started before the job's end was
// written, or from a leader whose write of the end was delayed.
func TestDoneJobsAreNotReportedAsQueuedWhileTheStoreIsSlow(t *testing.T) {
	runSeeds(t, 6, 3, func(sim *simCluster) {
		sim.fastBoot = true
		sim.waitForRestoredLeader()
		var jobs []*userJob
		for range 4 {
			sim.slowStore(sim.randomTime(100*micro.Millisecond, 900*micro.Millisecond), 20*micro.Second)
			sim.delayJobEndWrites(2)
			for range 6 {
				job := sim.newJob(jobRequest{
					kind: wire.JobArray, tasks: 2, cpus: 1, runTime: sim.randomTime(micro.Second, 8*micro.Second),
				})
				jobs = append(jobs, job)
				go func() {
					job.submit()
					sim.pollUntilDone(job)
				}()
			}
			sim.sleep(15 * micro.Second)
			sim.replaceLeader(3 * micro.Second)
		}
		sim.waitUntil("all users know that their jobs are done", 2*micro.Minute, func() bool {
			for _, job := range jobs {
				if !job.knowledge().done {
					return false
				}
			}
			return true
		})
		for _, job := range jobs {
			sim.pollUntilDone(job) // query each node once more
		}
	})
}
