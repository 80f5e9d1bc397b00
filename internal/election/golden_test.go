package election

import (
	"testing"

	"notchmux.dev/notchmux/internal/golden"
)

func TestLeaderRecordKeepsItsKeyAndBytes(t *testing.T) {
	if err := golden.Binary(
		Record{Node: "n-1", Nonce: "ABC", Lease: 300}, "83a46e6f6465a36e2d31a56e6f6e6365a3414243a56c65617365cd012c",
		"election.Record.Features",
	); err != nil {
		t.Error(err)
	}
	if err := golden.Binary(
		Record{Node: "n-1", Nonce: "ABC", Lease: 300, Features: []string{"continue"}},
		"84a46e6f6465a36e2d31a56e6f6e6365a3414243a56c65617365cd012ca8666561747572657391a8636f6e74696e7565",
	); err != nil {
		t.Error(err)
	}
	if LeaderKey != "leader" {
		t.Errorf("leader key is %q, want %q", LeaderKey, "leader")
	}
}
