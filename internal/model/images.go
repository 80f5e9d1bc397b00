package model

import (
	"sort"

	"notchmux.dev/notchmux/internal/micro"
)

// image is an image that a machine has fetched.
type image struct {
	used micro.Time
	gb   float64
}

// fetched notes that a machine has an image. It caches the most recently used
// ones, as far as its disk goes.
func (m *Machine) fetched(name string, gb float64, now micro.Time) {
	if name == "" {
		return
	}
	m.images[name] = image{now, gb}
	if m.Type == nil || m.Type.CacheGB <= 0 {
		return
	}
	sum := 0.0
	for _, im := range m.images {
		sum += im.gb
	}
	for sum > m.Type.CacheGB && len(m.images) > 1 {
		oldest := ""
		for n, im := range m.images {
			if n != name && (oldest == "" || im.used < m.images[oldest].used || im.used == m.images[oldest].used && n < oldest) {
				oldest = n
			}
		}
		sum -= m.images[oldest].gb
		delete(m.images, oldest)
	}
}

// HasImage reports whether a machine is thought to have an image.
func (m *Machine) HasImage(name string) bool {
	_, ok := m.images[name]
	return ok
}

// EachImage calls f with the name of each image that the machine has.
func (m *Machine) EachImage(f func(name string)) {
	for n := range m.images {
		f(n)
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
func (c *Cluster) ImagePages(size int) []ImageRecord {
	all := c.withImages()
	first := newImagePage(size)
	k := 0
	for k < len(all) && first.add(all[k].machine) {
		k++
	}
	pages := []ImageRecord{first.record}
	rest := all[k:]
	sort.Slice(rest, func(a, b int) bool { return rest[a].machine.Name < rest[b].machine.Name })
	page := newImagePage(size)
	for _, h := range rest {
		if page.add(h.machine) {
			continue
		}
		if len(page.record.Machines) == 0 {
			continue // its images alone are too many
		}
		pages = append(pages, page.record)
		page = newImagePage(size)
		page.add(h.machine)
	}
	if len(page.record.Machines) > 0 {
		pages = append(pages, page.record)
	}
	return pages
}

// imageHolder is a machine whose images are worth a place in a record.
type imageHolder struct {
	machine *Machine
	gb      float64
}

// withImages lists those machines, the ones that have most first.
func (c *Cluster) withImages() []imageHolder {
	var all []imageHolder
	for _, m := range c.Machines {
		h := imageHolder{machine: m}
		for _, im := range m.images {
			h.gb += im.gb
		}
		if h.gb >= minImagesGB {
			all = append(all, h)
		}
	}
	sort.Slice(all, func(a, b int) bool {
		if all[a].gb != all[b].gb {
			return all[a].gb > all[b].gb
		}
		return all[a].machine.Name < all[b].machine.Name
	})
	return all
}

// imagePage is a record being built.
type imagePage struct {
	record ImageRecord
	index  map[string]int // of each image in the record's names
	left   int            // of the size in the store's count
}

func newImagePage(size int) *imagePage {
	return &imagePage{record: ImageRecord{Names: []string{}, GB: []float64{}, Machines: map[string][]int{}}, index: map[string]int{}, left: size}
}

// add takes a machine into the record; false if there is no room for it.
func (p *imagePage) add(m *Machine) bool {
	names := m.imagesByUse()
	p.left -= len(m.Name) + 6
	var list []int
	for _, n := range names {
		i, ok := p.index[n]
		if !ok {
			i = len(p.record.Names)
			p.index[n] = i
			p.record.Names = append(p.record.Names, n)
			p.record.GB = append(p.record.GB, m.images[n].gb)
			p.left -= len(n) + 12
		}
		list = append(list, i)
		p.left -= 4
	}
	if p.left < 0 {
		return false
	}
	p.record.Machines[m.Name] = list
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
		if x.used != y.used {
			return x.used < y.used
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
func (c *Cluster) RestoreImages(r ImageRecord, now micro.Time) {
	if len(r.Names) != len(r.GB) {
		return
	}
	for name, list := range r.Machines {
		images := map[string]image{}
		for k, i := range list {
			if i >= 0 && i < len(r.Names) {
				images[r.Names[i]] = image{now - micro.Time(len(list)-k), r.GB[i]}
			}
		}
		if m := c.Machines[name]; m != nil {
			m.images = images
		} else {
			c.imageHints[name] = images
		}
	}
}
