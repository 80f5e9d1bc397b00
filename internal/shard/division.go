package shard

import (
	"fmt"
	"slices"
	"strings"
)

// A division of the machines by shards may leave some work without a place: a job is served
// as a whole, by the leader or in one shard.

// Part is a shard as far as it decides which work has a place.
type Part struct {
	Name     string
	Selector Selector
	Teams    []string // whose jobs it takes; empty: those of any team
}

// accepts reports whether the shard takes jobs of a team.
func (p Part) accepts(team string) bool { return len(p.Teams) == 0 || slices.Contains(p.Teams, team) }

// PossibleOffers lists offers that stand for all that a cloud might have in some zones, as far
// as selectors tell them apart: of the types that they name, and of one that none of them names.
func PossibleOffers(zones []string, parts []Part) []Attributes {
	types := []string{""}
	for _, part := range parts {
		if !slices.Contains(types, part.Selector.Type) {
			types = append(types, part.Selector.Type)
		}
	}
	var offers []Attributes
	for _, typ := range types {
		for _, zone := range zones {
			offers = append(offers, Attributes{Type: typ, Zone: zone}, Attributes{Type: typ, Zone: zone, Spot: true})
		}
	}
	return offers
}

// DivisionWarnings says for which work shards leave no place, of all offers of a cloud and of
// all teams. The warnings on zones and types are about on-demand offers: all work may use them.
func DivisionWarnings(offers []Attributes, parts []Part, teams []string) []string {
	d := newDivision(offers, parts)
	if len(offers) == 0 || len(parts) == 0 {
		return nil
	}
	warnings := d.wholeWarnings()
	warnings = append(warnings, d.zoneWarnings()...)
	warnings = append(warnings, d.typeWarnings()...)
	return append(warnings, d.teamWarnings(teams)...)
}

// dividedOffer is an offer with the shard that its machines are in; nil: they are in none.
type dividedOffer struct {
	Attributes
	part *Part
}

// division are a cloud's offers by shards.
type division struct {
	onDemand    []dividedOffer
	leaderHas   bool // an offer is in no shard
	zones       []string
	types       []string // that have a name
	noTwoZones  bool     // no side has two zones
	coveredZone map[string]bool
}

func newDivision(offers []Attributes, parts []Part) *division {
	d := &division{coveredZone: map[string]bool{}}
	for _, offer := range offers {
		divided := dividedOffer{Attributes: offer}
		for i := range parts {
			if parts[i].Selector.Matches(offer) {
				divided.part = &parts[i]
			}
		}
		d.leaderHas = d.leaderHas || divided.part == nil
		if offer.Spot {
			continue
		}
		d.onDemand = append(d.onDemand, divided)
		if !slices.Contains(d.zones, offer.Zone) {
			d.zones = append(d.zones, offer.Zone)
		}
		if offer.Type != "" && !slices.Contains(d.types, offer.Type) {
			d.types = append(d.types, offer.Type)
		}
	}
	slices.Sort(d.zones)
	slices.Sort(d.types)
	for _, zone := range d.zones {
		d.coveredZone[zone] = !slices.ContainsFunc(d.onDemand, func(o dividedOffer) bool {
			return o.Zone == zone && o.part == nil
		})
	}
	d.noTwoZones = len(d.zones) > 1 && mostZones(d.onDemand) < 2
	return d
}

// mostZones is how many zones the side has that has offers in most of them.
func mostZones(offers []dividedOffer) int {
	zonesBySide := map[string]map[string]bool{}
	most := 0
	for _, offer := range offers {
		side := offer.side()
		if zonesBySide[side] == nil {
			zonesBySide[side] = map[string]bool{}
		}
		zonesBySide[side][offer.Zone] = true
		most = max(most, len(zonesBySide[side]))
	}
	return most
}

// side is the name of the offer's shard, "" if it is the leader's.
func (o dividedOffer) side() string {
	if o.part == nil {
		return ""
	}
	return o.part.Name
}

