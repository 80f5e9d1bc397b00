package recovery

import (
	"context"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// lookupBatchSize is the maximum number of jobs that are looked up together.
const lookupBatchSize = 4

// dependencyLookups tracks the jobs to be looked up in the store: unknown jobs that other jobs depend
// on, and jobs whose lists of dependencies are incomplete.
type dependencyLookups struct {
	unresolved map[string]bool // by job ID
	inFlight   bool            // a batch has been sent to RunLookups and its result is not applied yet
	batches    chan []string   // to RunLookups; holds at most one batch
}

// newDependencyLookups returns an empty set of lookups.
func newDependencyLookups() dependencyLookups {
	return dependencyLookups{unresolved: map[string]bool{}, batches: make(chan []string, 1)}
}

// request adds a job to be looked up.
func (l *dependencyLookups) request(job string) { l.unresolved[job] = true }

// DependencyUnknown requests the lookup of a job that another job depends on.
func (i *Intake) DependencyUnknown(job string) { i.lookups.request(job) }

// LookUpDependencies sends the next batch of unresolved jobs to RunLookups, unless a batch is in
// flight.
func (i *Intake) LookUpDependencies() {
	if i.lookups.inFlight {
		return
	}
	if batch := i.nextLookups(); len(batch) > 0 {
		i.lookups.inFlight = true
		i.lookups.batches <- batch
	}
}

// nextLookups returns the next batch of jobs to be looked up.
func (i *Intake) nextLookups() []string {
	var batch []string
	for id := range i.lookups.unresolved {
		if _, ended := i.Cluster.FinalStatuses[id]; ended || i.Cluster.Jobs[id] != nil {
			delete(i.lookups.unresolved, id) // became known in the meantime
			continue
		}
		if batch = append(batch, id); len(batch) == lookupBatchSize {
			break
		}
	}
	return batch
}

// RunLookups reads the requested jobs from the store until the loop is stopped. It must run on its
// own goroutine.
func (i *Intake) RunLookups(ctx context.Context) {
	for {
		select {
		case <-i.Loop.Done():
			return
		case batch := <-i.lookups.batches:
			i.Loop.Post(i.readDependencies(ctx, batch))
		}
	}
}

// readDependencies reads the jobs of a batch from the store.
func (i *Intake) readDependencies(ctx context.Context, batch []string) dependenciesRead {
	result := dependenciesRead{intake: i, snapshot: NewSnapshot(i.Log)}
	for _, id := range batch {
		if err := result.snapshot.ReadJob(ctx, i.Store, store.Routine, id); err != nil {
			i.Log.Debug("read dependency failed, will be retried", "job", id, "err", err)
			continue // remains unresolved
		}
		result.jobs = append(result.jobs, id)
	}
	return result
}

// dependenciesRead is the event that carries the result of a batch of lookups.
type dependenciesRead struct {
	intake   *Intake
	jobs     []string // the jobs that were read
	snapshot *Snapshot
}

// Apply adds the jobs that were read, or their final states, to the cluster state.
func (e dependenciesRead) Apply() {
	e.intake.lookups.inFlight = false
	now, wall := e.intake.Now(), e.intake.Wall()
	for _, id := range e.jobs {
		if end, ended := e.snapshot.Ends[id]; ended {
			delete(e.intake.lookups.unresolved, id)
			e.intake.Cluster.ApplyFinalStatus(id, finalStatus(end, now, wall))
			continue
		}
		if job, ok := e.snapshot.Specs[id]; ok && e.snapshot.CompleteDependencies(&job) {
			delete(e.intake.lookups.unresolved, id)
			e.intake.AddJob(job)
		}
	}
}

// finalStatus converts a stored final state, timestamped by the wall clock, to the monotonic clock. A
// final state without a timestamp gets the current time.
func finalStatus(end cluster.FinalStatusRecord, now, wall micro.Time) cluster.FinalStatus {
	status := cluster.FinalStatus{Aborted: end.State == wire.JobAborted, EndedAt: now}
	if end.EndedAt > 0 {
		status.EndedAt -= max(wall-micro.Time(end.EndedAt), 0)
	}
	return status
}
