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

// allocationStored reports whether the store holds a record of the allocation on the machine, in the legacy or the
// compact format.
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

// instanceCounts returns the number of machines that the cloud has ever provisioned, and how many of them were
// terminated.
func (w *simCluster) instanceCounts() (provisioned, terminated int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.machines), len(w.cloud.terminated)
}

// Machines boot within two seconds and get tasks at once while writes are late, responses to instance requests are
// lost, and the leader stops or resigns. The next leader adopts the machines: none is provisioned twice or terminated,
// and no task starts without its allocation record.
//
//revive:disable-next-line:cognitive-complexity,function-length one scenario, still to be split
func TestFastBootingMachinesAreAdoptedOnFailover(t *testing.T) {
	for _, test := range []struct {
		name        string
		injectFault func(sim *simCluster, leader *controllerProcess) (occurred func() bool)
	}{
		{"instance response lost", func(sim *simCluster, leader *controllerProcess) func() bool {
			sim.cloud.lostAnswerRatio = 1
			return func() bool {
				provisioned, _ := sim.instanceCounts()
				return provisioned > 0 && len(sim.liveMachines()) == provisioned
			}
		}},
		{"instance request record late", func(sim *simCluster, leader *controllerProcess) func() bool {
			attempts := 0
			var mu sync.Mutex
			sim.onCommit(leader, "hire/", func(n int, _ wire.Change) fake.CommitFault {
				mu.Lock()
				defer mu.Unlock()
				attempts = n
				return fake.CommitFault{Unanswered: true, ExecuteAfter: 30 * micro.Second}
			})
			return func() bool { mu.Lock(); defer mu.Unlock(); return attempts > 3 }
		}},
		// The next leader is elected before the machines have booted.
		{"instance response lost and leader resigned", func(sim *simCluster, leader *controllerProcess) func() bool {
			sim.cloud.lostAnswerRatio = 1
			return func() bool {
				if provisioned, _ := sim.instanceCounts(); provisioned == 0 {
					return false
				}
				leader.resignTerm()
				return true
			}
		}},
		{"instance request record late and leader resigned", func(sim *simCluster, leader *controllerProcess) func() bool {
			attempted := false
			var mu sync.Mutex
			sim.onCommit(leader, "hire/", func(int, wire.Change) fake.CommitFault {
				mu.Lock()
				defer mu.Unlock()
				attempted = true
				return fake.CommitFault{Unanswered: true, ExecuteAfter: 30 * micro.Second}
			})
			return func() bool {
				mu.Lock()
				defer mu.Unlock()
				if !attempted {
					return false
				}
				sim.sleep(300 * micro.Millisecond) // long enough for the cloud to answer an instance request
				leader.resignTerm()
				return true
			}
		}},
		{"allocation records late", func(sim *simCluster, leader *controllerProcess) func() bool {
			attempts := 0
			var mu sync.Mutex
			sim.onCommit(leader, "run/", func(n int, _ wire.Change) fake.CommitFault {
				mu.Lock()
				defer mu.Unlock()
				attempts = n
				return fake.CommitFault{Unanswered: true, ExecuteAfter: 3 * micro.Second}
			})
			return func() bool { mu.Lock(); defer mu.Unlock(); return attempts > 2 }
		}},
		{"allocation commit responses lost", func(sim *simCluster, leader *controllerProcess) func() bool {
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
							sim.t.Errorf(
								"%v: task %s starts on %s without a stored allocation record", sim.now(), key.Task, machine.agent.Name,
							)
						}
					}
				}, func(sim *simCluster) {
					leader, _ := sim.waitForRestoredLeader()
					occurred := test.injectFault(sim, leader)
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
					sim.waitUntil("the injected fault has occurred", 30*micro.Second, occurred)
					if !strings.HasSuffix(test.name, "leader resigned") {
						sim.restartController(leader, 8*micro.Second)
					}
					sim.mu.Lock()
					sim.cloud.lostAnswerRatio = 0
					sim.mu.Unlock()
					sim.waitUntil("all jobs run", 60*micro.Second, func() bool {
						for _, job := range jobs {
							if job.runningTasks() == 0 && !job.knowledge().done {
								return false
							}
						}
						return true
					})
					// Six tasks of four CPUs need six small machines, and sometimes one more that is requested just as
					// another boots. If the next leader requested the machines of the previous one again, it would be
					// twelve.
					if provisioned, terminated := sim.instanceCounts(); provisioned > 9 || terminated > 0 {
						sim.t.Errorf(
							"seed %d: %d machines were provisioned for 6 tasks, %d terminated", seed, provisioned, terminated,
						)
					}
					for _, job := range jobs {
						sim.waitUntil(
							job.id+" done", 3*micro.Minute,
							func() bool { return replyState(job.queryStatus(sim.randomUserNode())) == wire.JobDone },
						)
					}
					if provisioned, _ := sim.instanceCounts(); provisioned > 9 {
						sim.t.Errorf("seed %d: %d machines were provisioned for 6 tasks", seed, provisioned)
					}
				})
			}
		})
	}
}

