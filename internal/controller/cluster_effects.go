package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/wire"
)

// The model's effects.

// ChunkDirty notes that a chunk must be written.
func (l *controlLoop) ChunkDirty(chunk *cluster.TaskChunk) { l.records.ChunkDirty(chunk) }

// ChunkUrgent notes that a start waits for a chunk.
func (l *controlLoop) ChunkUrgent(chunk *cluster.TaskChunk) { l.records.ChunkUrgent(chunk) }

// DispatchSoon notes that a machine has commands worth sending at once.
func (l *controlLoop) DispatchSoon(m *cluster.Machine) { l.dispatcher.MarkPending(m) }

// JobFinished writes the end of a job whose tasks are all done.
func (l *Leader) JobFinished(j *cluster.Job) { l.records.WriteJobEnd(j, wire.JobDone) }

// AttemptCompleted learns from a completed run.
func (l *controlLoop) AttemptCompleted(p *cluster.Allocation, took micro.Time) {
	j := p.Job
	p.Machine.RecordRunTime(took, scheduler.EstimatedRuntime(j))
	if j.Spec.EstimateS > 1 && j.Spec.CheckpointIntervalS == 0 || j.Spec.Kind == wire.JobArray && p.Attempt == 1 {
		if j.Spec.EstimateS > 1 {
			j.Class.UpdateEstimateBias(took.Seconds() / j.Spec.EstimateS)
		}
	}
	if j.Spec.Kind == wire.JobArray && p.Machine.Type != nil && len(l.cluster.CatalogOrder) > 0 && p.Attempt == 1 {
		l.speeds.AddSample(j.Spec.ID, p.Machine.Type.Name, took.Seconds(), j.Spec.CPUs)
	}
}

// ScheduleSoon notes that placement may find more than before.
func (l *controlLoop) ScheduleSoon() { l.schedulePending = true }

// Log writes one line for operators.
func (l *controlLoop) Log(event string, args ...any) { l.log.Info(event, args...) }

// ChunkMigrated notes that a chunk's record in the first form stands for chunks of the
// later one until they are stored.
func (l *controlLoop) ChunkMigrated(ch *cluster.TaskChunk, o *cluster.LegacyRecord) {
	l.records.ChunkMigrated(ch, o)
}

// LegacyRecordSuperseded deletes a record in the first form once nothing depends on it.
func (l *controlLoop) LegacyRecordSuperseded(o *cluster.LegacyRecord) {
	l.records.LegacyRecordSuperseded(o)
}

// DependencyAborted writes the end of a job that needs an aborted one.
func (l *Leader) DependencyAborted(j *cluster.Job) {
	l.log.Info("dependency aborted", "job", j.Spec.ID)
	l.records.WriteJobEnd(j, wire.JobAborted)
}

// DependencyUnknown looks up a job that another awaits.
func (l *Leader) DependencyUnknown(id string) { l.intake.DependencyUnknown(id) }
