package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// What the owner of a shard does in its own way.

// mayRespond reports whether no transfer is under way or in doubt; any goroutine may ask.
func (o *ShardOwner) mayRespond() bool { return !o.responsesBlocked.Load() }

// refusesHeartbeat is false: only heartbeats of the shard's machines come here.
func (o *ShardOwner) refusesHeartbeat(*wire.Heartbeat) bool { return false }

// JobFinished has the leader told, which writes the job's end.
func (o *ShardOwner) JobFinished(job *cluster.Job) { o.jobFinishedInShard(job) }

// jobEnded does nothing: the leader writes the ends of jobs, and tells of them.
func (o *ShardOwner) jobEnded(*cluster.Job, wire.JobState) {}

// DependencyAborted does nothing: a job is assigned once all of its dependencies are done.
func (o *ShardOwner) DependencyAborted(*cluster.Job) {}

// DependencyUnknown does nothing: a job is assigned once all of its dependencies are done.
func (o *ShardOwner) DependencyUnknown(string) {}

// What the failure detector needs of an owner.

// InventoryReadAt is 0: the leader reads the inventory.
func (o *ShardOwner) InventoryReadAt() micro.Time { return 0 }

// UnreportedFor is 0: all machines of an owner are its own.
func (o *ShardOwner) UnreportedFor(*cluster.Machine, micro.Time) micro.Time { return 0 }

// Terminate marks a machine of the shard to be terminated: the leader, which has its instance
// request, is told.
func (o *ShardOwner) Terminate(machine *cluster.Machine, reason string) {
	if !o.cluster.TransitionMachine(machine, cluster.Terminating, reason) {
		return
	}
	o.pendingTerminations[machine] = true
	o.statusUpdates.urgent = true
}

// How the records of an owner are written.

// Preconditions are that the shard is still owned.
func (o *ShardOwner) Preconditions() []wire.Precondition { return o.ownership.Preconditions() }

// ChunkKey is the key of a chunk's record in the shard, which is in the compact form.
func (o *ShardOwner) ChunkKey(job string, index int, _ bool) string {
	return shard.AllocationKey(o.name, job, index)
}

// KeepsChunksOfEndedJobs is true: the records go once the job's assignment has gone.
func (o *ShardOwner) KeepsChunksOfEndedJobs() bool { return true }
