package entry

import (
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
)

// An acquittal tells peers that a suspect ran without crashing its server.
type acquittal struct {
	Fingerprint quarantine.Fingerprint `cbor:"fingerprint"`
}

// crashes guards the register of requests that crash backend servers.
type crashes struct {
	mu       sync.Mutex
	register quarantine.Register
}

// acquit clears a suspect.
func (c *crashes) acquit(f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.register.Acquit(f)
}

// add takes a crash report.
func (c *crashes) add(crash quarantine.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.register.Add(time.Now(), crash)
}

// rank returns the place of f among the suspects of its last crash.
func (c *crashes) rank(f quarantine.Fingerprint) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Rank(f)
}

// verdict returns what is known of f, and until when.
func (c *crashes) verdict(f quarantine.Fingerprint) (quarantine.Verdict, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Verdict(time.Now(), f), c.register.ExpiresAt(f)
}
