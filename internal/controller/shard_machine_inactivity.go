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

// What the owners of a shard leave to one another of silent and idle machines.

// machineInactivityChanges is the change that leaves machine ages to the next owner; none if that is
// the leader, or a value of the store does not hold them. This owner must say nothing more from
// here on.
func (o *ShardOwner) machineInactivityChanges() []wire.Change {
	now, bequest := o.node.Now(), o.cluster.ExportMachineInactivity()
	ages := shard.MachineInactivity{
		SinceRenewal: elapsedSince(bequest.RenewedAt, now), IdleFor: elapsedSince(bequest.IdleSince, now),
	}
	_, maxBytes := o.node.Cfg.MaxValueBytes()
	if o.ownership.Entry().Record.Target.Node == "" || wire.JSONSize(ages) > maxBytes {
		return nil
	}
	return []wire.Change{{Put: shard.MachineInactivityKey(o.name), Value: ages}}
}

// elapsedSince turns times into ages, of as many machines as a record may name.
func elapsedSince(times map[string]micro.Time, now micro.Time) map[string]int64 {
	ages := map[string]int64{}
	for name, at := range times {
		if len(ages) < shard.MaxInactiveMachines {
			ages[name] = int64(now - at)
		}
	}
	return ages
}

// restoreMachineInactivity takes over what the owner before left. An earlier loop of this same
// ownership may have answered machines since: then nothing holds.
func (o *ShardOwner) restoreMachineInactivity(ctx context.Context) {
	if !o.firstLoop {
		return
	}
	item, err := o.node.Store.Get(ctx, store.Routine, shard.MachineInactivityKey(o.name))
	var ages shard.MachineInactivity
	switch {
	case errors.Is(err, store.ErrNotFound):
		return
	case err != nil:
		o.log.Debug("machine ages not read", "err", err)
		return
	case uint64(item.Version) != o.ownership.FirstRevision():
		return // left to another ownership
	}
	if err := wire.Unmarshal(item.Value, &ages); err != nil {
		o.log.Debug("machine ages not understood", "err", err)
		return
	}
	started := o.cluster.TermStartedAt // after the transfer: the ages were reached by then
	o.cluster.PreviousTerm = cluster.MachineInactivity{
		RenewedAt: timestampsBefore(ages.SinceRenewal, started), IdleSince: timestampsBefore(ages.IdleFor, started),
	}
}

// timestampsBefore turns ages at a time into times.
func timestampsBefore(ages map[string]int64, at micro.Time) map[string]micro.Time {
	times := make(map[string]micro.Time, len(ages))
	for name, age := range ages {
		times[name] = at - micro.Time(age)
	}
	return times
}
