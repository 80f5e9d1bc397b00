package election

import (
	"testing"

	"notchmux.dev/notchmux/internal/golden"
)

func TestLeaderRecordKeepsItsKeyAndBytes(t *testing.T) {
	if err := golden.Binary(
		Record{Node: "n-1", Nonce: "ABC", Lease: 300}, "83a46e6f6465a36e2d31a56e6f6e6365a3414243a56c65617365cd012c",
	); err != nil {
		t.Error(err)
	}
	if LeaderKey != "leader" {
		t.Errorf("the key is %q", LeaderKey)
	}
}
