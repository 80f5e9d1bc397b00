// Package keys builds and parses the keys of the state store that belong to jobs, nodes and
// the fleet as a whole. They are fixed formats: versions of the service that run side by
// side, and those that come later, read each other's. The keys of shards are in package
// shard.
//
// The package holds no state; any goroutine may call it.
package keys

import (
	"strconv"
	"strings"
)

// The prefixes of the keys, by what they hold.
const (
	// JobPrefix begins a job's own keys: its description, its end, its dependencies.
	JobPrefix = "job/"
	// ChunkPrefix begins the records of jobs' tasks, in either form.
	ChunkPrefix = "run/"
	// FleetPrefix begins the records of the fleet as a whole, which a leader reads first.
	FleetPrefix = "fleet/"
	// InstanceRequestPrefix begins the records of instance requests.
	InstanceRequestPrefix = "hire/"
	// NodePrefix begins what nodes announce of themselves.
	NodePrefix = "node/"
)

// The records of the fleet as a whole.
const (
	// Speeds holds the estimated speeds of the machine types.
	Speeds = "fleet/speed"
	// FirstProvisioned names the first machine that the service ever provisioned.
	FirstProvisioned = "fleet/first"
	// Images is the first page of the machines' images.
	Images = "fleet/images"
	// Format is the version of the stored forms that is in use.
	Format = "fleet/format"
)

// CompactMark begins the last part of the key of a chunk's record in the compact form.
const CompactMark = "c"

const (
	specPart         = "spec"
	endPart          = "end"
	dependenciesPart = "needs/"
	imagePagePrefix  = Images + "/"
)

// JobPrefixFor begins one job's own keys.
func JobPrefixFor(job string) string { return JobPrefix + job + "/" }

// JobSpec is the key of a job's description.
func JobSpec(job string) string { return JobPrefixFor(job) + specPart }

// JobEnd is the key of a job's end, which is written once.
func JobEnd(job string) string { return JobPrefixFor(job) + endPart }

// JobDependencies is the key of a part, counted from 0, of a long list of dependencies.
func JobDependencies(job string, part int) string {
	return JobPrefixFor(job) + dependenciesPart + strconv.Itoa(part)
}

// JobKeyKind says what one of a job's own keys holds.
type JobKeyKind uint8

// The kinds; keys of another kind are those of a later version.
const (
	UnknownJobKey JobKeyKind = iota
	SpecKey
	EndKey
	DependenciesKey
)

// ParseJobKey splits one of a job's own keys. The part is that of a list of dependencies,
// else 0.
func ParseJobKey(key string) (job string, kind JobKeyKind, part int) {
	job, rest, _ := strings.Cut(strings.TrimPrefix(key, JobPrefix), "/")
	switch rest {
	case specPart:
		return job, SpecKey, 0
	case endPart:
		return job, EndKey, 0
	}
	number, isDependencies := strings.CutPrefix(rest, dependenciesPart)
	if part, err := strconv.Atoi(number); isDependencies && err == nil {
		return job, DependenciesKey, part
	}
	return job, UnknownJobKey, 0
}

// IsJobSpec reports whether a key holds a job's description.
func IsJobSpec(key string) bool { return strings.HasSuffix(key, "/"+specPart) }

// ChunkPrefixFor begins the records of one job's tasks.
func ChunkPrefixFor(job string) string { return ChunkPrefix + job + "/" }

// CompactChunk is the key of a chunk's record in the compact form.
func CompactChunk(job string, index int) string {
	return ChunkPrefixFor(job) + CompactMark + strconv.Itoa(index)
}

// LegacyChunk is the key of a chunk's record in the first form.
func LegacyChunk(job string, index int) string { return ChunkPrefixFor(job) + strconv.Itoa(index) }

// ParseChunk splits the key of a chunk's record; ok is false if it is none of either form.
func ParseChunk(key string) (job string, index int, compact, ok bool) {
	job, rest, _ := strings.Cut(strings.TrimPrefix(key, ChunkPrefix), "/")
	rest, compact = strings.CutPrefix(rest, CompactMark)
	index, err := strconv.Atoi(rest)
	return job, index, compact, err == nil
}

// ImagePage is the key of a page of the machines' images after the first, which is 0.
func ImagePage(page int) string {
	if page == 0 {
		return Images
	}
	return imagePagePrefix + strconv.Itoa(page)
}

// IsImagePage reports whether a key lies where the machines' images do.
func IsImagePage(key string) bool { return key == Images || strings.HasPrefix(key, imagePagePrefix) }

// ParseImagePage is the number of a page of the machines' images; ok is false if the key is
// that of none.
func ParseImagePage(key string) (page int, ok bool) {
	if key == Images {
		return 0, true
	}
	number, isPage := strings.CutPrefix(key, imagePagePrefix)
	page, err := strconv.Atoi(number)
	return page, isPage && err == nil && page > 0
}

// InstanceRequest is the key of an instance request's record.
func InstanceRequest(request string) string { return InstanceRequestPrefix + request }

// Node is the key of what a node announces.
func Node(name string) string { return NodePrefix + name }
