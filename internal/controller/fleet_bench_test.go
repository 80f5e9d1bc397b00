package controller

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"notchmux.dev/notchmux/internal/agent"
	"notchmux.dev/notchmux/internal/autoscaler"
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/metrics"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/recovery"
	"notchmux.dev/notchmux/wire"
)

// unansweredDispatch is a dispatch transport on which every command stays without a response.
type unansweredDispatch struct{}

func (unansweredDispatch) Send(string, wire.Commands) (*wire.Heartbeat, bool, error) {
	return nil, false, agent.ErrUncertain
}

// fleet is a leader with the agents of its machines, most of which run tasks, on a simulated clock.
type fleet struct {
	leader *Leader
	now    micro.Time
	agents []*fake.Agent
}

// newFleet returns a fleet with six single-CPU tasks per machine of eight CPUs, scheduled in one pass.
func newFleet(tb testing.TB, machines int) *fleet {
	tb.Helper()
	fleet := &fleet{now: 1000 * micro.Second}
	cfg := &config.Config{Properties: config.Defaults()}
	cfg.Node = "n-0"
	cfg.Facts.Workers.LeaseS, cfg.Facts.Workers.HeartbeatIntervalS, cfg.Facts.State.ValueKB, cfg.Facts.State.TxnOps = 30, 6, 16, 24
	cfg.Facts.Teams = []config.Team{{Name: "team"}}
	cfg.DeriveDefaults()
	node := NewWith(Dependencies{
		Cfg: cfg, Store: fake.NewStore(), Cloud: fake.NewCloud(0), Agent: unansweredDispatch{},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.New(),
		Now: func() micro.Time { return fleet.now }, Wall: func() micro.Time { return fleet.now },
	})
	cat := &wire.Catalog{}
	for i := range 4 {
		cat.Types = append(
			cat.Types,
			wire.MachineType{
				Name: fmt.Sprint("t", i), CPUs: 8, MemoryGB: 64, Price: 1, SpotPrice: 0.3, BootS: 30, FetchGBPerS: 1,
				Zones: []string{"a", "b"},
			},
		)
	}
	node.catalog.Store(cat)
	fleet.leader = newLeader(node, election.NewTerm(7, 1<<60))
	fleet.leader.cluster.SetCatalog(cat)
	for i := range machines {
		fakeAgent := fake.NewAgent(fmt.Sprintf("i-%06d", i), fmt.Sprint("t", i%4), []string{"a", "b"}[i%2], 30*micro.Second)
		fakeAgent.FencingToken = fleet.leader.dispatcher.FencingToken()
		fleet.agents = append(fleet.agents, fakeAgent)
		fleet.heartbeat(fakeAgent)
	}
	for i := 0; i < machines*6; i += 60 {
		fleet.leader.intake.AddJob(
			wire.Job{
				ID: fmt.Sprintf("j-%06d", i), Class: "c", Team: "team", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 60,
				CPUs: 1, MemoryGB: 1, EstimateS: 50, Image: "i",
			},
		)
	}
	fleet.leader.scheduler.Schedule(fleet.now)
	for _, machine := range fleet.leader.cluster.SortedMachines() {
		for _, allocation := range machine.Allocations {
			fleet.leader.cluster.ChunkPersisted(allocation.Job.Chunk(allocation.Index), 1<<40)
		}
	}
	for _, fakeAgent := range fleet.agents {
		fleet.heartbeat(fakeAgent)
		fleet.heartbeat(fakeAgent)
	}
	return fleet
}

// heartbeat delivers a heartbeat of an agent to the leader, and the response to the agent.
func (h *fleet) heartbeat(fakeAgent *fake.Agent) {
	h.handleHeartbeat(fakeAgent, wire.MustMarshal(fakeAgent.Heartbeat()))
}

// handleHeartbeat handles an encoded heartbeat as the leader does, and delivers the response to the agent.
func (h *fleet) handleHeartbeat(fakeAgent *fake.Agent, body []byte) {
	heartbeat, err := wire.DecodeHeartbeat(body)
	if err != nil {
		panic(err)
	}
	machine, verdict := h.leader.cluster.Reconcile(heartbeat, cluster.FromHeartbeat, h.now)
	if verdict != cluster.Applied {
		panic("heartbeat not applied")
	}
	commands := wire.Commands{
		FencingToken: wire.Count(h.leader.dispatcher.FencingToken()),
		Items:        h.leader.cluster.Commands(machine, h.leader.dispatcher.FencingToken(), false, h.now),
	}
	h.leader.cluster.ResponseSent(machine, h.leader.dispatcher.FencingToken())
	_ = wire.MustMarshal(commands)
	fakeAgent.HandleResponse(commands, h.now)
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{290, 2900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fleet := newFleet(b, n)
			b.ReportAllocs()
			bodies := make([][]byte, len(fleet.agents))
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				k := i % n
				if k == 0 {
					b.StopTimer()
					for x, fakeAgent := range fleet.agents {
						bodies[x] = wire.MustMarshal(fakeAgent.Heartbeat())
					}
					fleet.now += 6 * micro.Second
					b.StartTimer()
				}
				fleet.handleHeartbeat(fleet.agents[k], bodies[k])
			}
		})
	}
}

