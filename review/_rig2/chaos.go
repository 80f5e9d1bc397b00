package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

type scenarioFunc func(w *World, dir, root string, r *rand.Rand, secs float64) int

var scenarios = map[string]scenarioFunc{"chaos": chaos}

func (w *World) initialMachines(n map[string]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for rig, count := range n {
		for i := range count {
			w.addMachine(rig, w.zones[i%2], false, true)
		}
	}
}

func randomJob(r *rand.Rand, id string, open []string) *jobRec {
	teams := []string{"platform-crew", "ml-lab", "batch-desk", "client-api", "search-squad"}
	j := Job{ID: id, Team: teams[r.IntN(5)], Bundle: fmt.Sprintf("img-%d", r.IntN(6)), Pull: 0.1 + r.Float64()*0.6, Guess: 20}
	switch p := r.Float64(); {
	case p < 0.15:
		j.Class, j.Shape, j.Rank, j.Pieces, j.VCPUs, j.RAM, j.Scatter, j.Guess = "live-convert", "daemon", "prod", 1+r.IntN(3), 2, 3, true, 0
	case p < 0.6:
		j.Class, j.Shape, j.Rank, j.Pieces, j.VCPUs, j.RAM, j.Loaners = "bulk-scan", "batch", "standard", 1+r.IntN(8), 1, 1.8, true
		j.OneZone = r.Float64() < 0.2
	case p < 0.8:
		j.Class, j.Shape, j.Rank, j.Pieces, j.VCPUs, j.RAM, j.Loaners, j.Bookmark, j.Stash = "reindex-sweep", "batch", "idle", 1+r.IntN(5), 3, 4, true, 5, 2
	case p < 0.92:
		j.Class, j.Shape, j.Rank, j.Pieces, j.VCPUs, j.RAM, j.OneZone, j.Bookmark, j.Stash = "ocr-ensemble", "ensemble", "standard", 2+r.IntN(2), 2, 3, true, 5, 2
	default:
		j.Class, j.Shape, j.Rank, j.Pieces, j.VCPUs, j.GPUs, j.RAM, j.OneZone, j.Bookmark, j.Stash = "layout-train", "ensemble", "urgent", 1, 21, 4, 150, true, 5, 2
		j.Rigs = []string{"lynx-gpu"}
	}
	j.run = 3 + r.Float64()*22
	j.Guess = min(j.Guess, j.run*1.2)
	if j.Shape != "daemon" && len(open) > 0 && r.Float64() < 0.25 {
		j.Awaits = []string{open[r.IntN(len(open))]}
	}
	return &jobRec{job: j, doneTasks: map[int]bool{}, progress: map[int]float64{}}
}

// user follows one job from its submission to its end.
func (w *World) user(j *jobRec, r *rand.Rand, cancelAfter float64, accepted func()) {
	if !w.submit(j) {
		return
	}
	accepted()
	if r.Float64() < 0.5 {
		w.everywhere(j, r.Float64() < 0.5)
	}
	begin := time.Now()
	for {
		select {
		case <-w.stop:
			return
		default:
		}
		if cancelAfter > 0 && time.Since(begin).Seconds() > cancelAfter {
			s := w.withdraw(j)
			w.everywhere(j, r.Float64() < 0.5)
			if s != "" {
				break
			}
		}
		_, s := w.poll(w.pick(), j)
		if s == "done" || s == "aborted" {
			w.everywhere(j, r.Float64() < 0.5)
			break
		}
		time.Sleep(time.Duration((1 + r.Float64()*3) * float64(time.Second)))
	}
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(time.Duration((3 + r.Float64()*10) * float64(time.Second))):
		}
		w.everywhere(j, r.Float64() < 0.3)
	}
}

