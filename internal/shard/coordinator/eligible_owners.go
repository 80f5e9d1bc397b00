package coordinator

import (
	"fmt"
	"slices"
	"strings"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/shard"
)

// A job is served as a whole, by the leader on machines in no shard or by the owner of one
// shard. Which of these sides may serve it follows from what the cloud offers, not from the
// machines that there are.

// DividedCatalog is what the cloud offers, by the shard that machines of an offer are in.
type DividedCatalog struct {
	offers []catalogOffer
	shards []shard.Entry // in the order of their names

	continuesJobs bool // jobs that had allocations may be assigned, see cluster.State.ContinuesJobs
}

// catalogOffer is a type in a zone, spot or on-demand.
type catalogOffer struct {
	machineType *cluster.MachineType
	zone        string
	spot        bool
	shard       int // index of the shard; leaderSide: in none
}

// noShard stands for the leader among the sides.
const noShard = -1

// DivideCatalog divides a catalog by the shards. Jobs that had allocations may be assigned to them
// if controllers go on with those.
func DivideCatalog(types []*cluster.MachineType, table shard.Snapshot, continuesJobs bool) *DividedCatalog {
	catalog := &DividedCatalog{continuesJobs: continuesJobs}
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

// EligibleOwners says which sides have offers that a job may use, and which may serve it.
type EligibleOwners struct {
	LeaderOffers int
	ShardOffers  map[string]int // of shards that have any
	ServedBy     []string       // sides that may serve it as a whole, in words
	Reason       string         // why none may; "": one may
}

// String says which sides may serve the job, or why none may.
func (s EligibleOwners) String() string {
	if len(s.ServedBy) == 0 {
		return "none: " + s.Reason
	}
	return strings.Join(s.ServedBy, ", ")
}

// EligibleOwnersOf says which sides may serve a job: those with an offer that it may use, for a
// spread service in two zones. A shard's owner gets only what may be assigned to the shard.
func (c *DividedCatalog) EligibleOwnersOf(job *cluster.Job) EligibleOwners {
	sides := c.usableOffersOf(job)
	side := EligibleOwners{LeaderOffers: sides.leader.count, ShardOffers: map[string]int{}}
	if sides.leader.suffice(job) {
		side.ServedBy = append(side.ServedBy, leaderName)
	}
	var refusals []string
	for i, entry := range c.shards {
		if sides.shards[i].count == 0 {
			continue
		}
		side.ShardOffers[entry.Name] = sides.shards[i].count
		if refusal := c.refusalReason(job, entry, &sides.shards[i]); refusal != "" {
			refusals = append(refusals, refusal)
		} else {
			side.ServedBy = append(side.ServedBy, "shard "+entry.Name)
		}
	}
	if len(side.ServedBy) == 0 {
		side.Reason = c.unservedReason(job, sides, refusals)
	}
	return side
}

// leaderName is the leader in lists of sides.
const leaderName = "the leader"

// usableOffersByOwner are what a job may use, by sides.
type usableOffersByOwner struct {
	leader usableOffers
	shards []usableOffers // as the catalog's shards
}

// usableOffers is what a job may use on one side.
type usableOffers struct {
	count int
	zones []string
}

// Served reports whether some side may serve a job. It looks at no more offers than it takes.
func (c *DividedCatalog) Served(job *cluster.Job) bool {
	sides := &usableOffersByOwner{shards: make([]usableOffers, len(c.shards))}
	for i := range c.offers {
		offer := &c.offers[i]
		side := sides.add(job, offer)
		if side == nil || !side.suffice(job) {
			continue
		}
		if offer.shard == noShard || acceptsTeam(c.shards[offer.shard], job.Spec.Team) && c.mayBeAssigned(job) {
			return true
		}
	}
	return false
}

func (c *DividedCatalog) usableOffersOf(job *cluster.Job) *usableOffersByOwner {
	sides := &usableOffersByOwner{shards: make([]usableOffers, len(c.shards))}
	for i := range c.offers {
		sides.add(job, &c.offers[i])
	}
	return sides
}

// add counts an offer and returns its side; nil: the job may not use it.
func (s *usableOffersByOwner) add(job *cluster.Job, offer *catalogOffer) *usableOffers {
	if !scheduler.Allowed(&job.Spec, offer.machineType, offer.zone, offer.spot) {
		return nil
	}
	side := &s.leader
	if offer.shard != noShard {
		side = &s.shards[offer.shard]
	}
	side.count++
	if !slices.Contains(side.zones, offer.zone) {
		side.zones = append(side.zones, offer.zone)
	}
	return side
}

// suffice reports whether a side has what all of a job's tasks need together.
func (s *usableOffers) suffice(job *cluster.Job) bool { return len(s.zones) >= zonesNeeded(job) }

// zonesNeeded is in how many zones a job needs offers: at most half of a spread service's
// tasks, rounded up, may be in one.
func zonesNeeded(job *cluster.Job) int {
	if job.Spec.Spread && len(job.Tasks) > 1 {
		return 2
	}
	return 1
}

// leaderServes reports whether the leader has what all of a job's tasks need together.
func (c *DividedCatalog) leaderServes(job *cluster.Job) bool {
	return c.usableOffersOf(job).leader.suffice(job)
}

// mayBeAssigned reports whether a waiting job may be assigned to a shard at all.
func (c *DividedCatalog) mayBeAssigned(job *cluster.Job) bool {
	return job.AllocationCount == 0 && (c.continuesJobs || job.NeverAllocated())
}

// refusalReason says why a shard with offers for a job cannot serve it; "": it can.
func (c *DividedCatalog) refusalReason(job *cluster.Job, entry shard.Entry, side *usableOffers) string {
	switch {
	case !acceptsTeam(entry, job.Spec.Team):
		return fmt.Sprintf("shard %s takes jobs of team %s only", entry.Name, strings.Join(entry.Record.Teams, ", "))
	case !side.suffice(job):
		return fmt.Sprintf("shard %s holds zone %s only", entry.Name, strings.Join(side.zones, ", "))
	case job.AllocationCount > 0:
		return fmt.Sprintf("it has allocations at the leader, and goes to shard %s as a whole", entry.Name)
	case !c.mayBeAssigned(job):
		return fmt.Sprintf(
			"a task of it had an allocation, and not all controllers could go on with it in shard %s", entry.Name,
		)
	}
	return ""
}

// unservedReason says why no side may serve a job.
func (c *DividedCatalog) unservedReason(job *cluster.Job, sides *usableOffersByOwner, refusals []string) string {
	names, held := c.describeShardOffers(sides)
	zones, most := sides.zones()
	switch {
	case len(zones) == 0:
		return "the cloud has no offer for it"
	case len(zones) < zonesNeeded(job):
		return fmt.Sprintf("only zone %s has offers for it, and a spread service needs two", zones[0])
	case most < zonesNeeded(job) && sides.leader.count == 0:
		return fmt.Sprintf("zones in several shards: %s; a spread service is not split", held)
	case most < zonesNeeded(job):
		return fmt.Sprintf("zones on both sides: %s; a spread service is not split", held)
	case sides.leader.count == 0:
		return fmt.Sprintf("only shard %s has offers for it: %s", names, strings.Join(refusals, ", "))
	}
	return fmt.Sprintf(
		"the leader has offers in zone %s only: %s", strings.Join(sides.leader.zones, ", "), strings.Join(refusals, ", "),
	)
}

// describeShardOffers names the shards that have offers for a job, and says in which zones.
func (c *DividedCatalog) describeShardOffers(sides *usableOffersByOwner) (names, held string) {
	var shardNames, descriptions []string
	for i, entry := range c.shards {
		if side := sides.shards[i]; side.count > 0 {
			shardNames = append(shardNames, entry.Name)
			descriptions = append(
				descriptions, fmt.Sprintf("shard %s holds zone %s", entry.Name, strings.Join(side.zones, ", ")),
			)
		}
	}
	return strings.Join(shardNames, ", "), strings.Join(descriptions, ", ")
}

// zones lists the zones of all sides, and says how many the side has that has most.
func (s *usableOffersByOwner) zones() (all []string, most int) {
	all, most = slices.Clone(s.leader.zones), len(s.leader.zones)
	for _, side := range s.shards {
		all, most = append(all, side.zones...), max(most, len(side.zones))
	}
	slices.Sort(all)
	return slices.Compact(all), most
}
