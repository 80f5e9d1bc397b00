package controller

import (
	"context"
	"errors"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// recoverState reads everything from the store into the fresh model. It returns the revision
// from which changes are to be watched.
func (l *Leader) recoverState(ctx context.Context) (revision uint64, ok bool) {
	if !l.awaitCatalog() {
		return 0, false
	}
	now, wall := l.node.Now(), l.node.Wall()
	// The forms in use come first: they say how to read the rest.
	var images []wire.Item
	_, ok = l.readAll(ctx, keys.FleetPrefix, func(item wire.Item) {
		if keys.IsImagePage(item.Key) {
			images = append(images, item)
			return
		}
		l.restoreFleet(item)
	})
	if !ok {
		return 0, false
	}
	snapshot := newJobSnapshot()
	if snapshot.assignments, ok = l.coordinator.RecoverAssignments(ctx, l.readAll); !ok {
		return 0, false
	}
	if revision, ok = l.readAll(ctx, keys.JobPrefix, snapshot.addJobKey); !ok {
		return 0, false
	}
	if _, ok = l.readAll(ctx, keys.ChunkPrefix, snapshot.addChunkRecord); !ok {
		return 0, false
	}
	l.restoreJobs(&snapshot, now, wall)
	if _, ok = l.readAll(
		ctx, keys.InstanceRequestPrefix, func(item wire.Item) { l.restoreInstanceRequest(item, now, wall) },
	); !ok {
		return 0, false
	}
	l.restoreImages(images, now)
	l.finishRecovery(now)
	return revision, true
}

// awaitCatalog waits for the machine types; false if the term ended.
func (l *Leader) awaitCatalog() bool {
	for l.node.catalog.Load() == nil {
		if !l.loop.Sleep(50 * micro.Millisecond) {
			return false
		}
	}
	l.cluster.SetCatalog(l.node.catalog.Load())
	return true
}

// readPrefix reads all keys with a prefix, page by page, until it has them all or the
// term ended. The revision is the lowest of the pages'.
func (l *controlLoop) readAll(ctx context.Context, prefix string, each func(wire.Item)) (revision uint64, ok bool) {
	after := ""
	for {
		page, err := l.node.Store.Range(ctx, store.Leadership, prefix, after, 1000)
		if err != nil {
			l.log.Info("takeover read failed", "prefix", prefix, "err", err)
			if !l.loop.Sleep(100 * micro.Millisecond) {
				return 0, false
			}
			continue
		}
		if revision == 0 || uint64(page.Revision) < revision {
			revision = uint64(page.Revision)
		}
		for _, item := range page.Items {
			each(item)
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			return revision, true
		}
	}
}

// restoreFleet reads one of the records of the fleet as a whole.
func (l *Leader) restoreFleet(item wire.Item) {
	switch item.Key {
	case keys.FirstProvisioned:
		var record firstProvisionedRecord
		if wire.Unmarshal(item.Value, &record) == nil {
			l.firstProvisioned = record.Machine
			l.firstProvisionedRecord.SetVersion(uint64(item.Version))
		}
	case shard.MarkerKey:
		l.observeShardMarker(item)
	default:
		l.restoreShared(item)
	}
}

// restoreShared reads one of the records of the fleet that a shard's owner goes by as well.
func (l *controlLoop) restoreShared(item wire.Item) {
	switch item.Key {
	case keys.Speeds:
		l.logMalformed(item.Key, l.records.RestoreSpeeds(item))
	case keys.Format:
		l.logMalformed(item.Key, l.records.Format.Restore(item))
	}
}

// logMalformed logs that a stored record was passed over; there is nothing to say without an
// error.
func (l *controlLoop) logMalformed(key string, err error) {
	if err != nil {
		l.log.Debug("stored record not understood", "key", key, "err", err)
	}
}

// restoreImages reads which machines had which images; it comes after the machines.
func (l *Leader) restoreImages(items []wire.Item, now micro.Time) {
	for _, item := range items {
		var record cluster.ImageRecord
		if wire.Unmarshal(item.Value, &record) == nil {
			l.cluster.RestoreImages(record, now)
		}
		l.records.Images.Restore(item)
	}
}

// finishRecovery completes the model once everything was read.
func (l *Leader) finishRecovery(now micro.Time) {
	l.speeds.Apply(l.cluster)
	for _, machine := range l.cluster.Machines {
		if machine.Type == nil && machine.TypeName != "" {
			machine.Type = l.cluster.Types[machine.TypeName]
		}
	}
	l.cluster.FinishRestore(now)
	for _, job := range l.cluster.Jobs {
		if job.State == cluster.Aborted && job.AllocationCount > 0 {
			l.unconfirmedCancellations[job] = true
		}
	}
	l.recovered = true
	l.coordinator.FinishRecovery()
}

// restoreJobs puts what was read into the model.
func (l *Leader) restoreJobs(snapshot *jobSnapshot, now, wall micro.Time) {
	for id, end := range snapshot.ends {
		at := now
		if end.EndedAt > 0 {
			at -= max(wall-micro.Time(end.EndedAt), 0)
		}
		l.cluster.FinalStatuses[id] = cluster.FinalStatus{Aborted: end.State == wire.JobAborted, EndedAt: at}
	}
	for id, spec := range snapshot.specs {
		end, over := snapshot.ends[id]
		if over && len(snapshot.legacyChunks[id]) == 0 && len(snapshot.compactChunks[id]) == 0 &&
			snapshot.assignments[id] == nil {
			// Over, and none of its tasks holds a place. Polls need not read the store.
			l.node.jobs.FinalStatuses().Put(finalStatus(id, end, spec.Tasks))
			continue
		}
		if over {
			spec.Dependencies, spec.DependencyChunks = nil, 0
		} else if !snapshot.completeDependencies(&spec) {
			l.dependencyLookups[id] = true
			continue
		}
		job := l.insertJob(spec, now, wall)
		if over {
			l.cluster.FinalizeJob(job, end.State == wire.JobAborted, now)
		}
		for _, stored := range snapshot.compactChunks[id] {
			var record cluster.CompactRecord
			if wire.Unmarshal(stored.item.Value, &record) == nil {
				l.cluster.RestoreCompactChunk(job, stored.index, &record, uint64(stored.item.Version), now)
			}
		}
		for _, stored := range snapshot.legacyChunks[id] {
			var record cluster.ChunkRecord
			if wire.Unmarshal(stored.item.Value, &record) == nil {
				l.cluster.RestoreChunk(job, stored.index, &record, uint64(stored.item.Version), now)
			}
		}
		l.coordinator.RestoreAssignment(job, snapshot.assignments[id])
	}
}

// finalStatus is what polls are told of a job whose end is in the store.
func finalStatus(id string, end cluster.FinalStatusRecord, tasks int) wire.JobStatus {
	s := wire.JobStatus{ID: id, State: end.State}
	if s.State == wire.JobDone {
		s.Done = tasks
	}
	return s
}

// insertJob adds a job to the model.
func (l *controlLoop) insertJob(spec wire.Job, now, wall micro.Time) *cluster.Job {
	l.knownJobs.Store(spec.ID, true)
	age := max(wall-micro.Time(spec.SubmittedAt), 0)
	job := l.cluster.AddJob(spec, now-age, now)
	job.Class.StartObjective = l.objectives.StartObjective(spec.Class)
	return job
}

func (l *Leader) addJob(spec wire.Job) {
	if l.cluster.Jobs[spec.ID] != nil {
		return
	}
	if _, over := l.cluster.FinalStatuses[spec.ID]; over {
		return
	}
	if spec.DependencyChunks > 0 {
		l.dependencyLookups[spec.ID] = true // the rest of what it awaits is in keys of its own
		return
	}
	job := l.insertJob(spec, l.node.Now(), l.node.Wall())
	l.log.Info(
		"job", "job", spec.ID, "class", spec.Class, "kind", string(spec.Kind), "tasks", spec.Tasks, "state",
		job.State.String(), "awaits", spec.Dependencies, "unmet", job.UnmetDependencies,
	)
}

// watchSubmissions finds jobs that other nodes accepted.
func (l *Leader) watchSubmissions(ctx context.Context, revision uint64) {
	for {
		events, err := l.node.Store.Watch(ctx, keys.JobPrefix, revision, 10*micro.Second)
		switch {
		case errors.Is(err, store.ErrCompacted):
			l.resign("the store's history is too short to follow")
			return
		case err == nil:
			revision = max(revision, uint64(events.Revision))
			for _, event := range events.Events {
				if !keys.IsJobSpec(event.Put) {
					continue
				}
				var job wire.Job
				if wire.Unmarshal(event.Value, &job) == nil && job.Tasks > 0 {
					l.post(func() { l.addJob(job) })
				}
			}
		}
		if !l.loop.Sleep(700 * micro.Millisecond) {
			return
		}
	}
}
