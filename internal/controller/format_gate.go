package controller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/persist"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Two versions of the service may run side by side, on each other's data. Forms
// that the earlier one cannot read wait for a gate: each node of this version
// announces itself in the store; once all nodes of the settings have, the leader
// raises fleet/format, for good. A site that was never run by an earlier version
// passes the same gate.

// nodeRecord is what a node announces.
type nodeRecord struct {
	Version int `msgpack:"version" json:"version"`
}

// GateState is where this node takes the site's move to the new forms to be.
type GateState int32

// The states.
const (
	GateUnannounced GateState = iota // the store does not know of this node's version yet
	GateAnnounced                    // it does; not all nodes have announced, or the format is not raised
	GateOpen                         // fleet/format is raised
)

func (s GateState) String() string { return [...]string{"unannounced", "announced", "open"}[s] }

// setGateState is the one place where the gate's state changes.
func (n *Node) setGateState(to GateState) {
	if previous := GateState(n.formatGate.Swap(int32(to))); previous != to {
		n.Log.Info("format", "was", previous.String(), "is", to.String())
	}
	if to == GateOpen {
		if s, ok := n.Store.(WriteLimitAnnouncer); ok {
			s.AnnounceWriteLimit(n.Cfg.NextWriteRPS())
		}
	}
}

// WriteLimitAnnouncer is a store client that can be told of a rate of changes that may come
// into force without notice.
type WriteLimitAnnouncer interface{ AnnounceWriteLimit(writes float64) }

// FormatOpen reports whether the new forms are in use.
func (n *Node) FormatOpen() bool { return GateState(n.formatGate.Load()) == GateOpen }

// gatePollInterval is how often a node looks at the gate until it is open.
const gatePollInterval = micro.Second

// watchGate announces this node, and looks until the gate is open.
func (n *Node) watchGate(ctx context.Context) error {
	for ctx.Err() == nil && !n.FormatOpen() {
		n.checkGate(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(gatePollInterval.Duration()):
		}
	}
	return nil
}

func (n *Node) checkGate(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	if GateState(n.formatGate.Load()) == GateUnannounced && n.announce(ctx) {
		n.setGateState(GateAnnounced)
	}
	item, err := n.Store.Get(ctx, store.Routine, keys.Format)
	var record persist.FormatRecord
	if err == nil && wire.Unmarshal(item.Value, &record) == nil && record.Version >= persist.FormatVersion {
		// The leader that raised it, and its heirs, need not be told.
		n.setGateState(GateOpen)
		return
	}
	if leader := n.activeLeader(); leader != nil && errors.Is(err, store.ErrNotFound) &&
		GateState(n.formatGate.Load()) == GateAnnounced {
		if missing := n.unannouncedNodes(ctx); len(missing) == 0 {
			leader.post(leader.raiseFormat)
		} else {
			n.Log.Debug("format waits", "for", missing)
		}
	}
}

// announce makes this node's version known, through a peer if the store is out of
// this node's reach alone: one upgraded while it was cut from the store once kept
// the gate shut for a minute, and the limits fell meanwhile.
func (n *Node) announce(ctx context.Context) bool {
	if n.recordNodeVersion(ctx, n.Cfg.Node) {
		return true
	}
	for _, p := range n.peersLeaderFirst() {
		// Not bounded by what the store left of the time: it may have taken all of it.
		peerCtx := context.WithoutCancel(ctx)
		status, _, err := n.callPeer(peerCtx, p, peer.AnnounceVersion, wire.MustMarshal(n.Cfg.Node), peerCallTimeout)
		if err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

// recordNodeVersion writes that a node runs this version, unless it is there.
func (n *Node) recordNodeVersion(ctx context.Context, node string) bool {
	key := keys.Node(node)
	item, err := n.Store.Get(ctx, store.Routine, key)
	var record nodeRecord
	if err == nil && wire.Unmarshal(item.Value, &record) == nil && record.Version >= persist.FormatVersion {
		return true
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	_, err = n.Store.Commit(
		ctx,
		store.Routine,
		wire.Transaction{
			If:   []wire.Precondition{},
			Then: []wire.Change{{Put: key, Value: nodeRecord{persist.FormatVersion}}},
		},
	)
	return err == nil
}

// handleAnnounce records another node of the settings on its behalf.
func (n *Node) handleAnnounce(ctx context.Context, body []byte) int {
	var node string
	if wire.Unmarshal(body, &node) != nil {
		return 400
	}
	for _, p := range n.Cfg.Peers {
		if p.Node == node {
			if n.recordNodeVersion(ctx, node) {
				return 200
			}
			return 503
		}
	}
	return 404
}

// unannouncedNodes lists the nodes of the settings that have not announced this
// version; if the store can't be asked, all.
func (n *Node) unannouncedNodes(ctx context.Context) []string {
	names := []string{n.Cfg.Node}
	for _, other := range n.Cfg.Peers {
		names = append(names, other.Node)
	}
	page, err := n.Store.Range(ctx, store.Routine, keys.NodePrefix, "", 1000)
	if err != nil {
		return names
	}
	announced := map[string]bool{}
	for _, item := range page.Items {
		var record nodeRecord
		if wire.Unmarshal(item.Value, &record) == nil && record.Version >= persist.FormatVersion {
			announced[item.Key[len(keys.NodePrefix):]] = true
		}
	}
	var missing []string
	for _, name := range names {
		if !announced[name] {
			missing = append(missing, name)
		}
	}
	return missing
}

// raiseFormat writes fleet/format. From then on, and not before, the compact form is used.
func (l *Leader) raiseFormat() {
	if l.recovered {
		l.records.Format.Raise(l.node.Now())
	}
}
