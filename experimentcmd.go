package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/google/subcommands"

	"github.com/hawthornrock/hawthornrock/experiment"
)

// An experimentFunc runs one experiment and returns its result.
type experimentFunc func(context.Context, experiment.Options) (any, error)

// experiments maps names to experiments.
var experiments = map[string]experimentFunc{
	"crash_request":  untyped(experiment.CrashRequest),
	"domain_absence": untyped(experiment.DomainAbsence),
	"overhead":       untyped(experiment.Overhead),
}

// untyped adapts f to experimentFunc.
func untyped[R any](f func(context.Context, experiment.Options) (R, error)) experimentFunc {
	return func(ctx context.Context, o experiment.Options) (any, error) { return f(ctx, o) }
}

// An experimentCommand runs a named experiment.
type experimentCommand struct {
	streams
	name   string
	seeds  int
	asJSON bool
}

// Name implements subcommands.Command.
func (*experimentCommand) Name() string { return "experiment" }

// Synopsis implements subcommands.Command.
func (*experimentCommand) Synopsis() string { return "run a named experiment on built-in stand-ins" }

// Usage implements subcommands.Command.
func (*experimentCommand) Usage() string {
	return fmt.Sprintf("experiment -name NAME [-json]\n\nNAME is one of %v. The result is printed as JSON.\n\n"+
		"Example:\n  hawthornrock experiment -name crash_request\n\n", slices.Sorted(maps.Keys(experiments)))
}

// SetFlags implements subcommands.Command.
func (c *experimentCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.name, "name", "", "experiment to run")
	f.IntVar(&c.seeds, "seeds", 5, "runs of each policy, where the experiment has seeds")
	f.BoolVar(&c.asJSON, "json", false, "print only the result, without progress")
}

// Execute implements subcommands.Command.
func (c *experimentCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	run, ok := experiments[c.name]
	if !ok {
		return c.fail(exitUsage, fmt.Errorf("-name: %q, expected one of %v", c.name, slices.Sorted(maps.Keys(experiments))))
	}
	progress := c.err
	if c.asJSON {
		progress = io.Discard
	}
	var (
		result any
		err    error
	)
	if result, err = run(ctx, experiment.Options{Seeds: c.seeds, Out: progress}); err != nil {
		return c.fail(exitFailure, err)
	}
	return c.printJSON(result)
}
