package main

import (
	"context"
	"errors"
	"flag"

	"github.com/google/subcommands"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
)

// A domainCommand takes a failure domain out of service or back in.
type domainCommand struct {
	streams
	operator operatorFlags
}

// Name implements subcommands.Command.
func (*domainCommand) Name() string { return "domain" }

// Synopsis implements subcommands.Command.
func (*domainCommand) Synopsis() string { return "take a failure domain out of service or back in" }

// Usage implements subcommands.Command.
func (*domainCommand) Usage() string {
	return "domain [flags] out|in FAILURE_DOMAIN\n\nThe decision stays in force until it is reversed, whatever sheets are published.\n\n" +
		"Example:\n  hawthornrock domain -operators 127.0.0.1:8201 out sukhbaatar\n\n"
}

// SetFlags implements subcommands.Command.
func (c *domainCommand) SetFlags(f *flag.FlagSet) { c.operator.register(f) }

// Execute implements subcommands.Command.
func (c *domainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	kinds := map[string]configuration.Kind{"out": configuration.KindDomainOut, "in": configuration.KindDomainIn}
	return c.changeTarget(ctx, &c.operator, f, kinds, "out or in and a failure domain are expected")
}

// changeTarget submits the change named by two positional arguments: the action, a key of kinds,
// and its target.
func (s streams) changeTarget(ctx context.Context, o *operatorFlags, f *flag.FlagSet, kinds map[string]configuration.Kind, usage string) subcommands.ExitStatus {
	var (
		args []string
		err  error
	)
	if args, err = positionalArgs(f); err != nil {
		return exitUsage
	}
	if len(args) != 2 || kinds[args[0]] == "" {
		return s.fail(exitUsage, errors.New(usage))
	}
	return s.change(ctx, *o, configuration.Record{Kind: kinds[args[0]], Target: args[1]})
}
