package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"net/http"

	"github.com/google/subcommands"
	"github.com/google/uuid"
	"github.com/phuslu/log"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/protocol/operator"
	"github.com/hawthornrock/hawthornrock/state/settings"
	"github.com/hawthornrock/hawthornrock/transport/integrity"
)

// Exit codes shared by all commands.
const (
	exitOK          = subcommands.ExitSuccess
	exitFailure     = subcommands.ExitFailure
	exitUsage       = subcommands.ExitUsageError
	exitRefused     = subcommands.ExitStatus(3)
	exitUnknown     = subcommands.ExitStatus(4)
	exitCheckFailed = subcommands.ExitStatus(5)
)

// streams holds the standard streams of a command.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// run executes the command line in args and returns the exit code.
func run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	flags := flag.NewFlagSet(filepath.Base(args[0]), flag.ContinueOnError)
	flags.SetOutput(errOut)
	commander := subcommands.NewCommander(flags, "hawthornrock")
	commander.Output, commander.Error = out, errOut
	s := streams{in: in, out: out, err: errOut}
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	for _, c := range []subcommands.Command{
		&checkCommand{streams: s},
		&demoCommand{streams: s},
		&doctorCommand{streams: s},
		&domainCommand{streams: s},
		&experimentCommand{streams: s},
		&gatewayCommand{streams: s},
		&instanceCommand{streams: s},
		&loadCommand{streams: s},
		&measureCommand{streams: s},
		&publishCommand{streams: s},
		&rollbackCommand{streams: s},
		&serveCommand{streams: s},
		&soakCommand{streams: s},
		&standinCommand{streams: s},
		&statusCommand{streams: s},
		&versionCommand{streams: s},
	} {
		commander.Register(c, "")
	}
	if err := flags.Parse(args[1:]); err != nil {
		return int(exitUsage)
	}
	return int(commander.Execute(ctx))
}

// fail prints err to the error stream and returns code.
func (s streams) fail(code subcommands.ExitStatus, err error) subcommands.ExitStatus {
	fmt.Fprintln(s.err, "hawthornrock:", err)
	return code
}

// printJSON prints value as indented JSON.
func (s streams) printJSON(value any) subcommands.ExitStatus {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return s.fail(exitFailure, fmt.Errorf("write JSON: %w", err))
	}
	return exitOK
}

// operatorFlags holds the flags of commands that call the operator API.
type operatorFlags struct {
	address string
	token   string
	id      string
}

// register adds the flags to f.
func (o *operatorFlags) register(f *flag.FlagSet) {
	f.StringVar(&o.address, "operators", "127.0.0.1:8201", "address of a daemon's operator API")
	f.StringVar(&o.token, "token", os.Getenv("HAWTHORNROCK_TOKEN"), "operator's token; HAWTHORNROCK_TOKEN by default")
	f.StringVar(&o.id, "id", "", "id of the change; repeat the id to retry a change whose outcome is unknown; random by default")
}

// client returns a client of the operator API.
func (o *operatorFlags) client() *operator.Client {
	return &operator.Client{Address: o.address, Token: o.token, HTTP: &http.Client{Transport: &integrity.Transport{}, Timeout: 10 * time.Second}}
}

// change submits record, prints the outcome and returns the exit code.
func (s streams) change(ctx context.Context, o operatorFlags, record configuration.Record) subcommands.ExitStatus {
	record.ID = o.changeID()
	var (
		result operator.ChangeResult
		err    error
	)
	if result, err = o.client().Change(ctx, record); err != nil {
		fmt.Fprintf(s.err, "the outcome of the change is unknown; retry with -id %s\n", record.ID)
		return s.fail(exitUnknown, err)
	}
	return s.reportChange(result)
}

// reportChange prints result and returns the matching exit code.
func (s streams) reportChange(result operator.ChangeResult) subcommands.ExitStatus {
	id := result.Verdict.ID
	switch {
	case !result.Durable:
		return s.fail(exitUnknown, fmt.Errorf("change %s may not have reached the log (%s); retry with -id %s", id, result.Error, id))
	case !result.Decided:
		return s.fail(exitUnknown, fmt.Errorf("change %s is on the log, but its verdict has not been read back; retry with -id %s", id, id))
	case !result.Verdict.Accepted:
		for _, line := range result.Verdict.Diff {
			fmt.Fprintln(s.out, line)
		}
		return s.fail(exitRefused, fmt.Errorf("change %s was refused: %s", id, result.Verdict.Reason))
	}
	fmt.Fprintf(s.out, "accepted at offset %d, in force at %d daemons\n", result.Verdict.Offset, len(result.InForce))
	if len(result.NotInForce) > 0 {
		return s.fail(exitUnknown, fmt.Errorf("the change was accepted, but is not yet in force at daemons %v", result.NotInForce))
	}
	return exitOK
}

// newLogger returns a logger that writes JSON lines to the configured file, or to errOut if none
// is configured.
func newLogger(l settings.Log, errOut io.Writer) (*log.Logger, error) {
	logger := &log.Logger{Level: log.ParseLevel(l.Level), TimeFormat: time.RFC3339Nano, Writer: &log.IOWriter{Writer: errOut}}
	if l.File == "" {
		return logger, nil
	}
	var (
		file *os.File
		err  error
	)
	if file, err = os.OpenFile(l.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644); err != nil {
		return nil, fmt.Errorf("open log file: %w", err)
	}
	logger.Writer = &log.IOWriter{Writer: file}
	return logger, nil
}

// positionalArgs returns the positional arguments, and parses flags that appear between or after
// them.
func positionalArgs(f *flag.FlagSet) ([]string, error) {
	var out []string
	for f.NArg() > 0 {
		out = append(out, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// changeID returns the id given by -id, or a new random one.
func (o *operatorFlags) changeID() string {
	if o.id == "" {
		return uuid.NewString()
	}
	return o.id
}
