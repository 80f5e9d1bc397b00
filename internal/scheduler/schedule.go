package scheduler

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// queuedJob is a pending job with the keys that determine its position in a scheduling pass.
type queuedJob struct {
	job             *cluster.Job
	withinGuarantee bool
	canStartInTime  bool // false if its class is overloaded and its start objective is already missed
	latestStart     micro.Time
}

// Schedule runs one scheduling pass and returns the number of tasks placed. It tries pending jobs in
// order of priority, guarantee and latest start that meets their objectives. It reserves capacity for
// starved jobs and transfers quota between partially placed services.
func (s *Scheduler) Schedule(now micro.Time) int {
	s.Cluster.MarkGuarantees()
	s.expireReservations(now)
	s.expireQuotaTransfers(now)
	s.countHeadroom(now)
	s.fillReservations(now)
	overloaded := s.overloadedClasses()
	queue, waiting := s.buildQueue(overloaded, now)
	s.sampling = s.Overloaded && waiting > s.Properties.SampleAbovePending
	placed, starved := s.allocateQueue(queue, now)
	s.startReservations(starved, len(overloaded) > 0, now)
	s.transferQuota(now)
	return placed
}

// buildQueue returns the pending jobs in the order in which they are tried, and the total number of
// their pending tasks.
func (s *Scheduler) buildQueue(
	overloaded map[*cluster.Class]micro.Time, now micro.Time,
) (queue []queuedJob, waiting int) {
	queue = make([]queuedJob, 0, len(s.Cluster.PendingJobs))
	var images map[string]bool
	for job := range s.Cluster.PendingJobs {
		waiting += job.PendingTasks()
		entry := queuedJob{
			job: job, canStartInTime: true, withinGuarantee: job.WithinGuarantee,
			latestStart: s.Objectives.LatestStart(job, now),
		}
		if startObjective := overloaded[job.Class]; startObjective > 0 {
			if images == nil {
				images = s.availableImages()
			}
			s.prioritizeShortest(&entry, startObjective, images, now)
		}
		queue = append(queue, entry)
	}
	sort.Slice(queue, func(a, b int) bool { return schedulesBefore(&queue[a], &queue[b]) })
	return queue, waiting
}

// prioritizeShortest ranks a job of an overloaded class by its total run time instead of its latest
// start: in order of latest start, all jobs of a burst would start just too late. An image that no
// suitable machine holds adds its fetch time to the run time. A job that has waited longer than the start
// objective or the guaranteed start loses its place among those that can still meet it.
func (s *Scheduler) prioritizeShortest(
	entry *queuedJob, startObjective micro.Time, images map[string]bool, now micro.Time,
) {
	job := entry.job
	duration := EstimatedRuntime(job)
	if !images[job.Spec.Image] {
		duration += s.fetchTime(&job.Spec)
	}
	entry.latestStart = now + duration*micro.Time(len(job.Tasks))
	entry.canStartInTime = now <= job.EligibleSince+startObjective
	entry.withinGuarantee = entry.withinGuarantee &&
		(s.Objectives.guaranteedStart == 0 || now <= job.EligibleSince+s.Objectives.guaranteedStart)
}

// allocateQueue tries to place the jobs in order. It returns the number of tasks placed and the
// starved jobs.
func (s *Scheduler) allocateQueue(queue []queuedJob, now micro.Time) (placed int, starved []*cluster.Job) {
	rejected := unschedulable{}
	for i := range queue {
		job := queue[i].job
		if job.State != cluster.Active || job.InBackoff(now) || job.GangStopping {
			continue
		}
		if s.starved(job, now) {
			starved = append(starved, job)
		}
		limit := s.relaxationLimit(job, now)
		if rejected.covers(job, limit) && !s.hasReservation(job) {
			continue
		}
		count, noCapacity := s.allocateJob(job, limit, now)
		placed += count
		if noCapacity {
			rejected.add(job, limit)
		}
	}
	return placed, starved
}

// allocateJob places as many tasks of a job as possible, for a gang all or none. It returns the number
// of tasks placed and whether machine capacity was lacking.
func (s *Scheduler) allocateJob(job *cluster.Job, limit relaxation, now micro.Time) (placed int, noCapacity bool) {
	if job.Spec.Kind == wire.Gang {
		return s.allocateGang(job, limit, now)
	}
	return s.allocateTasks(job, limit, now)
}

// schedulesBefore reports whether job x is tried before job y. Job IDs break ties.
func schedulesBefore(x, y *queuedJob) bool {
	switch {
	case x.job.PriorityLevel != y.job.PriorityLevel:
		return x.job.PriorityLevel < y.job.PriorityLevel
	case x.canStartInTime != y.canStartInTime:
		return x.canStartInTime
	case x.withinGuarantee != y.withinGuarantee:
		return x.withinGuarantee
	case x.latestStart != y.latestStart:
		return x.latestStart < y.latestStart
	}
	return x.job.Spec.ID < y.job.Spec.ID
}

// overloadedClasses returns the classes whose gangs are expected to miss their start objective, each
// with that objective. The expected wait is the estimated run time of the pending gang tasks divided by
// the number of allocations of the class.
//
// In order of latest start, all jobs of such a class would start just too late; in order of shortest
// run time, most of them start in time. Jobs that have already missed the objective come after those
// that can still meet it, regardless of guarantees: if all teams claim their guarantees at once, the
// guarantees may exceed the capacity.
func (s *Scheduler) overloadedClasses() map[*cluster.Class]micro.Time {
	byClass := map[*cluster.Class]micro.Time{}
	for job := range s.Cluster.PendingJobs {
		if job.Spec.Kind == wire.Gang {
			byClass[job.Class] += EstimatedRuntime(job) * micro.Time(job.PendingTasks())
		}
	}
	for class, backlog := range byClass {
		startObjective := s.Objectives.StartObjective(class.Name)
		if startObjective == 0 || backlog/micro.Time(max(class.AllocationCount, 1)) < startObjective/overloadDivisor {
			delete(byClass, class)
			continue
		}
		byClass[class] = startObjective
	}
	return byClass
}

// availableImages returns the images held by GPU machines on which at least half of the scaled CPUs are
// free. A job whose image is among them occupies its machine for a shorter time.
func (s *Scheduler) availableImages() map[string]bool {
	images := map[string]bool{}
	for _, pool := range s.Cluster.Pools {
		if pool.Type.GPUs == 0 {
			continue
		}
		for bucket := int(pool.Type.CPUs / 2); bucket < pool.BucketCount(); bucket++ {
			for _, m := range pool.Bucket(bucket) {
				m.EachImage(func(name string) { images[name] = true })
			}
		}
	}
	return images
}

// fetchTime returns the shortest time to fetch a job's image on a machine type that has enough GPUs, or
// 0 if no such type has a known fetch rate.
func (s *Scheduler) fetchTime(spec *wire.Job) micro.Time {
	var best micro.Time
	for _, t := range s.Cluster.CatalogOrder {
		if t.GPUs >= spec.GPUs && t.FetchGBPerS > 0 {
			if duration := micro.FromSeconds(spec.ImageGB / t.FetchGBPerS); best == 0 || duration < best {
				best = duration
			}
		}
	}
	return best
}

// overloadDivisor makes a class count as overloaded once its expected wait reaches 1/overloadDivisor of
// the start objective, well before the objective is missed.
const overloadDivisor = 2
