package controller

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/jobapi"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Tests of status queries that race with writes: no answer may be older than what a user was told before, whatever the
// store does with the writes.

// waitForRestoredLeader waits until a leader has recovered, and returns it and the other controllers.
func (w *simCluster) waitForRestoredLeader() (*controllerProcess, []*controllerProcess) {
	w.t.Helper()
	w.waitUntil("a leader that has recovered", micro.Minute, func() bool {
		l := w.leader()
		return l != nil && l.jobStateInMemory("") != "away"
	})
	l := w.leader()
	var others []*controllerProcess
	for _, controller := range w.controllers {
		if controller != l {
			others = append(others, controller)
		}
	}
	return l, others
}

// jobStateInMemory returns the state of a job in the memory of a leader: "" if it does not know the job, "away" if the
// node does not lead or does not answer within a second.
func (p *controllerProcess) jobStateInMemory(id string) string {
	node := p.runningNode()
	if node == nil {
		return "away"
	}
	leader := node.activeLeader()
	if leader == nil {
		return "away"
	}
	ch := make(chan string, 1)
	leader.post(func() {
		if job := leader.cluster.Jobs[id]; job != nil {
			ch <- job.State.String()
		} else {
			ch <- ""
		}
	})
	select {
	case s := <-ch:
		return s
	case <-time.After(time.Second):
		return "away"
	}
}

// queryAllFor queries the status at all nodes, and repeats the submission at all of them, for a time.
func (j *userJob) queryAllFor(span micro.Time) {
	for end := j.sim.now() + span; j.sim.now() < end; j.sim.sleep(20 * micro.Millisecond) {
		for _, controller := range j.sim.controllers {
			go j.queryStatus(controller)
			go j.submitOnce(controller)
		}
	}
}

// checkFinalStatus queries every node for a job that has ended: all must report its final status.
func (j *userJob) checkFinalStatus() {
	j.sim.t.Helper()
	known := j.knowledge()
	want := wire.JobDone
	if known.aborted {
		want = wire.JobAborted
	}
	for _, controller := range j.sim.controllers {
		if got := replyState(j.queryStatus(controller)); got != want {
			j.sim.t.Errorf("%s has ended (%+v), %s reports %q", j.id, known, controller.name, got)
		}
	}
}

// A job is cancelled at the leader, which has not yet been notified that another node accepted it. The leader must not
// report it as unknown.
func TestCancellationSucceedsForAJobUnknownToTheLeader(t *testing.T) {
	runScenario(t, 1, 3, nil, func(sim *simCluster) {
		leader, others := sim.waitForRestoredLeader()
		sim.partitionNode(others[0], 20*micro.Second, "peers") // it cannot notify the leader
		unknownCount := 0
		for range 8 {
			sim.sleep(900 * micro.Millisecond)
			job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, runTime: 9 * micro.Second})
			if reply := job.submitOnce(others[0]); reply.Status != 201 {
				sim.t.Fatalf("submission got %+v, want status 201", reply)
			}
			if leader.jobStateInMemory(job.id) == "" {
				unknownCount++
			}
			for _, controller := range []*controllerProcess{leader, others[1]} {
				job.cancelOnce(controller)
				job.queryStatus(controller)
				job.submitOnce(controller)
			}
			job.queryRapidly()
			if state := job.cancel(); state != wire.JobAborted {
				sim.t.Errorf("%s is %s after its cancellation, want aborted", job.id, state)
			}
			job.queryAllFor(100 * micro.Millisecond)
		}
		if unknownCount == 0 {
			sim.t.Error("the leader knew every job before its cancellation")
		}
	})
}

// A leader that was partitioned from the store and the other nodes is queried after its jobs were cancelled through the
// next leader. It must not report their old state.
func TestFormerLeaderReportsNoStaleStateOfJobsCancelledByTheNext(t *testing.T) {
	runScenario(t, 1, 3, nil, func(sim *simCluster) {
		old, others := sim.waitForRestoredLeader()
		var jobs []*userJob
		for range 4 {
			jobs = append(jobs, sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, runTime: 5 * micro.Minute}).submit())
		}
		sim.waitUntil("all jobs running", micro.Minute, func() bool {
			n := 0
			for _, job := range jobs {
				n += job.runningTasks()
			}
			return n == len(jobs)
		})
		sim.partitionNode(old, 40*micro.Second, "state", "peers")
		var next *controllerProcess
		sim.waitUntil("another node leads", micro.Minute, func() bool {
			for _, controller := range others {
				if n := controller.runningNode(); n.activeLeader() != nil {
					next = controller
				}
			}
			return next != nil
		})
		for _, job := range jobs {
			sim.waitUntil(
				"job cancelled through the next leader", micro.Minute,
				func() bool { return replyState(job.cancelOnce(next)) == wire.JobAborted },
			)
			if !old.partitionedFrom("state") {
				sim.t.Error("the partition ended too early")
			}
			job.queryAllFor(200 * micro.Millisecond)
		}
		sim.waitUntil("partition ended", micro.Minute, sim.noActiveFaults)
		sim.sleep(5 * micro.Second)
		for _, job := range jobs {
			job.checkFinalStatus()
		}
	})
}

