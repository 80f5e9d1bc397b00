// Package keys builds and parses the state store keys of jobs, nodes and the fleet as a whole.
// Their formats must not change: releases that run concurrently, and later releases, read each
// other's keys. The keys of shards are in package shard.
//
// The package holds no state and is safe for concurrent use.
package keys

import (
	"strconv"
	"strings"
)

// The key prefixes.
const (
	// JobPrefix is the prefix of the keys of jobs: spec, final state and dependencies.
	JobPrefix = "job/"
	// ChunkPrefix is the prefix of the chunk records, which hold the state of the jobs' tasks, in
	// the legacy and the compact format.
	ChunkPrefix = "run/"
	// FleetPrefix is the prefix of the records of the fleet as a whole, which a new leader reads
	// first.
	FleetPrefix = "fleet/"
	// InstanceRequestPrefix is the prefix of the instance request records.
	InstanceRequestPrefix = "hire/"
	// NodePrefix is the prefix of the records in which nodes announce themselves.
	NodePrefix = "node/"
)

// The keys of the records of the fleet as a whole.
const (
	// Speeds is the key of the estimated speeds of the machine types.
	Speeds = "fleet/speed"
	// FirstProvisioned is the key that holds the name of the first machine that the service ever
	// provisioned.
	FirstProvisioned = "fleet/first"
	// Images is the key of the first page of the images cached on machines.
	Images = "fleet/images"
	// Format is the key of the version of the stored format that is in use.
	Format = "fleet/format"
)

// CompactMark is the prefix of the last segment of the key of a chunk record in the compact format.
const CompactMark = "c"

const (
	specPart         = "spec"
	endPart          = "end"
	dependenciesPart = "needs/"
	imagePagePrefix  = Images + "/"
)

// JobPrefixFor returns the prefix of the keys of one job.
func JobPrefixFor(job string) string { return JobPrefix + job + "/" }

// JobSpec returns the key of a job's spec.
func JobSpec(job string) string { return JobPrefixFor(job) + specPart }

// JobEnd returns the key of a job's final state, which is written once.
func JobEnd(job string) string { return JobPrefixFor(job) + endPart }

// JobDependencies returns the key of one part, numbered from 0, of a dependency list that is too
// long for one value.
func JobDependencies(job string, part int) string {
	return JobPrefixFor(job) + dependenciesPart + strconv.Itoa(part)
}

// JobKeyKind is the kind of value that a job's key holds.
type JobKeyKind uint8

// The kinds of job keys. UnknownJobKey is a key written by a later release.
const (
	UnknownJobKey JobKeyKind = iota
	SpecKey
	EndKey
	DependenciesKey
)

// ParseJobKey splits a job's key. The part is the number of the dependency list's part for
// DependenciesKey, and 0 for all other kinds.
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

// IsJobSpec reports whether a key holds a job's spec.
func IsJobSpec(key string) bool { return strings.HasSuffix(key, "/"+specPart) }

// ChunkPrefixFor returns the prefix of the chunk records of one job.
func ChunkPrefixFor(job string) string { return ChunkPrefix + job + "/" }

// CompactChunk returns the key of a chunk record in the compact format.
func CompactChunk(job string, index int) string {
	return ChunkPrefixFor(job) + CompactMark + strconv.Itoa(index)
}

// LegacyChunk returns the key of a chunk record in the legacy format.
func LegacyChunk(job string, index int) string { return ChunkPrefixFor(job) + strconv.Itoa(index) }

// ParseChunk splits the key of a chunk record. It returns false if the key is neither in the legacy
// nor in the compact format.
func ParseChunk(key string) (job string, index int, compact, ok bool) {
	job, rest, _ := strings.Cut(strings.TrimPrefix(key, ChunkPrefix), "/")
	rest, compact = strings.CutPrefix(rest, CompactMark)
	index, err := strconv.Atoi(rest)
	return job, index, compact, err == nil
}

// ImagePage returns the key of a page of the images cached on machines. Pages are numbered from 0.
func ImagePage(page int) string {
	if page == 0 {
		return Images
	}
	return imagePagePrefix + strconv.Itoa(page)
}

// IsImagePage reports whether a key is that of the first image page or has the prefix of the
// further pages. The key may still have no valid page number; see ParseImagePage.
func IsImagePage(key string) bool { return key == Images || strings.HasPrefix(key, imagePagePrefix) }

// ParseImagePage returns the page number in the key of an image page. It returns false if the key
// is not that of an image page.
func ParseImagePage(key string) (page int, ok bool) {
	if key == Images {
		return 0, true
	}
	number, isPage := strings.CutPrefix(key, imagePagePrefix)
	page, err := strconv.Atoi(number)
	return page, isPage && err == nil && page > 0
}

// InstanceRequest returns the key of an instance request's record.
func InstanceRequest(request string) string { return InstanceRequestPrefix + request }

// Node returns the key of the record in which a node announces itself.
func Node(name string) string { return NodePrefix + name }
