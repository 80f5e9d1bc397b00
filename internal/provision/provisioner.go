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

// Term is the term of leadership that a Provisioner belongs to. Any goroutine may call it.
type Term interface {
	// HoldsLease reports whether the leader may still act: send requests to the cloud.
	HoldsLease() bool
	// Now is the node's steady clock.
	Now() micro.Time
	// Wall is the node's wall clock.
	Wall() micro.Time
}

// Records finds or makes the entries of the keys that the leader writes; *statestore.Writer
// does. Only the loop's goroutine calls it.
type Records interface {
	Record(key string) *statestore.Record
}

// Config is what does not change during a term.
type Config struct {
	// FencingRevision is the term's: instance requests are named by it.
	FencingRevision uint64
	// CloudRPS is how many calls a second the cloud takes; 0: not known.
	CloudRPS float64
}

// Dependencies are the parts that a Provisioner works with; none may be nil.
type Dependencies struct {
	Term    Term
	Loop    *eventloop.Loop
	Cluster *cluster.State
	Planner *autoscaler.Planner // owned by the Provisioner from then on
	Records Records
	Cloud   cloud.Provider
	Log     *slog.Logger
}

// Provisioner has machines created and terminated during one term of leadership.
type Provisioner struct {
	cfg     Config
	term    Term
	loop    *eventloop.Loop
	cluster *cluster.State
	planner *autoscaler.Planner
	records Records
	cloud   cloud.Provider
	log     *slog.Logger

	lastPlan micro.Time // 0: the next plan is due at once

	requests         map[string]*instanceRequest // by name, but for closed ones
	requestCount     int                         // those of this term, which their names count
	queue            []*instanceRequest          // pending ones that are not sent yet, most urgent first
	requestsInFlight int

	firstProvisioned       string // the first machine that the service ever had created; "": none
	firstProvisionedRecord *statestore.Record
	inventoryRequestedAt   micro.Time // when the inventory that was read last was asked for

	// pendingTerminations are the machines to be terminated, each with the version of its
	// request's record that must be stored before.
	pendingTerminations map[*cluster.Machine]uint64
}

// New makes the Provisioner of a term. It sends nothing before its loop runs.
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

// QueuedRequests is how many instance requests wait for their turn to be sent.
func (p *Provisioner) QueuedRequests() int { return len(p.queue) }

// Plans are made every planInterval, and more often while no machine is there to place
// work on.
const (
	planInterval           = micro.Second
	planIntervalNoMachines = 300 * micro.Millisecond
)

// PlanIfDue plans if it is time to: it requests the instances that are missing and has idle
// machines terminated. It reports whether it was.
func (p *Provisioner) PlanIfDue(now micro.Time) bool {
	if now-p.lastPlan < p.currentPlanInterval() {
		return false
	}
	p.lastPlan = now
	p.plan(now)
	return true
}

func (p *Provisioner) currentPlanInterval() micro.Time {
	for _, pool := range p.cluster.Pools {
		if pool.MachineCount > 0 {
			return planInterval
		}
	}
	return planIntervalNoMachines
}

func (p *Provisioner) plan(now micro.Time) {
	scaleOuts, idle := p.planner.Plan(now)
	for _, scaleOut := range scaleOuts { // each at most what one request may ask for
		p.requestScaleOut(scaleOut, now)
	}
	for _, machine := range idle {
		p.Terminate(machine, "idle")
	}
	p.SendTerminations()
}

// requestScaleOut begins an instance request: its record is written first.
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
