package scheduler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Work that can save may use machines with GPUs while these are idle. Stopping it
// again takes a save and two messages: seconds that a GPU job has not got whose
// image takes half of the time in which it should start. So some machines are kept
// clear of such work, as many as GPU tasks arrive in headroomWindow. What ends meanwhile
// clears others.

// headroomWindow is for how long arriving GPU tasks find machines clear.
const headroomWindow = 10 * micro.Second

// gpuHeadroom counts the machines that can take a task of a class of GPU jobs as they
// are.
type gpuHeadroom struct {
	class     *cluster.Class
	available int
	target    int
}

// countHeadroom counts, for a pass, the machines that are clear for the classes of GPU
// jobs that cannot wait for others' work to be saved.
func (s *Scheduler) countHeadroom(now micro.Time) {
	s.headroom = s.headroom[:0]
	for _, class := range s.Cluster.Classes {
		if class.LastJob == nil || class.LastJob.GPUs <= 0 || s.effectiveStartObjective(class) == 0 {
			continue
		}
		wanted := int(class.ArrivalRate(now) * headroomWindow.Seconds())
		if wanted > 0 {
			s.headroom = append(s.headroom, gpuHeadroom{class, s.countFittingMachines(class), wanted})
		}
	}
}

// effectiveStartObjective is within how long jobs of a class should start, by its own objective
// or by the teams' guarantees; 0 if nothing is said.
func (s *Scheduler) effectiveStartObjective(class *cluster.Class) micro.Time {
	startObjective := s.Objectives.StartObjective(class.Name)
	if guaranteed := s.Objectives.GuaranteedStart(); guaranteed > 0 && s.guaranteesGPUs() &&
		(startObjective == 0 || guaranteed < startObjective) {
		startObjective = guaranteed
	}
	return startObjective
}

func (s *Scheduler) guaranteesGPUs() bool {
	for _, team := range s.Cluster.Teams {
		if team.GuaranteedGPUs > 0 {
			return true
		}
	}
	return false
}

func (s *Scheduler) countFittingMachines(class *cluster.Class) int {
	count := 0
	for _, pool := range s.Cluster.Pools {
		if pool.MachineCount == 0 || !Allowed(class.LastJob, pool.Type, pool.Zone, pool.Spot) {
			continue
		}
		for range machinesWithCapacity(pool, requestOn(class.LastJob, pool.Type)) {
			count++
		}
	}
	return count
}

// isHeadroom reports whether a machine is kept clear for a class of GPU jobs: it is
// clear, no more are than tasks are about to arrive, and their start cannot wait
// until a task of the given job has saved.
func (s *Scheduler) isHeadroom(job *cluster.Job, m *cluster.Machine, class *cluster.Class) bool {
	for i := range s.headroom {
		entry := &s.headroom[i]
		if entry.class != class || entry.available > entry.target || m.Type.FetchGBPerS <= 0 {
			continue
		}
		fetch := micro.FromSeconds(class.MeanImageGB / m.Type.FetchGBPerS)
		urgent := s.effectiveStartObjective(class)-fetch <= checkpointTimeFactor*micro.FromSeconds(
			job.Spec.CheckpointDurationS,
		)
		return urgent && fits(requestOn(class.LastJob, m.Type), m, nil, resources{})
	}
	return false
}

// updateHeadroom keeps the count of clear machines while a pass places tasks; it is told
// before a task is allocated to a machine.
func (s *Scheduler) updateHeadroom(job *cluster.Job, m *cluster.Machine) {
	for i := range s.headroom {
		entry := &s.headroom[i]
		spec := entry.class.LastJob
		if !Allowed(spec, m.Type, m.Zone, m.Spot) {
			continue
		}
		request, taken := requestOn(spec, m.Type), requestOn(&job.Spec, m.Type)
		if fits(request, m, nil, resources{}) && !fits(request, m, &taken, resources{}) {
			entry.available--
		}
	}
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
