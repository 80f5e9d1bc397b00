package sched

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// guestDay is a fleet that the work of other teams keeps full, and a guest team
// without a guarantee beside it: a huge array, some arrays and a swarm of single
// tasks, and ten of each of some other classes, all of the last rank.
type guestDay struct {
	*simulation
	huge  *model.Job
	crawl []*model.Job
	swarm []*model.Job

	hostsDone int // tasks of the other teams
	mostHeld  int // machines that were gathered at a time
}

const (
	guestMachines = 32
	guestSpan     = 10 * micro.Minute
)

func playGuestDay(t *testing.T, span micro.Time, others int, set func(*Placer)) *guestDay {
	d := &guestDay{simulation: newSimulation(t, guestMachines, 0)}
	if set != nil {
		set(d.p)
	}
	room := float64(8 * guestMachines)
	d.c.Teams["host"] = &model.Team{Name: "host", CPUs: room}
	d.c.Teams["guest"] = &model.Team{Name: "guest", CPUsMax: room / 2}
	n := 0
	submit := func(team, class string, rank wire.Priority, tasks int) *model.Job {
		n++
		return d.c.AddJob(wire.Job{ID: fmt.Sprint(goodJobs, 10000+n), Team: team, Class: class, Kind: wire.Array, Priority: rank, Tasks: tasks, CPUs: 1, MemoryGB: 1,
			EstimateS: simulatedRun.Seconds()}, d.now, d.now)
	}
	busy := func() { // there is always more of the others' work than room
		waiting := 0
		for j := range d.c.Pending {
			if j.Team.Name == "host" {
				waiting += j.Waiting()
			}
		}
		for ; waiting < 8*guestMachines; waiting += 16 {
			submit("host", "report", wire.Normal, 16)
		}
	}
	busy()
	d.during(10 * micro.Second)
	d.each = func() {
		busy()
		held := 0
		for _, m := range d.c.List() {
			if m.Gathered && m.Reserve != nil {
				held++
			}
		}
		d.mostHeld = max(d.mostHeld, held)
	}
	d.huge = submit("guest", "tagging", wire.Low, 2000)
	for range 6 {
		d.crawl = append(d.crawl, submit("guest", "crawl", wire.Low, 8))
	}
	for i := range others {
		for range 10 {
			submit("guest", fmt.Sprint("other", i), wire.Low, 1)
		}
	}
	for end := d.now + span; d.now < end; {
		if len(d.swarm) < 60 {
			d.swarm = append(d.swarm, submit("guest", "spellcheck", wire.Low, 1))
		}
		d.during(4 * micro.Second)
	}
	for _, j := range d.c.Jobs {
		if j.Team.Name == "host" {
			d.hostsDone += j.DoneN
		}
	}
	return d
}

// beganWithin counts the jobs whose first task began to run within a time of their
// submission.
func (d *guestDay) beganWithin(jobs []*model.Job, most micro.Time) int {
	n := 0
	for _, j := range jobs {
		for i := range j.Tasks {
			if at, ok := d.begun[wire.TaskName(j.Spec.ID, i)]; ok && at-j.Submitted <= most {
				n++
				break
			}
		}
	}
	return n
}

// A guest team without a guarantee asks for room while the others, of a higher rank,
// have more work than there is room for. Ageing alone gives it any: room is gathered
// for its starved classes. Half of each class begins within four minutes, the
// largest jobs among them, and the others lose little. Without ageing nothing does.
func TestGuestWithoutAGuaranteeIsServedInPart(t *testing.T) {
	const most = 4 * micro.Minute
	d := playGuestDay(t, guestSpan, 0, nil)
	for class, jobs := range map[string][]*model.Job{"tagging": {d.huge}, "crawl": d.crawl, "spellcheck": d.swarm} {
		n := d.beganWithin(jobs, most)
		t.Logf("%s: %d of %d began within four minutes", class, n, len(jobs))
		if 2*n < len(jobs) {
			t.Errorf("%s: %d of %d began within four minutes", class, n, len(jobs))
		}
	}
	t.Logf("%d tasks of the huge array are done, %d of the others", d.huge.DoneN, d.hostsDone)
	if d.huge.DoneN < 8 {
		t.Errorf("%d tasks of the huge array are done", d.huge.DoneN)
	}
	// The room of all machines for all the time, less a tenth and the fetches.
	if all := 8 * guestMachines * int(guestSpan/(simulatedRun+simulatedFetch+2*micro.Second)); d.hostsDone < all*9/10 {
		t.Errorf("the others got %d tasks done, of %d at the most", d.hostsDone, all)
	}
}

// However many classes starve, one machine in sixteen is held for them at most beside
// those, as many again, that are being gathered.
func TestNoMoreMachinesAreHeldForManyStarvedClasses(t *testing.T) {
	if d := playGuestDay(t, 5*micro.Minute, 4, nil); d.mostHeld == 0 || d.mostHeld > 2*guestMachines/gatherShare {
		t.Errorf("%d machines were held at a time", d.mostHeld)
	}
}

func TestGuestGetsNothingWithoutAgeing(t *testing.T) {
	d := playGuestDay(t, 5*micro.Minute, 0, func(p *Placer) { p.Props.AgeAfter = Distant })
	if n := d.huge.HeldN + d.beganWithin(append(append(d.crawl, d.swarm...), d.huge), Distant); n > 0 {
		t.Errorf("%d of the guest's jobs began: other room than what is gathered is left, and the test before shows nothing", n)
	}
}
