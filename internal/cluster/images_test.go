package cluster_test

import (
	"strconv"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/wire"
)

// A new leader knew of no images, and for minutes gangs fetched images again that some free
// machines already had.
func TestImagePagesFitTheStoreLimitAndAreRestoredByTheNextLeader(t *testing.T) {
	tc := newTestCluster(t)
	for i := range 40 {
		agent := tc.addAgent("m"+strconv.Itoa(10+i), "a")
		id := "j-" + strconv.Itoa(i)
		tc.cluster.Teams["team"].CPULimit = 0
		job := tc.submit(id, wire.JobArray, 1, 4)
		job.Spec.Image, job.Spec.ImageGB = "image-"+strconv.Itoa(i%3), float64(4+i%3)
		tc.expectScheduled(1)
		tc.persist()
		tc.heartbeat(agent)
		tc.heartbeat(agent)
	}
	pages := tc.cluster.ImagePages(4096)
	record := pages[0]
	if len(pages) != 1 {
		t.Fatalf("%d records, want one that holds all machines", len(pages))
	}
	if len(record.Machines) != 40 || len(record.Names) != 3 {
		t.Fatalf("record has %d machines and %d images, want 40 and 3", len(record.Machines), len(record.Names))
	}
	recorded := map[string]bool{}
	for _, page := range tc.cluster.ImagePages(500) {
		if size := wire.JSONSize(page); size > 500 {
			t.Fatalf("record of %d bytes, limit 500", size)
		}
		for name := range page.Machines {
			if recorded[name] {
				t.Errorf("%s is in two records", name)
			}
			recorded[name] = true
		}
	}
	if len(recorded) != 40 {
		t.Errorf("the records of 500 bytes hold %d of 40 machines", len(recorded))
	}
	tc.failOver(2)
	tc.cluster.RestoreImages(record, tc.now)
	if machine := tc.cluster.Machines["m10"]; !machine.HasImage("image-0") || machine.HasImage("image-1") {
		t.Fatal("the images restored from the record are not those of the machine")
	}
	tc.cluster.RestoreImages(cluster.ImageRecord{Names: []string{"x"}, Machines: map[string][]int{"m10": {7}}}, tc.now)
}
