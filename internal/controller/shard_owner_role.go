package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// This file implements role for a shard owner, except the methods of controlLoop and HandleUnreachableAgents.

// mayRespond reports whether no transfer is in flight or uncertain. It is safe for concurrent use.
func (o *ShardOwner) mayRespond() bool { return !o.responsesBlocked.Load() }

// refusesHeartbeat returns false: only heartbeats of the shard's machines are routed here.
func (o *ShardOwner) refusesHeartbeat(*wire.Heartbeat) bool { return false }

// JobFinished reports the job to the leader, which writes its final state.
func (o *ShardOwner) JobFinished(job *cluster.Job) { o.jobFinishedInShard(job) }

// jobEnded does nothing: the leader writes the final states of jobs and reports them to the owner.
func (o *ShardOwner) jobEnded(*cluster.Job, wire.JobState) {}

// DependencyAborted does nothing: a job is assigned once all of its dependencies are done.
func (o *ShardOwner) DependencyAborted(*cluster.Job) {}

// DependencyUnknown does nothing: a job is assigned once all of its dependencies are done.
func (o *ShardOwner) DependencyUnknown(string) {}

// InventoryReadAt returns 0: only the leader reads the inventory.
func (o *ShardOwner) InventoryReadAt() micro.Time { return 0 }

// UnreportedFor returns 0: no machine of an owner has another owner that must report it.
func (o *ShardOwner) UnreportedFor(*cluster.Machine, micro.Time) micro.Time { return 0 }

// Terminate marks a machine of the shard for termination. The leader, which holds the machine's
// instance request, terminates it after the next status update.
func (o *ShardOwner) Terminate(machine *cluster.Machine, reason string) {
	if !o.cluster.TransitionMachine(machine, cluster.Terminating, reason) {
		return
	}
	o.pendingTerminations[machine] = true
	o.statusUpdates.urgent = true
}

// Preconditions returns the preconditions of the owner's transactions: the shard is still owned.
func (o *ShardOwner) Preconditions() []wire.Precondition { return o.ownership.Preconditions() }

// ChunkKey returns the key of a chunk's record in the shard, which is always in the compact format.
func (o *ShardOwner) ChunkKey(job string, index int, _ bool) string {
	return shard.AllocationKey(o.name, job, index)
}

// KeepsChunksOfEndedJobs returns true: the records are deleted once the job's assignment is deleted.
func (o *ShardOwner) KeepsChunksOfEndedJobs() bool { return true }
