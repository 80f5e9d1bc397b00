package shard

import (
	"slices"
	"strings"
	"testing"
)

func TestDivisionWarningsNameTheWorkWithoutAPlace(t *testing.T) {
	const (
		nowhere = "a spread service is not split, and has no place: no side has two zones"
		oneSide = "a spread service is not split, and has a place only where one side has two zones for it"
		parted  = "the shares together hold every offer: a job has a place only in one of them as a whole\n" +
			"no side has two zones: a spread service is not split, and has no place"
		spotLeft = "the shares together hold every on-demand offer: a job that may not use spot machines has a place only " +
			"in one of them as a whole"
		partedType = "no side has two zones with type g: a spread service that needs the type has no place"
		closedType = "jobs of team speech that need type g have no place: share s holds the offers, and takes jobs of " +
			"other teams"
		closedZone = "jobs of team speech that are bound to zone b have no place: share s holds the offers, and takes jobs " +
			"of other teams"
	)
	east, west, gpu := Selector{Zone: "b"}, Selector{Zone: "a"}, Selector{Type: "g"}
	all, vision := []string{"vision", "speech"}, []string{"vision"}
	for name, c := range map[string]struct {
		zones string
		parts []Definition
		want  string
	}{
		"no shard":             {"ab", nil, ""},
		"a type":               {"ab", []Definition{{"s", gpu, nil}}, ""},
		"spot":                 {"ab", []Definition{{"s", Selector{Kind: SpotOnly}, nil}}, ""},
		"one of two zones":     {"ab", []Definition{{"s", east, nil}}, "zone b lies in share s, zone a outside: " + nowhere},
		"one of three zones":   {"abc", []Definition{{"s", east, nil}}, "zone b lies in share s, zone a, c outside: " + oneSide},
		"two zones, two parts": {"ab", []Definition{{"s", east, nil}, {"t", west, nil}}, parted},
		"on-demand machines":   {"ab", []Definition{{"s", Selector{Kind: OnDemandOnly}, nil}}, spotLeft},
		"a type in one zone":   {"ab", []Definition{{"s", Selector{"g", "b", ""}, nil}}, partedType},
		"a type for a team":    {"ab", []Definition{{"s", gpu, vision}}, closedType},
		"a type for all teams": {"ab", []Definition{{"s", gpu, all}}, ""},
		"a zone for a team": {
			"abc",
			[]Definition{{"s", Selector{"", "b", OnDemandOnly}, vision}},
			"zone b lies in share s, zone a, c outside: " + oneSide + "\n" + closedZone,
		},
	} {
		zones := strings.Split(c.zones, "")
		catalog := PossibleOffers(zones, []Definition{{Selector: gpu}, {Selector: Selector{Type: "m"}}})
		catalog = slices.DeleteFunc(catalog, func(a Attributes) bool { return a.Type == "" })
		for _, offers := range [][]Attributes{PossibleOffers(zones, c.parts), catalog} {
			if got := strings.Join(PlacementWarnings(offers, c.parts, all), "\n"); got != c.want {
				t.Errorf("%s: %q, want %q", name, got, c.want)
			}
		}
	}
}
