package shard

import (
	"strconv"
	"strings"
)

// Keys and key prefixes of shards in the store. Stored data depends on them: they must not change.
const (
	RecordPrefix            = "share/"
	SessionPrefix           = "owner/"
	AssignmentPrefix        = "assign/"
	AllocationPrefix        = "alloc/"
	MachineInactivityPrefix = "ages/"
	// AnnouncementPrefix is the prefix of the announcements that controllers store with their sessions. They
	// remain when the sessions end.
	AnnouncementPrefix = "can/"
	// MarkerKey exists as long as any shard does. It has the prefix of the fleet's records, which every leader
	// reads first.
	MarkerKey = "fleet/shares"
)

// RecordKey returns the key of a shard's record.
func RecordKey(name string) string { return RecordPrefix + name }

// SessionKey returns the key of a controller's session.
func SessionKey(node string) string { return SessionPrefix + node }

// AnnouncementKey returns the key of the announcement that a controller stored with its last session.
func AnnouncementKey(node string) string { return AnnouncementPrefix + node }

// AssignmentPrefixFor returns the prefix of the keys of a shard's assignments.
func AssignmentPrefixFor(name string) string { return AssignmentPrefix + name + "/" }

// AssignmentKey returns the key of a job's assignment to a shard.
func AssignmentKey(name, job string) string { return AssignmentPrefixFor(name) + job }

// AllocationPrefixFor returns the prefix of the keys of a shard's allocation records.
func AllocationPrefixFor(name string) string { return AllocationPrefix + name + "/" }

// AllocationPrefixForJob returns the prefix of the keys of a job's allocation records in a shard.
func AllocationPrefixForJob(name, job string) string { return AllocationPrefixFor(name) + job + "/" }

// AllocationKey returns the key of the allocation record of a chunk of a job's tasks in a shard.
func AllocationKey(name, job string, chunk int) string {
	return AllocationPrefixForJob(name, job) + strconv.Itoa(chunk)
}

// ParseAssignmentKey returns the shard's name and the job's ID in the key of an assignment; ok is false if the key is
// malformed.
func ParseAssignmentKey(key string) (name, job string, ok bool) {
	return strings.Cut(strings.TrimPrefix(key, AssignmentPrefix), "/")
}

// ParseAllocationKey returns the shard's name, the job's ID and the chunk's index in the key of an allocation record;
// ok is false if the key is malformed.
func ParseAllocationKey(key string) (name, job string, chunk int, ok bool) {
	name, rest, ok := strings.Cut(strings.TrimPrefix(key, AllocationPrefix), "/")
	job, number, cut := strings.Cut(rest, "/")
	chunk, err := strconv.Atoi(number)
	return name, job, chunk, ok && cut && err == nil && chunk >= 0
}

// MachineInactivityKey returns the key of the inactivity record that a shard's last owner left to the owner that the
// shard's record names.
func MachineInactivityKey(name string) string { return MachineInactivityPrefix + name }

// maxNameLength is the maximum length of a shard's name in bytes: keys have at most 200 bytes.
const maxNameLength = 40

// ValidName reports whether a shard may have the name: 1 to maxNameLength lower-case letters, digits and hyphens.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}
