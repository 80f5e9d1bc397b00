package controller

import (
	"context"
	"errors"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// A shard owner that transfers the shard leaves a machine inactivity record to the next owner: how
// long silent machines have not had their leases renewed, and how long idle machines have been idle.

// machineInactivityChanges returns the change that writes the machine inactivity record for the next
// owner. It returns none if the shard is transferred to the leader, or if the record exceeds the
// maximum size of a stored value. After this call the owner must not send any response, because the
// record would not cover lease renewals after it.
func (o *ShardOwner) machineInactivityChanges() []wire.Change {
	now, inactivity := o.node.Now(), o.cluster.ExportMachineInactivity()
	record := shard.MachineInactivity{
		SinceRenewal: elapsedSince(inactivity.RenewedAt, now), IdleFor: elapsedSince(inactivity.IdleSince, now),
	}
	_, maxBytes := o.node.Cfg.MaxValueBytes()
	if o.ownership.Entry().Record.Target.Node == "" || wire.JSONSize(record) > maxBytes {
		return nil
	}
	return []wire.Change{{Put: shard.MachineInactivityKey(o.name), Value: record}}
}

// elapsedSince converts times to elapsed microseconds, for at most the number of machines that a
// record may name.
func elapsedSince(times map[string]micro.Time, now micro.Time) map[string]int64 {
	elapsed := map[string]int64{}
	for name, at := range times {
		if len(elapsed) < shard.MaxInactiveMachines {
			elapsed[name] = int64(now - at)
		}
	}
	return elapsed
}

// restoreMachineInactivity restores the machine inactivity record that the previous owner left. The
// record is not used if an earlier loop of this same ownership ran: that loop may have answered
// heartbeats since.
func (o *ShardOwner) restoreMachineInactivity(ctx context.Context) {
	if !o.firstLoop {
		return
	}
	item, err := o.node.Store.Get(ctx, store.Routine, shard.MachineInactivityKey(o.name))
	var record shard.MachineInactivity
	switch {
	case errors.Is(err, store.ErrNotFound):
		return
	case err != nil:
		o.log.Debug("read machine inactivity record failed", "err", err)
		return
	case uint64(item.Version) != o.ownership.FirstRevision():
		return // written for another ownership
	}
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		o.log.Debug("decode machine inactivity record failed", "err", err)
		return
	}
	started := o.cluster.TermStartedAt // after the transfer: the durations had elapsed by then
	o.cluster.PreviousTerm = cluster.MachineInactivity{
		RenewedAt: timestampsBefore(record.SinceRenewal, started), IdleSince: timestampsBefore(record.IdleFor, started),
	}
}

// timestampsBefore converts durations in microseconds that had elapsed at a time to the times at which
// they began.
func timestampsBefore(elapsed map[string]int64, at micro.Time) map[string]micro.Time {
	times := make(map[string]micro.Time, len(elapsed))
	for name, duration := range elapsed {
		times[name] = at - micro.Time(duration)
	}
	return times
}