// wholeWarnings are those on the fleet as a whole.
func (d *division) wholeWarnings() []string {
	leaderHasOnDemand := slices.ContainsFunc(d.onDemand, func(o dividedOffer) bool { return o.part == nil })
	switch {
	case !d.leaderHas:
		return []string{"the shares together hold every offer: a job has a place only in one of them as a whole"}
	case !leaderHasOnDemand && len(d.onDemand) > 0:
		return []string{"the shares together hold every on-demand offer: a job that may not use spot machines has a " +
			"place only in one of them as a whole"}
	}
	return nil
}

// zoneWarnings are those on zones that lie in shards while others do not.
func (d *division) zoneWarnings() []string {
	var outside []string
	for _, zone := range d.zones {
		if !d.coveredZone[zone] {
			outside = append(outside, zone)
		}
	}
	result := "has a place only where one side has two zones for it"
	if d.noTwoZones {
		result = "has no place: no side has two zones"
	}
	var warnings []string
	for _, zone := range d.zones {
		if !d.coveredZone[zone] || len(outside) == 0 {
			continue
		}
		warnings = append(warnings, fmt.Sprintf(
			"zone %s lies in share %s, zone %s outside: a spread service is not split, and %s", zone,
			strings.Join(d.sidesOf(func(o dividedOffer) bool { return o.Zone == zone }), ", "),
			strings.Join(outside, ", "), result,
		))
	}
	if d.noTwoZones && len(warnings) == 0 {
		warnings = append(warnings, "no side has two zones: a spread service is not split, and has no place")
	}
	return warnings
}

// typeWarnings are those on types whose zones lie on several sides.
func (d *division) typeWarnings() []string {
	if d.noTwoZones {
		return nil // that is said of all types
	}
	var warnings []string
	for _, typ := range d.types {
		ofType := func(o dividedOffer) bool { return o.Type == typ }
		var offers []dividedOffer
		for _, offer := range d.onDemand {
			if ofType(offer) {
				offers = append(offers, offer)
			}
		}
		if len(d.sidesOf(ofType)) > 0 && len(offers) > 1 && mostZones(offers) < 2 {
			warnings = append(warnings, fmt.Sprintf(
				"no side has two zones with type %s: a spread service that needs the type has no place", typ,
			))
		}
	}
	return warnings
}

// sidesOf lists the shards that hold some of the on-demand offers of a sort.
func (d *division) sidesOf(sort func(dividedOffer) bool) []string {
	var names []string
	for _, offer := range d.onDemand {
		if offer.part != nil && sort(offer) && !slices.Contains(names, offer.part.Name) {
			names = append(names, offer.part.Name)
		}
	}
	slices.Sort(names)
	return names
}

// teamWarnings are those on teams that shards do not take jobs of.
func (d *division) teamWarnings(teams []string) []string {
	all := func(dividedOffer) bool { return true }
	if closed := d.teamsWithout(teams, all); len(closed) > 0 {
		return []string{teamWarning(closed, "that may not use spot machines", d.sidesOf(all))}
	}
	var warnings []string
	for _, typ := range d.types {
		ofType := func(o dividedOffer) bool { return o.Type == typ }
		if closed := d.teamsWithout(teams, ofType); len(closed) > 0 {
			warnings = append(warnings, teamWarning(closed, "that need type "+typ, d.sidesOf(ofType)))
		}
	}
	for _, zone := range d.zones {
		inZone := func(o dividedOffer) bool { return o.Zone == zone }
		if closed := d.teamsWithout(teams, inZone); len(closed) > 0 {
			warnings = append(warnings, teamWarning(closed, "that are bound to zone "+zone, d.sidesOf(inZone)))
		}
	}
	return warnings
}

// teamsWithout lists the teams to which all on-demand offers of a sort are closed.
func (d *division) teamsWithout(teams []string, sort func(dividedOffer) bool) []string {
	var closed []string
	for _, team := range teams {
		if !slices.ContainsFunc(d.onDemand, func(o dividedOffer) bool {
			return sort(o) && (o.part == nil || o.part.accepts(team))
		}) {
			closed = append(closed, team)
		}
	}
	return closed
}

func teamWarning(teams []string, work string, parts []string) string {
	return fmt.Sprintf(
		"jobs of team %s %s have no place: share %s holds the offers, and takes jobs of other teams",
		strings.Join(teams, ", "), work, strings.Join(parts, ", "),
	)
}
