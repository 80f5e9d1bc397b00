package controller

import (
	"testing"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Shares on the simulated cluster: what moves while jobs run, and what meets it.

// withShare declares a share of zone b, owned by n-2 at first.
func withShare(w *simCluster) {
	w.base.Shares = &config.Shares{LeastTime: micro.Minute, MostMoved: 10_000,
		Declared: []config.DeclaredShare{{Name: "east", Selector: share.Selector{Zone: "b"}, Owner: "n-2"}}}
}

// playShare plays a scenario on a cluster with a share.
func playShare(t *testing.T, seed uint64, nodes int, scenario func(w *simCluster)) {
	t.Helper()
	play(t, seed, nodes, withShare, scenario)
}

// shareRecord reads the record of the share from the store.
func (w *simCluster) shareRecord() (share.Entry, bool) {
	it, err := w.store.Get(w.ctx, store.Routine, share.RecordKey("east"))
	if err != nil {
		return share.Entry{}, false
	}
	return shareEntry(it.Key, it.Value, uint64(it.Version))
}

// owned waits until a controller owns the share, and its loop serves.
func (w *simCluster) owned(by string, most micro.Time) {
	w.t.Helper()
	w.until("the share is "+by+"'s", most, func() bool {
		e, ok := w.shareRecord()
		if !ok || e.Record.State != share.Owned || e.Record.Owner.Node != by {
			return false
		}
		n := w.controllerOf(by).current()
		if n == nil {
			return false
		}
		l := n.shares.owner("east")
		return l != nil && l.serving.Load()
	})
}

func (w *simCluster) controllerOf(name string) *controllerProc {
	for _, p := range w.controllers {
		if p.name == name {
			return p
		}
	}
	w.t.Fatalf("no controller %s", name)
	return nil
}

// command gives an operator's command to some node until it is carried out or refused.
func (w *simCluster) command(c share.Command) (reply share.CommandReply) {
	w.t.Helper()
	w.until("the command is answered", micro.Minute, func() bool {
		p := w.any()
		if p == nil {
			return false
		}
		status, out := p.current().answerAdmin(wire.MustMarshal(c))
		return status == 200 && wire.Unmarshal(out, &reply) == nil
	})
	return reply
}

// moves has the share moved.
func (w *simCluster) moves(to string) {
	w.t.Helper()
	w.begins(to)
	w.owned(to, micro.Minute)
}

// A share is formed, its jobs run on its machines, and it moves to and fro while they do.
func TestShareMovesWhileItsJobsRun(t *testing.T) {
	for seed := range uint64(3) {
		playShare(t, seed, 3, func(w *simCluster) {
			w.owned("n-2", 2*micro.Minute)
			service := w.wants(order{kind: wire.Service, tasks: 3, cpus: 2, zone: "b"}).submit()
			other := w.wants(order{kind: wire.Service, tasks: 2, cpus: 2, zone: "a"}).submit()
			w.runs(service, 3)
			w.runs(other, 2)
			w.until("the owner tells of its machines and its job", micro.Minute, func() bool {
				r := w.command(share.Command{Operation: share.Show, Share: "east"})
				return len(r.Shares) == 1 && r.Shares[0].Jobs == 1 && r.Shares[0].Machines > 0
			})
			array := w.wants(order{kind: wire.Array, tasks: 4, run: 20 * micro.Second, apart: 5 * micro.Second, zone: "b"}).submit()
			for _, to := range []string{"n-0", "n-1", "n-2", "n-0"} {
				w.moves(to)
				w.sleep(4 * micro.Second)
			}
			w.until("done", 3*micro.Minute, func() bool { return stateOf(array.poll(w.any())) == wire.JobDone })
			if service.starts() != 3 || service.running() != 3 || array.starts() != 4 {
				w.t.Errorf("%d starts of 3 replicas, %d run; %d starts of 4 tasks", service.starts(), service.running(), array.starts())
			}
			service.cancel()
			w.until("the replicas are gone", micro.Minute, func() bool { return service.running() == 0 })
		})
	}
}
