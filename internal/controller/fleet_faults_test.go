package controller

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Where the fleet changes: machines that come and go while writes lag, more work
// than capacity, and a stream of small jobs.

// allocationStored reports whether the store holds the record of an allocation.
func (w *simCluster) allocationStored(machine string, key fake.AttemptKey) bool {
	id, index, _ := wire.ParseTaskName(key.Task)
	page, err := w.store.Range(context.Background(), store.Routine, keys.ChunkPrefixFor(id), "", 1000)
	if err != nil {
		w.t.Error(err)
	}
	for _, item := range page.Items {
		var rec cluster.ChunkRecord
		if strings.HasPrefix(item.Key, keys.ChunkPrefixFor(id)+keys.CompactMark) {
			var c cluster.CompactRecord
			if wire.Unmarshal(item.Value, &c) == nil {
				rec, _ = c.Expand()
			}
		} else if wire.Unmarshal(item.Value, &rec) != nil {
			continue
		}
		for _, x := range rec.Allocations {
			if x.Index == index && uint64(x.Attempt) == key.Attempt && x.Machine == machine {
				return true
			}
		}
	}
	return false
}

// instanceCounts is how many machines the cloud ever gave, and how many came back.
func (w *simCluster) instanceCounts() (all, back int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.machines), len(w.cloud.terminated)
}

// New machines are up within two seconds and get work at once while writes lag,
// answers of instance requests are lost, and the leader ends. The next one adopts them: none
// is rented twice or returned, and no task starts without its record.
//
//revive:disable-next-line:cognitive-complexity,function-length a scenario in one piece, still to be split
func TestFastBootingMachinesAreAdoptedOnFailover(t *testing.T) {
	for _, test := range []struct {
		name string
		lag  func(sim *simCluster, leader *controllerProcess) (met func() bool)
	}{
		{"rental's answer lost", func(sim *simCluster, leader *controllerProcess) func() bool {
			sim.cloud.lostAnswerRatio = 1
			return func() bool {
				all, _ := sim.instanceCounts()
				return all > 0 && len(sim.liveMachines()) == all
			}
		}},
		{"rental's record late", func(sim *simCluster, leader *controllerProcess) func() bool {
			tries := 0
			var mu sync.Mutex
			sim.onCommit(leader, "hire/", func(n int, _ wire.Change) fake.CommitFault {
				mu.Lock()
				defer mu.Unlock()
				tries = n
				return fake.CommitFault{Unanswered: true, ExecuteAfter: 30 * micro.Second}
			})
			return func() bool { mu.Lock(); defer mu.Unlock(); return tries > 3 }
		}},
		// The next leader is there at once, before the machines are.
		{"rental's answer lost and handed over", func(sim *simCluster, leader *controllerProcess) func() bool {
			sim.cloud.lostAnswerRatio = 1
			return func() bool {
				if all, _ := sim.instanceCounts(); all == 0 {
					return false
				}
				leader.resignTerm()
				return true
			}
		}},
		{"rental's record late and handed over", func(sim *simCluster, leader *controllerProcess) func() bool {
			out := false
			var mu sync.Mutex
			sim.onCommit(leader, "hire/", func(int, wire.Change) fake.CommitFault {
				mu.Lock()
				defer mu.Unlock()
				out = true
				return fake.CommitFault{Unanswered: true, ExecuteAfter: 30 * micro.Second}
			})
			return func() bool {
				mu.Lock()
				defer mu.Unlock()
				if !out {
					return false
				}
				sim.sleep(300 * micro.Millisecond) // an instance request would be answered by now
				leader.resignTerm()
				return true
			}
		}},
		{"starts' records late", func(sim *simCluster, leader *controllerProcess) func() bool {
			tries := 0
			var mu sync.Mutex
			sim.onCommit(leader, "run/", func(n int, _ wire.Change) fake.CommitFault {
				mu.Lock()
				defer mu.Unlock()
				tries = n
				return fake.CommitFault{Unanswered: true, ExecuteAfter: 3 * micro.Second}
			})
			return func() bool { mu.Lock(); defer mu.Unlock(); return tries > 2 }
		}},
		{"starts' answers lost", func(sim *simCluster, leader *controllerProcess) func() bool {
			sim.onCommit(leader, "run/", func(n int, _ wire.Change) fake.CommitFault { return fake.CommitFault{Unanswered: n%2 == 1} })
			return func() bool { return sim.checker.totalStartCount() > 0 }
		}},
		{"slow store", func(sim *simCluster, leader *controllerProcess) func() bool {
			sim.slowStore(700*micro.Millisecond, 30*micro.Second)
			return func() bool { return sim.checker.totalStartCount() > 0 }
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(3) {
				runScenario(t, seed, 3, func(sim *simCluster) {
					sim.fastBoot = true
					sim.onTaskStart = func(machine *fakeMachine, key fake.AttemptKey) {
						if !sim.allocationStored(machine.agent.Name, key) {
							sim.t.Errorf("%v: %s starts on %s without its record", sim.now(), key.Task, machine.agent.Name)
						}
					}
				}, func(sim *simCluster) {
					leader, _ := sim.waitForRestoredLeader()
					met := test.lag(sim, leader)
					var jobs []*userJob
					for i := range 6 {
						jobs = append(
							jobs,
							sim.newJob(
								jobRequest{
									kind: wire.JobArray, tasks: 1, cpus: 4, runTime: 50 * micro.Second, priority: wire.Production,
									team: []string{"team", "other"}[i%2],
								},
							).submit(),
						)
					}
					sim.waitUntil("the meeting", 30*micro.Second, met)
					if !strings.HasSuffix(test.name, "handed over") {
						sim.restartController(leader, 8*micro.Second)
					}
					sim.mu.Lock()
					sim.cloud.lostAnswerRatio = 0
					sim.mu.Unlock()
					sim.waitUntil("all run", 60*micro.Second, func() bool {
						for _, job := range jobs {
							if job.runningTasks() == 0 && !job.knowledge().done {
								return false
							}
						}
						return true
					})
					// Six tasks of four CPUs: as many small machines, and now and then one
					// that is asked for in the moment in which another comes up. Were those
					// of the former leader rented once more, it would be twelve.
					if all, back := sim.instanceCounts(); all > 9 || back > 0 {
						sim.t.Errorf("seed %d: %d machines were rented for 6 tasks, %d returned", seed, all, back)
					}
					for _, job := range jobs {
						sim.waitUntil(
							job.id+" done", 3*micro.Minute,
							func() bool { return replyState(job.queryStatus(sim.randomUserNode())) == wire.JobDone },
						)
					}
					if all, _ := sim.instanceCounts(); all > 9 {
						sim.t.Errorf("seed %d: %d machines were rented for 6 tasks", seed, all)
					}
				})
			}
		})
	}
}

