package main

import (
	"bytes"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"
)

const (
	// logSuffix ends the names of the processes' log files.
	logSuffix = ".log"
	// maxLoggedLines bounds the end of each log that a failed test prints.
	maxLoggedLines = 20
)

// logState logs, for a test that has failed, the status of each daemon, and of each process the last line
// of each kind and the end of its log.
func (c *cluster) logState() {
	c.t.Helper()
	for n := range c.daemons {
		status, err := c.operator(n).Status(c.t.Context())
		text, encodeErr := json.Marshal(status)
		c.t.Logf("status of entry-%d: %s %v %v", n, text, err, encodeErr)
	}
	files, err := filepath.Glob(filepath.Join(c.dir, "*"+logSuffix))
	if err != nil {
		c.t.Logf("logs of the processes: %v", err)
	}
	for _, file := range files {
		c.logLines(file)
	}
}

// logLines logs the last line of each kind in a log file, and the end of the file.
func (c *cluster) logLines(file string) {
	c.t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		c.t.Logf("log of a process: %v", err)
		return
	}
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	last := make(map[string][]byte)
	for _, line := range lines {
		var kind struct {
			Message string `json:"message"`
		}
		// Lines that are no JSON are at the end if they matter.
		if json.Unmarshal(line, &kind) == nil {
			last[kind.Message] = line
		}
	}
	name := filepath.Base(file)
	for _, message := range slices.Sorted(maps.Keys(last)) {
		c.t.Logf("%s, last %q: %s", name, message, last[message])
	}
	for _, line := range lines[max(0, len(lines)-maxLoggedLines):] {
		c.t.Logf("%s: %s", name, line)
	}
}
