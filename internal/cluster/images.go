package cluster

import (
	"notchmux.dev/notchmux/internal/cluster/imagecache"
	"notchmux.dev/notchmux/internal/cluster/records"
	"notchmux.dev/notchmux/internal/micro"
)

type images = imagecache.Cache

// recordImage records that a machine has an image.
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

// ImagePages builds the records of the machines' images, each of at most size bytes as the store's
// limits count them.
func (s *State) ImagePages(size int) []records.Images {
	machines := make([]imagecache.MachineImages, 0, len(s.Machines))
	for name, machine := range s.Machines {
		machines = append(machines, imagecache.MachineImages{Machine: name, Images: machine.images})
	}
	return imagecache.Pages(machines, size)
}

// RestoreImages restores the machines' images from a record. Entries of machines that are not known
// yet are kept until they are, because operator-owned machines become known only with their
// first heartbeat.
func (s *State) RestoreImages(record records.Images, now micro.Time) {
	for name, cache := range imagecache.FromRecord(record, now) {
		if machine := s.Machines[name]; machine != nil {
			machine.images = cache
		} else {
			s.imageHints[name] = cache
		}
	}
}

// takeImageHint removes and returns the images that the records list for a machine that was not
// known when they were read.
func (s *State) takeImageHint(name string) imagecache.Cache {
	cache, ok := s.imageHints[name]
	if !ok {
		return imagecache.Cache{}
	}
	delete(s.imageHints, name)
	return cache
}
