package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
)

// An instanceCommand cordons or releases an instance.
type instanceCommand struct {
	streams
	operator operatorFlags
}

// Name implements subcommands.Command.
func (*instanceCommand) Name() string { return "instance" }

// Synopsis implements subcommands.Command.
func (*instanceCommand) Synopsis() string { return "cordon or release an instance" }

// Usage implements subcommands.Command.
func (*instanceCommand) Usage() string {
	return "instance [flags] cordon|release INSTANCE\n\nA cordoned instance gets no new work, and its replica gets another member.\n\n" +
		"Example:\n  hawthornrock instance -operators 127.0.0.1:8201 cordon bayangol-a-1\n\n"
}

// SetFlags implements subcommands.Command.
func (c *instanceCommand) SetFlags(f *flag.FlagSet) { c.operator.register(f) }

// Execute implements subcommands.Command.
func (c *instanceCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	kinds := map[string]configuration.Kind{"cordon": configuration.KindCordon, "release": configuration.KindRelease}
	return c.changeTarget(ctx, &c.operator, f, kinds, "cordon or release and an instance are expected")
}
