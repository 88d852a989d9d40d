package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/hawthornrock/hawthornrock/coordination/inspection"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/platform/draft"
	"github.com/hawthornrock/hawthornrock/state/policy"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// standardInput is the name of the file that stands for the standard input.
const standardInput = "-"

// A checkReport is what the check command found in one file.
type checkReport struct {
	File string `json:"file"`
	// Summary says what a file that is no configuration holds.
	Summary  string         `json:"summary,omitempty"`
	Errors   int            `json:"errors"`
	Warnings int            `json:"warnings"`
	Changes  int            `json:"changes"`
	LeftOut  int            `json:"left_out"`
	Findings []checkFinding `json:"findings"`
}

// A checkFinding is one finding. Line and Column are zero if it is about no place of the file.
type checkFinding struct {
	Weight inspection.Weight `json:"weight"`
	File   string            `json:"file"`
	Line   int               `json:"line,omitempty"`
	Column int               `json:"column,omitempty"`
	Field  string            `json:"field,omitempty"`
	Text   string            `json:"text"`
}

// failedReport returns the report on a file that cannot be read.
func failedReport(file string, err error) checkReport {
	return checkReport{File: file, Errors: 1, Findings: []checkFinding{{Weight: inspection.Error, File: file, Text: err.Error()}}}
}

// place returns the file of f, with the place in it.
func (f checkFinding) place() string {
	if f.Line == 0 {
		return f.File
	}
	return fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
}

// print writes r for people.
func (r checkReport) print(out io.Writer) {
	for _, f := range r.Findings {
		field := f.Field
		if field != "" {
			field += ": "
		}
		fmt.Fprintf(out, "%s: %s: %s%s\n", f.place(), strings.ReplaceAll(f.Weight.String(), "_", " "), field, f.Text)
	}
	if r.LeftOut > 0 {
		fmt.Fprintf(out, "%s: %d more findings are left out\n", r.File, r.LeftOut)
	}
	if r.Summary != "" {
		fmt.Fprintf(out, "%s: %s\n", r.File, r.Summary)
	}
}

// configurationCheck holds what configurations are compared with.
type configurationCheck struct {
	// inForce returns the version in force, nil if none is given, or why it cannot be read.
	inForce    func() (*inspection.Configuration, *checkFinding)
	policyFile string
	policy     *policy.Policy
	deployment *inspection.Deployment
}

// newConfigurationCheck reads the files that the flags of c name. The version in force is read beside the first file. A file
// of the flags that cannot be read is in the error.
func (c *checkCommand) newConfigurationCheck(ctx context.Context) (configurationCheck, *unreadableFile) {
	out := configurationCheck{policyFile: c.policy, inForce: c.readInForce(ctx)}
	if c.policy != "" {
		var (
			p   policy.Policy
			err error
		)
		if p, err = policy.Read(c.policy); err != nil {
			return out, &unreadableFile{file: c.policy, err: err}
		}
		out.policy = &p
	}
	if c.settings != "" {
		var (
			s   site.Settings
			err error
		)
		if s, err = platform.ReadSettings(c.settings); err != nil {
			return out, &unreadableFile{file: c.settings, err: err}
		}
		out.deployment = &inspection.Deployment{RetryRatio: s.Bounds.RetryRatio, RetrySlack: s.Bounds.RetrySlack, MemoryMB: s.Limits.MemoryMB}
	}
	return out, nil
}

// An unreadableFile is a file of the flags that cannot be read.
type unreadableFile struct {
	file string
	err  error
}

// readInForce begins to read the version in force, and returns a function that waits for it.
func (c *checkCommand) readInForce(ctx context.Context) func() (*inspection.Configuration, *checkFinding) {
	if c.inForce == "" {
		return func() (*inspection.Configuration, *checkFinding) { return nil, nil }
	}
	type result struct {
		configuration *inspection.Configuration
		finding       *checkFinding
	}
	done := make(chan result, 1)
	go func() {
		var r result
		r.configuration, r.finding = c.decodeInForce(ctx)
		done <- r
	}()
	return sync.OnceValues(func() (*inspection.Configuration, *checkFinding) {
		r := <-done
		return r.configuration, r.finding
	})
}

