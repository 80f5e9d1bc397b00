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

// catalogPollInterval is how often a failover looks whether the machine types were read.
const catalogPollInterval = 50 * micro.Millisecond

// Assignments are the jobs that were assigned to shards. They are read before the jobs: those
// are not the leader's to place.
type Assignments interface {
	// Read reads them; false if the term ended before.
	Read(ctx context.Context, reader *Reader) bool
	// Has reports whether a job was assigned.
	Has(job string) bool
	// Restore notes that a job was assigned, if it was.
	Restore(job *cluster.Job)
}

// Host is the leader that takes over.
type Host interface {
	// Catalog is the machine types; nil until they were read.
	Catalog() *wire.Catalog
	// JobEnded is told the final status of a job that needs no place in the cluster's state.
	JobEnded(status wire.JobStatus)
	// RestoreInstanceRequest takes in the record of an instance request.
	RestoreInstanceRequest(item wire.Item, now, wall micro.Time)
}

// FailoverDependencies are what a Failover is built from.
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
	// Now is the steady clock, Wall the wall clock.
	Now, Wall func() micro.Time
	Log       *slog.Logger
}

// Failover restores what earlier leaders stored into the cluster's state.
type Failover struct{ FailoverDependencies }

// NewFailover makes one for a cluster's state that is still empty.
func NewFailover(deps FailoverDependencies) *Failover { return &Failover{deps} }

// Run reads everything from the store into the cluster's state. It returns the revision from
// which submissions are to be watched; ok is false if the term ended before.
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
	f.restoreImages(images, now) // after the machines
	f.finish(now)
	return revision, true
}

// awaitCatalog waits for the machine types; false if the term ended.
func (f *Failover) awaitCatalog() bool {
	for f.Host.Catalog() == nil {
		if !f.Loop.Sleep(catalogPollInterval) {
			return false
		}
	}
	f.Cluster.SetCatalog(f.Host.Catalog())
	return true
}

// readFleet restores the records of the fleet as a whole, but for the machines' images, which
// it returns.
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

// restoreImages takes in which machines had which images.
func (f *Failover) restoreImages(items []wire.Item, now micro.Time) {
	for _, item := range items {
		var record cluster.ImageRecord
		if decode(f.Log, item, &record) {
			f.Cluster.RestoreImages(record, now)
		}
		f.Records.Images.Restore(item)
	}
}

// finish completes the cluster's state once everything was read.
func (f *Failover) finish(now micro.Time) {
	f.Speeds.Apply(f.Cluster)
	for _, machine := range f.Cluster.Machines {
		if machine.Type == nil && machine.TypeName != "" {
			machine.Type = f.Cluster.Types[machine.TypeName]
		}
	}
	f.Cluster.FinishRestore(now)
}

// RestoreJobs puts what was read of jobs into the cluster's state.
func (f *Failover) RestoreJobs(snapshot *Snapshot, now, wall micro.Time) {
	for id, end := range snapshot.Ends {
		f.Cluster.FinalStatuses[id] = finalStatus(end, now, wall)
	}
	for id, spec := range snapshot.Specs {
		f.restoreJob(snapshot, spec, id, now, wall)
	}
}

func (f *Failover) restoreJob(snapshot *Snapshot, spec wire.Job, id string, now, wall micro.Time) {
	end, ended := snapshot.Ends[id]
	switch {
	case ended && !snapshot.hasChunks(id) && !f.Assignments.Has(id):
		// None of its tasks has an allocation. Status queries need not read the store.
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

// restoreChunks takes in the records of a job's tasks: first those in the compact form, which
// stand for what is in the first form as well.
func (f *Failover) restoreChunks(snapshot *Snapshot, job *cluster.Job, now micro.Time) {
	for _, stored := range snapshot.compactChunks[job.Spec.ID] {
		var record cluster.CompactRecord
		if decode(f.Log, stored.item, &record) {
			f.Cluster.RestoreCompactChunk(job, stored.index, &record, uint64(stored.item.Version), now)
		}
	}
	f.restoreLegacyChunks(snapshot, job, now)
}

// finalJobStatus is what status queries are told of a job whose end is in the store.
func finalJobStatus(id string, end cluster.FinalStatusRecord, tasks int) wire.JobStatus {
	status := wire.JobStatus{ID: id, State: end.State}
	if status.State == wire.JobDone {
		status.Done = tasks
	}
	return status
}
