package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/state/settings"
)

// A checkCommand validates configurations, settings files and sheets without applying them.
type checkCommand struct {
	streams
	defaults bool
	inForce  string
	policy   string
	settings string
	json     bool
	strict   bool
}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check configurations, settings files and sheets" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return "check [-defaults] [-json] [-strict] [-in_force FILE] [-policy FILE] [-settings FILE] FILE...\n\n" +
		"Files that end in .json are configurations of the platform, as is the standard input (-), those that\n" +
		"end in .yaml or .yml settings, those that end in .toml the platform's settings, all others sheets.\n\n" +
		"Example:\n  hawthornrock check examples/utility/entry-1.yaml examples/utility/sheet.csv\n" +
		"  hawthornrock check -in_force now.json -policy policy.yaml next.json\n\n"
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.defaults, "defaults", false, "print the default settings")
	f.BoolVar(&c.json, "json", false, "print the findings as JSON")
	f.BoolVar(&c.strict, "strict", false, "exit with code 1 if there are warnings")
	f.StringVar(&c.inForce, "in_force", "", "the configuration that is in force, to compare with")
	f.StringVar(&c.policy, "policy", "", "the operators' policy, to compare with")
	f.StringVar(&c.settings, "settings", "", "the platform's settings of a daemon, for its retry budget and memory")
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.defaults {
		return c.printDefaults()
	}
	var (
		files []string
		err   error
	)
	if files, err = positionalArgs(f); err != nil {
		return exitUsage
	}
	if len(files) == 0 {
		return c.fail(exitUsage, errors.New("at least one file is expected"))
	}
	if c.inForce == standardInput && slices.Contains(files, standardInput) {
		return c.fail(exitUsage, errors.New("the standard input cannot be both versions"))
	}
	with, unreadable := c.newConfigurationCheck(ctx)
	if unreadable != nil {
		if c.json {
			c.printJSON([]checkReport{failedReport(unreadable.file, unreadable.err)})
		}
		return c.fail(exitUsage, unreadable.err)
	}
	code := exitOK
	reports := make([]checkReport, 0, len(files))
	for _, file := range files {
		var r checkReport
		if r, err = c.check(ctx, file, with); err != nil {
			r = failedReport(file, err)
			c.fail(exitUsage, err)
		} else if !c.json {
			r.print(c.out)
		}
		reports = append(reports, r)
		switch {
		case r.Errors > 0:
			code = exitUsage
		case r.Warnings > 0 && c.strict && code == exitOK:
			code = exitFailure
		}
	}
	if c.json {
		if failed := c.printJSON(reports); failed != exitOK {
			return failed
		}
	}
	return code
}

// check checks one file as a configuration, settings or a sheet, by its extension.
func (c *checkCommand) check(ctx context.Context, file string, with configurationCheck) (checkReport, error) {
	r := checkReport{File: file, Findings: []checkFinding{}}
	switch extension := strings.ToLower(filepath.Ext(file)); {
	case extension == ".json" || file == standardInput:
		return c.configuration(ctx, file, with)
	case extension == ".yaml" || extension == ".yml":
		if _, err := settings.Read(file); err != nil {
			return r, err
		}
		r.Summary = "settings are valid"
	case extension == ".toml":
		if _, err := platform.ReadSettings(file); err != nil {
			return r, err
		}
		r.Summary = "settings are valid"
	default:
		var (
			deployments []fleet.Deployment
			err         error
		)
		if deployments, err = readSheet(file); err != nil {
			return r, err
		}
		r.Summary = fmt.Sprintf("%d deployments", len(deployments))
	}
	return r, nil
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
