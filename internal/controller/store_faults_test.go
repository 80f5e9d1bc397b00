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

// Where users' questions meet writes: none is answered with something older than
// what a user was told, whatever the store does with the writes.

// waitForRestoredLeader waits for a leader and gives it, and the others.
func (w *simCluster) waitForRestoredLeader() (*controllerProcess, []*controllerProcess) {
	w.t.Helper()
	w.waitUntil("a leader that has taken over", micro.Minute, func() bool {
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

// jobStateInMemory is the state of a job in the memory of a leader: "" if it has none,
// "away" if it does not say.
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

// queryAllFor asks all nodes and repeats the submission at all, for so long.
func (j *userJob) queryAllFor(d micro.Time) {
	for end := j.sim.now() + d; j.sim.now() < end; j.sim.sleep(20 * micro.Millisecond) {
		for _, controller := range j.sim.controllers {
			go j.queryStatus(controller)
			go j.submitOnce(controller)
		}
	}
}

// checkFinalStatus asks every node once more: all say the same of a job that is over.
func (j *userJob) checkFinalStatus() {
	j.sim.t.Helper()
	s := j.knowledge()
	want := wire.JobDone
	if s.aborted {
		want = wire.JobAborted
	}
	for _, controller := range j.sim.controllers {
		if got := replyState(j.queryStatus(controller)); got != want {
			j.sim.t.Errorf("%s was over (%+v), %s says %q", j.id, s, controller.name, got)
		}
	}
}

// A job is cancelled at the leader, which has not heard yet that another node has
// accepted it: that is no reason to call it unknown.
func TestCancellationSucceedsForAJobUnknownToTheLeader(t *testing.T) {
	runScenario(t, 1, 3, nil, func(sim *simCluster) {
		leader, others := sim.waitForRestoredLeader()
		sim.partitionNode(others[0], 20*micro.Second, "peers") // it can't tell the leader
		met := 0
		for range 8 {
			sim.sleep(900 * micro.Millisecond)
			job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, runTime: 9 * micro.Second})
			if reply := job.submitOnce(others[0]); reply.Status != 201 {
				sim.t.Fatalf("%+v", reply)
			}
			if leader.jobStateInMemory(job.id) == "" {
				met++
			}
			for _, controller := range []*controllerProcess{leader, others[1]} {
				job.cancelOnce(controller)
				job.queryStatus(controller)
				job.submitOnce(controller)
			}
			job.queryRapidly()
			if state := job.cancel(); state != wire.JobAborted {
				sim.t.Errorf("%s: %s", job.id, state)
			}
			job.queryAllFor(100 * micro.Millisecond)
		}
		if met == 0 {
			sim.t.Error("the leader always knew")
		}
	})
}

// A leader that was cut from the store and the other nodes is asked, after its
// jobs were cancelled through the next one.
func TestFormerLeaderReportsNoStaleStateOfJobsCancelledByTheNext(t *testing.T) {
	runScenario(t, 1, 3, nil, func(sim *simCluster) {
		old, others := sim.waitForRestoredLeader()
		var jobs []*userJob
		for range 4 {
			jobs = append(jobs, sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, runTime: 5 * micro.Minute}).submit())
		}
		sim.waitUntil("all run", micro.Minute, func() bool {
			n := 0
			for _, job := range jobs {
				n += job.runningTasks()
			}
			return n == len(jobs)
		})
		sim.partitionNode(old, 40*micro.Second, "state", "peers")
		var next *controllerProcess
		sim.waitUntil("another leads", micro.Minute, func() bool {
			for _, controller := range others {
				if n := controller.runningNode(); n.activeLeader() != nil {
					next = controller
				}
			}
			return next != nil
		})
		for _, job := range jobs {
			sim.waitUntil(
				"cancelled through the next", micro.Minute,
				func() bool { return replyState(job.cancelOnce(next)) == wire.JobAborted },
			)
			if !old.partitionedFrom("state") {
				sim.t.Error("the cut is over")
			}
			job.queryAllFor(200 * micro.Millisecond)
		}
		sim.waitUntil("the cut over", micro.Minute, sim.noActiveFaults)
		sim.sleep(5 * micro.Second)
		for _, job := range jobs {
			job.checkFinalStatus()
		}
	})
}

