package controller

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

var (
	simulatedScenarios = flag.Int("sim.seeds", 40, "number of seeds that a random test runs")
	firstSeed          = flag.Uint64("sim.first", 1, "first seed")
	onlySeed           = flag.Uint64("sim.seed", 0, "the only seed to run; 0: run -sim.seeds seeds")
)

// randomSeeds returns the seeds that a random test runs: the always ones and n from the flag -sim.first on, or only the
// seed of the flag -sim.seed.
func randomSeeds(n int, always ...uint64) []uint64 {
	if *onlySeed > 0 {
		return []uint64{*onlySeed}
	}
	seeds := always
	for i := range n {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	return seeds
}

// Random scenarios: jobs of all kinds, and faults that overlap at random. After the
// faults have ended, each accepted job that was not cancelled must be served within
// the time that the users specify. The faults of a scenario are derived from its seed,
// but the order of simultaneous events is not, so reproducing a failure may take
// several runs (-sim.seed=N -count=20).
func TestRandomScenariosKeepTheRules(t *testing.T) {
	for _, seed := range randomSeeds(*simulatedScenarios) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runScenario(t, seed, []int{3, 4, 5}[seed%3], func(sim *simCluster) {
				sim.fastBoot = seed%4 == 0
				sim.cloud.bootFailureRatio = []float64{0, 0.1}[seed%2]
				sim.cloud.lostAnswerRatio = []float64{0, 0, 0.2}[seed%3]
				if seed%5 == 0 {
					sim.config.LeaseProxyFactor = 0
				}
				if seed%7 == 0 {
					sim.writeRPS = 20
				}
			}, runRandomScenario)
		})
	}
}

// runRandomScenario submits random jobs during random faults, waits until all faults have ended, and checks
// that every job is served after that and known to all controllers.
func runRandomScenario(sim *simCluster) {
	const end = 200 * micro.Second
	var jobs []*userJob
	go sim.injectRandomFaults(end)
	for sim.now() < end {
		time.Sleep(sim.randomDuration(micro.Second, 6*micro.Second))
		request := sim.randomJobRequest()
		if n := len(jobs); n > 0 && sim.randomChance(0.15) { // a job with a dependency
			if dependency := sim.checker.jobNamed(jobs[sim.randomInt(n)].id); dependency.accepted &&
				dependency.spec.Kind != wire.Service && !dependency.alwaysFails {
				request.dependencies = []string{dependency.spec.ID}
			}
		}
		job := sim.newJob(request)
		jobs = append(jobs, job)
		if sim.randomChance(0.1) { // users cancel many jobs at once
			for _, other := range jobs {
				if record := sim.checker.jobNamed(other.id); record.accepted && !record.cancelRequested &&
					sim.randomChance(0.5) {
					go other.cancel()
				}
			}
		}
		if sim.randomChance(0.1) { // status queries of a job that was not submitted
			unknown := &userJob{sim, fmt.Sprint("j-9", sim.randomInt(100000)), nil}
			for _, controller := range sim.controllers {
				go unknown.queryStatus(controller)
			}
		}
		queryRapidly, cancel := sim.randomChance(0.4), sim.randomChance(0.35)
		after := sim.randomDuration(0, 40*micro.Second)
		go func() {
			job.submit()
			if queryRapidly {
				job.queryRapidly()
			}
			go job.watchUntilFinal()
			if !cancel {
				return
			}
			time.Sleep(after)
			if job.cancel(); queryRapidly {
				job.queryRapidly()
			}
		}()
	}
	// The last faults can last longer than a minute.
	sim.waitUntil("all faults ended", 4*micro.Minute, func() bool { return sim.noActiveFaults() })
	faultsEndedAt := sim.now()
	for {
		left := []string{}
		for _, job := range jobs {
			if knowledge := job.knowledge(); !job.satisfied() &&
				(knowledge.accepted || sim.now() < faultsEndedAt+60*micro.Second) {
				left = append(left, job.id)
			}
		}
		if len(left) == 0 {
			break
		}
		if sim.now() > faultsEndedAt+4*micro.Minute {
			sim.t.Errorf("%.1f s: jobs not served four minutes after the last fault: %v", sim.now().Seconds(), left)
			sim.describeUnserved(left)
			return
		}
		time.Sleep(time.Second)
		// Running services, and jobs whose tasks always fail, can fill the quota of a team. They are cancelled
		// 30 s after the last fault, so that the other jobs get capacity.
		if sim.now() > faultsEndedAt+30*micro.Second {
			for _, job := range jobs {
				if record := sim.checker.jobNamed(job.id); record.accepted && !record.cancelRequested &&
					(record.alwaysFails || record.spec.Kind == wire.Service && job.satisfied()) {
					go job.cancel()
				}
			}
		}
	}
	for _, job := range jobs { // the checker reports jobs that a controller no longer knows
		for _, controller := range sim.controllers {
			job.queryStatus(controller)
		}
	}
	sim.t.Logf(
		"%d jobs, %d task starts, %d of them after a confirmed cancellation, %d replies, %.0f s", len(jobs),
		sim.checker.startCount, sim.checker.lateStartCount, sim.checker.answerCount, sim.now().Seconds(),
	)
	if sim.checker.startCount == 0 {
		sim.t.Error("no task started")
	}
}

