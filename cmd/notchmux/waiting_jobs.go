package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"notchmux.dev/notchmux/internal/shard"
)

// shardWithWaitingJobs is the JSON output for a shard with its waiting jobs.
type shardWithWaitingJobs struct {
	shard.Status

	WaitingJobs []shard.WaitingJob `json:"waitingJobs,omitempty"`
}

// printDetailed writes a reply, including its waiting jobs, as text or JSON.
func (c *shardCmd) printDetailed(reply *shard.DetailedReply, out io.Writer) error {
	if len(reply.WaitingJobs) == 0 {
		return c.print(&reply.CommandReply, out)
	}
	if c.JSON {
		var rows []shardWithWaitingJobs
		for _, status := range reply.Shards {
			rows = append(rows, shardWithWaitingJobs{status, reply.WaitingJobs})
		}
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(rows)
	}
	if err := c.print(&reply.CommandReply, out); err != nil {
		return err
	}
	var text strings.Builder
	text.WriteString("  waiting at the leader:\n")
	for _, job := range reply.WaitingJobs {
		owners := strings.Join(job.ServedBy, ", ")
		if owners == "" {
			owners = "none: " + job.UnservedReason
		}
		fmt.Fprintf(
			&text, "    %s of team %s, %d tasks for %d s, may be served by: %s\n", job.ID, job.Team, job.Tasks, job.WaitingS,
			owners,
		)
	}
	_, err := io.WriteString(out, text.String())
	return err
}