// The final status of a job is stored, but the leader gets no response to its write. A node that is partitioned from
// the leader reads the final status from the store and reports it to the user; no node may contradict it afterwards.
func TestFinalStatusIsConsistentWhileItsWriteIsUncertain(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		t.Run(fmt.Sprint("cancelled ", cancelled), func(t *testing.T) {
			runScenario(t, 2, 3, nil, func(sim *simCluster) {
				leader, others := sim.waitForRestoredLeader()
				reader := others[0]
				sim.partitionNode(reader, 5*micro.Minute, "peers")
				unawareCount := 0
				for range 4 {
					job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, runTime: 3 * micro.Second}).submit()
					sim.onCommit(
						leader, keys.JobEnd(job.id),
						func(n int, _ wire.Change) fake.CommitFault { return fake.CommitFault{Unanswered: n == 1} },
					)
					if cancelled {
						go job.cancel()
					}
					sim.waitUntil(
						"final status reported", 2*micro.Minute, func() bool { return replyState(job.queryStatus(reader)).Final() },
					)
					if state := leader.jobStateInMemory(job.id); state != cluster.Done.String() && state != cluster.Aborted.String() {
						unawareCount++
					}
					job.queryAllFor(1500 * micro.Millisecond)
					job.checkFinalStatus()
				}
				if unawareCount < 3 {
					sim.t.Errorf("the leader did not know the final status in %d of 4 cases, want at least 3", unawareCount)
				}
			})
		})
	}
}

// The write of a final status gets no response and is not found when the leader reads the record back; the next attempt
// is refused. Then the store executes the first write late, and another node reads it.
func TestFinalStatusIsConsistentWhenItsWriteIsExecutedLate(t *testing.T) {
	runScenario(t, 3, 3, nil, func(sim *simCluster) {
		leader, others := sim.waitForRestoredLeader()
		reader := others[0]
		sim.partitionNode(reader, 5*micro.Minute, "peers")
		for range 4 {
			job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, runTime: 3 * micro.Second}).submit()
			var mu sync.Mutex
			attempts, refuseUntil := 0, micro.Time(0)
			sim.onCommit(leader, keys.JobEnd(job.id), func(n int, _ wire.Change) fake.CommitFault {
				mu.Lock()
				defer mu.Unlock()
				if attempts = n; n == 1 {
					refuseUntil = sim.now() + 4*micro.Second
					return fake.CommitFault{Unanswered: true, ExecuteAfter: 2 * micro.Second}
				}
				return fake.CommitFault{Refused: sim.now() < refuseUntil}
			})
			sim.waitUntil(
				"final status reported", 2*micro.Minute, func() bool { return replyState(job.queryStatus(reader)).Final() },
			)
			mu.Lock()
			if state := leader.jobStateInMemory(job.id); attempts < 2 || state != cluster.Finishing.String() {
				sim.t.Errorf(
					"%d write attempts, job is %s in the memory of the leader; want at least 2 and finishing", attempts, state,
				)
			}
			mu.Unlock()
			job.queryAllFor(2 * micro.Second)
			sim.sleep(3 * micro.Second)
			job.checkFinalStatus()
		}
	})
}

// allocationsIn returns the number of allocations in a chunk record, in either format; 0 for other records.
func allocationsIn(c wire.Change) int {
	switch r := c.Value.(type) {
	case cluster.ChunkRecord:
		return len(r.Allocations)
	case cluster.CompactRecord:
		return len(r.Allocations)
	}
	return 0
}

