package controller

import (
	"fmt"

	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// adminTimeout is how long an operator's command may take.
const adminTimeout = 2 * micro.Second

// handleAdmin answers an operator's command at any node: the leader carries it out.
func (n *Node) handleAdmin(body []byte) (int, []byte) {
	var command shard.Command
	if wire.Unmarshal(body, &command) != nil {
		return 400, nil
	}
	if n.shards == nil {
		return 200, wire.MustMarshal(
			shard.CommandReply{RefusalReason: "this controller runs without shares (serve --feature)"},
		)
	}
	if l := n.activeLeader(); l != nil {
		return 200, wire.MustMarshal(l.runAdminCommand(&command))
	}
	leader := n.election.Leader()
	if leader == "" || leader == n.Cfg.Node {
		return 503, nil
	}
	status, reply, err := n.callPeer(leader, peer.ShardAdmin, body, adminTimeout)
	if err != nil {
		return 503, nil
	}
	return status, reply
}

// runAdminCommand carries out an operator's command.
func (l *Leader) runAdminCommand(command *shard.Command) shard.CommandReply {
	r, ok := l.callLoop(eventloop.Events, adminTimeout, func(reply func(httpapi.Reply)) {
		l.executeAdminCommand(command, func(r shard.CommandReply) { reply(httpapi.Reply{Body: r}) })
	})
	if !ok {
		return shard.CommandReply{RefusalReason: "the leader does not act now: try again"}
	}
	return r.Body.(shard.CommandReply)
}

func (l *Leader) executeAdminCommand(command *shard.Command, reply func(shard.CommandReply)) {
	if command.Operation == shard.OperationList {
		reply(shard.CommandReply{Shards: l.shardStatuses("")})
		return
	}
	respond := func(refused string) {
		reply(shard.CommandReply{RefusalReason: refused, Shards: l.shardStatuses(command.Shard)})
	}
	entry, ok := l.shardTable().Get(command.Shard)
	if !ok {
		respond(fmt.Sprintf("there is no share %q", command.Shard))
		return
	}
	switch command.Operation {
	case shard.OperationShow:
		respond("")
	case shard.OperationMove:
		target, ok := l.coordinator.sessions.Controller(command.Target)
		if !ok {
			respond(fmt.Sprintf("%q: %v", command.Target, shard.ErrTargetWithoutSession))
			return
		}
		l.changeShardByAdmin(
			entry, func(wall int64) (shard.Record, error) { return entry.Record.Move(target, wall) }, respond,
		)
	case shard.OperationCancel:
		l.changeShardByAdmin(entry, entry.Record.CancelMove, respond)
	default:
		respond(fmt.Sprintf("there is no operation %q", command.Operation))
	}
}

// changeShardByAdmin changes a share's record for an operator, who is told once it is stored.
func (l *Leader) changeShardByAdmin(
	entry shard.Entry, change func(wall int64) (shard.Record, error), respond func(refused string),
) {
	if l.coordinator.commitsInFlight[entry.Name] {
		respond("another change of the share is under way: try again")
		return
	}
	err := l.changeShardThen(entry, "an operator's command", change, func(err error) {
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

// shardStatuses tells of one share, or of all.
func (l *Leader) shardStatuses(only string) []shard.Status {
	jobs := map[string]int{}
	for _, assigned := range l.coordinator.assignedJobs {
		jobs[assigned.shardName]++
	}
	var statuses []shard.Status
	l.shardTable().Each(func(entry shard.Entry) bool {
		if only == "" || entry.Name == only {
			statuses = append(statuses, l.shardStatus(entry, jobs[entry.Name]))
		}
		return true
	})
	return statuses
}

func (l *Leader) shardStatus(entry shard.Entry, jobs int) shard.Status {
	view := l.viewOf(entry.Name)
	status := shard.Status{
		Name: entry.Name, Record: entry.Record, Version: entry.Version, MachineCount: view.machineCount,
		IdleMachines: view.idleMachines, PendingTasks: view.pendingTasks, AssignedJobs: jobs,
		OwnerSessionLost: entry.OwnerSessionLost(l.coordinator.sessions), LastUpdateAgeS: -1,
	}
	if view.capacityAt > 0 {
		status.LastUpdateAgeS = int((l.node.Now() - view.capacityAt) / micro.Second)
	}
	status.BlockedReason = l.shardNote(entry, &status)
	return status
}

// shardNote says what holds a share's next change up.
func (l *Leader) shardNote(entry shard.Entry, status *shard.Status) string {
	switch {
	case entry.Record.State == shard.Forming && !l.allRegistered():
		return "waits for all controllers to run with the feature"
	case entry.Record.State == shard.Forming:
		return fmt.Sprintf("waits for %d tasks on its machines to end", l.allocationsIn(entry))
	case status.OwnerSessionLost:
		return "its owner has lost its session: another gets it"
	case entry.Record.State == shard.Moving:
		return "waits for its owner to settle what it wrote, and to hand over"
	case entry.Record.State == shard.Released:
		return "the leader takes its work back"
	}
	return ""
}
