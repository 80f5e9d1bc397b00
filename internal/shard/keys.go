package shard

import (
	"strconv"
	"strings"
)

// The keys that shards use. They are fixed formats.
const (
	RecordPrefix            = "share/"
	SessionPrefix           = "owner/"
	AssignmentPrefix        = "assign/"
	AllocationPrefix        = "alloc/"
	MachineInactivityPrefix = "ages/"
	// AnnouncementPrefix begins what controllers announced with their sessions. It stays when those end.
	AnnouncementPrefix = "can/"
	// MarkerKey exists as long as any shard does. It lies among the records of the
	// fleet, which every leader reads first.
	MarkerKey = "fleet/shares"
)

// RecordKey is the key of a shard's record.
func RecordKey(name string) string { return RecordPrefix + name }

// SessionKey is the key of a controller's session.
func SessionKey(node string) string { return SessionPrefix + node }

// AnnouncementKey is the key of what a controller announced with its last session.
func AnnouncementKey(node string) string { return AnnouncementPrefix + node }

// AssignmentPrefixFor begins the keys of a shard's assignments.
func AssignmentPrefixFor(name string) string { return AssignmentPrefix + name + "/" }

// AssignmentKey is the key of a job's assignment to a shard.
func AssignmentKey(name, job string) string { return AssignmentPrefixFor(name) + job }

// AllocationPrefixFor begins the keys of a shard's allocations.
func AllocationPrefixFor(name string) string { return AllocationPrefix + name + "/" }

// AllocationPrefixForJob begins the keys of a job's allocations in a shard.
func AllocationPrefixForJob(name, job string) string { return AllocationPrefixFor(name) + job + "/" }

// AllocationKey is the key of the record of a chunk of a job's tasks in a shard.
func AllocationKey(name, job string, chunk int) string {
	return AllocationPrefixForJob(name, job) + strconv.Itoa(chunk)
}

// ParseAssignmentKey splits the key of an assignment.
func ParseAssignmentKey(key string) (name, job string, ok bool) {
	return strings.Cut(strings.TrimPrefix(key, AssignmentPrefix), "/")
}

// ParseAllocationKey splits the key of an allocation's record.
func ParseAllocationKey(key string) (name, job string, chunk int, ok bool) {
	name, rest, ok := strings.Cut(strings.TrimPrefix(key, AllocationPrefix), "/")
	job, number, cut := strings.Cut(rest, "/")
	chunk, err := strconv.Atoi(number)
	return name, job, chunk, ok && cut && err == nil && chunk >= 0
}

// MachineInactivityKey is the key of what a shard's last owner left to the one that its record names.
func MachineInactivityKey(name string) string { return MachineInactivityPrefix + name }

// maxNameLength is the longest name of a shard: keys have 200 bytes.
const maxNameLength = 40

// ValidName reports whether a shard may be called so: letters, digits and hyphens.
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
