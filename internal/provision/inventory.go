package provision

import (
	"context"
	"fmt"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// FirstProvisionedRecord is the record of the first machine that the service ever had created,
// a fixed format.
type FirstProvisionedRecord struct {
	Machine string `msgpack:"m" json:"m"`
}

// MaxInventoryAge is how old an inventory may be by which machines are terminated.
const MaxInventoryAge = 20 * micro.Second

// inventoryInterval is how often the inventory is read: pages of it cost the leader more
// than what they tell, which is seldom news.
const inventoryInterval = 6 * micro.Second

// inventoryRateFraction is the part of the cloud's rate that reading the inventory may take.
// Read every 6 s, the pages of 4,000 machines took a third of it, and those of 6,000 half:
// instance requests and terminations waited for them.
const inventoryRateFraction = 0.2

// maxInventoryPause keeps inventories fresh enough to terminate machines by
// (MaxInventoryAge), whatever their length.
const maxInventoryPause = 12 * micro.Second

// inventoryPageTimeout is how long the cloud may take over a page.
const inventoryPageTimeout = 6 * time.Second

// inventoryPause is how long the leader waits after reading an inventory of so many pages,
// from a cloud that takes so many calls a second.
func inventoryPause(pages int, cloudRPS float64) micro.Time {
	if cloudRPS <= 0 {
		return inventoryInterval
	}
	byRate := micro.FromSeconds(float64(pages) / (cloudRPS * inventoryRateFraction))
	return min(max(inventoryInterval, byRate), maxInventoryPause)
}

// PollInventory reads the cloud's inventory again and again until the loop is stopped. It
// needs a goroutine of its own.
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
				p.log.Debug("inventory not read", "pages", pages, "err", err)
			}
		}
		if !p.loop.Sleep(inventoryPause(pages, p.cfg.CloudRPS)) {
			return
		}
	}
}

// readInventory reads all pages, and says how many it asked for, also if one failed.
func (p *Provisioner) readInventory(ctx context.Context) (machines []wire.ListedMachine, pages int, err error) {
	after := ""
	for pages = 1; ; pages++ {
		page, pageErr := p.readInventoryPage(ctx, after)
		if pageErr != nil {
			return nil, pages, fmt.Errorf("page of machines after %q: %w", after, pageErr)
		}
		machines = append(machines, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return machines, pages, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}

func (p *Provisioner) readInventoryPage(ctx context.Context, after string) (*wire.MachineList, error) {
	ctx, cancel := context.WithTimeout(ctx, inventoryPageTimeout)
	defer cancel()
	return p.cloud.List(ctx, after)
}

// inventoryRead says which machines the cloud lists.
type inventoryRead struct {
	provisioner *Provisioner
	machines    []wire.ListedMachine
	requestedAt micro.Time // when the first page was asked for
}

// Apply takes in the inventory.
func (e inventoryRead) Apply() { e.provisioner.applyInventory(e.machines, e.requestedAt) }

func (p *Provisioner) applyInventory(listed []wire.ListedMachine, requestedAt micro.Time) {
	now := p.term.Now()
	p.inventoryRequestedAt = requestedAt
	for i := range listed {
		row := &listed[i]
		if p.cluster.WasTerminated(row.Name) {
			continue // the inventory lags
		}
		machine := p.cluster.EnsureMachine(row.Name, now)
		if machine.Type == nil {
			p.cluster.DescribeMachine(machine, row.Type, row.Zone, row.Spot)
		}
		if machine.Addr == "" {
			machine.Addr = row.Addr
		}
		age := micro.FromSeconds(row.AgeS)
		machine.RequestedAt = min(machine.RequestedAt, now-age)
		machine.Permanent = p.isOperatorOwned(machine)
		machine.LastListed, machine.CloudState = requestedAt, row.State
		if row.State == wire.MachineFailed {
			p.Terminate(machine, "failed")
		}
	}
}

// InventoryRequestedAt is when the inventory that was read last was asked for; 0: none was read in
// this term.
func (p *Provisioner) InventoryRequestedAt() micro.Time { return p.inventoryRequestedAt }

// RestoreFirstProvisioned takes in the record of the first machine ever created, during a
// failover.
func (p *Provisioner) RestoreFirstProvisioned(item wire.Item) {
	var record FirstProvisionedRecord
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		p.log.Debug("first provisioned machine not read", "key", item.Key, "err", err)
		return
	}
	p.firstProvisioned = record.Machine
	p.firstProvisionedRecord.SetVersion(uint64(item.Version))
}

// isOperatorOwned reports whether a machine is the operators' own: created before the first
// one that the service ever had created. Ages do not tell: an own GPU machine once
// looked a few milliseconds too young and was terminated for being idle, and a
// terminated machine that a lagging inventory still showed once looked like an own one.
func (p *Provisioner) isOperatorOwned(machine *cluster.Machine) bool {
	if p.firstProvisioned == "" {
		return machine.InstanceRequestID == ""
	}
	return createdBefore(machine.Name, p.firstProvisioned)
}

// createdBefore reports whether a machine was created before another: names are given
// in the order of creation.
func createdBefore(a, b string) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a < b
}
