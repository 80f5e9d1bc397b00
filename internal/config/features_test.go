package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
)

func loadFeatureText(t *testing.T, text string) (Features, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "shares.properties")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadFeatures([]string{path}, "n-0", []Peer{{Node: "n-1"}})
}

func TestLoadFeaturesReadsShards(t *testing.T) {
	features, err := loadFeatureText(t, `
share.gpu.type = g8
share.gpu.kind = ordinary
share.gpu.teams = a, b
share.gpu.owner = n-1
share.cheap.kind = spot
policy.2-back.share = gpu
policy.2-back.owner = n-0
policy.2-back.when = true
policy.1-morning.share = gpu
policy.1-morning.owner = n-1
policy.1-morning.when = hour >= 5 and guaranteed["a"] > 0
shares.move.least.s = 90
shares.move.machines = 100
`)
	if err != nil {
		t.Fatal(err)
	}
	shards := features.Shards
	if len(shards.Declared) != 2 || shards.Declared[1].Name != "gpu" || shards.Declared[1].Owner != "n-1" ||
		len(shards.Declared[1].Teams) != 2 {
		t.Errorf("declared shards %+v", shards.Declared)
	}
	if len(shards.Policies) != 2 || shards.Policies[0].Name != "1-morning" || shards.MinMoveInterval != 90*micro.Second ||
		shards.MaxMachinesMoving != 100 ||
		shards.Dissolve {
		t.Errorf("shard settings %+v", shards)
	}
}

// Each error is one line with the file, the key and the reason.
func TestInvalidShardSettingsReportFileKeyAndReason(t *testing.T) {
	for text, want := range map[string]string{
		"shares.unknown = 1":                                       `key "shares.unknown": is unknown`,
		"share.gpu.colour = red":                                   `key "share.gpu.colour": is unknown`,
		"share.GPU.type = g8":                                      "lower-case letters",
		"fleet.gpu = g8":                                           "is unknown",
		"share.gpu.kind = spott":                                   "not spot or ordinary",
		"share.gpu.owner = n-9":                                    "not a controller in the settings",
		"share.gpu.teams = a":                                      "selects all machines",
		"shares.move.least.s = 0":                                  "not a number from 1",
		"shares.move.machines = many":                              "not a whole number",
		"shares.dissolve = perhaps":                                "not true or false",
		"policy.p.owner = n-0":                                     "is no share in this file",
		"share.g.type=x\npolicy.p.share = g":                       `key "policy.p.owner": is missing`,
		"policy.p.when = hour > ":                                  "line 1, column",
		"policy.p.when = hours > 3":                                "unknown name hours",
		"policy.p.when = hour":                                     "bool",
		"share.g.type=x\npolicy.p.share = g\npolicy.p.owner = n-0": `key "policy.p.when": is missing`,
		"share.a.type=x\nshare.b.zone=z":                           "another share selects",
	} {
		_, err := loadFeatureText(t, text)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") ||
			!strings.Contains(err.Error(), "shares.properties") {
			t.Errorf("%q: got error %v, want one line with %q", text, err, want)
		}
	}
	if _, err := LoadFeatures([]string{"/nowhere/unknown.properties"}, "n-0", nil); err == nil ||
		!strings.Contains(err.Error(), `unknown feature "unknown"`) {
		t.Errorf("unknown feature: error %v", err)
	}
	if _, err := LoadFeatures([]string{"/nowhere/shares.properties"}, "n-0", nil); err == nil {
		t.Error("no error for a missing file")
	}
	if features, err := LoadFeatures(nil, "n-0", nil); err != nil || features.Shards != nil {
		t.Errorf("without files: features %+v, error %v", features, err)
	}
}

// The deployed settings file is valid and declares no shard.
func TestDeployedShardsFileIsValid(t *testing.T) {
	features, err := LoadFeatures([]string{filepath.Join("..", "..", "deploy", "shares.properties")}, "n-0", nil)
	if err != nil || features.Shards == nil || len(features.Shards.Declared) > 0 || features.Shards.Dissolve {
		t.Errorf("shard settings %+v, error %v", features.Shards, err)
	}
}
