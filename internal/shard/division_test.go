package shard

import (
	"slices"
	"testing"
)

// offersOf lists the offers of types in zones, spot and on-demand.
func offersOf(types, zones []string) []Attributes {
	var parts []Part
	for _, typ := range types {
		parts = append(parts, Part{Selector: Selector{Type: typ}})
	}
	return slices.DeleteFunc(PossibleOffers(zones, parts), func(a Attributes) bool { return a.Type == "" })
}

func TestDivisionWarningsNameTheWorkWithoutAPlace(t *testing.T) {
	const spreadNowhere = "a spread service is not split, and has no place: no side has two zones"
	const spreadOnOneSide = "a spread service is not split, and has a place only where one side has two zones for it"
	for name, c := range map[string]struct {
		zones []string
		parts []Part
		want  []string
	}{
		"no shard": {zones: []string{"a", "b"}},
		"a type":   {zones: []string{"a", "b"}, parts: []Part{{Name: "gpu", Selector: Selector{Type: "g"}}}},
		"spot":     {zones: []string{"a", "b"}, parts: []Part{{Name: "cheap", Selector: Selector{Kind: SpotOnly}}}},
		"one of two zones": {
			[]string{"a", "b"},
			[]Part{{Name: "east", Selector: Selector{Zone: "b"}}},
			[]string{"zone b lies in share east, zone a outside: " + spreadNowhere},
		},
		"the on-demand machines of one of three zones": {
			[]string{"a", "b", "c"},
			[]Part{{Name: "east", Selector: Selector{Zone: "b", Kind: OnDemandOnly}}},
			[]string{"zone b lies in share east, zone a, c outside: " + spreadOnOneSide},
		},
		"both zones, in two shards": {
			[]string{"a", "b"},
			[]Part{{Name: "east", Selector: Selector{Zone: "b"}}, {Name: "west", Selector: Selector{Zone: "a"}}},
			[]string{
				"the shares together hold every offer: a job has a place only in one of them as a whole",
				"no side has two zones: a spread service is not split, and has no place",
			},
		},
		"all on-demand machines": {
			[]string{"a", "b"},
			[]Part{{Name: "steady", Selector: Selector{Kind: OnDemandOnly}}},
			[]string{"the shares together hold every on-demand offer: a job that may not use spot machines has a place " +
				"only in one of them as a whole"},
		},
		"a type in one of two zones": {
			[]string{"a", "b"},
			[]Part{{Name: "gpu", Selector: Selector{Type: "g", Zone: "b"}}},
			[]string{"no side has two zones with type g: a spread service that needs the type has no place"},
		},
		"a type, for one team": {
			[]string{"a", "b"},
			[]Part{{Name: "gpu", Selector: Selector{Type: "g"}, Teams: []string{"vision"}}},
			[]string{"jobs of team speech that need type g have no place: share gpu holds the offers, and takes jobs of " +
				"other teams"},
		},
		"a type, for all teams": {
			zones: []string{"a", "b"},
			parts: []Part{{Name: "gpu", Selector: Selector{Type: "g"}, Teams: []string{"vision", "speech"}}},
		},
		"a zone of three, for one team": {
			[]string{"a", "b", "c"},
			[]Part{{Name: "east", Selector: Selector{Zone: "b"}, Teams: []string{"vision"}}},
			[]string{
				"zone b lies in share east, zone a, c outside: " + spreadOnOneSide,
				"jobs of team speech that are bound to zone b have no place: share east holds the offers, and takes jobs of " +
					"other teams",
			},
		},
	} {
		teams := []string{"vision", "speech"}
		if got := DivisionWarnings(PossibleOffers(c.zones, c.parts), c.parts, teams); !slices.Equal(got, c.want) {
			t.Errorf("%s, by selectors: %q, want %q", name, got, c.want)
		}
		if got := DivisionWarnings(offersOf([]string{"m", "g"}, c.zones), c.parts, teams); !slices.Equal(got, c.want) {
			t.Errorf("%s, by the catalog: %q, want %q", name, got, c.want)
		}
	}
}

// Only the catalog shows that a selector of types holds all of a zone.
func TestDivisionWarningsKnowTheCatalogsTypes(t *testing.T) {
	parts := []Part{{Name: "gpu", Selector: Selector{Type: "g"}}}
	offers := append(offersOf([]string{"g"}, []string{"b"}), offersOf([]string{"m"}, []string{"a"})...)
	want := []string{"zone b lies in share gpu, zone a outside: a spread service is not split, and has no place: no side " +
		"has two zones"}
	if got := DivisionWarnings(offers, parts, nil); !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
}