// The store executes the first write of a job's chunk record after newer writes of the same leader. That leader then
// stops while the job's machines reach no node. If the old record were accepted, the next leader would start a task
// that is already running.
func TestRecordsAreNotOverwrittenByOlderOnesThatArriveLate(t *testing.T) {
	staleCount := 0
	for seed := range uint64(4) {
		runScenario(t, seed, 3, func(sim *simCluster) { sim.fastBoot = true }, func(sim *simCluster) {
			leader, _ := sim.waitForRestoredLeader()
			job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 3, cpus: 4, runTime: 2 * micro.Minute})
			var mu sync.Mutex
			first, newest, lateAt := 0, 0, micro.Time(0)
			sim.onCommit(leader, "run/"+job.id+"/", func(n int, c wire.Change) fake.CommitFault {
				mu.Lock()
				defer mu.Unlock()
				newest = allocationsIn(c)
				if n > 1 {
					return fake.CommitFault{}
				}
				first, lateAt = newest, sim.now()+25*micro.Second
				return fake.CommitFault{Unanswered: true, ExecuteAfter: 25 * micro.Second}
			})
			job.submit()
			sim.waitUntil("all tasks running", 24*micro.Second, func() bool { return job.runningTasks() == 3 })
			mu.Lock()
			if first < newest {
				staleCount++
			}
			executedAt := lateAt
			mu.Unlock()
			sim.sleep(executedAt - sim.now() - 100*micro.Millisecond)
			for _, machine := range sim.liveMachines() {
				machine.loseHeartbeats(30 * micro.Second)
			}
			sim.sleep(500 * micro.Millisecond)
			sim.restartController(leader, 5*micro.Second)
			sim.waitUntil(
				"job done", 8*micro.Minute,
				func() bool { return replyState(job.queryStatus(sim.randomUserNode())) == wire.JobDone },
			)
		})
	}
	if staleCount < 2 {
		t.Errorf("the late record lacked allocations in %d of 4 simulations, want at least 2", staleCount)
	}
}

// The store is slow to answer a node that is partitioned from the others and therefore reads the store for every status
// query. After another node has reported that a job ended, this node may report it as not ended only for as long as
// the longest read whose result may still be returned.
func TestSlowReadsAreNotReturnedOnceTheyAreStale(t *testing.T) {
	runScenario(t, 5, 3, nil, func(sim *simCluster) {
		leader, others := sim.waitForRestoredLeader()
		reader := others[0]
		sim.partitionNode(reader, 5*micro.Minute, "peers")
		maxStaleness, answers, readsInFlight := micro.Time(0), 0, 0
		var jobs []*userJob
		for i := range 12 {
			job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, runTime: 4 * micro.Second}).submit()
			jobs = append(jobs, job)
			sim.slowStoreFor(
				[]*controllerProcess{reader}, []micro.Time{350 * micro.Millisecond, 700 * micro.Millisecond}[i%2], 14*micro.Second,
			)
			var mu sync.Mutex
			reportedAt := micro.Time(0)
			if i%4 > 1 {
				time.AfterFunc(sim.randomDuration(micro.Second, 6*micro.Second), func() { job.cancel() })
			}
			query := func(controller *controllerProcess) {
				began := sim.now()
				state := replyState(job.queryStatus(controller))
				mu.Lock()
				defer mu.Unlock()
				if controller == reader && reportedAt > began {
					readsInFlight++
				}
				switch {
				case state.Final() && reportedAt == 0:
					reportedAt = sim.now()
				case state != "" && !state.Final():
					if controller == reader {
						answers++
					}
					if reportedAt > 0 {
						maxStaleness = max(maxStaleness, sim.now()-reportedAt)
					}
				}
			}
			for end := sim.now() + 13*micro.Second; sim.now() < end; sim.sleep(20 * micro.Millisecond) {
				go query(leader)
				go query(reader)
			}
			sim.sleep(3 * micro.Second)
		}
		sim.waitUntil("no active faults", 6*micro.Minute, sim.noActiveFaults)
		sim.sleep(10 * micro.Second)
		for _, job := range jobs {
			sim.waitUntil(job.id+" ended", 2*micro.Minute, func() bool { return replyState(job.queryStatus(reader)).Final() })
			job.checkFinalStatus()
		}
		sim.t.Logf(
			"%d answers read in time, %d reads in flight when the final status was reported, the oldest answered %.3f s later",
			answers,
			readsInFlight, maxStaleness.Seconds(),
		)
		if answers == 0 || readsInFlight == 0 {
			sim.t.Error("no answer was read in time, or no read was in flight when a final status was reported")
		}
		if maxStaleness > jobapi.MaxReadAge {
			sim.t.Errorf("a job was reported as not ended %.3f s after its final status was reported", maxStaleness.Seconds())
		}
	})
}

