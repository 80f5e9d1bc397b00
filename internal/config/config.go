// Package config reads and checks what a node is told: the platform's settings
// file (TOML) and the operators' own properties (Java style).
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

// Team is a team's guarantee and limit; a limit of 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is what is expected for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Platform is the settings file that the platform hands over.
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
			// Next holds the limits that the store will have at some later
			// time, without notice; a field that is missing or 0 does not change.
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

// Config is everything a node runs by.
type Config struct {
	Platform
	Properties
	Features
}

// AgentLease is the agents' lease.
func (c *Config) AgentLease() micro.Time { return micro.FromSeconds(c.Facts.Workers.LeaseS) }

// LeaseProxyDuration is how long the controllers of a zone that is cut off keep the leases
// of its agents alive.
func (c *Config) LeaseProxyDuration() micro.Time {
	return micro.Time(c.LeaseProxyFactor * float64(c.AgentLease()))
}

// CancelTimeout is how long the tasks of a cancelled job may take to be gone.
func (c *Config) CancelTimeout() micro.Time { return micro.FromSeconds(c.Facts.Workers.CancelS) }

// LeaseExpiredAfter is after how long without a renewal an agent's lease has surely run
// out, by the clock of whoever counts it.
func (c *Config) LeaseExpiredAfter() micro.Time {
	return c.AgentLease() + c.AgentLease()/500 + micro.Second
}

// CancelSlack is what may pass between a look at the clock and the user being
// told of a cancellation.
const CancelSlack = 3 * micro.Second

// MaxCancelledTaskLife is how long a task may live on after its user was told that its job is
// cancelled, if from then on the store answers nobody and no order
// arrives: until its leadership lease lapses the leader may answer the agent's
// reports, and the agent's lease runs from the last one answered.
func (c *Config) MaxCancelledTaskLife() micro.Time {
	return c.LeaderLease + c.LeaseExpiredAfter() + CancelSlack
}

// MustProveTermination reports whether leases alone do not end a cancelled job's tasks in
// time: its user is then told only once they are proven gone.
func (c *Config) MustProveTermination() bool { return c.MaxCancelledTaskLife() > c.CancelTimeout() }

// cancelRetryWindow is for how long users repeat a cancellation that is not confirmed.
const cancelRetryWindow = micro.Minute

// checkCancelTimeout refuses settings by which cancellations cannot be kept to.
func (c *Config) checkCancelTimeout(path, propertiesPath string) error {
	if !c.MustProveTermination() {
		return nil
	}
	maxLeaderLease := c.CancelTimeout() - c.LeaseExpiredAfter() - CancelSlack
	if maxLeaderLease >= Defaults().LeaderLease {
		// It is the operators' own value that breaks the bound.
		return fmt.Errorf(
			"%s: key %q: must be at most %v: after a cancellation the leader's lease "+
				"and then the workers' must be over within facts.workers.cancel_s",
			propertiesPath,
			"leader.lease.s",
			maxLeaderLease.Seconds(),
		)
	}
	if c.LeaseExpiredAfter()+CancelSlack > cancelRetryWindow {
		return fmt.Errorf(
			"%s: key %q: must be at least %v: the leader's lease and then the workers' must be over by then, "+
				"and users repeat a withdrawal for too short a time to wait for that",
			path,
			"facts.workers.cancel_s",
			c.MaxCancelledTaskLife().Seconds(),
		)
	}
	return nil
}

// lowerLimit is the smaller of two limits, of which the second may not be given.
func lowerLimit[T int | float64](current, next T) T {
	if next > 0 {
		return min(current, next)
	}
	return current
}

// MaxValueBytes is the most that a value may take, as the store counts it:
// now, and from its next limits on.
func (c *Config) MaxValueBytes() (current, safe int) {
	state := &c.Facts.State
	return int(state.ValueKB * 1024), int(lowerLimit(state.ValueKB, state.Next.ValueKB) * 1024)
}

// MaxTxnOps is the most changes of a transaction, now and from the next limits on.
func (c *Config) MaxTxnOps() int { return lowerLimit(c.Facts.State.TxnOps, c.Facts.State.Next.TxnOps) }

// NextWriteRPS is the rate of changes from the next limits on.
func (c *Config) NextWriteRPS() float64 {
	return lowerLimit(c.Facts.State.WriteRPS, c.Facts.State.Next.WriteRPS)
}

// Team finds a team by name.
func (c *Config) Team(name string) *Team {
	for i := range c.Facts.Teams {
		if c.Facts.Teams[i].Name == name {
			return &c.Facts.Teams[i]
		}
	}
	return nil
}

// TeamNames lists the teams of the settings.
func (c *Config) TeamNames() []string {
	names := make([]string, len(c.Facts.Teams))
	for i := range c.Facts.Teams {
		names[i] = c.Facts.Teams[i].Name
	}
	return names
}

