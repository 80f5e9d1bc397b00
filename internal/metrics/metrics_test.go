package metrics

import (
	"bytes"
	"testing"
)

func TestGaugesArePrintedUntilRemoved(t *testing.T) {
	set := New()
	set.Count("refused")
	set.SetGauge("unserved_jobs", 2)
	set.SetGauge("gone", 1)
	set.RemoveGauge("gone")
	var out bytes.Buffer
	if set.Write(&out); out.String() != "refused 1\nunserved_jobs 2\n" {
		t.Errorf("printed %q", out.String())
	}
}
