package wire_test

import (
	"slices"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/golden"
	"notchmux.dev/notchmux/wire"
)

func pointer[T any](value T) *T { return &value }

// message is a value with its expected encoding in hexadecimal.
type message struct {
	name  string
	value any
	bytes string
}

// The protocol fixes the encoding of all messages between the controllers and the store, the cloud, agents and users.
func TestMessageEncodingsAreUnchanged(t *testing.T) {
	for _, c := range slices.Concat(jobAndAgentMessages(), storeMessages(), cloudMessages()) {
		if err := golden.Binary(c.value, c.bytes); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// jobAndAgentMessages returns the messages of users and agents.
func jobAndAgentMessages() []message {
	return []message{
		{"job", job(), "de0017a66e616d654964a86a2d303030343132a86a6f62636c617373a5747261696ea66f7574666974a6766973696f6ea5" +
			"7368617065a8656e73656d626c65a472616e6ba6757267656e74a6706965636573ccc8a57663707573cb3fd0000000000000a467707573cb" +
			"4000000000000000a572616d4762cb400c000000000000a662756e646c65a6696d672d3037a670756c6c4762cb3ff8000000000000a47269" +
			"677392a5736d616c6ca56c61726765a479617264a465617374a76f6e655a6f6e65c3a773636174746572c3a76c6f616e657273c3a6677565" +
			"737353cb406e000000000000a9626f6f6b6d61726b53cb403e000000000000a6737461736853cb4010000000000000a464756553cb408c20" +
			"0000000000a661776169747392a36a2d31a36a2d32a8617761697473496e06a26174cf00060a24181e4000"},
		{"status", status(), "85a66e616d654964a86a2d303030343132a6737461747573a772756e6e696e67a4646f6e6503a772756e6e696e67" +
			"02a661776169747391a36a2d31"},
		{"task status", taskStatus(), "85a57069656365ac6a2d3030303431322f313330a374727902a6737461747573a5656e646564a563617" +
			"57365a56572726f72a57361766564c3"},
		{"heartbeat", wire.Heartbeat{
			Machine: "i-000231", Addr: "10.0.0.7:9000", Type: "small", Zone: "east", Spot: true, AgentEpoch: 3, Sequence: 300,
			FencingToken: 1 << 40, PreemptionNoticeS: pointer(29.5), Tasks: []wire.TaskStatus{taskStatus()},
		}, "8aa4686f7374a8692d303030323331a761646472657373ad31302e302e302e373a39303030a3726967a5736d616c6ca479617264a46561" +
			"7374a76c6f616e657273c3a5736869667403a574616c6c79cd012ca56261746f6ecf0000010000000000a7726563616c6c53cb403d800000" +
			"000000a67069656365739185a57069656365ac6a2d3030303431322f313330a374727902a6737461747573a5656e646564a56361757365a5" +
			"6572726f72a57361766564c3"},
		{"commands", wire.Commands{FencingToken: 1 << 41, AgentEpoch: 4, Items: []wire.Command{{
			Kind: wire.CommandStop,
			Task: "j-000412/130", Attempt: 2, GracePeriodS: pointer(4.5),
		}}}, "83a56261746f6ecf0000020000000000a5736869667404a" +
			"66f72646572739184a476657262a468616c74a57069656365ac6a2d3030303431322f313330a374727902a76c656577617953cb401200000" +
			"0000000"},
		{"not leader", wire.NotLeader{LeaderHint: "10.0.0.1:8080"}, "81a7666f72656d616ead31302e302e302e313a38303830"},
	}
}

// storeMessages returns the messages of the store.
func storeMessages() []message {
	return []message{
		{"precondition", wire.Precondition{Key: "run/j-1/0", Version: 77}, "82a36b6579a972756e2f6a2d312f30a57374616d704d"},
		{
			"change",
			wire.Change{Put: "run/j-1/0", Value: "value", Lease: 70000, Delete: "run/j-1/1"},
			"84a3707574a972756e2f6a2d312f30a176a576616c7565a674656e757265ce00011170a664656c657465a972756e2f6a2d312f31",
		},
		{"transaction", wire.Transaction{If: []wire.Precondition{{Key: "leader", Version: 78}}, Then: []wire.Change{{
			Put:   "a",
			Value: "b", Lease: 5, Delete: "c",
		}}}, "82a66775617264739182a36b6579a66c6561646572a57374616d704ea47468656e9184a370" +
			"7574a161a176a162a674656e75726505a664656c657465a163"},
		{
			"transaction result",
			wire.TransactionResult{
				Revision: 79, Failed: []string{"leader", "hire/r-1"},
				Error: "no such lease",
			},
			"83a565706f63684fa66661696c656492a66c6561646572a8686972652f722d31a56572726f72ad6e6f2073756368206c65617365",
		},
		{"item", item(), "84a36b6579a8686972652f722d31a176a176a57374616d7053a674656e75726554"},
		{
			"page",
			wire.Page{Items: []wire.Item{item()}, More: true, Revision: 80},
			"83a4726f77739184a36b6579a8686972652f722d31a176a176a57374616d7053a674656e75726554a46d6f7265c3a565706f636850",
		},
		{"lease request", wire.LeaseRequest{TTLMs: 10000}, "81a66c6966654d73cd2710"},
		{"lease reply", wire.LeaseReply{Lease: 81}, "81a674656e75726551"},
		{
			"event", event(),
			"84a3707574ac6a6f622f6a2d312f73706563a664656c657465ac6a6f622f6a2d322f73706563a176a177a57374616d7055",
		},
		{"events", wire.Events{Revision: 82, Events: []wire.Event{event()}}, "82a565706f636852a66576656e74739184a3707574ac" +
			"6a6f622f6a2d312f73706563a664656c657465ac6a6f622f6a2d322f73706563a176a177a57374616d7055"},
	}
}

// cloudMessages returns the messages of the cloud.
func cloudMessages() []message {
	return []message{
		{"catalog", wire.Catalog{Types: []wire.MachineType{{
			Name: "small", CPUs: 4, GPUs: 1, MemoryGB: 16, CacheGB: 40, FetchGBPerS: 0.5,
			Price: 2.25, SpotPrice: 0.75, BootS: 45, Zones: []string{"east", "west"},
		}}}, "81a472696773918aa56c6162656ca5736d616c6ca57663707573cb4010000000000000a467707573cb3ff0000000000000a572616d47" +
			"62cb4030000000000000a763616368654762cb4044000000000000ab6665746368476250657253cb3fe0000000000000a57072696365cb40" +
			"02000000000000a973706f745072696365cb3fe8000000000000a87374617274757053cb4046800000000000a5796172647392a465617374" +
			"a477657374"},
		{
			"instance request",
			wire.InstanceRequest{RequestID: "r-7-1", Type: "small", Zone: "east", Spot: true, Count: 2},
			"85a468697265a5722d372d31a3726967a5736d616c6ca479617264a465617374a76c6f616e657273c3a5636f756e7402",
		},
		{"machine names", wire.MachineNames{Machines: []string{"i-1", "i-2"}}, "81a5686f73747392a3692d31a3692d32"},
		{"machine list", wire.MachineList{Machines: []wire.ListedMachine{{
			Name: "i-1", Addr: "10.0.0.7:9000", Type: "small", Zone: "east",
			Spot: true, State: wire.MachineBooting, AgeS: 12.5,
		}}, More: true}, "82a5686f7374739187a66e616d654964a3692d31a761646472657373ad31302e302e302e373a39303030a3726967a573" +
			"6d616c6ca479617264a465617374a76c6f616e657273c3a6737461747573a7626f6f74696e67a568656c6453cb4029000000000000a46d6f" +
			"7265c3"},
	}
}

// The command line prints job statuses as JSON, and size limits of the store apply to the JSON of jobs and instance
// requests.
func TestJSONEncodingsAreUnchanged(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
		text  string
	}{
		{"job", job(), `{"nameId":"j-000412","jobclass":"train","outfit":"vision","shape":"ensemble","rank":"urgent",` +
			`"pieces":200,"vcpus":0.25,"gpus":2,"ramGb":3.5,"bundle":"img-07","pullGb":1.5,"rigs":["small","large"],` +
			`"yard":"east","oneZone":true,"scatter":true,"loaners":true,"guessS":240,"bookmarkS":30,"stashS":4,"dueS":900,` +
			`"awaits":["j-1","j-2"],"awaitsIn":6,"at":1700000000000000}`},
		{"status", status(), `{"nameId":"j-000412","status":"running","done":3,"running":2,"awaits":["j-1"]}`},
		{
			"instance request",
			wire.InstanceRequest{RequestID: "r-7-1", Type: "small", Zone: "east", Spot: true, Count: 2},
			`{"hire":"r-7-1","rig":"small","yard":"east","loaners":true,"count":2}`,
		},
	} {
		if err := golden.JSON(c.value, c.text); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

func TestProtocolValuesAreUnchanged(t *testing.T) {
	for _, c := range []struct {
		name string
		got  []string
		want string
	}{
		{"job kinds", []string{string(wire.JobArray), string(wire.Gang), string(wire.Service)}, "batch ensemble daemon"},
		{
			"priorities",
			[]string{string(wire.Production), string(wire.High), string(wire.Normal), string(wire.Low)},
			"prod urgent standard idle",
		},
		{"job states", []string{
			string(wire.JobPending), string(wire.JobRunning), string(wire.JobDone),
			string(wire.JobAborted),
		}, "pending running done aborted"},
		{
			"task states",
			[]string{
				string(wire.TaskFetching), string(wire.TaskWaitingForGang), string(wire.TaskRunning),
				string(wire.TaskCheckpointing), string(wire.TaskExited),
			},
			"pulling gathering running flushing ended",
		},
		{"exit causes", []string{
			string(wire.CauseDone), string(wire.CauseStopped), string(wire.CauseGangPeerLost), string(wire.CauseGangTimeout),
			string(wire.CauseError),
			string(wire.CauseNoResources), string(wire.CauseAlreadyRunning), string(wire.CauseJobUnknown),
		}, "done stopped peers alone error full in_use no_such"},
		{
			"command kinds",
			[]string{string(wire.CommandStart), string(wire.CommandStop), string(wire.CommandForget)},
			"start halt forget",
		},
		{
			"machine states",
			[]string{string(wire.MachineBooting), string(wire.MachineRunning), string(wire.MachineFailed)},
			"booting running failed",
		},
		{"task name", []string{wire.TaskName("j-7", 130)}, "j-7/130"},
	} {
		if got := strings.Join(c.got, " "); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

func job() wire.Job {
	return wire.Job{
		ID:                  "j-000412",
		Class:               "train",
		Team:                "vision",
		Kind:                wire.Gang,
		Priority:            wire.High,
		Tasks:               200,
		CPUs:                0.25,
		GPUs:                2,
		MemoryGB:            3.5,
		Image:               "img-07",
		ImageGB:             1.5,
		Types:               []string{"small", "large"},
		Zone:                pointer("east"),
		OneZone:             true,
		Spread:              true,
		Spot:                true,
		EstimateS:           240,
		CheckpointIntervalS: 30,
		CheckpointDurationS: 4,
		DeadlineS:           pointer(900.0),
		Dependencies:        []string{"j-1", "j-2"},
		DependencyChunks:    6,
		SubmittedAt:         1700000000000000,
	}
}

func status() wire.JobStatus {
	return wire.JobStatus{ID: "j-000412", State: wire.JobRunning, Done: 3, Running: 2, Dependencies: []string{"j-1"}}
}

func taskStatus() wire.TaskStatus {
	return wire.TaskStatus{
		Task:         "j-000412/130",
		Attempt:      2,
		State:        wire.TaskExited,
		Cause:        wire.CauseError,
		Checkpointed: true,
	}
}

func item() wire.Item {
	return wire.Item{Key: "hire/r-1", Value: []byte{0xa1, 'v'}, Version: 83, Lease: 84}
}

func event() wire.Event {
	return wire.Event{Put: "job/j-1/spec", Delete: "job/j-2/spec", Value: []byte{0xa1, 'w'}, Version: 85}
}