func chaos(w *World, dir, root string, r *rand.Rand, secs float64) int {
	w.bootTimes = 0.3
	w.bootFail = 0.05
	w.initialMachines(map[string]int{"klein-box": 4, "werk-node": 3, "olifant": 1, "lynx-gpu": 2})
	go w.snapshotLoop()
	next := ""
	if old := os.Getenv("OLD"); old != "" {
		w.oldRoot, next = old, nextLimits
	}
	w.startNodes(dir, root, next)
	go w.watchCancelled()
	if w.oldRoot != "" {
		go w.upgrade(root, r.Uint64())
	}
	time.Sleep(4 * time.Second)
	end := time.Now().Add(time.Duration(secs * float64(time.Second)))
	quiet := end.Add(-40 * time.Second)
	var open []string
	n := 0
	seed := r.Uint64()
	go func() {
		jr := rand.New(rand.NewPCG(seed, 2))
		for time.Now().Before(quiet) {
			n++
			id := fmt.Sprintf("j-%06d", 1000+n)
			w.mu.Lock()
			known := open
			if w.oldRoot != "" {
				known = nil // nothing new is asked before all have the new version
			}
			j := randomJob(jr, id, known)
			w.mu.Unlock()
			cancel := 0.0
			if j.job.Shape == "daemon" || jr.Float64() < 0.3 {
				cancel = 0.1 + jr.Float64()*25
			}
			ur := rand.New(rand.NewPCG(jr.Uint64(), 3))
			go w.user(j, ur, cancel, func() {
				if j.job.Shape != "daemon" {
					w.mu.Lock()
					open = append(open, id)
					if len(open) > 8 {
						open = open[1:]
					}
					w.mu.Unlock()
				}
			})
			time.Sleep(time.Duration(jr.ExpFloat64() * 1.1 * float64(time.Second)))
		}
	}()
	sec := func(a, b float64) time.Duration { return time.Duration((a + r.Float64()*(b-a)) * float64(time.Second)) }
	for time.Now().Before(quiet) {
		time.Sleep(sec(3, 20))
		w.trouble(r, root, sec)
	}
	time.Sleep(time.Until(end))
	// after the troubles: every accepted job must be known
	w.mu.Lock()
	for id, j := range w.jobs {
		if !j.told.accepted.IsZero() && time.Since(j.lastAnswer) > 75*time.Second && secs > 120 {
			w.breach("forgotten", "%s without answer for %.0f s", id, time.Since(j.lastAnswer).Seconds())
		}
	}
	w.mu.Unlock()
	return w.finish()
}

// upgrade restarts the controllers with the present version, one after the other, and then lowers the limits.
func (w *World) upgrade(root string, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 9))
	time.Sleep(20 * time.Second)
	for _, k := range r.Perm(w.nodes) {
		w.ctl[k].mu.Lock()
		w.ctl[k].root = ""
		w.ctl[k].mu.Unlock()
		w.note("controller %d is upgraded", k)
		w.crash(k, root, time.Duration(1+7*r.Float64())*time.Second)
		time.Sleep(time.Duration(8+8*r.Float64()) * time.Second)
	}
	time.Sleep(5 * time.Second)
	w.mu.Lock()
	w.oldRoot = ""
	w.mu.Unlock()
	time.Sleep(time.Duration(10*r.Float64()) * time.Second)
	w.note("the state service lowers its limits")
	w.state.mu.Lock()
	w.state.valueKB, w.state.txnOps, w.state.writeRPS = 2, 8, 21
	w.state.mu.Unlock()
}

func (w *World) leader() int {
	w.state.mu.Lock()
	defer w.state.mu.Unlock()
	v, ok := w.state.keys["leader"]
	if !ok {
		return -1
	}
	for k := range w.nodes {
		if contains([]string{string(v.raw)}, "") {
			continue
		}
		if indexOf(string(v.raw), nodeName(k)) >= 0 {
			return k
		}
	}
	return -1
}

func indexOf(s, sub string) int {
	for i := 0; i+len(sub) <= len(s); i++ {
		if s[i:i+len(sub)] == sub {
			return i
		}
	}
	return -1
}

// cutNode cuts a controller from the state service, its peers, workers.
func (w *World) cutNode(k int, state, peers, workers, cloud, hold bool, d time.Duration) {
	w.note("controller %d cut for %v: state %v peers %v workers %v cloud %v hold %v", k, d, state, peers, workers, cloud, hold)
	w.applyCut(k, state, peers, workers, cloud, hold, true)
	time.AfterFunc(d, func() { w.applyCut(k, state, peers, workers, cloud, hold, false); w.note("cut of %d over", k) })
}