// resignTerm has a leader give up its term, as one does that no agent reaches.
func (p *controllerProcess) resignTerm() {
	if l := p.runningNode().activeLeader(); l != nil {
		l.post(func() { l.resign("for a scenario") })
	}
}

// totalStartCount is how many tasks began so far.
func (c *checker) totalStartCount() int { c.mu.Lock(); defer c.mu.Unlock(); return c.startCount }

// There is more work than capacity, and store and agents are slow to answer. Urgent
// jobs take the place of others without ever meeting them there.
func TestJobsFinishWhenDemandExceedsCapacityOverSlowLinks(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runScenario(t, seed, 3, func(sim *simCluster) {
				sim.fastBoot = true
				sim.cloud.Capacity = 3
			}, func(sim *simCluster) {
				sim.waitForRestoredLeader()
				sim.slowStore(600*micro.Millisecond, 4*micro.Minute)
				sim.slowAgents(600*micro.Millisecond, 4*micro.Minute)
				var jobs []*userJob
				for i := range 8 {
					jobs = append(
						jobs,
						sim.newJob(
							jobRequest{
								kind: wire.JobArray, tasks: 4, cpus: 2, runTime: 25 * micro.Second,
								priority: []wire.Priority{wire.Low, wire.Normal}[i%2], team: []string{"team", "other"}[i%2],
							},
						).submit(),
					)
				}
				full := func() bool {
					n := 0
					for _, job := range jobs {
						n += job.runningTasks()
					}
					return n >= 6
				}
				sim.waitUntil("no room left", micro.Minute, full)
				var urgent []*userJob
				for i := range 4 {
					job := sim.newJob(
						jobRequest{
							kind: wire.JobArray, tasks: 2, cpus: 2, runTime: 15 * micro.Second, priority: wire.Production,
							team: []string{"team", "other"}[i%2],
						},
					).submit()
					urgent = append(urgent, job)
					asked := sim.now()
					sim.waitUntil(
						"the urgent one runs", 30*micro.Second, func() bool { return job.runningTasks() > 0 || job.knowledge().done },
					)
					sim.t.Logf("%s began %.1f s after it was accepted", job.id, (sim.now() - asked).Seconds())
					sim.sleep(10 * micro.Second)
				}
				for _, job := range append(urgent, jobs...) {
					sim.waitUntil(
						job.id+" done", 12*micro.Minute,
						func() bool { return replyState(job.queryStatus(sim.randomUserNode())) == wire.JobDone },
					)
				}
			})
		})
	}
}

