package controller

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Tests of cancellations combined with other faults. The checker fails a scenario when a task of a cancelled job
// still exists cancel_s after the cancellation was reported to its user.

// cancelSpan is the time within which all tasks of a cancelled job must be gone, counted from when the
// cancellation was reported to its user.
const cancelSpan = cancelS * micro.Second

// endlessRun is a task run time that exceeds the length of every scenario.
const endlessRun = 10 * micro.Minute

// submitAndWaitRunning submits a job and waits until all its tasks run.
func (w *simCluster) submitAndWaitRunning(request jobRequest) *userJob {
	w.t.Helper()
	job := w.newJob(request).submit()
	w.waitUntil(job.id+" running", 2*micro.Minute, func() bool { return job.runningTasks() == max(request.tasks, 1) })
	return job
}

// randomTime returns a random duration from least to most.
func (w *simCluster) randomTime(least, most micro.Time) micro.Time {
	return micro.FromSeconds(w.randomDuration(least, most).Seconds())
}

// holdsLease reports whether the node runs and holds the leadership lease.
func (p *controllerProcess) holdsLease() bool {
	n := p.runningNode()
	return n != nil && n.activeLeader() != nil
}

// waitForNextLeader waits until a node other than the old leader holds the lease, and returns it. The old leader
// may still consider itself the leader.
func (w *simCluster) waitForNextLeader(old *controllerProcess) *controllerProcess {
	w.t.Helper()
	var next *controllerProcess
	w.waitUntil("another node leads", 15*micro.Second, func() bool {
		for _, controller := range w.controllers {
			if controller != old && controller.holdsLease() {
				next = controller
			}
		}
		return next != nil
	})
	return next
}

// outageBeyondCancelSpan makes the store unavailable to all nodes for longer than cancelSpan and returns once
// cancelSpan is over for each of the cancelled jobs. It fails the test if the outage starts more than maxDelay
// after a cancellation was reported, or if tasks outlive their bound.
func (w *simCluster) outageBeyondCancelSpan(maxDelay micro.Time, jobs ...*userJob) {
	w.t.Helper()
	from := w.now()
	outageSpan := cancelSpan + w.randomTime(8*micro.Second, 20*micro.Second)
	w.storeOutage(outageSpan)
	for _, job := range jobs {
		at, _, _, ok := job.abortReport()
		if !ok || from-at > maxDelay || from+outageSpan < at+cancelSpan+micro.Second {
			w.t.Fatalf(
				"%s: cancellation reported at %v (%v), outage from %v to %v: too late or too short", job.id, at, ok, from,
				from+outageSpan,
			)
		}
		// Without lease proxies the bound is tighter: see the design, "The bound for
		// cancellations".
		bound, last := cancelSpan, at
		if w.config.LeaseProxyFactor == 0 {
			bound = w.config.MaxCancelledTaskLife()
		}
		for w.now() < at+cancelSpan+micro.Second {
			if job.runningTasks() > 0 {
				last = w.now()
			}
			w.sleep(100 * micro.Millisecond)
		}
		w.t.Logf(
			"%s: last task gone %.1f s after the cancellation was reported, limit %.1f s", job.id, (last - at).Seconds(),
			bound.Seconds(),
		)
		if last > at+bound {
			w.t.Errorf(
				"%s: tasks still existed %.1f s after the cancellation was reported, limit %.1f s", job.id, (last - at).Seconds(),
				bound.Seconds(),
			)
		}
	}
}

// checkRecovery checks that a new job runs to completion once all faults are over.
func (w *simCluster) checkRecovery() {
	w.t.Helper()
	w.waitUntil("no active faults", 5*micro.Minute, w.noActiveFaults)
	job := w.newJob(
		jobRequest{kind: wire.JobArray, tasks: 1, runTime: 2 * micro.Second, priority: wire.Production},
	).submit()
	go job.watchUntilFinal()
	w.waitUntil("a new job done", 90*micro.Second, func() bool { return job.knowledge().done })
}

// runCaseWithSeeds runs a scenario as parallel subtests of a table's case, one for each seed from 1 to seeds.
func runCaseWithSeeds(t *testing.T, seeds uint64, name string, scenario func(t *testing.T, seed uint64)) {
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprintf("%s/seed %d", name, seed), func(t *testing.T) {
			t.Parallel()
			scenario(t, seed)
		})
	}
}

