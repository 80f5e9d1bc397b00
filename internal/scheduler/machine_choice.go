package scheduler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Allowed reports whether the job may use machines of a type, zone and kind.
func Allowed(spec *wire.Job, typ *cluster.MachineType, zone string, spot bool) bool {
	if spot && !spec.Spot || spec.Zone != nil && *spec.Zone != zone {
		return false
	}
	if typ == nil || spec.CPUs > typ.CPUs+eps || spec.GPUs > typ.GPUs+eps || spec.MemoryGB > typ.MemoryGB+eps {
		return false
	}
	if spec.Types == nil {
		return true
	}
	for _, t := range spec.Types {
		if t == typ.Name {
			return true
		}
	}
	return false
}

// ZoneAllowed checks one-zone and spread rules against every place still taken.
func ZoneAllowed(job *cluster.Job, zone string, tasksByZone map[string]int) bool {
	if job.Spec.OneZone {
		for z, n := range job.AllocationsByZone {
			if n > 0 && z != zone { // also where the zone is not known
				return false
			}
		}
	}
	// A place in a zone that is not known may be in this one.
	if job.Spec.Spread &&
		job.AllocationsByZone[zone]+job.AllocationsByZone[""]+tasksByZone[zone]+1 > (len(job.Tasks)+1)/2 {
		return false
	}
	return true
}

const eps = 1e-9

// fits checks the scaled request, which guides, and the raw one, which the
// agent enforces.
func fits(request resources, m *cluster.Machine, taken *resources, freed resources) bool {
	var planned resources
	if taken != nil {
		planned = *taken
	}
	t := m.Type
	return m.UsedScaledCPU+planned.ScaledCPU-freed.ScaledCPU+request.ScaledCPU <= t.CPUs+eps &&
		m.UsedCPU+planned.CPU-freed.CPU+request.CPU <= t.CPUs+eps &&
		m.UsedGPU+planned.GPU-freed.GPU+request.GPU <= t.GPUs+eps &&
		m.UsedMemoryGB+planned.MemoryGB-freed.MemoryGB+request.MemoryGB <= t.MemoryGB+eps
}

// checkpointTimeFactor is how many save times an objective on starting must leave.
const checkpointTimeFactor = 8

// keepsGPUHeadroom reports whether a job without GPUs leaves a GPU machine capacity for the
// GPU jobs seen so far: a GPU that lacks CPUs beside it serves nobody. Work that
// can save, and yields to the GPU jobs' rank well within the time they have to
// start, may use the capacity meanwhile.
func (s *Scheduler) keepsGPUHeadroom(job *cluster.Job, machine *cluster.Machine) bool {
	if job.Spec.GPUs > 0 || machine.Type.GPUs == 0 {
		return true
	}
	for _, class := range s.Cluster.Classes {
		spec := class.LastJob
		if spec == nil || spec.GPUs <= 0 || !Allowed(spec, machine.Type, machine.Zone, machine.Spot) {
			continue
		}
		startObjective := s.Objectives.StartObjective(class.Name)
		preemptible := job.PriorityLevel > spec.Priority.Level() && job.Spec.CheckpointIntervalS > 0 &&
			(startObjective == 0 || startObjective > checkpointTimeFactor*micro.FromSeconds(job.Spec.CheckpointDurationS))
		if preemptible && !s.isHeadroom(job, machine, class) {
			continue
		}
		gpuTasks := float64(int((machine.Type.GPUs - machine.UsedGPU) / spec.GPUs))
		if gpuTasks > 0 &&
			(machine.Type.CPUs-machine.UsedCPU-job.Spec.CPUs < gpuTasks*spec.CPUs-eps || machine.Type.MemoryGB-machine.UsedMemoryGB-job.Spec.MemoryGB < gpuTasks*spec.MemoryGB-eps) {
			return false
		}
	}
	return true
}

// poolRank priorities what all machines of a pool share: the exceptions' tier, then the
// design's score.
type poolRank struct {
	tier  int
	score float64
}

func (r poolRank) betterThan(other poolRank) bool {
	if r.tier != other.tier {
		return r.tier < other.tier
	}
	return r.score > other.score
}

