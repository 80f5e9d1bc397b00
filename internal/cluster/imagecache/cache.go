// Package imagecache models which container images machines have on their disks, and puts
// that into the records by which the next leader knows it. Sizes are in GB.
//
// It does no I/O and locks nothing: a Cache belongs to the goroutine that owns the cluster's
// state.
package imagecache

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster/records"
	"notchmux.dev/notchmux/internal/micro"
)

// Image is an image that a machine has fetched.
type Image struct {
	LastUsed micro.Time
	SizeGB   float64
}

// Cache is the images that a machine is thought to have, by name. Machines embed it.
type Cache map[string]Image

// HasImage reports whether the machine is thought to have an image.
func (c Cache) HasImage(name string) bool {
	_, ok := c[name]
	return ok
}

// EachImage calls yield with the name of each image, in no order.
func (c Cache) EachImage(yield func(name string)) {
	for name := range c {
		yield(name)
	}
}

// UseImage notes that a machine has an image. A machine keeps the most recently used ones, as far
// as its disk goes; capacityGB 0: there is no known limit.
func (c Cache) UseImage(name string, sizeGB, capacityGB float64, now micro.Time) {
	c[name] = Image{now, sizeGB}
	if capacityGB <= 0 {
		return
	}
	totalGB := c.TotalGB()
	for totalGB > capacityGB && len(c) > 1 {
		oldest := c.leastRecentlyUsed(name)
		totalGB -= c[oldest].SizeGB
		delete(c, oldest)
	}
}

// TotalGB is the size of all images.
func (c Cache) TotalGB() float64 {
	totalGB := 0.0
	for _, image := range c {
		totalGB += image.SizeGB
	}
	return totalGB
}

// leastRecentlyUsed names the image to evict: of those last used at the same time the first
// by name, and never the given one.
func (c Cache) leastRecentlyUsed(kept string) string {
	oldest := ""
	for name, image := range c {
		lastUsed := c[oldest].LastUsed
		if name != kept && (oldest == "" || image.LastUsed < lastUsed || image.LastUsed == lastUsed && name < oldest) {
			oldest = name
		}
	}
	return oldest
}

// namesByUse names the images, the least recently used first.
func (c Cache) namesByUse() []string {
	names := make([]string, 0, len(c))
	for name := range c {
		names = append(names, name)
	}
	sort.Slice(names, func(a, b int) bool {
		x, y := c[names[a]], c[names[b]]
		if x.LastUsed != y.LastUsed {
			return x.LastUsed < y.LastUsed
		}
		return names[a] < names[b]
	})
	return names
}

// FromRecord reads a record: the images by machine, as if used shortly before now. One whose
// lists do not fit each other is nothing; an index that it lacks is left out.
func FromRecord(record records.Images, now micro.Time) map[string]Cache {
	if len(record.Names) != len(record.GB) {
		return nil
	}
	caches := make(map[string]Cache, len(record.Machines))
	for machine, indices := range record.Machines {
		cache := Cache{}
		for position, index := range indices {
			if index >= 0 && index < len(record.Names) {
				cache[record.Names[index]] = Image{now - micro.Time(len(indices)-position), record.GB[index]}
			}
		}
		caches[machine] = cache
	}
	return caches
}
