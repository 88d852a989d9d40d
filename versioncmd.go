package main

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"

	"github.com/hawthornrock/hawthornrock/coordination/level"
)

// A versionCommand prints the version of the program.
type versionCommand struct{ streams }

// Name implements subcommands.Command.
func (*versionCommand) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*versionCommand) Synopsis() string { return "print the version of the program" }

// Usage implements subcommands.Command.
func (*versionCommand) Usage() string { return "version\n\nExample:\n  hawthornrock version\n\n" }

// SetFlags implements subcommands.Command.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
	}
	fmt.Fprintf(c.out, "hawthornrock %s, level %d, understands level %d and later\n", version, level.Own, level.Oldest)
	return exitOK
}
