package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/protocol/operator"
)

// A rollbackCommand restores the previous sheet.
type rollbackCommand struct {
	streams
	operator operatorFlags
}

// Name implements subcommands.Command.
func (*rollbackCommand) Name() string { return "rollback" }

// Synopsis implements subcommands.Command.
func (*rollbackCommand) Synopsis() string { return "restore the previous sheet" }

// Usage implements subcommands.Command.
func (*rollbackCommand) Usage() string {
	return "rollback [flags]\n\nSheets based on the rolled back revision are refused from then on.\n\n" +
		"Example:\n  hawthornrock rollback -operators 127.0.0.1:8201\n\n"
}

// SetFlags implements subcommands.Command.
func (c *rollbackCommand) SetFlags(f *flag.FlagSet) { c.operator.register(f) }

// Execute implements subcommands.Command.
func (c *rollbackCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var (
		status operator.Status
		err    error
	)
	if status, err = c.operator.client().Status(ctx); err != nil {
		return c.fail(exitFailure, err)
	}
	return c.change(ctx, c.operator, configuration.Record{Kind: configuration.KindRollback, Base: status.Revision})
}
