package imagecache

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster/records"
)

// minTotalGB is the minimum total size, in GB, at which a machine's images are recorded.
const minTotalGB = 3

// Sizes of the parts of a record as the store's limits count them, excluding the names.
const (
	machineOverheadBytes = 6
	imageOverheadBytes   = 12
	indexBytes           = 4
)

// MachineImages is a machine and the images that it is assumed to have.
type MachineImages struct {
	Machine string
	Images  Cache
	totalGB float64
}

// Pages builds the records of the machines' images, each of at most size bytes as the store's
// limits count them. The first record holds the machines with the most GB of images that fit in it.
// The others hold the remaining machines in the order of their names, so that a machine usually
// stays on the same page.
func Pages(machines []MachineImages, size int) []records.Images {
	candidates := recordable(machines)
	first := newPage(size)
	included := 0
	for included < len(candidates) && first.add(&candidates[included]) {
		included++
	}
	pages := []records.Images{first.record}
	rest := candidates[included:]
	sort.Slice(rest, func(a, b int) bool { return rest[a].Machine < rest[b].Machine })
	current := newPage(size)
	for i := range rest {
		if current.add(&rest[i]) {
			continue
		}
		if len(current.record.Machines) == 0 {
			continue // the images of this machine alone exceed a record
		}
		pages = append(pages, current.record)
		current = newPage(size)
		current.add(&rest[i])
	}
	if len(current.record.Machines) > 0 {
		pages = append(pages, current.record)
	}
	return pages
}

// recordable returns the machines with at least minTotalGB of images, sorted by descending total
// size.
func recordable(machines []MachineImages) []MachineImages {
	var candidates []MachineImages
	for _, candidate := range machines {
		if candidate.totalGB = candidate.Images.TotalGB(); candidate.totalGB >= minTotalGB {
			candidates = append(candidates, candidate)
		}
	}
	sort.Slice(candidates, func(a, b int) bool {
		if candidates[a].totalGB != candidates[b].totalGB {
			return candidates[a].totalGB > candidates[b].totalGB
		}
		return candidates[a].Machine < candidates[b].Machine
	})
	return candidates
}

// page is a record under construction.
type page struct {
	record    records.Images
	index     map[string]int // index of each image in the record's names
	remaining int            // bytes left, as the store's limits count them
}

func newPage(size int) *page {
	return &page{
		record:    records.Images{Names: []string{}, GB: []float64{}, Machines: map[string][]int{}},
		index:     map[string]int{},
		remaining: size,
	}
}

// add adds a machine to the record. It returns false if the record is full.
func (p *page) add(machine *MachineImages) bool {
	p.remaining -= len(machine.Machine) + machineOverheadBytes
	var indices []int
	for _, name := range machine.Images.namesByUse() {
		index, ok := p.index[name]
		if !ok {
			index = len(p.record.Names)
			p.index[name] = index
			p.record.Names = append(p.record.Names, name)
			p.record.GB = append(p.record.GB, machine.Images[name].SizeGB)
			p.remaining -= len(name) + imageOverheadBytes
		}
		indices = append(indices, index)
		p.remaining -= indexBytes
	}
	if p.remaining < 0 {
		return false
	}
	p.record.Machines[machine.Machine] = indices
	return true
}
