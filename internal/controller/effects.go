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
func (l *Lead) Touch(ch *model.Chunk) {
	if ch.Job.Over() && (l.owner != nil || len(ch.Places) > 0) {
		return // goes once its last place is free; in a share, once its assignment has gone
	}
	c := l.records.chunk(ch)
	if ch.Job.Over() {
		for _, x := range ch.Job.Chunks {
			if x.Old != nil && x.Old.Free() {
				l.records.outdated(x.Old)
				x.Old = nil
			}
		}
		c.PutOff(l.n.Now())
		return
	}
	c.Touch(l.n.Now(), writer.Lazy)
}

// Press notes that a start waits for a chunk.
func (l *Lead) Press(ch *model.Chunk) {
	u := writer.Soon
	if ch.Job.Level == 0 {
		u = writer.First
	}
	l.records.chunk(ch).Touch(l.n.Now(), u)
}

// Kick notes that a machine has orders worth sending directly.
func (l *Lead) Kick(m *model.Machine) { l.kicked[m] = true }

// Finished writes the end of a job whose tasks are all done.
func (l *Lead) Finished(j *model.Job) {
	if l.owner != nil {
		l.finishedInShare(j)
		return
	}
	l.records.end(j, wire.JobDone)
}

// Ran learns from a completed run.
func (l *Lead) Ran(p *model.Place, took micro.Time) {
	j := p.Job
	p.Machine.InTime(took, sched.Estimate(j))
	if j.Spec.EstimateS > 1 && j.Spec.CheckpointS == 0 || j.Spec.Kind == wire.Array && p.Attempt == 1 {
		if j.Spec.EstimateS > 1 {
			j.Class.Learn(took.Seconds() / j.Spec.EstimateS)
		}
	}
	if j.Spec.Kind == wire.Array && p.Machine.Type != nil && len(l.c.Order) > 0 && p.Attempt == 1 {
		l.speeds.Sample(j.Spec.ID, p.Machine.Type.Name, took.Seconds(), j.Spec.CPUs)
	}
}

// Changed notes that placement may find more than before.
func (l *Lead) Changed() { l.changed = true }

// Log writes one line for operators.
func (l *Lead) Log(event string, args ...any) { l.log.Info(event, args...) }

// Moved notes that a chunk's record in the first form stands for chunks of the
// later one until they are stored.
func (l *Lead) Moved(ch *model.Chunk, o *model.Old) { l.records.move(ch, o) }

// Outdated deletes a record in the first form once nothing depends on it.
func (l *Lead) Outdated(o *model.Old) { l.records.outdated(o) }

// Doomed writes the end of a job that needs an aborted one.
func (l *Lead) Doomed(j *model.Job) {
	l.log.Info("job falls with another", "job", j.Spec.ID)
	l.records.end(j, wire.JobAborted)
}

// Unknown looks up a job that another awaits.
func (l *Lead) Unknown(id string) { l.lookups[id] = true }