// The end of a job is stored, and the leader gets no answer; a node that is cut
// from the leader reads it there, and tells the user.
func TestFinalStatusIsConsistentWhileItsWriteIsUncertain(t *testing.T) {
	for _, withdrawn := range []bool{false, true} {
		t.Run(fmt.Sprint("withdrawn ", withdrawn), func(t *testing.T) {
			runScenario(t, 2, 3, nil, func(sim *simCluster) {
				leader, others := sim.waitForRestoredLeader()
				reader := others[0]
				sim.partitionNode(reader, 5*micro.Minute, "peers")
				met := 0
				for range 4 {
					job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, runTime: 3 * micro.Second}).submit()
					sim.onCommit(
						leader, keys.JobEnd(job.id),
						func(n int, _ wire.Change) fake.CommitFault { return fake.CommitFault{Unanswered: n == 1} },
					)
					if withdrawn {
						go job.cancel()
					}
					sim.waitUntil("the end told", 2*micro.Minute, func() bool { return replyState(job.queryStatus(reader)).Final() })
					if s := leader.jobStateInMemory(job.id); s != cluster.Done.String() && s != cluster.Aborted.String() {
						met++
					}
					job.queryAllFor(1500 * micro.Millisecond)
					job.checkFinalStatus()
				}
				if met < 3 {
					sim.t.Errorf("the leader knew but in %d of 4", met)
				}
			})
		})
	}
}

// The write of an end gets no answer, and is not there when it is looked for; the
// next try is refused. Then the first is carried out, and read by another node.
func TestFinalStatusIsConsistentWhenItsWriteIsExecutedLate(t *testing.T) {
	runScenario(t, 3, 3, nil, func(sim *simCluster) {
		leader, others := sim.waitForRestoredLeader()
		reader := others[0]
		sim.partitionNode(reader, 5*micro.Minute, "peers")
		for range 4 {
			job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, runTime: 3 * micro.Second}).submit()
			var mu sync.Mutex
			tries, until := 0, micro.Time(0)
			sim.onCommit(leader, keys.JobEnd(job.id), func(n int, _ wire.Change) fake.CommitFault {
				mu.Lock()
				defer mu.Unlock()
				if tries = n; n == 1 {
					until = sim.now() + 4*micro.Second
					return fake.CommitFault{Unanswered: true, ExecuteAfter: 2 * micro.Second}
				}
				return fake.CommitFault{Refused: sim.now() < until}
			})
			sim.waitUntil("the end told", 2*micro.Minute, func() bool { return replyState(job.queryStatus(reader)).Final() })
			mu.Lock()
			if s := leader.jobStateInMemory(job.id); tries < 2 || s != cluster.Finishing.String() {
				sim.t.Errorf("%d tries, the leader has %s", tries, s)
			}
			mu.Unlock()
			job.queryAllFor(2 * micro.Second)
			sim.sleep(3 * micro.Second)
			job.checkFinalStatus()
		}
	})
}

// allocationsIn is how many places a record names.
func allocationsIn(c wire.Change) int {
	switch r := c.Value.(type) {
	case cluster.ChunkRecord:
		return len(r.Allocations)
	case cluster.CompactRecord:
		return len(r.Allocations)
	}
	return 0
}

// The first record of a job is carried out after newer ones of the same leader,
// which ends then, while the job's machines reach no node: were the old record
// taken, the next leader would start a task that runs.
func TestRecordsAreNotOverwrittenByOlderOnesThatArriveLate(t *testing.T) {
	met := 0
	for seed := range uint64(4) {
		runScenario(t, seed, 3, func(sim *simCluster) { sim.fastBoot = true }, func(sim *simCluster) {
			leader, _ := sim.waitForRestoredLeader()
			job := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 3, cpus: 4, runTime: 2 * micro.Minute})
			var mu sync.Mutex
			first, newest, late := 0, 0, micro.Time(0)
			sim.onCommit(leader, "run/"+job.id+"/", func(n int, c wire.Change) fake.CommitFault {
				mu.Lock()
				defer mu.Unlock()
				newest = allocationsIn(c)
				if n > 1 {
					return fake.CommitFault{}
				}
				first, late = newest, sim.now()+25*micro.Second
				return fake.CommitFault{Unanswered: true, ExecuteAfter: 25 * micro.Second}
			})
			job.submit()
			sim.waitUntil("all run", 24*micro.Second, func() bool { return job.runningTasks() == 3 })
			mu.Lock()
			if first < newest {
				met++
			}
			at := late
			mu.Unlock()
			sim.sleep(at - sim.now() - 100*micro.Millisecond)
			for _, machine := range sim.liveMachines() {
				machine.loseHeartbeats(30 * micro.Second)
			}
			sim.sleep(500 * micro.Millisecond)
			sim.restartController(leader, 5*micro.Second)
			sim.waitUntil(
				"done", 8*micro.Minute, func() bool { return replyState(job.queryStatus(sim.randomUserNode())) == wire.JobDone },
			)
		})
	}
	if met < 2 {
		t.Errorf("the late record lacked places in %d of 4 simulations", met)
	}
}

