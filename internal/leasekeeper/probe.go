package leasekeeper

import (
	"context"

	"golang.org/x/sync/errgroup"

	"notchmux.dev/notchmux/internal/config"
)

// ProbeZones looks which of the other nodes answer a ping: any of this zone, any of another.
// It pings all at once, and returns when each has answered or failed to.
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
