package keys

import "testing"

// The key formats must not change because other releases read the keys.
func TestKeyFormatsAreUnchanged(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{JobSpec("j-1"), "job/j-1/spec"},
		{JobEnd("j-1"), "job/j-1/end"},
		{JobDependencies("j-1", 12), "job/j-1/needs/12"},
		{CompactChunk("j-1", 3), "run/j-1/c3"},
		{LegacyChunk("j-1", 3), "run/j-1/3"},
		{ImagePage(0), "fleet/images"},
		{ImagePage(7), "fleet/images/7"},
		{Speeds, "fleet/speed"},
		{FirstProvisioned, "fleet/first"},
		{Format, "fleet/format"},
		{InstanceRequest("r-1"), "hire/r-1"},
		{Node("n-0"), "node/n-0"},
	} {
		if c.got != c.want {
			t.Errorf("key is %q, want %q", c.got, c.want)
		}
	}
}

func TestParseJobKey(t *testing.T) {
	for key, want := range map[string]struct {
		job  string
		kind JobKeyKind
		part int
	}{
		"job/j-1/spec":     {"j-1", SpecKey, 0},
		"job/j-1/end":      {"j-1", EndKey, 0},
		"job/j-1/needs/12": {"j-1", DependenciesKey, 12},
		"job/j-1/needs/x":  {"j-1", UnknownJobKey, 0},
		"job/j-1/12":       {"j-1", UnknownJobKey, 0},
		"job/j-1/later":    {"j-1", UnknownJobKey, 0},
		"job/j-1":          {"j-1", UnknownJobKey, 0},
	} {
		if job, kind, part := ParseJobKey(key); job != want.job || kind != want.kind || part != want.part {
			t.Errorf("ParseJobKey(%q) returned job %q, kind %d, part %d", key, job, kind, part)
		}
		if got := IsJobSpec(key); got != (want.kind == SpecKey) {
			t.Errorf("IsJobSpec(%q) returned %v", key, got)
		}
	}
}

func TestParseChunk(t *testing.T) {
	for key, want := range map[string]struct {
		job         string
		index       int
		compact, ok bool
	}{
		"run/j-1/3":  {"j-1", 3, false, true},
		"run/j-1/c3": {"j-1", 3, true, true},
		"run/j-1/cc": {"j-1", 0, true, false},
		"run/j-1/x":  {"j-1", 0, false, false},
		"run/j-1":    {"j-1", 0, false, false},
	} {
		if job, index, compact, ok := ParseChunk(key); job != want.job || index != want.index ||
			compact != want.compact || ok != want.ok {
			t.Errorf("ParseChunk(%q) returned job %q, index %d, compact %v, ok %v", key, job, index, compact, ok)
		}
	}
}

func TestParseImagePage(t *testing.T) {
	for key, want := range map[string]struct {
		page         int
		ok, isImages bool
	}{
		"fleet/images":    {0, true, true},
		"fleet/images/7":  {7, true, true},
		"fleet/images/0":  {0, false, true},
		"fleet/images/x":  {0, false, true},
		"fleet/imagesnot": {0, false, false},
		"fleet/speed":     {0, false, false},
	} {
		if page, ok := ParseImagePage(key); page != want.page || ok != want.ok {
			t.Errorf("ParseImagePage(%q) returned page %d, ok %v", key, page, ok)
		}
		if got := IsImagePage(key); got != want.isImages {
			t.Errorf("IsImagePage(%q) returned %v", key, got)
		}
	}
}
