package metrics

import (
	"bytes"
	"testing"
)

func TestGaugesArePrintedUntilRemoved(t *testing.T) {
	set := New()
	set.Count("refused")
	set.SetGauge("unserved_jobs", 2)
	set.SetGauge("removed", 1)
	set.RemoveGauge("removed")
	var out bytes.Buffer
	if set.Write(&out); out.String() != "refused 1\nunserved_jobs 2\n" {
		t.Errorf("wrote %q", out.String())
	}
}