// One-task jobs come four a second, a quarter of them cancelled, and the store
// takes few changes. All the while users are answered; little is left behind.
func TestSmallJobStreamStaysWithinStoreWriteLimit(t *testing.T) {
	// The lower one is all that the stream needs at its four changes a job.
	for _, most := range []float64{30, 16} {
		t.Run(fmt.Sprint(most, " changes a second"), func(t *testing.T) { runJobStreamUnderWriteLimit(t, most) })
	}
}

// storedChangesByKind counts the changes of the store since its beginning, by what they are for.
func (w *simCluster) storedChangesByKind() (byKind map[string]int, total int) {
	w.t.Helper()
	events, err := w.store.Watch(w.ctx, "", 0, 0)
	if err != nil {
		w.t.Fatal(err)
	}
	byKind = map[string]int{}
	for _, event := range events.Events {
		kind, _, _ := strings.Cut(event.Put+event.Delete, "/")
		if kind == "job" {
			kind = event.Put[strings.LastIndex(event.Put, "/")+1:]
		}
		if event.Delete != "" {
			kind += " deleted"
		}
		byKind[kind]++
	}
	return byKind, len(events.Events)
}

func runJobStreamUnderWriteLimit(t *testing.T, changes float64) {
	const (
		stream               = 2 * micro.Minute
		latestCancel         = 6 * micro.Second // after a job's submission
		cancelAnsweredWithin = 2 * micro.Second
	)
	runScenario(t, 8, 3, func(sim *simCluster) {
		sim.fastBoot = true
		sim.writeRPS = changes
		sim.store.SetLimits(fake.Limits{WriteRPS: changes})
	}, func(sim *simCluster) {
		sim.waitForRestoredLeader()
		var mu sync.Mutex
		var jobs []*userJob
		asked, failed, slowest, cancels := 0, 0, micro.Time(0), 0
		poll := func(job *userJob) {
			reply := job.queryStatus(sim.randomUserNode())
			mu.Lock()
			defer mu.Unlock()
			if asked++; reply.Status != 200 {
				failed++
			}
		}
		for from := sim.now(); sim.now() < from+stream; sim.sleep(250 * micro.Millisecond) {
			job := sim.newJob(
				jobRequest{
					kind: wire.JobArray, tasks: 1, cpus: 0.5, runTime: 3 * micro.Second, team: []string{"team", "other"}[len(jobs)%2],
				},
			)
			jobs = append(jobs, job)
			cancel, after := len(jobs)%4 == 0, sim.randomDuration(0, latestCancel)
			go func() {
				job.submit()
				if cancel {
					go func() {
						time.Sleep(after)
						at := sim.now()
						job.cancel()
						mu.Lock()
						defer mu.Unlock()
						cancels++
						slowest = max(slowest, sim.now()-at)
					}()
				}
				for knowledge := job.knowledge(); !knowledge.done && !knowledge.aborted && sim.ctx.Err() == nil; knowledge = job.knowledge() {
					poll(job)
					time.Sleep(sim.randomDuration(2*micro.Second, 4*micro.Second))
				}
			}()
		}
		sim.waitUntil("all over soon after the stream", 30*micro.Second, func() bool {
			for _, job := range jobs {
				if knowledge := job.knowledge(); !knowledge.done && !knowledge.aborted {
					return false
				}
			}
			return true
		})
		sim.waitUntil("no record left", micro.Minute, func() bool {
			page, err := sim.store.Range(sim.ctx, store.Routine, "run/", "", 1)
			return err == nil && len(page.Items) == 0
		})
		// The last job's cancellation may be due only after its end.
		sim.waitUntil("all cancellations answered", latestCancel+cancelAnsweredWithin, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return cancels == len(jobs)/4
		})
		by, total := sim.storedChangesByKind()
		n := float64(len(jobs))
		mu.Lock() // polls that were under way may still end
		defer mu.Unlock()
		sim.t.Logf(
			"%d jobs: %v changes, %.2f a job in all; %d of %d polls not answered; %d cancelled, the slowest told after %.2f s; %d times over the store's rate",
			len(jobs),
			by,
			float64(total)/n,
			failed,
			asked,
			cancels,
			slowest.Seconds(),
			sim.store.RateLimitedCount,
		)
		for kind, most := range map[string]float64{"spec": 1, "end": 1, "run": 1.3, "run deleted": 1} {
			if got := float64(by[kind]) / n; got > most {
				sim.t.Errorf("%.2f changes a job are for %q, at most %.1f", got, kind, most)
			}
		}
		if cancels < len(jobs)/4 || slowest > cancelAnsweredWithin {
			sim.t.Errorf(
				"%d of %d cancellations were answered, the slowest after %.1f s", cancels, len(jobs)/4, slowest.Seconds(),
			)
		}
		if asked < len(jobs) || failed*50 > asked {
			sim.t.Errorf("%d of %d polls were not answered", failed, asked)
		}
		if sim.store.RateLimitedCount > 0 {
			sim.t.Errorf("the store refused %d writes for being over its rate", sim.store.RateLimitedCount)
		}
	})
}

