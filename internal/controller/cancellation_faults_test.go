package controller

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/micro"
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