// InOtherZone reports whether another node of the settings is in another zone than this one.
func (c *Config) InOtherZone(node string) bool {
	for _, other := range c.Peers {
		if other.Node == node {
			return other.Zone != c.Zone
		}
	}
	return false
}

// Load reads and checks the platform's file and the properties. An empty
// propertiesPath means defaults. Errors name file, key and reason in one line.
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

// maxHeartbeatDelay is the most that a heartbeat may come late by the protocol, in report
// intervals, and heartbeatTimeoutS how long an agent waits for an answer.
const (
	maxHeartbeatDelay = 1.25
	heartbeatTimeoutS = 4.25
)

// MaxHeartbeatInterval is the longest time between two heartbeats of a live agent.
func (c *Config) MaxHeartbeatInterval() micro.Time {
	return micro.FromSeconds(c.Facts.Workers.HeartbeatIntervalS * maxHeartbeatDelay)
}

// HeartbeatOverdueAfter is how long after its last heartbeat a machine's next one is overdue.
func (c *Config) HeartbeatOverdueAfter() micro.Time {
	return c.MaxHeartbeatInterval() + 250*micro.Millisecond
}

// RegistrationWindow is how long after a failover every live agent has surely tried all
// nodes, those out of reach included.
func (c *Config) RegistrationWindow() micro.Time {
	longestInterval := c.Facts.Workers.HeartbeatIntervalS * maxHeartbeatDelay
	return micro.FromSeconds(longestInterval + float64(len(c.Peers)+1)*(heartbeatTimeoutS+1))
}

// DeriveDefaults fills in what follows from the platform's facts where no property says
// otherwise.
func (c *Config) DeriveDefaults() {
	if c.SuspectAfter == 0 {
		c.SuspectAfter = micro.FromSeconds(c.Facts.Workers.HeartbeatIntervalS*maxHeartbeatDelay + heartbeatTimeoutS)
	}
}

// The leader writes nearly all there is to write, but answers questions from
// memory: most reads are the others'.
const (
	leaderReads  = 0.4
	leaderWrites = 0.7
)

// LeaderShare is the part of the store's limits on requests and on writes that
// the leader may use. With the shares of the others it makes the whole.
func (c *Config) LeaderShare() (reads, writes float64) {
	if len(c.Peers) == 0 {
		return 1, 1
	}
	return leaderReads, leaderWrites
}

// FollowerShare is each other node's part.
func (c *Config) FollowerShare() (reads, writes float64) {
	n := float64(max(len(c.Peers), 1))
	return (1 - leaderReads) / n, (1 - leaderWrites) / n
}

// EqualShare is each node's part while it is not known who leads.
func (c *Config) EqualShare() (reads, writes float64) {
	x := 1 / float64(len(c.Peers)+1)
	return x, x
}

func parsePlatform(text string, p *Platform) error {
	if _, err := toml.Decode(text, p); err != nil {
		var perr toml.ParseError
		if errors.As(err, &perr) {
			return fmt.Errorf("key %q: %s", perr.LastKey, perr.Message)
		}
		return err
	}
	return p.check()
}

// check finds the first key that is missing or out of range.
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
	for _, a := range []struct{ key, addr string }{
		{"public_addr", p.PublicAddr},
		{"peer_listen", p.PeerListen},
		{"external.cloud", p.External.Cloud},
		{"external.state", p.External.State},
	} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return invalidKey(a.key, notAnAddress)
		}
	}
	return nil
}

func (p *Platform) checkPeers() error {
	names := map[string]bool{p.Node: true}
	for _, peer := range p.Peers {
		if peer.Node == "" || names[peer.Node] {
			return invalidKey("known.node", "is missing or given twice")
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
		key   string
		value float64
		zero  bool // may be zero
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
		if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 || value == 0 && !amount.zero {
			return invalidKey(amount.key, "is missing or out of range")
		}
	}
	return nil
}

func (p *Platform) checkTeams() error {
	seen := map[string]bool{}
	for _, team := range p.Facts.Teams {
		if team.Name == "" || seen[team.Name] {
			return invalidKey("facts.teams.name", "is missing or given twice")
		}
		seen[team.Name] = true
		for _, v := range []float64{team.CPUs, team.CPUsMax, team.GPUs, team.GPUsMax} {
			if math.IsNaN(v) || v < 0 {
				return invalidKey("facts.teams", "amounts of "+team.Name+" are out of range")
			}
		}
	}
	return nil
}

func (p *Platform) checkObjectives() error {
	for _, o := range p.Facts.Objectives {
		if math.IsNaN(o.WithinS) || o.WithinS < 0 || o.Times < 0 {
			return invalidKey("facts.objectives", "within_s or times is out of range")
		}
	}
	return nil
}
