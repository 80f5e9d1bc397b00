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
	mu       sync.Mutex
	Types    []wire.MachineType
	Capacity int
	rented   map[string][]string
	machines map[string]wire.ListedMachine
	n        int
	Requests map[string]int // how often each request name came
}

// NewCloud makes a cloud with room for so many machines.
func NewCloud(capacity int, types ...wire.MachineType) *Cloud {
	return &Cloud{Types: types, Capacity: capacity, rented: map[string][]string{}, machines: map[string]wire.ListedMachine{}, Requests: map[string]int{}}
}

// Catalog lists the types.
func (c *Cloud) Catalog(context.Context) (*wire.Catalog, error) {
	return &wire.Catalog{Types: c.Types}, nil
}

// Rent rents; a repeated name gets the same answer.
func (c *Cloud) Rent(_ context.Context, r wire.Rental) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Requests[r.Request]++
	if got, ok := c.rented[r.Request]; ok {
		return got, nil
	}
	var names []string
	for range r.Count {
		if len(c.machines) >= c.Capacity {
			break
		}
		c.n++
		name := fmt.Sprintf("i-%06d", c.n)
		c.machines[name] = wire.ListedMachine{Name: name, Addr: name + ":9000", Type: r.Type, Zone: r.Zone, Spot: r.Spot, State: wire.MachineBooting}
		names = append(names, name)
	}
	if len(names) == 0 {
		return nil, cloud.ErrNoCapacity
	}
	c.rented[r.Request] = names
	return names, nil
}

// Return deletes machines.
func (c *Cloud) Return(_ context.Context, names []string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range names {
		delete(c.machines, n)
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

// Rented lists the machines that are up for use.
func (c *Cloud) Rented() []wire.ListedMachine {
	l, _ := c.List(context.Background(), "")
	return l.Machines
}
