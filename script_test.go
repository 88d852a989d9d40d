package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hawthornrock/hawthornrock/demo"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"hawthornrock": func() {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		os.Exit(run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr))
	}})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			for _, name := range []string{"PLATFORM", "CALLERS", "OPERATORS", "PEERS"} {
				var (
					address string
					err     error
				)
				if address, err = demo.FreeAddress(); err != nil {
					return err
				}
				env.Setenv(name, address)
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"listening": listening},
	})
}

// listening is a script command that waits until each address accepts connections. Its negated form
// fails at the first refused connection.
func listening(ts *testscript.TestScript, neg bool, args []string) {
	for _, address := range args {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			conn, err := net.Dial("tcp", address)
			if err == nil {
				ts.Check(conn.Close())
				break
			}
			if neg || time.Now().After(end) {
				ts.Fatalf("nothing listens at %s: %v", address, err)
			}
		}
	}
}
