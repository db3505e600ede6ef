package relay

import (
	"log/slog"
	"sync"
	"time"
)

// minInterval is how often a trouble is logged at most.
const minInterval = time.Minute

// Warning is something that goes wrong outside, and may do so any number of times: its log is rate-limited, so that bad
// input of any kind is seen and does not fill it.
type Warning struct {
	Message string

	mu   sync.Mutex
	lastLogged time.Time // logged
	suppressed int       // times since then
}

// Log logs that it came, or counts it.
func (t *Warning) Log(log *slog.Logger, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if !t.lastLogged.IsZero() && now.Sub(t.lastLogged) < minInterval {
		t.suppressed++
		return
	}
	if t.suppressed > 0 {
		args = append(args, "unlogged_before", t.suppressed)
	}
	log.Warn(t.Message, args...)
	t.lastLogged, t.suppressed = now, 0
}
