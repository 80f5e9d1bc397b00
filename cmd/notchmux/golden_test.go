package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/valyala/fasthttp"

	"notchmux.dev/notchmux/internal/shard"
)

// sampleReply returns a controller's reply with one shard in which every printed field is set.
func sampleReply() *shard.CommandReply {
	return &shard.CommandReply{Shards: []shard.Status{
		{
			Name:             "gpus",
			Version:          303,
			MachineCount:     41,
			IdleMachines:     5,
			PendingTasks:     12,
			AssignedJobs:     9,
			OwnerSessionLost: true,
			LastUpdateAgeS:   3,
			BlockedReason:    "held up",
			Record: shard.Record{
				State:  shard.Moving,
				Owner:  shard.Controller{Node: "n-1", SessionVersion: 301},
				Target: shard.Controller{Node: "n-2", SessionVersion: 302},
				Selector: shard.Selector{
					Type: "gpu",
					Zone: "east",
					Kind: shard.SpotOnly,
				},
				Teams:        []string{"vision"},
				OwnerChanges: 7,
				ChangedAt:    1700000000000000,
			},
		},
	}}
}

// Operators' scripts parse this output.
func TestShardOutputFormatIsUnchanged(t *testing.T) {
	for _, c := range []struct {
		name string
		json bool
		want string
	}{
		{"text", false, `gpus: moving, owner n-1, selects type gpu, zone east, spot
  41 machines up, 5 without tasks; 9 jobs, 12 tasks wait; 7 moves, since 2023-11-14T22:13:20Z
  to n-2
  held up
`},
		{"JSON", true, `[
  {
    "name": "gpus",
    "record": {
      "state": "moving",
      "owner": {
        "node": "n-1",
        "session": 301
      },
      "target": {
        "node": "n-2",
        "session": 302
      },
      "select": {
        "type": "gpu",
        "zone": "east",
        "kind": "spot"
      },
      "teams": [
        "vision"
      ],
      "moves": 7,
      "at": 1700000000000000
    },
    "version": 303,
    "machines": 41,
    "empty": 5,
    "waiting": 12,
    "jobs": 9,
    "ownerGone": true,
    "heardAgoS": 3,
    "note": "held up"
  }
]
`},
	} {
		var out bytes.Buffer
		if err := (&shardCmd{JSON: c.json}).print(sampleReply(), &out); err != nil || out.String() != c.want {
			t.Errorf("%s: printed\n%s\nwant\n%s\n%v", c.name, out.String(), c.want, err)
		}
	}
}

func TestJobOutputFormatIsUnchanged(t *testing.T) {
	ln, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		_ = fasthttp.Serve(ln, func(c *fasthttp.RequestCtx) {
			if string(c.Method())+" "+string(c.Path()) != "GET /work/j-1" {
				c.SetStatusCode(404)
				return
			}
			c.SetBodyString("\x85\xa6nameId\xa3j-1\xa6status\xa7running\xa4done\x03\xa7running\x02\xa6awaits\x91\xa3j-0")
		})
	}()
	got := captureStdout(t, func() error { return (&statusCmd{ID: "j-1"}).Run(nil, &jobCmd{Addr: ln.Addr().String()}) })
	if want := `{"nameId":"j-1","status":"running","done":3,"running":2,"awaits":["j-0"]}` + "\n"; got != want {
		t.Errorf("printed %s, want %s", got, want)
	}
}