// The store refuses only the leader, another node takes over and reports cancellations to users, and then the
// store is unavailable to all nodes. The agents send heartbeats to the old leader all the time: if it answered
// them after its lease had expired, the tasks would run on through the whole outage. In a zone without lease
// proxies the final status is written while the tasks still run; otherwise they are gone before.
func TestTasksStopInTimeWhenTheNextLeaderCancelsBeforeAnOutage(t *testing.T) {
	service, array := jobRequest{kind: wire.Service, tasks: 3}, jobRequest{
		kind: wire.JobArray, tasks: 3, runTime: endlessRun,
	}
	gang := jobRequest{kind: wire.Gang, tasks: 3, runTime: endlessRun}
	inB := func(request jobRequest) jobRequest { request.zone = "b"; return request }
	const refusal, takeover = "within", "after"
	const some, none, either = "some", "none", "either"
	for _, test := range []struct {
		name              string
		nodes             int
		leaseProxies      bool
		spec              jobRequest
		cancelAt          string // first sent during the refusal, or once another node leads
		agentsPartitioned bool   // agents cannot reach the next leader
		machineFault      func(sim *simCluster, machine *fakeMachine)
		wantRemaining     string // whether tasks still exist when the cancellation is reported
	}{
		{"service", 3, false, service, takeover, true, nil, some},
		{"array", 3, false, array, takeover, true, nil, some},
		{"gang", 3, false, gang, takeover, true, nil, some},
		{"cancelled during the refusal", 3, false, service, refusal, true, nil, either},
		{"five nodes", 5, false, array, takeover, true, nil, some},
		{"no proxy in the zone, lease proxies elsewhere", 3, true, inB(service), takeover, true, nil, some},
		{"no proxy in the zone, gang", 3, true, inB(gang), refusal, true, nil, either},
		{"responses lost", 3, false, service, takeover, false, func(sim *simCluster, machine *fakeMachine) {
			machine.loseResponses(sim.randomTime(10*micro.Second, 25*micro.Second))
		}, some},
		{"heartbeats lost", 3, false, array, takeover, false, func(sim *simCluster, machine *fakeMachine) {
			machine.loseHeartbeats(sim.randomTime(10*micro.Second, 60*micro.Second))
		}, some},
		{"heartbeats and responses lost", 3, false, gang, takeover, false, func(sim *simCluster, machine *fakeMachine) {
			machine.loseResponses(micro.Minute)
			machine.loseHeartbeats(micro.Minute)
		}, some},
		{"machines hang within their lease", 3, false, service, takeover, false, func(sim *simCluster, machine *fakeMachine) {
			machine.hang(sim.randomTime(8*micro.Second, 16*micro.Second))
		}, some},
		{"no proxy, machines hang", 3, true, inB(array), takeover, false, func(sim *simCluster, machine *fakeMachine) {
			machine.hang(sim.randomTime(8*micro.Second, 16*micro.Second))
		}, some},
		{"lease proxies", 4, true, service, takeover, false, nil, none},
		{"lease proxies, five nodes", 5, true, gang, refusal, false, nil, none},
		{"lease proxies, responses lost", 4, true, array, takeover, false, func(sim *simCluster, machine *fakeMachine) {
			machine.loseResponses(sim.randomTime(10*micro.Second, 25*micro.Second))
		}, none},
		{"lease proxies, machines hang", 4, true, service, refusal, false, func(sim *simCluster, machine *fakeMachine) {
			machine.hang(sim.randomTime(8*micro.Second, 16*micro.Second))
		}, none},
	} {
		runCaseWithSeeds(t, 4, test.name, func(t *testing.T, seed uint64) {
			runScenario(t, seed, test.nodes, func(sim *simCluster) {
				if !test.leaseProxies {
					sim.config.LeaseProxyFactor = 0
				}
			}, func(sim *simCluster) {
				job := sim.submitAndWaitRunning(test.spec)
				sim.sleep(sim.randomTime(0, 5*micro.Second))
				old := sim.leader()
				sim.refuseNode(old, 2*micro.Minute)
				if test.cancelAt == refusal {
					sim.sleep(sim.randomTime(0, 2*micro.Second))
					go job.cancel()
				}
				next := sim.waitForNextLeader(old)
				takeoverAt := sim.now()
				if test.agentsPartitioned {
					sim.partitionNode(next, 80*micro.Second, "workers")
				}
				if test.machineFault != nil {
					for _, machine := range job.machines() {
						test.machineFault(sim, machine)
					}
				}
				if test.cancelAt == takeover {
					sim.sleep(sim.randomTime(0, micro.Second))
					go job.cancel()
				}
				sim.waitUntil("cancellation reported", 70*micro.Second, func() bool { return job.knowledge().aborted })
				reportedAt, reporter, remaining, _ := job.abortReport()
				if reportedAt < takeoverAt-50*micro.Millisecond || !next.holdsLease() ||
					test.wantRemaining == none && remaining > 0 || test.wantRemaining == some && remaining == 0 {
					t.Fatalf(
						"next leader at %v; cancellation reported at %v by %s with %d tasks remaining, want %s", takeoverAt, reportedAt,
						reporter, remaining, test.wantRemaining,
					)
				}
				sim.sleep(sim.randomTime(0, micro.Second))
				sim.outageBeyondCancelSpan(1500*micro.Millisecond, job)
				sim.checkRecovery()
			})
		})
	}
}

// storeRefusalCases lists the ways in which a refusal of the leader by the store ends.
var storeRefusalCases = []struct {
	name              string
	nodes             int
	leaseProxies      bool
	refusalSpan       micro.Time
	sameTerm          bool // the same term continues after the outage
	storeDelay        micro.Time
	lostResponseRatio float64
	machineFault      func(sim *simCluster, machine *fakeMachine)
	wantOutcomes      []string // each must occur in at least one simulation of the case
}{
	{"short refusal", 3, false, 2 * micro.Second, true, 0, 0, nil, []string{"told"}},
	{"short refusal, lease proxies", 4, true, 2 * micro.Second, true, 0, 0, nil, []string{"told"}},
	{"long refusal", 3, false, 100 * micro.Second, false, 0, 0, nil, []string{"told"}},
	{"long refusal, lease proxies", 5, true, 100 * micro.Second, false, 0, 0, nil, []string{"told"}},
	{"machines lose responses", 3, false, 2 * micro.Second, true, 0, 0, func(sim *simCluster, machine *fakeMachine) {
		machine.loseResponses(sim.randomTime(5*micro.Second, 75*micro.Second))
	}, []string{"told", "running"}},
	{"machines lose heartbeats", 3, false, 100 * micro.Second, false, 0, 0, func(sim *simCluster, machine *fakeMachine) {
		machine.loseHeartbeats(sim.randomTime(5*micro.Second, 75*micro.Second))
	}, []string{"told"}},
	{"machines hang", 3, false, 2 * micro.Second, true, 0, 0, func(sim *simCluster, machine *fakeMachine) {
		machine.hang(sim.randomTime(5*micro.Second, 25*micro.Second))
	}, []string{"told", "running"}},
	{"machines hang, proxies", 4, true, 100 * micro.Second, false, 0, 0, func(sim *simCluster, machine *fakeMachine) {
		machine.hang(sim.randomTime(5*micro.Second, 25*micro.Second))
	}, []string{"not told"}},
	{
		"lease renewal answered after the refusal starts",
		3,
		false,
		100 * micro.Second,
		false,
		600 * micro.Millisecond,
		0,
		func(sim *simCluster, machine *fakeMachine) {
			machine.loseResponses(sim.randomTime(5*micro.Second, 20*micro.Second))
		},
		[]string{"told", "running", "renewed"},
	},
	{"store responses lost", 3, false, 2 * micro.Second, true, 0, 0.7, func(sim *simCluster, machine *fakeMachine) {
		machine.loseResponses(sim.randomTime(5*micro.Second, 20*micro.Second))
	}, []string{"told", "running", "told by another"}},
}

