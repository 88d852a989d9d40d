package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"github.com/phuslu/log"

	"github.com/hawthornrock/hawthornrock/entry"
	"github.com/hawthornrock/hawthornrock/state/settings"
	"github.com/hawthornrock/hawthornrock/transport/spans"
)

// A serveCommand runs one entry daemon.
type serveCommand struct {
	streams
	file string
}

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run one entry daemon" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string {
	return "serve -settings FILE\n\nRuns one entry daemon until SIGINT or SIGTERM, then stops gracefully.\n\n" +
		"Example:\n  hawthornrock serve -settings examples/utility/entry-1.yaml\n\n"
}

// SetFlags implements subcommands.Command.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "settings file of the daemon")
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var (
		s        settings.Settings
		logger   *log.Logger
		recorder *spans.Recorder
		daemon   *entry.Daemon
		err      error
	)
	if s, err = settings.Read(c.file); err != nil {
		return c.fail(exitUsage, err)
	}
	if logger, err = newLogger(s.Log, c.err); err != nil {
		return c.fail(exitFailure, err)
	}
	if recorder, err = spans.New(ctx, s.Trace, s.Daemon); err != nil {
		return c.fail(exitFailure, err)
	}
	defer recorder.Close()
	if daemon, err = entry.New(s, logger, recorder.Tracer()); err != nil {
		return c.fail(exitUsage, err)
	}
	if err = daemon.Run(ctx); err != nil {
		return c.fail(exitFailure, err)
	}
	return exitOK
}
