package main

import (
	"context"
	"errors"
	"flag"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/phuslu/log"

	"github.com/hawthornrock/hawthornrock/gateway"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/policy"
	"github.com/hawthornrock/hawthornrock/state/settings"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/lines"
	"github.com/hawthornrock/hawthornrock/transport/spans"
)

// memoryLimitFraction is the fraction of the process's memory that the heap may reach before the
// garbage collector runs more often; the rest is for stacks and sockets.
const memoryLimitFraction = 0.6

// A gatewayCommand runs one daemon on the users' platform.
type gatewayCommand struct {
	streams
	file   string
	policy string
	trace  string
}

// Name implements subcommands.Command.
func (*gatewayCommand) Name() string { return "gateway" }

// Synopsis implements subcommands.Command.
func (*gatewayCommand) Synopsis() string { return "run one daemon on the users' platform" }

// Usage implements subcommands.Command.
func (*gatewayCommand) Usage() string {
	return "gateway [-settings FILE] [-policy FILE] [-trace FILE]\n\nRuns one daemon on the users' platform until SIGINT or SIGTERM, then stops gracefully.\n" +
		"FILE is the platform's settings file; " + platform.SettingsVariable + " names it by default.\n\n"
}

// SetFlags implements subcommands.Command.
func (c *gatewayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", os.Getenv(platform.SettingsVariable), "the platform's settings file")
	f.StringVar(&c.policy, "policy", "", "the operators' policy for the deployment; all of it is off without one")
	f.StringVar(&c.trace, "trace", "", "file that traces are written to")
}

// Execute implements subcommands.Command.
func (c *gatewayCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var (
		s        site.Settings
		recorder *spans.Recorder
		err      error
	)
	if s, err = c.readSettings(); err != nil {
		return c.fail(exitUsage, err)
	}
	if recorder, err = spans.New(ctx, settings.Trace{File: c.trace, Ratio: 1}, s.Daemon); err != nil {
		return c.fail(exitFailure, err)
	}
	defer recorder.Close()
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Limits.MemoryMB) * (1 << 20)))
	out := &lines.Writer{Out: c.out}
	logger := &log.Logger{Level: log.InfoLevel, TimeFormat: time.RFC3339Nano, Writer: &log.IOWriter{Writer: out}}
	// The log writer and the reload loop run until the gateway has stopped, which is after ctx ends.
	auxCtx, cancelAux := context.WithCancel(context.WithoutCancel(ctx))
	writerDone := make(chan error, 1)
	go func() { writerDone <- out.Run(auxCtx) }()
	g := gateway.New(s, logger, recorder.Tracer())
	g.DroppedLines = out.Dropped.Load
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	reloadDone := make(chan struct{})
	go func() {
		defer close(reloadDone)
		c.reload(auxCtx, g, logger, hangups)
	}()
	err = g.Run(ctx)
	cancelAux()
	<-reloadDone
	if err = errors.Join(err, <-writerDone); err != nil {
		return c.fail(exitFailure, err)
	}
	return exitOK
}

// readSettings reads the platform's settings and the policy.
func (c *gatewayCommand) readSettings() (site.Settings, error) {
	var (
		s   site.Settings
		err error
	)
	if s, err = platform.ReadSettings(c.file); err != nil {
		return s, err
	}
	s.Policy, err = policy.Read(c.policy)
	return s, err
}

// reload reloads the settings on each SIGHUP until ctx ends. If they cannot be read or are
// invalid, the previous settings stay in force.
func (c *gatewayCommand) reload(ctx context.Context, g *gateway.Gateway, logger *log.Logger, hangups <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		var (
			s   site.Settings
			err error
		)
		if s, err = c.readSettings(); err != nil {
			logger.Error().Str("event", "reload_failed").Err(err).Msg("settings not reloaded; the previous settings stay in force")
			continue
		}
		g.Reload(s)
	}
}