// decodeInForce reads the version in force. It returns the first reason why it cannot be read.
func (c *checkCommand) decodeInForce(ctx context.Context) (*inspection.Configuration, *checkFinding) {
	const unreadable = "the version in force cannot be read, and nothing is compared with it: "
	var (
		text []byte
		err  error
	)
	if text, err = c.read(ctx, c.inForce); err != nil {
		return nil, &checkFinding{Weight: inspection.Error, File: c.inForce, Text: unreadable + err.Error()}
	}
	inForce, findings := draft.Decode(text)
	if findings.Count(inspection.Error) > 0 {
		first := located(c.inForce, "", text, findings.Sorted())[0]
		first.Text = unreadable + first.Text
		return nil, &first
	}
	return inForce, nil
}

// configuration checks the configuration in file.
func (c *checkCommand) configuration(ctx context.Context, file string, with configurationCheck) (checkReport, error) {
	var (
		text []byte
		err  error
	)
	if text, err = c.read(ctx, file); err != nil {
		return checkReport{}, err
	}
	next, f := draft.Decode(text)
	inForce, unreadable := with.inForce()
	compared := inForce != nil && f.Count(inspection.Error) == 0
	if next != nil {
		inspection.Inspect(f, inspection.Request{Next: next, InForce: inForce, Policy: with.policy, Deployment: with.deployment})
	}
	r := checkReport{
		File: file, Errors: f.Count(inspection.Error), Warnings: f.Warnings(), Changes: f.Count(inspection.Change), LeftOut: f.LeftOut(),
		Findings: located(file, with.policyFile, text, f.Sorted()),
	}
	if unreadable != nil {
		r.Errors++
		r.Findings = slices.Insert(r.Findings, 0, *unreadable)
	}
	if next != nil && r.Errors == 0 {
		r.Summary = fmt.Sprintf("version %d with %d routes is valid; warnings: %d", next.Version.Value, len(next.Routes), r.Warnings)
	} else {
		r.Summary = fmt.Sprintf("errors: %d, warnings: %d", r.Errors, r.Warnings)
	}
	if compared {
		r.Summary += fmt.Sprintf(", changes for callers: %d", r.Changes)
	}
	return r, nil
}

// located returns findings with their files and places.
func located(file, policyFile string, text []byte, findings []inspection.Finding) []checkFinding {
	out := make([]checkFinding, 0, len(findings))
	places := inspection.Places(text, findings)
	for i, f := range findings {
		finding := checkFinding{Weight: f.Weight, File: file, Line: places[i].Line, Column: places[i].Column, Field: f.Field, Text: f.Text}
		if f.Source == inspection.Policy {
			finding.File = policyFile
		}
		out = append(out, finding)
	}
	return out
}

// read reads a file, or the standard input, until ctx ends.
func (c *checkCommand) read(ctx context.Context, file string) ([]byte, error) {
	type result struct {
		text []byte
		err  error
	}
	// A read of a terminal or pipe cannot be cancelled; it ends with the process.
	done := make(chan result, 1)
	go func() {
		var (
			in  = c.in
			r   result
			err error
		)
		if file != standardInput {
			var f *os.File
			if f, err = os.Open(file); err != nil {
				done <- result{err: err}
				return
			}
			defer f.Close()
			in = f
		}
		if r.text, err = draft.Read(in); err != nil {
			r.err = fmt.Errorf("%s: %w", file, err)
		}
		done <- r
	}()
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("%s: %w", file, errors.Join(errors.New("interrupted"), ctx.Err()))
	case r := <-done:
		return r.text, r.err
	}
}
