package coordinator

import (
	"fmt"
	"slices"
	"strings"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/shard"
)

// All tasks of a job are served by one owner: the leader, on machines outside of all shards, or the
// owner of one shard. The owners that can serve a job follow from the offers in the cloud's catalog,
// not from the machines that currently exist.

// DividedCatalog is the cloud's catalog, with each offer attributed to the shard that machines of that
// offer belong to.
type DividedCatalog struct {
	offers []catalogOffer
	shards []shard.Entry // in the order of their names

	handoverSupported bool // started jobs may be assigned to shards, see cluster.State.HandoverSupported
}

// catalogOffer is a machine type in one zone, either spot or on-demand.
type catalogOffer struct {
	machineType *cluster.MachineType
	zone        string
	spot        bool
	shard       int // index in DividedCatalog.shards, or noShard
}

// noShard is the shard index of offers whose machines belong to the leader.
const noShard = -1

// DivideCatalog attributes the offers of all types to the shards of a table. handoverSupported reports
// whether all controllers support handover, so that started jobs may be assigned to shards.
func DivideCatalog(types []*cluster.MachineType, table shard.Snapshot, handoverSupported bool) *DividedCatalog {
	catalog := &DividedCatalog{handoverSupported: handoverSupported}
	table.Each(func(entry shard.Entry) bool {
		catalog.shards = append(catalog.shards, entry)
		return true
	})
	for _, machineType := range types {
		for _, attributes := range typeOffers(machineType) {
			selects := func(entry shard.Entry) bool { return entry.Record.Selector.Matches(attributes) }
			catalog.offers = append(catalog.offers, catalogOffer{
				machineType: machineType, zone: attributes.Zone, spot: attributes.Spot,
				shard: slices.IndexFunc(catalog.shards, selects),
			})
		}
	}
	return catalog
}

// EligibleOwners describes the owners that can serve a job.
type EligibleOwners struct {
	LeaderOffers int            // number of the leader's offers that the job may use
	ShardOffers  map[string]int // number of offers that the job may use, by shard; none if 0
	ServedBy     []string       // owners that can serve the whole job: "the leader" or "shard NAME"
	Reason       string         // why no owner can; "" if one can
}

// String lists the owners that can serve the job, or gives the reason why none can.
func (s EligibleOwners) String() string {
	if len(s.ServedBy) == 0 {
		return "none: " + s.Reason
	}
	return strings.Join(s.ServedBy, ", ")
}

// EligibleOwnersOf returns the owners that can serve a job. An owner needs an offer that the job may
// use, or for a spread service such offers in two zones; a shard's owner can also only serve jobs that
// may be assigned to the shard.
func (c *DividedCatalog) EligibleOwnersOf(job *cluster.Job) EligibleOwners {
	usable := c.usableOffersOf(job)
	eligible := EligibleOwners{LeaderOffers: usable.leader.offerCount, ShardOffers: map[string]int{}}
	if usable.leader.suffice(job) {
		eligible.ServedBy = append(eligible.ServedBy, leaderName)
	}
	var refusals []string
	for i, entry := range c.shards {
		if usable.shards[i].offerCount == 0 {
			continue
		}
		eligible.ShardOffers[entry.Name] = usable.shards[i].offerCount
		if refusal := c.refusalReason(job, entry, &usable.shards[i]); refusal != "" {
			refusals = append(refusals, refusal)
		} else {
			eligible.ServedBy = append(eligible.ServedBy, "shard "+entry.Name)
		}
	}
	if len(eligible.ServedBy) == 0 {
		eligible.Reason = c.unservedReason(job, usable, refusals)
	}
	return eligible
}

// leaderName denotes the leader in EligibleOwners.ServedBy.
const leaderName = "the leader"

// usableOffersByOwner holds the offers that a job may use, by owner.
type usableOffersByOwner struct {
	leader usableOffers
	shards []usableOffers // in the order of DividedCatalog.shards
}

// usableOffers summarizes the offers of one owner that a job may use.
type usableOffers struct {
	offerCount int
	zones      []string
}

// Served reports whether any owner can serve a job. It stops at the first offer that shows it.
func (c *DividedCatalog) Served(job *cluster.Job) bool {
	usable := &usableOffersByOwner{shards: make([]usableOffers, len(c.shards))}
	for i := range c.offers {
		offer := &c.offers[i]
		ownerOffers := usable.add(job, offer)
		if ownerOffers == nil || !ownerOffers.suffice(job) {
			continue
		}
		if offer.shard == noShard || acceptsTeam(c.shards[offer.shard], job.Spec.Team) && c.mayBeAssigned(job) {
			return true
		}
	}
	return false
}

func (c *DividedCatalog) usableOffersOf(job *cluster.Job) *usableOffersByOwner {
	usable := &usableOffersByOwner{shards: make([]usableOffers, len(c.shards))}
	for i := range c.offers {
		usable.add(job, &c.offers[i])
	}
	return usable
}

