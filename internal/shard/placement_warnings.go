package shard

import (
	"fmt"
	"slices"
	"strings"
)

// Dividing the machines into shards can leave some work that cannot be placed anywhere: a job is served as a whole, by
// the leader or in one shard. This file finds such work.

// Definition is the part of a shard's settings that decides which work can be placed in it.
type Definition struct {
	Name     string
	Selector Selector
	Teams    []string // teams whose jobs it accepts; empty: any team
}

// accepts reports whether the shard accepts jobs of a team.
func (d Definition) accepts(team string) bool {
	return len(d.Teams) == 0 || slices.Contains(d.Teams, team)
}

// PossibleOffers returns offers that represent all that a cloud might have in the zones, as far as the shards'
// selectors distinguish them: in each zone an on-demand and a spot offer of each type that a selector names, and of
// one type, "", that none of them names.
func PossibleOffers(zones []string, definitions []Definition) []Attributes {
	types := []string{""}
	for _, definition := range definitions {
		if !slices.Contains(types, definition.Selector.Type) {
			types = append(types, definition.Selector.Type)
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

// PlacementWarnings returns a warning for each kind of work that cannot be placed because of the shards, given all
// offers of a cloud and all teams. The warnings about zones, types and teams consider on-demand offers only, which all
// work may use.
func PlacementWarnings(offers []Attributes, definitions []Definition, teams []string) []string {
	c := newCoverage(offers, definitions)
	if len(offers) == 0 || len(definitions) == 0 {
		return nil
	}
	warnings := c.fleetWarnings()
	warnings = append(warnings, c.zoneWarnings()...)
	warnings = append(warnings, c.typeWarnings()...)
	return append(warnings, c.teamWarnings(teams)...)
}

// ownedOffer is an offer with the definition of the shard that its machines are in; nil: they are the leader's.
type ownedOffer struct {
	Attributes
	definition *Definition
}

// coverage describes which offers of a cloud the leader and the shards have.
type coverage struct {
	onDemand           []ownedOffer
	leaderHasOffers    bool            // some offer, on-demand or spot, is in no shard
	zones              []string        // of the on-demand offers, sorted
	types              []string        // of the on-demand offers, sorted, without ""
	noOwnerHasTwoZones bool            // there are several zones, but neither the leader nor a shard has two
	zoneFullyInShards  map[string]bool // by zone: each of its on-demand offers is in a shard
}

func newCoverage(offers []Attributes, definitions []Definition) *coverage {
	c := &coverage{zoneFullyInShards: map[string]bool{}}
	for _, offer := range offers {
		owned := ownedOffer{Attributes: offer}
		for i := range definitions {
			if definitions[i].Selector.Matches(offer) {
				owned.definition = &definitions[i]
			}
		}
		c.leaderHasOffers = c.leaderHasOffers || owned.definition == nil
		if offer.Spot {
			continue
		}
		c.onDemand = append(c.onDemand, owned)
		if !slices.Contains(c.zones, offer.Zone) {
			c.zones = append(c.zones, offer.Zone)
		}
		if offer.Type != "" && !slices.Contains(c.types, offer.Type) {
			c.types = append(c.types, offer.Type)
		}
	}
	slices.Sort(c.zones)
	slices.Sort(c.types)
	for _, zone := range c.zones {
		c.zoneFullyInShards[zone] = !slices.ContainsFunc(c.onDemand, func(o ownedOffer) bool {
			return o.Zone == zone && o.definition == nil
		})
	}
	c.noOwnerHasTwoZones = len(c.zones) > 1 && maxZonesPerOwner(c.onDemand) < 2
	return c
}

// maxZonesPerOwner returns the largest number of zones in which a single owner has some of the offers.
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

// owner returns the name of the offer's shard, or "" for the leader.
func (o ownedOffer) owner() string {
	if o.definition == nil {
		return ""
	}
	return o.definition.Name
}

// fleetWarnings returns the warnings about the fleet as a whole.
func (c *coverage) fleetWarnings() []string {
	leaderHasOnDemand := slices.ContainsFunc(c.onDemand, func(o ownedOffer) bool { return o.definition == nil })
	switch {
	case !c.leaderHasOffers:
		return []string{"the shares together hold every offer: a job can only be placed as a whole in one of them"}
	case !leaderHasOnDemand && len(c.onDemand) > 0:
		return []string{"the shares together hold every on-demand offer: a job that may not use spot machines can " +
			"only be placed as a whole in one of them"}
	}
	return nil
}

// zoneWarnings returns the warnings about zones that are fully in shards while others are not.
func (c *coverage) zoneWarnings() []string {
	var outside []string
	for _, zone := range c.zones {
		if !c.zoneFullyInShards[zone] {
			outside = append(outside, zone)
		}
	}
	result := "needs two zones of the leader or of one share"
	if c.noOwnerHasTwoZones {
		result = "cannot be placed: neither the leader nor a share has two zones"
	}
	var warnings []string
	for _, zone := range c.zones {
		if !c.zoneFullyInShards[zone] || len(outside) == 0 {
			continue
		}
		warnings = append(warnings, fmt.Sprintf(
			"zone %s lies in share %s, zone %s outside: a spread service is not split, and %s", zone,
			strings.Join(c.shardsWith(func(o ownedOffer) bool { return o.Zone == zone }), ", "),
			strings.Join(outside, ", "), result,
		))
	}
	if c.noOwnerHasTwoZones && len(warnings) == 0 {
		warnings = append(
			warnings, "neither the leader nor a share has two zones: a spread service is not split, and cannot be placed",
		)
	}
	return warnings
}

// typeWarnings returns the warnings about types whose zones are divided among owners, so that no owner has two of them.
func (c *coverage) typeWarnings() []string {
	if c.noOwnerHasTwoZones {
		return nil // the warnings about zones say so for all types
	}
	var warnings []string
	for _, typ := range c.types {
		ofType := func(o ownedOffer) bool { return o.Type == typ }
		var offers []ownedOffer
		for _, offer := range c.onDemand {
			if ofType(offer) {
				offers = append(offers, offer)
			}
		}
		if len(c.shardsWith(ofType)) > 0 && len(offers) > 1 && maxZonesPerOwner(offers) < 2 {
			warnings = append(warnings, fmt.Sprintf(
				"neither the leader nor a share has type %s in two zones: a spread service that needs it cannot be placed", typ,
			))
		}
	}
	return warnings
}

// shardsWith returns the sorted names of the shards that have some of the matching on-demand offers.
func (c *coverage) shardsWith(matches func(ownedOffer) bool) []string {
	var names []string
	for _, offer := range c.onDemand {
		if offer.definition != nil && matches(offer) && !slices.Contains(names, offer.definition.Name) {
			names = append(names, offer.definition.Name)
		}
	}
	slices.Sort(names)
	return names
}

// teamWarnings returns the warnings about teams whose jobs the shards do not accept.
func (c *coverage) teamWarnings(teams []string) []string {
	all := func(ownedOffer) bool { return true }
	if excluded := c.excludedTeams(teams, all); len(excluded) > 0 {
		return []string{teamWarning(excluded, "that may not use spot machines", c.shardsWith(all))}
	}
	var warnings []string
	for _, typ := range c.types {
		ofType := func(o ownedOffer) bool { return o.Type == typ }
		if excluded := c.excludedTeams(teams, ofType); len(excluded) > 0 {
			warnings = append(warnings, teamWarning(excluded, "that need type "+typ, c.shardsWith(ofType)))
		}
	}
	for _, zone := range c.zones {
		inZone := func(o ownedOffer) bool { return o.Zone == zone }
		if excluded := c.excludedTeams(teams, inZone); len(excluded) > 0 {
			warnings = append(warnings, teamWarning(excluded, "that are bound to zone "+zone, c.shardsWith(inZone)))
		}
	}
	return warnings
}

// excludedTeams returns the teams that may use none of the matching on-demand offers.
func (c *coverage) excludedTeams(teams []string, matches func(ownedOffer) bool) []string {
	var excluded []string
	for _, team := range teams {
		if !slices.ContainsFunc(c.onDemand, func(o ownedOffer) bool {
			return matches(o) && (o.definition == nil || o.definition.accepts(team))
		}) {
			excluded = append(excluded, team)
		}
	}
	return excluded
}

// teamWarning returns the warning that work of the teams cannot be placed because of the shards.
func teamWarning(teams []string, work string, shards []string) string {
	return fmt.Sprintf(
		"jobs of team %s %s have no place: share %s holds the offers, and accepts only jobs of other teams",
		strings.Join(teams, ", "), work, strings.Join(shards, ", "),
	)
}
