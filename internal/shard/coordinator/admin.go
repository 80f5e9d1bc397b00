package coordinator

import (
	"fmt"

	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
)

// RunCommand executes an operator's command and waits for its result for at most timeout. The reply
// has a RefusalReason if the command was not executed. It may be called from any goroutine.
func (c *Coordinator) RunCommand(command *shard.Command, timeout micro.Time) shard.DetailedReply {
	reply, ok := eventloop.Call(
		c.Loop, eventloop.Events, timeout,
		func(reply eventloop.Reply[shard.DetailedReply]) eventloop.Event {
			return adminCommandReceived{c, command, reply}
		},
	)
	// The lease may have expired while the command ran: the result is then not authoritative.
	if !ok || !c.Host.HoldsLease() {
		refusal := shard.CommandReply{RefusalReason: "the leader does not act now: try again"}
		return shard.DetailedReply{CommandReply: refusal}
	}
	return reply
}

// executeCommand executes an operator's command. It calls reply once, for a command that changes a
// record after the write has finished.
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

// changeByCommand changes a shard's record on behalf of an operator, and responds once the change is
// stored, has failed or is refused.
func (c *Coordinator) changeByCommand(entry shard.Entry, change recordChange, respond func(refused string)) {
	if c.commitsInFlight[entry.Name] {
		respond("another change of the share is under way: try again")
		return
	}
	err := c.changeShardThen(entry, "operator command", change, func(err error) {
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

// shardStatuses returns the status of the shard with this name, or of all shards if the name is empty.
func (c *Coordinator) shardStatuses(name string) []shard.Status {
	jobs := map[string]int{}
	for _, assigned := range c.assignedJobs {
		jobs[assigned.shardName]++
	}
	var statuses []shard.Status
	c.table().Each(func(entry shard.Entry) bool {
		if name == "" || entry.Name == name {
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

// blockedReason describes what the next change of a shard waits for; "" if no change is pending.
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
