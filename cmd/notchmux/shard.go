package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// shardCmd holds the operators' commands on shards. All of them can be retried safely.
type shardCmd struct {
	Peer string `default:"127.0.0.1:8081" env:"NOTCHMUX_PEER" help:"Peer address of any controller."`
	JSON bool   `help:"Print JSON."`

	List   shardListCmd   `cmd:"" help:"List the shares."`
	Show   shardShowCmd   `cmd:"" help:"Show one share."`
	Move   shardMoveCmd   `cmd:"" help:"Move a share to another controller."`
	Cancel shardCancelCmd `cmd:"" help:"Cancel a move that has not been carried out yet."`
}

type shardListCmd struct{}

type shardShowCmd struct {
	Name string `arg:"" help:"The share's name."`
}

type shardMoveCmd struct {
	Name string `arg:"" help:"The share's name."`
	To   string `arg:"" help:"The node name of the new owner."`
}

type shardCancelCmd struct {
	Name string `arg:"" help:"The share's name."`
}

// Run prints all shards.
func (*shardListCmd) Run(c *cli) error {
	return c.Share.send(shard.Command{Operation: shard.OperationList})
}

// Run prints one shard.
func (s *shardShowCmd) Run(c *cli) error {
	return c.Share.send(shard.Command{Operation: shard.OperationShow, Shard: s.Name})
}

// Run requests the move of a shard to another controller.
func (s *shardMoveCmd) Run(c *cli) error {
	return c.Share.send(shard.Command{Operation: shard.OperationMove, Shard: s.Name, Target: s.To})
}

// Run cancels a move that was requested.
func (s *shardCancelCmd) Run(c *cli) error {
	return c.Share.send(shard.Command{Operation: shard.OperationCancel, Shard: s.Name})
}

// commandTimeout is the time-out of a command.
const commandTimeout = 5 * micro.Second

// send sends a command to the controller at c.Peer and prints its reply. It returns an error if the command was
// refused.
func (c *shardCmd) send(command shard.Command) error {
	const node = "controller"
	client := peer.NewClient(map[string]string{node: c.Peer})
	status, body, err := client.Call(
		context.Background(), node, peer.ShardAdmin, wire.MustMarshal(command), commandTimeout,
	)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Peer, err)
	}
	var reply shard.DetailedReply
	if status != http.StatusOK || wire.Unmarshal(body, &reply) != nil {
		return fmt.Errorf("%s: no active leader (status %d): try again later", c.Peer, status)
	}
	if err := c.printDetailed(&reply, os.Stdout); err != nil {
		return err
	}
	if reply.RefusalReason != "" {
		return fmt.Errorf("refused: %s", reply.RefusalReason)
	}
	return nil
}

// print writes the shards of a reply as text or JSON.
func (c *shardCmd) print(reply *shard.CommandReply, out io.Writer) error {
	if c.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(reply.Shards)
	}
	var table bytes.Buffer
	for _, row := range reply.Shards {
		fmt.Fprintf(
			&table, "%s: %s, owner %s, selects %s\n", row.Name, row.Record.State, ownerName(row.Record.Owner.Node),
			row.Record.Selector,
		)
		fmt.Fprintf(
			&table, "  %d machines up, %d without tasks; %d jobs, %d tasks wait; %d moves, since %s\n", row.MachineCount,
			row.IdleMachines, row.AssignedJobs, row.PendingTasks, row.Record.OwnerChanges,
			time.UnixMicro(row.Record.ChangedAt).UTC().Format(time.RFC3339),
		)
		if row.Record.State == shard.Moving {
			fmt.Fprintf(&table, "  to %s\n", ownerName(row.Record.Target.Node))
		}
		if row.BlockedReason != "" {
			fmt.Fprintf(&table, "  %s\n", row.BlockedReason)
		}
	}
	_, _ = table.WriteTo(out)
	return nil
}

// ownerName returns the owner of a shard as printed: shards without an owner node belong to the leader.
func ownerName(node string) string {
	if node == "" {
		return "the leader"
	}
	return node
}

// printShardSettings prints a summary of the shard settings, if shards are enabled.
func printShardSettings(s *config.Shards) {
	if s == nil {
		return
	}
	fmt.Printf(
		"shares: %d declared, %d policies, at least %v s between moves by policies, "+
			"%d machines at most at a time, dissolve %v\n",
		len(s.Declared), len(s.Policies), s.MinMoveInterval.Seconds(), s.MaxMachinesMoving, s.Dissolve,
	)
	for _, d := range s.Declared {
		fmt.Printf("share %s: %s, teams %v, first owner %q\n", d.Name, d.Selector, d.Teams, d.Owner)
	}
	for _, p := range s.Policies {
		fmt.Printf("policy %s: %s to %s when %s\n", p.Name, p.Shard, p.Owner, p.When)
	}
}
