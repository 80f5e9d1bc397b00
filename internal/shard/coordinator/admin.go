package coordinator

import (
	"fmt"

	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
)

// RunCommand carries out an operator's command, within a time. Any goroutine may call it.
func (c *Coordinator) RunCommand(command *shard.Command, timeout micro.Time) shard.DetailedReply {
	reply, ok := eventloop.Call(
		c.Loop, eventloop.Events, timeout,
		func(reply eventloop.Reply[shard.DetailedReply]) eventloop.Event {
			return adminCommandReceived{c, command, reply}
		},
	)
	// The lease may have lapsed meanwhile: then nothing may be said.
	if !ok || !c.Host.HoldsLease() {
		refusal := shard.CommandReply{RefusalReason: "the leader does not act now: try again"}
		return shard.DetailedReply{CommandReply: refusal}
	}
	return reply
}

func (c *Coordinator) executeCommand(command *shard.Command, reply func(shard.CommandReply)) {
	if command.Operation == shard.OperationList {
		reply(shard.CommandReply{Shards: c.shardStatuses("")})
		return
	}
	respond := func(refused string) {
		reply(shard.CommandReply{RefusalReason: refused, Shards: c.shardStatuses(command.Shard)})
	}
	entry, ok := c.table().Get(command.Shard)
	if !ok {
		respond(fmt.Sprintf("there is no share %q", command.Shard))
		return
	}
	switch command.Operation {
	case shard.OperationShow:
		respond("")
	case shard.OperationMove:
		target, ok := c.sessions.current.Controller(command.Target)
		if !ok {
			respond(fmt.Sprintf("%q: %v", command.Target, shard.ErrTargetWithoutSession))
			return
		}
		c.changeByCommand(
			entry, func(wall int64) (shard.Record, error) { return entry.Record.Move(target, wall) }, respond,
		)
	case shard.OperationCancel:
		c.changeByCommand(entry, entry.Record.CancelMove, respond)
	default:
		respond(fmt.Sprintf("there is no operation %q", command.Operation))
	}
}

// changeByCommand changes a shard's record for an operator, who is told once it is stored.
func (c *Coordinator) changeByCommand(entry shard.Entry, change recordChange, respond func(refused string)) {
	if c.commitsInFlight[entry.Name] {
		respond("another change of the share is under way: try again")
		return
	}
	err := c.changeShardThen(entry, "an operator's command", change, func(err error) {
		if err != nil {
			respond(fmt.Sprintf("not stored (%v): try again", err))
			return
		}
		respond("")
	})
	if err != nil {
		respond(err.Error())
	}
}

// shardStatuses tells of one shard, or of all.
func (c *Coordinator) shardStatuses(only string) []shard.Status {
	jobs := map[string]int{}
	for _, assigned := range c.assignedJobs {
		jobs[assigned.shardName]++
	}
	var statuses []shard.Status
	c.table().Each(func(entry shard.Entry) bool {
		if only == "" || entry.Name == only {
			statuses = append(statuses, c.shardStatus(entry, jobs[entry.Name]))
		}
		return true
	})
	return statuses
}

func (c *Coordinator) shardStatus(entry shard.Entry, jobs int) shard.Status {
	view := c.viewOf(entry.Name)
	status := shard.Status{
		Name: entry.Name, Record: entry.Record, Version: entry.Version, MachineCount: view.machineCount,
		IdleMachines: view.idleMachines, PendingTasks: view.pendingTasks, AssignedJobs: jobs,
		OwnerSessionLost: entry.OwnerSessionLost(c.sessions.current), LastUpdateAgeS: -1,
	}
	if view.capacityAt > 0 {
		status.LastUpdateAgeS = int((c.Now() - view.capacityAt) / micro.Second)
	}
	status.BlockedReason = c.blockedReason(entry, &status)
	return status
}

// blockedReason says what holds a shard's next change up.
func (c *Coordinator) blockedReason(entry shard.Entry, status *shard.Status) string {
	switch {
	case entry.Record.State == shard.Forming && !c.allRegistered():
		return "waits for all controllers to run with the feature"
	case entry.Record.State == shard.Forming && len(c.unstoredBeforeGrant[entry.Name]) > 0:
		return "waits until the ends of the tasks on its machines are stored"
	case entry.Record.State == shard.Forming:
		return fmt.Sprintf("waits for %d tasks on its machines to end", c.allocationsIn(entry))
	case status.OwnerSessionLost:
		return "its owner has lost its session: another gets it"
	case entry.Record.State == shard.Moving:
		return "waits for its owner to settle what it wrote, and to hand over"
	case entry.Record.State == shard.Released:
		return "the leader takes its work back"
	}
	return ""
}
