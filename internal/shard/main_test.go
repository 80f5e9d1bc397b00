package shard_test

import (
	"flag"
	"os"
	"testing"
)

// The property tests draw the same cases each time, unless a run asks for others with
// -rapid.seed and -rapid.checks.
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