// Jobs are cancelled at the moment at which the store starts to refuse only the leader; a second later the store
// is unavailable to all nodes. Some cancellations are reported in between, before another node can lead. If the
// refusal is shorter than the leader's lease, the same term continues after the outage; otherwise another node
// leads.
//
//revive:disable-next-line:cognitive-complexity a scenario in one piece, still to be split
func TestTasksStopInTimeWhenCancelledAsTheStoreRefusesTheLeader(t *testing.T) {
	for _, test := range storeRefusalCases {
		outcomes := newOutcomeCounts(t)
		runCaseWithSeeds(t, 6, test.name, func(t *testing.T, seed uint64) {
			runScenario(t, seed, test.nodes, func(sim *simCluster) {
				if !test.leaseProxies {
					sim.config.LeaseProxyFactor = 0
				}
			}, func(sim *simCluster) {
				outcomes.record(simulationRan)
				var jobs []*userJob
				for i := range 6 {
					jobs = append(
						jobs,
						sim.submitAndWaitRunning(
							[]jobRequest{
								{kind: wire.Service, tasks: 2},
								{kind: wire.JobArray, tasks: 2, runTime: endlessRun},
								{kind: wire.Gang, tasks: 2, runTime: endlessRun},
							}[i%3],
						),
					)
				}
				old := sim.leader()
				term := old.runningNode().activeLeader().term
				if test.storeDelay > 0 {
					sim.slowStore(test.storeDelay, 5*micro.Second)
					sim.sleep(2 * micro.Second)
				}
				if test.lostResponseRatio > 0 {
					sim.disturbCommits(0, test.lostResponseRatio, 5*micro.Second)
				}
				if test.machineFault != nil {
					for _, job := range jobs {
						for _, machine := range job.machines() {
							test.machineFault(sim, machine)
						}
					}
				}
				for _, job := range jobs {
					go func() {
						sim.sleep(sim.randomTime(0, 600*micro.Millisecond))
						go job.queryRapidly()
						go job.watchUntilFinal()
						job.cancel()
					}()
				}
				sim.sleep(300 * micro.Millisecond)
				sim.refuseNode(old, test.refusalSpan)
				leaseEndBefore := leaseEnd(term, old)
				sim.sleep(sim.randomTime(900*micro.Millisecond, 1100*micro.Millisecond))
				if leaseEndAfter := leaseEnd(term, old); leaseEndAfter > leaseEndBefore+100*micro.Millisecond {
					outcomes.record("renewed")
				}
				sim.storeOutage(70 * micro.Second)
				outageStart := sim.now()
				sim.sleep(68 * micro.Second)
				for _, job := range jobs {
					reportedAt, reporter, remaining, ok := job.abortReport()
					if !ok || reportedAt > outageStart {
						outcomes.record("not told")
						continue
					}
					outcomes.record("told")
					if remaining > 0 {
						outcomes.record("running")
					}
					if reporter != old.name {
						outcomes.record("told by another")
					}
				}
				if !old.holdsLease() && sim.leader() != nil {
					t.Error("a node leads during a store outage")
				}
				sim.waitUntil("no active faults", 3*micro.Minute, sim.noActiveFaults)
				sim.waitUntil("a node leads", 20*micro.Second, func() bool { return sim.leader() != nil })
				sim.sleep(3 * micro.Second)
				leader := sim.leader()
				if sameTerm := leader == old &&
					leader.runningNode().activeLeader().term == term; sameTerm != test.sameTerm {
					t.Errorf("the same term continues after the outage: %v", sameTerm)
				}
				sim.waitUntil("all cancellations reported", 90*micro.Second, func() bool {
					for _, job := range jobs {
						if !job.knowledge().aborted {
							return false
						}
					}
					return true
				})
				sim.sleep(cancelSpan + micro.Second)
				sim.checkRecovery()
			})
		})
		outcomes.require(test.name, test.wantOutcomes...)
	}
}

// leaseEnd returns when a node's leadership lease ends by its own current knowledge, at most 10 s from now.
func leaseEnd(term *election.Term, controller *controllerProcess) micro.Time {
	now := controller.runningNode().Now()
	var remaining micro.Time
	for remaining < 10*micro.Second && term.HoldsLease(now+remaining) {
		remaining += 10 * micro.Millisecond
	}
	return now + remaining
}

// outcomeCounts counts the outcomes seen in the simulations of a test case. It serves to check that an outcome
// that only some simulations produce occurred in at least one.
type outcomeCounts struct {
	t      *testing.T
	mu     sync.Mutex
	counts map[string]int
}

func newOutcomeCounts(t *testing.T) *outcomeCounts {
	return &outcomeCounts{t: t, counts: map[string]int{}}
}

func (c *outcomeCounts) record(outcome string) { c.mu.Lock(); c.counts[outcome]++; c.mu.Unlock() }

// simulationRan is recorded by every simulation: with -run, a case may have run no simulation, and then require
// checks nothing.
const simulationRan = "played"

// require fails the test at its end for each of the outcomes that no simulation of the case recorded.
func (c *outcomeCounts) require(caseName string, outcomes ...string) {
	c.t.Cleanup(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, outcome := range outcomes {
			if c.counts[simulationRan] > 0 && c.counts[outcome] == 0 {
				c.t.Errorf("%s: outcome %q occurred in no simulation (%v)", caseName, outcome, c.counts)
			}
		}
	})
}

