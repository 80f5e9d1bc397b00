package leasekeeper

import (
	"context"

	"golang.org/x/sync/errgroup"

	"notchmux.dev/notchmux/internal/config"
)

// ProbeZones pings all peers concurrently and reports whether any in the given zone and any in another
// zone answered. It returns once every ping has succeeded or failed.
func ProbeZones(
	ctx context.Context, peers []config.Peer, zone string, ping func(ctx context.Context, node string) bool,
) (sameZone, otherZone bool) {
	var group errgroup.Group
	answers := make(chan string, len(peers))
	for _, other := range peers {
		group.Go(func() error {
			if ping(ctx, other.Node) {
				answers <- other.Zone
			}
			return nil
		})
	}
	_ = group.Wait()
	close(answers)
	for answered := range answers {
		if answered == zone {
			sameZone = true
		} else {
			otherZone = true
		}
	}
	return sameZone, otherZone
}
