package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"
)

// Controller is a controller process.
type Controller struct {
	k            int
	public, peer string
	state, cloud string
	config       string
	cmd          *exec.Cmd
	log          *os.File
	mu           sync.Mutex
	running      bool
	ended        int    // ended by itself
	root         string // of the version that it runs; "": the present one
	killing      bool
	healthy      bool
}

// PeerLink is the way from one controller to another.
type PeerLink struct {
	mu     sync.Mutex
	cut    bool // packets are held until the end of the cut
	refuse bool
	ln     net.Listener
	conns  map[net.Conn]bool
}

func (p *PeerLink) set(cut, refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.refuse = cut, refuse
	if refuse {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

func (p *PeerLink) state() (bool, bool) { p.mu.Lock(); defer p.mu.Unlock(); return p.cut, p.refuse }

func (p *PeerLink) serve(target string) {
	p.conns = map[net.Conn]bool{}
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			if _, refuse := p.state(); refuse {
				if t, ok := c.(*net.TCPConn); ok {
					_ = t.SetLinger(0)
				}
				return
			}
			for cut, _ := p.state(); cut; cut, _ = p.state() {
				time.Sleep(20 * time.Millisecond)
			}
			d, err := net.DialTimeout("tcp4", target, time.Second)
			if err != nil {
				return
			}
			defer d.Close()
			p.mu.Lock()
			p.conns[c], p.conns[d] = true, true
			p.mu.Unlock()
			pump := func(to, from net.Conn) {
				b := make([]byte, 32<<10)
				for {
					n, err := from.Read(b)
					for cut, _ := p.state(); cut; cut, _ = p.state() {
						time.Sleep(20 * time.Millisecond)
					}
					if n > 0 {
						if _, werr := to.Write(b[:n]); werr != nil {
							return
						}
					}
					if err != nil {
						return
					}
				}
			}
			done := make(chan bool, 2)
			go func() { pump(d, c); done <- true }()
			go func() { pump(c, d); done <- true }()
			<-done
			p.mu.Lock()
			delete(p.conns, c)
			delete(p.conns, d)
			p.mu.Unlock()
		}()
	}
}

func listen() net.Listener {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return ln
}

// freeAddr returns a free address below the range from which the system takes the ports of connections, since a
// controller that is down must find its port free when it returns.
func freeAddr() string {
	for {
		port := 10000 + rand.IntN(22000)
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil && !takenPorts[port] {
			takenPorts[port] = true
			defer ln.Close()
			return ln.Addr().String()
		}
	}
}

var takenPorts = map[int]bool{}

type quiet struct{}

// Printf prints nothing: connections end at any time here.
func (quiet) Printf(string, ...any) {}

// startNodes writes the settings and starts the controllers.
func (w *World) startNodes(dir, root string, extra string) {
	for k := range w.nodes {
		w.ctl = append(w.ctl, &Controller{k: k, public: freeAddr(), peer: freeAddr(), healthy: true, root: w.oldRoot})
	}
	w.peers = make([][]*PeerLink, w.nodes)
	for i := range w.nodes {
		w.peers[i] = make([]*PeerLink, w.nodes)
		for j := range w.nodes {
			if i != j {
				p := &PeerLink{ln: listen()}
				w.peers[i][j] = p
				go p.serve(w.ctl[j].peer)
			}
		}
	}
	for k := range w.nodes {
		sl, cl := listen(), listen()
		serve := func(l net.Listener, h fasthttp.RequestHandler) {
			s := &fasthttp.Server{Handler: h, IdleTimeout: 60 * time.Second, Concurrency: 4096, Logger: quiet{}}
			go func() { _ = s.Serve(l) }()
		}
		serve(sl, w.state.handler(k))
		serve(cl, w.cloudHandler(k))
		w.ctl[k].state, w.ctl[k].cloud = sl.Addr().String(), cl.Addr().String()
		w.ctl[k].config = filepath.Join(dir, fmt.Sprintf("node%d.toml", k))
		w.settings(k, extra)
		log, err := os.Create(filepath.Join(dir, fmt.Sprintf("node%d.log", k)))
		if err != nil {
			panic(err)
		}
		w.ctl[k].log = log
	}
	for k := range w.members {
		w.startNode(k, root)
	}
	for k := range w.nodes {
		go w.probe(k)
	}
}

