package leasekeeper

import (
	"testing"

	"notchmux.dev/notchmux/internal/golden"
)

func TestLeaseProxyRequestsAndTimestampsKeepTheirBytes(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
		bytes string
	}{
		{
			"request",
			Request{Node: "n-1", Echo: LeaderTimestamp{Term: 7, At: 12345}, RenewedLeases: true},
			"83a16ea36e2d31a16582a17407a161cd3039a16bc3",
		},
		{"ordinary answer", LeaderTimestamp{Term: 8, At: 70000}, "82a17408a161ce00011170"},
	} {
		if err := golden.Binary(c.value, c.bytes); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
