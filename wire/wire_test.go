package wire

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"
)

func sample() map[string]any {
	return map[string]any{"nameId": "j-000412", "jobclass": "train", "outfit": "vision", "shape": "ensemble", "rank": "urgent",
		"pieces": 16, "vcpus": 8.0, "gpus": 1, "ramGb": 64.0, "bundle": "img-07", "pullGb": 6.2, "rigs": []string{"g8"}, "yard": nil,
		"oneZone": true, "scatter": false, "loaners": true, "guessS": 240.0, "bookmarkS": 30.0, "stashS": 4.0, "dueS": 900}
}

func TestSubmissionsAreTakenOrCalledMalformed(t *testing.T) {
	without := func(k string) map[string]any { m := sample(); delete(m, k); return m }
	with := func(k string, v any) map[string]any { m := sample(); m[k] = v; return m }
	for _, c := range []struct {
		name string
		v    any
		ok   bool
	}{
		{"as published", sample(), true},
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
		body, err := Marshal(c.v)
		if err != nil {
			t.Fatal(err)
		}
		job, err := DecodeJob(body)
		if (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
		if err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error of another kind: %v", c.name, err)
		}
		if c.name == "awaited jobs" && len(job.Needs) != 2 {
			t.Errorf("%s: a repeat counts: %v", c.name, job.Needs)
		}
		if c.ok && (job.ID != "j-000412" || job.Kind != Gang || job.CPUs != 8) {
			t.Errorf("%s: read as %+v", c.name, job)
		}
	}
}

func TestHostileBodiesAreRefused(t *testing.T) {
	for name, b := range map[string][]byte{
		"empty":             {},
		"huge list":         {0xdd, 0xff, 0xff, 0xff, 0xff},
		"huge map":          {0xdf, 0xff, 0xff, 0xff, 0xff, 0xa1, 'a'},
		"huge text":         {0xdb, 0xff, 0xff, 0xff, 0xff, 'a'},
		"deep nesting":      bytes.Repeat([]byte{0x91}, 60_000),
		"binary":            {0xc4, 0x01, 0x00},
		"trailing bytes":    append(MustMarshal(sample()), 0xc0),
		"over the limit":    []byte(strings.Repeat("x", MaxBody+1)),
		"text in place":     MustMarshal("hello"),
		"cut off halfway":   MustMarshal(sample())[:40],
		"number as map key": {0x81, 0x01, 0x02},
	} {
		if _, err := DecodeJob(b); err == nil {
			t.Errorf("%s was taken", name)
		}
		if _, err := DecodeReport(b); err == nil {
			t.Errorf("%s was taken as a report", name)
		}
	}
}

func TestJobRoundTrip(t *testing.T) {
	job, err := DecodeJob(MustMarshal(sample()))
	if err != nil {
		t.Fatal(err)
	}
	again, err := DecodeJob(MustMarshal(job))
	if err != nil || again.Tasks != 16 || *again.DeadlineS != 900 || again.Types[0] != "g8" || again.Zone != nil {
		t.Fatalf("%+v, %v", again, err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(MustMarshal(sample()))
	f.Add(MustMarshal(Report{Machine: "i-1", Addr: "a:1", Session: 1, Tasks: []TaskReport{{Task: "j-1/0", Attempt: 1, State: TaskRunning}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if job, err := DecodeJob(b); err == nil && (!ValidJobID(job.ID) || job.Tasks < 1 || job.Tasks > MaxTasks || !(job.CPUs >= 0)) {
			t.Fatalf("took %+v", job)
		}
		if r, err := DecodeReport(b); err == nil && (r.Machine == "" || r.Session == 0) {
			t.Fatalf("took %+v", r)
		}
	})
}