// randomJobRequest draws the properties of a job.
func (w *simCluster) randomJobRequest() jobRequest {
	request := jobRequest{
		tasks: 1 + w.randomInt(6), runTime: micro.Time(1+w.randomInt(30)) * micro.Second, cpus: float64(1 + w.randomInt(2)),
		team: []string{"team", "other"}[w.randomInt(2)],
	}
	request.priority = []wire.Priority{wire.Production, wire.High, wire.Normal, wire.Low}[w.randomInt(4)]
	request.spot = w.randomChance(0.4)
	request.alwaysFails = w.randomChance(0.05)
	switch w.randomInt(6) {
	case 0, 1, 2:
		request.kind = wire.JobArray
	case 3:
		request.kind, request.tasks, request.oneZone = wire.Gang, 1+w.randomInt(4), w.randomChance(0.5)
	default:
		request.kind, request.tasks, request.runTime = wire.Service, 1+w.randomInt(3), 0
		request.spread = w.randomChance(0.5)
	}
	if request.alwaysFails {
		request.kind, request.spread, request.oneZone = wire.JobArray, false, false
	}
	if !request.spread && w.randomChance(0.2) {
		request.zone = []string{"a", "b"}[w.randomInt(2)]
	}
	return request
}

// The same scenarios with a shard, which an operator moves between controllers repeatedly: the shard's owners,
// the leader and the machines are subject to the same faults.
func TestRandomScenariosWithShardsKeepTheRules(t *testing.T) {
	// With seed 5326, four controllers passed the leadership round without end, as all machines were dead.
	for _, seed := range randomSeeds(*simulatedScenarios, 5326) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runScenario(t, seed, []int{3, 4, 5}[seed%3], func(sim *simCluster) {
				withShard(sim)
				// The shard does not own a whole zone: services that are spread over both zones would find no capacity.
				sim.config.Shards.Declared[0].Selector = shard.Selector{
					Kind: []shard.InstanceKind{shard.SpotOnly, shard.OnDemandOnly}[seed%2],
				}
				sim.fastBoot = seed%4 == 0
				sim.cloud.bootFailureRatio = []float64{0, 0.1}[seed%2]
				if seed%5 == 0 {
					sim.config.LeaseProxyFactor = 0
				}
			}, func(sim *simCluster) {
				go sim.moveShardRandomly()
				runRandomScenario(sim)
			})
		})
	}
}

// moveShardRandomly requests moves of the shard to random controllers, and cancels some of them.
func (w *simCluster) moveShardRandomly() {
	for w.ctx.Err() == nil && w.now() < 260*micro.Second { // afterwards all jobs must be served
		time.Sleep(w.randomDuration(micro.Second, 12*micro.Second))
		command := shard.Command{
			Operation: shard.OperationMove, Shard: "east", Target: w.controllers[w.randomInt(len(w.controllers))].name,
		}
		if w.randomChance(0.15) {
			command.Operation = shard.OperationCancel
		}
		if controller := w.randomUserNode(); controller != nil {
			if node := controller.runningNode(); node != nil {
				node.handleAdmin(wire.MustMarshal(command))
			}
		}
	}
}
