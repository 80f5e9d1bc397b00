package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/wire"
)

// shareCmd are the operators' commands on shares. Each may be repeated.
type shareCmd struct {
	Peer string `default:"127.0.0.1:8081" env:"NOTCHMUX_PEER" help:"Peer address of any controller."`
	JSON bool   `help:"Print JSON."`

	List   shareListCmd   `cmd:"" help:"List the shares."`
	Show   shareShowCmd   `cmd:"" help:"Show one share."`
	Move   shareMoveCmd   `cmd:"" help:"Move a share to another controller."`
	Cancel shareCancelCmd `cmd:"" help:"Cancel a move that is not carried out yet."`
}

type shareListCmd struct{}

type shareShowCmd struct {
	Name string `arg:"" help:"The share's name."`
}

type shareMoveCmd struct {
	Name string `arg:"" help:"The share's name."`
	To   string `arg:"" help:"The controller that is to own it."`
}

type shareCancelCmd struct {
	Name string `arg:"" help:"The share's name."`
}

// Run lists the shares.
func (*shareListCmd) Run(c *cli) error {
	return c.Share.give(share.Command{Operation: share.OperationList})
}

// Run shows one share.
func (s *shareShowCmd) Run(c *cli) error {
	return c.Share.give(share.Command{Operation: share.OperationShow, Shard: s.Name})
}

// Run moves a share.
func (s *shareMoveCmd) Run(c *cli) error {
	return c.Share.give(share.Command{Operation: share.OperationMove, Shard: s.Name, Target: s.To})
}

// Run cancels a move.
func (s *shareCancelCmd) Run(c *cli) error {
	return c.Share.give(share.Command{Operation: share.OperationCancel, Shard: s.Name})
}

// shareWait is how long a controller may take over a command.
const shareWait = 5 * micro.Second

// give gives a command to a controller and prints what came of it.
func (c *shareCmd) give(command share.Command) error {
	const node = "controller"
	client := peer.NewClient(map[string]string{node: c.Peer})
	status, body, err := client.Call(context.Background(), node, peer.Admin, wire.MustMarshal(command), shareWait)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Peer, err)
	}
	var reply share.CommandReply
	if status != 200 || wire.Unmarshal(body, &reply) != nil {
		return fmt.Errorf("%s: no leader acts now (status %d): try again", c.Peer, status)
	}
	if err := c.print(&reply, os.Stdout); err != nil {
		return err
	}
	if reply.RefusalReason != "" {
		return fmt.Errorf("refused: %s", reply.RefusalReason)
	}
	return nil
}

func (c *shareCmd) print(reply *share.CommandReply, out io.Writer) error {
	if c.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(reply.Shards)
	}
	for _, s := range reply.Shards {
		fmt.Fprintf(out, "%s: %s, owner %s, selects %s\n", s.Name, s.Record.State, orLeader(s.Record.Owner.Node), s.Record.Selector)
		fmt.Fprintf(out, "  %d machines up, %d without tasks; %d jobs, %d tasks wait; %d moves, since %s\n", s.MachineCount, s.IdleMachines, s.AssignedJobs, s.PendingTasks,
			s.Record.OwnerChanges, time.UnixMicro(s.Record.ChangedAt).UTC().Format(time.RFC3339))
		if s.Record.State == share.Moving {
			fmt.Fprintf(out, "  to %s\n", orLeader(s.Record.Target.Node))
		}
		if s.BlockedReason != "" {
			fmt.Fprintf(out, "  %s\n", s.BlockedReason)
		}
	}
	return nil
}

func orLeader(node string) string {
	if node == "" {
		return "the leader"
	}
	return node
}

// describeShares says what the settings of shares amount to.
func describeShares(s *config.Shares) {
	if s == nil {
		return
	}
	fmt.Printf("shares: %d declared, %d policies, at least %v s between moves by policies, %d machines at most at a time, dissolve %v\n",
		len(s.Declared), len(s.Policies), s.LeastTime.Seconds(), s.MostMoved, s.Dissolve)
	for _, d := range s.Declared {
		fmt.Printf("share %s: %s, teams %v, first owner %q\n", d.Name, d.Selector, d.Teams, d.Owner)
	}
	for _, p := range s.Policies {
		fmt.Printf("policy %s: %s to %s when %s\n", p.Name, p.Share, p.Owner, p.When)
	}
}
