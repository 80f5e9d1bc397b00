package election

import (
	"testing"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
)

// The store's lease starts when the store grants it, and the answer may take seconds. The leadership lease
// must therefore count from when the campaign requested the lease.
func TestCampaignLeaseCountsFromItsRequest(t *testing.T) {
	inFakeTime(t, func(cluster *testCluster) {
		node := cluster.startNode("n-0", 0, func(node *testNode) { node.link.SetDelay(3 * micro.Second) })
		for end := cluster.store.Now() + 4*ttl; !node.isLeading(); cluster.advance(10 * micro.Millisecond) {
			if cluster.store.Now() > end {
				t.Fatal("did not become leader within four TTLs")
			}
		}
		node.link.SetReachability(fake.Partitioned) // before any renewal
		for end := cluster.store.Now() + 2*ttl; cluster.store.Now() < end; cluster.advance(10 * micro.Millisecond) {
			if node.isLeading() && !cluster.leaderKeyExists() {
				t.Fatal("still leads after its lease ended")
			}
		}
	})
}
