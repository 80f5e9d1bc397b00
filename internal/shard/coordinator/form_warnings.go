package coordinator

import (
	"slices"
	"strings"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/shard"
)

// maxWarningsLogged limits the warnings that one log line contains.
const maxWarningsLogged = 5

// logPlacementWarnings logs which kinds of jobs could not be placed anywhere once a declared shard is
// formed, given the shards that exist or are declared.
func (c *Coordinator) logPlacementWarnings(declared config.DeclaredShard) {
	warnings := c.placementWarnings(declared)
	if len(warnings) == 0 {
		return
	}
	logged := warnings[:min(len(warnings), maxWarningsLogged)]
	c.Log.Warn(
		"forming shard leaves jobs that cannot be placed", "shard", declared.Name, "selects", declared.Selector.String(),
		"reason", strings.Join(logged, "; "), "warnings", len(warnings),
	)
}

// placementWarnings returns the warnings that the declared shard adds to those of the other shards.
func (c *Coordinator) placementWarnings(declared config.DeclaredShard) []string {
	var others []shard.Definition
	c.table().Each(func(entry shard.Entry) bool {
		others = append(others, shard.Definition{
			Name: entry.Name, Selector: entry.Record.Selector, Teams: entry.Record.Teams,
		})
		return true
	})
	var formed shard.Definition
	for _, definition := range c.Config.Shards.Definitions() {
		_, overlaps := c.table().Overlapping(definition.Selector) // true also for a declared shard that exists
		switch {
		case definition.Name == declared.Name:
			formed = definition
		case !overlaps:
			others = append(others, definition)
		}
	}
	offers, teams := catalogOffers(c.Cluster.CatalogOrder), c.Config.TeamNames()
	before := shard.PlacementWarnings(offers, others, teams)
	return slices.DeleteFunc(shard.PlacementWarnings(offers, append(others, formed), teams), func(warning string) bool {
		return slices.Contains(before, warning)
	})
}

// catalogOffers lists the offers of all machine types in the catalog.
func catalogOffers(catalog []*cluster.MachineType) []shard.Attributes {
	var offers []shard.Attributes
	for _, machineType := range catalog {
		offers = append(offers, typeOffers(machineType)...)
	}
	return offers
}

// typeOffers lists the offers of a machine type: on-demand and spot in each of its zones.
func typeOffers(machineType *cluster.MachineType) []shard.Attributes {
	var offers []shard.Attributes
	for _, zone := range machineType.Zones {
		onDemand := shard.Attributes{Type: machineType.Name, Zone: zone}
		spot := onDemand
		spot.Spot = true
		offers = append(offers, onDemand, spot)
	}
	return offers
}
