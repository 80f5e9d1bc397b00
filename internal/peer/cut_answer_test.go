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

// An answer over the bound of a call is cut. A caller must not take the part for the whole: a
// job missing from a list counts as never accepted.
func TestCutAnswersAreRefused(t *testing.T) {
	const longestID = 40
	const items = 4_000
	ids := make([]string, items)
	statuses := make([]wire.JobStatus, items)
	ends := map[string]string{}
	for i := range ids {
		ids[i] = fmt.Sprintf("j-%0*d", longestID, i)
		statuses[i] = wire.JobStatus{ID: ids[i], State: wire.JobRunning}
		ends[ids[i]] = string(wire.JobDone)
	}
	for name, c := range map[string]struct{ answer, decoded any }{
		"ids":           {ids, new([]string)},
		"statuses":      {statuses, new([]wire.JobStatus)},
		"shard updates": {shard.UpdateReply{FinalStates: ends}, new(shard.UpdateReply)},
		"commands":      {shard.CommandReply{RefusalReason: strings.Repeat("x", 2*wire.MaxBody)}, new(shard.CommandReply)},
	} {
		t.Run(name, func(t *testing.T) {
			whole := wire.MustMarshal(c.answer)
			client, _ := serve(t, func(context.Context, string, []byte) (int, []byte) { return http.StatusOK, whole })
			_, got, err := client.Call(t.Context(), "n-1", Ping, nil, ampleTimeout)
			if err != nil || len(whole) <= wire.MaxBody || len(got) >= len(whole) {
				t.Fatalf("%d bytes of %d: %v", len(got), len(whole), err)
			}
			if err := wire.Unmarshal(got, c.decoded); err == nil {
				t.Error("a part was taken for the whole")
			}
		})
	}
}
