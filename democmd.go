package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/google/subcommands"

	"github.com/hawthornrock/hawthornrock/demo"
	platformdemo "github.com/hawthornrock/hawthornrock/platform/demo"
)

// A demoCommand runs a complete system on built-in stand-ins and checks its guarantees.
type demoCommand struct {
	streams
	asJSON   bool
	platform bool
}

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string { return "run a complete system on built-in stand-ins" }

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string {
	return "demo [-json] [-platform]\n\nRuns a complete system on loopback, measures it and fails if a guarantee is violated.\nWith -platform it runs on stand-ins of the users' platform.\n\n" +
		"Example:\n  hawthornrock demo -json\n\n"
}

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.asJSON, "json", false, "print one JSON object")
	f.BoolVar(&c.platform, "platform", false, "run on stand-ins of the users' platform")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.platform {
		if err := platformdemo.Run(ctx, c.out); err != nil {
			return c.fail(exitCheckFailed, err)
		}
		return exitOK
	}
	progress := c.out
	if c.asJSON {
		progress = io.Discard
	}
	var (
		result demo.Result
		err    error
	)
	if result, err = demo.Run(ctx, demo.DefaultPlan(), progress); err != nil {
		return c.fail(exitFailure, err)
	}
	if c.asJSON {
		c.printJSON(result)
	} else {
		fmt.Fprintf(c.out, "%d requests, %d whole answers, %d wrong, %d not run, %d unknown, %d repeated runs, %d violations\n",
			result.Requests, result.WholeAnswers, result.WrongAnswers, result.NotRun, result.Unknown,
			result.RepeatedNonIdempotentRuns, result.InvariantViolations)
	}
	if violated := result.Broken(); len(violated) > 0 {
		return c.fail(exitCheckFailed, fmt.Errorf("guarantees violated: %s", strings.Join(violated, ", ")))
	}
	return exitOK
}