// resignTerm makes the process resign if it is the leader, as a leader without agent heartbeats does.
func (p *controllerProcess) resignTerm() {
	if l := p.runningNode().activeLeader(); l != nil {
		l.post(func() { l.resign("for a scenario") })
	}
}

// totalStartCount returns the number of task starts that the checker has seen.
func (c *checker) totalStartCount() int { c.mu.Lock(); defer c.mu.Unlock(); return c.startCount }

// Jobs demand more than the capacity, and the store and the agents respond up to 600 ms late. Production jobs preempt
// others and start only on capacity that the preempted tasks have freed; all jobs finish.
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
					running := 0
					for _, job := range jobs {
						running += job.runningTasks()
					}
					return running >= 6
				}
				sim.waitUntil("all capacity is in use", micro.Minute, full)
				var urgent []*userJob
				for i := range 4 {
					job := sim.newJob(
						jobRequest{
							kind: wire.JobArray, tasks: 2, cpus: 2, runTime: 15 * micro.Second, priority: wire.Production,
							team: []string{"team", "other"}[i%2],
						},
					).submit()
					urgent = append(urgent, job)
					submitted := sim.now()
					sim.waitUntil(
						"the production job runs", 30*micro.Second, func() bool { return job.runningTasks() > 0 || job.knowledge().done },
					)
					sim.t.Logf("%s started %.1f s after it was accepted", job.id, (sim.now() - submitted).Seconds())
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

// Four one-task jobs a second are submitted, and a quarter of them cancelled, while the store limits the rate of
// changes. Status queries and cancellations are answered throughout, the changes per job stay within their bounds,
// the store rejects no write, and no chunk record remains.
func TestSmallJobStreamStaysWithinStoreWriteLimit(t *testing.T) {
	// The lower limit is just what the stream needs: four jobs a second with four changes each.
	for _, limit := range []float64{30, 16} {
		t.Run(fmt.Sprint(limit, " changes a second"), func(t *testing.T) { runJobStreamUnderWriteLimit(t, limit) })
	}
}

// storedChangesByKind counts all changes that the store has recorded: by the first part of the key, or its last part
// for job keys, with " deleted" appended for deletions; and in total.
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

// runJobStreamUnderWriteLimit runs the job stream against a store that accepts the given number of changes a second.
func runJobStreamUnderWriteLimit(t *testing.T, changes float64) {
	const (
		stream               = 2 * micro.Minute
		latestCancel         = 6 * micro.Second // latest cancellation after a job's submission
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
		queries, failed, slowestCancel, cancels := 0, 0, micro.Time(0), 0
		queryStatus := func(job *userJob) {
			reply := job.queryStatus(sim.randomUserNode())
			mu.Lock()
			defer mu.Unlock()
			if queries++; reply.Status != 200 {
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
						slowestCancel = max(slowestCancel, sim.now()-at)
					}()
				}
				for knowledge := job.knowledge(); !knowledge.done && !knowledge.aborted && sim.ctx.Err() == nil; knowledge = job.knowledge() {
					queryStatus(job)
					time.Sleep(sim.randomDuration(2*micro.Second, 4*micro.Second))
				}
			}()
		}
		sim.waitUntil("all jobs have ended soon after the stream", 30*micro.Second, func() bool {
			for _, job := range jobs {
				if knowledge := job.knowledge(); !knowledge.done && !knowledge.aborted {
					return false
				}
			}
			return true
		})
		sim.waitUntil("no chunk record is left", micro.Minute, func() bool {
			page, err := sim.store.Range(sim.ctx, store.Routine, "run/", "", 1)
			return err == nil && len(page.Items) == 0
		})
		// The last job may be cancelled only after it has ended.
		sim.waitUntil("all cancellations are answered", latestCancel+cancelAnsweredWithin, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return cancels == len(jobs)/4
		})
		by, total := sim.storedChangesByKind()
		n := float64(len(jobs))
		mu.Lock() // status queries in flight may still complete
		defer mu.Unlock()
		sim.t.Logf(
			"%d jobs: changes %v, %.2f per job in total; %d of %d status queries failed; %d cancellations, "+
				"the slowest answered after %.2f s; the store rejected %d writes over its rate limit",
			len(jobs),
			by,
			float64(total)/n,
			failed,
			queries,
			cancels,
			slowestCancel.Seconds(),
			sim.store.RateLimitedCount,
		)
		for kind, limit := range map[string]float64{"spec": 1, "end": 1, "run": 1.3, "run deleted": 1} {
			if got := float64(by[kind]) / n; got > limit {
				sim.t.Errorf("%.2f changes of kind %q per job, want at most %.1f", got, kind, limit)
			}
		}
		if cancels < len(jobs)/4 || slowestCancel > cancelAnsweredWithin {
			sim.t.Errorf(
				"%d of %d cancellations were answered, the slowest after %.1f s", cancels, len(jobs)/4, slowestCancel.Seconds(),
			)
		}
		if queries < len(jobs) || failed*50 > queries {
			sim.t.Errorf("%d of %d status queries failed, want at most 2%%, and at least one query per job", failed, queries)
		}
		if sim.store.RateLimitedCount > 0 {
			sim.t.Errorf("the store rejected %d writes over its rate limit", sim.store.RateLimitedCount)
		}
	})
}