// The store executes the write of a cancellation but its response is lost. Before the leader learns of it,
// another node reads the final status from the store and reports it to the user, in reply to a status query or to
// a repeated submission. Then the store is unavailable to all nodes, while agents send heartbeats to the old
// leader, which the store had refused alone.
//
//revive:disable-next-line:cognitive-complexity a scenario in one piece, still to be split
func TestTasksStopInTimeWhenAnotherNodeReportsAnUncertainCancellation(t *testing.T) {
	for _, test := range []struct {
		name              string
		spec              jobRequest
		agentsPartitioned bool // agents cannot reach the next leader
		resubmitted       bool // the user repeats the submission instead of querying the status
		pipeline          bool // the job depends on a job that is done, and another job depends on it
	}{
		{"service, reported by status query", jobRequest{kind: wire.Service, tasks: 2}, false, false, false},
		{
			"gang, reported by repeated submission",
			jobRequest{kind: wire.Gang, tasks: 2, runTime: endlessRun},
			false, true, false,
		},
		{
			"array, reported by status query, agents cannot reach the next leader",
			jobRequest{kind: wire.JobArray, tasks: 2, runTime: endlessRun},
			true, false, false,
		},
		{
			"pipeline, reported by status query, agents cannot reach the next leader",
			jobRequest{kind: wire.JobArray, tasks: 2, runTime: endlessRun},
			true, false, true,
		},
		{"pipeline, reported by repeated submission", jobRequest{kind: wire.Service, tasks: 2}, false, true, true},
	} {
		runCaseWithSeeds(t, 5, test.name, func(t *testing.T, seed uint64) {
			runScenario(t, seed, 3, func(sim *simCluster) { sim.config.LeaseProxyFactor = 0 }, func(sim *simCluster) {
				request := test.spec
				if test.pipeline {
					dependency := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 1, runTime: micro.Second}).submit()
					request.dependencies = []string{dependency.id}
				}
				job := sim.submitAndWaitRunning(request)
				jobs := []*userJob{job}
				if test.pipeline {
					jobs = append(
						jobs,
						sim.newJob(
							jobRequest{kind: wire.JobArray, tasks: 1, runTime: micro.Second, dependencies: []string{job.id}},
						).submit(),
					)
				}
				sim.sleep(sim.randomTime(3*micro.Second, 6*micro.Second))
				old := sim.leader()
				sim.refuseNode(old, 2*micro.Minute)
				next := sim.waitForNextLeader(old)
				for _, machine := range job.machines() {
					machine.loseResponses(sim.randomTime(5*micro.Second, 20*micro.Second))
				}
				if test.agentsPartitioned {
					sim.partitionNode(next, 80*micro.Second, "workers")
				}
				sim.sleep(sim.randomTime(500*micro.Millisecond, micro.Second))
				sim.disturbCommits(0, 1, 5*micro.Second, next)
				var third *controllerProcess
				for _, controller := range sim.controllers {
					if controller != old && controller != next {
						third = controller
					}
				}
				go job.cancelOnce(next)
				sim.waitUntil("cancellation reported", 1100*micro.Millisecond, func() bool {
					for _, pipelineJob := range jobs {
						if test.resubmitted {
							go pipelineJob.submitOnce(third)
						} else {
							go pipelineJob.queryStatus(third)
						}
					}
					for _, pipelineJob := range jobs {
						if !pipelineJob.knowledge().aborted {
							return false
						}
					}
					return true
				})
				if leader := next.runningNode().activeLeader(); leader == nil || !leader.records.EndUncertain(job.id) {
					t.Fatal("the leader knows the outcome of its write, want an uncertain one")
				}
				_, reporter, remaining, _ := job.abortReport()
				if reporter != third.name || remaining == 0 {
					t.Fatalf("cancellation reported by %s with %d tasks remaining", reporter, remaining)
				}
				sim.outageBeyondCancelSpan(1500*micro.Millisecond, jobs...)
				sim.checkRecovery()
				for _, pipelineJob := range jobs {
					for _, controller := range sim.controllers {
						if state := replyState(pipelineJob.queryStatus(controller)); state != wire.JobAborted && state != "" {
							t.Errorf("%s is %s according to %s", pipelineJob.id, state, controller.name)
						}
					}
				}
			})
		})
	}
}

// A zone is partitioned with its lease proxies when a job there is cancelled. The cancellation may be reported
// only once the proxies cannot keep the tasks alive for longer than cancel_s. Then the partition ends for the
// lease proxies but not for the agents, which no leader hears. If a lease proxy were answered then, it would keep
// the tasks alive through a second partition and the outage.
func TestTasksStopInTimeInAPartitionedZoneWithLeaseProxies(t *testing.T) {
	for _, test := range []struct {
		name          string
		spec          jobRequest
		healed        bool // the partition ends for a while just after the cancellation was reported
		changedBefore bool // the leader changes before the cancellation is reported
		changedAfter  bool // the leader changes after that, before the partition ends
	}{
		{"partition without interruption", jobRequest{kind: wire.Service, tasks: 3, zone: "b"}, false, false, false},
		{
			"partition ends for a while",
			jobRequest{kind: wire.JobArray, tasks: 3, zone: "b", runTime: endlessRun},
			true, false, false,
		},
		{
			"leader changes before the report, partition without interruption",
			jobRequest{kind: wire.Gang, tasks: 3, zone: "b", runTime: endlessRun},
			false, true, false,
		},
		{
			"leader changes before the report, partition ends for a while",
			jobRequest{kind: wire.Service, tasks: 3, zone: "b"},
			true, true, false,
		},
		{
			"leader changes after the report, partition ends for a while",
			jobRequest{kind: wire.JobArray, tasks: 3, zone: "b", runTime: endlessRun},
			true, false, true,
		},
	} {
		runCaseWithSeeds(t, 5, test.name, func(t *testing.T, seed uint64) {
			runScenario(t, seed, 5, nil, func(sim *simCluster) {
				sim.waitUntil("a leader in zone a", 2*micro.Minute, func() bool {
					l := sim.leader()
					if l != nil && l.zone == "b" {
						sim.restartController(l, 10*micro.Second)
						sim.sleep(8 * micro.Second)
					}
					return l != nil && l.zone == "a"
				})
				job := sim.submitAndWaitRunning(test.spec)
				sim.sleep(sim.randomTime(10*micro.Second, 15*micro.Second))
				leader := sim.leader()
				heal := sim.partitionZone("b", micro.Minute)
				sim.sleep(sim.randomTime(0, 2*micro.Second))
				go job.cancel()
				if test.changedBefore {
					sim.sleep(3 * micro.Second)
					sim.refuseNode(leader, 3*micro.Minute)
					leader = sim.waitForNextLeader(leader)
				}
				sim.waitUntil("cancellation reported", 50*micro.Second, func() bool { return job.knowledge().aborted })
				_, reporter, remaining, _ := job.abortReport()
				if remaining != 3 || leader.zone != "a" || !leader.holdsLease() {
					t.Fatalf(
						"cancellation reported by %s with %d tasks remaining, want 3; %s holds the lease: %v", reporter, remaining,
						leader.name, leader.holdsLease(),
					)
				}
				maxDelay := 1500 * micro.Millisecond
				if test.changedAfter {
					maxDelay = 9 * micro.Second
					sim.refuseNode(leader, 3*micro.Minute)
					leader = sim.waitForNextLeader(leader)
					sim.sleep(300 * micro.Millisecond)
				}
				if test.healed {
					sim.partitionNode(leader, micro.Minute, "workers")
					heal()
					time.AfterFunc(3*time.Second, func() { sim.partitionZone("b", 80*micro.Second) })
					sim.sleep(sim.randomTime(500*micro.Millisecond, micro.Second))
				}
				if test.changedAfter {
					sim.sleep(micro.Second) // lease proxies get no answer from the other two nodes meanwhile
				}
				sim.outageBeyondCancelSpan(maxDelay, job)
				sim.checkRecovery()
			})
		})
	}
}

