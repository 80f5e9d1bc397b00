package cluster

import (
	"notchmux.dev/notchmux/internal/cluster/imagecache"
	"notchmux.dev/notchmux/internal/cluster/records"
	"notchmux.dev/notchmux/internal/micro"
)

type images = imagecache.Cache

// recordImage notes that a machine has an image.
func (m *Machine) recordImage(name string, sizeGB float64, now micro.Time) {
	if name == "" {
		return
	}
	capacityGB := 0.0
	if m.Type != nil {
		capacityGB = m.Type.CacheGB
	}
	m.UseImage(name, sizeGB, capacityGB, now)
}

// ImagePages builds the records of the machines' images, each of at most size bytes in the
// store's count.
func (s *State) ImagePages(size int) []records.Images {
	holders := make([]imagecache.MachineImages, 0, len(s.Machines))
	for name, machine := range s.Machines {
		holders = append(holders, imagecache.MachineImages{Machine: name, Images: machine.images})
	}
	return imagecache.Pages(holders, size)
}

// RestoreImages reads a record. What it says of machines that are not known yet is kept for
// when they are: only the first heartbeat tells of an operators' own machine.
func (s *State) RestoreImages(record records.Images, now micro.Time) {
	for name, cache := range imagecache.FromRecord(record, now) {
		if machine := s.Machines[name]; machine != nil {
			machine.images = cache
		} else {
			s.imageHints[name] = cache
		}
	}
}

// takeImageHint gives the images that a machine had by the records, for good.
func (s *State) takeImageHint(name string) imagecache.Cache {
	cache, ok := s.imageHints[name]
	if !ok {
		return imagecache.Cache{}
	}
	delete(s.imageHints, name)
	return cache
}
