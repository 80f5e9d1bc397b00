package cluster

import (
	"sort"

	"notchmux.dev/notchmux/internal/micro"
)

// cachedImage is an image that a machine has fetched.
type cachedImage struct {
	lastUsed micro.Time
	sizeGB   float64
}

// recordImage notes that a machine has an image. It caches the most recently used
// ones, as far as its disk goes.
func (m *Machine) recordImage(name string, sizeGB float64, now micro.Time) {
	if name == "" {
		return
	}
	m.images[name] = cachedImage{now, sizeGB}
	if m.Type == nil || m.Type.CacheGB <= 0 {
		return
	}
	totalGB := 0.0
	for _, cached := range m.images {
		totalGB += cached.sizeGB
	}
	for totalGB > m.Type.CacheGB && len(m.images) > 1 {
		oldest := m.leastRecentlyUsedImage(name)
		totalGB -= m.images[oldest].sizeGB
		delete(m.images, oldest)
	}
}

// leastRecentlyUsedImage names the image to evict: of those last used at the same time the
// first by name, and never the given one.
func (m *Machine) leastRecentlyUsedImage(kept string) string {
	oldest := ""
	for name, cached := range m.images {
		lastUsed := m.images[oldest].lastUsed
		if name != kept && (oldest == "" || cached.lastUsed < lastUsed || cached.lastUsed == lastUsed && name < oldest) {
			oldest = name
		}
	}
	return oldest
}

// HasImage reports whether a machine is thought to have an image.
func (m *Machine) HasImage(name string) bool {
	_, ok := m.images[name]
	return ok
}

// EachImage calls f with the name of each image that the machine has.
func (m *Machine) EachImage(yield func(name string)) {
	for n := range m.images {
		yield(n)
	}
}

// ImageRecord is what the store keeps of the machines' images, so that a new
// leader still places work where its image is. It is a hint: a machine that lost
// an image fetches it again.
type ImageRecord struct {
	Names    []string         `msgpack:"n" json:"n"`
	GB       []float64        `msgpack:"g" json:"g"`
	Machines map[string][]int `msgpack:"m" json:"m"` // indices into Names, the least recently used first
}

// ImagePages builds the records. The first holds the machines that have most, as far
// as the size in the store's count allows; the others hold the rest in the order of
// their names, so that a machine mostly keeps its page.
func (s *State) ImagePages(size int) []ImageRecord {
	holders := s.machinesWithImages()
	first := newImagePage(size)
	included := 0
	for included < len(holders) && first.add(holders[included].machine) {
		included++
	}
	pages := []ImageRecord{first.record}
	rest := holders[included:]
	sort.Slice(rest, func(a, b int) bool { return rest[a].machine.Name < rest[b].machine.Name })
	page := newImagePage(size)
	for _, holder := range rest {
		if page.add(holder.machine) {
			continue
		}
		if len(page.record.Machines) == 0 {
			continue // its images alone are too many
		}
		pages = append(pages, page.record)
		page = newImagePage(size)
		page.add(holder.machine)
	}
	if len(page.record.Machines) > 0 {
		pages = append(pages, page.record)
	}
	return pages
}

// imageHolder is a machine whose images are worth a place in a record.
type imageHolder struct {
	machine *Machine
	totalGB float64
}

// machinesWithImages lists those machines, the ones that have most first.
func (s *State) machinesWithImages() []imageHolder {
	var holders []imageHolder
	for _, machine := range s.Machines {
		holder := imageHolder{machine: machine}
		for _, cached := range machine.images {
			holder.totalGB += cached.sizeGB
		}
		if holder.totalGB >= minImagesGB {
			holders = append(holders, holder)
		}
	}
	sort.Slice(holders, func(a, b int) bool {
		if holders[a].totalGB != holders[b].totalGB {
			return holders[a].totalGB > holders[b].totalGB
		}
		return holders[a].machine.Name < holders[b].machine.Name
	})
	return holders
}

// imagePage is a record being built.
type imagePage struct {
	record    ImageRecord
	index     map[string]int // of each image in the record's names
	remaining int            // of the size in the store's count
}

func newImagePage(size int) *imagePage {
	return &imagePage{
		record: ImageRecord{Names: []string{}, GB: []float64{}, Machines: map[string][]int{}}, index: map[string]int{},
		remaining: size,
	}
}

// add takes a machine into the record; false if there is no room for it.
func (p *imagePage) add(machine *Machine) bool {
	names := machine.imagesByUse()
	p.remaining -= len(machine.Name) + 6
	var indices []int
	for _, name := range names {
		index, ok := p.index[name]
		if !ok {
			index = len(p.record.Names)
			p.index[name] = index
			p.record.Names = append(p.record.Names, name)
			p.record.GB = append(p.record.GB, machine.images[name].sizeGB)
			p.remaining -= len(name) + 12
		}
		indices = append(indices, index)
		p.remaining -= 4
	}
	if p.remaining < 0 {
		return false
	}
	p.record.Machines[machine.Name] = indices
	return true
}

// imagesByUse names the machine's images, the least recently used first.
func (m *Machine) imagesByUse() []string {
	names := make([]string, 0, len(m.images))
	for n := range m.images {
		names = append(names, n)
	}
	sort.Slice(names, func(a, b int) bool {
		x, y := m.images[names[a]], m.images[names[b]]
		if x.lastUsed != y.lastUsed {
			return x.lastUsed < y.lastUsed
		}
		return names[a] < names[b]
	})
	return names
}

// minImagesGB is how much a machine must have for its images to be worth a
// place in the record.
const minImagesGB = 3

// RestoreImages reads a record. What it says of machines that are not known yet is
// kept for when they are: only the first report tells of an operators' own machine.
func (s *State) RestoreImages(record ImageRecord, now micro.Time) {
	if len(record.Names) != len(record.GB) {
		return
	}
	for name, indices := range record.Machines {
		images := map[string]cachedImage{}
		for position, index := range indices {
			if index >= 0 && index < len(record.Names) {
				images[record.Names[index]] = cachedImage{now - micro.Time(len(indices)-position), record.GB[index]}
			}
		}
		if machine := s.Machines[name]; machine != nil {
			machine.images = images
		} else {
			s.imageHints[name] = images
		}
	}
}
