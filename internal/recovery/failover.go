package recovery

import (
	"context"
	"log/slog"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/persist"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/wire"
)

// catalogPollInterval is how often a failover checks whether the catalog of machine types was read.
const catalogPollInterval = 50 * micro.Millisecond

// Assignments restores the assignments of jobs to shards. They are read before the jobs, because the
// leader must not schedule assigned jobs.
type Assignments interface {
	// Read reads the assignments. It returns false if the term ended first.
	Read(ctx context.Context, reader *Reader) bool
	// Has reports whether a job is assigned to a shard.
	Has(job string) bool
	// Restore restores a job's assignment to a shard, if it has one.
	Restore(job *cluster.Job)
}

// Host is the leader that a Failover restores the state for.
type Host interface {
	// Catalog returns the catalog of machine types, or nil if it has not been read yet.
	Catalog() *wire.Catalog
	// JobEnded reports the final status of a job that is not kept in the cluster state.
	JobEnded(status wire.JobStatus)
	// RestoreInstanceRequest restores an instance request from its record.
	RestoreInstanceRequest(item wire.Item, now, wall micro.Time)
}

// FailoverDependencies are the components that a Failover uses.
type FailoverDependencies struct {
	Host        Host
	Reader      *Reader
	Fleet       *FleetRecords
	Intake      *Intake
	Assignments Assignments
	Records     *persist.Records
	Cluster     *cluster.State
	Speeds      *scheduler.SpeedEstimator
	Loop        *eventloop.Loop
	// Now is the monotonic clock, Wall the wall clock.
	Now, Wall func() micro.Time
	Log       *slog.Logger
}

// Failover restores the cluster state from the records of previous leaders.
type Failover struct{ FailoverDependencies }

// NewFailover returns a Failover into a cluster state, which must be empty.
func NewFailover(deps FailoverDependencies) *Failover { return &Failover{deps} }

// Run restores the cluster state from the store. It returns the revision from which submissions must
// be watched; ok is false if the term ended first.
func (f *Failover) Run(ctx context.Context) (revision uint64, ok bool) {
	if !f.awaitCatalog() {
		return 0, false
	}
	now, wall := f.Now(), f.Wall()
	images, ok := f.readFleet(ctx)
	if !ok || !f.Assignments.Read(ctx, f.Reader) {
		return 0, false
	}
	snapshot := NewSnapshot(f.Log)
	if revision, ok = f.Reader.ReadAll(ctx, keys.JobPrefix, snapshot.AddJobKey); !ok {
		return 0, false
	}
	if _, ok = f.Reader.ReadAll(ctx, keys.ChunkPrefix, snapshot.AddChunk); !ok {
		return 0, false
	}
	f.RestoreJobs(snapshot, now, wall)
	_, ok = f.Reader.ReadAll(ctx, keys.InstanceRequestPrefix, func(item wire.Item) {
		f.Host.RestoreInstanceRequest(item, now, wall)
	})
	if !ok {
		return 0, false
	}
	f.restoreImages(images, now) // the machines must be restored first
	f.finish(now)
	return revision, true
}

// awaitCatalog waits for the catalog of machine types. It returns false if the term ended first.
func (f *Failover) awaitCatalog() bool {
	for f.Host.Catalog() == nil {
		if !f.Loop.Sleep(catalogPollInterval) {
			return false
		}
	}
	f.Cluster.SetCatalog(f.Host.Catalog())
	return true
}

// readFleet restores the fleet-wide records, except the records of the machines' images, which it
// returns.
func (f *Failover) readFleet(ctx context.Context) (images []wire.Item, ok bool) {
	_, ok = f.Reader.ReadAll(ctx, keys.FleetPrefix, func(item wire.Item) {
		if keys.IsImagePage(item.Key) {
			images = append(images, item)
			return
		}
		f.Fleet.Restore(item)
	})
	return images, ok
}

// restoreImages restores which images the machines have cached.
func (f *Failover) restoreImages(items []wire.Item, now micro.Time) {
	for _, item := range items {
		var record cluster.ImageRecord
		if decode(f.Log, item, &record) {
			f.Cluster.RestoreImages(record, now)
		}
		f.Records.Images.Restore(item)
	}
}

// finish completes the cluster state after all records were read.
func (f *Failover) finish(now micro.Time) {
	f.Speeds.Apply(f.Cluster)
	for _, machine := range f.Cluster.Machines {
		if machine.Type == nil && machine.TypeName != "" {
			machine.Type = f.Cluster.Types[machine.TypeName]
		}
	}
	f.Cluster.FinishRestore(now)
}

// RestoreJobs adds the jobs of a snapshot to the cluster state.
func (f *Failover) RestoreJobs(snapshot *Snapshot, now, wall micro.Time) {
	for id, end := range snapshot.Ends {
		f.Cluster.FinalStatuses[id] = finalStatus(end, now, wall)
	}
	for id, spec := range snapshot.Specs {
		f.restoreJob(snapshot, spec, id, now, wall)
	}
}

// restoreJob adds one job of a snapshot to the cluster state. An ended job without allocations and
// assignment is only reported to the host. A job whose dependencies are incomplete is looked up later.
func (f *Failover) restoreJob(snapshot *Snapshot, spec wire.Job, id string, now, wall micro.Time) {
	end, ended := snapshot.Ends[id]
	switch {
	case ended && !snapshot.hasChunks(id) && !f.Assignments.Has(id):
		// None of its tasks has an allocation. The host's cache saves status queries a read of the store.
		f.Host.JobEnded(finalJobStatus(id, end, spec.Tasks))
		return
	case ended:
		spec.Dependencies, spec.DependencyChunks = nil, 0
	case !snapshot.CompleteDependencies(&spec):
		f.Intake.DependencyUnknown(id)
		return
	}
	job := f.Intake.InsertJob(spec, now, wall)
	if ended {
		f.Cluster.FinalizeJob(job, end.State == wire.JobAborted, now)
	}
	f.restoreChunks(snapshot, job, now)
	f.Assignments.Restore(job)
}

// restoreChunks restores a job's tasks from their chunk records. Those in the compact format come
// first, because they supersede records of the same tasks in the legacy format.
func (f *Failover) restoreChunks(snapshot *Snapshot, job *cluster.Job, now micro.Time) {
	for _, stored := range snapshot.compactChunks[job.Spec.ID] {
		var record cluster.CompactRecord
		if decode(f.Log, stored.item, &record) {
			f.Cluster.RestoreCompactChunk(job, stored.index, &record, uint64(stored.item.Version), now)
		}
	}
	f.restoreLegacyChunks(snapshot, job, now)
}

// finalJobStatus returns the status of a job whose final state is stored, as status queries report it.
func finalJobStatus(id string, end cluster.FinalStatusRecord, tasks int) wire.JobStatus {
	status := wire.JobStatus{ID: id, State: end.State}
	if status.State == wire.JobDone {
		status.Done = tasks
	}
	return status
}
