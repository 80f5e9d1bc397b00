package model_test

import (
	"strconv"
	"testing"

	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// A new leader knew of no images, and for minutes gangs fetched again what some
// free machine had.
func TestImagesAreKnownToTheNextLeaderWithinTheStoresLimit(t *testing.T) {
	s := newSite(t)
	for i := range 40 {
		w := s.worker("m"+strconv.Itoa(10+i), "a")
		id := "j-" + strconv.Itoa(i)
		s.c.Teams["team"].CPUsMax = 0
		j := s.job(id, wire.Array, 1, 4)
		j.Spec.Image, j.Spec.ImageGB = "image-"+strconv.Itoa(i%3), float64(4+i%3)
		s.place(1)
		s.persist()
		s.beat(w)
		s.beat(w)
	}
	pages := s.c.ImagePages(4096)
	rec := pages[0]
	if len(pages) != 1 {
		t.Fatalf("%d records where one holds all", len(pages))
	}
	if len(rec.Machines) != 40 || len(rec.Names) != 3 {
		t.Fatalf("%d machines, %d images", len(rec.Machines), len(rec.Names))
	}
	together := map[string]bool{}
	for _, page := range s.c.ImagePages(500) {
		if n := wire.JSONSize(page); n > 500 {
			t.Fatalf("%d bytes where 500 are allowed", n)
		}
		for name := range page.Machines {
			if together[name] {
				t.Errorf("%s is in two records", name)
			}
			together[name] = true
		}
	}
	if len(together) != 40 {
		t.Errorf("the records of 500 bytes hold %d of 40 machines", len(together))
	}
	s.takeOver(2)
	s.c.RestoreImages(rec, s.now)
	if m := s.c.Machines["m10"]; !m.HasImage("image-0") || m.HasImage("image-1") {
		t.Fatal("the record does not say what the machine has")
	}
	s.c.RestoreImages(model.ImageRecord{Names: []string{"x"}, Machines: map[string][]int{"m10": {7}}}, s.now)
}
