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
	"notchmux.dev/notchmux/internal/share"
)

// Features are the parts of the service that are off unless their file is given.
type Features struct {
	Shares *Shares // nil: off
}

// Shares are the settings of shares of the machines.
type Shares struct {
	Declared  []DeclaredShare
	Policies  []MovePolicy
	Dissolve  bool       // give all shares back to the leader, before the feature is switched off
	LeastTime micro.Time // between two moves of a share by policies
	MostMoved int        // machines whose shares policies move at the same time
}

// DeclaredShare is a share that the leader forms if it does not exist.
type DeclaredShare struct {
	Name     string
	Selector share.Selector
	Teams    []string
	Owner    string // its first owner; "": the controller with the fewest shares
}

// MovePolicy moves a share to a controller while its condition holds.
type MovePolicy struct {
	Name  string
	Share string
	Owner string
	When  *policy.Condition
}

// LoadFeatures reads the files of the parts that are switched on. A file's name says
// which part it is for.
func LoadFeatures(paths []string, node string, peers []Peer) (Features, error) {
	var f Features
	for _, path := range paths {
		switch name := strings.TrimSuffix(filepath.Base(path), ".properties"); name {
		case "shares":
			s, err := loadShares(path, nodesOf(node, peers))
			if err != nil {
				return f, err
			}
			f.Shares = s
		default:
			return f, fmt.Errorf("%s: there is no feature %q", path, name)
		}
	}
	return f, nil
}

func nodesOf(node string, peers []Peer) map[string]bool {
	out := map[string]bool{node: true}
	for _, p := range peers {
		out[p.Node] = true
	}
	return out
}

// shareKeys are the settings that are not of one share or policy.
const (
	keyDissolve  = "shares.dissolve"
	keyLeastTime = "shares.move.least.s"
	keyMostMoved = "shares.move.machines"
)

func loadShares(path string, nodes map[string]bool) (*Shares, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	file, err := loader.LoadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	p := shareParser{path: path, nodes: nodes, shares: map[string]*DeclaredShare{}, policies: map[string]*MovePolicy{},
		out: Shares{LeastTime: micro.Minute, MostMoved: 10_000}}
	values := file.Map()
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		if why := p.take(key, strings.TrimSpace(values[key])); why != "" {
			return nil, fmt.Errorf("%s: key %q: %s", path, key, why)
		}
	}
	return p.finish()
}

// shareParser reads the settings key by key. Each of its steps gives the reason for
// which a key is refused, "" if it is taken.
type shareParser struct {
	path     string
	nodes    map[string]bool
	shares   map[string]*DeclaredShare
	policies map[string]*MovePolicy
	out      Shares
}

func (p *shareParser) take(key, value string) string {
	kind, rest, _ := strings.Cut(key, ".")
	name, field, _ := strings.Cut(rest, ".")
	switch {
	case kind == "shares":
		return p.takeGeneral(key, value)
	case kind == "share" && share.ValidName(name):
		return p.takeShare(name, field, value)
	case kind == "policy" && share.ValidName(name):
		return p.takePolicy(name, field, value)
	case kind == "share" || kind == "policy":
		return "names are made of small letters, digits and hyphens, 40 at the most"
	}
	return "is unknown"
}

func (p *shareParser) takeGeneral(key, value string) string {
	switch key {
	case keyDissolve:
		on, err := strconv.ParseBool(value)
		if err != nil {
			return strconv.Quote(value) + " is not true or false"
		}
		p.out.Dissolve = on
	case keyLeastTime:
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || !(seconds >= 1 && seconds <= 86400) {
			return strconv.Quote(value) + " is not a number from 1 to 86400"
		}
		p.out.LeastTime = micro.Of(seconds)
	case keyMostMoved:
		n, err := strconv.Atoi(value)
		if err != nil || n < 1 || n > 1_000_000 {
			return strconv.Quote(value) + " is not a whole number from 1 to 1000000"
		}
		p.out.MostMoved = n
	default:
		return "is unknown"
	}
	return ""
}

func (p *shareParser) takeShare(name, field, value string) string {
	s := p.shares[name]
	if s == nil {
		s = &DeclaredShare{Name: name}
		p.shares[name] = s
	}
	switch field {
	case "type":
		s.Selector.Type = value
	case "zone":
		s.Selector.Zone = value
	case "kind":
		switch k := share.InstanceKind(value); k {
		case share.AnyKind, share.SpotOnly, share.OnDemandOnly:
			s.Selector.Kind = k
		default:
			return strconv.Quote(value) + " is not spot or ordinary"
		}
	case "teams":
		for _, team := range strings.Split(value, ",") {
			if team = strings.TrimSpace(team); team != "" {
				s.Teams = append(s.Teams, team)
			}
		}
	case "owner":
		if !p.nodes[value] {
			return strconv.Quote(value) + " is no controller of the settings"
		}
		s.Owner = value
	default:
		return "is unknown"
	}
	return ""
}

func (p *shareParser) takePolicy(name, field, value string) string {
	m := p.policies[name]
	if m == nil {
		m = &MovePolicy{Name: name}
		p.policies[name] = m
	}
	switch field {
	case "share":
		m.Share = value
	case "owner":
		if !p.nodes[value] {
			return strconv.Quote(value) + " is no controller of the settings"
		}
		m.Owner = value
	case "when":
		condition, err := policy.Compile(value)
		if err != nil {
			return err.Error()
		}
		m.When = condition
	default:
		return "is unknown"
	}
	return ""
}

// finish checks what concerns several keys.
func (p *shareParser) finish() (*Shares, error) {
	for _, name := range sorted(p.shares) {
		s := p.shares[name]
		if s.Selector.Empty() {
			return nil, fmt.Errorf("%s: key %q: %w", p.path, "share."+name, share.ErrSelectsAll)
		}
		for _, other := range p.out.Declared {
			if other.Selector.Overlaps(s.Selector) {
				return nil, fmt.Errorf("%s: key %q: %w: %q", p.path, "share."+name, share.ErrOverlap, other.Name)
			}
		}
		p.out.Declared = append(p.out.Declared, *s)
	}
	for _, name := range sorted(p.policies) {
		m := p.policies[name]
		if p.shares[m.Share] == nil {
			return nil, fmt.Errorf("%s: key %q: %q is no share of this file", p.path, "policy."+name+".share", m.Share)
		}
		if m.Owner == "" {
			return nil, fmt.Errorf("%s: key %q: is missing", p.path, "policy."+name+".owner")
		}
		if m.When == nil {
			return nil, fmt.Errorf("%s: key %q: is missing", p.path, "policy."+name+".when")
		}
		p.out.Policies = append(p.out.Policies, *m)
	}
	return &p.out, nil
}

func sorted[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
