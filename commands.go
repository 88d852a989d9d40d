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
)

// The exit codes of all commands.
const (
	exitOK      = subcommands.ExitSuccess
	exitFailure = subcommands.ExitFailure
	exitUsage   = subcommands.ExitUsageError
	exitRefused = subcommands.ExitStatus(3)
	exitUnsure  = subcommands.ExitStatus(4)
	exitBroken  = subcommands.ExitStatus(5)
)

// streams are the standard streams of a command.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// run runs the command line args and returns its exit code.
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

// fail prints err and returns code.
func (s streams) fail(code subcommands.ExitStatus, err error) subcommands.ExitStatus {
	fmt.Fprintln(s.err, "hawthornrock:", err)
	return code
}

// json prints value as indented JSON.
func (s streams) json(value any) subcommands.ExitStatus {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return s.fail(exitFailure, fmt.Errorf("write JSON: %w", err))
	}
	return exitOK
}

// An operatorFlags are the flags of commands that call the interface for
// operators.
type operatorFlags struct {
	address string
	token   string
	id      string
}

// register adds the flags to f.
func (o *operatorFlags) register(f *flag.FlagSet) {
	f.StringVar(&o.address, "operators", "127.0.0.1:8201", "address of a daemon's listener for operators")
	f.StringVar(&o.token, "token", os.Getenv("HAWTHORNROCK_TOKEN"), "operator's token; HAWTHORNROCK_TOKEN by default")
	f.StringVar(&o.id, "id", "", "id of the change, to repeat one whose result was lost; a new one by default")
}

// client returns a client of the interface for operators.
func (o *operatorFlags) client() *operator.Client {
	return &operator.Client{Address: o.address, Token: o.token, HTTP: &http.Client{Timeout: 10 * time.Second}}
}

// change asks for record, prints what became of it and returns the exit code.
func (s streams) change(ctx context.Context, o operatorFlags, record configuration.Record) subcommands.ExitStatus {
	record.ID = o.changeID()
	var (
		result operator.ChangeResult
		err    error
	)
	if result, err = o.client().Change(ctx, record); err != nil {
		fmt.Fprintf(s.err, "the result is not known; repeat with -id %s\n", record.ID)
		return s.fail(exitUnsure, err)
	}
	return s.changeResult(result)
}

// changeResult prints result and returns the exit code that it stands for.
func (s streams) changeResult(result operator.ChangeResult) subcommands.ExitStatus {
	id := result.Verdict.ID
	switch {
	case !result.Durable:
		return s.fail(exitUnsure, fmt.Errorf("change %s is not known to be on the log (%s); repeat with -id %s", id, result.Error, id))
	case !result.Decided:
		return s.fail(exitUnsure, fmt.Errorf("change %s is on the log, but its verdict has not been read back; repeat with -id %s", id, id))
	case !result.Verdict.Accepted:
		for _, line := range result.Verdict.Diff {
			fmt.Fprintln(s.out, line)
		}
		return s.fail(exitRefused, fmt.Errorf("change %s was refused: %s", id, result.Verdict.Reason))
	}
	fmt.Fprintf(s.out, "accepted at offset %d, in force at %d daemons\n", result.Verdict.Offset, len(result.InForce))
	if len(result.NotInForce) > 0 {
		return s.fail(exitUnsure, fmt.Errorf("not yet in force at %v", result.NotInForce))
	}
	return exitOK
}

// newLogger returns a logger of JSON lines.
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
		return nil, fmt.Errorf("open log: %w", err)
	}
	logger.Writer = &log.IOWriter{Writer: file}
	return logger, nil
}

// positional returns the arguments that are not flags, and parses flags that
// stand among them or behind them.
func positional(f *flag.FlagSet) ([]string, error) {
	var out []string
	for f.NArg() > 0 {
		out = append(out, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// changeID returns the id of the change that the flags ask for.
func (o *operatorFlags) changeID() string {
	if o.id == "" {
		return uuid.NewString()
	}
	return o.id
}