// Jobs bound to a zone, by name or because all their tasks go together, lose
// machines again and again, once all of a zone, and once with the leader.
func TestZoneBoundJobsFinishDespiteMachineLosses(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runScenario(t, seed, 3, func(sim *simCluster) { sim.fastBoot = true }, func(sim *simCluster) {
				sim.waitForRestoredLeader()
				jobs := []*userJob{
					sim.newJob(jobRequest{kind: wire.JobArray, tasks: 8, cpus: 2, runTime: 20 * micro.Second, zone: "a"}).submit(),
					sim.newJob(
						jobRequest{kind: wire.JobArray, tasks: 6, cpus: 2, runTime: 20 * micro.Second, oneZone: true, team: "other"},
					).submit(),
					sim.newJob(
						jobRequest{kind: wire.Gang, tasks: 3, cpus: 2, runTime: 20 * micro.Second, oneZone: true, priority: wire.High},
					).submit(),
					sim.newJob(
						jobRequest{kind: wire.Gang, tasks: 2, cpus: 2, runTime: 20 * micro.Second, zone: "b", team: "other"},
					).submit(),
				}
				sim.waitUntil(
					"work runs", micro.Minute, func() bool { return jobs[0].runningTasks() > 0 && jobs[1].runningTasks() > 0 },
				)
				lost := 0
				for i := range 5 {
					sim.sleep(7 * micro.Second)
					for _, machine := range sim.liveMachines() {
						if i == 2 && machine.agent.Zone == "a" || lost < 2*(i+1) {
							machine.terminate()
							lost++
						}
					}
					if i == 3 {
						if leader := sim.leader(); leader != nil {
							sim.restartController(leader, 6*micro.Second)
						}
					}
				}
				if lost < 6 {
					sim.t.Errorf("%d machines were lost", lost)
				}
				for _, job := range jobs {
					sim.waitUntil(
						job.id+" done", 6*micro.Minute,
						func() bool { return replyState(job.queryStatus(sim.randomUserNode())) == wire.JobDone },
					)
				}
			})
		})
	}
}

// All machines die at once. No node hears an agent then, and none must take that for
// its own fault for ever: handing the lead round, the nodes once never found the
// machines dead, and never rented others.
func TestAllMachinesDieAndAreReplaced(t *testing.T) {
	for seed := range uint64(3) {
		runScenario(t, seed, 3+int(seed), func(sim *simCluster) { sim.fastBoot = true }, func(sim *simCluster) {
			sim.waitForRestoredLeader()
			var jobs []*userJob
			for i := range 4 {
				jobs = append(
					jobs,
					sim.newJob(
						jobRequest{
							kind: wire.JobArray, tasks: 2, cpus: 4, runTime: 30 * micro.Second, zone: []string{"a", "b"}[i%2],
							team: []string{"team", "other"}[i%2],
						},
					).submit(),
				)
			}
			sim.waitUntil(
				"four run", micro.Minute, func() bool { return len(sim.liveMachines()) >= 4 && sim.checker.totalStartCount() >= 4 },
			)
			for _, machine := range sim.liveMachines() {
				machine.terminate()
			}
			died := sim.now()
			for _, job := range jobs {
				sim.waitUntil(
					job.id+" done", 5*micro.Minute,
					func() bool { return replyState(job.queryStatus(sim.randomUserNode())) == wire.JobDone },
				)
			}
			sim.t.Logf("seed %d: all done %.0f s after", seed, (sim.now() - died).Seconds())
		})
	}
}
