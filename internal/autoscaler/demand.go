package autoscaler

import (
	"math"
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/wire"
)

// taskDemand is a number of identical tasks that need capacity.
type taskDemand struct {
	job           *cluster.Job // nil: headroom
	spec          *wire.Job
	tasks         int
	latestStart   micro.Time // the tasks must have started by then to meet their objective
	priorityLevel int

	eligible func(InstanceOffer) bool // reports whether an offer can serve it; nil: all that its job allows can
}

// allows reports whether the demand's tasks may run on a machine of the given type, zone and kind.
func (d *taskDemand) allows(typ *cluster.MachineType, zone string, spot bool) bool {
	return scheduler.Allowed(d.spec, typ, zone, spot) &&
		(d.eligible == nil || d.eligible(InstanceOffer{typ.Name, zone, spot}))
}

// eligibleOffers returns a function that reports whether an offer can serve a job; nil: all offers can.
// An offer in a shard can do so only if the whole job can be assigned to a shard now: a service with one
// allocated replica once had machines requested in a shard, again and again, for the other replica.
func (p *Planner) eligibleOffers(job *cluster.Job) func(InstanceOffer) bool {
	if !p.Cluster.CanTransfer(job) {
		return p.OwnsOffer
	}
	if p.OwnsOffer == nil || p.ShardAcceptsJob == nil {
		return nil
	}
	return func(offer InstanceOffer) bool { return p.OwnsOffer(offer) || p.ShardAcceptsJob(job, offer) }
}

// ShardDemand is a number of tasks of a job that wait for capacity in a shard, which another controller
// owns.
type ShardDemand struct {
	Job     *cluster.Job
	Tasks   int
	InShard func(InstanceOffer) bool // reports whether an offer's machines are in the shard
}

// demands returns the tasks that need capacity and the missing headroom, by priority and then by latest
// start.
func (p *Planner) demands(now micro.Time) []taskDemand {
	demands, topPriorityTasks := p.jobDemands(now)
	demands = append(demands, p.shardDemands(now)...)
	demands = append(demands, p.bootSpares(topPriorityTasks, now)...)
	demands = append(demands, p.headroom(now)...)
	sort.SliceStable(demands, func(a, b int) bool {
		if demands[a].priorityLevel != demands[b].priorityLevel {
			return demands[a].priorityLevel < demands[b].priorityLevel
		}
		return demands[a].latestStart < demands[b].latestStart
	})
	return demands
}

// jobDemands returns the tasks of pending jobs that need capacity soon, as far as their teams' limits
// allow them; topPriorityTasks counts those of the highest priority level by class.
func (p *Planner) jobDemands(now micro.Time) (demands []taskDemand, topPriorityTasks map[*cluster.Class]int) {
	topPriorityTasks = map[*cluster.Class]int{}
	planned := plannedQuota{}
	jobs := make([]*cluster.Job, 0, len(p.Cluster.PendingJobs))
	for job := range p.Cluster.PendingJobs {
		jobs = append(jobs, job)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].Spec.ID < jobs[b].Spec.ID })
	for _, job := range jobs {
		if job.NotBefore > now+maxBackoffRemaining && job.InBackoff(now) {
			continue
		}
		tasks := planned.reserve(job, job.Demand(now))
		if tasks == 0 {
			continue
		}
		latestStart := p.Objectives.LatestStart(job, now)
		if !p.scaleOutDue(job, latestStart, now) {
			continue
		}
		eligible := p.eligibleOffers(job)
		if receivesQuota(job) {
			eligible = p.OwnsOffer
		}
		demands = append(demands, taskDemand{
			job: job, spec: &job.Spec, tasks: tasks, latestStart: latestStart, priorityLevel: job.PriorityLevel,
			eligible: eligible,
		})
		if job.PriorityLevel == 0 {
			topPriorityTasks[job.Class] += tasks
		}
	}
	return demands, topPriorityTasks
}

// maxBackoffRemaining is the longest remaining backoff of a job at which capacity is requested for it.
const maxBackoffRemaining = 10 * micro.Second

// plannedQuota is the quota of each team that one plan has reserved.
type plannedQuota map[*cluster.Team]cluster.Resources

