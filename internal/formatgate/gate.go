// Package formatgate lets two versions of the service run side by side on the same stored data.
// Formats that the previous release cannot read are not written until the format gate opens:
// each node of this version announces itself in the store, and once all nodes in the settings
// have done so, the leader raises the version in the format record permanently. A new cluster
// passes the same gate.
//
// Each node has one Gate. Run polls on the goroutine of its caller; all other methods may be
// called from any goroutine.
package formatgate

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/persist"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

const (
	// pollInterval is how often a node checks the gate until it is open.
	pollInterval = micro.Second
	// checkTimeout bounds one check.
	checkTimeout = 1500 * time.Millisecond
	// maxNodes is the largest number of announcements that one read of the store returns.
	maxNodes = 1000
)

// NodeRecord is the stored announcement of a node. Its format must not change.
type NodeRecord struct {
	Version int `msgpack:"version" json:"version"`
}

// State is this node's view of the cluster's transition to the new formats.
type State int32

// The states of a gate.
const (
	Unannounced State = iota // this node's version is not recorded in the store yet
	Announced                // it is recorded, but the format version is not raised yet
	Open                     // the format version is raised
)

func (s State) String() string { return [...]string{"unannounced", "announced", "open"}[s] }

// WriteLimitAnnouncer is a store client that prepares for a write limit, in changes per second, that
// the store may start to enforce without notice.
type WriteLimitAnnouncer interface{ AnnounceWriteLimit(writes float64) }

// Node is the node to which a gate belongs.
type Node interface {
	// AnnounceThroughPeers asks the peers to record this node's version in the store. It reports
	// whether one of them did.
	AnnounceThroughPeers(ctx context.Context) bool
	// Leads reports whether the node is the leader.
	Leads() bool
	// RaiseFormat makes the node, which leads, raise the version in the format record.
	RaiseFormat()
}

// Config configures a gate.
type Config struct {
	Name         string          // name of this node
	Peers        func() []string // returns the names of the other nodes in the settings
	NextWriteRPS float64         // changes per second that the store may limit to once the gate is open
}

// Gate decides whether this node may write the new formats.
type Gate struct {
	cfg   Config
	store store.Store
	node  Node
	log   *slog.Logger
	state atomic.Int32
}

// New returns a closed gate.
func New(cfg Config, st store.Store, node Node, log *slog.Logger) *Gate {
	return &Gate{cfg: cfg, store: st, node: node, log: log}
}

// State returns the gate's state.
func (g *Gate) State() State { return State(g.state.Load()) }

// FormatOpen reports whether the new formats may be written.
func (g *Gate) FormatOpen() bool { return g.State() == Open }

// MarkOpen opens the gate after the format version was raised, and announces the next write limit to the
// store client.
func (g *Gate) MarkOpen() {
	g.transition(Open)
	if announcer, ok := g.store.(WriteLimitAnnouncer); ok {
		announcer.AnnounceWriteLimit(g.cfg.NextWriteRPS)
	}
}

// transition sets and logs the state. All state changes go through it.
func (g *Gate) transition(to State) {
	if previous := State(g.state.Swap(int32(to))); previous != to {
		g.log.Info("format gate state changed", "from", previous.String(), "to", to.String())
	}
}

// Run checks the gate each second until it is open or the context ends. It returns nil.
func (g *Gate) Run(ctx context.Context) error {
	for ctx.Err() == nil && !g.FormatOpen() {
		g.Check(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval.Duration()):
		}
	}
	return nil
}

// Check announces this node if it is not announced yet, and opens the gate if the format version is
// raised. On the leader it raises the format version once all nodes have announced themselves.
func (g *Gate) Check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if g.State() == Unannounced && g.announce(ctx) {
		g.transition(Announced)
	}
	item, err := g.store.Get(ctx, store.Routine, keys.Format)
	if err == nil && g.isFormatRaised(item) {
		// The leader that raised the format, and later leaders, need no notification.
		g.MarkOpen()
		return
	}
	if errors.Is(err, store.ErrNotFound) && g.node.Leads() && g.State() == Announced {
		g.raiseIfAllAnnounced(ctx)
	}
}

// raiseIfAllAnnounced raises the format version if all nodes in the settings have announced themselves.
func (g *Gate) raiseIfAllAnnounced(ctx context.Context) {
	if missing := g.unannounced(ctx); len(missing) > 0 {
		g.log.Debug("format gate waits for nodes to announce this version", "nodes", missing)
		return
	}
	g.node.RaiseFormat()
}

// isFormatRaised reports whether a format record has this version or a later one.
func (g *Gate) isFormatRaised(item wire.Item) bool {
	var record persist.FormatRecord
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		g.log.Debug("decode stored record failed", "key", item.Key, "err", err)
		return false
	}
	return record.Version >= persist.FormatVersion
}

// announce records this node's version in the store, through a peer if only this node cannot reach the
// store: a node that was upgraded while isolated from the store once kept the gate closed for a minute,
// and the store lowered its limits meanwhile.
func (g *Gate) announce(ctx context.Context) bool {
	return g.record(ctx, g.cfg.Name) || g.node.AnnounceThroughPeers(ctx)
}

// record records in the store that a node runs this version, unless it is recorded already. It reports
// whether the record exists.
func (g *Gate) record(ctx context.Context, node string) bool {
	key := keys.Node(node)
	item, err := g.store.Get(ctx, store.Routine, key)
	if err == nil && g.runsThisVersion(item) {
		return true
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	_, err = g.store.Commit(ctx, store.Routine, wire.Transaction{
		If:   []wire.Precondition{},
		Then: []wire.Change{{Put: key, Value: NodeRecord{persist.FormatVersion}}},
	})
	return err == nil
}

// runsThisVersion reports whether a node record has this version or a later one.
func (g *Gate) runsThisVersion(item wire.Item) bool {
	var record NodeRecord
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		g.log.Debug("decode stored record failed", "key", item.Key, "err", err)
		return false
	}
	return record.Version >= persist.FormatVersion
}

// HandleAnnounce records another node in the settings on its behalf and returns the HTTP status of the
// response: 400 for a malformed body, 404 for an unknown node, 503 if the store cannot be written.
func (g *Gate) HandleAnnounce(ctx context.Context, body []byte) int {
	var node string
	if wire.Unmarshal(body, &node) != nil {
		return http.StatusBadRequest
	}
	if !slices.Contains(g.cfg.Peers(), node) {
		return http.StatusNotFound
	}
	if !g.record(ctx, node) {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// unannounced returns the nodes in the settings that have not announced this version, or all nodes if
// the store cannot be read.
func (g *Gate) unannounced(ctx context.Context) []string {
	names := append([]string{g.cfg.Name}, g.cfg.Peers()...)
	page, err := g.store.Range(ctx, store.Routine, keys.NodePrefix, "", maxNodes)
	if err != nil {
		return names
	}
	announced := map[string]bool{}
	for _, item := range page.Items {
		if g.runsThisVersion(item) {
			announced[item.Key[len(keys.NodePrefix):]] = true
		}
	}
	return slices.DeleteFunc(names, func(name string) bool { return announced[name] })
}
