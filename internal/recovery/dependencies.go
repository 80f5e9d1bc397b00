package recovery

import (
	"context"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// lookupBatchSize is how many jobs are looked up together.
const lookupBatchSize = 4

// dependencyLookups are jobs to be looked up in the store: those that others depend on and of
// which nothing is known yet, and those whose description is not known as a whole.
type dependencyLookups struct {
	unresolved map[string]bool
	inFlight   bool          // the reader has a batch
	batches    chan []string // to the reader; one at a time
}

func newDependencyLookups() dependencyLookups {
	return dependencyLookups{unresolved: map[string]bool{}, batches: make(chan []string, 1)}
}

func (l *dependencyLookups) request(job string) { l.unresolved[job] = true }

// DependencyUnknown has a job looked up that another depends on.
func (i *Intake) DependencyUnknown(job string) { i.lookups.request(job) }

// LookUpDependencies has some of the jobs that are wanted read, unless some are being read.
func (i *Intake) LookUpDependencies() {
	if i.lookups.inFlight {
		return
	}
	if batch := i.nextLookups(); len(batch) > 0 {
		i.lookups.inFlight = true
		i.lookups.batches <- batch
	}
}

// nextLookups chooses the jobs to be looked up next.
func (i *Intake) nextLookups() []string {
	var batch []string
	for id := range i.lookups.unresolved {
		if _, ended := i.Cluster.FinalStatuses[id]; ended || i.Cluster.Jobs[id] != nil {
			delete(i.lookups.unresolved, id) // it has come meanwhile
			continue
		}
		if batch = append(batch, id); len(batch) == lookupBatchSize {
			break
		}
	}
	return batch
}

// RunLookups reads the jobs that are looked up, until the loop is stopped. It runs on a
// goroutine of its own.
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

func (i *Intake) readDependencies(ctx context.Context, batch []string) dependenciesRead {
	answer := dependenciesRead{intake: i, snapshot: NewSnapshot(i.Log)}
	for _, id := range batch {
		if err := answer.snapshot.ReadJob(ctx, i.Store, store.Routine, id); err != nil {
			i.Log.Debug("dependency not read", "job", id, "err", err)
			continue // it is still wanted
		}
		answer.jobs = append(answer.jobs, id)
	}
	return answer
}

// dependenciesRead is what the store holds of jobs that were looked up.
type dependenciesRead struct {
	intake   *Intake
	jobs     []string // those that were read
	snapshot *Snapshot
}

// Apply takes the jobs in, or their ends.
func (e dependenciesRead) Apply() {
	e.intake.lookups.inFlight = false
	now, wall := e.intake.Now(), e.intake.Wall()
	for _, id := range e.jobs {
		if end, ended := e.snapshot.Ends[id]; ended {
			delete(e.intake.lookups.unresolved, id)
			e.intake.Cluster.ApplyFinalStatus(id, finalStatus(end, now, wall), now)
			continue
		}
		if job, ok := e.snapshot.Specs[id]; ok && e.snapshot.CompleteDependencies(&job) {
			delete(e.intake.lookups.unresolved, id)
			e.intake.AddJob(job)
		}
	}
}

// finalStatus is a stored end with its time by the steady clock; an end without a time counts
// from now.
func finalStatus(end cluster.FinalStatusRecord, now, wall micro.Time) cluster.FinalStatus {
	status := cluster.FinalStatus{Aborted: end.State == wire.JobAborted, EndedAt: now}
	if end.EndedAt > 0 {
		status.EndedAt -= max(wall-micro.Time(end.EndedAt), 0)
	}
	return status
}
