package main

import (
	"fmt"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/shard"
)

// printPlacementWarnings says for which work the declared shards leave no place. The machine types
// come from the cloud at run time: the selectors, the zones and the teams of the settings
// show only a part. The leader says the rest when it forms a shard.
func printPlacementWarnings(cfg *config.Config) {
	if cfg.Shards == nil {
		return
	}
	parts := cfg.Shards.Definitions()
	for _, warning := range shard.PlacementWarnings(
		shard.PossibleOffers(cfg.Facts.Zones, parts), parts, cfg.TeamNames(),
	) {
		fmt.Printf("warning: %s\n", warning)
	}
}
