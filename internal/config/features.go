package config

import (
	"fmt"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"github.com/magiconair/properties"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/policy"
	"notchmux.dev/notchmux/internal/shard"
)

// Features holds the settings of optional features. A feature is off unless its file is given.
type Features struct {
	Shards *Shards // nil: off
}

// Shards holds the settings of shards.
type Shards struct {
	Declared          []DeclaredShard
	Policies          []MovePolicy
	Dissolve          bool       // owners release all shards to the leader, before the feature is switched off
	MinMoveInterval   micro.Time // least time between two moves of a shard by policies
	MaxMachinesMoving int        // largest number of machines in shards that policies move at the same time
}

// DeclaredShard is a shard that the leader forms if it does not exist.
type DeclaredShard struct {
	Name     string
	Selector shard.Selector
	Teams    []string
	Owner    string // node name of the first owner; "": the controller with the fewest shards
}

// Definitions returns the name, selector and teams of each declared shard.
func (s *Shards) Definitions() []shard.Definition {
	definitions := make([]shard.Definition, len(s.Declared))
	for i, declared := range s.Declared {
		definitions[i] = shard.Definition{Name: declared.Name, Selector: declared.Selector, Teams: declared.Teams}
	}
	return definitions
}

// MovePolicy moves a shard to a controller while its condition holds.
type MovePolicy struct {
	Name  string
	Shard string
	Owner string
	When  *policy.Condition
}

// LoadFeatures loads the settings files of the enabled features. The base name of a file without
// ".properties" is the name of its feature. Errors name the file, the key and the reason on one line.
func LoadFeatures(paths []string, node string, peers []Peer) (Features, error) {
	var features Features
	for _, path := range paths {
		switch name := strings.TrimSuffix(filepath.Base(path), ".properties"); name {
		case "shares":
			shards, err := loadShards(path, nodeNames(node, peers))
			if err != nil {
				return features, err
			}
			features.Shards = shards
		default:
			return features, fmt.Errorf("%s: unknown feature %q", path, name)
		}
	}
	return features, nil
}

func nodeNames(node string, peers []Peer) map[string]bool {
	names := map[string]bool{node: true}
	for _, p := range peers {
		names[p.Node] = true
	}
	return names
}

// Keys of the settings that apply to all shards and policies.
const (
	keyDissolve          = "shares.dissolve"
	keyMinMoveInterval   = "shares.move.least.s"
	keyMaxMachinesMoving = "shares.move.machines"
)

func loadShards(path string, nodes map[string]bool) (*Shards, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	file, err := loader.LoadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	parser := shardParser{
		path: path, nodes: nodes, shards: map[string]*DeclaredShard{}, policies: map[string]*MovePolicy{},
		result: Shards{MinMoveInterval: micro.Minute, MaxMachinesMoving: 10_000},
	}
	values := file.Map()
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		if reason := parser.parse(key, strings.TrimSpace(values[key])); reason != "" {
			return nil, fmt.Errorf("%s: key %q: %s", path, key, reason)
		}
	}
	return parser.validate()
}

// shardParser parses the shard settings key by key. Its parse methods return the reason why a key is
// rejected, or "" if it is accepted.
type shardParser struct {
	path     string
	nodes    map[string]bool
	shards   map[string]*DeclaredShard
	policies map[string]*MovePolicy
	result   Shards
}

func (p *shardParser) parse(key, value string) string {
	kind, rest, _ := strings.Cut(key, ".")
	name, field, _ := strings.Cut(rest, ".")
	switch {
	case kind == "shares":
		return p.parseGeneral(key, value)
	case kind == "share" && shard.ValidName(name):
		return p.parseShard(name, field, value)
	case kind == "policy" && shard.ValidName(name):
		return p.parsePolicy(name, field, value)
	case kind == "share" || kind == "policy":
		return "names consist of lower-case letters, digits and hyphens, at most 40 characters"
	}
	return "is unknown"
}

