package scheduler

import (
	"iter"

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

// ZoneAllowed checks the one-zone and spread constraints against every allocation not proven
// free, and against those that are planned by zone.
func ZoneAllowed(job *cluster.Job, zone string, tasksByZone map[string]int) bool {
	if job.Spec.OneZone {
		for z, n := range job.AllocationsByZone {
			if n > 0 && z != zone { // also where the zone is not known
				return false
			}
		}
	}
	// An allocation in a zone that is not known may be in this one.
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
// can save, and yields to the GPU jobs' priority well within the time they have to
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
		if !leavesCapacityForGPUs(job, machine, spec) {
			return false
		}
	}
	return true
}

// leavesCapacityForGPUs reports whether a job leaves capacity beside a machine's idle GPUs
// for as many tasks of a GPU job as they are enough for.
func leavesCapacityForGPUs(job *cluster.Job, machine *cluster.Machine, gpuJob *wire.Job) bool {
	gpuTasks := float64(int((machine.Type.GPUs - machine.UsedGPU) / gpuJob.GPUs))
	if gpuTasks <= 0 {
		return true
	}
	remainingCPU := machine.Type.CPUs - machine.UsedCPU - job.Spec.CPUs
	remainingMemoryGB := machine.Type.MemoryGB - machine.UsedMemoryGB - job.Spec.MemoryGB
	return remainingCPU >= gpuTasks*gpuJob.CPUs-eps && remainingMemoryGB >= gpuTasks*gpuJob.MemoryGB-eps
}

// tier puts machines that a job should rather not take after the others, whatever their
// score. A pool's tier joins those of all exceptions that hold; the graver one decides.
type tier uint8

const (
	tierOtherKind  tier = 1 << iota // spot or on-demand, where the other kind is preferred
	tierGPUMachine                  // machines with GPUs, for a job that needs none
	tierScoreZero                   // the design: only when no higher score has capacity
)

// poolRank ranks what all machines of a pool share: the exceptions' tier, then the
// design's score.
type poolRank struct {
	tier  tier
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
		rank.tier |= tierScoreZero
	}
	if leavesGPUsIdle(spec, pool.Type) {
		rank.tier |= tierGPUMachine
	}
	if isOtherKind(spec, pool, preferOnDemand) {
		rank.tier |= tierOtherKind
	}
	return rank
}

// leavesGPUsIdle reports whether a job without GPUs would take a machine that has some. The
// design scores CPUs only; a GPU without CPUs beside it serves nobody.
func leavesGPUsIdle(spec *wire.Job, t *cluster.MachineType) bool { return spec.GPUs == 0 && t.GPUs > 0 }

