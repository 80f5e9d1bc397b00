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
	simulatedScenarios = flag.Int("sim.seeds", 40, "how many days the random test plays")
	firstSeed          = flag.Uint64("sim.first", 1, "the seed of the first of them")
	onlySeed           = flag.Uint64("sim.seed", 0, "the one day that it plays; 0: all of them")
)

// Random days: jobs of all kinds, and troubles that meet as they come. After the
// troubles are over, each accepted job that was not cancelled must be served
// within the time that the users name. The troubles of a day follow from its
// seed; the order of what happens in the same instant does not, so a failure may
// take several replays (-sim.seed=N -count=20).
func TestRandomScenariosKeepTheRules(t *testing.T) {
	seeds := []uint64{}
	for i := range *simulatedScenarios {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	if *onlySeed > 0 {
		seeds = []uint64{*onlySeed}
	}
	for _, seed := range seeds {
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

func runRandomScenario(sim *simCluster) {
	const day = 200 * micro.Second
	var jobs []*userJob
	go sim.injectRandomFaults(day)
	for sim.now() < day {
		time.Sleep(sim.randomDuration(micro.Second, 6*micro.Second))
		request := sim.randomJobRequest()
		if n := len(jobs); n > 0 && sim.randomChance(0.15) { // a pipeline
			if x := sim.checker.jobNamed(jobs[sim.randomInt(n)].id); x.accepted && x.spec.Kind != wire.Service &&
				!x.alwaysFails {
				request.dependencies = []string{x.spec.ID}
			}
		}
		job := sim.newJob(request)
		jobs = append(jobs, job)
		if sim.randomChance(0.1) { // users call off much at once
			for _, o := range jobs {
				if jd := sim.checker.jobNamed(o.id); jd.accepted && !jd.cancelRequested && sim.randomChance(0.5) {
					go o.cancel()
				}
			}
		}
		if sim.randomChance(0.1) { // and ask for what nobody submitted
			x := &userJob{sim, fmt.Sprint("j-9", sim.randomInt(100000)), nil}
			for _, controller := range sim.controllers {
				go x.queryStatus(controller)
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
	// The last troubles last a minute and more; those services that run are
	// enough to fill a team, so they are cancelled after a while.
	sim.waitUntil("all troubles over", 4*micro.Minute, func() bool { return sim.noActiveFaults() })
	calmSince := sim.now()
	for {
		left := []string{}
		for _, job := range jobs {
			if knowledge := job.knowledge(); !job.satisfied() && (knowledge.accepted || sim.now() < calmSince+60*micro.Second) {
				left = append(left, job.id)
			}
		}
		if len(left) == 0 {
			break
		}
		if sim.now() > calmSince+4*micro.Minute {
			sim.t.Errorf("%.1f s: four minutes after the last trouble not served: %v", sim.now().Seconds(), left)
			sim.describeUnserved(left)
			return
		}
		time.Sleep(time.Second)
		// Whoever runs for ever makes capacity for the rest by and by.
		if sim.now() > calmSince+30*micro.Second {
			for _, job := range jobs {
				if jd := sim.checker.jobNamed(job.id); jd.accepted && !jd.cancelRequested &&
					(jd.alwaysFails || jd.spec.Kind == wire.Service && job.satisfied()) {
					go job.cancel()
				}
			}
		}
	}
	for _, job := range jobs { // and nothing is forgotten
		for _, controller := range sim.controllers {
			job.queryStatus(controller)
		}
	}
	sim.t.Logf(
		"%d jobs, %d tasks began, %d of them after a confirmed cancellation, %d answers, %.0f s", len(jobs),
		sim.checker.startCount, sim.checker.lateStartCount, sim.checker.answerCount, sim.now().Seconds(),
	)
	if sim.checker.startCount == 0 {
		sim.t.Error("nothing ran")
	}
}

// randomJobRequest draws a job.
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

// The same days with a share of the machines, which an operator moves to and fro all the
// time: its owners, the leader and the machines meet the same troubles.
func TestRandomScenariosWithShardsKeepTheRules(t *testing.T) {
	seeds := []uint64{5326} // four nodes whose machines are all dead handed the lead round for ever
	for i := range *simulatedScenarios {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	if *onlySeed > 0 {
		seeds = []uint64{*onlySeed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runScenario(t, seed, []int{3, 4, 5}[seed%3], func(sim *simCluster) {
				withShard(sim)
				// Not a whole zone: services that are spread over both would find no capacity.
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

// moveShardRandomly has the share moved to one controller after another, or a move cancelled.
func (w *simCluster) moveShardRandomly() {
	for w.ctx.Err() == nil && w.now() < 260*micro.Second { // then all must be served
		time.Sleep(w.randomDuration(micro.Second, 12*micro.Second))
		c := shard.Command{
			Operation: shard.OperationMove, Shard: "east", Target: w.controllers[w.randomInt(len(w.controllers))].name,
		}
		if w.randomChance(0.15) {
			c.Operation = shard.OperationCancel
		}
		if controller := w.randomUserNode(); controller != nil {
			if n := controller.runningNode(); n != nil {
				n.handleAdmin(wire.MustMarshal(c))
			}
		}
	}
}
