// Package knownred leaves tests out of a run that fail for a fault that is not mended yet. The file
// KNOWN-RED.txt at the root of the module lists them.
package knownred

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// fileName is the name of the list, and rootFile that of a file that is next to it only.
const (
	fileName = "KNOWN-RED.txt"
	rootFile = "go.mod"
)

// An Entry is one listed test.
type Entry struct {
	// Package is the package of the test, as "./gateway".
	Package string
	Test    string
	// Issue is the issue that is open for the fault, as "issue 22".
	Issue string
}

var (
	entryLine = regexp.MustCompile(`^test: (\./\S+) (\w+)$`)
	issueText = regexp.MustCompile(`issue \d+`)
)

// Parse reads a list: a line "test: PACKAGE NAME" for each entry, and text up to the next one that
// names an issue.
func Parse(r io.Reader) ([]Entry, error) {
	var out []Entry
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		line := lines.Text()
		if found := entryLine.FindStringSubmatch(line); found != nil {
			out = append(out, Entry{Package: found[1], Test: found[2]})
			continue
		}
		if strings.HasPrefix(line, "test:") {
			return nil, fmt.Errorf("%s, line %d: %q is not \"test: ./PACKAGE TEST\"", fileName, n, line)
		}
		if issue := issueText.FindString(line); issue != "" && len(out) > 0 {
			out[len(out)-1].Issue = issue
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read %s: %w", fileName, err)
	}
	for _, e := range out {
		if e.Issue == "" {
			return nil, fmt.Errorf("%s: test %s of %s names no issue", fileName, e.Test, e.Package)
		}
	}
	return out, nil
}

// A Runner runs the tests of a package, such as a *testing.M.
type Runner interface{ Run() int }

// Main runs the tests of a package without the listed ones, unless the flag -run selects tests. It
// is called by TestMain in the package's directory and returns the exit code.
func Main(m Runner) int {
	if !flag.Parsed() {
		flag.Parse()
	}
	listed, err := ofThisPackage()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if run := flag.Lookup("test.run"); len(listed) > 0 && run != nil && run.Value.String() == "" {
		names := make([]string, 0, len(listed))
		for _, e := range listed {
			names = append(names, e.Test)
			fmt.Printf("known red, left out: %s %s (%s)\n", e.Package, e.Test, e.Issue)
		}
		if err = leaveOut(names); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	return m.Run()
}

// leaveOut adds tests to those that the flag -skip leaves out.
func leaveOut(names []string) error {
	pattern := "^(" + strings.Join(names, "|") + ")$"
	if skipped := flag.Lookup("test.skip").Value.String(); skipped != "" {
		pattern += "|" + skipped
	}
	if err := flag.Set("test.skip", pattern); err != nil {
		return fmt.Errorf("leave out the tests of %s: %w", fileName, err)
	}
	return nil
}

// ofThisPackage returns the entries of the package in the working directory. Each must name one of
// its tests.
func ofThisPackage() ([]Entry, error) {
	dir, err := os.Getwd()
	if err != nil {
		return nil, fmt.Errorf("find the package: %w", err)
	}
	root, err := rootOf(dir)
	if err != nil {
		return nil, err
	}
	file, err := os.Open(filepath.Join(root, fileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("open the list of tests that are red: %w", err)
	}
	defer file.Close()
	all, err := Parse(file)
	if err != nil {
		return nil, err
	}
	own, err := filepath.Rel(root, dir)
	if err != nil {
		return nil, fmt.Errorf("find the package: %w", err)
	}
	var out []Entry
	for _, e := range all {
		if e.Package != "./"+filepath.ToSlash(own) {
			continue
		}
		if err = checkDeclared(dir, e.Test); err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

// rootOf returns the root of the module that dir is in.
func rootOf(dir string) (string, error) {
	for at := dir; ; at = filepath.Dir(at) {
		if _, err := os.Stat(filepath.Join(at, rootFile)); err == nil {
			return at, nil
		}
		if at == filepath.Dir(at) {
			return "", fmt.Errorf("no %s in %s or above", rootFile, dir)
		}
	}
}

// checkDeclared returns an error if no test file in dir declares a test.
func checkDeclared(dir, test string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	if err != nil {
		return fmt.Errorf("find test files in %s: %w", dir, err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("read test file: %w", err)
		}
		if strings.Contains(string(text), "func "+test+"(") {
			return nil
		}
	}
	return fmt.Errorf("%s: no test %q in %s", fileName, test, dir)
}
