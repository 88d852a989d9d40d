package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/hawthornrock/hawthornrock/platform/soak"
)

// A soakCommand runs gateway processes under fault injection.
type soakCommand struct {
	streams
	plan  soak.Plan
	seeds int
	log   string
	other string
}

// Name implements subcommands.Command.
func (*soakCommand) Name() string { return "soak" }

// Synopsis implements subcommands.Command.
func (*soakCommand) Synopsis() string { return "run gateway daemons under fault injection" }

// Usage implements subcommands.Command.
func (*soakCommand) Usage() string {
	return "soak [-seed N] [-seeds N] [-for D] [flags]\n\nRuns gateway processes on stand-ins, injects faults and checks the results at callers and workers.\n\n" +
		"Example:\n  hawthornrock soak -seed 7 -seeds 3 -for 10s\n  hawthornrock soak -for 10s -other 6988018\n\n"
}

// SetFlags implements subcommands.Command.
func (c *soakCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.plan.Seed, "seed", 1, "first seed")
	f.IntVar(&c.seeds, "seeds", 1, "number of seeds to run, one after the other")
	f.DurationVar(&c.plan.Duration, "for", 10*time.Second, "how long faults are injected, and beside a rollout until its end; 0 for none")
	f.IntVar(&c.plan.Daemons, "daemons", 4, "gateway processes")
	f.IntVar(&c.plan.Workers, "workers", 8, "workers that run models")
	f.IntVar(&c.plan.Callers, "callers", 12, "callers")
	f.StringVar(&c.other, "other", "", "commit of another build: a rollout replaces the daemons by it, one after the other, and goes back")
	f.BoolVar(&c.plan.Rollout.FromOther, "from-other", false, "begin the rollout on the other build")
	f.DurationVar(&c.plan.Rollout.Pause, "pause", time.Second, "how long the rollout stops half-way, there and back")
	f.BoolVar(&c.plan.Drills, "drills", false, "let the store come back from copies")
	f.BoolVar(&c.plan.Outages, "outages", false, "let the store be away at the same times, without copies")
	f.BoolVar(&c.plan.Changes, "changes", false, "add routes and take them away, and check what daemons serve")
	f.BoolVar(&c.plan.Departures, "departures", false, "end daemons for a while, others as well, and check whom the directory names; with -no-faults")
	f.BoolVar(&c.plan.NoFaults, "no-faults", false, "inject no other faults")
	f.StringVar(&c.plan.Program, "program", "", "executable of the daemons; this one if empty")
	f.StringVar(&c.log, "log", "", "file for the daemons' output")
}

// Execute implements subcommands.Command.
func (c *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var err error
	if c.plan.Program == "" {
		if c.plan.Program, err = os.Executable(); err != nil {
			return c.fail(exitFailure, err)
		}
	}
	c.plan.Log = io.Discard
	if c.log != "" {
		var file *os.File
		if file, err = os.Create(c.log); err != nil {
			return c.fail(exitFailure, err)
		}
		defer file.Close()
		c.plan.Log = file
	}
	if c.other != "" {
		var dir string
		if dir, err = os.MkdirTemp("", "soak-other"); err != nil {
			return c.fail(exitFailure, err)
		}
		// The directory holds only the other build, so an error does not matter.
		defer func() { _ = os.RemoveAll(dir) }()
		if c.plan.Rollout.Other, err = soak.Build(ctx, c.other, dir); err != nil {
			return c.fail(exitFailure, err)
		}
	}
	code := exitOK
	for range c.seeds {
		var report soak.Report
		if report, err = soak.Run(ctx, c.plan); err != nil {
			return c.fail(exitFailure, fmt.Errorf("seed %d: %w", c.plan.Seed, err))
		}
		f := report.Figures
		fmt.Fprintf(c.out, "seed %d: %d findings; %d requests: %d complete, %d refused, %d to a daemon that was down, %d failed\n", c.plan.Seed,
			len(report.Findings), f.Requests, f.Complete, f.Refused, f.Unreached, f.Failed)
		for _, finding := range report.Findings {
			code = exitCheckFailed
			fmt.Fprintln(c.out, " ", finding)
		}
		c.plan.Seed++
	}
	return code
}
