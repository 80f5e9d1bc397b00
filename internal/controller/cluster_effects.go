package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/wire"
)

// This file implements cluster.Effects.

// ChunkDirty schedules a write of a chunk's record.
func (l *controlLoop) ChunkDirty(chunk *cluster.TaskChunk) { l.records.ChunkDirty(chunk) }

// ChunkUrgent schedules an urgent write of a chunk's record: a task start waits for it.
func (l *controlLoop) ChunkUrgent(chunk *cluster.TaskChunk) { l.records.ChunkUrgent(chunk) }

// DispatchSoon marks a machine whose commands are to be sent without waiting for its next heartbeat.
func (l *controlLoop) DispatchSoon(machine *cluster.Machine) { l.dispatcher.MarkPending(machine) }

// JobFinished writes the final state of a job whose tasks are all done.
func (l *Leader) JobFinished(job *cluster.Job) { l.records.WriteJobEnd(job, wire.JobDone) }

// AttemptCompleted updates the run time and machine speed estimates from a completed attempt of a task.
func (l *controlLoop) AttemptCompleted(allocation *cluster.Allocation, took micro.Time) {
	job := allocation.Job
	allocation.Machine.RecordRunTime(took, scheduler.EstimatedRuntime(job))
	if job.Spec.EstimateS > 1 && job.Spec.CheckpointIntervalS == 0 ||
		job.Spec.Kind == wire.JobArray && allocation.Attempt == 1 {
		if job.Spec.EstimateS > 1 {
			job.Class.UpdateEstimateBias(took.Seconds() / job.Spec.EstimateS)
		}
	}
	if job.Spec.Kind == wire.JobArray && allocation.Machine.Type != nil && len(l.cluster.CatalogOrder) > 0 &&
		allocation.Attempt == 1 {
		l.speeds.AddSample(job.Spec.ID, allocation.Machine.Type.Name, took.Seconds(), job.Spec.CPUs)
	}
}

// ScheduleSoon requests a scheduling pass: more tasks may be schedulable than before.
func (l *controlLoop) ScheduleSoon() { l.schedulePending = true }

// Log writes an informational log line.
func (l *controlLoop) Log(event string, args ...any) { l.log.Info(event, args...) }

// ChunkMigrated registers that a record in the legacy format holds the content of a chunk until
// the chunk is stored in the compact format.
func (l *controlLoop) ChunkMigrated(chunk *cluster.TaskChunk, record *cluster.LegacyRecord) {
	l.records.ChunkMigrated(chunk, record)
}

// LegacyRecordSuperseded deletes a record in the legacy format once no chunk depends on it.
func (l *controlLoop) LegacyRecordSuperseded(record *cluster.LegacyRecord) {
	l.records.LegacyRecordSuperseded(record)
}

// DependencyAborted writes the final state of a job that depends on an aborted job.
func (l *Leader) DependencyAborted(job *cluster.Job) {
	l.log.Info("job aborted: a dependency was aborted", "job", job.Spec.ID)
	l.records.WriteJobEnd(job, wire.JobAborted)
}

// DependencyUnknown looks up in the store a job that another job depends on.
func (l *Leader) DependencyUnknown(id string) { l.intake.DependencyUnknown(id) }
