package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"notchmux.dev/notchmux/internal/shard"
)

// shardWithWaitingJobs is a shard as JSON, with the jobs that wait for it.
type shardWithWaitingJobs struct {
	shard.Status

	WaitingJobs []shard.WaitingJob `json:"waitingJobs,omitempty"`
}

// printDetailed prints an answer, with the waiting jobs that it tells of.
func (c *shardCmd) printDetailed(reply *shard.DetailedReply, out io.Writer) error {
	if len(reply.WaitingJobs) == 0 {
		return c.print(&reply.CommandReply, out)
	}
	if c.JSON {
		var shown []shardWithWaitingJobs
		for _, status := range reply.Shards {
			shown = append(shown, shardWithWaitingJobs{status, reply.WaitingJobs})
		}
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(shown)
	}
	if err := c.print(&reply.CommandReply, out); err != nil {
		return err
	}
	var text strings.Builder
	text.WriteString("  waiting at the leader:\n")
	for _, job := range reply.WaitingJobs {
		side := strings.Join(job.ServedBy, ", ")
		if side == "" {
			side = "none: " + job.UnservedReason
		}
		fmt.Fprintf(
			&text, "    %s of team %s, %d tasks for %d s, may be served by: %s\n", job.ID, job.Team, job.Tasks, job.WaitingS,
			side,
		)
	}
	_, err := io.WriteString(out, text.String())
	return err
}
