package wire

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"
)

func sampleJob() map[string]any {
	return map[string]any{
		"nameId": "j-000412", "jobclass": "train", "outfit": "vision", "shape": "ensemble", "rank": "urgent",
		"pieces": 16, "vcpus": 8.0, "gpus": 1, "ramGb": 64.0, "bundle": "img-07", "pullGb": 6.2,
		"rigs": []string{"g8"}, "yard": nil, "oneZone": true, "scatter": false, "loaners": true,
		"guessS": 240.0, "bookmarkS": 30.0, "stashS": 4.0, "dueS": 900,
	}
}

func TestDecodeJobAcceptsOrRejects(t *testing.T) {
	without := func(k string) map[string]any { m := sampleJob(); delete(m, k); return m }
	with := func(k string, v any) map[string]any { m := sampleJob(); m[k] = v; return m }
	for _, tc := range []struct {
		name string
		v    any
		ok   bool
	}{
		{"as published", sampleJob(), true},
		{"whole decimals for counts", with("pieces", 16.0), true},
		{"null list left out", without("rigs"), true},
		{"unknown field", with("extra", []any{1, "x"}), true},
		{"most tasks", with("pieces", 100_000), true},
		{"no id", without("nameId"), false},
		{"bad id", with("nameId", "x-1"), false},
		{"id with a slash", with("nameId", "j-1/end"), false},
		{"no tasks", with("pieces", 0), false},
		{"too many tasks", with("pieces", 100_001), false},
		{"part of a task", with("pieces", 1.5), false},
		{"negative amount", with("vcpus", -1.0), false},
		{"not a number", with("ramGb", math.NaN()), false},
		{"infinite", with("guessS", math.Inf(1)), false},
		{"text for an amount", with("gpus", "1"), false},
		{"unknown shape", with("shape", "batches"), false},
		{"unknown rank", with("rank", "top"), false},
		{"number for a flag", with("oneZone", 1), false},
		{"list of numbers", with("rigs", []any{1}), false},
		{"awaited jobs", with("awaits", []any{"j-1", "j-2", "j-1"}), true},
		{"none awaited", with("awaits", []any{}), true},
		{"null awaited", with("awaits", nil), true},
		{"text for awaited jobs", with("awaits", "j-1"), false},
		{"number among awaited jobs", with("awaits", []any{"j-1", 2}), false},
		{"no id among awaited jobs", with("awaits", []any{"j-1/end"}), false},
		{"negative deadline", with("dueS", -1), false},
		{"not a map", []any{1}, false},
		{"null", nil, false},
	} {
		body, err := Marshal(tc.v)
		if err != nil {
			t.Fatal(err)
		}
		job, err := DecodeJob(body)
		if (err == nil) != tc.ok {
			t.Errorf("%s: %v", tc.name, err)
		}
		if err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error of another kind: %v", tc.name, err)
		}
		if tc.name == "awaited jobs" && len(job.Dependencies) != 2 {
			t.Errorf("%s: a repeat counts: %v", tc.name, job.Dependencies)
		}
		if tc.ok && (job.ID != "j-000412" || job.Kind != Gang || job.CPUs != 8) {
			t.Errorf("%s: read as %+v", tc.name, job)
		}
	}
}

func TestHostileBodiesAreRejected(t *testing.T) {
	for name, body := range map[string][]byte{
		"empty":             {},
		"huge list":         {0xdd, 0xff, 0xff, 0xff, 0xff},
		"huge map":          {0xdf, 0xff, 0xff, 0xff, 0xff, 0xa1, 'a'},
		"huge text":         {0xdb, 0xff, 0xff, 0xff, 0xff, 'a'},
		"deep nesting":      bytes.Repeat([]byte{0x91}, 60_000),
		"binary":            {0xc4, 0x01, 0x00},
		"trailing bytes":    append(MustMarshal(sampleJob()), 0xc0),
		"over the limit":    []byte(strings.Repeat("x", MaxBody+1)),
		"text in place":     MustMarshal("hello"),
		"cut off halfway":   MustMarshal(sampleJob())[:40],
		"number as map key": {0x81, 0x01, 0x02},
	} {
		if _, err := DecodeJob(body); err == nil {
			t.Errorf("%s was taken", name)
		}
		if _, err := DecodeHeartbeat(body); err == nil {
			t.Errorf("%s was taken as a report", name)
		}
	}
}

func TestJobRoundTrip(t *testing.T) {
	job, err := DecodeJob(MustMarshal(sampleJob()))
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeJob(MustMarshal(job))
	if err != nil || decoded.Tasks != 16 || *decoded.DeadlineS != 900 || decoded.Types[0] != "g8" || decoded.Zone != nil {
		t.Fatalf("%+v, %v", decoded, err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(MustMarshal(sampleJob()))
	f.Add(
		MustMarshal(
			Heartbeat{
				Machine: "i-1", Addr: "a:1", AgentEpoch: 1, Tasks: []TaskStatus{{Task: "j-1/0", Attempt: 1, State: TaskRunning}},
			},
		),
	)
	f.Fuzz(func(t *testing.T, body []byte) {
		if job, err := DecodeJob(body); err == nil &&
			(!ValidJobID(job.ID) || job.Tasks < 1 || job.Tasks > MaxTasks || !(job.CPUs >= 0)) {
			t.Fatalf("took %+v", job)
		}
		if heartbeat, err := DecodeHeartbeat(body); err == nil && (heartbeat.Machine == "" || heartbeat.AgentEpoch == 0) {
			t.Fatalf("took %+v", heartbeat)
		}
	})
}
