package peer

import "testing"

// Nodes of different releases call each other by these paths, so they must not change.
func TestCallsKeepTheirPaths(t *testing.T) {
	for _, c := range []struct{ name, got, want string }{
		{"show", Status, "/peer/show"},
		{"show several", StatusBatch, "/peer/shows"},
		{"withdraw", Cancel, "/peer/withdraw"},
		{"submit", Submit, "/peer/submit"},
		{"read", StoredStatus, "/peer/read"},
		{"notify", JobAccepted, "/peer/notify"},
		{"ping", Ping, "/peer/ping"},
		{"exist", AcceptedJobs, "/peer/exist"},
		{"accepted", AcceptedJobsBudgeted, "/peer/accepted"},
		{"announce", AnnounceVersion, "/peer/announce"},
		{"keep", LeaseProxy, "/peer/keep"},
		{"fenced", LeaseProxyFenced, "/peer/fenced"},
		{"share", ShardOwner, "/peer/share"},
		{"admin", ShardAdmin, "/peer/admin"},
		{"referral", Referral, "/peer/referral"},
		{"metrics", Metrics, "/metrics"},
	} {
		if c.got != c.want {
			t.Errorf("%s: path %q, want %q", c.name, c.got, c.want)
		}
	}
}
