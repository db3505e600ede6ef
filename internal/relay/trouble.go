package relay

import (
	"log/slog"
	"sync"
	"time"
)

// troubleEvery is how often a trouble is logged at most.
const troubleEvery = time.Minute

// trouble is something that goes wrong outside, and may do so any number of times: its log is rate-limited, so that bad
// input of any kind is seen and does not fill it.
type trouble struct {
	what string

	mu   sync.Mutex
	last time.Time // logged
	more int       // times since then
}

// came logs that it came, or counts it.
func (t *trouble) came(log *slog.Logger, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if !t.last.IsZero() && now.Sub(t.last) < troubleEvery {
		t.more++
		return
	}
	if t.more > 0 {
		args = append(args, "unlogged_before", t.more)
	}
	log.Warn(t.what, args...)
	t.last, t.more = now, 0
}
