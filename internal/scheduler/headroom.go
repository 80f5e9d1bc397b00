package scheduler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Tasks that write checkpoints may use GPU machines whose GPUs are idle. Stopping them takes a
// checkpoint and two messages. A GPU job that spends half of its start objective on fetching its image
// cannot wait those seconds. So a number of machines is kept free of such tasks: as many as GPU tasks
// arrive within headroomWindow. Tasks that end in the meantime free further machines.

// headroomWindow is the period for whose expected arrivals of GPU tasks machines are kept free.
const headroomWindow = 10 * micro.Second

// gpuHeadroom is the headroom of a class of GPU jobs.
type gpuHeadroom struct {
	class     *cluster.Class
	available int // machines on which a task of the class fits now
	target    int // machines to keep available: expected arrivals within headroomWindow
}

// countHeadroom computes the headroom of all classes of GPU jobs that have a start objective, at the
// start of a pass. isHeadroom decides whether a class can wait for a checkpoint of another job.
func (s *Scheduler) countHeadroom(now micro.Time) {
	s.headroom = s.headroom[:0]
	for _, class := range s.Cluster.Classes {
		if class.LastJob == nil || class.LastJob.GPUs <= 0 || s.effectiveStartObjective(class) == 0 {
			continue
		}
		target := int(class.ArrivalRate(now) * headroomWindow.Seconds())
		if target > 0 {
			s.headroom = append(s.headroom, gpuHeadroom{class, s.countFittingMachines(class), target})
		}
	}
}

// effectiveStartObjective returns the time within which jobs of a class should start: the shorter of the
// class's own objective and, if any team has guaranteed GPUs, the guaranteed start. It returns 0 if
// neither is set.
func (s *Scheduler) effectiveStartObjective(class *cluster.Class) micro.Time {
	startObjective := s.Objectives.StartObjective(class.Name)
	if guaranteed := s.Objectives.GuaranteedStart(); guaranteed > 0 && s.guaranteesGPUs() &&
		(startObjective == 0 || guaranteed < startObjective) {
		startObjective = guaranteed
	}
	return startObjective
}

// guaranteesGPUs reports whether any team has guaranteed GPUs.
func (s *Scheduler) guaranteesGPUs() bool {
	for _, team := range s.Cluster.Teams {
		if team.GuaranteedGPUs > 0 {
			return true
		}
	}
	return false
}

// countFittingMachines returns the number of machines on which a task of the class's latest job fits now.
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

// isHeadroom reports whether a machine must be kept free of the given job for a class of GPU jobs. This
// is so if a task of the class fits on it now, no more machines are available than the target, and the
// start objective of the class, less the time to fetch an image, does not leave enough time for a
// checkpoint of the given job.
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

// updateHeadroom updates the counts of available machines within a pass. It must be called before a task
// of the job is allocated on the machine.
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

// checkpointTimeFactor is the number of checkpoint durations that a start objective must leave for a job
// to wait for a checkpoint.
const checkpointTimeFactor = 8

// keepsGPUHeadroom reports whether a job may use a GPU machine without taking the CPUs and memory that
// the latest job of each GPU class needs beside the machine's idle GPUs: a GPU without free CPUs on its
// machine cannot be used by any job. A job with GPUs always may. So may a job that writes checkpoints
// and is preempted by the GPU jobs well within their start objective, outside the machines kept free
// for them.
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

// leavesCapacityForGPUs reports whether, beside a task of the job, the machine has enough CPUs and memory
// for as many tasks of gpuJob as its idle GPUs can serve.
func leavesCapacityForGPUs(job *cluster.Job, machine *cluster.Machine, gpuJob *wire.Job) bool {
	gpuTasks := float64(int((machine.Type.GPUs - machine.UsedGPU) / gpuJob.GPUs))
	if gpuTasks <= 0 {
		return true
	}
	remainingCPU := machine.Type.CPUs - machine.UsedCPU - job.Spec.CPUs
	remainingMemoryGB := machine.Type.MemoryGB - machine.UsedMemoryGB - job.Spec.MemoryGB
	return remainingCPU >= gpuTasks*gpuJob.CPUs-eps && remainingMemoryGB >= gpuTasks*gpuJob.MemoryGB-eps
}
