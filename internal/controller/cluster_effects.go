package controller

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/sched"
	"notchmux.dev/notchmux/internal/writer"
	"notchmux.dev/notchmux/wire"
)

// The model's effects.

// Touch notes that a chunk must be written.
func (l *Leader) Touch(chunk *model.Chunk) {
	if chunk.Job.Over() && (l.owner != nil || len(chunk.Places) > 0) {
		return // goes once its last place is free; in a share, once its assignment has gone
	}
	record := l.records.chunkRecord(chunk)
	if chunk.Job.Over() {
		for _, other := range chunk.Job.Chunks {
			if other.Old != nil && other.Old.Free() {
				l.records.deleteLegacy(other.Old)
				other.Old = nil
			}
		}
		record.Defer(l.node.Now())
		return
	}
	record.MarkDirty(l.node.Now(), writer.PriorityLow)
}

// Press notes that a start waits for a chunk.
func (l *Leader) Press(chunk *model.Chunk) {
	priority := writer.PriorityHigh
	if chunk.Job.Level == 0 {
		priority = writer.PriorityUrgent
	}
	l.records.chunkRecord(chunk).MarkDirty(l.node.Now(), priority)
}

// Kick notes that a machine has orders worth sending directly.
func (l *Leader) Kick(m *model.Machine) { l.pendingDispatch[m] = true }

// Finished writes the end of a job whose tasks are all done.
func (l *Leader) Finished(j *model.Job) {
	if l.owner != nil {
		l.jobFinishedInShard(j)
		return
	}
	l.records.writeJobEnd(j, wire.JobDone)
}

// Ran learns from a completed run.
func (l *Leader) Ran(p *model.Place, took micro.Time) {
	j := p.Job
	p.Machine.InTime(took, sched.EstimatedRuntime(j))
	if j.Spec.EstimateS > 1 && j.Spec.CheckpointS == 0 || j.Spec.Kind == wire.Array && p.Attempt == 1 {
		if j.Spec.EstimateS > 1 {
			j.Class.Learn(took.Seconds() / j.Spec.EstimateS)
		}
	}
	if j.Spec.Kind == wire.Array && p.Machine.Type != nil && len(l.cluster.Order) > 0 && p.Attempt == 1 {
		l.speeds.AddSample(j.Spec.ID, p.Machine.Type.Name, took.Seconds(), j.Spec.CPUs)
	}
}

// Changed notes that placement may find more than before.
func (l *Leader) Changed() { l.schedulePending = true }

// Log writes one line for operators.
func (l *Leader) Log(event string, args ...any) { l.log.Info(event, args...) }

// Moved notes that a chunk's record in the first form stands for chunks of the
// later one until they are stored.
func (l *Leader) Moved(ch *model.Chunk, o *model.Old) { l.records.retireLegacy(ch, o) }

// Outdated deletes a record in the first form once nothing depends on it.
func (l *Leader) Outdated(o *model.Old) { l.records.deleteLegacy(o) }

// Doomed writes the end of a job that needs an aborted one.
func (l *Leader) Doomed(j *model.Job) {
	l.log.Info("job falls with another", "job", j.Spec.ID)
	l.records.writeJobEnd(j, wire.JobAborted)
}

// Unknown looks up a job that another awaits.
func (l *Leader) Unknown(id string) { l.dependencyLookups[id] = true }
