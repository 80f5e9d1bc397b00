package controller

import (
	"context"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/recovery"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/shard/coordinator"
	"notchmux.dev/notchmux/wire"
)

// newFailover makes the part of a leader that takes over what the store holds.
func newFailover(l *Leader) *recovery.Failover {
	others := map[string]func(wire.Item){
		keys.FirstProvisioned: l.provisioner.RestoreFirstProvisioned,
		shard.MarkerKey:       l.observeShardMarker,
	}
	return recovery.NewFailover(recovery.FailoverDependencies{
		Host:        failoverHost{l},
		Reader:      l.reader,
		Fleet:       recovery.NewFleetRecords(l.records, others, l.log),
		Intake:      l.intake,
		Assignments: &storedAssignments{coordinator: l.coordinator},
		Records:     l.records,
		Cluster:     l.cluster,
		Speeds:      l.speeds,
		Loop:        l.loop,
		Now:         l.Now,
		Wall:        l.Wall,
		Log:         l.log,
	})
}

// takeOver restores what the store holds. It returns the revision from which submissions are
// to be watched.
func (l *Leader) takeOver(ctx context.Context) (revision uint64, ok bool) {
	if revision, ok = l.failover.Run(ctx); !ok {
		return 0, false
	}
	for _, job := range l.cluster.Jobs {
		if job.State == cluster.Aborted && job.AllocationCount > 0 {
			l.cancellations.MarkUnconfirmed(job)
		}
	}
	l.recovered = true
	l.coordinator.FinishRecovery()
	return revision, true
}

// failoverHost is a leader as its failover sees it.
type failoverHost struct{ leader *Leader }

// Catalog is the machine types; nil until they were read.
func (h failoverHost) Catalog() *wire.Catalog { return h.leader.node.catalog.Load() }

// JobEnded keeps the final status of a job for status queries.
func (h failoverHost) JobEnded(status wire.JobStatus) { h.leader.node.jobs.FinalStatuses().Put(status) }

// RestoreInstanceRequest takes in the record of an instance request.
func (h failoverHost) RestoreInstanceRequest(item wire.Item, now, wall micro.Time) {
	h.leader.provisioner.Restore(item, now, wall)
}

// storedAssignments are the assignments to shards that a failover reads. Without shards there
// are none.
type storedAssignments struct {
	coordinator *coordinator.Coordinator // nil: the feature is off
	byJob       map[string]*coordinator.StoredAssignment
}

// Read reads them, and the shards' table; false if the term ended before.
func (a *storedAssignments) Read(ctx context.Context, reader *recovery.Reader) (ok bool) {
	a.byJob, ok = a.coordinator.RecoverAssignments(ctx, reader.ReadAll)
	return ok
}

// Has reports whether a job was assigned.
func (a *storedAssignments) Has(job string) bool { return a.byJob[job] != nil }

// Restore notes that a job was assigned, if it was.
func (a *storedAssignments) Restore(job *cluster.Job) {
	a.coordinator.RestoreAssignment(job, a.byJob[job.Spec.ID])
}
