package provision

import (
	"context"
	"fmt"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// FirstProvisionedRecord is the stored record of the first machine that the service ever provisioned. Its
// encoding is fixed.
type FirstProvisionedRecord struct {
	Machine string `msgpack:"m" json:"m"`
}

// MaxInventoryAge is the maximum age of an inventory that may cause the termination of machines.
const MaxInventoryAge = 20 * micro.Second

// inventoryInterval is the minimum pause between two reads of the inventory. Reading its pages more often
// would cost the leader more than the information is worth, since it seldom changes.
const inventoryInterval = 6 * micro.Second

// inventoryRateFraction is the fraction of the cloud's rate limit that reading the inventory may use. Read
// every 6 s, the pages of 4,000 machines used a third of it and those of 6,000 half, and instance requests
// and terminations waited for them.
const inventoryRateFraction = 0.2

// maxInventoryPause limits the pause between two reads, so that an inventory of any length stays recent
// enough to terminate machines by it (see MaxInventoryAge).
const maxInventoryPause = 12 * micro.Second

// inventoryPageTimeout is the time limit of a call that reads one page.
const inventoryPageTimeout = 6 * time.Second

// inventoryPause returns how long the leader waits after reading an inventory of the given number of
// pages; cloudRPS is the cloud's rate limit in calls per second, 0 if unknown.
func inventoryPause(pages int, cloudRPS float64) micro.Time {
	if cloudRPS <= 0 {
		return inventoryInterval
	}
	byRate := micro.FromSeconds(float64(pages) / (cloudRPS * inventoryRateFraction))
	return min(max(inventoryInterval, byRate), maxInventoryPause)
}

// PollInventory reads the cloud's inventory periodically, while the leader holds its lease, until the loop
// is stopped. It blocks, so it needs a goroutine of its own.
func (p *Provisioner) PollInventory(ctx context.Context) {
	for {
		pages := 1
		if p.term.HoldsLease() {
			requestedAt := p.term.Now()
			var machines []wire.ListedMachine
			var err error
			machines, pages, err = p.readInventory(ctx)
			if err == nil {
				p.loop.Post(inventoryRead{p, machines, requestedAt})
			} else {
				p.log.Debug("read inventory failed", "pages", pages, "err", err)
			}
		}
		if !p.loop.Sleep(inventoryPause(pages, p.cfg.CloudRPS)) {
			return
		}
	}
}

// readInventory reads all pages of the inventory. It returns how many it requested, also on an error.
func (p *Provisioner) readInventory(ctx context.Context) (machines []wire.ListedMachine, pages int, err error) {
	after := ""
	for pages = 1; ; pages++ {
		page, pageErr := p.readInventoryPage(ctx, after)
		if pageErr != nil {
			return nil, pages, fmt.Errorf("list machines after %q: %w", after, pageErr)
		}
		machines = append(machines, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return machines, pages, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}

// readInventoryPage reads the page of machines whose names follow after.
func (p *Provisioner) readInventoryPage(ctx context.Context, after string) (*wire.MachineList, error) {
	ctx, cancel := context.WithTimeout(ctx, inventoryPageTimeout)
	defer cancel()
	return p.cloud.List(ctx, after)
}

// inventoryRead is the event of a completed read of the inventory.
type inventoryRead struct {
	provisioner *Provisioner
	machines    []wire.ListedMachine
	requestedAt micro.Time // when the first page was requested
}

// Apply applies the inventory to the cluster state.
func (e inventoryRead) Apply() { e.provisioner.applyInventory(e.machines, e.requestedAt) }

// applyInventory adds and updates the listed machines, and terminates those that the cloud reports as
// failed.
func (p *Provisioner) applyInventory(listed []wire.ListedMachine, requestedAt micro.Time) {
	now := p.term.Now()
	p.inventoryRequestedAt = requestedAt
	for i := range listed {
		entry := &listed[i]
		if p.cluster.WasTerminated(entry.Name) {
			continue // the inventory lags behind terminations
		}
		machine := p.cluster.EnsureMachine(entry.Name, now)
		if machine.Type == nil {
			p.cluster.DescribeMachine(machine, entry.Type, entry.Zone, entry.Spot)
		}
		if machine.Addr == "" {
			machine.Addr = entry.Addr
		}
		age := micro.FromSeconds(entry.AgeS)
		machine.RequestedAt = min(machine.RequestedAt, now-age)
		machine.Permanent = p.isOperatorOwned(machine)
		machine.LastListed, machine.CloudState = requestedAt, entry.State
		if entry.State == wire.MachineFailed {
			p.Terminate(machine, "failed")
		}
	}
}

// InventoryRequestedAt returns when the last inventory that was read had been requested; 0: none was read
// in this term.
func (p *Provisioner) InventoryRequestedAt() micro.Time { return p.inventoryRequestedAt }

// RestoreFirstProvisioned restores the record of the first machine that was ever provisioned, during a
// failover.
func (p *Provisioner) RestoreFirstProvisioned(item wire.Item) {
	var record FirstProvisionedRecord
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		p.log.Debug("decode record of the first provisioned machine failed", "key", item.Key, "err", err)
		return
	}
	p.firstProvisioned = record.Machine
	p.firstProvisionedRecord.SetVersion(uint64(item.Version))
}

// isOperatorOwned reports whether a machine belongs to the operators: it was created before the first one
// that the service provisioned. Ages cannot decide this: an operator-owned GPU machine once appeared a few
// milliseconds too young and was terminated as idle, and a terminated machine that an outdated inventory
// still listed once appeared to be operator-owned.
func (p *Provisioner) isOperatorOwned(machine *cluster.Machine) bool {
	if p.firstProvisioned == "" {
		return machine.InstanceRequestID == ""
	}
	return createdBefore(machine.Name, p.firstProvisioned)
}

// createdBefore reports whether machine a was created before machine b. The cloud numbers machines in the
// order of their creation, so that a shorter name is older.
func createdBefore(a, b string) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a < b
}