func (s *Scheduler) rankPool(spec *wire.Job, pool *cluster.MachinePool, preferOnDemand bool) poolRank {
	rank := poolRank{score: Score(spec.CPUs, pool.Type.SpeedFactor, s.Properties.ScoreL1, s.Properties.ScoreL2)}
	if rank.score == 0 {
		rank.tier += 8
	}
	if spec.GPUs == 0 && pool.Type.GPUs > 0 {
		rank.tier += 4
	}
	if spec.Spot && pool.Spot == preferOnDemand {
		rank.tier++
	}
	return rank
}

// prefersOnDemand reports whether a task should rather run on an on-demand machine, though
// its job may use spot ones: what it does is lost with the machine, and it was
// lost before, or could not be done twice in time. Tasks that were lost went back
// to spot machines and were lost again, and with them arrays of a hundred tasks
// were late.
func (s *Scheduler) prefersOnDemand(job *cluster.Job, i int, now micro.Time) bool {
	return job.Spec.Spot && job.Spec.CheckpointIntervalS == 0 &&
		(job.Tasks[i].Attempt > 0 || !s.Objectives.CanRunTwice(job, now))
}

// candidate is the best machine so far.
type candidate struct {
	machine      *cluster.Machine
	remainingCPU float64
	hasImage     bool
	wholeMachine bool // the task takes a whole machine, and its image takes long
}

// longImageFetch is how long an image takes that is worth looking for.
const longImageFetch = 4 * micro.Second

// takesWholeMachine reports whether a task takes all GPUs of a machine, so that how
// tightly it fits is of no use to anyone, while its image would take long.
func takesWholeMachine(spec *wire.Job, t *cluster.MachineType) bool {
	return spec.GPUs > 0 && spec.GPUs >= t.GPUs-eps && spec.ImageGB > longImageFetch.Seconds()*t.FetchGBPerS
}

// betterThan decides ties of the score: the least scaled capacity left, then a machine
// that has the image, then the one created first. For tasks that take a whole
// machine the image comes before the capacity.
func (c *candidate) betterThan(other *candidate) bool {
	switch {
	case other.machine == nil:
		return true
	case c.wholeMachine && other.wholeMachine && c.hasImage != other.hasImage:
		return c.hasImage
	case c.remainingCPU < other.remainingCPU-eps || c.remainingCPU > other.remainingCPU+eps:
		return c.remainingCPU < other.remainingCPU
	case c.hasImage != other.hasImage:
		return c.hasImage
	}
	return c.machine.Name < other.machine.Name
}

// bestMachine chooses the machine for one task: the design's score decides, ties go to
// the least scaled capacity left. Exceptions come first: machines whose GPUs or
// ordinary kind others need are looked at after the rest, and a machine of
// score 0 last. The score is the same for all machines of a pool, whose rows
// are in order of capacity: the first row that has a machine with capacity holds the
// pool's tightest fit.
func (s *Scheduler) bestMachine(
	job *cluster.Job, planned map[*cluster.Machine]*resources, tasksByZone map[string]int, zone string,
	limitPrice, preferOnDemand bool, now micro.Time,
) *cluster.Machine {
	var best candidate
	var bestRank poolRank
	for _, pool := range s.Cluster.Pools {
		request := requestOn(&job.Spec, pool.Type)
		firstRow := int(request.ScaledCPU - eps)
		if pool.MachineCount == 0 || firstRow >= pool.Rows() || zone != "" && pool.Zone != zone ||
			!Allowed(&job.Spec, pool.Type, pool.Zone, pool.Spot) {
			continue
		}
		rank := s.rankPool(&job.Spec, pool, preferOnDemand)
		if best.machine != nil && bestRank.betterThan(rank) {
			continue
		}
		if !ZoneAllowed(job, pool.Zone, tasksByZone) ||
			limitPrice && s.relaxation == relaxNone && s.WithinPrice != nil && !s.WithinPrice(job, pool.Type, pool.Spot, now) {
			continue
		}
		poolBest := s.tightestFit(job, pool, request, firstRow, planned, now)
		for machine, taken := range planned { // their rows do not know what the plan took
			if machine.Type == pool.Type && machine.Zone == pool.Zone && machine.Spot == pool.Spot &&
				s.mayUse(job, machine, now) &&
				fits(request, machine, taken, resources{}) {
				if contender := s.evaluate(job, machine, request, taken.ScaledCPU); contender.betterThan(&poolBest) {
					poolBest = contender
				}
			}
		}
		if poolBest.machine != nil && (best.machine == nil || rank.betterThan(bestRank) || poolBest.betterThan(&best)) {
			best, bestRank = poolBest, rank
		}
	}
	return best.machine
}

