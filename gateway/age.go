package gateway

import (
	"time"

	"github.com/phuslu/log"
)

// withAge adds the time from at to now to line. A time of zero means never, which has no age: the boot
// clock begins with the machine.
func withAge(line *log.Entry, name string, now, at time.Duration) *log.Entry {
	if at == 0 {
		return line
	}
	return line.Dur(name, now-at)
}
