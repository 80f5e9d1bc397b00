package controller

import (
	"context"
	"slices"
	"time"

	"notchmux.dev/notchmux/internal/cloud"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// fakeCloud is the cloud of a simulation; the machines that it provisions boot agents.
type fakeCloud struct {
	*fake.Cloud
	sim              *simCluster
	unavailable      bool
	bootFailureRatio float64  // fraction of machines that never boot
	lostAnswerRatio  float64  // fraction of instance requests whose response is lost
	terminated       []string // names of terminated machines
	// failsBoot selects requests whose machines do not boot; nil: only the bootFailureRatio applies
	failsBoot func(r wire.InstanceRequest) bool
	// unlisted selects machines that List omits; nil: none
	unlisted func(name string) bool
	// terminationDelay is the delay of terminations, which then get no response; 0: executed at once
	terminationDelay     micro.Time
	terminationRequested map[string]micro.Time // by machine: time of the first termination request
	startedAt            map[string]micro.Time // by machine: when it was provisioned
	terminatedAt         map[string]micro.Time // by machine: when it was terminated
}

// billedTime returns the sum of the times for which the machines were provisioned.
func (s *fakeCloud) billedTime() micro.Time {
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	var sum micro.Time
	for name, from := range s.startedAt {
		end, terminated := s.terminatedAt[name]
		if !terminated {
			end = s.sim.now()
		}
		sum += end - from
	}
	return sum
}

// cloudClient is the connection of one process to the cloud.
type cloudClient struct {
	*fakeCloud
	process *controllerProcess
	link    *fake.Link
}

// waitReachable waits for the latency of a request. It returns cloud.ErrUncertain when the context ends if the
// process has no connection to the cloud, and cloud.ErrUnavailable if the cloud is unavailable.
func (s *cloudClient) waitReachable(ctx context.Context) error {
	s.process.waitWhileFrozen()
	time.Sleep(s.sim.randomDuration(20*micro.Millisecond, 200*micro.Millisecond))
	if s.process.runningNode() == nil || s.process.partitionedFrom("cloud") {
		<-ctx.Done()
		return cloud.ErrUncertain
	}
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	if s.unavailable {
		return cloud.ErrUnavailable
	}
	return nil
}

// Catalog returns the machine types, within 3 s.
func (s *cloudClient) Catalog(ctx context.Context) (*wire.Catalog, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	if err := s.waitReachable(ctx); err != nil {
		return nil, err
	}
	return s.Cloud.Catalog(ctx)
}

// RequestInstances provisions machines, which boot after a random delay.
func (s *cloudClient) RequestInstances(ctx context.Context, r wire.InstanceRequest) ([]string, error) {
	if err := s.waitReachable(ctx); err != nil {
		return nil, err
	}
	names, err := s.Cloud.RequestInstances(ctx, r)
	for _, name := range names {
		s.sim.bootMachine(name, r)
	}
	if s.sim.randomChance(s.lostAnswerRatio) {
		<-ctx.Done()
		return nil, cloud.ErrUncertain
	}
	return names, err
}

// Terminate terminates machines, after terminationDelay and without a response if that is set.
func (s *cloudClient) Terminate(ctx context.Context, names []string) error {
	if err := s.waitReachable(ctx); err != nil {
		return err
	}
	s.sim.mu.Lock()
	delay := s.terminationDelay
	for _, name := range names {
		if s.terminationRequested[name] == 0 {
			s.terminationRequested[name] = s.sim.now()
		}
	}
	s.sim.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay.Duration(), func() { _ = s.terminate(context.Background(), names) })
		<-ctx.Done()
		return cloud.ErrUncertain
	}
	return s.terminate(ctx, names)
}

func (s *cloudClient) terminate(ctx context.Context, names []string) error {
	s.sim.mu.Lock()
	s.terminated = append(s.terminated, names...)
	for _, name := range names {
		if s.terminatedAt[name] == 0 {
			s.terminatedAt[name] = s.sim.now()
		}
	}
	s.sim.mu.Unlock()
	for _, name := range names {
		if machine := s.sim.machineNamed(name); machine != nil {
			machine.terminate()
		}
	}
	return s.Cloud.Terminate(ctx, names)
}

// List lists the machines after a name, except those that unlisted selects.
func (s *cloudClient) List(ctx context.Context, after string) (*wire.MachineList, error) {
	if err := s.waitReachable(ctx); err != nil {
		return nil, err
	}
	l, err := s.Cloud.List(ctx, after)
	if err != nil || s.unlisted == nil {
		return l, err
	}
	l.Machines = slices.DeleteFunc(l.Machines, func(m wire.ListedMachine) bool { return s.unlisted(m.Name) })
	return l, nil
}
