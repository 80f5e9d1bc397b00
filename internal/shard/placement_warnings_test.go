package shard

import (
	"slices"
	"strings"
	"testing"
)

func TestPlacementWarningsNameWorkThatCannotBePlaced(t *testing.T) {
	const (
		unplaceable = "a spread service is not split, and cannot be placed: neither the leader nor a share has two zones"
		needsTwo    = "a spread service is not split, and needs two zones of the leader or of one share"
		sharesOnly  = "the shares together hold every offer: a job can only be placed as a whole in one of them\n" +
			"neither the leader nor a share has two zones: a spread service is not split, and cannot be placed"
		leaderSpot = "the shares together hold every on-demand offer: a job that may not use spot machines can only be " +
			"placed as a whole in one of them"
		splitType = "neither the leader nor a share has type g in two zones: a spread service that needs it cannot be placed"
		otherType = "jobs of team speech that need type g have no place: share s holds the offers, and accepts only jobs " +
			"of other teams"
		otherZone = "jobs of team speech that are bound to zone b have no place: share s holds the offers, and accepts " +
			"only jobs of other teams"
	)
	zoneB, zoneA, gpu := Selector{Zone: "b"}, Selector{Zone: "a"}, Selector{Type: "g"}
	all, vision := []string{"vision", "speech"}, []string{"vision"}
	for name, c := range map[string]struct {
		zones       string
		definitions []Definition
		want        string
	}{
		"no shard":                   {"ab", nil, ""},
		"shard of a type":            {"ab", []Definition{{"s", gpu, nil}}, ""},
		"shard of the spot machines": {"ab", []Definition{{"s", Selector{Kind: SpotOnly}, nil}}, ""},
		"shard of one of two zones": {
			"ab", []Definition{{"s", zoneB, nil}}, "zone b lies in share s, zone a outside: " + unplaceable,
		},
		"shard of one of three zones": {
			"abc", []Definition{{"s", zoneB, nil}}, "zone b lies in share s, zone a, c outside: " + needsTwo,
		},
		"a shard for each of two zones":   {"ab", []Definition{{"s", zoneB, nil}, {"t", zoneA, nil}}, sharesOnly},
		"shard of the on-demand machines": {"ab", []Definition{{"s", Selector{Kind: OnDemandOnly}, nil}}, leaderSpot},
		"shard of a type in one zone":     {"ab", []Definition{{"s", Selector{"g", "b", ""}, nil}}, splitType},
		"shard of a type for one team":    {"ab", []Definition{{"s", gpu, vision}}, otherType},
		"shard of a type for all teams":   {"ab", []Definition{{"s", gpu, all}}, ""},
		"shard of a zone for one team": {
			"abc",
			[]Definition{{"s", Selector{"", "b", OnDemandOnly}, vision}},
			"zone b lies in share s, zone a, c outside: " + needsTwo + "\n" + otherZone,
		},
	} {
		zones := strings.Split(c.zones, "")
		catalog := PossibleOffers(zones, []Definition{{Selector: gpu}, {Selector: Selector{Type: "m"}}})
		catalog = slices.DeleteFunc(catalog, func(a Attributes) bool { return a.Type == "" })
		for _, offers := range [][]Attributes{PossibleOffers(zones, c.definitions), catalog} {
			if got := strings.Join(PlacementWarnings(offers, c.definitions, all), "\n"); got != c.want {
				t.Errorf("%s: warnings %q, want %q", name, got, c.want)
			}
		}
	}
}
