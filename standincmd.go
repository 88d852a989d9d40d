package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/hawthornrock/hawthornrock/standin"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/transport/rest"
)

// A standinCommand runs one stand-in as a separate process.
type standinCommand struct {
	streams
	listen   string
	platform string
	retain   int
	instance fleet.Instance
	engine   standin.EngineSettings
	delay    time.Duration
}

// Name implements subcommands.Command.
func (*standinCommand) Name() string { return "standin" }

// Synopsis implements subcommands.Command.
func (*standinCommand) Synopsis() string { return "run a stand-in for the log, an engine or a service" }

// Usage implements subcommands.Command.
func (*standinCommand) Usage() string {
	return "standin log|engine|service [flags]\n\n" +
		"Example:\n  hawthornrock standin engine -listen 127.0.0.1:9001 -platform 127.0.0.1:9000 -name bayangol-a-1 -failure_domain bayangol -fabric_domain bayangol-a\n\n"
}

// SetFlags implements subcommands.Command.
func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	c.engine = standin.DefaultEngineSettings()
	f.StringVar(&c.listen, "listen", "127.0.0.1:9000", "address to listen on")
	f.StringVar(&c.platform, "platform", "127.0.0.1:9000", "address of the platform to register with")
	f.IntVar(&c.retain, "retain", 0, "log: records kept per stream; 0 keeps all")
	f.StringVar(&c.instance.Name, "name", "", "engine, service: name of the instance")
	f.StringVar(&c.instance.Backend, "backend", "standin", "engine, service: name of the back end in the settings")
	f.StringVar(&c.instance.FailureDomain, "failure_domain", "", "engine, service: failure domain")
	f.StringVar(&c.instance.FabricDomain, "fabric_domain", "", "engine: fabric domain")
	f.StringVar(&c.instance.Deployment, "deployment", "", "service: deployment that it serves")
	f.DurationVar(&c.engine.Load, "load", c.engine.Load, "engine: time to load weights")
	f.DurationVar(&c.engine.FirstToken, "first_token", c.engine.FirstToken, "engine: time to the first token when warm")
	f.DurationVar(&c.engine.TokenInterval, "token_interval", c.engine.TokenInterval, "engine: time between tokens when warm")
	f.IntVar(&c.engine.ColdFactor, "cold_factor", c.engine.ColdFactor, "engine: slowdown factor when cold")
	f.IntVar(&c.engine.WarmAfter, "warm_after", c.engine.WarmAfter, "engine: answers until it is warm")
	f.IntVar(&c.engine.Slots, "slots", c.engine.Slots, "engine: concurrent requests when warm")
	f.IntVar(&c.engine.ColdLimit, "cold_limit", c.engine.ColdLimit, "engine: concurrent requests when cold; it crashes above this limit")
	f.BoolVar(&c.engine.ChecksFencing, "checks_fencing", c.engine.ChecksFencing, "engine: refuse orders with an old fencing number")
	f.DurationVar(&c.delay, "delay", 0, "service: duration of a call")
}

// Execute implements subcommands.Command.
func (c *standinCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var (
		args    []string
		handler http.Handler
		err     error
	)
	if args, err = positionalArgs(f); err != nil {
		return exitUsage
	}
	switch c.instance.Address = c.listen; strings.Join(args, " ") {
	case "log":
		handler = standin.NewLog(c.retain).Handler()
	case "engine":
		c.instance.Kind = fleet.KindEngine
		engine := standin.NewEngine(c.instance, c.engine)
		handler = engine.Handler()
		done := make(chan error, 1)
		go func() { done <- engine.Watch(ctx) }()
		defer func() {
			if err := <-done; err != nil {
				c.fail(exitFailure, err)
			}
		}()
	case "service":
		c.instance.Kind = fleet.KindService
		handler = (&standin.Service{Instance: c.instance, Ledger: &standin.Ledger{}, Delay: c.delay}).Handler()
	default:
		return c.fail(exitUsage, errors.New("log, engine or service is expected"))
	}
	if err = c.serve(ctx, handler); err != nil {
		return c.fail(exitFailure, err)
	}
	return exitOK
}

// serve serves handler until ctx ends. An instance is first registered with the platform.
func (c *standinCommand) serve(ctx context.Context, handler http.Handler) error {
	srv := &http.Server{Addr: c.listen, Handler: handler, ReadHeaderTimeout: time.Second}
	done := make(chan error, 1)
	go func() { done <- srv.ListenAndServe() }()
	if c.instance.Kind != "" {
		client := &http.Client{Timeout: time.Second}
		url := "http://" + c.platform + "/v1/instances/" + c.instance.Name
		if err := rest.Call(ctx, client, http.MethodPut, url, c.instance, nil); err != nil {
			return fmt.Errorf("register instance with the platform: %w", err)
		}
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	if err := srv.Close(); err != nil {
		return err
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