// isOtherKind reports whether a pool is of the kind, spot or on-demand, that comes second for
// a job that may use both. Spot comes first, since on-demand machines are all that some
// jobs may use, unless a task rather runs on an on-demand one.
func isOtherKind(spec *wire.Job, pool *cluster.MachinePool, preferOnDemand bool) bool {
	return spec.Spot && pool.Spot == preferOnDemand
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

// placementRequest asks for a machine for one task of a job.
type placementRequest struct {
	job            *cluster.Job
	zone           string         // the only zone to look in; "": any
	plan           allocationPlan // what is planned for other tasks of the job already
	anyPrice       bool           // expensive machines are as good as others
	preferOnDemand bool           // on-demand machines come before spot ones
	now            micro.Time
}

// allocationPlan is what tasks of a job take that are to be placed together, before they are.
type allocationPlan struct {
	taken       map[*cluster.Machine]*resources
	tasksByZone map[string]int
}

// add plans one more task of the job on a machine. Most plans come to nothing: the maps are
// made with the first task.
func (p *allocationPlan) add(job *cluster.Job, m *cluster.Machine) {
	if p.taken == nil {
		p.taken, p.tasksByZone = map[*cluster.Machine]*resources{}, map[string]int{}
	}
	taken := p.taken[m]
	if taken == nil {
		taken = &resources{}
		p.taken[m] = taken
	}
	taken.Add(requestOn(&job.Spec, m.Type), 1)
	p.tasksByZone[m.Zone]++
}

// uses reports whether tasks are planned on a machine.
func (p *allocationPlan) uses(m *cluster.Machine) bool { return len(p.taken) > 0 && p.taken[m] != nil }

// firstRowFor is the first of a pool's rows whose machines may have capacity for a request.
func firstRowFor(request resources) int { return int(request.ScaledCPU - eps) }

// isCandidatePool reports whether a pool has machines, in the zone if one is given, that the
// job may use.
func isCandidatePool(job *cluster.Job, pool *cluster.MachinePool, zone string) bool {
	return pool.MachineCount > 0 && (zone == "" || pool.Zone == zone) &&
		Allowed(&job.Spec, pool.Type, pool.Zone, pool.Spot)
}

// machinesOf gives the machines of a pool, row by row.
func machinesOf(pool *cluster.MachinePool) iter.Seq[*cluster.Machine] {
	return func(yield func(*cluster.Machine) bool) {
		for row := range pool.Rows() {
			for _, machine := range pool.Row(row) {
				if !yield(machine) {
					return
				}
			}
		}
	}
}

// machinesWithCapacity gives the machines of a pool that have capacity for a request as they
// are.
func machinesWithCapacity(pool *cluster.MachinePool, request resources) iter.Seq[*cluster.Machine] {
	return func(yield func(*cluster.Machine) bool) {
		for row := firstRowFor(request); row < pool.Rows(); row++ {
			for _, machine := range pool.Row(row) {
				if fits(request, machine, nil, resources{}) && !yield(machine) {
					return
				}
			}
		}
	}
}

// bestMachine chooses the machine for one task: the design's score decides, ties go to
// the least scaled capacity left. Exceptions come first: machines whose GPUs or
// on-demand kind others need are looked at after the rest, and a machine of
// score 0 last. The score is the same for all machines of a pool, whose rows
// are in order of capacity: the first row that has a machine with capacity holds the
// pool's tightest fit.
func (s *Scheduler) bestMachine(placement *placementRequest) *cluster.Machine {
	var best candidate
	var bestRank poolRank
	job := placement.job
	for _, pool := range s.Cluster.Pools {
		request := requestOn(&job.Spec, pool.Type)
		if firstRowFor(request) >= pool.Rows() || !isCandidatePool(job, pool, placement.zone) {
			continue
		}
		rank := s.rankPool(&job.Spec, pool, placement.preferOnDemand)
		if best.machine != nil && bestRank.betterThan(rank) {
			continue
		}
		if !ZoneAllowed(job, pool.Zone, placement.plan.tasksByZone) || s.tooExpensive(placement, pool) {
			continue
		}
		poolBest := s.tightestFit(placement, pool, request)
		s.considerPlanned(placement, pool, request, &poolBest)
		if poolBest.machine == nil {
			continue
		}
		if best.machine == nil || rank.betterThan(bestRank) || poolBest.betterThan(&best) {
			best, bestRank = poolBest, rank
		}
	}
	return best.machine
}

// tooExpensive reports whether a pool's price keeps the job from it. An expensive machine pinned
// by small work costs a large part of the bill; work that is overdue, or of the highest
// priority and without other capacity, takes it nevertheless.
func (s *Scheduler) tooExpensive(placement *placementRequest, pool *cluster.MachinePool) bool {
	return !placement.anyPrice && s.relaxation == relaxNone && s.WithinPrice != nil &&
		!s.WithinPrice(placement.job, pool.Type, pool.Spot, placement.now)
}

// considerPlanned compares the machines of a pool that the plan uses already: their rows do
// not know what the plan took.
func (s *Scheduler) considerPlanned(
	placement *placementRequest, pool *cluster.MachinePool, request resources, best *candidate,
) {
	for machine, taken := range placement.plan.taken {
		if machine.Type != pool.Type || machine.Zone != pool.Zone || machine.Spot != pool.Spot ||
			!s.mayUse(placement.job, machine, placement.now) ||
			!fits(request, machine, taken, resources{}) {
			continue
		}
		if contender := s.evaluate(placement.job, machine, request, taken.ScaledCPU); contender.betterThan(best) {
			*best = contender
		}
	}
}

func (s *Scheduler) evaluate(job *cluster.Job, m *cluster.Machine, request resources, taken float64) candidate {
	return candidate{
		m, m.Type.CPUs - m.UsedScaledCPU - taken - request.ScaledCPU, m.HasImage(job.Spec.Image),
		takesWholeMachine(&job.Spec, m.Type),
	}
}

// tightestFit finds the machine of a pool with the least capacity left, among those that the
// plan does not use.
func (s *Scheduler) tightestFit(
	placement *placementRequest, pool *cluster.MachinePool, request resources,
) candidate {
	var best candidate
	for row := firstRowFor(request); row < pool.Rows(); row++ {
		s.considerRow(placement, pool.Row(row), request, &best)
		if best.machine != nil && (best.hasImage || !best.wholeMachine) {
			break
		}
	}
	return best
}

// considerRow compares the machines of a row, or a sample of them.
func (s *Scheduler) considerRow(
	placement *placementRequest, machines []*cluster.Machine, request resources, best *candidate,
) {
	count, offset := s.sampleRow(machines)
	for k := range count {
		machine := machines[(offset+k)%len(machines)]
		s.MachinesExamined++
		if !fits(request, machine, nil, resources{}) || placement.plan.uses(machine) ||
			!s.mayUse(placement.job, machine, placement.now) {
			continue
		}
		if contender := s.evaluate(placement.job, machine, request, 0); contender.betterThan(best) {
			*best = contender
		}
	}
}

// sampleRow says how many machines of a row are looked at, and from which on. While the
// scheduler is overloaded a full search for each task would cost more than the better fit
// among like machines is worth.
func (s *Scheduler) sampleRow(machines []*cluster.Machine) (count, offset int) {
	if !s.sampling || len(machines) <= s.Properties.SampleSize {
		return len(machines), 0
	}
	return s.Properties.SampleSize, s.Rand.IntN(len(machines))
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
// one another; capacity that none of them used for long is open to overdue work.
func (s *Scheduler) reservedForOther(job *cluster.Job, m *cluster.Machine, now micro.Time) bool {
	return m.ReservedFor != nil && m.ReservedFor != job && reservationBlocks(m, job) &&
		(s.relaxation < relaxReservations || now-m.UnusedReservationSince < overdueAfter)
}

// reservationBlocks reports whether a machine reserved for another job is closed to this
// one: one that is being cleared by preemption to its priority and those below, one
// that is reserved for work that waited long to all but the highest priority.
func reservationBlocks(m *cluster.Machine, job *cluster.Job) bool {
	holder := m.ReservedFor
	if holder.State != cluster.Active {
		return false
	}
	return holder.PriorityLevel <= job.PriorityLevel ||
		m.StarvationReservation && job.PriorityLevel > highestPriorityLevel
}