// A leader is partitioned from the store and the other controllers, while agents and users still reach it. Jobs
// are cancelled through the next leader: the old one must neither keep answering agents nor report the jobs as
// running.
//
//revive:disable-next-line:cognitive-complexity a scenario in one piece, still to be split
func TestReachableFormerLeaderDoesNotExtendCancelledTasks(t *testing.T) {
	for _, test := range []struct {
		name              string
		leaseProxies      bool
		agentsPartitioned bool // agents cannot reach the next leader
		machineFault      func(sim *simCluster, machine *fakeMachine)
	}{
		{"lease proxies", true, false, nil},
		{"no lease proxies", false, false, nil},
		{"no lease proxies, agents cannot reach the next leader", false, true, nil},
		{"machines lose responses", false, false, func(sim *simCluster, machine *fakeMachine) {
			machine.loseResponses(sim.randomTime(5*micro.Second, 25*micro.Second))
		}},
		{"lease proxies, machines hang", true, false, func(sim *simCluster, machine *fakeMachine) {
			machine.hang(sim.randomTime(5*micro.Second, 25*micro.Second))
		}},
	} {
		runCaseWithSeeds(t, 5, test.name, func(t *testing.T, seed uint64) {
			runScenario(t, seed, 5, func(sim *simCluster) {
				if !test.leaseProxies {
					sim.config.LeaseProxyFactor = 0
				}
			}, func(sim *simCluster) {
				var jobs []*userJob
				for _, request := range []jobRequest{
					{kind: wire.Service, tasks: 3},
					{kind: wire.JobArray, tasks: 3, runTime: endlessRun},
					{kind: wire.Gang, tasks: 3, runTime: endlessRun},
					{kind: wire.Service, tasks: 2, zone: "b"},
				} {
					jobs = append(jobs, sim.submitAndWaitRunning(request))
				}
				old := sim.leader()
				sim.partitionNode(old, 40*micro.Second, "state", "peers")
				early := jobs[0] // its cancellation is sent to the old leader as that is partitioned
				go early.cancelOnce(old)
				next := sim.waitForNextLeader(old)
				if old.holdsLease() {
					t.Error("two nodes hold the leadership lease")
				}
				if test.agentsPartitioned {
					sim.partitionNode(next, 35*micro.Second, "workers")
				}
				for _, job := range jobs {
					if test.machineFault != nil {
						for _, machine := range job.machines() {
							test.machineFault(sim, machine)
						}
					}
					go func() {
						for job.sim.ctx.Err() == nil && !replyState(job.cancelOnce(next)).Final() {
							sim.sleep(500 * micro.Millisecond)
						}
						job.queryStatus(old) // at once, and repeatedly below
						job.queryRapidly()
						for range 30 {
							job.queryStatus(old)
							job.submitOnce(old)
							sim.sleep(micro.Second)
						}
					}()
				}
				sim.sleep(10 * micro.Second)
				reported := 0
				for _, job := range jobs {
					if _, reporter, _, ok := job.abortReport(); ok && reporter != old.name {
						reported++
					}
				}
				// A leader that receives no heartbeats hands over, so the next leader may have done so where
				// all machines hang.
				if test.machineFault == nil && reported == 0 ||
					test.machineFault == nil && !test.agentsPartitioned && !next.holdsLease() || old.holdsLease() {
					t.Errorf("%d cancellations reported, the next leader holds its lease: %v", reported, next.holdsLease())
				}
				for _, job := range jobs {
					sim.waitUntil(job.id+" reported aborted", 80*micro.Second, func() bool { return job.knowledge().aborted })
				}
				sim.sleep(cancelSpan + micro.Second)
				sim.checkRecovery()
			})
		})
	}
}

// fillTeamLimit submits services that use up a team's CPU limit, and waits until all their tasks run.
func (w *simCluster) fillTeamLimit(team string, cpus int, request jobRequest) []*userJob {
	w.t.Helper()
	var jobs []*userJob
	for used := 0; used < cpus; used += request.tasks {
		request.kind, request.team = wire.Service, team
		jobs = append(jobs, w.newJob(request).submit())
	}
	w.waitUntil(team+" at its limit", 2*micro.Minute, func() bool {
		for _, job := range jobs {
			if job.runningTasks() != request.tasks {
				return false
			}
		}
		return true
	})
	return jobs
}

// Every team is at its limit while jobs on partitioned or hanging machines are cancelled and the leader changes
// twice. Allocations that are not proven released count against the team's limit under every leader; released
// capacity is used within seconds.
func TestQuotaOfCancelledJobsOnLostMachinesIsReusedOnceReleased(t *testing.T) {
	partition := func(sim *simCluster, machine *fakeMachine) {
		duration := sim.randomTime(10*micro.Second, 50*micro.Second)
		machine.loseResponses(duration)
		machine.loseHeartbeats(duration)
	}
	for _, test := range []struct {
		name         string
		leaseProxies bool
		machineFault func(sim *simCluster, machine *fakeMachine)
		change       func(sim *simCluster, leader *controllerProcess)
	}{
		{"partitioned, leader killed, lease proxies", true, partition, func(sim *simCluster, leader *controllerProcess) {
			sim.restartController(leader, sim.randomTime(micro.Second, 8*micro.Second))
		}},
		{"partitioned, leader paused, lease proxies", true, partition, func(sim *simCluster, leader *controllerProcess) {
			leader.freeze(sim.randomTime(4500*micro.Millisecond, 12*micro.Second))
		}},
		{"machines hang, leader killed", false, func(sim *simCluster, machine *fakeMachine) {
			machine.hang(sim.randomTime(10*micro.Second, 50*micro.Second))
		}, func(sim *simCluster, leader *controllerProcess) {
			sim.restartController(leader, sim.randomTime(micro.Second, 8*micro.Second))
		}},
		{"machines hang, store refuses the leader, lease proxies", true, func(sim *simCluster, machine *fakeMachine) {
			machine.hang(sim.randomTime(5*micro.Second, 28*micro.Second))
		}, func(sim *simCluster, leader *controllerProcess) {
			sim.refuseNode(leader, sim.randomTime(6*micro.Second, 12*micro.Second))
		}},
		{"machines lose responses, leader partitioned", false, func(sim *simCluster, machine *fakeMachine) {
			machine.loseResponses(sim.randomTime(5*micro.Second, 40*micro.Second))
		}, func(sim *simCluster, leader *controllerProcess) {
			sim.partitionNode(leader, sim.randomTime(6*micro.Second, 12*micro.Second), "state", "peers")
		}},
	} {
		runCaseWithSeeds(t, 4, test.name, func(t *testing.T, seed uint64) {
			runScenario(t, seed, []int{3, 5}[seed%2], func(sim *simCluster) {
				sim.fastBoot = true
				if !test.leaseProxies {
					sim.config.LeaseProxyFactor = 0
				}
			}, func(sim *simCluster) {
				team, other := sim.fillTeamLimit("team", teamMaxCPUs, jobRequest{tasks: 2}), sim.fillTeamLimit(
					"other", teamMaxCPUs, jobRequest{tasks: 4},
				)
				var waiting []*userJob
				for range 4 {
					waiting = append(
						waiting, sim.newJob(jobRequest{kind: wire.Service, tasks: 2}).submit(),
						sim.newJob(jobRequest{kind: wire.JobArray, tasks: 2, runTime: 3 * micro.Second, team: "other"}).submit(),
					)
				}
				sim.sleep(3 * micro.Second)
				cancelled := []*userJob{team[0], team[1], team[2], other[0], other[1]}
				lost := map[*fakeMachine]bool{}
				for _, job := range cancelled {
					if machines := job.machines(); len(machines) > 0 && !lost[machines[0]] {
						lost[machines[0]] = true
						test.machineFault(sim, machines[0])
					}
					go job.cancel()
				}
				for range 2 {
					sim.sleep(sim.randomTime(0, 1500*micro.Millisecond))
					leader := sim.waitForLeader()
					oldTerm := leader.runningNode().activeLeader().term
					test.change(sim, leader)
					sim.waitUntil("a new term", 20*micro.Second, func() bool {
						n := sim.waitForLeader().runningNode().activeLeader()
						return n != nil && n.term.FencingRevision > oldTerm.FencingRevision
					})
				}
				if len(lost) < 2 {
					t.Fatalf("%d machines affected by faults, want at least 2", len(lost))
				}
				sim.waitUntil(
					"all cancelled allocations released", 2*micro.Minute,
					func() bool { return sim.allAllocationsReleased(cancelled...) },
				)
				releasedAt := sim.now()
				sim.waitUntil("waiting jobs are served", 10*micro.Second, func() bool {
					served := 0
					for _, job := range waiting {
						if job.queryStatus(sim.randomUserNode()); job.knowledge().done || job.runningTasks() == 2 {
							served++
						}
					}
					return served >= 3+4 // capacity for three services, and for all arrays
				})
				t.Logf("waiting jobs served %.1f s after the last allocation was released", (sim.now() - releasedAt).Seconds())
				for _, job := range cancelled {
					sim.waitUntil(job.id+" reported aborted", 2*micro.Minute, func() bool { return job.knowledge().aborted })
				}
				sim.waitUntil("no active faults", 3*micro.Minute, sim.noActiveFaults)
				sim.sleep(cancelSpan)
			})
		})
	}
}