func (s *Scheduler) evaluate(job *cluster.Job, m *cluster.Machine, request resources, taken float64) candidate {
	return candidate{
		m, m.Type.CPUs - m.UsedScaledCPU - taken - request.ScaledCPU, m.HasImage(job.Spec.Image),
		takesWholeMachine(&job.Spec, m.Type),
	}
}

// tightestFit finds the machine of a pool with the least capacity left.
func (s *Scheduler) tightestFit(
	job *cluster.Job, pool *cluster.MachinePool, request resources, firstRow int, planned map[*cluster.Machine]*resources,
	now micro.Time,
) candidate {
	var best candidate
	for row := firstRow; row < pool.Rows(); row++ {
		machines := pool.Row(row)
		count, offset := len(machines), 0
		if s.sampling && count > s.Properties.SampleSize {
			// A full search for each task would cost more than the better fit
			// among like machines is worth.
			count, offset = s.Properties.SampleSize, s.Rand.IntN(len(machines))
		}
		for k := range count {
			machine := machines[(offset+k)%len(machines)]
			s.MachinesExamined++
			if !fits(request, machine, nil, resources{}) || len(planned) > 0 && planned[machine] != nil ||
				!s.mayUse(job, machine, now) {
				continue
			}
			if contender := s.evaluate(job, machine, request, 0); contender.betterThan(&best) {
				best = contender
			}
		}
		if best.machine != nil && (best.hasImage || !best.wholeMachine) {
			break
		}
	}
	return best
}

// mayUse reports whether a machine of a suitable pool may take the job's tasks.
func (s *Scheduler) mayUse(job *cluster.Job, m *cluster.Machine, now micro.Time) bool {
	return s.Cluster.MachineReachable(m) && !s.excludes(job, m, now) && !s.reservedForOther(job, m, now) &&
		(s.relaxation >= relaxReservations || s.keepsGPUHeadroom(job, m))
}

// excludes reports whether a machine is avoided, or the job failed on it and there
// are others. As a last resort it is tried again, but not soon after it last
// failed, and by one job first: one that is really faulty would fail the tasks of
// all that wait.
func (s *Scheduler) excludes(job *cluster.Job, m *cluster.Machine, now micro.Time) bool {
	if s.relaxation >= relaxQuarantine {
		return m.LastFaultAt > 0 && (now-m.LastFaultAt < overdueAfter || onProbation(job, m, now))
	}
	return m.QuarantinedUntil > now || job.FailedOn[m.Name] && len(job.FailedOn) < len(s.Cluster.Machines)/2
}

// probationPeriod is how long a job's tasks must have been on an avoided machine before
// others follow.
const probationPeriod = 15 * micro.Second

// onProbation reports whether another job tries an avoided machine, and has not done so
// for long enough to tell.
func onProbation(job *cluster.Job, m *cluster.Machine, now micro.Time) bool {
	tried := false
	for _, allocation := range m.Allocations {
		if !allocation.LastResort || allocation.Job == job {
			continue
		}
		if now-allocation.PlannedAt >= probationPeriod {
			return false
		}
		tried = true
	}
	return tried
}

// reservedForOther reports whether a machine is kept for another job. Reservations follow
// one another; capacity that none of them used for long is open to late work.
func (s *Scheduler) reservedForOther(job *cluster.Job, m *cluster.Machine, now micro.Time) bool {
	return m.ReservedFor != nil && m.ReservedFor != job && reservationBlocks(m, job) &&
		(s.relaxation < relaxReservations || now-m.UnusedReservationSince < overdueAfter)
}

// reservationBlocks reports whether a machine reserved for another job is closed to this
// one: one that is being cleared by preemption to its priority and those below, one
// that is gathered for work that waited long to all but the highest priority.
func reservationBlocks(m *cluster.Machine, job *cluster.Job) bool {
	holder := m.ReservedFor
	if holder.State != cluster.Active {
		return false
	}
	return holder.PriorityLevel <= job.PriorityLevel || m.StarvationReservation && job.PriorityLevel > 0
}
