package shard

import "strings"

// InstanceKind is whether a shard selects spot machines.
type InstanceKind string

// The kinds.
const (
	AnyKind      InstanceKind = ""
	SpotOnly     InstanceKind = "spot"
	OnDemandOnly InstanceKind = "ordinary"
)

// Attributes are what a shard is selected by. They never change while a machine lives,
// so a machine's shard changes only when shards come or go.
type Attributes struct {
	Type string
	Zone string
	Spot bool
}

// Selector says which machines a shard has; an empty field selects any.
type Selector struct {
	Type string       `msgpack:"type" json:"type"`
	Zone string       `msgpack:"zone" json:"zone"`
	Kind InstanceKind `msgpack:"kind" json:"kind"`
}

// Empty reports whether the selector selects all machines.
func (s Selector) Empty() bool { return s == Selector{} }

// Matches reports whether a machine is in the shard.
func (s Selector) Matches(a Attributes) bool {
	if s.Type != "" && s.Type != a.Type || s.Zone != "" && s.Zone != a.Zone {
		return false
	}
	return s.Kind == AnyKind || (s.Kind == SpotOnly) == a.Spot
}

// Overlaps reports whether a machine could match both selectors.
func (s Selector) Overlaps(other Selector) bool {
	disjoint := func(a, b string) bool { return a != "" && b != "" && a != b }
	return !disjoint(s.Type, other.Type) && !disjoint(s.Zone, other.Zone) && !disjoint(string(s.Kind), string(other.Kind))
}

// String is the selector in words.
func (s Selector) String() string {
	var parts []string
	if s.Type != "" {
		parts = append(parts, "type "+s.Type)
	}
	if s.Zone != "" {
		parts = append(parts, "zone "+s.Zone)
	}
	if s.Kind != AnyKind {
		parts = append(parts, string(s.Kind))
	}
	return strings.Join(parts, ", ")
}
