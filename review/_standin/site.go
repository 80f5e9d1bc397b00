package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

type team struct{ cpus, cpusMax, gpus, gpusMax float64 }

// site is a small deployment: controllers as processes, and stand-ins of all that is around them.
type site struct {
	dir      string // temporary folder
	root     string // the repository
	record   *os.File
	recordMu sync.Mutex
	began    time.Time
	trouble  bool

	report, lease, gangWait, cancel time.Duration
	teams                           map[string]team
	nextLimits                      string // the table state.next of the settings

	nodes []*node
	store *store
	cloud *cloud
	judge *judge
	gangs *gangs

	jobsMu sync.Mutex
	jobs   map[string]*job
	cutMu  sync.Mutex
	cuts   map[string]bool // zones that are cut off
	ended  time.Time
}

func newSite(folder string, teams map[string]team, rigs []rig) *site {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		panic(err)
	}
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		panic(err)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		panic(err)
	}
	s := &site{
		dir: dir, root: root, record: record, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0",
		report: 3 * time.Second, lease: 30 * time.Second, gangWait: 40 * time.Second, cancel: 50 * time.Second,
		teams: teams, gangs: &gangs{all: map[taskKey]*gang{}}, jobs: map[string]*job{}, cuts: map[string]bool{},
	}
	s.judge = newJudge(s)
	s.store = newStore(s)
	s.cloud = newCloud(s, rigs)
	go s.judge.watch()
	time.AfterFunc(112*time.Second, func() {
		s.log("test", "took too long")
		s.finish()
		os.Exit(2)
	})
	return s
}

func (s *site) over() bool { return !s.ended.IsZero() && time.Now().After(s.ended) }

func (s *site) log(who string, args ...any) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	line := fmt.Sprintln(args...)
	fmt.Fprintf(s.record, "%8.3f %-12s %s", time.Since(s.began).Seconds(), who, line)
}

func (s *site) addJob(j *job) {
	s.jobsMu.Lock()
	defer s.jobsMu.Unlock()
	s.jobs[j.id] = j
}

func (s *site) job(id string) *job {
	s.jobsMu.Lock()
	defer s.jobsMu.Unlock()
	return s.jobs[id]
}

func (s *site) allJobs() []*job {
	s.jobsMu.Lock()
	defer s.jobsMu.Unlock()
	var out []*job
	for _, j := range s.jobs {
		out = append(out, j)
	}
	return out
}

// isCut reports whether messages between a zone and another one are cut off.
func (s *site) isCut(a, b string) bool {
	s.cutMu.Lock()
	defer s.cutMu.Unlock()
	return a != b && (s.cuts[a] || s.cuts[b])
}

func (s *site) cutZone(zone string, on bool) { s.cutZones(zone, on, true) }

// cutZones cuts a zone off from the others, and with fromState from the state service as well.
func (s *site) cutZones(zone string, on, fromState bool) {
	s.cutMu.Lock()
	s.cuts[zone] = on
	s.cutMu.Unlock()
	s.log("trouble", "zone", zone, "cut off:", on)
	for _, n := range s.nodes {
		if n.area == zone && fromState {
			l := s.store.link(n.name)
			l.Silent = on
			s.store.setLink(n.name, l)
		}
		for _, p := range n.links {
			if p.from.area != p.to.area && (p.from.area == zone || p.to.area == zone) {
				p.setMode(map[bool]string{true: "hold", false: ""}[on])
			}
		}
	}
}

func (s *site) nodeIndex(name string) int {
	for i, n := range s.nodes {
		if n.name == name {
			return i
		}
	}
	return -1
}

func (s *site) node(name string) *node { return s.nodes[s.nodeIndex(name)] }

