package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCheckWarnsOfADivisionThatLeavesWorkWithoutAPlace(t *testing.T) {
	for name, c := range map[string]struct {
		shares string
		want   []string
	}{
		"a zone": {
			"share.west.zone = west\n",
			[]string{"warning: zone west lies in share west, zone east outside: a spread service is not split, and has no " +
				"place: no side has two zones"},
		},
		"spot machines": {"share.cheap.kind = spot\n", nil},
		"a type for a team that is not the only one": {
			"share.gpu.type = g8\nshare.gpu.teams = other\n",
			[]string{"warning: jobs of team demo that need type g8 have no place: share gpu holds the offers, and takes jobs " +
				"of other teams"},
		},
	} {
		path := filepath.Join(t.TempDir(), "shares.properties")
		if err := os.WriteFile(path, []byte(c.shares), 0o600); err != nil {
			t.Fatal(err)
		}
		command := checkCmd{settings{Config: "../../examples/settings.toml", Feature: []string{path}}}
		var got []string
		for _, line := range strings.Split(standardOutput(t, func() error { return command.Run(nil) }), "\n") {
			if strings.HasPrefix(line, "warning: ") {
				got = append(got, line)
			}
		}
		if strings.Join(got, "\n") != strings.Join(c.want, "\n") {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}
