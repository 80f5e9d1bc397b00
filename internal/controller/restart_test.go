package controller

import (
	"context"
	"strings"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// long makes a lease that outlives the test, so that whoever leads does not owe
// it to an expiry.
func long(n *Node) { n.election.TTL, n.election.Renew = 10*micro.Minute, 50*micro.Millisecond }

// A leader was back a fraction of a second after its end, and waited for its own
// old lease.
func TestLeaderRestartedBeforeItsLeaseEndedLeadsAgainAtOnce(t *testing.T) {
	b := newBed(t)
	n, kill := b.nodeWith("n-0", long)
	wait(t, "leading", func() bool { return n.leading() != nil })
	old := n.leading().term
	n.Submit(submission("j-1", wire.Array))
	kill()
	again, _ := b.nodeWith("n-0", long)
	wait(t, "leading again", func() bool { return again.leading() != nil })
	if term := again.leading().term; term.Stamp <= old.Stamp {
		t.Fatalf("the new term's tokens are no higher: %d, %d", term.Stamp, old.Stamp)
	}
	wait(t, "its job", func() bool { return again.Show("j-1").Status == 200 })
}

// A node was restarted in mid-election: its own campaign, sent by the process
// that ended, took effect after the new one had begun.
func TestNodeRestartedInMidElectionGetsOverItsOwnLateCampaign(t *testing.T) {
	b := newBed(t)
	b.store.HoldBack(1)
	_, kill := b.nodeWith("n-0", long)
	wait(t, "campaign on its way", func() bool { return b.store.Held() == 1 })
	kill()
	b.store.Deliver()
	again, _ := b.nodeWith("n-0", long)
	wait(t, "leads", func() bool { return again.leading() != nil })
	other, _ := b.nodeWith("n-1", long)
	wait(t, "known to the other", func() bool { return other.election.Leader() == "n-0" })
	if other.leading() != nil {
		t.Fatal("two lead")
	}
}

// The store took a second over a submission, or never answered this node: a
// user waited for it though a peer could have stored the job at once.
func TestSubmissionGoesToAPeerWhileTheStoreKeepsThisNodeWaiting(t *testing.T) {
	b := newBed(t)
	lead, _ := b.node("n-1")
	wait(t, "leading", func() bool { return lead.leading() != nil })
	addr := b.servePeer(lead)
	cut, _ := b.node("n-0")
	wait(t, "known", func() bool { return cut.election.Leader() == "n-1" })
	cut.Peers = peer.NewClient(map[string]string{"n-1": addr})
	cut.Store = slow{cut.Store}
	from := time.Now()
	r := cut.Submit(submission("j-1", wire.Array))
	if r.Status != 201 {
		t.Fatalf("%+v after %v", r, time.Since(from))
	}
	if r := lead.Show("j-1"); r.Status != 200 {
		t.Fatalf("the peer knows nothing of it: %+v", r)
	}
}

// After a takeover, half of the machines took no work for six to ten seconds:
// their workers had just reported of a new token, and did so again only with
// their next report.
func TestMachineProvesItselfAliveByAnsweringAnEmptyOrder(t *testing.T) {
	b := newBed(t)
	n, _ := b.node("n-0")
	wait(t, "leading", func() bool { return n.leading() != nil })
	w := fake.NewWorker("i-9", "small", "a", 30*micro.Second)
	b.hosts.mu.Lock()
	b.hosts.w["i-9"] = w
	r := w.Report()
	b.hosts.mu.Unlock()
	n.Beat(wire.MustMarshal(r)) // its answer is of no effect yet
	usable := func() bool {
		up := make(chan bool, 1)
		l := n.leading()
		l.post(func() { up <- l.c.Machines["i-9"].State == model.Up })
		return <-up
	}
	wait(t, "up without another report", usable)
	if len(w.Started) != 0 {
		t.Fatal("the order was to be empty")
	}
}

// late is a store that ends a job while the records of its tasks are being read.
type late struct {
	store.Store
	end func()
}

func (s late) Range(ctx context.Context, c store.Class, prefix, after string, limit int) (wire.Page, error) {
	p, err := s.Store.Range(ctx, c, prefix, after, limit)
	if strings.HasPrefix(prefix, "run/") {
		s.end()
	}
	return p, err
}

// While the store was slow, a job was called done, and then pending by a node
// that had looked for its end before it looked at its tasks.
func TestEndThatComesDuringAReadIsSeen(t *testing.T) {
	b := newBed(t)
	n, _ := b.nodeWith("n-0", func(n *Node) { n.election.Pause(10 * micro.Minute) })
	if r := n.Submit(submission("j-1", wire.Array)); r.Status != 201 {
		t.Fatalf("%+v", r)
	}
	n.Store = late{n.Store, func() {
		_, _ = b.store.Commit(context.Background(), store.Urgent, wire.Txn{
			Then: []wire.Change{{Put: endKey("j-1"), Value: model.EndRecord{State: wire.JobDone}}}})
	}}
	if got := state(n, "j-1"); got != wire.JobDone {
		t.Fatalf("it is %q", got)
	}
}
