// Command notchmux is a cluster scheduler: it runs a controller, checks settings, and sends
// requests of users and operators to a running service.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/controller"
)

// version is the program's version. Release builds replace it.
var version = "0.1.0-dev"

type cli struct {
	Serve   serveCmd   `cmd:"" help:"Run a controller until it is interrupted or terminated."`
	Check   checkCmd   `cmd:"" help:"Check the settings and properties, and print a summary."`
	Job     jobCmd     `cmd:"" help:"Submit, show or cancel a job."`
	Share   shardCmd   `cmd:"" help:"List, show or move shares (sets of machines with an owner of their own)."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

type settings struct {
	Config     string `required:"" placeholder:"FILE" help:"Settings file of the platform (TOML)."`
	Properties string `placeholder:"FILE" env:"NOTCHMUX_PROPERTIES" help:"Properties file of the operators."`

	//nolint:lll // a struct tag cannot be split
	Feature []string `placeholder:"FILE" sep:"none" help:"Enable an optional feature by its settings file (shares.properties). May be repeated."`
}

func (s settings) load() (*config.Config, error) {
	cfg, err := config.Load(s.Config, s.Properties)
	if err != nil {
		return nil, err
	}
	cfg.Features, err = config.LoadFeatures(s.Feature, cfg.Node, cfg.Peers)
	return cfg, err
}

type serveCmd struct {
	settings
}

// Run runs the controller until it is interrupted or terminated.
func (c *serveCmd) Run(stderr io.Writer) error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	level, err := logLevel(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: level}))
	applyQuota(cfg)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return controller.New(cfg, log).Run(ctx)
}

// applyQuota sets the runtime's limits from the quota: GOMAXPROCS to the rounded core share, at
// least 1, and the memory limit to 60 % of the memory. Values set in the environment take precedence.
func applyQuota(cfg *config.Config) {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(max(1, int(cfg.Facts.Quota.CoreShare+0.5)))
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(cfg.Facts.Quota.RAMMB*0.6) << 20)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(400) // CPU time is scarcer than memory
	}
}

// logLevel parses the value of LOG_LEVEL; the default is info.
func logLevel(s string) (slog.Level, error) {
	switch s {
	case "error":
		return slog.LevelError, nil
	case "", "info":
		return slog.LevelInfo, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, fmt.Errorf("environment: key %q: %q is not error, info or debug", "LOG_LEVEL", s)
}

type checkCmd struct {
	settings
}

// Run checks the settings and prints a summary, warnings and all known properties.
func (c *checkCmd) Run(_ io.Writer) error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	fmt.Printf(
		"node %s in %s: %d peers, %d teams, %d objectives\n", cfg.Node, cfg.Zone, len(cfg.Peers), len(cfg.Facts.Teams),
		len(cfg.Facts.Objectives),
	)
	printShardSettings(cfg.Shards)
	printPlacementWarnings(cfg)
	config.Describe(func(key string, defaultValue, minimum, maximum float64, help string) {
		fmt.Printf("%-22s default %g, %g to %g: %s\n", key, defaultValue, minimum, maximum, help)
	})
	return nil
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run(_ io.Writer) error { //nolint:unparam // every command has this signature
	fmt.Println("notchmux", version, runtime.Version())
	return nil
}

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("notchmux"), kong.Description("A cluster scheduler."), kong.UsageOnError(),
		kong.BindTo(os.Stderr, (*io.Writer)(nil)))
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	ctx.Bind(&c)
	if err := ctx.Run(); err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintf(os.Stderr, "notchmux: %v\n", err)
		os.Exit(1)
	}
}
