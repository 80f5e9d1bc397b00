// Package config loads and checks the configuration of a node: the platform's settings file
// (TOML), the operators' properties (Java style) and the files of optional features.
package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"

	"github.com/BurntSushi/toml"

	"notchmux.dev/notchmux/internal/micro"
)

// Peer is another controller node.
type Peer struct {
	Node string `toml:"node"`
	Zone string `toml:"area"`
	Addr string `toml:"addr"`
}

// Team holds the guaranteed quota and the limits of a team; a limit of 0 means no limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service level objective for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Platform is the content of the platform's settings file.
type Platform struct {
	Node       string `toml:"node"`
	Zone       string `toml:"area"`
	PublicAddr string `toml:"public_addr"`
	PeerListen string `toml:"peer_listen"`
	Peers      []Peer `toml:"known"`
	External   struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"external"`
	Facts struct {
		Nodes      int         `toml:"nodes"`
		Zones      []string    `toml:"zones"`
		ClockOffMs float64     `toml:"clock_off_ms"`
		Teams      []Team      `toml:"teams"`
		Objectives []Objective `toml:"objectives"`
		Workers    struct {
			HeartbeatIntervalS float64 `toml:"report_s"`
			LeaseS             float64 `toml:"lease_s"`
			GangWaitS          float64 `toml:"gang_wait_s"`
			GangPeerS          float64 `toml:"gang_peer_s"`
			CancelS            float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			RPS      float64 `toml:"rps"`
			WriteRPS float64 `toml:"write_rps"`
			ValueKB  float64 `toml:"value_kb"`
			TxnOps   int     `toml:"txn_ops"`
			// Next holds the limits that the store will enforce from some later
			// time on, without notice. A limit that is missing or 0 does not change.
			Next struct {
				WriteRPS float64 `toml:"write_rps"`
				ValueKB  float64 `toml:"value_kb"`
				TxnOps   int     `toml:"txn_ops"`
			} `toml:"next"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Quota struct {
			CoreShare  float64 `toml:"core_share"`
			RAMMB      float64 `toml:"ram_mb"`
			MaxSockets int     `toml:"max_sockets"`
		} `toml:"quota"`
	} `toml:"facts"`
}

// Config is the complete configuration of a node.
type Config struct {
	Platform
	Properties
	Features
}

// AgentLease returns the duration of an agent's lease.
func (c *Config) AgentLease() micro.Time { return micro.FromSeconds(c.Facts.Workers.LeaseS) }

// LeaseProxyDuration returns how long the controllers of an unreachable zone keep the leases of
// its agents alive.
func (c *Config) LeaseProxyDuration() micro.Time {
	return micro.Time(c.LeaseProxyFactor * float64(c.AgentLease()))
}

// CancelTimeout returns the time within which all tasks of a cancelled job must have ended.
func (c *Config) CancelTimeout() micro.Time { return micro.FromSeconds(c.Facts.Workers.CancelS) }

// LeaseExpiredAfter returns the time without a renewal after which an agent's lease has certainly
// expired by the clock of whoever measures it: the lease plus 0.2 % and 1 s.
func (c *Config) LeaseExpiredAfter() micro.Time {
	return c.AgentLease() + c.AgentLease()/500 + micro.Second
}

// CancelSlack is the longest time between a reading of the clock and the confirmation of a
// cancellation to the user.
const CancelSlack = 3 * micro.Second

// MaxCancelledTaskLife returns how long a task may continue to run after the user received the
// confirmation of the cancellation, if from then on the store is unavailable and no command reaches
// the agent: the leader may respond to the agent's heartbeats until its leadership lease expires, and
// the agent's lease runs from the last heartbeat that got a response.
func (c *Config) MaxCancelledTaskLife() micro.Time {
	return c.LeaderLease + c.LeaseExpiredAfter() + CancelSlack
}

// MustProveTermination reports whether the expiry of leases alone does not end a cancelled job's
// tasks within CancelTimeout. The cancellation is then confirmed to the user only once the tasks have
// provably ended.
func (c *Config) MustProveTermination() bool { return c.MaxCancelledTaskLife() > c.CancelTimeout() }

// cancelRetryWindow is how long users retry a cancellation that is not confirmed.
const cancelRetryWindow = micro.Minute

// checkCancelTimeout rejects settings with which cancellations cannot be confirmed in time. The error
// names the key to change and its bound.
func (c *Config) checkCancelTimeout(path, propertiesPath string) error {
	if !c.MustProveTermination() {
		return nil
	}
	maxLeaderLease := c.CancelTimeout() - c.LeaseExpiredAfter() - CancelSlack
	if maxLeaderLease >= Defaults().LeaderLease {
		// The default lease satisfies the bound, so the operators' value violates it.
		return fmt.Errorf(
			"%s: key %q: must be at most %v: after a cancellation the leader's lease "+
				"and then the agents' leases must expire within facts.workers.cancel_s",
			propertiesPath,
			"leader.lease.s",
			maxLeaderLease.Seconds(),
		)
	}
	if c.LeaseExpiredAfter()+CancelSlack > cancelRetryWindow {
		return fmt.Errorf(
			"%s: key %q: must be at least %v: the leader's lease and then the agents' leases must expire by then, "+
				"and users do not retry a cancellation for long enough to wait for proof of termination",
			path,
			"facts.workers.cancel_s",
			c.MaxCancelledTaskLife().Seconds(),
		)
	}
	return nil
}