// waitForLeader waits until a node holds the leadership lease, and returns it.
func (w *simCluster) waitForLeader() *controllerProcess {
	w.t.Helper()
	var l *controllerProcess
	w.waitUntil("a node leads", 20*micro.Second, func() bool {
		l = w.leader()
		return l != nil && l.holdsLease()
	})
	return l
}

// allAllocationsReleased reports whether a leader that has recovered knows that all allocations of the jobs, which
// are no longer active, are released.
func (w *simCluster) allAllocationsReleased(jobs ...*userJob) bool {
	controller := w.leader()
	if controller == nil {
		return false
	}
	leader := controller.runningNode().activeLeader()
	if leader == nil {
		return false
	}
	reply := make(chan bool, 1)
	go leader.post(func() {
		released := leader.recovered
		for _, job := range jobs {
			tracked := leader.cluster.Jobs[job.id]
			released = released && (tracked == nil || tracked.State != cluster.Active && tracked.AllocationCount == 0)
		}
		reply <- released
	})
	select {
	case released := <-reply:
		return released
	case <-time.After(time.Second):
		return false
	}
}

// A team is at its limit when the leader changes. Some of its machines are unreachable for a while, and a job is
// cancelled meanwhile. Allocations that the new leader knows only from the stored records count against the limit
// until they are proven released, whether or not their job is cancelled.
//
//revive:disable-next-line:cognitive-complexity a scenario in one piece, still to be split
func TestNextLeaderCountsAllocationsOnUnreachableMachinesAgainstTheQuota(t *testing.T) {
	const beforeChange, duringChange, afterChange = "before", "within", "after"
	for _, test := range []struct {
		name          string
		leaseProxies  bool
		cancelAt      string     // when the job is cancelled, relative to the change of leader
		onUnreachable bool       // the cancelled job is on the unreachable machines; otherwise it is another
		faultSpan     micro.Time // how long the machines are unreachable
	}{
		{"affected job cancelled before the change, lease proxies", true, beforeChange, true, 25 * micro.Second},
		{"affected job cancelled during the change", false, duringChange, true, 25 * micro.Second},
		{"affected job cancelled after the change, lease proxies", true, afterChange, true, 25 * micro.Second},
		{
			"affected job cancelled after the change, unreachable beyond the lease", false, afterChange, true, 50 * micro.Second,
		},
		{
			"affected job cancelled before the change, unreachable beyond the lease", false, beforeChange, true,
			50 * micro.Second,
		},
		{"other job cancelled before the change, lease proxies", true, beforeChange, false, 25 * micro.Second},
		{"other job cancelled during the change", false, duringChange, false, 45 * micro.Second},
		{"other job cancelled after the change", false, afterChange, false, 20 * micro.Second},
	} {
		runCaseWithSeeds(t, 4, test.name, func(t *testing.T, seed uint64) {
			runScenario(t, seed, []int{3, 4}[seed%2], func(sim *simCluster) {
				sim.fastBoot = true
				if !test.leaseProxies {
					sim.config.LeaseProxyFactor = 0
				}
			}, func(sim *simCluster) {
				full := sim.fillTeamLimit("team", teamMaxCPUs, jobRequest{tasks: 2})
				waiting := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, priority: wire.Production}).submit()
				sim.sleep(3 * micro.Second)
				if waiting.runningTasks() > 0 {
					t.Fatal("a task started above the team's limit")
				}
				unreachableJob := full[sim.randomInt(len(full))]
				unreachable := map[*fakeMachine]bool{}
				for _, machine := range unreachableJob.machines() {
					unreachable[machine] = true
					machine.loseResponses(test.faultSpan)
					machine.loseHeartbeats(test.faultSpan)
				}
				cancelled := unreachableJob
				for _, job := range full {
					elsewhere := true
					for _, machine := range job.machines() {
						elsewhere = elsewhere && !unreachable[machine]
					}
					if !test.onUnreachable && elsewhere {
						cancelled = job
					}
				}
				if test.onUnreachable != (cancelled == unreachableJob) {
					t.Fatal("all of the team's jobs are on unreachable machines")
				}
				faultStart := sim.now()
				sim.sleep(sim.randomTime(500*micro.Millisecond, 2*micro.Second))
				if test.cancelAt == beforeChange {
					go cancelled.cancel()
					sim.sleep(sim.randomTime(0, micro.Second))
				}
				leader := sim.waitForLeader()
				oldTerm := leader.runningNode().activeLeader().term
				sim.restartController(leader, sim.randomTime(micro.Second, 6*micro.Second))
				if test.cancelAt == duringChange {
					sim.sleep(sim.randomTime(0, 4*micro.Second))
					go cancelled.cancel()
				}
				sim.waitUntil("a new term", 20*micro.Second, func() bool {
					newLeader := sim.waitForLeader().runningNode().activeLeader()
					return newLeader != nil && newLeader.term.FencingRevision > oldTerm.FencingRevision
				})
				if test.cancelAt == afterChange {
					sim.sleep(sim.randomTime(0, 3*micro.Second))
					go cancelled.cancel()
				}
				if sim.now() > faultStart+test.faultSpan {
					t.Fatal("the machines became reachable before the change of leader and the cancellation")
				}
				sim.waitUntil(
					"allocations of the cancelled job released", 2*micro.Minute,
					func() bool { return sim.allAllocationsReleased(cancelled) },
				)
				releasedAt := sim.now()
				sim.waitUntil(
					"the waiting job uses the released capacity", 10*micro.Second, func() bool { return waiting.runningTasks() == 2 },
				)
				t.Logf(
					"capacity used %.1f s after its release, released %.1f s after the fault", (sim.now() - releasedAt).Seconds(),
					(releasedAt - faultStart).Seconds(),
				)
				sim.waitUntil("cancellation reported", micro.Minute, func() bool { return cancelled.knowledge().aborted })
				sim.sleep(cancelSpan + micro.Second)
			})
		})
	}
}

