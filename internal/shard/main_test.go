package shard_test

import (
	"flag"
	"os"
	"testing"
)

// Flags of rapid with which the property tests draw the same cases in each run, unless -rapid.seed or -rapid.checks is
// given.
const (
	defaultSeed   = "20261202"
	defaultChecks = "400"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": defaultSeed, "rapid.checks": defaultChecks,
		"rapid.nofailfile": "true",
	} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
