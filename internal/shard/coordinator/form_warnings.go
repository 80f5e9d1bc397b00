package coordinator

import (
	"slices"
	"strings"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/shard"
)

// maxWarningsLogged bounds what one line says of a shard.
const maxWarningsLogged = 5

// logDivisionWarnings says for which work a shard that is being formed leaves no place, beside the
// others that exist or are declared.
func (c *Coordinator) logDivisionWarnings(declared config.DeclaredShard) {
	warnings := c.divisionWarnings(declared)
	if len(warnings) == 0 {
		return
	}
	told := warnings[:min(len(warnings), maxWarningsLogged)]
	c.Log.Warn(
		"shard leaves work without a place", "shard", declared.Name, "selects", declared.Selector.String(), "reason",
		strings.Join(told, "; "), "warnings", len(warnings),
	)
}

// divisionWarnings are those that would not hold without the shard.
func (c *Coordinator) divisionWarnings(declared config.DeclaredShard) []string {
	var others []shard.Definition
	c.table().Each(func(entry shard.Entry) bool {
		others = append(others, shard.Definition{
			Name: entry.Name, Selector: entry.Record.Selector, Teams: entry.Record.Teams,
		})
		return true
	})
	var formed shard.Definition
	for _, part := range c.Config.Shards.Parts() {
		_, overlaps := c.table().Overlapping(part.Selector) // also where it exists
		switch {
		case part.Name == declared.Name:
			formed = part
		case !overlaps:
			others = append(others, part)
		}
	}
	offers, teams := catalogOffers(c.Cluster.CatalogOrder), c.Config.TeamNames()
	before := shard.PlacementWarnings(offers, others, teams)
	return slices.DeleteFunc(shard.PlacementWarnings(offers, append(others, formed), teams), func(warning string) bool {
		return slices.Contains(before, warning)
	})
}

// catalogOffers lists what the cloud offers.
func catalogOffers(catalog []*cluster.MachineType) []shard.Attributes {
	var offers []shard.Attributes
	for _, machineType := range catalog {
		offers = append(offers, typeOffers(machineType)...)
	}
	return offers
}

// typeOffers lists what the cloud offers of a type.
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
