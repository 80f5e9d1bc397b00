package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// How shares come and go.

// allRegistered reports whether every controller of the settings has a session: one that
// runs without shares would take all machines for its own.
func (l *Leader) allRegistered() bool {
	for _, p := range l.node.Cfg.Peers {
		if _, ok := l.coordinator.sessions.Controller(p.Node); !ok {
			return false
		}
	}
	_, ok := l.coordinator.sessions.Controller(l.node.Cfg.Node)
	return ok
}

// formDeclaredShards forms the shares of the settings that do not exist.
func (l *Leader) formDeclaredShards() {
	if l.node.Cfg.Shards.Dissolve || !l.cluster.CompactRecords || !l.allRegistered() {
		return
	}
	for _, declared := range l.node.Cfg.Shards.Declared {
		if _, ok := l.shardTable().Get(declared.Name); ok || l.coordinator.commitsInFlight[declared.Name] {
			continue
		}
		if other, ok := l.shardTable().Overlapping(declared.Selector); ok {
			l.log.Debug("share not formed", "share", declared.Name, "why", shard.ErrOverlap, "other", other.Name)
			continue
		}
		if l.coordinator.marker.Version() == 0 {
			l.coordinator.marker.MarkDirty(l.node.Now(), statestore.PriorityHigh) // before the first share
			return
		}
		l.log.Info("share formed", "share", declared.Name, "selects", declared.Selector.String(), "teams", declared.Teams)
		entry := shard.Entry{Name: declared.Name}
		l.commitShard(
			declared.Name,
			entry.Update(shard.NewRecord(declared.Selector, declared.Teams, int64(l.node.Wall())), l.term.Precondition()),
		)
	}
}

// reconcileForming clears the machines of a share that is being formed, and gives it to its
// first owner once none of them holds a task.
func (l *Leader) reconcileForming(entry shard.Entry, wall int64) {
	if l.node.Cfg.Shards.Dissolve {
		l.deleteShard(entry)
		return
	}
	if l.drainReplicas(entry); l.allocationsIn(entry) > 0 || !l.allRegistered() {
		return
	}
	owner, ok := l.initialOwner(entry.Name)
	if !ok {
		return
	}
	if granted, err := entry.Record.Grant(owner, wall); err == nil {
		l.log.Info("share granted", "share", entry.Name, "owner", owner.Node)
		l.commitShard(entry.Name, entry.Update(granted, l.term.Precondition(), owner.Precondition()))
	}
}

func (l *Leader) initialOwner(name string) (shard.Controller, bool) {
	for _, d := range l.node.Cfg.Shards.Declared {
		if d.Name == name && d.Owner != "" {
			return l.coordinator.sessions.Controller(d.Owner)
		}
	}
	return l.coordinator.sessions.LeastLoaded(l.shardTable())
}

// maxReplicasStopping is how many replicas are moved from the machines of a share that is
// being formed at a time: a service keeps the others.
const maxReplicasStopping = 4

// allocationsIn counts the places on the machines of a share that is being formed, and on those
// of which it is not known yet whether they are in it: read from the records, a machine
// has no type until it reports. Given away with such a place on it, a machine was never
// proven free of it.
func (l *Leader) allocationsIn(e shard.Entry) int {
	held := 0
	for _, m := range l.cluster.SortedMachines() {
		if m.Type == nil || m.TransferPending && e.Record.Selector.Matches(machineAttributes(m.TypeName, m.Zone, m.Spot)) {
			held += len(m.Allocations)
		}
	}
	return held
}

// formingMachines lists the machines of a share that is being formed.
func (l *Leader) formingMachines(e shard.Entry) []*cluster.Machine {
	var out []*cluster.Machine
	for _, m := range l.cluster.SortedMachines() {
		if m.TransferPending && e.Record.Selector.Matches(machineAttributes(m.TypeName, m.Zone, m.Spot)) {
			out = append(out, m)
		}
	}
	return out
}

// drainReplicas has the replicas on a share's machines stopped, a few at a time: other
// tasks end by themselves.
func (l *Leader) drainReplicas(entry shard.Entry) {
	now := l.node.Now()
	stopping := 0
	var replicas []*cluster.Allocation
	for _, machine := range l.formingMachines(entry) {
		for _, allocation := range machine.SortedAllocations() {
			switch {
			case allocation.Job == nil || allocation.Job.Spec.Kind != wire.Service:
			case allocation.Stopping:
				stopping++
			default:
				replicas = append(replicas, allocation)
			}
		}
	}
	for _, allocation := range replicas[:max(min(len(replicas), maxReplicasStopping-stopping), 0)] {
		l.cluster.StopAllocation(allocation, "the machine goes to a share", allocation.Job.Spec.CheckpointDurationS, now)
	}
}

// deleteShard deletes the record of a share that has nothing left. The last one takes
// the marker along.
func (l *Leader) deleteShard(e shard.Entry) {
	transaction := wire.Transaction{
		If: []wire.Precondition{l.term.Precondition(), e.Precondition()}, Then: []wire.Change{{Delete: e.Key()}},
	}
	if l.shardTable().Len() == 1 {
		transaction.Then = append(transaction.Then, wire.Change{Delete: shard.MarkerKey})
		l.coordinator.marker.SetVersion(0)
	}
	l.log.Info("share deleted", "share", e.Name)
	l.commitShard(e.Name, transaction)
}
