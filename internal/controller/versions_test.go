package controller

import (
	"context"
	"encoding/hex"
	"fmt"
	"reflect"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/formatgate"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/leasekeeper"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/persist"
	"notchmux.dev/notchmux/internal/provision"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Records and messages as encoded by version 1, in hexadecimal.
const (
	v1JobSpec           = "de0015a66e616d654964a86a2d303030343132a86a6f62636c617373a5747261696ea66f7574666974a47465616da57368617065a8656e73656d626c65a472616e6ba6757267656e74a6706965636573ccc8a57663707573cb3fd0000000000000a467707573cb0000000000000000a572616d4762cb3ff0000000000000a662756e646c65a6696d672d3037a670756c6c4762cb3ff8000000000000a47269677391a5736d616c6ca479617264a465617374a76f6e655a6f6e65c3a773636174746572c2a76c6f616e657273c3a6677565737353cb406e000000000000a9626f6f6b6d61726b53cb403e000000000000a6737461736853cb4010000000000000a464756553cb408c200000000000a26174cf00060a24181e4000"
	v1Chunk             = "83a1709295cc8202a8692d30303032333103a46561737495cc8301a8692d30303032333201a477657374a1649292cc80cc8192cc8cccc7a1749192cc8704"
	v1FinalStatus       = "81a57374617465a761626f72746564"
	v1InstanceRequest   = "84a17285a468697265a5722d372d31a3726967a5736d616c6ca479617264a465617374a76c6f616e657273c3a5636f756e7402a16d92a8692d303030323331a8692d303030323332a161c3a26174cf00060a24181e4000"
	v1FirstProvisioned  = "81a16da8692d303030323331"
	v1LeaderRecord      = "83a46e6f6465a36e2d30a56e6f6e6365a3414243a56c6561736507"
	v1Images            = "83a16e91a6696d672d3037a16791cb3ff8000000000000a16d81a8692d3030303233319100"
	v1LeaseProxyRequest = "83a16ea36e2d31a16582a17407a161cd3039a16bc3"
	v1LeaseProxyEcho    = "82a17407a161cd3039"
	v1Status            = "84a66e616d654964a86a2d303030343132a6737461747573a772756e6e696e67a4646f6e6503a772756e6e696e6702"
)

// decodeHex decodes hexadecimal bytes, and fails the test if they are malformed.
func decodeHex(t *testing.T, encoded string) []byte {
	t.Helper()
	b, err := hex.DecodeString(encoded)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// version1Values returns the decoded value of each encoded version 1 record and message.
func version1Values() map[string]any {
	due, zone := 900.0, "east"
	return map[string]any{
		v1JobSpec: wire.Job{
			ID: "j-000412", Class: "train", Team: "team", Kind: wire.Gang, Priority: wire.High, Tasks: 200, CPUs: 0.25,
			MemoryGB: 1, Image: "img-07", ImageGB: 1.5, Types: []string{"small"}, Zone: &zone, OneZone: true, Spot: true,
			EstimateS: 240, CheckpointIntervalS: 30, CheckpointDurationS: 4, DeadlineS: &due, SubmittedAt: 1700000000000000,
		},
		v1Chunk: cluster.ChunkRecord{
			Allocations: []cluster.AllocationRecord{
				{Index: 130, Attempt: 2, Machine: "i-000231", Session: 3, Zone: "east"},
				{Index: 131, Attempt: 1, Machine: "i-000232", Session: 1, Zone: "west"},
			},
			Done:     [][2]int{{128, 129}, {140, 199}},
			Attempts: [][2]int{{135, 4}},
		},
		v1FinalStatus: cluster.FinalStatusRecord{State: wire.JobAborted},
		v1InstanceRequest: provision.InstanceRequestRecord{
			Request:  wire.InstanceRequest{RequestID: "r-7-1", Type: "small", Zone: "east", Spot: true, Count: 2},
			Machines: []string{"i-000231", "i-000232"}, Answered: true, CreatedAt: 1700000000000000,
		},
		v1FirstProvisioned: provision.FirstProvisionedRecord{Machine: "i-000231"},
		v1LeaderRecord:     election.Record{Node: "n-0", Nonce: "ABC", Lease: 7},
		v1Images: cluster.ImageRecord{
			Names: []string{"img-07"}, GB: []float64{1.5}, Machines: map[string][]int{"i-000231": {0}},
		},
		v1LeaseProxyRequest: leasekeeper.Request{
			Node: "n-1", RenewedLeases: true, Echo: leasekeeper.LeaderTimestamp{Term: 7, At: 12345},
		},
		v1LeaseProxyEcho: leasekeeper.LeaderTimestamp{Term: 7, At: 12345},
		v1Status:         wire.JobStatus{ID: "j-000412", State: wire.JobRunning, Done: 3, Running: 2},
	}
}

// Until the format gate is open, version 1 and the current version must be able to read each other's records and
// messages: the current version decodes version 1 bytes and encodes the same bytes.
func TestVersion1FormatsAreReadAndWrittenUnchanged(t *testing.T) {
	for encoded, want := range version1Values() {
		got := reflect.New(reflect.TypeOf(want))
		if err := wire.Unmarshal(
			decodeHex(t, encoded), got.Interface(),
		); err != nil || fmt.Sprint(got.Elem().Interface()) == "" ||
			!reflect.DeepEqual(got.Elem().Interface(), want) {
			t.Errorf("%T is decoded as %+v, error %v", want, got.Elem().Interface(), err)
		}
		if out := hex.EncodeToString(wire.MustMarshal(want)); out != encoded {
			t.Errorf("%T is not encoded as by version 1, but as %s", want, out)
		}
	}
}

// JSONSize returns the size that the store counts: that of the decoded value, as JSON.
func TestJSONSizeMatchesTheSizeThatTheStoreCounts(t *testing.T) {
	all := version1Values()
	all["compact"] = (&cluster.ChunkRecord{Allocations: []cluster.AllocationRecord{{Index: 1, Attempt: 2, Machine: "i-1", Session: 3, Zone: "east"}}, Done: [][2]int{{2, 3}}, Attempts: [][2]int{}}).Compact()
	all["format"] = persist.FormatRecord{Version: 2, TasksPerChunk: 64}
	all["node"] = formatgate.NodeRecord{Version: 2}
	all["needs"] = cluster.DependencyRecord{Dependencies: []string{"j-1", "j-2"}}
	for _, value := range all {
		var counted any
		if err := wire.Unmarshal(wire.MustMarshal(value), &counted); err != nil {
			t.Fatal(err)
		}
		got, want := wire.JSONSize(value), wire.JSONSize(counted)
		switch value.(type) {
		case leasekeeper.Request, leasekeeper.LeaderTimestamp:
			continue // sent between nodes only, never stored
		}
		if _, isJob := value.(wire.Job); isJob && got >= want {
			continue // JSONSize counts a null that the encoded record omits
		}
		if got != want {
			t.Errorf("JSONSize of %T is %d bytes, the store counts %d", value, got, want)
		}
	}
}

// v1FinalStatusRecord is the version 1 type of a record to which the current version added fields.
type v1FinalStatusRecord struct {
	State wire.JobState `msgpack:"state"`
}

// v1Job is the version 1 type of wire.Job, with some of its fields.
type v1Job struct {
	ID          string   `msgpack:"nameId"`
	Tasks       int      `msgpack:"pieces"`
	DeadlineS   *float64 `msgpack:"dueS"`
	SubmittedAt int64    `msgpack:"at,omitempty"`
}

// Version 1 decodes records of the current version and ignores the fields that were added since.
func TestVersion1IgnoresAddedFields(t *testing.T) {
	var finalStatus v1FinalStatusRecord
	if err := wire.Unmarshal(
		wire.MustMarshal(cluster.FinalStatusRecord{State: wire.JobDone, EndedAt: 1700000000000000}), &finalStatus,
	); err != nil ||
		finalStatus.State != wire.JobDone {
		t.Errorf("final status is decoded as %+v, error %v", finalStatus, err)
	}
	var job v1Job
	if err := wire.Unmarshal(
		wire.MustMarshal(wire.Job{ID: "j-1", Tasks: 3, SubmittedAt: 5, Dependencies: []string{"j-0"}, DependencyChunks: 2}),
		&job,
	); err != nil || job.ID != "j-1" || job.Tasks != 3 ||
		job.SubmittedAt != 5 {
		t.Errorf("job is decoded as %+v, error %v", job, err)
	}
}

// storeVersion1Job stores the records that a version 1 leader writes for the running job j-9 with these allocations.
func (b *testCluster) storeVersion1Job(t *testing.T, allocations ...cluster.AllocationRecord) {
	t.Helper()
	spec := wire.Job{
		ID: "j-9", Class: "c", Team: "team", Kind: wire.Service, Priority: wire.Normal, Tasks: len(allocations), CPUs: 0.01,
		MemoryGB: 0.01, SubmittedAt: int64(micro.WallNow()),
	}
	_, err := b.store.Commit(context.Background(), store.Urgent, wire.Transaction{Then: []wire.Change{
		{
			Put:   keys.JobSpec("j-9"),
			Value: spec,
		},
		{Put: keys.LegacyChunk("j-9", 0), Value: cluster.ChunkRecord{Allocations: allocations}},
	}})
	if err != nil {
		t.Fatal(err)
	}
}

// Version 1 allocation records are read, before and after the format gate opens, and stay in the store while they are
// the only record of their tasks: a task whose allocation one version misses in the other's records would run twice.
func TestRunningTasksOfVersion1AreKnownBeforeAndAfterTheFormatGateOpens(t *testing.T) {
	env := newTestCluster(t)
	var allocations []cluster.AllocationRecord
	for i := range 100 {
		allocations = append(
			allocations,
			cluster.AllocationRecord{Index: i, Attempt: 1, Machine: fmt.Sprintf("i-9%05d", i), Session: 1, Zone: "a"},
		)
	}
	env.storeVersion1Job(t, allocations...)
	for _, open := range []bool{false, true, true} {
		node, kill := env.startNode("n-0")
		waitUntil(t, "the node leads and knows the job", func() bool {
			return node.activeLeader() != nil && jobState(node, "j-9") != ""
		})
		leader := node.activeLeader()
		knownAllocations := func() int {
			got := make(chan int, 1)
			leader.post(func() {
				count := 0
				for _, allocation := range leader.cluster.Jobs["j-9"].Allocations() {
					if allocation.Index < 100 && allocation.Machine.Name == fmt.Sprintf("i-9%05d", allocation.Index) {
						count++
					}
				}
				got <- count
			})
			return <-got
		}
		if got := knownAllocations(); got != 100 {
			t.Fatalf("%d allocations are known, want 100", got)
		}
		if open {
			waitUntil(
				t, "the format gate is open", func() bool {
					node.formatGate.Check(context.Background())
					return node.formatGate.FormatOpen()
				},
			)
			if got := knownAllocations(); got != 100 {
				t.Fatalf("%d allocations are known after the format gate opened, want 100", got)
			}
			// Even if the legacy record is written again, for example after an earlier write failed, it must stay
			// in the store while it is the only record of its allocations.
			leader.post(func() {
				for _, ch := range leader.cluster.Jobs["j-9"].Chunks {
					leader.records.LegacyRecordSuperseded(ch.Legacy)
					leader.records.Lookup(keys.LegacyChunk("j-9", ch.Legacy.Index)).MarkDirty(node.Now(), statestore.PriorityHigh)
				}
				leader.records.Record(keys.FirstProvisioned).MarkDirty(node.Now(), statestore.PriorityHigh)
			})
			waitUntil(t, "a later write is stored", func() bool {
				_, err := env.store.Get(context.Background(), store.Routine, keys.FirstProvisioned)
				return err == nil
			})
			if _, err := env.store.Get(context.Background(), store.Routine, keys.LegacyChunk("j-9", 0)); err != nil {
				t.Fatal("the only record of running tasks was deleted")
			}
		} else if _, err := env.store.Get(context.Background(), store.Routine, keys.CompactChunk("j-9", 0)); err == nil {
			t.Fatal("a compact record, which version 1 cannot read, was stored before the format gate opened")
		}
		kill()
	}
}

// The format gate opens once all configured nodes have announced their version, and stays open, also for nodes that
// start later. Before that, a submission with dependencies gets 503, as a version 1 leader would ignore them.
func TestFormatGateOpensOnceAllConfiguredNodesAnnouncedAndStaysOpen(t *testing.T) {
	env := newTestCluster(t)
	withPeer := func(other string) func(*Node) {
		return func(node *Node) { node.Cfg.Peers = []config.Peer{{Node: other}} }
	}
	leader, kill := env.startNodeWith("n-0", withPeer("n-1"))
	waitUntil(t, "the node leads", func() bool { return leader.activeLeader() != nil })
	dependent := dependentSubmission("j-2", "j-1")
	leader.Submit(submission("j-1", wire.JobArray))
	for range 40 {
		leader.formatGate.Check(context.Background())
		time.Sleep(time.Millisecond)
	}
	if leader.formatGate.FormatOpen() {
		t.Fatal("the format gate opened although the other node may run version 1 and lead next")
	}
	if reply := leader.Submit(dependent); reply.Status != 503 || reply.RetryAfter == 0 {
		t.Fatalf("submission with dependencies: got %+v, want 503, as version 1 would not wait for them", reply)
	}
	other, _ := env.startNodeWith(
		"n-1", func(node *Node) { withPeer("n-0")(node); node.election.SuspendCampaign(10 * micro.Minute) },
	)
	env.store.SetOutage(true)
	other.formatGate.Check(context.Background())
	env.store.SetOutage(false)
	if other.formatGate.State() != formatgate.Unannounced {
		t.Fatal("the node counts as announced although the store was down")
	}
	waitUntil(t, "the format gates of both nodes are open", func() bool {
		other.formatGate.Check(context.Background())
		leader.formatGate.Check(context.Background())
		return leader.formatGate.FormatOpen() && other.formatGate.FormatOpen()
	})
	if reply := other.Submit(dependent); reply.Status != 201 {
		t.Fatalf("submission with dependencies after the format gate opened: got %+v, want status 201", reply)
	}
	kill()
	restarted, _ := env.startNodeWith("n-2", withPeer("n-3")) // neither n-2 nor n-3 has announced its version
	waitUntil(t, "the restarted node leads", func() bool { return restarted.activeLeader() != nil })
	waitUntil(t, "its format gate is open", restarted.formatGate.FormatOpen)
}

// A node that the store alone refuses, for example after an upgrade in this state, announces its version through a
// peer, so that the format gate can open. A node that is not configured cannot be announced.
func TestNodeThatTheStoreRefusesAnnouncesItsVersionThroughAPeer(t *testing.T) {
	env := newTestCluster(t)
	leader, _ := env.startNodeWith("n-0", func(node *Node) { node.Cfg.Peers = []config.Peer{{Node: "n-1"}} })
	waitUntil(t, "the node leads", func() bool { return leader.activeLeader() != nil })
	isolated, _ := env.startNodeWith("n-1", func(node *Node) {
		node.Cfg.Peers = []config.Peer{{Node: "n-0"}}
		node.Store = unansweredGetStore{node.Store}
		node.Peers = peer.NewClient(map[string]string{"n-0": env.servePeer(leader)})
	})
	if isolated.formatGate.HandleAnnounce(context.Background(), wire.MustMarshal("n-7")) != 404 {
		t.Fatal("the announcement of a node that is not configured was not answered 404")
	}
	waitUntil(t, "the format gate of the leader is open", func() bool {
		isolated.formatGate.Check(context.Background())
		leader.formatGate.Check(context.Background())
		return leader.formatGate.FormatOpen()
	})
}

// unansweredGetStore is a store that does not answer single-key reads.
type unansweredGetStore struct{ store.Store }

func (unansweredGetStore) Get(context.Context, store.Class, string) (wire.Item, error) {
	return wire.Item{}, store.ErrUncertain
}

// A peer of another release answers calls that it does not support with 404; the node then reads the store instead.
func TestUnsupportedPeerCallFallsBackToTheStore(t *testing.T) {
	env := newTestCluster(t)
	leader, _ := env.startNode("n-1")
	waitUntil(t, "the node leads", func() bool { return leader.activeLeader() != nil })
	node, _ := env.startNodeWith("n-0", func(node *Node) { node.formatGate.MarkOpen() })
	waitUntil(t, "the leader is known", func() bool { return node.election.Leader() == "n-1" })
	node.Peers = peer.NewClient(map[string]string{"n-1": env.servePeer(leader)})
	node.Cfg.Peers = []config.Peer{{Node: "n-1"}}
	if status, _, err := node.Peers.Call(context.Background(), "n-1", "/peer/later", nil, peerCallTimeout); err != nil ||
		status != 404 {
		t.Fatalf("unsupported call: status %d, error %v, want status 404", status, err)
	}
	node.Submit(submission("j-1", wire.JobArray))
	if reply := node.Submit(dependentSubmission("j-2", "j-1")); reply.Status != 201 {
		t.Fatalf("submission with an accepted dependency: got %+v, want status 201", reply)
	}
}
