package controller

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
)

// Fault: machines are deaf for longer than a lease, and the leader changes
// meanwhile: their reports arrive, answers and direct orders don't. Their tasks,
// killed with their leases, run again elsewhere, none twice.
func TestMachinesDeafBeyondALeaseAcrossAChangeOfLeader(t *testing.T) {
	const (
		deafFor = 140 * micro.Second
		// A lease, and what detection and rentals take.
		againWithin = 60 * micro.Second
		// Each worker's reports come to one node after the other, since none seems to
		// answer. Where all machines are deaf no node hears enough of them, and each
		// hands over before it finds their leases run out.
		allDeafWithin = 2 * micro.Minute
	)
	for _, deaf := range []int{1, 2, 3, 4} {
		for _, after := range []micro.Time{5 * micro.Second, 25 * micro.Second, 33 * micro.Second} {
			t.Run(fmt.Sprintf("%d of 4 deaf, leader ends after %v s", deaf, after.Seconds()), func(t *testing.T) {
				seeds(t, 2, 3, func(w *simCluster) {
					j := w.fills("a", 4)
					machines := j.on()[:deaf]
					within := againWithin
					if deaf == 4 {
						within = allDeafWithin
					}
					from := w.now()
					for _, h := range machines {
						h.deafen(deafFor)
					}
					w.sleep(after)
					w.led()
					w.depose(5 * micro.Second)
					w.until("killed with their leases", from+34*micro.Second-w.now(), func() bool {
						for _, h := range machines {
							h.mu.Lock()
							n := len(h.w.Tasks)
							h.mu.Unlock()
							if n > 0 {
								return false
							}
						}
						return true
					})
					w.until("run elsewhere", from+within-w.now(), func() bool { return j.running() == 4 })
					w.t.Logf("run again %.1f s after the machines became deaf", (w.now() - from).Seconds())
					if !machines[0].deaf() {
						w.t.Fatal("they hear again")
					}
					w.sleep(from + deafFor + 30*micro.Second - w.now())
					if j.running() != 4 || j.starts() != 4+deaf {
						w.t.Errorf("%d of its tasks run, %d starts", j.running(), j.starts())
					}
					w.goesOn(w.controllers)
				})
			})
		}
	}
}
