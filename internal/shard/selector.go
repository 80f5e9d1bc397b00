package shard

import "strings"

// InstanceKind restricts a shard to spot or on-demand machines.
type InstanceKind string

// Kinds of machines that a shard can select.
const (
	AnyKind      InstanceKind = ""
	SpotOnly     InstanceKind = "spot"
	OnDemandOnly InstanceKind = "ordinary"
)

// Attributes are the properties of a machine by which shards select it. They never change during a machine's
// life, so a machine's shard changes only when shards are formed or deleted.
type Attributes struct {
	Type string
	Zone string
	Spot bool
}

// Selector determines which machines belong to a shard. An empty field matches any value.
type Selector struct {
	Type string       `msgpack:"type" json:"type"`
	Zone string       `msgpack:"zone" json:"zone"`
	Kind InstanceKind `msgpack:"kind" json:"kind"`
}

// Empty reports whether the selector selects all machines.
func (s Selector) Empty() bool { return s == Selector{} }

// Matches reports whether the shard selects a machine with the attributes.
func (s Selector) Matches(a Attributes) bool {
	if s.Type != "" && s.Type != a.Type || s.Zone != "" && s.Zone != a.Zone {
		return false
	}
	return s.Kind == AnyKind || (s.Kind == SpotOnly) == a.Spot
}

// Overlaps reports whether some machine could match both selectors.
func (s Selector) Overlaps(other Selector) bool {
	disjoint := func(a, b string) bool { return a != "" && b != "" && a != b }
	return !disjoint(s.Type, other.Type) && !disjoint(s.Zone, other.Zone) && !disjoint(string(s.Kind), string(other.Kind))
}

// String returns the selector as text, such as "type gpu, zone east, spot".
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