// Jobs are cancelled around a change of leader: ten jobs, at random times from one second before it to six
// seconds after.
//
//revive:disable-next-line:cognitive-complexity a scenario in one piece, still to be split
func TestTasksStopInTimeWhenCancelledDuringAChangeOfLeader(t *testing.T) {
	for _, test := range []struct {
		name         string
		nodes        int
		leaseProxies bool
		change       func(sim *simCluster, leader *controllerProcess)
		clusterFault func(sim *simCluster)
	}{
		{"leader killed", 3, false, func(sim *simCluster, leader *controllerProcess) {
			sim.restartController(leader, sim.randomTime(100*micro.Millisecond, 8*micro.Second))
		}, nil},
		{"leader restarted within a second, lease proxies", 4, true, func(sim *simCluster, leader *controllerProcess) {
			sim.restartController(leader, sim.randomTime(50*micro.Millisecond, 900*micro.Millisecond))
		}, nil},
		{"leader paused", 3, false, func(sim *simCluster, leader *controllerProcess) {
			leader.freeze(sim.randomTime(4500*micro.Millisecond, 9*micro.Second))
		}, nil},
		{"leader paused, lease proxies", 5, true, func(sim *simCluster, leader *controllerProcess) {
			leader.freeze(sim.randomTime(4500*micro.Millisecond, 9*micro.Second))
		}, nil},
		{"leader partitioned, lease proxies", 4, true, func(sim *simCluster, leader *controllerProcess) {
			sim.partitionNode(leader, sim.randomTime(4*micro.Second, 12*micro.Second), "state", "peers")
		}, nil},
		{"store refuses the leader", 3, false, func(sim *simCluster, leader *controllerProcess) {
			sim.refuseNode(leader, sim.randomTime(4*micro.Second, 12*micro.Second))
		}, nil},
		{"leader resigns, proxies", 4, true, func(_ *simCluster, leader *controllerProcess) { resignLeader(leader) }, nil},
		{"leader resigns", 3, false, func(_ *simCluster, leader *controllerProcess) { resignLeader(leader) }, nil},
		{"leader killed, writes executed late", 3, false, func(sim *simCluster, leader *controllerProcess) {
			sim.restartController(leader, sim.randomTime(100*micro.Millisecond, 8*micro.Second))
		}, func(sim *simCluster) { sim.disturbCommits(0.3, 0, 8*micro.Second) }},
		{"leader resigns, responses lost, lease proxies", 4, true, func(_ *simCluster, leader *controllerProcess) {
			resignLeader(leader)
		}, func(sim *simCluster) { sim.disturbCommits(0, 0.3, 8*micro.Second) }},
		{"leader paused, heartbeats delayed", 3, false, func(sim *simCluster, leader *controllerProcess) {
			leader.freeze(sim.randomTime(4500*micro.Millisecond, 9*micro.Second))
		}, func(sim *simCluster) { sim.replayHeartbeats(0.5, 45*micro.Second, 15*micro.Second) }},
	} {
		outcomes := newOutcomeCounts(t)
		runCaseWithSeeds(t, 6, test.name, func(t *testing.T, seed uint64) {
			runScenario(t, seed, test.nodes, func(sim *simCluster) {
				if !test.leaseProxies {
					sim.config.LeaseProxyFactor = 0
				}
			}, func(sim *simCluster) {
				outcomes.record(simulationRan)
				const jobCount = 10
				var jobs []*userJob
				for i := range jobCount {
					request := []jobRequest{{kind: wire.Service, tasks: 2}, {kind: wire.JobArray, tasks: 3, runTime: endlessRun}, {kind: wire.Gang, tasks: 2, runTime: endlessRun}, {kind: wire.JobArray, tasks: 2, runTime: endlessRun, zone: "b"}}[i%4]
					request.team = []string{"team", "other"}[i%2]
					jobs = append(jobs, sim.submitAndWaitRunning(request))
				}
				leader := sim.waitForLeader()
				oldTerm := leader.runningNode().activeLeader().term
				changeAt := sim.now() + micro.Second
				if test.clusterFault != nil {
					test.clusterFault(sim)
				}
				for _, job := range jobs {
					queryRapidly := sim.randomChance(0.5)
					at := sim.randomDuration(0, 7*micro.Second)
					time.AfterFunc(at, func() {
						go job.watchUntilFinal()
						if queryRapidly {
							go job.queryRapidly()
						}
						job.cancel()
						if queryRapidly {
							job.queryRapidly()
						}
					})
				}
				sim.sleep(micro.Second)
				test.change(sim, leader)
				var newTermAt micro.Time
				sim.waitUntil("a new term", 20*micro.Second, func() bool {
					for _, controller := range sim.controllers {
						if node := controller.runningNode(); node != nil && node.activeLeader() != nil &&
							node.activeLeader().term.FencingRevision > oldTerm.FencingRevision {
							newTermAt = sim.now()
						}
					}
					return newTermAt > 0
				})
				for _, job := range jobs {
					sim.waitUntil(job.id+" reported aborted", 80*micro.Second, func() bool { return job.knowledge().aborted })
					switch reportedAt, _, _, _ := job.abortReport(); {
					case reportedAt < changeAt:
						outcomes.record("told before")
					case reportedAt < newTermAt:
						outcomes.record("told within")
					default:
						outcomes.record("told after")
					}
				}
				sim.sleep(cancelSpan + micro.Second)
				for _, job := range jobs {
					if job.runningTasks() > 0 {
						t.Errorf("%s still has running tasks", job.id)
					}
				}
				sim.checkRecovery()
			})
		})
		outcomes.require(test.name, "told before", "told after")
	}
}