// Jobs are cancelled, queried and resubmitted as their last task ends, without other faults; store and agents have
// their usual latencies. Each job must have exactly one final status, which all nodes report from then on. The leader
// learns of a task's end later by the latency of the agents.
func TestJobHasOneFinalStatusWhenCancelledAsItsLastTaskEnds(t *testing.T) {
	const agentLatency = 100 * micro.Millisecond
	runScenario(t, 6, 3, nil, func(sim *simCluster) {
		sim.waitForRestoredLeader()
		sim.slowStore(150*micro.Millisecond, 10*micro.Minute)
		sim.slowAgents(agentLatency, 10*micro.Minute)
		var jobs []*userJob
		var wg sync.WaitGroup
		for i := range 60 {
			job := sim.newJob(
				jobRequest{kind: wire.JobArray, tasks: 1, runTime: 3 * micro.Second, cpus: 1, team: []string{"team", "other"}[i%2]},
			).submit()
			jobs = append(jobs, job)
			wg.Add(1)
			delay := sim.randomDuration(0, 600*micro.Millisecond)
			go func() {
				defer wg.Done()
				sim.waitUntil(job.id+" running", 3*micro.Minute, func() bool { return job.runningTasks() > 0 })
				time.Sleep(3*time.Second + agentLatency.Duration() - 300*time.Millisecond + delay)
				go job.queryRapidly()
				job.cancel()
				job.queryRapidly()
			}()
			sim.sleep(500 * micro.Millisecond)
		}
		wg.Wait()
		leader, _ := sim.waitForRestoredLeader()
		sim.restartController(leader, 2*micro.Second)
		sim.sleep(20 * micro.Second)
		done := 0
		for _, job := range jobs {
			job.checkFinalStatus()
			if job.knowledge().done {
				done++
			}
		}
		events, err := sim.store.Watch(sim.ctx, "job/", 0, 0)
		if err != nil {
			sim.t.Fatal(err)
		}
		ends := map[string]int{}
		for _, event := range events.Events {
			ends[event.Put]++
		}
		for _, job := range jobs {
			if count := ends[keys.JobEnd(job.id)]; count != 1 {
				sim.t.Errorf("%s has %d final status records, want 1", job.id, count)
			}
		}
		sim.t.Logf("%d of %d jobs done, the others cancelled", done, len(jobs))
		if done < 10 || done > 50 {
			sim.t.Errorf("%d of 60 jobs done, want 10 to 50: the cancellations did not coincide with the task ends", done)
		}
	})
}

// Users query rapidly whatever was just accepted, has ended or was cancelled, while responses to writes are lost and
// the leader changes. No node may contradict a final status that was reported.
func TestStatusStaysConsistentWhileResponsesAreLostAndLeadersChange(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runScenario(t, seed+10, 3+int(seed%3), nil, func(sim *simCluster) {
				sim.waitForRestoredLeader()
				sim.disturbCommits([]float64{0, 0.15}[seed%2], 0.3, 80*micro.Second)
				if seed%3 == 2 {
					sim.partitionNode(sim.controllers[0], 60*micro.Second, "peers")
				}
				var wg sync.WaitGroup
				var jobs []*userJob
				for i := range 30 {
					job := sim.newJob(
						jobRequest{kind: wire.JobArray, tasks: 1 + i%2, runTime: 2 * micro.Second, team: []string{"team", "other"}[i%2]},
					)
					jobs = append(jobs, job)
					wg.Add(1)
					go func() {
						defer wg.Done()
						job.submit()
						job.queryRapidly()
						if i%3 == 0 {
							job.cancel()
						}
						for range 600 {
							if knowledge := job.knowledge(); knowledge.done || knowledge.aborted {
								break
							}
							for _, controller := range sim.controllers {
								go job.queryStatus(controller)
							}
							sim.sleep(200 * micro.Millisecond)
						}
						job.queryRapidly()
						job.queryRapidly()
					}()
					sim.sleep(2 * micro.Second)
					if i%8 == 7 {
						if leader := sim.leader(); leader != nil {
							sim.restartController(leader, 3*micro.Second)
						}
					}
				}
				wg.Wait()
				sim.waitUntil("no active faults", 3*micro.Minute, sim.noActiveFaults)
				sim.sleep(10 * micro.Second)
				for _, job := range jobs {
					job.checkFinalStatus()
				}
			})
		})
	}
}