// The store is slow to answer a node that is cut from the others, and reads it for
// every poll. An answer that a job is not over comes no later after another node said
// that it is than a read may take whose answer is still worth telling.
func TestSlowReadsAreNotReturnedOnceTheyAreStale(t *testing.T) {
	runScenario(t, 5, 3, nil, func(sim *simCluster) {
		leader, others := sim.waitForRestoredLeader()
		reader := others[0]
		sim.partitionNode(reader, 5*micro.Minute, "peers")
		late, answers, across := micro.Time(0), 0, 0
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
			ask := func(controller *controllerProcess) {
				began := sim.now()
				state := replyState(job.queryStatus(controller))
				mu.Lock()
				defer mu.Unlock()
				if controller == reader && reportedAt > began {
					across++
				}
				switch {
				case state.Final() && reportedAt == 0:
					reportedAt = sim.now()
				case state != "" && !state.Final():
					if controller == reader {
						answers++
					}
					if reportedAt > 0 {
						late = max(late, sim.now()-reportedAt)
					}
				}
			}
			for end := sim.now() + 13*micro.Second; sim.now() < end; sim.sleep(20 * micro.Millisecond) {
				go ask(leader)
				go ask(reader)
			}
			sim.sleep(3 * micro.Second)
		}
		sim.waitUntil("calm", 6*micro.Minute, sim.noActiveFaults)
		sim.sleep(10 * micro.Second)
		for _, job := range jobs {
			sim.waitUntil(job.id+" over", 2*micro.Minute, func() bool { return replyState(job.queryStatus(reader)).Final() })
			job.checkFinalStatus()
		}
		sim.t.Logf(
			"%d answers read in time, %d reads under way when the end was told, the oldest told %.3f s after it", answers,
			across, late.Seconds(),
		)
		if answers == 0 || across == 0 {
			sim.t.Error("no answer was read in time, or no read was under way at the end")
		}
		if late > jobapi.MaxReadAge {
			sim.t.Errorf("a job was called unfinished %.3f s after it was called over", late.Seconds())
		}
	})
}

// Jobs are cancelled, asked for and submitted again at the end of their last task,
// with no other trouble; the store and the agents take their usual time. Each has one end, and all
// nodes name it for ever. The leader hears of the end by as much later as agents take.
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
			before := sim.randomDuration(0, 600*micro.Millisecond)
			go func() {
				defer wg.Done()
				sim.waitUntil(job.id+" runs", 3*micro.Minute, func() bool { return job.runningTasks() > 0 })
				time.Sleep(3*time.Second + agentLatency.Duration() - 300*time.Millisecond + before)
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
		for _, e := range events.Events {
			ends[e.Put]++
		}
		for _, job := range jobs {
			if n := ends[keys.JobEnd(job.id)]; n != 1 {
				sim.t.Errorf("%s has %d ends", job.id, n)
			}
		}
		sim.t.Logf("%d of %d done, the others cancelled", done, len(jobs))
		if done < 10 || done > 50 {
			sim.t.Errorf("%d of 60 are done: the cancellations missed the ends", done)
		}
	})
}

// Users look closely at whatever was just accepted, has ended or was cancelled,
// while answers to writes are lost and the leader changes.
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
				sim.waitUntil("calm", 3*micro.Minute, sim.noActiveFaults)
				sim.sleep(10 * micro.Second)
				for _, job := range jobs {
					job.checkFinalStatus()
				}
			})
		})
	}
}
