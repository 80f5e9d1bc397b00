package shard

import (
	"fmt"
	"slices"
	"strings"
)

// A division of the machines by shards may leave some work without a place: a job is served
// as a whole, by the leader or in one shard.

// Definition is a shard as far as it decides which work has a place.
type Definition struct {
	Name     string
	Selector Selector
	Teams    []string // whose jobs it takes; empty: those of any team
}

// accepts reports whether the shard takes jobs of a team.
func (p Definition) accepts(team string) bool {
	return len(p.Teams) == 0 || slices.Contains(p.Teams, team)
}

// PossibleOffers lists offers that stand for all that a cloud might have in some zones, as far
// as selectors tell them apart: of the types that they name, and of one that none of them names.
func PossibleOffers(zones []string, parts []Definition) []Attributes {
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

// PlacementWarnings says for which work shards leave no place, of all offers of a cloud and of
// all teams. The warnings on zones and types are about on-demand offers: all work may use them.
func PlacementWarnings(offers []Attributes, parts []Definition, teams []string) []string {
	d := newCoverage(offers, parts)
	if len(offers) == 0 || len(parts) == 0 {
		return nil
	}
	warnings := d.fleetWarnings()
	warnings = append(warnings, d.zoneWarnings()...)
	warnings = append(warnings, d.typeWarnings()...)
	return append(warnings, d.teamWarnings(teams)...)
}

// ownedOffer is an offer with the shard that its machines are in; nil: they are in none.
type ownedOffer struct {
	Attributes
	definition *Definition
}

// coverage are a cloud's offers by shards.
type coverage struct {
	onDemand           []ownedOffer
	leaderHasOffers    bool // an offer is in no shard
	zones              []string
	types              []string // that have a name
	noOwnerHasTwoZones bool     // no side has two zones
	zoneFullyInShards  map[string]bool
}

func newCoverage(offers []Attributes, parts []Definition) *coverage {
	d := &coverage{zoneFullyInShards: map[string]bool{}}
	for _, offer := range offers {
		divided := ownedOffer{Attributes: offer}
		for i := range parts {
			if parts[i].Selector.Matches(offer) {
				divided.definition = &parts[i]
			}
		}
		d.leaderHasOffers = d.leaderHasOffers || divided.definition == nil
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
		d.zoneFullyInShards[zone] = !slices.ContainsFunc(d.onDemand, func(o ownedOffer) bool {
			return o.Zone == zone && o.definition == nil
		})
	}
	d.noOwnerHasTwoZones = len(d.zones) > 1 && maxZonesPerOwner(d.onDemand) < 2
	return d
}

// maxZonesPerOwner is how many zones the side has that has offers in most of them.
func maxZonesPerOwner(offers []ownedOffer) int {
	zonesByOwner := map[string]map[string]bool{}
	most := 0
	for _, offer := range offers {
		owner := offer.owner()
		if zonesByOwner[owner] == nil {
			zonesByOwner[owner] = map[string]bool{}
		}
		zonesByOwner[owner][offer.Zone] = true
		most = max(most, len(zonesByOwner[owner]))
	}
	return most
}

// owner is the name of the offer's shard, "" if it is the leader's.
func (o ownedOffer) owner() string {
	if o.definition == nil {
		return ""
	}
	return o.definition.Name
}

// fleetWarnings are those on the fleet as a whole.
func (d *coverage) fleetWarnings() []string {
	leaderHasOnDemand := slices.ContainsFunc(d.onDemand, func(o ownedOffer) bool { return o.definition == nil })
	switch {
	case !d.leaderHasOffers:
		return []string{"the shares together hold every offer: a job has a place only in one of them as a whole"}
	case !leaderHasOnDemand && len(d.onDemand) > 0:
		return []string{"the shares together hold every on-demand offer: a job that may not use spot machines has a " +
			"place only in one of them as a whole"}
	}
	return nil
}

// zoneWarnings are those on zones that lie in shards while others do not.
func (d *coverage) zoneWarnings() []string {
	var outside []string
	for _, zone := range d.zones {
		if !d.zoneFullyInShards[zone] {
			outside = append(outside, zone)
		}
	}
	result := "has a place only where one side has two zones for it"
	if d.noOwnerHasTwoZones {
		result = "has no place: no side has two zones"
	}
	var warnings []string
	for _, zone := range d.zones {
		if !d.zoneFullyInShards[zone] || len(outside) == 0 {
			continue
		}
		warnings = append(warnings, fmt.Sprintf(
			"zone %s lies in share %s, zone %s outside: a spread service is not split, and %s", zone,
			strings.Join(d.shardsWith(func(o ownedOffer) bool { return o.Zone == zone }), ", "),
			strings.Join(outside, ", "), result,
		))
	}
	if d.noOwnerHasTwoZones && len(warnings) == 0 {
		warnings = append(warnings, "no side has two zones: a spread service is not split, and has no place")
	}
	return warnings
}

// typeWarnings are those on types whose zones lie on several sides.
func (d *coverage) typeWarnings() []string {
	if d.noOwnerHasTwoZones {
		return nil // that is said of all types
	}
	var warnings []string
	for _, typ := range d.types {
		ofType := func(o ownedOffer) bool { return o.Type == typ }
		var offers []ownedOffer
		for _, offer := range d.onDemand {
			if ofType(offer) {
				offers = append(offers, offer)
			}
		}
		if len(d.shardsWith(ofType)) > 0 && len(offers) > 1 && maxZonesPerOwner(offers) < 2 {
			warnings = append(warnings, fmt.Sprintf(
				"no side has two zones with type %s: a spread service that needs the type has no place", typ,
			))
		}
	}
	return warnings
}

// shardsWith lists the shards that hold some of the on-demand offers of a sort.
func (d *coverage) shardsWith(sort func(ownedOffer) bool) []string {
	var names []string
	for _, offer := range d.onDemand {
		if offer.definition != nil && sort(offer) && !slices.Contains(names, offer.definition.Name) {
			names = append(names, offer.definition.Name)
		}
	}
	slices.Sort(names)
	return names
}

// teamWarnings are those on teams that shards do not take jobs of.
func (d *coverage) teamWarnings(teams []string) []string {
	all := func(ownedOffer) bool { return true }
	if closed := d.excludedTeams(teams, all); len(closed) > 0 {
		return []string{teamWarning(closed, "that may not use spot machines", d.shardsWith(all))}
	}
	var warnings []string
	for _, typ := range d.types {
		ofType := func(o ownedOffer) bool { return o.Type == typ }
		if closed := d.excludedTeams(teams, ofType); len(closed) > 0 {
			warnings = append(warnings, teamWarning(closed, "that need type "+typ, d.shardsWith(ofType)))
		}
	}
	for _, zone := range d.zones {
		inZone := func(o ownedOffer) bool { return o.Zone == zone }
		if closed := d.excludedTeams(teams, inZone); len(closed) > 0 {
			warnings = append(warnings, teamWarning(closed, "that are bound to zone "+zone, d.shardsWith(inZone)))
		}
	}
	return warnings
}

// excludedTeams lists the teams to which all on-demand offers of a sort are closed.
func (d *coverage) excludedTeams(teams []string, sort func(ownedOffer) bool) []string {
	var closed []string
	for _, team := range teams {
		if !slices.ContainsFunc(d.onDemand, func(o ownedOffer) bool {
			return sort(o) && (o.definition == nil || o.definition.accepts(team))
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