// settings writes the settings file of a controller; next is the table of the limits to come.
func (w *World) settings(k int, next string) {
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\narea = %q\npublic_addr = %q\npeer_listen = %q\n", nodeName(k), w.nodeZone[k], w.ctl[k].public, w.ctl[k].peer)
	for j := range w.members {
		if j != k {
			fmt.Fprintf(&b, "[[known]]\nnode = %q\narea = %q\naddr = %q\n", nodeName(j), w.nodeZone[j], w.peers[k][j].ln.Addr().String())
		}
	}
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n[facts]\nnodes = %d\nzones = [\"%s\"]\nclock_off_ms = 25.0\n", w.ctl[k].cloud, w.ctl[k].state, w.members, strings.Join(w.zones, `", "`))
	for name, l := range w.teams {
		if name == w.newTeam {
			continue
		}
		fmt.Fprintf(&b, "[[facts.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = %.1f\ngpus_max = %.1f\n", name, l[0]/2, l[0], min(8, l[1]), l[1])
	}
	b.WriteString("[[facts.objectives]]\nkind = \"wait\"\nclass = \"live-convert\"\nwithin_s = 6.0\nshare = 0.9\n")
	fmt.Fprintf(&b, "[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f\n", w.reportS, w.leaseS, w.gangWait, w.gangPeer, w.cancelS)
	fmt.Fprintf(&b, "[facts.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", w.state.rps, w.state.writeRPS, w.state.valueKB, w.state.txnOps)
	b.WriteString(next)
	fmt.Fprintf(&b, "[facts.cloud]\nrps = 4.0\nlist_lag_s = %.1f\n[facts.quota]\ncore_share = 0.18\nram_mb = 342.0\nmax_sockets = 3500\n", w.listLag)
	if err := os.WriteFile(w.ctl[k].config, []byte(b.String()), 0o644); err != nil {
		panic(err)
	}
}

func (w *World) startNode(k int, root string) {
	c := w.ctl[k]
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running {
		return
	}
	if c.root != "" {
		root = c.root
	}
	run := runCommand(root)
	c.cmd = exec.Command(filepath.Join(root, run[0]), append(run[1:], c.config)...)
	c.cmd.Dir = root
	level := os.Getenv("LOG_LEVEL")
	if level == "" {
		level = "info"
	}
	c.cmd.Env = append(os.Environ(), "LOG_LEVEL="+level)
	c.cmd.Stderr, c.cmd.Stdout = c.log, c.log
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.cmd.Start(); err != nil {
		panic(err)
	}
	c.running, c.killing = true, false
	cmd := c.cmd
	go func() {
		err := cmd.Wait()
		c.mu.Lock()
		c.running = false
		self := !c.killing
		c.mu.Unlock()
		if self {
			w.mu.Lock()
			c.ended++
			select {
			case <-w.stop:
			default:
				w.breach("crash", "controller %d ended by itself: %v", k, err)
			}
			w.mu.Unlock()
			time.Sleep(8 * time.Second)
			w.startNode(k, root)
		}
	}()
}

