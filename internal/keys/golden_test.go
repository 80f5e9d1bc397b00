package keys

import "testing"

// Builds that run side by side, and later ones, look for each other's keys under these names.
func TestRecordKeysAreUnchanged(t *testing.T) {
	for _, c := range []struct{ name, got, want string }{
		{"description", JobSpec("j-1"), "job/j-1/spec"},
		{"end", JobEnd("j-1"), "job/j-1/end"},
		{"dependencies", JobDependencies("j-1", 2), "job/j-1/needs/2"},
		{"chunk", LegacyChunk("j-1", 3), "run/j-1/3"},
		{"compact chunk", CompactChunk("j-1", 4), "run/j-1/c4"},
		{"instance requests", InstanceRequestPrefix, "hire/"},
		{"format", Format, "fleet/format"},
		{"nodes", NodePrefix, "node/"},
		{"speeds", Speeds, "fleet/speed"},
		{"first machine", FirstProvisioned, "fleet/first"},
		{"images", Images, "fleet/images"},
		{"page of images", ImagePage(5), "fleet/images/5"},
	} {
		if c.got != c.want {
			t.Errorf("%s: %q, want %q", c.name, c.got, c.want)
		}
	}
}
