package main

import (
	"fmt"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/shard"
)

// printPlacementWarnings prints a warning for each kind of job that cannot be placed because of the declared shards.
// Machine types are known only at run time, from the cloud's catalog, so the check is limited to the selectors,
// zones and teams in the settings. The leader reports the remaining cases when it forms a shard.
func printPlacementWarnings(cfg *config.Config) {
	if cfg.Shards == nil {
		return
	}
	definitions := cfg.Shards.Definitions()
	for _, warning := range shard.PlacementWarnings(
		shard.PossibleOffers(cfg.Facts.Zones, definitions), definitions, cfg.TeamNames(),
	) {
		fmt.Printf("warning: %s\n", warning)
	}
}
