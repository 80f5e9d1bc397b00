package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCheckWarnsWhenShardsLeaveJobsUnplaceable(t *testing.T) {
	for settingsText, want := range map[string]string{
		"share.s.kind = spot\n":                  "",
		"share.s.zone = west\n":                  "\nwarning: zone west lies in share s, zone east outside: ",
		"share.s.type = g8\nshare.s.teams = t\n": "\nwarning: jobs of team demo that need type g8 have no place: share s",
	} {
		path := filepath.Join(t.TempDir(), "shares.properties")
		if err := os.WriteFile(path, []byte(settingsText), 0o600); err != nil {
			t.Fatal(err)
		}
		command := checkCmd{settings{Config: "../../examples/settings.toml", Feature: []string{path}}}
		got := captureStdout(t, func() error { return command.Run(nil) })
		if !strings.Contains(got, want) || strings.Contains(got, "warning") != (want != "") {
			t.Errorf("%s: check printed\n%s\nwant warning %q", settingsText, got, want)
		}
	}
}
