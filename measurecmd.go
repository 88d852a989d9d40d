package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/hawthornrock/hawthornrock/capacity"
)

// A measureCommand measures the slopes from which docs/CAPACITY.md is calculated.
type measureCommand struct {
	streams
	asJSON bool
}

// Name implements subcommands.Command.
func (*measureCommand) Name() string { return "measure" }

// Synopsis implements subcommands.Command.
func (*measureCommand) Synopsis() string { return "measure the slopes behind docs/CAPACITY.md" }

// Usage implements subcommands.Command.
func (*measureCommand) Usage() string {
	return "measure [-json]\n\nExample:\n  hawthornrock measure -json > docs/capacity-run.json\n\n"
}

// SetFlags implements subcommands.Command.
func (c *measureCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.asJSON, "json", false, "print the run as JSON; the page's rows by default")
}

// Execute implements subcommands.Command.
func (c *measureCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	var (
		run capacity.Run
		err error
	)
	if run, err = capacity.Measure(); err != nil {
		return c.fail(exitFailure, err)
	}
	if c.asJSON {
		return c.printJSON(run)
	}
	for _, row := range append(capacity.SlopeRows(run), capacity.Rows(run)...) {
		fmt.Fprintln(c.out, row)
	}
	return exitOK
}
