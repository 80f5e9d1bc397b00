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
	without := func(key string) map[string]any { fields := sampleJob(); delete(fields, key); return fields }
	with := func(key string, value any) map[string]any { fields := sampleJob(); fields[key] = value; return fields }
	for _, tc := range []struct {
		name  string
		value any
		valid bool
	}{
		{"sample from the protocol", sampleJob(), true},
		{"float without a fraction for a count", with("pieces", 16.0), true},
		{"optional list omitted", without("rigs"), true},
		{"unknown field", with("extra", []any{1, "x"}), true},
		{"maximum number of tasks", with("pieces", 100_000), true},
		{"missing ID", without("nameId"), false},
		{"invalid ID", with("nameId", "x-1"), false},
		{"ID with a slash", with("nameId", "j-1/end"), false},
		{"no tasks", with("pieces", 0), false},
		{"too many tasks", with("pieces", 100_001), false},
		{"fractional number of tasks", with("pieces", 1.5), false},
		{"negative amount", with("vcpus", -1.0), false},
		{"NaN for an amount", with("ramGb", math.NaN()), false},
		{"infinite amount", with("guessS", math.Inf(1)), false},
		{"string for an amount", with("gpus", "1"), false},
		{"unknown kind", with("shape", "batches"), false},
		{"unknown priority", with("rank", "top"), false},
		{"number for a flag", with("oneZone", 1), false},
		{"list of numbers", with("rigs", []any{1}), false},
		{"duplicate dependencies", with("awaits", []any{"j-1", "j-2", "j-1"}), true},
		{"empty dependencies", with("awaits", []any{}), true},
		{"null dependencies", with("awaits", nil), true},
		{"string for dependencies", with("awaits", "j-1"), false},
		{"number among dependencies", with("awaits", []any{"j-1", 2}), false},
		{"invalid ID among dependencies", with("awaits", []any{"j-1/end"}), false},
		{"negative deadline", with("dueS", -1), false},
		{"not a map", []any{1}, false},
		{"null", nil, false},
	} {
		body, err := Marshal(tc.value)
		if err != nil {
			t.Fatal(err)
		}
		job, err := DecodeJob(body)
		if (err == nil) != tc.valid {
			t.Errorf("%s: %v", tc.name, err)
		}
		if err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error does not wrap ErrMalformed: %v", tc.name, err)
		}
		if tc.name == "duplicate dependencies" && len(job.Dependencies) != 2 {
			t.Errorf("%s: duplicate dependencies are kept: %v", tc.name, job.Dependencies)
		}
		if tc.valid && (job.ID != "j-000412" || job.Kind != Gang || job.CPUs != 8) {
			t.Errorf("%s: decoded as %+v", tc.name, job)
		}
	}
}

func TestHostileBodiesAreRejected(t *testing.T) {
	for name, body := range map[string][]byte{
		"empty":             {},
		"huge array":        {0xdd, 0xff, 0xff, 0xff, 0xff},
		"huge map":          {0xdf, 0xff, 0xff, 0xff, 0xff, 0xa1, 'a'},
		"huge string":       {0xdb, 0xff, 0xff, 0xff, 0xff, 'a'},
		"deep nesting":      bytes.Repeat([]byte{0x91}, 60_000),
		"binary":            {0xc4, 0x01, 0x00},
		"trailing bytes":    append(MustMarshal(sampleJob()), 0xc0),
		"above MaxBody":     []byte(strings.Repeat("x", MaxBody+1)),
		"string body":       MustMarshal("hello"),
		"truncated":         MustMarshal(sampleJob())[:40],
		"number as map key": {0x81, 0x01, 0x02},
	} {
		if _, err := DecodeJob(body); err == nil {
			t.Errorf("%s: DecodeJob accepted it", name)
		}
		if _, err := DecodeHeartbeat(body); err == nil {
			t.Errorf("%s: DecodeHeartbeat accepted it", name)
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
		t.Fatalf("decoded %+v, error %v", decoded, err)
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
			t.Fatalf("accepted invalid job %+v", job)
		}
		if heartbeat, err := DecodeHeartbeat(body); err == nil && (heartbeat.Machine == "" || heartbeat.AgentEpoch == 0) {
			t.Fatalf("accepted invalid heartbeat %+v", heartbeat)
		}
	})
}