// lowerLimit returns the smaller of two limits; next is ignored if it is not set (0).
func lowerLimit[T int | float64](current, next T) T {
	if next > 0 {
		return min(current, next)
	}
	return current
}

// MaxValueBytes returns the largest size of a value in bytes, as the store counts it: current applies
// now, safe satisfies the next limits too.
func (c *Config) MaxValueBytes() (current, safe int) {
	state := &c.Facts.State
	return int(state.ValueKB * 1024), int(lowerLimit(state.ValueKB, state.Next.ValueKB) * 1024)
}

// MaxTxnOps returns the largest number of changes in a transaction that both the current and the
// next limits allow.
func (c *Config) MaxTxnOps() int { return lowerLimit(c.Facts.State.TxnOps, c.Facts.State.Next.TxnOps) }

// NextWriteRPS returns the number of changes per second that both the current and the next limits
// allow.
func (c *Config) NextWriteRPS() float64 {
	return lowerLimit(c.Facts.State.WriteRPS, c.Facts.State.Next.WriteRPS)
}

// Team returns the team of that name, or nil if there is none.
func (c *Config) Team(name string) *Team {
	for i := range c.Facts.Teams {
		if c.Facts.Teams[i].Name == name {
			return &c.Facts.Teams[i]
		}
	}
	return nil
}

// TeamNames returns the names of all teams in the settings.
func (c *Config) TeamNames() []string {
	names := make([]string, len(c.Facts.Teams))
	for i := range c.Facts.Teams {
		names[i] = c.Facts.Teams[i].Name
	}
	return names
}

// InOtherZone reports whether node is a peer in the settings whose zone differs from this node's.
func (c *Config) InOtherZone(node string) bool {
	for _, other := range c.Peers {
		if other.Node == node {
			return other.Zone != c.Zone
		}
	}
	return false
}

// Load reads and checks the platform's settings and the properties. If propertiesPath is empty, all
// properties have their defaults. Errors name the file, the key and the reason on one line.
func Load(path, propertiesPath string) (*Config, error) {
	cfg := &Config{}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := parsePlatform(string(raw), &cfg.Platform); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if cfg.Properties, err = loadProperties(propertiesPath); err != nil {
		return nil, err
	}
	if err := cfg.checkCancelTimeout(path, propertiesPath); err != nil {
		return nil, err
	}
	cfg.DeriveDefaults()
	return cfg, nil
}

// maxHeartbeatDelay is the longest time between two heartbeats that the protocol allows, in heartbeat
// intervals. heartbeatTimeoutS is how long an agent waits for a response, in seconds.
const (
	maxHeartbeatDelay = 1.25
	heartbeatTimeoutS = 4.25
)

// MaxHeartbeatInterval returns the longest time between two heartbeats of a live agent.
func (c *Config) MaxHeartbeatInterval() micro.Time {
	return micro.FromSeconds(c.Facts.Workers.HeartbeatIntervalS * maxHeartbeatDelay)
}

// HeartbeatOverdueAfter returns the time after a machine's last heartbeat from which the next one is
// overdue.
func (c *Config) HeartbeatOverdueAfter() micro.Time {
	return c.MaxHeartbeatInterval() + 250*micro.Millisecond
}

// RegistrationWindow returns the time after a failover by which every live agent has certainly tried
// all nodes, including unreachable ones.
func (c *Config) RegistrationWindow() micro.Time {
	longestInterval := c.Facts.Workers.HeartbeatIntervalS * maxHeartbeatDelay
	return micro.FromSeconds(longestInterval + float64(len(c.Peers)+1)*(heartbeatTimeoutS+1))
}

// DeriveDefaults sets properties that the operators left at 0 from the platform's facts.
func (c *Config) DeriveDefaults() {
	if c.SuspectAfter == 0 {
		c.SuspectAfter = micro.FromSeconds(c.Facts.Workers.HeartbeatIntervalS*maxHeartbeatDelay + heartbeatTimeoutS)
	}
}

// Fractions of the store's limits that the leader uses. The leader does nearly all writes, but serves
// queries from memory, so most reads come from the other nodes.
const (
	leaderReads  = 0.4
	leaderWrites = 0.7
)

// LeaderShare returns the fractions of the store's request and write limits that the leader may use.
// Together with the fractions of all followers they add up to 1.
func (c *Config) LeaderShare() (reads, writes float64) {
	if len(c.Peers) == 0 {
		return 1, 1
	}
	return leaderReads, leaderWrites
}