// resignLeader makes the node resign if it leads.
func resignLeader(controller *controllerProcess) {
	if l := controller.runningNode().activeLeader(); l != nil {
		l.post(func() { l.resign("test") })
	}
}

// A cancellation was reported to the user, but the job's machines received no command to stop before the leader
// changed. The next leader answers their heartbeats and so renews their leases: it must order the tasks to stop
// without another request from a user.
func TestNextLeaderStopsTasksOfJobsCancelledBeforeItsTerm(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(sim *simCluster, leader *controllerProcess)
	}{
		{"leader killed", func(sim *simCluster, leader *controllerProcess) {
			sim.restartController(leader, sim.randomTime(micro.Second, 8*micro.Second))
		}},
		{"store refuses the leader", func(sim *simCluster, leader *controllerProcess) {
			sim.refuseNode(leader, sim.randomTime(6*micro.Second, 12*micro.Second))
		}},
		{"leader resigns", func(_ *simCluster, leader *controllerProcess) { resignLeader(leader) }},
	} {
		runCaseWithSeeds(t, 4, test.name, func(t *testing.T, seed uint64) {
			runScenario(t, seed, 3, func(sim *simCluster) { sim.config.LeaseProxyFactor = 0 }, func(sim *simCluster) {
				jobs := []*userJob{
					sim.submitAndWaitRunning(jobRequest{kind: wire.Service, tasks: 2}),
					sim.submitAndWaitRunning(jobRequest{kind: wire.JobArray, tasks: 2, runTime: endlessRun}),
					sim.submitAndWaitRunning(jobRequest{kind: wire.Gang, tasks: 2, runTime: endlessRun}),
				}
				sim.sleep(3 * micro.Second)
				leader := sim.waitForLeader()
				oldTerm := leader.runningNode().activeLeader().term
				for _, job := range jobs {
					for _, machine := range job.machines() {
						machine.loseResponses(sim.randomTime(10*micro.Second, 15*micro.Second))
					}
				}
				for _, job := range jobs {
					job.cancel()
				}
				test.change(sim, leader)
				sim.waitUntil("a new term", 20*micro.Second, func() bool {
					newLeader := sim.waitForLeader().runningNode().activeLeader()
					return newLeader != nil && newLeader.term.FencingRevision > oldTerm.FencingRevision
				})
				for _, job := range jobs {
					if _, _, remaining, ok := job.abortReport(); !ok || remaining != 2 || job.runningTasks() != 2 {
						t.Fatalf(
							"%s: %d tasks when the cancellation was reported, %d when the next leader's term began, want 2", job.id,
							remaining, job.runningTasks(),
						)
					}
				}
				sim.sleep(cancelSpan)
				sim.checkRecovery()
			})
		})
	}
}

// The write of a cancellation gets no response, and the leader changes. If the store executed the write after the
// next leader's term began, it must refuse it: that leader would not know of the final status, any node would
// report it to the user, and the tasks would run on.
func TestLateCancellationWriteIsRefusedAfterTheNextLeaderBegan(t *testing.T) {
	outcomes := newOutcomeCounts(t)
	for name, change := range map[string]func(sim *simCluster, leader *controllerProcess){
		"leader killed":  func(sim *simCluster, leader *controllerProcess) { sim.restartController(leader, 20*micro.Second) },
		"leader resigns": func(_ *simCluster, leader *controllerProcess) { resignLeader(leader) },
		"leader partitioned": func(sim *simCluster, leader *controllerProcess) {
			sim.partitionNode(leader, 20*micro.Second, "state", "peers")
		},
	} {
		runCaseWithSeeds(t, 5, name, func(t *testing.T, seed uint64) {
			runScenario(t, seed, 3, func(sim *simCluster) { sim.config.LeaseProxyFactor = 0 }, func(sim *simCluster) {
				outcomes.record(simulationRan)
				job := sim.submitAndWaitRunning(jobRequest{kind: wire.Service, tasks: 2})
				sim.sleep(3 * micro.Second)
				old := sim.waitForLeader()
				sim.disturbCommits(1, 0, 300*micro.Millisecond, old)
				go job.cancelOnce(old)
				sim.sleep(200 * micro.Millisecond)
				if oldLeader := old.runningNode().activeLeader(); oldLeader == nil || !oldLeader.records.EndUncertain(job.id) {
					t.Fatal("the write of the cancellation was not sent")
				}
				change(sim, old)
				next := sim.waitForNextLeader(old)
				_, err := sim.store.Get(sim.ctx, store.Urgent, keys.JobEnd(job.id))
				stored := err == nil
				sim.sleep(13 * micro.Second) // the store executes the late write
				if _, err := sim.store.Get(sim.ctx, store.Urgent, keys.JobEnd(job.id)); !stored && err == nil &&
					!job.knowledge().aborted &&
					job.runningTasks() > 0 {
					t.Errorf("the job's final status was stored without the knowledge of %s, which leads", next.name)
				} else if !stored &&
					err != nil {
					outcomes.record("refused by its guard")
				}
				for _, controller := range sim.controllers {
					if controller != old || controller.holdsLease() {
						job.queryStatus(controller)
					}
				}
				if !stored {
					sim.waitUntil("both tasks run", 90*micro.Second, func() bool { return job.runningTasks() == 2 })
				}
				sim.waitUntil("no active faults", micro.Minute, sim.noActiveFaults)
				job.cancel()
				sim.sleep(cancelSpan + micro.Second)
			})
		})
	}
	outcomes.require("late", "refused by its guard")
}
