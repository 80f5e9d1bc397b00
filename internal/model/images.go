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

// Images builds the record, with the machines that have most first, as far as
// the size in the store's count allows.
func (c *Cluster) Images(size int) ImageRecord {
	type have struct {
		m  *Machine
		gb float64
	}
	var all []have
	for _, m := range c.Machines {
		h := have{m: m}
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
		return all[a].m.Name < all[b].m.Name
	})
	rec := ImageRecord{Names: []string{}, GB: []float64{}, Machines: map[string][]int{}}
	index := map[string]int{}
	for _, h := range all {
		names := make([]string, 0, len(h.m.images))
		for n := range h.m.images {
			names = append(names, n)
		}
		sort.Slice(names, func(a, b int) bool {
			x, y := h.m.images[names[a]], h.m.images[names[b]]
			if x.used != y.used {
				return x.used < y.used
			}
			return names[a] < names[b]
		})
		size -= len(h.m.Name) + 6
		var list []int
		for _, n := range names {
			i, ok := index[n]
			if !ok {
				i = len(rec.Names)
				index[n] = i
				rec.Names = append(rec.Names, n)
				rec.GB = append(rec.GB, h.m.images[n].gb)
				size -= len(n) + 12
			}
			list = append(list, i)
			size -= 4
		}
		if size < 0 {
			break
		}
		rec.Machines[h.m.Name] = list
	}
	return rec
}

// minImagesGB is how much a machine must have for its images to be worth a
// place in the record.
const minImagesGB = 3

// RestoreImages reads the record.
func (c *Cluster) RestoreImages(r ImageRecord, now micro.Time) {
	if len(r.Names) != len(r.GB) {
		return
	}
	for name, list := range r.Machines {
		m := c.Machines[name]
		if m == nil {
			m = c.Machine(name, now)
		}
		for k, i := range list {
			if i >= 0 && i < len(r.Names) {
				m.images[r.Names[i]] = image{now - micro.Time(len(list)-k), r.GB[i]}
			}
		}
	}
}