// runCommand returns the program and its arguments that the deploy file names.
func runCommand(root string) []string {
	b, err := os.ReadFile(filepath.Join(root, "deploy/service.toml"))
	if err != nil {
		panic(err)
	}
	for _, line := range strings.Split(string(b), "\n") {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`))
		}
	}
	panic("deploy/service.toml names no run command")
}

func (w *World) signal(k int, s syscall.Signal) {
	c := w.ctl[k]
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.running {
		return
	}
	if s == syscall.SIGKILL {
		c.killing = true
	}
	_ = c.cmd.Process.Signal(s)
}

func (w *World) crash(k int, root string, after time.Duration) {
	w.note("controller %d killed, back after %v", k, after)
	w.signal(k, syscall.SIGKILL)
	go func() {
		time.Sleep(after)
		for range 20 {
			select {
			case <-w.stop:
				return
			default:
			}
			w.ctl[k].mu.Lock()
			r := w.ctl[k].running
			w.ctl[k].mu.Unlock()
			if !r {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		w.startNode(k, root)
	}()
}

func (w *World) note(f string, a ...any) { w.mu.Lock(); w.logf("TROUBLE "+f, a...); w.mu.Unlock() }

func (w *World) probe(k int) {
	c := w.ctl[k]
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	bad, good := 0, 0
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(time.Second):
		}
		code, _, err := client.GetTimeout(nil, "http://"+c.public+"/ready", time.Second)
		if err == nil && code == 200 {
			good, bad = good+1, 0
		} else {
			bad, good = bad+1, 0
		}
		c.mu.Lock()
		if bad >= 2 {
			c.healthy = false
		} else if good >= 2 {
			c.healthy = true
		}
		c.mu.Unlock()
	}
}

// call sends a user's request to a node. A status of 0 means no answer.
func (w *World) call(k int, method, path string, body any, timeout time.Duration) (status int, out map[string]any) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + w.ctl[k].public + path)
	req.SetConnectionClose()
	if body != nil {
		b, err := msgpack.Marshal(body)
		if err != nil {
			panic(err)
		}
		req.SetBodyRaw(b)
	}
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	if client.DoTimeout(req, resp, timeout) != nil {
		return 0, nil
	}
	_ = msgpack.Unmarshal(resp.Body(), &out)
	return resp.StatusCode(), out
}

// pick chooses a healthy node as the load balancer does.
func (w *World) pick() int {
	order := rand.Perm(w.nodes)
	for _, k := range order {
		c := w.ctl[k]
		c.mu.Lock()
		ok := c.healthy && c.running
		c.mu.Unlock()
		if ok {
			return k
		}
	}
	return order[0]
}

func statusOf(out map[string]any) string { s, _ := out["status"].(string); return s }

// submit submits a job like a user. It reports whether it was accepted.
func (w *World) submit(j *jobRec) bool {
	w.mu.Lock()
	w.jobs[j.job.ID] = j
	j.submitted = time.Now()
	w.mu.Unlock()
	for time.Since(j.submitted) < 60*time.Second {
		k := w.pick()
		status, out := w.submitOnce(k, j)
		switch status {
		case 200, 201:
			return true
		case 400, 422:
			w.mu.Lock()
			j.failed422 = true
			w.logf("%s refused by %d: %d %v", j.job.ID, k, status, out)
			w.mu.Unlock()
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

func (w *World) submitOnce(k int, j *jobRec) (int, map[string]any) {
	sent := time.Now()
	status, out := w.call(k, "POST", "/work", j.job, 5*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.verbose || status != 201 {
		w.logf("submit %s at %d: %d %v", j.job.ID, k, status, statusOf(out))
	}
	if status == 200 || status == 201 {
		w.judge(j, k, sent, status, out, "submit")
	}
	if (status == 400 || status == 422) && !j.told.accepted.IsZero() && sent.After(j.told.accepted) {
		w.breach("forgotten", "repeated submission of %s gets %d at %d", j.job.ID, status, k)
	}
	return status, out
}

// judge checks an answer about a job. The caller holds w.mu.
func (w *World) judge(j *jobRec, k int, sent time.Time, status int, out map[string]any, what string) {
	id := j.job.ID
	if status == 404 {
		if !j.told.accepted.IsZero() && sent.After(j.told.accepted) {
			w.breach("forgotten", "%s of %s at %d gets 404, accepted %.3f s before", what, id, k, sent.Sub(j.told.accepted).Seconds())
		}
		return
	}
	if status != 200 && status != 201 {
		return
	}
	if j.submitted.IsZero() {
		w.breach("invented", "%s of %s at %d gets 200", what, id, k)
	}
	now := time.Now()
	j.lastAnswer = now
	if j.told.accepted.IsZero() {
		j.told.accepted = now
	}
	s := statusOf(out)
	if !j.told.done.IsZero() && sent.After(j.told.done) && s != "done" {
		w.breach("went_back", "%s at %d says %s, done was told %.3f s before", id, k, s, sent.Sub(j.told.done).Seconds())
	}
	if !j.told.aborted.IsZero() && sent.After(j.told.aborted) && s != "aborted" {
		w.breach("went_back", "%s at %d says %s, aborted was told %.3f s before", id, k, s, sent.Sub(j.told.aborted).Seconds())
	}
	switch s {
	case "done":
		if len(j.doneTasks) < j.job.Pieces {
			w.breach("not_done", "%s at %d says done, %d of %d tasks are", id, k, len(j.doneTasks), j.job.Pieces)
		}
		if j.told.done.IsZero() {
			j.told.done = now
			w.logf("%s done (told by %d)", id, k)
		}
	case "aborted":
		if !w.cancelled(j) {
			w.breach("went_back", "%s at %d is called cancelled, nobody cancelled it", id, k)
		}
		if j.told.aborted.IsZero() {
			j.told.aborted = now
			w.logf("%s aborted (told by %d, %s)", id, k, what)
		}
	}
}

func (w *World) cancelled(j *jobRec) bool {
	if !j.told.askedCancel.IsZero() {
		return true
	}
	for _, a := range j.job.Awaits {
		if d := w.jobs[a]; d != nil && w.cancelled(d) {
			return true
		}
	}
	return false
}

func (w *World) poll(k int, j *jobRec) (int, string) {
	sent := time.Now()
	status, out := w.call(k, "GET", "/work/"+j.job.ID, nil, 2*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	j.polls++
	w.judge(j, k, sent, status, out, "poll")
	if w.verbose {
		w.logf("poll %s at %d: %d %s done %v running %v", j.job.ID, k, status, statusOf(out), out["done"], out["running"])
	}
	return status, statusOf(out)
}

func (w *World) withdrawOnce(k int, j *jobRec) (int, string) {
	sent := time.Now()
	w.mu.Lock()
	if j.told.askedCancel.IsZero() {
		j.told.askedCancel = sent
	}
	w.mu.Unlock()
	status, out := w.call(k, "POST", "/work/"+j.job.ID+"/withdraw", nil, 5*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logf("withdraw %s at %d: %d %s", j.job.ID, k, status, statusOf(out))
	w.judge(j, k, sent, status, out, "withdraw")
	return status, statusOf(out)
}

// withdraw cancels a job like a user.
func (w *World) withdraw(j *jobRec) string {
	begin := time.Now()
	for time.Since(begin) < 60*time.Second {
		k := w.pick()
		status, s := w.withdrawOnce(k, j)
		if status == 200 {
			return s
		}
		time.Sleep(time.Second)
	}
	return ""
}

// close looks: asks at all nodes at once.
func (w *World) everywhere(j *jobRec, resubmit bool) {
	var g sync.WaitGroup
	for k := range w.nodes {
		g.Add(1)
		go func() { defer g.Done(); w.poll(k, j) }()
		if resubmit {
			g.Add(1)
			go func() { defer g.Done(); w.submitOnce(k, j) }()
		}
	}
	g.Wait()
}

var _ = io.EOF
