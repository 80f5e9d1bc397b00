package shard

import (
	"testing"

	"notchmux.dev/notchmux/internal/golden"
	"notchmux.dev/notchmux/wire"
)

// detailedReplyBytes is the encoding of a command reply, as a map with one more key.
const detailedReplyBytes = "83a772656675736564bb746865207368617265206973206d6f76696e6720616c7265616479a6736861726573918aa46e616d65a4677075" +
	"73a67265636f726487a57374617465a66d6f76696e67a56f776e657282a46e6f6465a36e2d31a773657373696f6ecd012da67461726765" +
	"7482a46e6f6465a36e2d32a773657373696f6ecd012ea673656c65637483a474797065a3677075a47a6f6e65a465617374a46b696e64a4" +
	"73706f74a57465616d7392a6766973696f6ea6737065656368a56d6f76657307a26174cf00060a24181e4000a776657273696f6ecd012f" +
	"a86d616368696e657329a5656d70747905a777616974696e670ca46a6f627309a96f776e6572476f6e65c3a9686561726441676f5303a4" +
	"6e6f7465a768656c64207570ab77616974696e674a6f62739186a36a6f62a36a2d36a47465616da6766973696f6ea57461736b7302a877" +
	"616974696e675328a2627991aa73686172642067707573a3776879a573706c6974"

// Nodes and command lines of two releases run side by side: each must decode the other's replies.
func TestDetailedReplyEncodingIsStableAndExtendsCommandReply(t *testing.T) {
	detailed := DetailedReply{
		CommandReply{RefusalReason: "the share is moving already", Shards: []Status{goldenStatus()}},
		[]WaitingJob{{"j-6", "vision", 2, 40, []string{"shard gpus"}, "split"}},
	}
	if err := golden.Binary(detailed, detailedReplyBytes); err != nil {
		t.Error(err)
	}
	plain := wire.MustMarshal(detailed.CommandReply)
	if got := wire.MustMarshal(DetailedReply{CommandReply: detailed.CommandReply}); string(got) != string(plain) {
		t.Errorf("reply without waiting jobs is encoded as %x, want %x", got, plain)
	}
	var decoded CommandReply
	if err := wire.Unmarshal(wire.MustMarshal(detailed), &decoded); err != nil || len(decoded.Shards) != 1 {
		t.Errorf("detailed reply is decoded as command reply %+v, error %v, want one shard", decoded, err)
	}
}