func (p *shardParser) parseGeneral(key, value string) string {
	switch key {
	case keyDissolve:
		on, err := strconv.ParseBool(value)
		if err != nil {
			return strconv.Quote(value) + " is not true or false"
		}
		p.result.Dissolve = on
	case keyMinMoveInterval:
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || !(seconds >= 1 && seconds <= 86400) {
			return strconv.Quote(value) + " is not a number from 1 to 86400"
		}
		p.result.MinMoveInterval = micro.FromSeconds(seconds)
	case keyMaxMachinesMoving:
		count, err := strconv.Atoi(value)
		if err != nil || count < 1 || count > 1_000_000 {
			return strconv.Quote(value) + " is not a whole number from 1 to 1000000"
		}
		p.result.MaxMachinesMoving = count
	default:
		return "is unknown"
	}
	return ""
}

func (p *shardParser) parseShard(name, field, value string) string {
	declared := p.shards[name]
	if declared == nil {
		declared = &DeclaredShard{Name: name}
		p.shards[name] = declared
	}
	switch field {
	case "type":
		declared.Selector.Type = value
	case "zone":
		declared.Selector.Zone = value
	case "kind":
		switch kind := shard.InstanceKind(value); kind {
		case shard.AnyKind, shard.SpotOnly, shard.OnDemandOnly:
			declared.Selector.Kind = kind
		default:
			return strconv.Quote(value) + " is not spot or ordinary"
		}
	case "teams":
		for _, team := range strings.Split(value, ",") {
			if team = strings.TrimSpace(team); team != "" {
				declared.Teams = append(declared.Teams, team)
			}
		}
	case "owner":
		if !p.nodes[value] {
			return strconv.Quote(value) + " is not a controller in the settings"
		}
		declared.Owner = value
	default:
		return "is unknown"
	}
	return ""
}

func (p *shardParser) parsePolicy(name, field, value string) string {
	movePolicy := p.policies[name]
	if movePolicy == nil {
		movePolicy = &MovePolicy{Name: name}
		p.policies[name] = movePolicy
	}
	switch field {
	case "share":
		movePolicy.Shard = value
	case "owner":
		if !p.nodes[value] {
			return strconv.Quote(value) + " is not a controller in the settings"
		}
		movePolicy.Owner = value
	case "when":
		condition, err := policy.Compile(value)
		if err != nil {
			return err.Error()
		}
		movePolicy.When = condition
	default:
		return "is unknown"
	}
	return ""
}

// validate checks the constraints between keys and returns the complete settings.
func (p *shardParser) validate() (*Shards, error) {
	for _, name := range sortedNames(p.shards) {
		declared := p.shards[name]
		if declared.Selector.Empty() {
			return nil, fmt.Errorf("%s: key %q: %w", p.path, "share."+name, shard.ErrSelectsAll)
		}
		for _, other := range p.result.Declared {
			if other.Selector.Overlaps(declared.Selector) {
				return nil, fmt.Errorf("%s: key %q: %w: %q", p.path, "share."+name, shard.ErrOverlap, other.Name)
			}
		}
		p.result.Declared = append(p.result.Declared, *declared)
	}
	for _, name := range sortedNames(p.policies) {
		movePolicy := p.policies[name]
		if p.shards[movePolicy.Shard] == nil {
			return nil, fmt.Errorf("%s: key %q: %q is no share in this file", p.path, "policy."+name+".share", movePolicy.Shard)
		}
		if movePolicy.Owner == "" {
			return nil, fmt.Errorf("%s: key %q: is missing", p.path, "policy."+name+".owner")
		}
		if movePolicy.When == nil {
			return nil, fmt.Errorf("%s: key %q: is missing", p.path, "policy."+name+".when")
		}
		p.result.Policies = append(p.result.Policies, *movePolicy)
	}
	return &p.result, nil
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
