package fake

import (
	"context"
	"fmt"
	"sync"

	"notchmux.dev/notchmux/internal/cloud"
	"notchmux.dev/notchmux/wire"
)

// Cloud is a fake cloud provider, a cloud.Provider.
type Cloud struct {
	mu            sync.Mutex
	Types         []wire.MachineType
	Capacity      int
	granted       map[string][]string // machines by request ID
	machines      map[string]wire.ListedMachine
	lastMachineID int
	RequestCounts map[string]int // number of requests by request ID
}

// NewCloud returns a cloud with the machine types and capacity for the given number of machines.
func NewCloud(capacity int, types ...wire.MachineType) *Cloud {
	return &Cloud{
		Types: types, Capacity: capacity, granted: map[string][]string{}, machines: map[string]wire.ListedMachine{},
		RequestCounts: map[string]int{},
	}
}

// Catalog returns the machine types.
func (c *Cloud) Catalog(context.Context) (*wire.Catalog, error) {
	return &wire.Catalog{Types: c.Types}, nil
}

// RequestInstances provisions as many of the requested machines as the capacity allows. A request with a repeated
// ID gets the machines of the first one.
func (c *Cloud) RequestInstances(_ context.Context, request wire.InstanceRequest) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.RequestCounts[request.RequestID]++
	if earlier, ok := c.granted[request.RequestID]; ok {
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
	c.granted[request.RequestID] = names
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

// List returns all machines on one page.
func (c *Cloud) List(context.Context, string) (*wire.MachineList, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := &wire.MachineList{}
	for _, m := range c.machines {
		l.Machines = append(l.Machines, m)
	}
	return l, nil
}

// Instances returns all machines that are not terminated.
func (c *Cloud) Instances() []wire.ListedMachine {
	l, _ := c.List(context.Background(), "")
	return l.Machines
}
