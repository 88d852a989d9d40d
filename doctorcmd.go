package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"github.com/google/subcommands"

	userplatform "github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/protocol/operator"
	"github.com/hawthornrock/hawthornrock/protocol/platform"
	"github.com/hawthornrock/hawthornrock/state/settings"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/integrity"
	"github.com/hawthornrock/hawthornrock/transport/rest"
)

// doctorTimeout bounds each network check.
const doctorTimeout = 3 * time.Second

// A doctorCommand diagnoses why a daemon does not serve.
type doctorCommand struct {
	streams
	operator operatorFlags
	file     string
}

// A finding is the result of one check.
type finding struct {
	ok     bool
	name   string
	detail string
}

// Name implements subcommands.Command.
func (*doctorCommand) Name() string { return "doctor" }

// Synopsis implements subcommands.Command.
func (*doctorCommand) Synopsis() string { return "diagnose why a daemon does not serve" }

// Usage implements subcommands.Command.
func (*doctorCommand) Usage() string {
	return "doctor -settings FILE [flags]\n\nExample:\n  hawthornrock doctor -settings examples/utility/entry-1.yaml\n\n"
}

// SetFlags implements subcommands.Command.
func (c *doctorCommand) SetFlags(f *flag.FlagSet) {
	c.operator.register(f)
	f.StringVar(&c.file, "settings", "", "settings file of the daemon")
}

// Execute implements subcommands.Command.
func (c *doctorCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var (
		s   settings.Settings
		err error
	)
	if filepath.Ext(c.file) == ".toml" {
		return c.checkGateway(ctx)
	}
	if s, err = settings.Read(c.file); err != nil {
		return c.fail(exitUsage, err)
	}
	c.operator.address = s.Listen.Operators
	return c.print(c.checkEntry(ctx, s))
}

// checkGateway checks the settings, the store and the readiness of a gateway daemon.
func (c *doctorCommand) checkGateway(ctx context.Context) subcommands.ExitStatus {
	var (
		s    site.Settings
		page userplatform.Page
		err  error
	)
	if s, err = userplatform.ReadSettings(c.file); err != nil {
		return c.fail(exitUsage, err)
	}
	findings := []finding{{true, "settings", "valid"}}
	client := &http.Client{Transport: &integrity.Transport{}, Timeout: doctorTimeout}
	store := userplatform.Store{Address: s.Store, HTTP: client}
	if page, err = store.Newest(ctx, userplatform.TopicOperators); err != nil {
		findings = append(findings, finding{false, "store", err.Error()})
	} else {
		findings = append(findings, finding{true, "store", fmt.Sprintf("%d records of operators", len(page.Records))})
	}
	ready := finding{true, "daemon", "ready at " + s.Ready}
	if err = rest.Call(ctx, client, http.MethodGet, "http://"+s.Ready+userplatform.PathReady, nil, nil); err != nil {
		ready = finding{false, "daemon", err.Error()}
	}
	return c.print(append(findings, ready))
}

// print prints findings and returns exitCheckFailed if any of them failed.
func (c *doctorCommand) print(findings []finding) subcommands.ExitStatus {
	code := exitOK
	for _, f := range findings {
		result := "ok"
		if !f.ok {
			result, code = "failed", exitCheckFailed
		}
		fmt.Fprintf(c.out, "%-7s %-10s %s\n", result, f.name, f.detail)
	}
	return code
}

// checkEntry checks the log, the entry daemon, its backends and its peers.
func (c *doctorCommand) checkEntry(ctx context.Context, s settings.Settings) []finding {
	findings := []finding{{true, "settings", "valid"}, c.checkLog(ctx, s), c.checkDaemon(ctx)}
	for _, b := range s.Backends {
		text := b.Name + " ignores fencing numbers; leases alone keep directors apart"
		if b.ChecksFencing {
			text = b.Name + " refuses orders with an old fencing number"
		}
		findings = append(findings, finding{true, "back end", text})
	}
	for _, seed := range s.Peers.Seeds {
		findings = append(findings, checkPeer(ctx, seed))
	}
	return findings
}

// checkDaemon requests the daemon's status. It fails if the daemon is isolated or has counted
// invariant violations.
func (c *doctorCommand) checkDaemon(ctx context.Context) finding {
	var (
		status operator.Status
		err    error
	)
	if status, err = c.operator.client().Status(ctx); err != nil {
		return finding{false, "daemon", err.Error()}
	}
	ok := status.Violations == 0 && status.Mode != "isolated"
	return finding{ok, "daemon", fmt.Sprintf("mode %s, offset %d, %d replicas serving, %d not, %d violations",
		status.Mode, status.Offset, len(status.Replicas), len(status.NotServing), status.Violations)}
}

// checkLog reads one page of the configuration stream.
func (c *doctorCommand) checkLog(ctx context.Context, s settings.Settings) finding {
	client := platform.Client{Address: s.Platform.Address, HTTP: &http.Client{Transport: &integrity.Transport{}, Timeout: doctorTimeout}}
	var (
		page platform.Page
		err  error
	)
	if page, err = client.Read(ctx, "configuration", 1, 0); err != nil {
		return finding{false, "log", err.Error()}
	}
	return finding{true, "log", fmt.Sprintf("configuration from offset %d to %d", page.Horizon, page.Next)}
}

// checkPeer checks that a peer accepts TCP connections.
func checkPeer(ctx context.Context, address string) finding {
	dialer := net.Dialer{Timeout: doctorTimeout}
	var (
		conn net.Conn
		err  error
	)
	if conn, err = dialer.DialContext(ctx, "tcp", address); err != nil {
		return finding{false, "peer", err.Error()}
	}
	// Nothing was sent on the connection, so an error on close is of no consequence.
	_ = conn.Close()
	return finding{true, "peer", address}
}