func BenchmarkFailureDetectorSweep(b *testing.B) {
	for _, n := range []int{290, 2900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fleet := newFleet(b, n)
			for b.Loop() {
				fleet.leader.sweep(fleet.now)
			}
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{290, 2900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fleet := newFleet(b, n)
			fleet.leader.intake.AddJob(
				wire.Job{
					ID: "j-99999999", Class: "c", Team: "team", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 600, CPUs: 9,
					MemoryGB: 1, EstimateS: 50, Image: "i",
				},
			)
			planner := autoscaler.New(autoscaler.Config{
				Cluster: fleet.leader.cluster, Objectives: fleet.leader.objectives,
				Properties: &fleet.leader.node.Cfg.Properties,
			})
			for b.Loop() {
				planner.Plan(fleet.now)
			}
		})
	}
}

func BenchmarkSchedulingPass(b *testing.B) {
	for _, n := range []int{290, 2900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fleet := newFleet(b, n)
			for i := range 300 {
				fleet.leader.intake.AddJob(
					wire.Job{
						ID: fmt.Sprint("j-9999", i), Class: "c", Team: "team", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 600,
						CPUs: 7, MemoryGB: 1, EstimateS: 50, Image: "i",
					},
				)
			}
			for b.Loop() {
				fleet.leader.scheduler.Schedule(fleet.now)
			}
		})
	}
}

// Scheduling a job that has waited for a minute without an allocation examines all machines several times.
func BenchmarkSchedulingPassWithOverdueJobs(b *testing.B) {
	for _, n := range []int{290, 2900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fleet := newFleet(b, n)
			for i := range 300 {
				fleet.leader.intake.AddJob(
					wire.Job{
						ID: fmt.Sprint("j-9999", i), Class: fmt.Sprint("c", i), Team: "team", Kind: wire.JobArray, Priority: wire.Normal,
						Tasks: 600, CPUs: 2, MemoryGB: 60, EstimateS: 50, Image: "i",
					},
				)
			}
			fleet.now += 2 * micro.Minute
			for b.Loop() {
				fleet.leader.scheduler.Schedule(fleet.now)
			}
		})
	}
}

// addWaitingJobs adds n jobs that each depend on two of the running jobs.
func (h *fleet) addWaitingJobs(n int) {
	var ids []string
	for id := range h.leader.cluster.Jobs {
		ids = append(ids, id)
	}
	for i := range n {
		h.leader.intake.AddJob(wire.Job{
			ID: fmt.Sprintf("j-5%06d", i), Class: "c", Team: "team", Kind: wire.JobArray, Priority: wire.Low, Tasks: 20, CPUs: 1,
			MemoryGB: 1, EstimateS: 20, Image: "i", Dependencies: []string{ids[i%len(ids)], ids[(i*7+1)%len(ids)]},
		})
	}
}

// Jobs that wait for their dependencies should not add to the cost of a scheduling pass.
func BenchmarkSchedulingPassWithWaitingJobs(b *testing.B) {
	for _, n := range []int{0, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fleet := newFleet(b, 290)
			fleet.addWaitingJobs(n)
			for b.Loop() {
				fleet.leader.scheduler.Schedule(fleet.now)
			}
		})
	}
}

// The cost of finalizing a job should depend only on the number of jobs that wait for it, not on that of other
// waiting jobs.
func BenchmarkJobFinalization(b *testing.B) {
	for _, n := range []int{50, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fleet := newFleet(b, 290)
			fleet.addWaitingJobs(n)
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint("j-8", i)
				j := fleet.leader.cluster.AddJob(
					wire.Job{
						ID: id, Class: "c", Team: "team", Kind: wire.JobArray, Priority: wire.Low, Tasks: 1, CPUs: 1, EstimateS: 20,
					},
					fleet.now,
				)
				fleet.leader.cluster.AddJob(
					wire.Job{
						ID: id + "1", Class: "c", Team: "team", Kind: wire.JobArray, Priority: wire.Low, Tasks: 1, CPUs: 1, EstimateS: 20,
						Dependencies: []string{id},
					},
					fleet.now,
				)
				fleet.leader.cluster.FinalizeJob(j, false, fleet.now)
			}
		})
	}
}

// The cost of a failover should be linear in the number of waiting jobs whose records are restored.
func BenchmarkFailoverWithWaitingJobs(b *testing.B) {
	for _, n := range []int{500, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			snapshot := recovery.NewSnapshot(slog.New(slog.DiscardHandler))
			for i := range n {
				id := fmt.Sprintf("j-%06d", i)
				snapshot.Specs[id] = wire.Job{
					ID: id, Class: "c", Team: "team", Kind: wire.JobArray, Priority: wire.Low, Tasks: 20, CPUs: 1, MemoryGB: 1,
				}
				if i >= 100 {
					job := snapshot.Specs[id]
					job.Dependencies = []string{fmt.Sprintf("j-%06d", i-100), fmt.Sprintf("j-%06d", i/2)}
					snapshot.Specs[id] = job
				}
			}
			for b.Loop() {
				fleet := &fleet{now: 1000 * micro.Second}
				fleet.leader = newFleet(b, 4).leader
				fleet.leader.failover.RestoreJobs(snapshot, fleet.now, fleet.now)
			}
		})
	}
}