func (w *World) applyCut(k int, state, peers, workers, cloud, hold, on bool) {
	if state {
		w.state.links[k].set(func(l *Link) { l.cut, l.hold = on, hold })
	}
	if cloud {
		w.cloudLink[k].set(func(l *Link) { l.cut, l.hold = on, hold })
	}
	if peers {
		for j := range w.nodes {
			if j != k {
				w.peers[k][j].set(on, false)
				w.peers[j][k].set(on, false)
			}
		}
	}
	if workers {
		w.mu.Lock()
		for _, m := range w.machines {
			m.repCut[k], m.dirCut[k] = on, on
		}
		w.mu.Unlock()
	}
}

func (w *World) trouble(r *rand.Rand, root string, sec func(a, b float64) time.Duration) {
	any := func() *Machine {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, m := range w.machines {
			if m.up && !m.dead {
				return m
			}
		}
		return nil
	}
	target := r.IntN(w.nodes)
	if l := w.leader(); l >= 0 && r.Float64() < 0.6 {
		target = l
	}
	switch r.IntN(22) {
	case 0, 1:
		w.crash(target, root, sec(0.1, 8))
	case 2:
		for k := range w.nodes {
			w.crash(k, root, sec(0.1, 9))
		}
	case 3:
		d := sec(1, 45)
		w.note("controller %d stands still for %v", target, d)
		w.signal(target, syscall.SIGSTOP)
		time.AfterFunc(d, func() { w.signal(target, syscall.SIGCONT) })
	case 4:
		d := sec(2, 45)
		w.note("state service refuses %d for %v", target, d)
		w.state.links[target].set(func(l *Link) { l.refuse = true })
		time.AfterFunc(d, func() { w.state.links[target].set(func(l *Link) { l.refuse = false }) })
	case 5:
		d := sec(2, 60)
		w.note("state service out for %v", d)
		w.state.setOutage(true)
		time.AfterFunc(d, func() { w.state.setOutage(false) })
	case 6:
		w.cutNode(target, true, true, true, true, r.Float64() < 0.5, sec(3, 60))
	case 7:
		w.cutNode(target, true, r.Float64() < 0.5, false, false, r.Float64() < 0.5, sec(3, 60))
	case 8:
		w.cutNode(target, false, false, true, false, true, sec(3, 25))
	case 9:
		if m := any(); m != nil {
			d := sec(2, 45)
			w.note("%s hangs for %v", m.name, d)
			w.mu.Lock()
			m.hungUntil = time.Now().Add(d)
			w.mu.Unlock()
		}
	case 10:
		if m := any(); m != nil {
			w.note("%s dies", m.name)
			w.mu.Lock()
			m.die("died")
			w.mu.Unlock()
		}
	case 11:
		d := sec(5, 30)
		w.note("transactions late for %v", d)
		for _, l := range w.state.links {
			l.set(func(l *Link) { l.late, l.lost = 0.15, 0.15 })
		}
		time.AfterFunc(d, func() {
			for _, l := range w.state.links {
				l.set(func(l *Link) { l.late, l.lost = 0, 0 })
			}
		})
	case 12:
		d := sec(5, 30)
		w.note("late commands and reports for %v", d)
		w.mu.Lock()
		w.lateCmd, w.lateRep = 0.3, 0.3
		w.mu.Unlock()
		time.AfterFunc(d, func() { w.mu.Lock(); w.lateCmd, w.lateRep = 0, 0; w.mu.Unlock() })
	case 13:
		d := sec(5, 45)
		z := w.zones[r.IntN(2)]
		w.note("machines in %s deaf/mute for %v", z, d)
		mode := r.IntN(3)
		w.mu.Lock()
		var ms []*Machine
		for _, m := range w.machines {
			if m.zone == z && r.Float64() < 0.6 {
				ms = append(ms, m)
			}
		}
		set := func(on bool) {
			for _, m := range ms {
				for k := range w.nodes {
					switch mode {
					case 0:
						m.deaf[k], m.dirCut[k] = on, on
					case 1:
						m.repCut[k] = on
					case 2:
						m.repCut[k], m.dirCut[k] = on, on
					}
				}
			}
		}
		set(true)
		w.mu.Unlock()
		time.AfterFunc(d, func() { w.mu.Lock(); set(false); w.mu.Unlock() })
	case 14:
		d := sec(5, 50)
		z := w.zones[r.IntN(2)]
		w.note("zone %s cut off for %v", z, d)
		w.cutZone(z, true)
		time.AfterFunc(d, func() { w.cutZone(z, false); w.note("zone back") })
	case 15:
		d := sec(5, 20)
		lo := r.Float64() * 0.9
		w.note("state service slow for %v (up to %.1f s)", d, lo*2)
		for _, l := range w.state.links {
			l.set(func(l *Link) {
				l.slow = func() time.Duration { return time.Duration(rand.Float64() * lo * 2 * float64(time.Second)) }
			})
		}
		time.AfterFunc(d, func() {
			for _, l := range w.state.links {
				l.set(func(l *Link) { l.slow = nil })
			}
		})
	case 17:
		d := sec(5, 60)
		w.note("the zones can't reach each other for %v", d)
		w.splitZones(true)
		time.AfterFunc(d, func() { w.splitZones(false); w.note("zones together again") })
	case 18:
		w.note("spot machines taken")
		w.mu.Lock()
		for _, m := range w.machines {
			if m.spot && m.up && !m.dead && r.Float64() < 0.5 {
				if r.Float64() < 0.3 {
					m.die("taken")
					delete(w.machines, m.name)
					w.gone[m.name] = true
					continue
				}
				notice := sec(5, 15)
				m.recall = time.Now().Add(notice)
				m.changed = true
				time.AfterFunc(notice, func() {
					w.mu.Lock()
					defer w.mu.Unlock()
					if !m.dead {
						m.die("taken")
						delete(w.machines, m.name)
						w.gone[m.name] = true
					}
				})
			}
		}
		w.mu.Unlock()
	case 20, 21:
		d := sec(8, 40)
		stop := time.Duration(50+r.IntN(400)) * time.Millisecond
		w.note("controller %d is slow for %v: it stands still for %v of each %v", target, d, stop, stop*4/3)
		end := time.Now().Add(d)
		go func() {
			for time.Now().Before(end) {
				w.signal(target, syscall.SIGSTOP)
				time.Sleep(stop)
				w.signal(target, syscall.SIGCONT)
				time.Sleep(stop / 3)
			}
		}()
	case 19:
		for k := range w.nodes {
			time.AfterFunc(time.Duration(k)*sec(1, 8), func() { w.crash(k, root, time.Duration(2+6*rand.Float64())*time.Second) })
		}
	case 16:
		d := sec(5, 20)
		w.note("connections between controllers refused for %v", d)
		for i := range w.nodes {
			for j := range w.nodes {
				if i != j {
					w.peers[i][j].set(false, true)
				}
			}
		}
		time.AfterFunc(d, func() {
			for i := range w.nodes {
				for j := range w.nodes {
					if i != j {
						w.peers[i][j].set(false, false)
					}
				}
			}
		})
	}
}

// splitZones separates the controllers and workers of the two zones, but nothing from the region.
func (w *World) splitZones(on bool) {
	for k := range w.nodes {
		for j := range w.nodes {
			if j != k && w.nodeZone[j] != w.nodeZone[k] {
				w.peers[k][j].set(on, false)
			}
		}
		w.mu.Lock()
		for _, m := range w.machines {
			if m.zone != w.nodeZone[k] {
				m.repCut[k], m.dirCut[k] = on, on
			}
		}
		w.mu.Unlock()
	}
}

// cutZone separates a zone from the other and from everything of the region.
func (w *World) cutZone(z string, on bool) {
	for k := range w.nodes {
		in := w.nodeZone[k] == z
		if in {
			w.state.links[k].set(func(l *Link) { l.cut, l.hold = on, true })
			w.cloudLink[k].set(func(l *Link) { l.cut, l.hold = on, true })
		}
		for j := range w.nodes {
			if j != k && (w.nodeZone[j] == z) != in {
				w.peers[k][j].set(on, false)
			}
		}
		w.mu.Lock()
		for _, m := range w.machines {
			if (m.zone == z) != in {
				m.repCut[k], m.dirCut[k] = on, on
			}
		}
		w.mu.Unlock()
	}
}
