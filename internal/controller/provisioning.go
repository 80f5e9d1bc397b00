package controller

import (
	"notchmux.dev/notchmux/internal/autoscaler"
	"notchmux.dev/notchmux/internal/provision"
)

// newPlanner makes the planner of scale-out and scale-in of a leader, or of a shard's owner,
// by whose prices tasks are placed.
func newPlanner(l *controlLoop, cfg autoscaler.Config) *autoscaler.Planner {
	cfg.Cluster, cfg.Objectives, cfg.Properties = l.cluster, l.objectives, &l.node.Cfg.Properties
	planner := autoscaler.New(cfg)
	l.scheduler.WithinPrice = planner.WithinPrice
	return planner
}

// newProvisioner makes the part of a leader that has machines created and terminated.
func newProvisioner(l *Leader) *provision.Provisioner {
	var shards autoscaler.Config
	if l.coordinator != nil {
		shards.ShardDemands, shards.OwnsOffer = l.coordinator.ShardDemands, l.coordinator.OwnsOffer
		shards.ShardCapacity, shards.ShardAcceptsJob = l.coordinator.ShardCapacity, l.coordinator.ShardAcceptsJob
	}
	return provision.New(
		provision.Config{FencingRevision: l.term.FencingRevision, CloudRPS: l.node.Cfg.Facts.Cloud.RPS},
		provision.Dependencies{
			Term:    l,
			Loop:    l.loop,
			Cluster: l.cluster,
			Planner: newPlanner(l.controlLoop, shards),
			Records: l.records,
			Cloud:   l.node.Cloud,
			Log:     l.log,
		},
	)
}