// FollowerShare returns the fractions of the store's request and write limits that each node other
// than the leader may use.
func (c *Config) FollowerShare() (reads, writes float64) {
	n := float64(max(len(c.Peers), 1))
	return (1 - leaderReads) / n, (1 - leaderWrites) / n
}

// EqualShare returns the fractions of the store's request and write limits that each node may use
// while the leader is unknown.
func (c *Config) EqualShare() (reads, writes float64) {
	fraction := 1 / float64(len(c.Peers)+1)
	return fraction, fraction
}

func parsePlatform(text string, p *Platform) error {
	if _, err := toml.Decode(text, p); err != nil {
		var parseErr toml.ParseError
		if errors.As(err, &parseErr) {
			return fmt.Errorf("key %q: %s", parseErr.LastKey, parseErr.Message)
		}
		return err
	}
	return p.check()
}

// check returns an error for the first key that is missing or out of range.
func (p *Platform) check() error {
	if p.Node == "" {
		return invalidKey("node", "is missing")
	}
	for _, check := range []func() error{
		p.checkAddresses, p.checkPeers, p.checkZones, p.checkAmounts, p.checkTeams, p.checkObjectives,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func invalidKey(key, reason string) error { return fmt.Errorf("key %q: %s", key, reason) }

const notAnAddress = "is not an address of the form host:port"

func (p *Platform) checkAddresses() error {
	for _, setting := range []struct{ key, addr string }{
		{"public_addr", p.PublicAddr},
		{"peer_listen", p.PeerListen},
		{"external.cloud", p.External.Cloud},
		{"external.state", p.External.State},
	} {
		if _, _, err := net.SplitHostPort(setting.addr); err != nil {
			return invalidKey(setting.key, notAnAddress)
		}
	}
	return nil
}

func (p *Platform) checkPeers() error {
	names := map[string]bool{p.Node: true}
	for _, peer := range p.Peers {
		if peer.Node == "" || names[peer.Node] {
			return invalidKey("known.node", "is missing or duplicate")
		}
		names[peer.Node] = true
		if _, _, err := net.SplitHostPort(peer.Addr); err != nil {
			return invalidKey("known.addr", notAnAddress)
		}
	}
	return nil
}

func (p *Platform) checkZones() error {
	if len(p.Facts.Zones) == 0 {
		return invalidKey("facts.zones", "is missing")
	}
	return nil
}

func (p *Platform) checkAmounts() error {
	facts := &p.Facts
	for _, amount := range []struct {
		key       string
		value     float64
		allowZero bool
	}{
		{"facts.workers.report_s", facts.Workers.HeartbeatIntervalS, false},
		{"facts.workers.lease_s", facts.Workers.LeaseS, false},
		{"facts.workers.gang_wait_s", facts.Workers.GangWaitS, true},
		{"facts.workers.gang_peer_s", facts.Workers.GangPeerS, true},
		{"facts.workers.cancel_s", facts.Workers.CancelS, false},
		{"facts.state.rps", facts.State.RPS, false},
		{"facts.state.write_rps", facts.State.WriteRPS, false},
		{"facts.state.value_kb", facts.State.ValueKB, false},
		{"facts.state.txn_ops", float64(facts.State.TxnOps), false},
		{"facts.state.next.write_rps", facts.State.Next.WriteRPS, true},
		{"facts.state.next.value_kb", facts.State.Next.ValueKB, true},
		{"facts.state.next.txn_ops", float64(facts.State.Next.TxnOps), true},
		{"facts.cloud.rps", facts.Cloud.RPS, false},
		{"facts.cloud.list_lag_s", facts.Cloud.ListLagS, true},
		{"facts.quota.core_share", facts.Quota.CoreShare, false},
		{"facts.quota.ram_mb", facts.Quota.RAMMB, false},
		{"facts.quota.max_sockets", float64(facts.Quota.MaxSockets), false},
		{"facts.clock_off_ms", facts.ClockOffMs, true},
	} {
		value := amount.value
		if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 || value == 0 && !amount.allowZero {
			return invalidKey(amount.key, "is missing or out of range")
		}
	}
	return nil
}

func (p *Platform) checkTeams() error {
	seen := map[string]bool{}
	for _, team := range p.Facts.Teams {
		if team.Name == "" || seen[team.Name] {
			return invalidKey("facts.teams.name", "is missing or duplicate")
		}
		seen[team.Name] = true
		for _, amount := range []float64{team.CPUs, team.CPUsMax, team.GPUs, team.GPUsMax} {
			if math.IsNaN(amount) || amount < 0 {
				return invalidKey("facts.teams", "quota or limit of team "+team.Name+" is out of range")
			}
		}
	}
	return nil
}

func (p *Platform) checkObjectives() error {
	for _, objective := range p.Facts.Objectives {
		if math.IsNaN(objective.WithinS) || objective.WithinS < 0 || objective.Times < 0 {
			return invalidKey("facts.objectives", "within_s or times is out of range")
		}
	}
	return nil
}
