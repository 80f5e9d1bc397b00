// Command rig runs controllers as separate processes against stand-ins of the state service, the cloud, workers and
// users, and judges what users, workers and the cloud see by the rules of the protocol.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sort"
	"syscall"
	"time"
)

func newWorld(nodes int, out *os.File) *World {
	w := &World{
		start: time.Now(), out: out, nodes: nodes, members: nodes, zones: []string{"cape-rack", "gauteng-rack"}, cap: map[string]int{},
		machines: map[string]*Machine{}, gone: map[string]bool{}, hires: map[string][]string{}, jobs: map[string]*jobRec{}, teams: map[string][2]float64{},
		onMachine: map[string]map[*Task]bool{}, gangs: map[string]*Gang{}, broken: map[string]int{}, stop: make(chan struct{}),
		reportS: 3, leaseS: 30, cancelS: 50, gangWait: 40, gangPeer: 8, listLag: 6, bootTimes: 1,
	}
	w.rigs = []Rig{
		{"klein-box", 4, 0, 16, 35, 0.5, 0.16, 0.05, 30, w.zones},
		{"werk-node", 8, 0, 16, 70, 1, 0.33, 0.1, 30, w.zones},
		{"olifant", 64, 0, 512, 70, 0.4, 3.06, 0.98, 15, w.zones},
		{"lynx-gpu", 24, 4, 192, 120, 0.5, 9.97, 3.53, 60, w.zones},
	}
	for _, r := range w.rigs {
		for _, z := range w.zones {
			w.cap[r.Label+"/"+z+"/false"], w.cap[r.Label+"/"+z+"/true"] = 5, 3
		}
	}
	for k := range nodes {
		w.nodeZone = append(w.nodeZone, w.zones[k%2])
		w.cloudLink = append(w.cloudLink, &Link{})
	}
	w.state = newState(nodes)
	w.teams["platform-crew"] = [2]float64{0, 16}
	w.teams["ml-lab"] = [2]float64{0, 40}
	w.teams["batch-desk"] = [2]float64{0, 12}
	w.teams["client-api"] = [2]float64{24, 32}
	w.teams["search-squad"] = [2]float64{12, 16}
	return w
}

// watchCancelled checks ran_cancelled and orphaned each half second.
func (w *World) watchCancelled() {
	told := map[string]bool{}
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		w.mu.Lock()
		for _, set := range w.onMachine {
			for t := range set {
				if a := t.job.told.aborted; !a.IsZero() && time.Since(a).Seconds() > w.cancelS && !told[t.name] {
					told[t.name] = true
					w.breach("ran_cancelled", "%s.%d is on %s %.1f s after the confirmed cancellation (%s)", t.name, t.try, t.m.name, time.Since(a).Seconds(), t.state)
				}
			}
		}
		w.mu.Unlock()
	}
}

func (w *World) finish() int {
	close(w.stop)
	for k := range w.ctl {
		w.signal(k, syscall.SIGCONT)
		w.signal(k, syscall.SIGKILL)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var rules []string
	for r := range w.broken {
		rules = append(rules, r)
	}
	sort.Strings(rules)
	accepted, done, aborted, open := 0, 0, 0, 0
	for _, j := range w.jobs {
		switch {
		case j.told.accepted.IsZero():
		case !j.told.done.IsZero():
			done++
		case !j.told.aborted.IsZero():
			aborted++
		default:
			open++
			w.logf("OPEN %s %s %s pieces %d starts %d done %d asked to cancel %v awaits %v accepted %.0f s ago", j.job.ID, j.job.Class, j.job.Team, j.job.Pieces, j.starts, len(j.doneTasks), !j.told.askedCancel.IsZero(), j.job.Awaits, time.Since(j.told.accepted).Seconds())
		}
		if !j.told.accepted.IsZero() {
			accepted++
		}
	}
	w.logf("END accepted %d done %d aborted %d open %d; store: 429 %d, 400 %d, 409 %d, changes %d; broken: %v", accepted, done, aborted, open,
		w.state.count429, w.state.count400, w.state.count409, w.state.ops, w.broken)
	fmt.Printf("accepted %d done %d aborted %d open %d 429s %d 400s %d broken %v\n", accepted, done, aborted, open, w.state.count429, w.state.count400, w.broken)
	for _, l := range w.first {
		fmt.Println("  ", l)
	}
	switch {
	case w.rule != "" && w.broken[w.rule] > 0, w.rule == "" && len(w.broken) > 0:
		return 1
	case w.rule != "" && w.broken["crash"] > 0:
		return 2 // as when a port was taken meanwhile
	}
	return 0
}

func main() {
	scenario := flag.String("scenario", "chaos", "")
	dir := flag.String("dir", "", "")
	root := flag.String("root", ".", "")
	seed := flag.Uint64("seed", uint64(time.Now().UnixNano()), "")
	secs := flag.Float64("for", 150, "")
	nodes := flag.Int("nodes", 3, "")
	verbose := flag.Bool("v", true, "")
	flag.Parse()
	if *dir == "" {
		*dir, _ = os.MkdirTemp("", "rig")
	}
	_ = os.MkdirAll(*dir, 0o755)
	*root, _ = filepath.Abs(*root)
	out, err := os.Create(filepath.Join(*dir, "record.txt"))
	if err != nil {
		panic(err)
	}
	w := newWorld(*nodes, out)
	w.verbose = *verbose
	r := rand.New(rand.NewPCG(*seed, 1))
	fmt.Println("dir", *dir, "seed", *seed)
	f := scenarios[*scenario]
	if f == nil {
		fmt.Println("no such scenario")
		os.Exit(2)
	}
	code := f(w, *dir, *root, r, *secs)
	for k := range w.ctl {
		w.signal(k, syscall.SIGCONT)
		w.signal(k, syscall.SIGKILL)
	}
	os.Exit(code)
}
