// Package formatgate lets two versions of the service run side by side on each other's data.
// Stored forms that the earlier version cannot read wait for a gate: each node of this
// version announces itself in the store; once all nodes of the settings have, the leader
// raises the format record, for good. A site that was never run by an earlier version passes
// the same gate.
//
// A Gate belongs to a node. Run owns the polling; all other methods may be called from any
// goroutine.
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
	// maxNodes is how many nodes' announcements one read of the store returns.
	maxNodes = 1000
)

// NodeRecord is what a node announces. It is a fixed format.
type NodeRecord struct {
	Version int `msgpack:"version" json:"version"`
}

// State is how far this node takes the site's move to the new forms to be.
type State int32

// The states.
const (
	Unannounced State = iota // the store does not know of this node's version yet
	Announced                // it does; not all nodes have announced, or the format is not raised
	Open                     // the format is raised
)

func (s State) String() string { return [...]string{"unannounced", "announced", "open"}[s] }

// WriteLimitAnnouncer is a store client that can be told of a rate of changes that may come
// into force without notice.
type WriteLimitAnnouncer interface{ AnnounceWriteLimit(writes float64) }

// Node is the node that a gate belongs to.
type Node interface {
	// AnnounceThroughPeers has another node record this node's version; false: none could.
	AnnounceThroughPeers(ctx context.Context) bool
	// Leads reports whether the node leads now.
	Leads() bool
	// RaiseFormat has the node's leader raise the format.
	RaiseFormat()
}

// Config is what a gate goes by.
type Config struct {
	Name         string          // of the node
	Peers        func() []string // the other nodes of the settings
	NextWriteRPS float64         // the changes a second that the store may allow once the gate is open
}

// Gate is one node's part in the move to the new forms.
type Gate struct {
	cfg   Config
	store store.Store
	node  Node
	log   *slog.Logger
	state atomic.Int32
}

// New makes a gate that is closed.
func New(cfg Config, st store.Store, node Node, log *slog.Logger) *Gate {
	return &Gate{cfg: cfg, store: st, node: node, log: log}
}

// State is the gate's state.
func (g *Gate) State() State { return State(g.state.Load()) }

// FormatOpen reports whether the new forms are in use.
func (g *Gate) FormatOpen() bool { return g.State() == Open }

// MarkOpen notes that the format is raised.
func (g *Gate) MarkOpen() {
	g.transition(Open)
	if announcer, ok := g.store.(WriteLimitAnnouncer); ok {
		announcer.AnnounceWriteLimit(g.cfg.NextWriteRPS)
	}
}

// transition is the one place where the gate's state changes.
func (g *Gate) transition(to State) {
	if previous := State(g.state.Swap(int32(to))); previous != to {
		g.log.Info("format gate", "from", previous.String(), "to", to.String())
	}
}

// Run announces this node, and polls until the gate is open or the context ends.
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

// Check announces this node if that was not done yet, and looks whether the gate is open or
// the leader may open it.
func (g *Gate) Check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if g.State() == Unannounced && g.announce(ctx) {
		g.transition(Announced)
	}
	item, err := g.store.Get(ctx, store.Routine, keys.Format)
	if err == nil && g.isFormatRaised(item) {
		// The leader that raised it, and later ones, need not be told.
		g.MarkOpen()
		return
	}
	if errors.Is(err, store.ErrNotFound) && g.node.Leads() && g.State() == Announced {
		g.raiseIfAllAnnounced(ctx)
	}
}

func (g *Gate) raiseIfAllAnnounced(ctx context.Context) {
	if missing := g.unannounced(ctx); len(missing) > 0 {
		g.log.Debug("format gate waits", "nodes", missing)
		return
	}
	g.node.RaiseFormat()
}

func (g *Gate) isFormatRaised(item wire.Item) bool {
	var record persist.FormatRecord
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		g.log.Debug("stored record not understood", "key", item.Key, "err", err)
		return false
	}
	return record.Version >= persist.FormatVersion
}

// announce makes this node's version known, through a peer if the store is out of this
// node's reach alone: one upgraded while it was isolated from the store once kept the gate
// shut for a minute, and the limits fell meanwhile.
func (g *Gate) announce(ctx context.Context) bool {
	return g.record(ctx, g.cfg.Name) || g.node.AnnounceThroughPeers(ctx)
}

// record writes that a node runs this version, unless the store says so already.
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

func (g *Gate) runsThisVersion(item wire.Item) bool {
	var record NodeRecord
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		g.log.Debug("stored record not understood", "key", item.Key, "err", err)
		return false
	}
	return record.Version >= persist.FormatVersion
}

// HandleAnnounce records another node of the settings on its behalf; it gives the HTTP
// status of the answer.
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

// unannounced lists the nodes of the settings that have not announced this version; if the
// store cannot be asked, all.
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
