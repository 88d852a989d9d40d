package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/google/subcommands"

	"github.com/hawthornrock/hawthornrock/load"
)

// A loadCommand sends requests to a running system and reports the results.
type loadCommand struct {
	streams
	entries    string
	key        string
	deployment string
	rate       float64
	duration   time.Duration
	tokens     int
	seed       uint64
}

// Name implements subcommands.Command.
func (*loadCommand) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*loadCommand) Synopsis() string {
	return "send requests to a running system and report the results"
}

// Usage implements subcommands.Command.
func (*loadCommand) Usage() string {
	return "load [flags]\n\nExample:\n  hawthornrock load -entries 127.0.0.1:8101 -key key-of-bakery -deployment decoration -rate 20 -duration 10s\n\n"
}

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.entries, "entries", "127.0.0.1:8101", "initial entry daemon addresses, separated by commas")
	f.StringVar(&c.key, "key", os.Getenv("HAWTHORNROCK_KEY"), "API key; HAWTHORNROCK_KEY by default")
	f.StringVar(&c.deployment, "deployment", "decoration", "deployments to call, separated by commas")
	f.Float64Var(&c.rate, "rate", 10, "requests per second over all deployments")
	f.DurationVar(&c.duration, "duration", 10*time.Second, "how long to send")
	f.IntVar(&c.tokens, "tokens", 16, "tokens per answer")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the arrival times")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.rate <= 0 || c.duration <= 0 {
		return c.fail(exitUsage, fmt.Errorf("-rate and -duration must be positive"))
	}
	reports := make(map[string]*load.Report)
	names := strings.Split(c.deployment, ",")
	for _, name := range names {
		reports[name] = &load.Report{}
	}
	c.send(ctx, names, reports)
	summaries := make(map[string]load.Summary, len(reports))
	for name, report := range reports {
		summaries[name] = report.Summary()
	}
	return c.printJSON(summaries)
}

// send sends requests to the deployments in turn, with exponentially distributed intervals at the
// mean rate, and waits for all answers.
func (c *loadCommand) send(ctx context.Context, names []string, reports map[string]*load.Report) {
	random := rand.New(rand.NewPCG(c.seed, 0))
	caller := &load.Caller{
		Addresses: strings.Split(c.entries, ","), Key: c.key, Random: rand.New(rand.NewPCG(c.seed, 1)),
		HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	var group sync.WaitGroup
	end := time.Now().Add(c.duration)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		name := names[n%len(names)]
		group.Go(func() {
			reports[name].Add(caller.Chat(ctx, name, fmt.Sprintf("load %d %d", c.seed, n), c.tokens), "")
		})
		time.Sleep(time.Duration(random.ExpFloat64() / c.rate * float64(time.Second)))
	}
	group.Wait()
}
