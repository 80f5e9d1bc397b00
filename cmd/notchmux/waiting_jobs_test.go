package main

import (
	"bytes"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/shard"
)

func TestWaitingJobsArePrintedAfterTheirShard(t *testing.T) {
	waiting := []shard.WaitingJob{
		{ID: "j-2", Team: "vision", Tasks: 2, WaitingS: 300, UnservedReason: "zones"},
		{ID: "j-1", Team: "speech", Tasks: 7, WaitingS: 12, ServedBy: []string{"the leader", "shard gpus"}},
	}
	var shardOnly, text, json bytes.Buffer
	command, detailed := &shardCmd{}, &shard.DetailedReply{CommandReply: *sampleReply(), WaitingJobs: waiting}
	if command.print(sampleReply(), &shardOnly) != nil || command.printDetailed(detailed, &text) != nil ||
		(&shardCmd{JSON: true}).printDetailed(detailed, &json) != nil {
		t.Fatal("printing the reply failed")
	}
	if want := shardOnly.String() + "  waiting at the leader:\n" +
		"    j-2 of team vision, 2 tasks for 300 s, may be served by: none: zones\n" +
		"    j-1 of team speech, 7 tasks for 12 s, may be served by: the leader, shard gpus\n"; text.String() != want {
		t.Errorf("printed\n%s\nwant\n%s", text.String(), want)
	}
	if flat := strings.Join(strings.Fields(json.String()), ""); !strings.Contains(flat, `"note":"heldup","waitingJobs":[{`+
		`"job":"j-2","team":"vision","tasks":2,"waitingS":300,"unservedReason":"zones"},{"job":"j-1",`) {
		t.Errorf("JSON output lacks the waiting jobs:\n%s", json.String())
	}
}
