package model_test

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

func allSettled(*model.Job) bool { return true }

// A leader of a fleet that runs for months kept each job that it ever saw.
func TestEntriesKeptDoNotGrowWithTheAgeOfATerm(t *testing.T) {
	s := newSite(t)
	const perMinute = 50
	for minute := range 240 {
		for i := range perMinute {
			id := fmt.Sprintf("j-%d", minute*perMinute+i)
			s.c.End(s.job(id, wire.Array, 4, 1), i%2 == 0, s.now)
			name := fmt.Sprintf("i-%d", minute*perMinute+i)
			s.c.Depart(s.c.Machine(name, s.now), s.now)
		}
		s.now += micro.Minute
		s.c.Prune(s.now, allSettled)
	}
	if most := 11 * perMinute; len(s.c.Jobs) > most {
		t.Errorf("%d jobs are kept, %d at the most", len(s.c.Jobs), most)
	}
	if most := 61 * perMinute; len(s.c.Ends) > most || len(s.c.Gone) > most {
		t.Errorf("%d ends and %d departed machines are kept, %d at the most", len(s.c.Ends), len(s.c.Gone), most)
	}
}

// What is over, but for a place that is not proven free, still takes part of its
// team's limit; and an end that a waiting job names is what that job waits for.
func TestPruneKeepsWhatIsStillNeeded(t *testing.T) {
	s := newSite(t)
	w := s.worker("i-1", "a")
	held := s.job("j-1", wire.Array, 1, 1)
	s.place(1)
	s.persist()
	s.beat(w)
	s.c.End(held, true, s.now)
	s.c.End(s.job("j-2", wire.Array, 1, 1), false, s.now)
	s.c.End(s.job("j-3", wire.Array, 1, 1), false, s.now)
	unwritten := s.job("j-4", wire.Array, 1, 1)
	s.c.End(unwritten, false, s.now)
	waiting := s.add(stage("j-5", "j-2", "j-99"))
	s.now += 2 * 60 * micro.Minute
	s.c.Prune(s.now, func(j *model.Job) bool { return j != unwritten })
	if s.c.Jobs["j-1"] == nil {
		t.Error("a job with a place that is not proven free was forgotten")
	}
	if s.c.Jobs["j-4"] == nil {
		t.Error("a job with something still to be written was forgotten")
	}
	if _, ok := s.c.Ends["j-2"]; !ok || len(s.c.Lacks(waiting)) != 1 {
		t.Errorf("the end of an awaited job was forgotten: waits for %v", s.c.Lacks(waiting))
	}
	if s.c.Jobs["j-3"] != nil || s.c.Jobs["j-5"] == nil {
		t.Error("what is over was kept, or what waits forgotten")
	}
	if _, ok := s.c.Ends["j-3"]; ok {
		t.Error("an end that nobody needs was kept")
	}
}

// The records of one value held the images of some 200 machines: those of a larger
// fleet were not known to the next leader.
func TestImagesOfAFleetOfThousandsAreKnownToTheNextLeader(t *testing.T) {
	s := newSite(t)
	has := model.ImageRecord{Names: []string{"image-1", "image-2"}, GB: []float64{4, 5}, Machines: map[string][]int{}}
	const machines = 4000
	for i := range machines {
		name := fmt.Sprintf("i-%06d", i)
		s.c.Machine(name, s.now)
		has.Machines[name] = []int{i % 2}
	}
	s.c.RestoreImages(has, s.now)
	pages := s.c.ImagePages(4096)
	s.takeOver(2)
	for _, page := range pages {
		if size := wire.JSONSize(page); size > 4096 {
			t.Errorf("a record of %d bytes", size)
		}
		s.c.RestoreImages(page, s.now)
	}
	if len(s.c.Machines) != 0 {
		t.Errorf("%d machines were made of records that are only a hint", len(s.c.Machines))
	}
	for i := range machines {
		m := s.c.Machine(fmt.Sprintf("i-%06d", i), s.now)
		if !m.HasImage(fmt.Sprintf("image-%d", i%2+1)) {
			t.Fatalf("the image of %s is not known", m.Name)
		}
	}
	t.Logf("%d records", len(pages))
}