// add counts an offer and returns the offers of its owner so far; nil if the job may not use the offer.
func (s *usableOffersByOwner) add(job *cluster.Job, offer *catalogOffer) *usableOffers {
	if !scheduler.Allowed(&job.Spec, offer.machineType, offer.zone, offer.spot) {
		return nil
	}
	offers := &s.leader
	if offer.shard != noShard {
		offers = &s.shards[offer.shard]
	}
	offers.offerCount++
	if !slices.Contains(offers.zones, offer.zone) {
		offers.zones = append(offers.zones, offer.zone)
	}
	return offers
}

// suffice reports whether the offers are in enough zones for all tasks of a job together.
func (s *usableOffers) suffice(job *cluster.Job) bool { return len(s.zones) >= zonesNeeded(job) }

// zonesNeeded returns the number of zones in which a job needs offers: two for a spread service of
// several tasks, of which at most half, rounded up, may run in one zone.
func zonesNeeded(job *cluster.Job) int {
	if job.Spec.Spread && len(job.Tasks) > 1 {
		return 2
	}
	return 1
}

// leaderServes reports whether the leader's offers suffice for all tasks of a job together.
func (c *DividedCatalog) leaderServes(job *cluster.Job) bool {
	return c.usableOffersOf(job).leader.suffice(job)
}

// mayBeAssigned reports whether a pending job may be assigned to any shard: it has no allocation, and
// either never had one or all controllers support handover.
func (c *DividedCatalog) mayBeAssigned(job *cluster.Job) bool {
	return job.AllocationCount == 0 && (c.handoverSupported || job.NeverAllocated())
}

// refusalReason returns the reason why a shard with offers for a job cannot serve it; "" if it can.
func (c *DividedCatalog) refusalReason(job *cluster.Job, entry shard.Entry, offers *usableOffers) string {
	switch {
	case !acceptsTeam(entry, job.Spec.Team):
		return fmt.Sprintf("shard %s takes jobs of team %s only", entry.Name, strings.Join(entry.Record.Teams, ", "))
	case !offers.suffice(job):
		return fmt.Sprintf("shard %s holds zone %s only", entry.Name, strings.Join(offers.zones, ", "))
	case job.AllocationCount > 0:
		return fmt.Sprintf("it has allocations at the leader, and goes to shard %s as a whole", entry.Name)
	case !c.mayBeAssigned(job):
		return fmt.Sprintf(
			"a task of it had an allocation, and not all controllers could go on with it in shard %s", entry.Name,
		)
	}
	return ""
}

// unservedReason returns the reason why no owner can serve a job. refusals holds the reason of each
// shard with offers for it.
func (c *DividedCatalog) unservedReason(job *cluster.Job, usable *usableOffersByOwner, refusals []string) string {
	names, zonesByShard := c.describeShardOffers(usable)
	zones, maxZones := usable.zones()
	switch {
	case len(zones) == 0:
		return "the cloud has no offer for it"
	case len(zones) < zonesNeeded(job):
		return fmt.Sprintf("only zone %s has offers for it, and a spread service needs two", zones[0])
	case maxZones < zonesNeeded(job) && usable.leader.offerCount == 0:
		return fmt.Sprintf("zones in several shards: %s; a spread service is not split", zonesByShard)
	case maxZones < zonesNeeded(job):
		return fmt.Sprintf("zones on both sides: %s; a spread service is not split", zonesByShard)
	case usable.leader.offerCount == 0:
		return fmt.Sprintf("only shard %s has offers for it: %s", names, strings.Join(refusals, ", "))
	}
	return fmt.Sprintf(
		"the leader has offers in zone %s only: %s", strings.Join(usable.leader.zones, ", "), strings.Join(refusals, ", "),
	)
}

// describeShardOffers lists the names of the shards that have offers for a job, and for each shard the
// zones of these offers.
func (c *DividedCatalog) describeShardOffers(usable *usableOffersByOwner) (names, zonesByShard string) {
	var shardNames, descriptions []string
	for i, entry := range c.shards {
		if offers := usable.shards[i]; offers.offerCount > 0 {
			shardNames = append(shardNames, entry.Name)
			descriptions = append(
				descriptions, fmt.Sprintf("shard %s holds zone %s", entry.Name, strings.Join(offers.zones, ", ")),
			)
		}
	}
	return strings.Join(shardNames, ", "), strings.Join(descriptions, ", ")
}

// zones lists the zones of the offers of all owners, and returns the largest number of zones that one
// owner has.
func (s *usableOffersByOwner) zones() (all []string, maxZones int) {
	all, maxZones = slices.Clone(s.leader.zones), len(s.leader.zones)
	for _, offers := range s.shards {
		all, maxZones = append(all, offers.zones...), max(maxZones, len(offers.zones))
	}
	slices.Sort(all)
	return slices.Compact(all), maxZones
}
