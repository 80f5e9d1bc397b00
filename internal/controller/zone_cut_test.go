package controller

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// leadOutside brings about a leader outside a zone.
func (w *simCluster) leadOutside(zone string) *controllerProc {
	w.t.Helper()
	w.until("a leader outside zone "+zone, 2*micro.Minute, func() bool {
		l := w.leader()
		if l != nil && l.zone == zone {
			w.restart(l, 5*micro.Second)
			w.sleep(8 * micro.Second)
		}
		return l != nil && l.zone != zone
	})
	l, _ := w.led()
	return l
}

// outside lists the nodes of other zones.
func (w *simCluster) outside(zone string) []*controllerProc {
	var out []*controllerProc
	for _, p := range w.controllers {
		if p.zone != zone {
			out = append(out, p)
		}
	}
	return out
}

// inOneZone submits a service that may run anywhere, a machine a task, and waits
// until it runs in one zone, which it names.
func (w *simCluster) inOneZone(tasks int) (*job, string) {
	w.t.Helper()
	j := w.wants(order{kind: wire.Service, tasks: tasks, cpus: 4}).submit()
	w.runs(j, tasks)
	zone := j.on()[0].w.Zone
	for _, h := range j.on() {
		if h.w.Zone != zone {
			w.t.Fatal("its tasks are in two zones")
		}
	}
	return j, zone
}

// machinesInBoth holds a machine in either zone, so that in a cut the leader outside
// still hears one.
func (w *simCluster) machinesInBoth() {
	w.t.Helper()
	for _, z := range []string{"a", "b"} {
		w.runs(w.wants(order{kind: wire.Service, tasks: 1, cpus: 4, zone: z, team: "other"}).submit(), 1)
	}
}

// runsOutside is how many tasks of the job run outside a zone.
func (j *job) runsOutside(zone string) int {
	c := j.w.check
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for task, machines := range c.on {
		if id, _, _ := wire.SplitTask(task); id == j.id {
			for _, z := range machines {
				if z != zone {
					n++
				}
			}
		}
	}
	return n
}

// keptAtMost is until when after the beginning of a cut tasks inside may run on: a
// leader inside loses its right, the keepers' span begins with that, and the lease
// that they renewed last runs out.
func (w *simCluster) keptAtMost() micro.Time {
	cfg := w.controllers[0].current().Cfg
	return cfg.LeaderLease + cfg.KeepSpan() + leaseS*micro.Second
}

// placedAgainWithin is how long after that the tasks run elsewhere at the latest:
// the leader adds room for drift, and rents machines, whose workers try all nodes,
// those out of reach included.
func (w *simCluster) placedAgainWithin() micro.Time {
	const rentAndBoot = 12 * micro.Second
	return rentAndBoot + w.controllers[0].current().Cfg.Round()
}

// Fault: a zone with controllers is cut off for longer than its keepers may renew
// leases. Its tasks, killed there with their leases, run again elsewhere, none
// twice, and once the cut is over the zone serves again.
func TestZoneCutOffBeyondTheKeepersSpan(t *testing.T) {
	for _, outside := range []bool{true, false} {
		t.Run(fmt.Sprint("machines outside ", outside), func(t *testing.T) {
			seeds(t, 4, 5, func(w *simCluster) { beyondTheKeepersSpan(w, outside) })
		})
	}
}

func beyondTheKeepersSpan(w *simCluster, outside bool) {
	j, zone := w.inOneZone(4)
	most := w.keptAtMost() + w.placedAgainWithin()
	if outside {
		w.machinesInBoth()
	} else {
		// No leader outside hears a worker: each hands over in vain before one stays,
		// and counts what keepers may have renewed from its takeover.
		most += micro.Time(len(w.outside(zone))*maxHandovers) * w.handoverTerm()
	}
	w.sleep(5 * micro.Second)
	from := w.now()
	w.cutZone(zone, most+90*micro.Second)
	w.sleep(w.controllers[0].current().Cfg.KeepSpan())
	if j.running() != 4 || j.starts() != 4 {
		w.t.Errorf("within the keepers' span %d tasks run, %d starts", j.running(), j.starts())
	}
	w.until("killed in the zone", from+w.keptAtMost()+2*micro.Second-w.now(), func() bool { return j.running() == j.runsOutside(zone) })
	w.until("placed again elsewhere", from+most-w.now(), func() bool { return j.runsOutside(zone) == 4 })
	w.t.Logf("placed again %.1f s after the cut began", (w.now() - from).Seconds())
	w.goesOn(w.outside(zone))
	if w.calm() {
		w.t.Fatal("the cut was to last on")
	}
	w.until("the cut is over", 5*micro.Minute, w.calm)
	back := w.wants(order{kind: wire.Service, tasks: 1, cpus: 4, zone: zone, team: "other"}).submit()
	w.until("the zone serves again", 30*micro.Second, func() bool { return back.running() == 1 })
	w.goesOn(w.controllers)
	if j.running() != 4 || j.starts() != 8 {
		w.t.Errorf("%d of its tasks run, %d starts", j.running(), j.starts())
	}
}

// Fault: the leader outside a zone that is cut off ends during the cut. The next
// one, outside too, does not know when the keepers inside were last answered, and
// counts what they may have renewed from its takeover: for short cuts the tasks run
// on, for long ones they run again elsewhere, none twice.
func TestLeaderEndsWhileKeepersRenewInACutOffZone(t *testing.T) {
	for _, c := range []struct {
		name  string
		lasts micro.Time
		again int // how many tasks start once more
	}{{"cut within the keepers' span", 43 * micro.Second, 0}, {"cut beyond it", 160 * micro.Second, 4}} {
		for _, after := range []micro.Time{6 * micro.Second, 20 * micro.Second} {
			t.Run(fmt.Sprintf("%s, leader ends after %v s", c.name, after.Seconds()), func(t *testing.T) {
				seeds(t, 3, 5, func(w *simCluster) {
					j, zone := w.inOneZone(4) // all that the team may have
					w.machinesInBoth()
					was := w.leadOutside(zone)
					w.sleep(10 * micro.Second) // keepers are in touch with it
					from := w.now()
					w.cutZone(zone, c.lasts)
					w.sleep(after)
					w.depose(5 * micro.Second)
					next := w.leader()
					if next.zone == zone || next == was {
						w.t.Fatal("another node outside should lead")
					}
					took := w.now()
					// It competes for the team's room, which is not free.
					waits := w.submitThrough(w.others(), micro.Minute, order{kind: wire.Array, tasks: 1, cpus: 4, run: 2 * micro.Second})
					if c.again == 0 {
						w.until("the cut is over", 2*micro.Minute, w.calm)
						w.sleep(20 * micro.Second)
					} else {
						most := w.controllers[0].current().Cfg.KeepSpan() + leaseS*micro.Second + w.placedAgainWithin()
						w.until("placed again elsewhere", took+most-w.now(), func() bool { return j.runsOutside(zone)+waits.running() == 4 })
						w.t.Logf("placed again %.1f s after the cut began", (w.now() - from).Seconds())
						w.until("the cut is over", 2*micro.Minute, w.calm)
						w.sleep(20 * micro.Second)
					}
					if j.running() != 4 || j.starts() != 4+c.again {
						w.t.Errorf("%d of its tasks run, %d starts", j.running(), j.starts())
					}
					go j.cancel()
					w.until("the job that waited is done", micro.Minute, func() bool { return stateOf(waits.poll(w.any())) == wire.JobDone })
					w.goesOn(w.controllers)
				})
			})
		}
	}
}
