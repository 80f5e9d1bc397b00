package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
)

const settings = `
node = "n-0"
area = "a"
public_addr = "127.0.0.1:8080"
peer_listen = "127.0.0.1:8081"
later = "ignored"
[[known]]
node = "n-1"
area = "b"
addr = "127.0.0.2:8081"
[external]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[facts]
nodes = 2
zones = ["a", "b"]
clock_off_ms = 5.0
[[facts.teams]]
name = "t"
cpus = 0.0
cpus_max = 0.0
gpus = 8.0
gpus_max = 16.0
[facts.workers]
report_s = 3.0
lease_s = 30.0
gang_wait_s = 40.0
gang_peer_s = 8.0
cancel_s = 50.0
[facts.state]
rps = 100.0
write_rps = 30.0
value_kb = 16.0
txn_ops = 24
[facts.cloud]
rps = 4.0
list_lag_s = 6.0
[facts.quota]
core_share = 0.2
ram_mb = 300.0
max_sockets = 1000
`

func loadConfig(t *testing.T, toml, props string) (*Config, error) {
	t.Helper()
	dir := t.TempDir()
	settingsPath, propertiesPath := filepath.Join(dir, "s.toml"), filepath.Join(dir, "p.properties")
	if err := os.WriteFile(settingsPath, []byte(toml), 0o600); err != nil {
		t.Fatal(err)
	}
	if props == "" {
		return Load(settingsPath, "")
	}
	if err := os.WriteFile(propertiesPath, []byte(props), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(settingsPath, propertiesPath)
}

func TestLoadReadsSettingsAndProperties(t *testing.T) {
	c, err := loadConfig(t, settings, "# comment\nmachine.silent.s = 12\nscore.l1: 70\n")
	if err != nil {
		t.Fatal(err)
	}
	if c.SuspectAfter != 12*micro.Second || c.ScoreL1 != 70 || c.ScoreL2 != 30 || c.Team("t").GPUsMax != 16 ||
		c.Peers[0].Addr != "127.0.0.2:8081" {
		t.Fatalf("loaded %+v", c)
	}
}

func TestInvalidSettingsReportFileKeyAndReasonOnOneLine(t *testing.T) {
	for _, tc := range []struct{ toml, props, want string }{
		{strings.Replace(settings, `node = "n-0"`, "", 1), "", `"node"`},
		{strings.Replace(settings, "txn_ops = 24", "txn_ops = 0", 1), "", `"facts.state.txn_ops"`},
		{strings.Replace(settings, "lease_s = 30.0", `lease_s = "x"`, 1), "", `lease_s`},
		{strings.Replace(settings, `cloud = "127.0.0.1:1"`, `cloud = "here"`, 1), "", `"external.cloud"`},
		{settings, "machine.silent.s = soon\n", `"machine.silent.s"`},
		{settings, "machine.silent.s = 1\n", `must be 0 or at least 3`},
		{settings, "machine.unknown.s = 1\n", `"machine.unknown.s": is unknown`},
		{settings, "leader.renew.s = 3\n", `"leader.renew.s"`},
		{settings, "score.l2 = 80\n", `"score.l2"`},
	} {
		_, err := loadConfig(t, tc.toml, tc.props)
		if err == nil || !strings.Contains(err.Error(), tc.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got error %v, want one line with %s", err, tc.want)
		}
		if err != nil && !strings.Contains(err.Error(), ".toml") && !strings.Contains(err.Error(), ".properties") {
			t.Errorf("error does not name the file: %v", err)
		}
	}
}

// With a lease of 30 s an agent's lease expires after 31.06 s at the latest; 3 s are slack.
func TestSettingsThatExceedCancelTimeoutAreRejected(t *testing.T) {
	withWorkers := func(lease, cancel string) string {
		return strings.NewReplacer("lease_s = 30.0", "lease_s = "+lease, "cancel_s = 50.0", "cancel_s = "+cancel).Replace(
			settings,
		)
	}
	for _, tc := range []struct {
		lease, cancel, props string
		prove                bool
		want                 string
	}{
		{"30.0", "50.0", "", false, ""},
		{"36.0", "66.0", "", false, ""},
		{"30.0", "50.0", "leader.lease.s = 15.9\n", false, ""},
		{"30.0", "50.0", "leader.lease.s = 16\n", false, `.properties: key "leader.lease.s": must be at most 15.94: `},
		{"30.0", "50.0", "leader.lease.s = 60\n", false, `.properties: key "leader.lease.s": must be at most 15.94: `},
		{"30.0", "100.0", "leader.lease.s = 60\n", false, ""},
		// The cancel timeout is too short for the leases to expire, but can be met: cancellations are
		// confirmed once the tasks have provably ended.
		{"30.0", "37.5", "", true, ""},
		{"30.0", "5.0", "leader.lease.s = 60\n", true, ""},
		{"55.0", "20.0", "", true, ""},
		// The proof may come after users have stopped retrying.
		{"60.0", "50.0", "", false, `.toml: key "facts.workers.cancel_s": must be at least 67.62: `},
		{"60.0", "67.7", "", false, ""},
	} {
		cfg, err := loadConfig(t, withWorkers(tc.lease, tc.cancel), tc.props)
		switch {
		case tc.want == "" && err != nil:
			t.Errorf("lease %s, cancel %s, %q: %v", tc.lease, tc.cancel, tc.props, err)
		case tc.want == "" && cfg.MustProveTermination() != tc.prove:
			t.Errorf("lease %s, cancel %s, %q: MustProveTermination = %v", tc.lease, tc.cancel, tc.props, !tc.prove)
		case tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want) || strings.Contains(err.Error(), "\n")):
			t.Errorf("lease %s, cancel %s, %q: want error %s, got: %v", tc.lease, tc.cancel, tc.props, tc.want, err)
		}
	}
}

func TestLowerOfCurrentAndNextLimitsApplies(t *testing.T) {
	cfg, err := loadConfig(t, settings, "")
	if err != nil {
		t.Fatal(err)
	}
	if current, safe := cfg.MaxValueBytes(); current != 16<<10 || safe != current || cfg.MaxTxnOps() != 24 ||
		cfg.NextWriteRPS() != 30 {
		t.Errorf("no next limits: %d, %d bytes, %d changes, %v writes/s", current, safe, cfg.MaxTxnOps(), cfg.NextWriteRPS())
	}
	withNext := strings.Replace(
		settings, "txn_ops = 24\n", "txn_ops = 24\n[facts.state.next]\nwrite_rps = 21.0\nvalue_kb = 2.0\ntxn_ops = 8\n", 1,
	)
	if cfg, err = loadConfig(t, withNext, ""); err != nil {
		t.Fatal(err)
	}
	if current, safe := cfg.MaxValueBytes(); current != 16<<10 || safe != 2<<10 || cfg.MaxTxnOps() != 8 ||
		cfg.NextWriteRPS() != 21 {
		t.Errorf("next limits: %d and %d bytes, %d changes, %v writes/s", current, safe, cfg.MaxTxnOps(), cfg.NextWriteRPS())
	}
	if _, err = loadConfig(t, strings.Replace(withNext, "value_kb = 2.0", "value_kb = -2.0", 1), ""); err == nil ||
		!strings.Contains(err.Error(), "facts.state.next.value_kb") {
		t.Errorf("negative next limit: error %v", err)
	}
}
