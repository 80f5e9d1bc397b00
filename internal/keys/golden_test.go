package keys

import "testing"

// The keys are a stored format: controllers of different releases that run concurrently, and later
// releases, read each other's keys.
func TestRecordKeysAreUnchanged(t *testing.T) {
	for _, c := range []struct{ name, got, want string }{
		{"job spec", JobSpec("j-1"), "job/j-1/spec"},
		{"final state", JobEnd("j-1"), "job/j-1/end"},
		{"dependencies", JobDependencies("j-1", 2), "job/j-1/needs/2"},
		{"legacy chunk", LegacyChunk("j-1", 3), "run/j-1/3"},
		{"compact chunk", CompactChunk("j-1", 4), "run/j-1/c4"},
		{"instance request prefix", InstanceRequestPrefix, "hire/"},
		{"stored format version", Format, "fleet/format"},
		{"node prefix", NodePrefix, "node/"},
		{"speed estimates", Speeds, "fleet/speed"},
		{"first provisioned machine", FirstProvisioned, "fleet/first"},
		{"images", Images, "fleet/images"},
		{"image page", ImagePage(5), "fleet/images/5"},
	} {
		if c.got != c.want {
			t.Errorf("key of %s is %q, want %q", c.name, c.got, c.want)
		}
	}
}
