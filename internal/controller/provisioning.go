package controller

import (
	"notchmux.dev/notchmux/internal/autoscaler"
	"notchmux.dev/notchmux/internal/provision"
)

// newPlanner returns the scaling planner of a leader or shard owner. The scheduler also uses its price
// limits when it places tasks.
func newPlanner(l *controlLoop, cfg autoscaler.Config) *autoscaler.Planner {
	cfg.Cluster, cfg.Objectives, cfg.Properties = l.cluster, l.objectives, &l.node.Cfg.Properties
	planner := autoscaler.New(cfg)
	l.scheduler.WithinPrice = planner.WithinPrice
	return planner
}

// newProvisioner returns the leader's provisioner, which requests and terminates instances.
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