// captureStdout returns what f prints to standard output.
func captureStdout(t *testing.T, f func() error) string {
	t.Helper()
	in, out, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	original := os.Stdout
	os.Stdout = out
	err = f()
	os.Stdout = original
	_ = out.Close()
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(in)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Flags and commands are derived from field names, so renaming a field without an explicit name would rename a flag
// or command.
func TestCommandsAndFlagsKeepTheirNames(t *testing.T) {
	for _, name := range []string{"NOTCHMUX_ADDR", "NOTCHMUX_PEER", "NOTCHMUX_PROPERTIES"} {
		t.Setenv(name, "")
		if err := os.Unsetenv(name); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name string
		args []string
		set  map[string]string // environment variables
		want string            // the command and the values of its flags and arguments
	}{
		{
			"serve",
			[]string{"serve", "--config", "a", "--properties", "b", "--feature", "c", "--feature", "d"},
			nil, "serve {a b [c d]}",
		},
		{
			"serve, properties from the environment",
			[]string{"serve", "--config", "a"},
			map[string]string{"NOTCHMUX_PROPERTIES": "e"},
			"serve {a e []}",
		},
		{"check", []string{"check", "--config", "a", "--properties", "b", "--feature", "c"}, nil, "check {a b [c]}"},
		{"version", []string{"version"}, nil, "version"},
		{"submit", []string{"job", "--addr", "h:1", "submit", "f.json"}, nil, "job submit <file> h:1 f.json"},
		{"show, default address", []string{"job", "show", "j-1"}, nil, "job show <id> 127.0.0.1:8080 j-1"},
		{
			"show, address from the environment",
			[]string{"job", "show", "j-1"},
			map[string]string{"NOTCHMUX_ADDR": "h:3"},
			"job show <id> h:3 j-1",
		},
		{"withdraw", []string{"job", "--addr", "h:1", "withdraw", "j-2"}, nil, "job withdraw <id> h:1 j-2"},
		{"list, default peer", []string{"share", "list"}, nil, "share list 127.0.0.1:8081 false"},
		{
			"list, peer from the environment",
			[]string{"share", "list"},
			map[string]string{"NOTCHMUX_PEER": "h:4"},
			"share list h:4 false",
		},
		{
			"show of a share",
			[]string{"share", "--peer", "h:2", "--json", "show", "gpus"},
			nil,
			"share show <name> h:2 true gpus",
		},
		{"move", []string{"share", "move", "gpus", "n-2", "--peer", "h:2"}, nil, "share move <name> <to> h:2 false gpus n-2"},
		{"cancel", []string{"share", "cancel", "gpus", "--json"}, nil, "share cancel <name> 127.0.0.1:8081 true gpus"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for name, value := range c.set {
				t.Setenv(name, value)
			}
			if got := parseCommand(t, c.args); got != c.want {
				t.Errorf("parsed as %s, want %s", got, c.want)
			}
		})
	}
}

// parseCommand parses command line arguments and returns the command with the values of its flags and arguments.
func parseCommand(t *testing.T, args []string) string {
	t.Helper()
	var c cli
	parser, err := kong.New(&c, kong.Name("notchmux"))
	if err != nil {
		t.Fatal(err)
	}
	result, err := parser.Parse(args)
	if err != nil {
		t.Fatal(err)
	}
	command := result.Command()
	values := map[string]string{
		"serve": fmt.Sprint(c.Serve.settings), "check": fmt.Sprint(c.Check.settings),
		"job submit <file>": c.Job.Addr + " " + c.Job.Submit.File, "job show <id>": c.Job.Addr + " " + c.Job.Show.ID,
		"job withdraw <id>":      c.Job.Addr + " " + c.Job.Withdraw.ID,
		"share list":             fmt.Sprint(c.Share.Peer, " ", c.Share.JSON),
		"share show <name>":      fmt.Sprint(c.Share.Peer, " ", c.Share.JSON, " ", c.Share.Show.Name),
		"share move <name> <to>": fmt.Sprint(c.Share.Peer, " ", c.Share.JSON, " ", c.Share.Move.Name, " ", c.Share.Move.To),
		"share cancel <name>":    fmt.Sprint(c.Share.Peer, " ", c.Share.JSON, " ", c.Share.Cancel.Name),
	}[command]
	if values == "" {
		return command
	}
	return command + " " + values
}
