package controller

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

var measureMoves = flag.Int("share.measure", 0, "moves to measure for each size of a share; 0: none")

// Measures moves on the simulated cluster, with a store that answers in 4 to 12 ms:
//
//	go test ./internal/controller -run TestMeasureMoves -v -share.measure 40
func TestMeasureMoves(t *testing.T) {
	for _, machines := range []int{1, 16, 256} {
		t.Run(fmt.Sprint(machines, " machines"), func(t *testing.T) {
			var used usage
			play(t, 50, 3, func(w *simCluster) {
				withShare(w)
				w.base.Shares.Declared[0] = config.DeclaredShare{Name: "east", Selector: share.Selector{Zone: "b"}, Owner: "n-2"}
				w.cloud.Capacity = machines + 20
				w.base.Facts.Teams[0].CPUsMax = 0
				delete(w.check.limits, "team")
				w.wrap = func(l *fake.Link) store.Store {
					l.Delay(usualAnswer)
					return meteredStore{l, &used}
				}
			}, func(w *simCluster) { w.measureMoves(machines, &used) })
		})
	}
}

func (w *simCluster) measureMoves(machines int, used *usage) {
	w.owned("n-2", 2*micro.Minute)
	service := w.wants(order{kind: wire.Service, tasks: machines, cpus: 4, zone: "b"}).submit()
	w.until("the share is full", 5*micro.Minute, func() bool { return service.running() == machines })
	w.sleep(20 * micro.Second)
	moves := max(*measureMoves, 1)
	var silent, whole, answered []micro.Time
	requests := int64(0)
	for i := range moves {
		w.sleep(10 * micro.Second)
		m := w.measureMove(fmt.Sprint("n-", i%3), used)
		silent, whole, answered = append(silent, m.silent), append(whole, m.whole), append(answered, m.answered)
		requests += m.requests
	}
	w.t.Logf("%d machines, %d moves: no owner speaks for %s; from the command to the next owner %s; to its first answer %s; %.1f requests to the store a move, %d starts of %d replicas",
		machines, moves, spread(silent), spread(whole), spread(answered), float64(requests)/float64(moves), service.starts(), machines)
	if service.starts() != machines {
		w.t.Errorf("%d starts of %d replicas", service.starts(), machines)
	}
}

// measuredMove is what one move took.
type measuredMove struct {
	silent, whole, answered micro.Time
	requests                int64
}

func (w *simCluster) measureMove(to string, used *usage) (m measuredMove) {
	e, _ := w.shareRecord()
	old := w.controllerOf(e.Record.Owner.Node).current().shares.owner("east")
	requests := used.reads.Load() + used.commits.Load()
	from := w.now()
	w.begins(to)
	quiet := micro.Time(0)
	var next *Lead
	for next == nil || !next.serving.Load() {
		if quiet == 0 && old.silent.Load() {
			quiet = w.now()
		}
		next = w.controllerOf(to).current().shares.owner("east")
		time.Sleep(time.Millisecond)
	}
	m.whole, m.silent = w.now()-from, w.now()-quiet
	m.requests = used.reads.Load() + used.commits.Load() - requests
	for reports := 0; reports == 0; time.Sleep(time.Millisecond) {
		read := make(chan struct{})
		next.post(func() { reports = int(next.reports); close(read) })
		<-read
	}
	m.answered = w.now() - from
	return m
}

func spread(all []micro.Time) string {
	slices.Sort(all)
	ms := func(t micro.Time) int64 { return int64(t / micro.Millisecond) }
	return fmt.Sprintf("%d ms (median), %d (95%%), %d (longest)", ms(all[len(all)/2]), ms(all[len(all)*95/100]), ms(all[len(all)-1]))
}
