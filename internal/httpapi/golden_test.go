package httpapi

import (
	"testing"

	"notchmux.dev/notchmux/internal/golden"
)

func TestErrorReplyEncodingMatchesGolden(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply Reply
		bytes string
	}{
		{"later", RetryReply(503, 2), "81a56572726f72a974727920616761696e"},
		{"for good", ErrorReply(422, "too large"), "81a56572726f72a9746f6f206c61726765"},
	} {
		if err := golden.Binary(c.reply.Body, c.bytes); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if r := RetryReply(503, 2); r.Status != 503 || r.RetryAfter != 2 {
		t.Errorf("%+v", r)
	}
	if r := ErrorReply(422, "too large"); r.Status != 422 || r.RetryAfter != 0 {
		t.Errorf("%+v", r)
	}
}
