package httpapi

import (
	"testing"

	"notchmux.dev/notchmux/internal/golden"
)

// Other versions and clients decode error replies, so their encoding must not change.
func TestErrorReplyEncodingMatchesGolden(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply Reply
		bytes string
	}{
		{"retry reply", RetryReply(503, 2), "81a56572726f72a974727920616761696e"},
		{"final error reply", ErrorReply(422, "too large"), "81a56572726f72a9746f6f206c61726765"},
	} {
		if err := golden.Binary(c.reply.Body, c.bytes); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if r := RetryReply(503, 2); r.Status != 503 || r.RetryAfter != 2 {
		t.Errorf("RetryReply(503, 2) = %+v, want status 503 and RetryAfter 2", r)
	}
	if r := ErrorReply(422, "too large"); r.Status != 422 || r.RetryAfter != 0 {
		t.Errorf("ErrorReply(422, ...) = %+v, want status 422 and no RetryAfter", r)
	}
}
