package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/metrics"
	"notchmux.dev/notchmux/internal/micro"
)

// peersRefused is the partition in which connections to other controllers are refused at once, and do not time out.
const peersRefused = "peers refused"

// controllerProcess is a controller across restarts of its process.
type controllerProcess struct {
	sim        *simCluster
	name, zone string
	drift      float64    // rate of its clock relative to true time
	offset     micro.Time // added to the reading of its clock

	mu                sync.Mutex
	node              *Node
	link              *fake.Link
	cancel            context.CancelFunc
	alive             bool
	frozenUntil       time.Time         // end of its process pause
	partitions        map[string]bool   // connections that are cut: state, peers, peersRefused, workers, users, cloud
	storeReachability fake.Reachability // while it is not partitioned from the store

	peerDelay micro.Time // delay of each reply to another controller
}

// addController adds a controller whose process does not run yet.
func (w *simCluster) addController(name, zone string, all int) *controllerProcess {
	controller := &controllerProcess{
		sim: w, name: name, zone: zone, drift: 1 + float64(w.randomInt(50))/1e5,
		offset: micro.Time(w.randomInt(3_600_000_000)), partitions: map[string]bool{},
	}
	w.controllers = append(w.controllers, controller)
	return controller
}

// setShards sets the shard configuration of processes that start later.
func (w *simCluster) setShards(shards *config.Shards) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config.Shards = shards
}

// startController starts a process of the controller.
func (w *simCluster) startController(controller *controllerProcess) {
	w.mu.Lock()
	cfg := w.config
	w.mu.Unlock()
	cfg.Node, cfg.Zone = controller.name, controller.zone
	cfg.Peers = nil
	for _, other := range w.controllers {
		if other != controller {
			cfg.Peers = append(cfg.Peers, config.Peer{Node: other.name, Zone: other.zone})
		}
	}
	cfg.DeriveDefaults()
	w.mu.Lock()
	link := fake.NewLink(w.store, rand.New(rand.NewPCG(w.rand.Uint64(), 1)))
	w.mu.Unlock()
	if w.writeRPS > 0 {
		link.SetWriteBudget(w.writeRPS, 1/float64(len(w.controllers)))
	}
	ctx, cancel := context.WithCancel(w.ctx)
	startedAt := w.now()
	parts := Dependencies{
		Cfg:     &cfg,
		Store:   link,
		Cloud:   &cloudClient{w.cloud, controller, link},
		Agent:   &dispatchSender{controller, link},
		Prober:  agentProber{controller},
		Peers:   &peerCaller{controller, link},
		Log:     w.newLogger(controller.name),
		Metrics: metrics.New(),
		Now: func() micro.Time {
			return controller.offset + micro.Time(float64(w.now()-startedAt)*controller.drift) + micro.Second
		},
		Wall: micro.WallNow,
	}
	if w.wrapStore != nil {
		parts.Store = w.wrapStore(link)
	}
	node := NewWith(parts)
	node.election.OnStartedLeading = func(t *election.Term) { node.startLeader(ctx, t) }
	node.election.OnStoppedLeading = node.stopLeader
	controller.mu.Lock()
	controller.node, controller.link, controller.cancel, controller.alive = node, link, cancel, true
	link.SetReachability(controller.storeReachability)
	if controller.partitions["state"] {
		link.SetReachability(fake.Partitioned)
	}
	controller.mu.Unlock()
	go func() { _ = node.election.Run(ctx) }()
	go func() { _ = node.fetchCatalog(ctx) }()
	go func() { _ = node.health.Run(ctx) }()
	go func() { _ = node.runLeaseProxy(ctx) }()
	go func() { _ = node.formatGate.Run(ctx) }()
	go func() { _ = node.runShards(ctx) }()
}

// killController ends the process without a graceful shutdown.
func (w *simCluster) killController(controller *controllerProcess) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if !controller.alive {
		return
	}
	controller.alive = false
	controller.link.Kill()
	controller.cancel()
}

