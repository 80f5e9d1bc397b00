// Package imagecache estimates which container images machines have on their disks, and converts
// this to and from the records by which the next leader learns it. Sizes are in GB.
//
// It does no I/O and no locking: a Cache belongs to the goroutine that owns the cluster state.
package imagecache

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster/records"
	"notchmux.dev/notchmux/internal/micro"
)

// Image is a container image that a machine has fetched.
type Image struct {
	LastUsed micro.Time
	SizeGB   float64
}

// Cache holds the images that a machine is assumed to have, by name. It is embedded in
// cluster.Machine.
type Cache map[string]Image

// HasImage reports whether the machine is assumed to have an image.
func (c Cache) HasImage(name string) bool {
	_, ok := c[name]
	return ok
}

// EachImage calls yield with the name of each image, in no particular order.
func (c Cache) EachImage(yield func(name string)) {
	for name := range c {
		yield(name)
	}
}

// UseImage records that a machine has an image and has just used it. A machine keeps the most
// recently used images that fit its disk. A capacityGB of 0 means that no limit is known.
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

// TotalGB returns the total size of all images.
func (c Cache) TotalGB() float64 {
	totalGB := 0.0
	for _, image := range c {
		totalGB += image.SizeGB
	}
	return totalGB
}

// leastRecentlyUsed returns the name of the image to evict, which is never the kept one. Of images
// last used at the same time it returns the first by name.
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

// namesByUse returns the names of the images, least recently used first.
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

// FromRecord returns the images in a record by machine, as if they had been used shortly before
// now. It returns nil if the record's lists differ in length, and skips indices that are out of
// range.
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
