package main

import (
	"bytes"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/shard"
)

func TestWaitingJobsArePrintedAfterTheirShare(t *testing.T) {
	for name, c := range map[string]struct {
		json    bool
		waiting []shard.WaitingJob
		want    string // after the share, without spaces at the beginning of lines
	}{
		"none, text": {},
		"text": {
			waiting: []shard.WaitingJob{
				{ID: "j-2", Team: "vision", Tasks: 2, WaitingS: 300, UnservedReason: "zones on both sides"},
				{ID: "j-1", Team: "speech", Tasks: 7, WaitingS: 12, ServedBy: []string{"the leader", "shard gpus"}},
			},
			want: "waiting at the leader:\n" +
				"j-2 of team vision, 2 tasks for 300 s, may be served by: none: zones on both sides\n" +
				"j-1 of team speech, 7 tasks for 12 s, may be served by: the leader, shard gpus\n",
		},
		"JSON": {
			json:    true,
			waiting: []shard.WaitingJob{{ID: "j-2", Team: "vision", Tasks: 2, WaitingS: 300, UnservedReason: "zones"}},
			want: "\"waitingJobs\": [\n{\n\"job\": \"j-2\",\n\"team\": \"vision\",\n\"tasks\": 2,\n\"waitingS\": 300,\n" +
				"\"unservedReason\": \"zones\"\n}\n]\n}\n]\n",
		},
	} {
		command := &shardCmd{JSON: c.json}
		var alone, out bytes.Buffer
		if err := command.print(printed(), &alone); err != nil {
			t.Fatal(err)
		}
		if err := command.printDetailed(&shard.DetailedReply{CommandReply: *printed(), WaitingJobs: c.waiting}, &out); err != nil {
			t.Fatal(err)
		}
		share := strings.TrimSuffix(alone.String(), "\n  }\n]\n") // JSON goes on within it
		rest, ok := strings.CutPrefix(out.String(), share)
		var lines []string
		for _, line := range strings.SplitAfter(strings.TrimPrefix(rest, ",\n"), "\n") {
			lines = append(lines, strings.TrimLeft(line, " "))
		}
		if got := strings.Join(lines, ""); !ok || got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}
