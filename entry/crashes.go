package entry

import (
	"sync"
	"time"

	"github.com/hawthornrock/hawthornrock/coordination/quarantine"
)

// An acquittal reports to peers that a suspected request ran without crashing its server.
type acquittal struct {
	Fingerprint quarantine.Fingerprint `cbor:"fingerprint"`
}

// A crashRegister is a register of requests that crash backend servers, safe for concurrent use.
type crashRegister struct {
	mu       sync.Mutex
	register quarantine.Register
}

// acquit clears the suspicion against f.
func (c *crashRegister) acquit(f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.register.Acquit(f)
}

// add records a crash report.
func (c *crashRegister) add(crash quarantine.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.register.Add(time.Now(), crash)
}

// rank returns the position of f among the suspects of its last crash.
func (c *crashRegister) rank(f quarantine.Fingerprint) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Rank(f)
}

// verdict returns the verdict on f and the time at which it expires.
func (c *crashRegister) verdict(f quarantine.Fingerprint) (quarantine.Verdict, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Verdict(time.Now(), f), c.register.ExpiresAt(f)
}
