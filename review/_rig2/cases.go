package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

func init() {
	scenarios["limits"] = limits
	scenarios["huge"] = huge
	scenarios["mistakes"] = mistakes
	scenarios["growth"] = growth
	scenarios["gpuonly"] = gpuonly
	scenarios["few"] = few
	scenarios["cloud"] = cloudOutage
}

var trouble = os.Getenv("TROUBLE") != "0"

func newJob(j Job, run float64) *jobRec {
	j.Guess, j.run = run, run
	return &jobRec{job: j, doneTasks: map[int]bool{}, progress: map[int]float64{}}
}

func (w *World) setup(dir, root string, machines map[string]int) {
	w.initialMachines(machines)
	go w.snapshotLoop()
	w.startNodes(dir, root, "")
	go w.watchCancelled()
}

func (w *World) waitKey(key string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		w.state.mu.Lock()
		_, ok := w.state.keys[key]
		w.state.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

const nextLimits = "[facts.state.next]\nwrite_rps = 21.0\nvalue_kb = 2.0\ntxn_ops = 8\n"

// limits: the settings of a running deployment announce lower limits of the state service, the controllers are
// restarted one after the other with them, and then the limits come into force.
func limits(w *World, dir, root string, r *rand.Rand, secs float64) int {
	w.rule = "left_waiting"
	w.setup(dir, root, map[string]int{"klein-box": 46})
	if !w.waitKey("fleet/format", 20*time.Second) {
		return 2
	}
	first := newJob(Job{ID: "j-000001", Class: "bulk-scan", Team: "ml-lab", Shape: "batch", Rank: "standard", Pieces: 4, VCPUs: 1, RAM: 1.8, Bundle: "img-1", Pull: 0.2}, 3)
	if !w.submit(first) {
		return 2
	}
	for k := range w.nodes {
		w.note("controller %d restarts (next limits in its settings: %v)", k, trouble)
		w.signal(k, syscall.SIGKILL)
		time.Sleep(300 * time.Millisecond)
		if trouble {
			w.settings(k, nextLimits)
		}
		w.startNode(k, root)
		time.Sleep(2500 * time.Millisecond)
	}
	if trouble {
		w.note("the state service lowers its limits")
		w.state.mu.Lock()
		w.state.valueKB, w.state.txnOps, w.state.writeRPS = 2, 8, 21
		w.state.mu.Unlock()
	}
	time.Sleep(8 * time.Second) // until all machines have reported to the last leader
	big := newJob(Job{ID: "j-000002", Class: "corpus-trawl", Team: "platform-crew", Shape: "batch", Rank: "idle", Pieces: 128, VCPUs: 1.3, RAM: 3.6, Bundle: "img-2", Pull: 0.2, Loaners: true}, 8)
	if !w.submit(big) {
		return 2
	}
	time.Sleep(2 * time.Second)
	small := newJob(Job{ID: "j-000003", Class: "bulk-scan", Team: "ml-lab", Shape: "batch", Rank: "standard", Pieces: 11, VCPUs: 1, RAM: 1.8, Bundle: "img-1", Pull: 0.2}, 5)
	if !w.submit(small) {
		return 2
	}
	end := time.Now().Add(time.Duration(secs * float64(time.Second)))
	var since time.Time
	for time.Now().Before(end) && big.told.done.IsZero() {
		w.poll(w.pick(), big)
		if small.told.done.IsZero() {
			w.poll(w.pick(), small)
		}
		w.mu.Lock()
		switch {
		case !w.waiting(big):
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case time.Since(since) > 90*time.Second && len(w.broken) == 0:
			w.breach("left_waiting", "%s waits for %.0f s, %d of its %d tasks are done, with room on machines and its team under its limit", big.job.ID, time.Since(since).Seconds(), len(big.doneTasks), big.job.Pieces)
		}
		w.mu.Unlock()
		if len(w.broken) > 0 {
			break
		}
		time.Sleep(time.Second)
	}
	w.mu.Lock()
	fmt.Println("j-000002:", big.starts, "starts,", len(big.doneTasks), "done; j-000003:", small.starts, "starts,", len(small.doneTasks), "done")
	w.mu.Unlock()
	return w.finish()
}

// waiting reports whether a job has a task that is neither done nor on a machine, while a machine has room for it. The
// caller holds w.mu. The team of the job has no limit on CPUs.
func (w *World) waiting(j *jobRec) bool {
	present := map[int]bool{}
	room := false
	for _, m := range w.machines {
		var c, r float64
		for _, t := range m.tasks {
			if t.state == "ended" || t.job == nil {
				continue
			}
			c, r = c+t.job.job.VCPUs, r+t.job.job.RAM
			if t.job == j {
				present[t.index] = true
			}
		}
		if m.up && !m.dead && !m.hung() && c+j.job.VCPUs <= m.rig.VCPUs && r+j.job.RAM <= m.rig.RAM {
			room = true
		}
	}
	return room && len(present)+len(j.doneTasks) < j.job.Pieces
}

// huge: very large arrays and a leader that ends.
func huge(w *World, dir, root string, r *rand.Rand, secs float64) int {
	w.setup(dir, root, map[string]int{"klein-box": 9, "werk-node": 7, "olifant": 2})
	if !w.waitKey("fleet/format", 20*time.Second) {
		return 2
	}
	for i, shape := range []string{"batch", "ensemble", "daemon", "batch"} {
		j := newJob(Job{ID: fmt.Sprintf("j-%06d", i+1), Class: "huge-" + shape, Team: "platform-crew", Shape: shape, Rank: "idle", Pieces: 100000, VCPUs: 1, RAM: 1, Bundle: "img-2", Pull: 0.2, Loaners: true}, 8)
		if !w.submit(j) {
			return 2
		}
	}
	time.Sleep(15 * time.Second)
	l := w.leader()
	w.crash(l, root, time.Second)
	end := time.Now().Add(time.Duration(secs * float64(time.Second)))
	for time.Now().Before(end) {
		w.mu.Lock()
		js := []*jobRec{}
		for _, j := range w.jobs {
			js = append(js, j)
		}
		w.mu.Unlock()
		for _, j := range js {
			s, t := w.poll(w.pick(), j)
			w.mu.Lock()
			w.logf("poll %s: %d %s starts %d done %d", j.job.ID, s, t, j.starts, len(j.doneTasks))
			w.mu.Unlock()
		}
		time.Sleep(3 * time.Second)
	}
	return w.finish()
}

// mistakes: jobs that fail on every machine, and others that would not.
func mistakes(w *World, dir, root string, r *rand.Rand, secs float64) int {
	w.bootTimes = 0.3
	w.setup(dir, root, map[string]int{"klein-box": 9, "werk-node": 7, "olifant": 2, "lynx-gpu": 2})
	if !w.waitKey("fleet/format", 20*time.Second) {
		return 2
	}
	teams := []string{"platform-crew", "ml-lab", "batch-desk", "client-api", "search-squad"}
	n := 0
	submit := func(broken bool) {
		n++
		p := r.Float64()
		j := newJob(Job{
			ID: fmt.Sprintf("j-%06d", n), Class: "bulk-scan", Team: teams[r.IntN(5)], Shape: "batch", Rank: "standard", Pieces: 1 + r.IntN(11), VCPUs: 1, RAM: 1.8,
			Bundle: fmt.Sprintf("img-%d", r.IntN(4)), Pull: 0.4, Loaners: true,
		}, 3+r.Float64()*6)
		if p < 0.3 {
			j.job.Class, j.job.Rank, j.job.Pieces, j.job.VCPUs, j.job.RAM = "reindex-sweep", "idle", 1+r.IntN(5), 4, 4.3
		} else if p < 0.4 {
			j.job.Class, j.job.Rank, j.job.Shape, j.job.Pieces, j.job.VCPUs, j.job.GPUs, j.job.RAM, j.job.Rigs = "layout-train", "urgent", "ensemble", 1, 21, 4, 150, []string{"lynx-gpu"}
		}
		j.job.broken = broken
		go w.user(j, rand.New(rand.NewPCG(r.Uint64(), 1)), 0, func() {})
	}
	end := time.Now().Add(time.Duration(secs * float64(time.Second)))
	for time.Now().Before(end) {
		submit(trouble && r.Float64() < 0.25)
		time.Sleep(time.Duration(1+r.Float64()*2) * time.Second)
	}
	w.mu.Lock()
	for id, j := range w.jobs {
		wait := -1.0
		if !j.firstStart.IsZero() {
			wait = j.firstStart.Sub(j.submitted).Seconds()
		}
		if !j.job.broken && (wait < 0 || wait > 15) && time.Since(j.submitted) > 20*time.Second {
			w.logf("WAIT %s %s %s: %.1f s (submitted %.1f s ago)", id, j.job.Class, j.job.Team, wait, time.Since(j.submitted).Seconds())
		}
	}
	w.mu.Unlock()
	return w.finish()
}

// growth: the deployment grows from three to five controllers, which are restarted one after the other with the new
// settings; meanwhile a zone is cut off.
func growth(w *World, dir, root string, r *rand.Rand, secs float64) int {
	w.members, w.rule = 3, "ran_twice"
	w.setup(dir, root, map[string]int{"werk-node": 8, "klein-box": 8})
	if !w.waitKey("fleet/format", 20*time.Second) {
		return 2
	}
	for i := range 4 {
		j := newJob(Job{ID: fmt.Sprintf("j-%06d", i+1), Class: "bulk-scan", Team: "ml-lab", Shape: "batch", Rank: "standard", Pieces: 11, VCPUs: 1, RAM: 1.8, Bundle: "img-1", Pull: 0.2}, 200)
		if !w.submit(j) {
			return 2
		}
	}
	time.Sleep(4 * time.Second)
	w.members = 5
	w.note("controllers 3 and 4 are added; controller 1 is the first to be restarted with the new settings")
	for _, k := range []int{3, 4, 1} {
		w.settings(k, "")
	}
	if w.leader() == 1 { // the roll begins with a controller that does not lead
		w.signal(1, syscall.SIGKILL)
		time.Sleep(6 * time.Second)
	}
	w.startNode(3, root)
	w.startNode(4, root)
	w.signal(1, syscall.SIGKILL)
	time.Sleep(time.Second)
	w.startNode(1, root)
	time.Sleep(5 * time.Second)
	if trouble {
		w.note("zone gauteng-rack is cut off for 55 s")
		w.cutZone("gauteng-rack", true)
		time.AfterFunc(55*time.Second, func() { w.cutZone("gauteng-rack", false); w.note("zone back") })
	}
	other := 2 - w.leader()
	time.AfterFunc(25*time.Second, func() {
		w.note("controller %d is restarted with the new settings", other)
		w.settings(other, "")
		w.signal(other, syscall.SIGKILL)
		time.Sleep(time.Second)
		w.startNode(other, root)
	})
	time.Sleep(time.Duration(secs * float64(time.Second)))
	return w.finish()
}

// cloudOutage: all controllers end while the cloud is out, and are back after some seconds.
func cloudOutage(w *World, dir, root string, r *rand.Rand, secs float64) int {
	w.rule = "unanswered"
	w.setup(dir, root, map[string]int{"werk-node": 6, "klein-box": 4})
	if !w.waitKey("fleet/format", 20*time.Second) {
		return 2
	}
	var jobs []*jobRec
	for i := range 3 {
		j := newJob(
			Job{
				ID: fmt.Sprintf("j-%06d", i+1), Class: "live-convert", Team: "ml-lab", Shape: "daemon", Rank: "prod",
				Pieces: 2, VCPUs: 4, RAM: 6.6, Scatter: true, Bundle: "img-1", Pull: 0.2,
			}, 0,
		)
		if !w.submit(j) {
			return 2
		}
		jobs = append(jobs, j)
	}
	time.Sleep(6 * time.Second)
	running := func() (n int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, set := range w.onMachine {
			n += len(set)
		}
		return n
	}
	if running() != 6 {
		return 2
	}
	if trouble {
		w.note("the cloud is out")
		for _, l := range w.cloudLink {
			l.set(func(l *Link) { l.refuse = true })
		}
	}
	time.Sleep(2 * time.Second)
	for k := range w.nodes {
		w.crash(k, root, 6*time.Second)
	}
	time.Sleep(12 * time.Second)
	begin := time.Now()
	answer := w.withdraw(jobs[2])
	w.mu.Lock()
	w.logf("withdraw of %s: %q after %.1f s", jobs[2].job.ID, answer, time.Since(begin).Seconds())
	if answer == "" {
		w.breach(
			"unanswered", "the withdrawal of %s was repeated for %.0f s without an answer, with workers and state service well",
			jobs[2].job.ID, time.Since(begin).Seconds(),
		)
	}
	w.mu.Unlock()
	time.Sleep(time.Until(begin.Add(45 * time.Second)))
	for _, j := range jobs {
		w.poll(w.pick(), j)
	}
	w.mu.Lock()
	fmt.Printf("withdraw answered %q; leader %d\n", answer, w.leader())
	w.mu.Unlock()
	fmt.Println("replicas on machines:", running())
	return w.finish()
}

// few: jobs with a mistake and sound ones compete for the few machines of one type that the cloud has.
func few(w *World, dir, root string, r *rand.Rand, secs float64) int {
	w.rule = "left_waiting"
	w.cap["lynx-gpu/cape-rack/false"], w.cap["lynx-gpu/gauteng-rack/false"] = 1, 1
	w.cap["lynx-gpu/cape-rack/true"], w.cap["lynx-gpu/gauteng-rack/true"] = 0, 0
	w.setup(dir, root, map[string]int{"klein-box": 4, "werk-node": 4, "lynx-gpu": 2})
	if !w.waitKey("fleet/format", 20*time.Second) {
		return 2
	}
	n := 0
	train := func(team string, broken bool, run float64) *jobRec {
		n++
		j := newJob(Job{
			ID: fmt.Sprintf("j-%06d", n), Class: "layout-train", Team: team, Shape: "ensemble", Rank: "urgent", Pieces: 1, VCPUs: 21, GPUs: 4, RAM: 150, OneZone: true, Rigs: []string{"lynx-gpu"},
			Bookmark: 20, Stash: 4, Bundle: "img-1", Pull: 0.3,
		}, run)
		j.job.broken = broken
		w.submit(j)
		return j
	}
	train("ml-lab", false, 3)
	time.Sleep(5 * time.Second)
	if trouble {
		for _, t := range []string{"platform-crew", "batch-desk", "ml-lab", "platform-crew"} {
			train(t, true, 10)
			time.Sleep(time.Second)
		}
	}
	time.Sleep(6 * time.Second)
	good := []*jobRec{train("ml-lab", false, 5), train("platform-crew", false, 5)}
	begin := time.Now()
	since := map[*jobRec]time.Time{}
	for time.Since(begin).Seconds() < secs {
		w.mu.Lock()
		for _, j := range good {
			switch {
			case !w.waiting(j):
				delete(since, j)
			case since[j].IsZero():
				since[j] = time.Now()
			case time.Since(since[j]) > 90*time.Second:
				w.breach("left_waiting", "%s waits", j.job.ID)
				since[j] = time.Now().Add(time.Hour)
			}
		}
		w.mu.Unlock()
		for _, j := range good {
			w.poll(w.pick(), j)
		}
		time.Sleep(time.Second)
	}
	w.mu.Lock()
	for id, j := range w.jobs {
		wait := -1.0
		if !j.firstStart.IsZero() {
			wait = j.firstStart.Sub(j.submitted).Seconds()
		}
		fmt.Println(id, "broken", j.job.broken, "starts", j.starts, "done", len(j.doneTasks), "waited", wait)
	}
	w.mu.Unlock()
	return w.finish()
}

// gpuonly: the cloud has no machines to give but those with GPUs that are up.
func gpuonly(w *World, dir, root string, r *rand.Rand, secs float64) int {
	w.rule = "left_waiting"
	for k := range w.cap {
		w.cap[k] = 0
	}
	w.setup(dir, root, map[string]int{"lynx-gpu": 3, "klein-box": 1})
	if !w.waitKey("fleet/format", 20*time.Second) {
		return 2
	}
	var js []*jobRec
	for i, rank := range []string{"idle", "standard", "urgent", "prod"} {
		shape := "batch"
		if rank == "prod" {
			shape = "daemon"
		}
		j := newJob(Job{ID: fmt.Sprintf("j-%06d", i+1), Class: "c-" + rank, Team: "ml-lab", Shape: shape, Rank: rank, Pieces: 6, VCPUs: 2, RAM: 7, Bundle: "img-1", Pull: 0.2}, 8)
		w.submit(j)
		js = append(js, j)
	}
	begin := time.Now()
	for time.Since(begin).Seconds() < secs {
		for _, j := range js {
			w.poll(w.pick(), j)
		}
		time.Sleep(time.Second)
	}
	for _, j := range js {
		wait := -1.0
		if !j.firstStart.IsZero() {
			wait = j.firstStart.Sub(j.submitted).Seconds()
		}
		fmt.Println(j.job.ID, j.job.Rank, "starts", j.starts, "done", len(j.doneTasks), "waited", wait, "waiting", w.waiting(j))
	}
	return w.finish()
}
