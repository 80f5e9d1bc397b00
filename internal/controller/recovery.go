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

// newFailover returns the failover that restores the leader's cluster state from the store.
func newFailover(l *Leader) *recovery.Failover {
	handlers := map[string]func(wire.Item){
		keys.FirstProvisioned: l.provisioner.RestoreFirstProvisioned,
		shard.MarkerKey:       l.observeShardMarker,
	}
	return recovery.NewFailover(recovery.FailoverDependencies{
		Host:        failoverHost{l},
		Reader:      l.reader,
		Fleet:       recovery.NewFleetRecords(l.records, handlers, l.log),
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

// takeOver restores the cluster state from the store. It returns the revision from which submissions
// must be watched; ok is false if the term ended first.
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

// failoverHost implements recovery.Host for a leader.
type failoverHost struct{ leader *Leader }

// Catalog returns the catalog of machine types, or nil if it has not been read yet.
func (h failoverHost) Catalog() *wire.Catalog { return h.leader.node.catalog.Load() }

// JobEnded caches the final status of a job for status queries.
func (h failoverHost) JobEnded(status wire.JobStatus) { h.leader.node.jobs.FinalStatuses().Put(status) }

// RestoreInstanceRequest restores an instance request from its record.
func (h failoverHost) RestoreInstanceRequest(item wire.Item, now, wall micro.Time) {
	h.leader.provisioner.Restore(item, now, wall)
}

// storedAssignments implements recovery.Assignments: it holds the assignments of jobs to shards that
// a failover reads. It is empty if the shards feature is off.
type storedAssignments struct {
	coordinator *coordinator.Coordinator // nil: the feature is off
	byJob       map[string]*coordinator.StoredAssignment
}

// Read reads the shard table and the assignments. It returns false if the term ended first.
func (a *storedAssignments) Read(ctx context.Context, reader *recovery.Reader) (ok bool) {
	a.byJob, ok = a.coordinator.RecoverAssignments(ctx, reader.ReadAll)
	return ok
}

// Has reports whether a job is assigned to a shard.
func (a *storedAssignments) Has(job string) bool { return a.byJob[job] != nil }

// Restore restores a job's assignment to a shard, if it has one.
func (a *storedAssignments) Restore(job *cluster.Job) {
	a.coordinator.RestoreAssignment(job, a.byJob[job.Spec.ID])
}
