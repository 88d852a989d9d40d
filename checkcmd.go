package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/google/subcommands"

	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/state/settings"
)

// A checkCommand validates settings files and sheets without applying them.
type checkCommand struct {
	streams
	defaults bool
}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check settings files and sheets" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return "check [-defaults] FILE...\n\nFiles that end in .yaml or .yml are settings, those that end in .toml the platform's\nsettings, all others sheets.\n\n" +
		"Example:\n  hawthornrock check examples/utility/entry-1.yaml examples/utility/sheet.csv\n\n"
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.defaults, "defaults", false, "print the default settings")
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.defaults {
		return c.printDefaults()
	}
	if f.NArg() == 0 {
		return c.fail(exitUsage, errors.New("at least one file is expected"))
	}
	code := exitOK
	for _, file := range f.Args() {
		if err := c.check(file); err != nil {
			code = c.fail(exitUsage, err)
		}
	}
	return code
}

// check validates one file as settings or as a sheet, by its extension.
func (c *checkCommand) check(file string) error {
	var read func(string) error
	switch strings.ToLower(filepath.Ext(file)) {
	case ".yaml", ".yml":
		read = func(file string) error { _, err := settings.Read(file); return err }
	case ".toml":
		read = func(file string) error { _, err := platform.ReadSettings(file); return err }
	}
	if read != nil {
		if err := read(file); err != nil {
			return err
		}
		fmt.Fprintf(c.out, "%s: settings are valid\n", file)
		return nil
	}
	var (
		deployments []fleet.Deployment
		err         error
	)
	if deployments, err = readSheet(file); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: %d deployments\n", file, len(deployments))
	return nil
}

func (c *checkCommand) printDefaults() subcommands.ExitStatus {
	var (
		text []byte
		err  error
	)
	if text, err = settings.Default().Text(); err != nil {
		return c.fail(exitFailure, err)
	}
	fmt.Fprintf(c.out, "%s", text)
	return exitOK
}
