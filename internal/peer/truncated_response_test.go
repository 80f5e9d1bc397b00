package peer

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// A response larger than wire.MaxBody is truncated. A caller must not decode the truncated body without an error,
// because a job that is missing from a list counts as never accepted.
func TestTruncatedResponsesFailToDecode(t *testing.T) {
	const longestID = 40
	const items = 4_000
	ids := make([]string, items)
	statuses := make([]wire.JobStatus, items)
	finalStates := map[string]string{}
	for i := range ids {
		ids[i] = fmt.Sprintf("j-%0*d", longestID, i)
		statuses[i] = wire.JobStatus{ID: ids[i], State: wire.JobRunning}
		finalStates[ids[i]] = string(wire.JobDone)
	}
	for name, c := range map[string]struct{ response, decoded any }{
		"ids":           {ids, new([]string)},
		"statuses":      {statuses, new([]wire.JobStatus)},
		"shard updates": {shard.UpdateReply{FinalStates: finalStates}, new(shard.UpdateReply)},
		"commands":      {shard.CommandReply{RefusalReason: strings.Repeat("x", 2*wire.MaxBody)}, new(shard.CommandReply)},
	} {
		t.Run(name, func(t *testing.T) {
			full := wire.MustMarshal(c.response)
			client, _ := serve(t, func(context.Context, string, []byte) (int, []byte) { return http.StatusOK, full })
			_, got, err := client.Call(t.Context(), "n-1", Ping, nil, ampleTimeout)
			if err != nil || len(full) <= wire.MaxBody || len(got) >= len(full) {
				t.Fatalf("received %d of %d bytes, error %v; want a truncated response", len(got), len(full), err)
			}
			if err := wire.Unmarshal(got, c.decoded); err == nil {
				t.Error("a truncated response was decoded without an error")
			}
		})
	}
}
