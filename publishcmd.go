package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/protocol/operator"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/state/sheet"
)

// A publishCommand publishes a sheet.
type publishCommand struct {
	streams
	operator       operatorFlags
	base           int64
	confirmRemoval bool
	dryRun         bool
}

// Name implements subcommands.Command.
func (*publishCommand) Name() string { return "publish" }

// Synopsis implements subcommands.Command.
func (*publishCommand) Synopsis() string { return "publish a sheet" }

// Usage implements subcommands.Command.
func (*publishCommand) Usage() string {
	return "publish [flags] SHEET\n\nSHEET is CSV or XLSX. The sheet is refused if another one was accepted since -base.\n\n" +
		"Example:\n  hawthornrock publish -dry_run examples/utility/sheet.csv\n\n"
}

// SetFlags implements subcommands.Command.
func (c *publishCommand) SetFlags(f *flag.FlagSet) {
	c.operator.register(f)
	f.Int64Var(&c.base, "base", -1, "revision that the sheet is based on; the one in force by default")
	f.BoolVar(&c.confirmRemoval, "confirm_removal", false, "allow the sheet to remove more than half of the deployments")
	f.BoolVar(&c.dryRun, "dry_run", false, "print what would change without publishing")
}

// Execute implements subcommands.Command.
func (c *publishCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var (
		args        []string
		deployments []fleet.Deployment
		status      operator.Status
		err         error
	)
	if args, err = positionalArgs(f); err != nil {
		return exitUsage
	}
	if len(args) != 1 {
		return c.fail(exitUsage, errors.New("one sheet is expected"))
	}
	if deployments, err = readSheet(args[0]); err != nil {
		return c.fail(exitUsage, err)
	}
	if c.dryRun || c.base < 0 {
		if status, err = c.operator.client().Status(ctx); err != nil {
			return c.fail(exitFailure, err)
		}
	}
	if c.base < 0 {
		c.base = int64(status.Revision)
	}
	record := configuration.Record{
		Kind: configuration.KindSheet, Base: uint64(c.base), ConfirmRemoval: c.confirmRemoval, Deployments: deployments,
	}
	if c.dryRun {
		return c.printPlan(status, record)
	}
	return c.change(ctx, c.operator, record)
}

// printPlan prints the changes that record would make, and whether it would be refused.
func (c *publishCommand) printPlan(status operator.Status, record configuration.Record) subcommands.ExitStatus {
	state := configuration.State{Revision: status.Revision, Deployments: status.Deployments}
	diff := state.Diff(record.Deployments)
	for _, line := range diff {
		fmt.Fprintln(c.out, line)
	}
	fmt.Fprintf(c.out, "%d changes to revision %d\n", len(diff), status.Revision)
	if _, v := state.Apply(status.Offset+1, record); !v.Accepted {
		return c.fail(exitRefused, fmt.Errorf("the sheet would be refused: %s", v.Reason))
	}
	return exitOK
}

// readSheet reads and parses a sheet.
func readSheet(file string) ([]fleet.Deployment, error) {
	var (
		data []byte
		err  error
	)
	if data, err = os.ReadFile(file); err != nil {
		return nil, fmt.Errorf("read sheet: %w", err)
	}
	return sheet.Parse(file, data)
}
