package controller

import (
	"context"
	"errors"
	"notchmux.dev/notchmux/internal/writer"
	"time"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Two versions of the service may run side by side, on each other's data. Forms
// that the earlier one cannot read wait for a gate: each node of this version
// announces itself in the store; once all nodes of the settings have, the leader
// raises fleet/format, for good. A site that was never run by an earlier version
// passes the same gate.

// Version is the version of the forms that this program reads and writes.
const Version = 2

const (
	formatKey  = "fleet/format"
	nodePrefix = "node/"
)

// FormatRecord is the value of fleet/format.
type FormatRecord struct {
	Version int `msgpack:"version" json:"version"`
	Tasks   int `msgpack:"tasks" json:"tasks"` // tasks of a chunk in the compact form
}

// nodeRecord is what a node announces.
type nodeRecord struct {
	Version int `msgpack:"version" json:"version"`
}

// GateState is where this node takes the site's move to the new forms to be.
type GateState int32

// The states.
const (
	Unannounced GateState = iota // the store does not know of this node's version yet
	Announced                    // it does; not all nodes have announced, or the format is not raised
	Open                         // fleet/format is raised
)

func (s GateState) String() string { return [...]string{"unannounced", "announced", "open"}[s] }

// become is the one place where the gate's state changes.
func (n *Node) become(to GateState) {
	if was := GateState(n.gate.Swap(int32(to))); was != to {
		n.Log.Info("format", "was", was.String(), "is", to.String())
	}
	if to == Open {
		if s, ok := n.Store.(Lowerer); ok {
			s.Lower(n.Cfg.NextWriteRPS())
		}
	}
}

// Lowerer is a store client that can be told of a rate of changes that may come
// into force without notice.
type Lowerer interface{ Lower(writes float64) }

// Opened reports whether the new forms are in use.
func (n *Node) Opened() bool { return GateState(n.gate.Load()) == Open }

// gateEvery is how often a node looks at the gate until it is open.
const gateEvery = micro.Second

// watchGate announces this node, and looks until the gate is open.
func (n *Node) watchGate(ctx context.Context) error {
	for ctx.Err() == nil && !n.Opened() {
		n.lookAtGate(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(gateEvery.Std()):
		}
	}
	return nil
}

func (n *Node) lookAtGate(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	if GateState(n.gate.Load()) == Unannounced && n.announce(ctx) {
		n.become(Announced)
	}
	it, err := n.Store.Get(ctx, store.Routine, formatKey)
	var rec FormatRecord
	if err == nil && wire.Unmarshal(it.Value, &rec) == nil && rec.Version >= Version {
		// The leader that raised it, and its heirs, need not be told.
		n.become(Open)
		return
	}
	if l := n.leading(); l != nil && errors.Is(err, store.ErrNotFound) && GateState(n.gate.Load()) == Announced {
		if missing := n.unannounced(ctx); len(missing) == 0 {
			l.post(l.raise)
		} else {
			n.Log.Debug("format waits", "for", missing)
		}
	}
}

// announce makes this node's version known, through a peer if the store is out of
// this node's reach alone: one upgraded while it was cut from the store once kept
// the gate shut for a minute, and the limits fell meanwhile.
func (n *Node) announce(ctx context.Context) bool {
	if n.record(ctx, n.Cfg.Node) {
		return true
	}
	for _, p := range n.leaderFirst() {
		if status, _, err := n.ask(p, peer.Announce, wire.MustMarshal(n.Cfg.Node), askWait); err == nil && status == 200 {
			return true
		}
	}
	return false
}

// record writes that a node runs this version, unless it is there.
func (n *Node) record(ctx context.Context, node string) bool {
	key := nodePrefix + node
	it, err := n.Store.Get(ctx, store.Routine, key)
	var rec nodeRecord
	if err == nil && wire.Unmarshal(it.Value, &rec) == nil && rec.Version >= Version {
		return true
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	_, err = n.Store.Commit(ctx, store.Routine, wire.Txn{If: []wire.Guard{}, Then: []wire.Change{{Put: key, Value: nodeRecord{Version}}}})
	return err == nil
}

// answerAnnounce records another node of the settings on its behalf.
func (n *Node) answerAnnounce(ctx context.Context, body []byte) int {
	var node string
	if wire.Unmarshal(body, &node) != nil {
		return 400
	}
	for _, p := range n.Cfg.Peers {
		if p.Node == node {
			if n.record(ctx, node) {
				return 200
			}
			return 503
		}
	}
	return 404
}

// unannounced lists the nodes of the settings that have not announced this
// version; if the store can't be asked, all.
func (n *Node) unannounced(ctx context.Context) []string {
	missing := []string{n.Cfg.Node}
	for _, p := range n.Cfg.Peers {
		missing = append(missing, p.Node)
	}
	page, err := n.Store.Range(ctx, store.Routine, nodePrefix, "", 1000)
	if err != nil {
		return missing
	}
	there := map[string]bool{}
	for _, it := range page.Items {
		var rec nodeRecord
		if wire.Unmarshal(it.Value, &rec) == nil && rec.Version >= Version {
			there[it.Key[len(nodePrefix):]] = true
		}
	}
	var out []string
	for _, name := range missing {
		if !there[name] {
			out = append(out, name)
		}
	}
	return out
}

// raise writes fleet/format. From then on, and not before, the new forms are used.
func (l *Lead) raise() {
	if !l.c.Compact && l.loaded && !l.records.format.Dirty() && !l.records.format.Doubtful() {
		l.records.format.Touch(l.n.Now(), writer.Soon)
	}
}

// readFormat takes in the value of fleet/format; false if it raises nothing.
func (l *Lead) readFormat(it wire.Item) bool {
	var rec FormatRecord
	if wire.Unmarshal(it.Value, &rec) != nil || rec.Version < Version || rec.Tasks < 1 || rec.Tasks > 128 || 128%rec.Tasks != 0 {
		return false
	}
	l.records.format.SetVersion(uint64(it.Version))
	l.format = rec
	return true
}

// raised turns to the new forms: fleet/format is in the store.
func (l *Lead) raised() {
	if l.c.Compact {
		return
	}
	if l.format.Tasks == 0 {
		rec, _ := l.records.format.Build()
		l.format = rec.(FormatRecord)
	}
	l.c.UseCompact(l.format.Tasks)
	l.n.become(Open)
}
