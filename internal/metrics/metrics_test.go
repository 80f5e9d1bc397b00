package metrics

import (
	"bytes"
	"testing"
)

func TestGaugesArePrintedAfterTheCountersUntilTheyAreRemoved(t *testing.T) {
	set := New()
	set.Observe("pass", 7)
	set.Count("refused")
	set.SetGauge("unserved_jobs", 3)
	set.SetGauge("unserved_jobs", 2)
	set.SetGauge("gone", 1)
	set.RemoveGauge("gone")
	var out bytes.Buffer
	set.Write(&out)
	const want = "pass count=1 p50_us=7 p99_us=7 max_us=7\nrefused 1\nunserved_jobs 2\n"
	if out.String() != want {
		t.Errorf("printed %q, want %q", out.String(), want)
	}
}
