package main

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/hawthornrock/hawthornrock/protocol/operator"
)

// A statusCommand prints the state of the system as one daemon sees it.
type statusCommand struct {
	streams
	operator operatorFlags
	asJSON   bool
}

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string { return "print the state of the system" }

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string {
	return "status [flags]\n\nExample:\n  hawthornrock status -operators 127.0.0.1:8201\n\n"
}

// SetFlags implements subcommands.Command.
func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.operator.register(f)
	f.BoolVar(&c.asJSON, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var (
		status operator.Status
		err    error
	)
	if status, err = c.operator.client().Status(ctx); err != nil {
		return c.fail(exitFailure, err)
	}
	if c.asJSON {
		return c.printJSON(status)
	}
	c.printTable(status)
	return exitOK
}

// printTable prints status as tables.
func (c *statusCommand) printTable(status operator.Status) {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "daemon %s, mode %s, configuration offset %d, revision %d\n", status.Daemon, status.Mode, status.Offset, status.Revision)
	fmt.Fprintf(w, "failure domains out: %s; cordoned: %s; violations: %d; in flight: %d\n\n",
		joinNames(status.DomainsOut), joinNames(status.Cordoned), status.Violations, status.InFlight)
	fmt.Fprintln(w, "REPLICA\tDEPLOYMENT\tVERSION\tGENERATION\tWARM\tRUNNING\tMEMBERS")
	for _, r := range status.Replicas {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\t%d/%d\t%s\n", r.Name, r.Deployment, r.Version, r.Generation, r.Warm, r.Running, r.Slots, strings.Join(r.Members, " "))
	}
	fmt.Fprintln(w, "\nNOT SERVING\tWHY\tNEXT")
	for _, e := range status.NotServing {
		fmt.Fprintf(w, "%s\t%s\t%s\n", e.Replica, e.Reason, e.Next)
	}
	fmt.Fprintln(w, "\nFAILURE DOMAIN\tDIRECTED BY\tTERM")
	for _, l := range status.Leases {
		fmt.Fprintf(w, "%s\t%s\t%d\n", l.FailureDomain, l.Holder, l.Term)
	}
	fmt.Fprintln(w, "\nDAEMON\tOFFSET\tLOG")
	for _, p := range status.Peers {
		logState := "reads"
		if p.LogDown {
			logState = "cannot read"
		}
		fmt.Fprintf(w, "%s\t%d\t%s\n", p.Daemon, p.Offset, logState)
	}
	// The output is a terminal or a pipe; a failed write cannot be handled.
	_ = w.Flush()
}

// joinNames returns names as the text of one table cell, or "none".
func joinNames(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, " ")
}