// Jobs that must run in one zone, a named one or any, repeatedly lose machines: once all machines of a zone, and once
// the leader restarts as well. All jobs finish.
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
					"the first two jobs run", micro.Minute, func() bool {
						return jobs[0].runningTasks() > 0 && jobs[1].runningTasks() > 0
					},
				)
				terminated := 0
				for i := range 5 {
					sim.sleep(7 * micro.Second)
					for _, machine := range sim.liveMachines() {
						if i == 2 && machine.agent.Zone == "a" || terminated < 2*(i+1) {
							machine.terminate()
							terminated++
						}
					}
					if i == 3 {
						if leader := sim.leader(); leader != nil {
							sim.restartController(leader, 6*micro.Second)
						}
					}
				}
				if terminated < 6 {
					sim.t.Errorf("%d machines were terminated, want at least 6", terminated)
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

// All machines terminate at once, so no node receives heartbeats. A node must not blame its own network for that
// indefinitely: leaders used to resign in turn, so that the machines were never declared lost and never replaced.
func TestAllMachinesTerminateAndAreReplaced(t *testing.T) {
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
				"all four jobs run", micro.Minute, func() bool {
					return len(sim.liveMachines()) >= 4 && sim.checker.totalStartCount() >= 4
				},
			)
			for _, machine := range sim.liveMachines() {
				machine.terminate()
			}
			terminatedAt := sim.now()
			for _, job := range jobs {
				sim.waitUntil(
					job.id+" done", 5*micro.Minute,
					func() bool { return replyState(job.queryStatus(sim.randomUserNode())) == wire.JobDone },
				)
			}
			sim.t.Logf("seed %d: all jobs done %.0f s after the machines terminated", seed, (sim.now() - terminatedAt).Seconds())
		})
	}
}