// reserve reserves quota of a job's team for up to the given number of tasks and returns how many are
// within the team's limits; 0 if there are none, or too few for a gang. A job that receives quota from
// other services needs none reserved.
func (q plannedQuota) reserve(job *cluster.Job, tasks int) int {
	team, spec := job.Team, &job.Spec
	if tasks == 0 || team == nil || receivesQuota(job) {
		return tasks
	}
	planned := q[team]
	tasks = min(tasks, team.TaskHeadroomAfter(planned, spec.CPUs, spec.GPUs))
	if tasks == 0 || spec.Kind == wire.Gang && tasks < len(job.Tasks) {
		return 0
	}
	planned.CPU += float64(tasks) * spec.CPUs
	planned.GPU += float64(tasks) * spec.GPUs
	q[team] = planned
	return tasks
}

// receivesQuota reports whether a job is a service that will receive the quota it lacks from other
// services of its team, once there are machines for it.
func receivesQuota(job *cluster.Job) bool {
	return job.Team != nil && job.Team.Transfer.Recipient == job
}

// shardDemands returns the tasks that wait for capacity in shards. The owners of shards request no
// instances themselves.
func (p *Planner) shardDemands(now micro.Time) []taskDemand {
	if p.ShardDemands == nil {
		return nil
	}
	var demands []taskDemand
	for _, shard := range p.ShardDemands() {
		demands = append(demands, taskDemand{
			job: shard.Job, spec: &shard.Job.Spec, tasks: shard.Tasks,
			latestStart:   p.Objectives.LatestStart(shard.Job, now),
			priorityLevel: shard.Job.PriorityLevel, eligible: shard.InShard,
		})
	}
	return demands
}

// bootSpareFactor is the share of additional capacity requested for work of the highest priority level
// whose start objective is shorter than the boot time. Boots take 0.6 to 1.5 times their nominal time;
// with spare machines, the fastest boots provide enough capacity.
const bootSpareFactor = 0.5

// bootSpares returns the additional demand of the classes in topPriorityTasks whose start objective is
// shorter than the boot time.
func (p *Planner) bootSpares(topPriorityTasks map[*cluster.Class]int, now micro.Time) []taskDemand {
	var demands []taskDemand
	for class, tasks := range topPriorityTasks {
		startObjective, boot := p.Objectives.StartObjective(class.Name), p.minBootTime(class.LastJob)
		if startObjective > 0 && startObjective < boot {
			spec := *class.LastJob
			demands = append(
				demands,
				taskDemand{
					spec: &spec, tasks: int(math.Ceil(bootSpareFactor * float64(tasks))), latestStart: now + boot,
					eligible: p.OwnsOffer,
				},
			)
		}
	}
	sort.Slice(demands, func(a, b int) bool { return demands[a].spec.Class < demands[b].spec.Class })
	return demands
}

// scaleOutDelay is how long a job whose latest start is not near waits for capacity to be released before
// capacity is requested for it.
const scaleOutDelay = 8 * micro.Second

// scaleOutDue reports whether capacity is to be requested for a job: it has waited longer than
// scaleOutDelay, or its latest start is within twice the boot time plus 30 s.
func (p *Planner) scaleOutDue(job *cluster.Job, latestStart, now micro.Time) bool {
	if now-job.EligibleSince > scaleOutDelay {
		return true
	}
	boot := p.minBootTime(&job.Spec)
	return latestStart-now < 2*boot+30*micro.Second
}

// minBootTime returns the shortest boot time of the on-demand machine types that a job may use.
func (p *Planner) minBootTime(spec *wire.Job) micro.Time {
	best := micro.Time(math.MaxInt64 / 4)
	for _, typ := range p.Cluster.CatalogOrder {
		for _, z := range typ.Zones {
			if scheduler.Allowed(spec, typ, z, false) {
				best = min(best, micro.FromSeconds(typ.BootS))
			}
		}
	}
	return best
}

// bootMargin is the time allowed until a task starts in addition to its machine's boot and image fetch.
const bootMargin = 10 * micro.Second

// guaranteesGPUs reports whether any team is guaranteed GPUs.
func (p *Planner) guaranteesGPUs() bool {
	for _, team := range p.Cluster.Teams {
		if team.GuaranteedGPUs > 0 {
			return true
		}
	}
	return false
}

