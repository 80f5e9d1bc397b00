package controller

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// changesOf counts the changes of the store whose key begins so.
func (w *simCluster) changesOf(prefix string) int {
	ev, err := w.store.Watch(w.ctx, prefix, 0, 0)
	if err != nil {
		w.t.Fatal(err)
	}
	return len(ev.Events)
}

// passes is how often the process looked for room.
func (p *controllerProc) passes() int {
	var b strings.Builder
	p.current().Metrics.Write(&b)
	for line := range strings.Lines(b.String()) {
		var n int
		if _, err := fmt.Sscanf(line, "pass count=%d", &n); err == nil {
			return n
		}
	}
	return 0
}

// Jobs submitted with a mistake, many at once and one of thousands of tasks, cost
// so many starts, records, rentals and passes, whatever their number of tasks;
// another team's work is served beside them, and they are cancelled like any.
func TestManyJobsThatFailEverywhereCostLittle(t *testing.T) {
	const (
		singles = 60
		span    = 3 * micro.Minute
	)
	play(t, 5, 3, func(w *simCluster) { w.quick = true }, func(w *simCluster) {
		var mu sync.Mutex
		starts := map[string]int{}
		w.starts = func(_ *host, k fake.Key) {
			id, _, _ := wire.SplitTask(k.Task)
			mu.Lock()
			defer mu.Unlock()
			starts[id]++
		}
		w.led()
		var bad []*job
		for range singles {
			bad = append(bad, w.wants(order{kind: wire.Array, tasks: 1, run: 10 * micro.Second, broken: true}))
		}
		huge := w.wants(order{kind: wire.Array, tasks: 3000, run: 10 * micro.Second, broken: true})
		bad = append(bad, huge)
		for _, j := range bad {
			go j.submit()
		}
		var slowest micro.Time
		for from := w.now(); w.now() < from+span; {
			j := w.wants(order{kind: wire.Array, tasks: 4, run: 5 * micro.Second, team: "other"})
			at := w.now()
			go j.submit()
			w.until(j.id+" done beside the jobs that fail", micro.Minute, func() bool { return stateOf(j.poll(w.any())) == wire.JobDone })
			slowest = max(slowest, w.now()-at)
		}
		machines, _ := w.rented()
		passes := 0
		for _, p := range w.controllers {
			passes += p.passes()
		}
		mu.Lock()
		most, all := 0, 0
		for _, j := range bad[:singles] {
			most, all = max(most, starts[j.id]), all+starts[j.id]
		}
		hugeStarts := starts[huge.id]
		mu.Unlock()
		records, hugeRecords := w.changesOf("run/"), w.changesOf("run/"+huge.id+"/")
		t.Logf("%d starts of %d jobs, %d at most of one, %d of the huge one; %d changes of records, %d of the huge one's; %d machines rented, %d passes; good work took %.1f s at most",
			all, singles, most, hugeStarts, records, hugeRecords, machines, passes, slowest.Seconds())
		if most > 20 || hugeStarts > 80 {
			t.Errorf("%d starts of one job, %d of the huge one", most, hugeStarts)
		}
		if hugeRecords > 3*hugeStarts || records > 4*(all+hugeStarts)+400 {
			t.Errorf("%d changes of records, %d of them the huge job's", records, hugeRecords)
		}
		// One for each tenth of a second at the most, of which many are for good work.
		if most := int(w.now() / (100 * micro.Millisecond)); passes > most {
			t.Errorf("%d passes", passes)
		}
		if machines > 16 {
			t.Errorf("%d machines were rented", machines)
		}
		if slowest > 25*micro.Second {
			t.Errorf("good work took %.1f s", slowest.Seconds())
		}
		var done sync.WaitGroup
		at := w.now()
		for _, j := range bad {
			done.Go(func() {
				if s := j.cancel(); s != wire.JobAborted {
					t.Errorf("%s: cancelled, and %s", j.id, s)
				}
			})
		}
		done.Wait()
		if took := w.now() - at; took > 5*micro.Second {
			t.Errorf("cancelled after %.1f s", took.Seconds())
		}
		w.sleep(5 * micro.Second)
		mu.Lock()
		before := len(starts)
		n := starts[huge.id]
		mu.Unlock()
		w.sleep(micro.Minute)
		mu.Lock()
		defer mu.Unlock()
		if len(starts) != before || starts[huge.id] != n {
			t.Error("started after the cancellation")
		}
	})
}