// leader waits for a leader and returns it.
func (s *site) leader() *node {
	for range 400 {
		if name := s.store.leader(); name != "" {
			return s.node(name)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

func serve(h http.Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// freeAddr returns a loopback address that only this run uses: its number is from the process id, and its port lies
// below those that the system gives to outgoing connections.
func freeAddr() string {
	for port := 20000 + rand.IntN(8000); ; port++ {
		addr := fmt.Sprintf("127.%d.%d.%d:%d", 10+os.Getpid()>>16&63, os.Getpid()>>8&255, os.Getpid()&255|1, port)
		if l, err := net.Listen("tcp4", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
}

// node is a controller process.
type node struct {
	site         *site
	name, area   string
	public, peer string
	state        string
	config       string
	links        []*peerLink // from this node to the others

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	killed  bool
	crashes int
	deaf    bool // workers do not reach it
}

func (n *node) isDeaf() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.deaf
}

func (n *node) setDeaf(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.deaf = on
}

// addNodes prepares the controllers, one for each area.
func (s *site) addNodes(areas ...string) {
	for i, area := range areas {
		name := fmt.Sprintf("bunkhouse-%d", i)
		s.nodes = append(s.nodes, &node{
			site: s, name: name, area: area, public: freeAddr(), peer: freeAddr(), state: serve(s.store.handler(name)),
		})
	}
	cloud := serve(s.cloud)
	zones := map[string]bool{}
	var zoneList []string
	for _, n := range s.nodes {
		if !zones[n.area] {
			zones[n.area] = true
			zoneList = append(zoneList, fmt.Sprintf("%q", n.area))
		}
	}
	for _, n := range s.nodes {
		var b strings.Builder
		fmt.Fprintf(&b, "node = %q\narea = %q\npublic_addr = %q\npeer_listen = %q\n", n.name, n.area, n.public, n.peer)
		for _, other := range s.nodes {
			if other != n {
				link := newPeerLink(n, other)
				n.links = append(n.links, link)
				fmt.Fprintf(&b, "\n[[known]]\nnode = %q\narea = %q\naddr = %q\n", other.name, other.area, link.addr)
			}
		}
		fmt.Fprintf(&b, "\n[external]\ncloud = %q\nstate = %q\n\n[facts]\nnodes = %d\nzones = [%s]\nclock_off_ms = 25.0\n",
			cloud, n.state, len(s.nodes), strings.Join(zoneList, ", "))
		for name, t := range s.teams {
			fmt.Fprintf(&b, "\n[[facts.teams]]\nname = %q\ncpus = %f\ncpus_max = %f\ngpus = %f\ngpus_max = %f\n",
				name, t.cpus, t.cpusMax, t.gpus, t.gpusMax)
		}
		fmt.Fprintf(&b, `
[facts.workers]
report_s = %.1f
lease_s = %.1f
gang_wait_s = 40.0
gang_peer_s = 8.0
cancel_s = %.1f

[facts.state]
rps = 100.0
write_rps = 30.0
value_kb = 16.0
txn_ops = 24
%s
[facts.cloud]
rps = 4.0
list_lag_s = 6.0

[facts.quota]
core_share = 0.18
ram_mb = 342.0
max_sockets = 3500
`, s.report.Seconds(), s.lease.Seconds(), s.cancel.Seconds(), s.nextLimits)
		n.config = filepath.Join(s.dir, n.name+".toml")
		if err := os.WriteFile(n.config, []byte(b.String()), 0o600); err != nil {
			panic(err)
		}
	}
}

// command returns the program and arguments that the deploy file names.
func (s *site) command() []string {
	raw, err := os.ReadFile(filepath.Join(s.root, "deploy", "service.toml"))
	if err != nil {
		panic(err)
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(strings.TrimSpace(rest), `"`))
		}
	}
	panic("the deploy file has no run")
}

func (n *node) start() {
	args := append(n.site.command(), n.config)
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Dir = n.site.root
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	errors, err := os.OpenFile(filepath.Join(n.site.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	cmd.Stderr, cmd.Stdout = errors, errors
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited, n.killed = cmd, exited, false
	n.mu.Unlock()
	n.site.log(n.name, "process starts", cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		_ = errors.Close()
		n.mu.Lock()
		byItself := !n.killed
		if byItself {
			n.crashes++
		}
		n.cmd = nil
		n.mu.Unlock()
		close(exited)
		if byItself {
			n.site.judge.breaks("crash", n.name, "ended by itself:", cmd.ProcessState)
		}
	}()
}

func logLevel() string {
	if l := os.Getenv("LOG_LEVEL"); l != "" {
		return l
	}
	return "info"
}

func (n *node) alive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil
}

func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(sig)
	}
}

func (n *node) kill() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.killed = true
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	n.site.log(n.name, "process is killed")
	_ = cmd.Process.Kill()
	<-exited
}

// finish ends all processes, and keeps their logs if KEEP is set.
func (s *site) finish() {
	s.ended = time.Now()
	for _, n := range s.nodes {
		n.signal(syscall.SIGCONT)
		n.kill()
	}
	for _, w := range s.cloud.workers() {
		w.end("test is over")
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

// peerLink is a proxy on the way from one controller to another.
type peerLink struct {
	from, to *node
	addr     string
	mu       sync.Mutex
	mode     string // "": pass on, "hold": nothing passes, "refuse": connections are reset
	delay    time.Duration
	conns    map[net.Conn]bool
}

func newPeerLink(from, to *node) *peerLink {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &peerLink{from: from, to: to, addr: l.Addr().String(), conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *peerLink) setMode(mode string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == "refuse" {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

func (p *peerLink) state() (string, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.delay
}

func (p *peerLink) serve(c net.Conn) {
	defer c.Close()
	if mode, _ := p.state(); mode == "refuse" {
		return
	}
	out, err := net.DialTimeout("tcp4", p.to.peer, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(c, out, done)
	go p.copy(out, c, done)
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (p *peerLink) copy(from, to net.Conn, done chan struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for mode, _ := p.state(); mode == "hold"; mode, _ = p.state() {
			time.Sleep(10 * time.Millisecond)
		}
		if _, delay := p.state(); delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				return
			}
			return
		}
	}
}