// minFetchTime returns how long an image of a class's mean size takes to fetch on the machine type that
// fetches fastest; 0 if the class may use no type with a known fetch speed.
func (p *Planner) minFetchTime(class *cluster.Class) micro.Time {
	best := math.Inf(1)
	for _, typ := range p.Cluster.CatalogOrder {
		for _, z := range typ.Zones {
			if scheduler.Allowed(class.LastJob, typ, z, true) && typ.FetchGBPerS > 0 {
				best = min(best, class.MeanImageGB/typ.FetchGBPerS)
			}
		}
	}
	if math.IsInf(best, 1) {
		return 0
	}
	return micro.FromSeconds(best)
}

// freeWithPreemption returns the free capacity of a machine for work of a priority level, including what
// that work may preempt from lower levels.
func freeWithPreemption(machine *cluster.Machine, level int) bin {
	preemptible := machine.Preemptible(level)
	unscaled := machine.Type.CPUs - machine.UsedCPU + preemptible.CPU
	scaled := machine.Type.CPUs - machine.UsedScaledCPU + preemptible.ScaledCPU
	return bin{
		typ:  machine.Type,
		zone: machine.Zone,
		spot: machine.Spot,
		cpu:  min(scaled, unscaled),
		gpu:  machine.Type.GPUs - machine.UsedGPU + preemptible.GPU,
		mem:  machine.Type.MemoryGB - machine.UsedMemoryGB + preemptible.MemoryGB,
	}
}

// headroom returns the capacity that is missing for the expected starts of classes whose start objective
// is shorter than the time until a slowly booting machine is ready. Capacity held by lower priority
// levels counts as free, since they can be preempted.
func (p *Planner) headroom(now micro.Time) []taskDemand {
	var demands []taskDemand
	names := make([]string, 0, len(p.Cluster.Classes))
	for name := range p.Cluster.Classes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		class := p.Cluster.Classes[name]
		startObjective := p.Objectives.StartObjective(name)
		if class.LastJob == nil || startObjective == 0 {
			continue
		}
		boot := p.minBootTime(class.LastJob)
		want := p.wantedHeadroom(class, startObjective, boot, now)
		if have := p.countHeadroom(class, want, now); have < want {
			spec := *class.LastJob
			demands = append(demands, taskDemand{
				spec: &spec, tasks: want - have, latestStart: now + boot, priorityLevel: spec.Priority.Level(),
				eligible: p.OwnsOffer,
			})
		}
	}
	return demands
}

// wantedHeadroom returns for how many starts of a class capacity should be kept free; 0 if a machine
// that is requested when its tasks arrive is ready in time.
func (p *Planner) wantedHeadroom(class *cluster.Class, startObjective, boot, now micro.Time) int {
	if guaranteed := p.Objectives.GuaranteedStart(); guaranteed > 0 && class.LastJob.GPUs > 0 && p.guaranteesGPUs() {
		startObjective = min(startObjective, guaranteed)
	}
	slowBootTime := boot*3/2 + bootMargin
	if startObjective >= slowBootTime+p.minFetchTime(class)*4/3 {
		return 0
	}
	expected := class.ArrivalRate(now) * boot.Seconds()
	if startObjective >= slowBootTime {
		return int(math.Ceil(expected)) // in time, unless the image has to be fetched
	}
	return 1 + int(math.Ceil(expected*p.Properties.Headroom))
}

// countHeadroom returns for how many starts of a class capacity is free. It stops at want starts, and
// marks the machines that it counts as needed for headroom, so that they are not terminated.
func (p *Planner) countHeadroom(class *cluster.Class, want int, now micro.Time) int {
	have := 0
	maxRatio := p.maxPriceRatio(nil, now)
	level := class.LastJob.Priority.Level()
	for _, machine := range p.Cluster.SortedMachines() {
		if have >= want {
			break
		}
		if !machine.Schedulable(now) ||
			p.limitsCost() && class.LastJob.GPUs == 0 && machine.Type.GPUs > 0 &&
				p.isExpensive(class.LastJob, machine.Type, machine.Spot, maxRatio) {
			continue // counted as headroom, an expensive machine would never be terminated
		}
		free := freeWithPreemption(machine, level)
		if fitting := free.countFitting(class.LastJob); fitting > 0 {
			have += fitting
			machine.LastNeededForHeadroom = now
		}
	}
	return have
}
