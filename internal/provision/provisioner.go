package provision

import (
	"fmt"
	"log/slog"

	"notchmux.dev/notchmux/internal/autoscaler"
	"notchmux.dev/notchmux/internal/cloud"
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// Term is the term of leadership that a Provisioner belongs to. Any goroutine may call its methods.
type Term interface {
	// HoldsLease reports whether the leader holds its lease, and may send requests to the cloud.
	HoldsLease() bool
	// Now returns the time of the node's monotonic clock.
	Now() micro.Time
	// Wall returns the time of the node's wall clock.
	Wall() micro.Time
}

// Records gives access to the records that the leader writes to the store; *statestore.Writer implements
// it. Only the loop's goroutine calls it.
type Records interface {
	// Record returns the record of a key, and creates it if there is none yet.
	Record(key string) *statestore.Record
}

// Config holds the settings of a Provisioner, which do not change during a term.
type Config struct {
	// FencingRevision is the fencing revision of the term; the IDs of instance requests contain it.
	FencingRevision uint64
	// CloudRPS is the cloud's rate limit in calls per second; 0: unknown.
	CloudRPS float64
}

// Dependencies holds the components that a Provisioner uses; none may be nil.
type Dependencies struct {
	Term    Term
	Loop    *eventloop.Loop
	Cluster *cluster.State
	Planner *autoscaler.Planner // used only by the Provisioner from then on
	Records Records
	Cloud   cloud.Provider
	Log     *slog.Logger
}

// Provisioner creates and terminates machines during one term of leadership.
type Provisioner struct {
	cfg     Config
	term    Term
	loop    *eventloop.Loop
	cluster *cluster.State
	planner *autoscaler.Planner
	records Records
	cloud   cloud.Provider
	log     *slog.Logger

	lastPlan micro.Time // when the last plan was made; 0: the next one is due immediately

	requests         map[string]*instanceRequest // by ID, without closed ones
	requestCount     int                         // requests created in this term, numbered in their IDs
	queue            []*instanceRequest          // pending requests that are not sent yet, highest priority first
	requestsInFlight int

	firstProvisioned       string // name of the first machine that the service ever provisioned; "": none
	firstProvisionedRecord *statestore.Record
	inventoryRequestedAt   micro.Time // when the last inventory that was read had been requested

	// pendingTerminations holds the machines to terminate, each with the version of its request's
	// record that must be stored before the termination is sent.
	pendingTerminations map[*cluster.Machine]uint64
}

// New returns the Provisioner of a term. It sends nothing to the cloud before the loop runs.
func New(cfg Config, deps Dependencies) *Provisioner {
	p := &Provisioner{
		cfg:                 cfg,
		term:                deps.Term,
		loop:                deps.Loop,
		cluster:             deps.Cluster,
		planner:             deps.Planner,
		records:             deps.Records,
		cloud:               deps.Cloud,
		log:                 deps.Log,
		requests:            map[string]*instanceRequest{},
		pendingTerminations: map[*cluster.Machine]uint64{},
	}
	p.firstProvisionedRecord = p.records.Record(keys.FirstProvisioned)
	p.firstProvisionedRecord.Build = func() (any, uint64) {
		return FirstProvisionedRecord{p.firstProvisioned}, 0
	}
	return p
}

// QueuedRequests returns how many instance requests are waiting to be sent.
func (p *Provisioner) QueuedRequests() int { return len(p.queue) }

// Plans are made every planInterval, and more often while there is no machine on which tasks could be
// placed.
const (
	planInterval           = micro.Second
	planIntervalNoMachines = 300 * micro.Millisecond
)

// PlanIfDue makes a plan if one is due: it requests missing instances and terminates idle machines. It
// reports whether a plan was due.
func (p *Provisioner) PlanIfDue(now micro.Time) bool {
	if now-p.lastPlan < p.currentPlanInterval() {
		return false
	}
	p.lastPlan = now
	p.plan(now)
	return true
}

// currentPlanInterval returns the time between plans for the present fleet.
func (p *Provisioner) currentPlanInterval() micro.Time {
	for _, pool := range p.cluster.Pools {
		if pool.MachineCount > 0 {
			return planInterval
		}
	}
	return planIntervalNoMachines
}

// plan makes a plan and carries it out.
func (p *Provisioner) plan(now micro.Time) {
	scaleOuts, idle := p.planner.Plan(now)
	for _, scaleOut := range scaleOuts { // each within the limit of one instance request
		p.requestScaleOut(scaleOut, now)
	}
	for _, machine := range idle {
		p.Terminate(machine, "idle")
	}
	p.SendTerminations()
}

// requestScaleOut creates an instance request, which is sent once its record is stored.
func (p *Provisioner) requestScaleOut(scaleOut autoscaler.ScaleOut, now micro.Time) {
	p.requestCount++
	id := fmt.Sprintf("r-%d-%d", p.cfg.FencingRevision, p.requestCount)
	request := &instanceRequest{
		priorityLevel: scaleOut.PriorityLevel,
		record: InstanceRequestRecord{
			CreatedAt: int64(p.term.Wall()),
			Request: wire.InstanceRequest{
				RequestID: id, Type: scaleOut.Type, Zone: scaleOut.Zone, Spot: scaleOut.Spot, Count: scaleOut.Count,
			},
		},
	}
	p.requests[id] = request
	p.planner.PendingRequests[id] = scaleOut
	priority := statestore.PriorityHigh
	if scaleOut.PriorityLevel == 0 {
		priority = statestore.PriorityUrgent
	}
	p.bindRecord(request)
	request.storeRecord.MarkDirty(now, priority)
	p.log.Info(
		"scale-out requested", "request", id, "type", scaleOut.Type, "zone", scaleOut.Zone, "spot", scaleOut.Spot,
		"count", scaleOut.Count, "class", scaleOut.Class,
	)
}
