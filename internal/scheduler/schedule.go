package scheduler

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// queuedJob is a job in the order of a pass.
type queuedJob struct {
	job             *cluster.Job
	withinGuarantee bool
	canStartInTime  bool // it can still start in time, or its class is not overloaded
	latestStart     micro.Time
}

// Schedule places what it can, in order of priority, guarantee and nearness of the
// objective, and reports how many tasks it placed. For work that has waited too
// long and found no capacity, capacity is reserved.
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

// buildQueue lists the jobs with tasks to place in the order in which they are tried, and
// says how many tasks they are.
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

// prioritizeShortest ranks a job of an overloaded class by the work that it is, not by its latest
// start: in the order of latest starts, all of a burst start just too late. A job whose
// image is nowhere at hand is as good as one that runs for longer.
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

// allocateQueue tries the jobs one after the other, and lists those that have waited too long.
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

// allocateJob places what it can of a job, and reports whether it lacked capacity.
func (s *Scheduler) allocateJob(job *cluster.Job, limit relaxation, now micro.Time) (placed int, noCapacity bool) {
	if job.Spec.Kind == wire.Gang {
		return s.allocateGang(job, limit, now)
	}
	return s.allocateTasks(job, limit, now)
}

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

// overloadedClasses finds the classes that wait longer than their objective on starting
// allows, with that objective: what waits, over what runs. Taken in the order of
// their latest starts, all their jobs would start just too late; the least
// work first, most start in time. Those that can no longer come after those that can,
// whatever their guarantee: when all teams ask for theirs at once, there may be
// more guaranteed than there is.
func (s *Scheduler) overloadedClasses() map[*cluster.Class]micro.Time {
	byClass := map[*cluster.Class]micro.Time{}
	for job := range s.Cluster.PendingJobs {
		if job.Spec.Kind == wire.Gang {
			byClass[job.Class] += EstimatedRuntime(job) * micro.Time(job.PendingTasks())
		}
	}
	for class, amount := range byClass {
		startObjective := s.Objectives.StartObjective(class.Name)
		if startObjective == 0 || amount/micro.Time(max(class.AllocationCount, 1)) < startObjective/overloadDivisor {
			delete(byClass, class)
			continue
		}
		byClass[class] = startObjective
	}
	return byClass
}

// availableImages lists the images on GPU machines that have capacity for more than half
// a machine: where a job's image is at hand, it takes the machine for less long.
func (s *Scheduler) availableImages() map[string]bool {
	images := map[string]bool{}
	for _, pool := range s.Cluster.Pools {
		if pool.Type.GPUs == 0 {
			continue
		}
		for row := int(pool.Type.CPUs / 2); row < pool.BucketCount(); row++ {
			for _, m := range pool.Bucket(row) {
				m.EachImage(func(name string) { images[name] = true })
			}
		}
	}
	return images
}

// fetchTime is how long a job's image takes on the machines with GPUs.
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

// overloadDivisor is the part of the objective at which a class counts as
// overloaded: in good time before it is missed.
const overloadDivisor = 2