// restartController kills the process and starts another one after a delay.
func (w *simCluster) restartController(controller *controllerProcess, delay micro.Time) {
	w.killController(controller)
	time.AfterFunc(delay.Duration(), func() {
		if w.ctx.Err() == nil && !controller.isAlive() {
			w.startController(controller)
		}
	})
}

func (p *controllerProcess) isAlive() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.alive }

// freeze simulates a process pause: messages from and to the process wait until its end.
func (p *controllerProcess) freeze(d micro.Time) {
	p.mu.Lock()
	p.frozenUntil = time.Now().Add(d.Duration())
	p.link.PauseUntil(p.frozenUntil)
	p.mu.Unlock()
}

// waitWhileFrozen waits until the end of a process pause.
func (p *controllerProcess) waitWhileFrozen() {
	p.mu.Lock()
	d := time.Until(p.frozenUntil)
	p.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
}

// waitPeerDelay waits for the delay of a reply to another controller.
func (p *controllerProcess) waitPeerDelay() {
	p.mu.Lock()
	d := p.peerDelay
	p.mu.Unlock()
	time.Sleep(d.Duration())
}

// delayPeerAnswers sets the delay of a controller's replies to the other controllers.
func (w *simCluster) delayPeerAnswers(controller *controllerProcess, d micro.Time) {
	controller.mu.Lock()
	controller.peerDelay = d
	controller.mu.Unlock()
}

// setPartitioned cuts or restores connections of the controller; "state" is the connection to the store.
func (p *controllerProcess) setPartitioned(on bool, connections ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range connections {
		p.partitions[connection] = on
		if connection == "state" {
			if p.link.SetReachability(p.storeReachability); on {
				p.link.SetReachability(fake.Partitioned)
			}
		}
	}
}

// setRefused sets whether the store refuses requests of this controller.
func (p *controllerProcess) setRefused(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeReachability = fake.Reachable
	if on {
		p.storeReachability = fake.Refusing
	}
	if !p.partitions["state"] {
		p.link.SetReachability(p.storeReachability)
	}
}

func (p *controllerProcess) partitionedFrom(connection string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.partitions[connection]
}

// runningNode returns the node of the running process, or nil if none runs.
func (p *controllerProcess) runningNode() *Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.alive {
		return nil
	}
	return p.node
}

// leader returns the controller that holds the leadership lease, or nil if there is none.
func (w *simCluster) leader() *controllerProcess {
	for _, controller := range w.controllers {
		if n := controller.runningNode(); n != nil && n.activeLeader() != nil {
			return controller
		}
	}
	return nil
}

// isPartitioned reports whether a network partition separates two zones.
func (w *simCluster) isPartitioned(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a != b && (w.partitionedZones[a] || w.partitionedZones[b])
}

// callNode sends a request to a controller over one of its connections ("users" or "workers") and returns the
// reply, or false if none arrived within the timeout. It returns at once if no process runs there.
func (w *simCluster) callNode(
	controller *controllerProcess, connection string, timeout time.Duration, call func(*Node) httpapi.Reply,
) (httpapi.Reply, bool) {
	node := controller.runningNode()
	if node == nil {
		return httpapi.Reply{}, false
	}
	if controller.partitionedFrom(connection) {
		time.Sleep(timeout)
		return httpapi.Reply{}, false
	}
	ch := make(chan httpapi.Reply, 1)
	go func() {
		controller.waitWhileFrozen()
		if controller.runningNode() == node {
			reply := call(node)
			controller.waitWhileFrozen()
			ch <- reply
		}
	}()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case reply := <-ch:
		if controller.runningNode() != node || controller.partitionedFrom(connection) {
			<-t.C
			return httpapi.Reply{}, false
		}
		return reply, true
	case <-t.C:
		return httpapi.Reply{}, false
	}
}
