package imagecache

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster/records"
)

// minTotalGB is how much a machine must have for its images to be worth a place in a record.
const minTotalGB = 3

// What the parts of a record take in the store's count, beside the names themselves.
const (
	machineOverheadBytes = 6
	imageOverheadBytes   = 12
	indexBytes           = 4
)

// MachineImages is a machine and its images.
type MachineImages struct {
	Machine string
	Images  Cache
	totalGB float64
}

// Pages builds the records of machines' images, each of at most size bytes in the store's
// count. The first holds the machines that have most, as far as it goes; the others hold the
// rest in the order of their names, so that a machine mostly keeps its page.
func Pages(machines []MachineImages, size int) []records.Images {
	holders := recordable(machines)
	first := newPage(size)
	included := 0
	for included < len(holders) && first.add(&holders[included]) {
		included++
	}
	pages := []records.Images{first.record}
	rest := holders[included:]
	sort.Slice(rest, func(a, b int) bool { return rest[a].Machine < rest[b].Machine })
	current := newPage(size)
	for i := range rest {
		if current.add(&rest[i]) {
			continue
		}
		if len(current.record.Machines) == 0 {
			continue // its images alone are too many
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

// recordable lists the machines that have enough, the ones that have most first.
func recordable(machines []MachineImages) []MachineImages {
	var holders []MachineImages
	for _, holder := range machines {
		if holder.totalGB = holder.Images.TotalGB(); holder.totalGB >= minTotalGB {
			holders = append(holders, holder)
		}
	}
	sort.Slice(holders, func(a, b int) bool {
		if holders[a].totalGB != holders[b].totalGB {
			return holders[a].totalGB > holders[b].totalGB
		}
		return holders[a].Machine < holders[b].Machine
	})
	return holders
}

// page is a record being built.
type page struct {
	record    records.Images
	index     map[string]int // of each image in the record's names
	remaining int            // of the size in the store's count
}

func newPage(size int) *page {
	return &page{
		record:    records.Images{Names: []string{}, GB: []float64{}, Machines: map[string][]int{}},
		index:     map[string]int{},
		remaining: size,
	}
}

// add takes a machine into the record; false if there is no capacity for it.
func (p *page) add(holder *MachineImages) bool {
	p.remaining -= len(holder.Machine) + machineOverheadBytes
	var indices []int
	for _, name := range holder.Images.namesByUse() {
		index, ok := p.index[name]
		if !ok {
			index = len(p.record.Names)
			p.index[name] = index
			p.record.Names = append(p.record.Names, name)
			p.record.GB = append(p.record.GB, holder.Images[name].SizeGB)
			p.remaining -= len(name) + imageOverheadBytes
		}
		indices = append(indices, index)
		p.remaining -= indexBytes
	}
	if p.remaining < 0 {
		return false
	}
	p.record.Machines[holder.Machine] = indices
	return true
}
