package fake

import (
	"context"
	"fmt"
	"sync"

	"notchmux.dev/notchmux/internal/cloud"
	"notchmux.dev/notchmux/wire"
)

// Cloud is a stand-in for the cloud.
type Cloud struct {
	mu            sync.Mutex
	Types         []wire.MachineType
	Capacity      int
	answered      map[string][]string
	machines      map[string]wire.ListedMachine
	lastMachineID int
	RequestCounts map[string]int // how often each request name came
}

// NewCloud makes a cloud with capacity for so many machines.
func NewCloud(capacity int, types ...wire.MachineType) *Cloud {
	return &Cloud{
		Types: types, Capacity: capacity, answered: map[string][]string{}, machines: map[string]wire.ListedMachine{},
		RequestCounts: map[string]int{},
	}
}

// Catalog lists the types.
func (c *Cloud) Catalog(context.Context) (*wire.Catalog, error) {
	return &wire.Catalog{Types: c.Types}, nil
}

// RequestInstances rents; a repeated name gets the same answer.
func (c *Cloud) RequestInstances(_ context.Context, request wire.InstanceRequest) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.RequestCounts[request.RequestID]++
	if earlier, ok := c.answered[request.RequestID]; ok {
		return earlier, nil
	}
	var names []string
	for range request.Count {
		if len(c.machines) >= c.Capacity {
			break
		}
		c.lastMachineID++
		name := fmt.Sprintf("i-%06d", c.lastMachineID)
		c.machines[name] = wire.ListedMachine{
			Name: name, Addr: name + ":9000", Type: request.Type, Zone: request.Zone, Spot: request.Spot,
			State: wire.MachineBooting,
		}
		names = append(names, name)
	}
	if len(names) == 0 {
		return nil, cloud.ErrNoCapacity
	}
	c.answered[request.RequestID] = names
	return names, nil
}

// Terminate deletes machines.
func (c *Cloud) Terminate(_ context.Context, names []string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		delete(c.machines, name)
	}
	return nil
}

// List lists all machines.
func (c *Cloud) List(context.Context, string) (*wire.MachineList, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := &wire.MachineList{}
	for _, m := range c.machines {
		l.Machines = append(l.Machines, m)
	}
	return l, nil
}

// Instances lists the machines that are up for use.
func (c *Cloud) Instances() []wire.ListedMachine {
	l, _ := c.List(context.Background(), "")
	return l.Machines
}
