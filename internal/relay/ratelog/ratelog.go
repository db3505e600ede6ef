// Package ratelog logs warnings about input from outside the process at a limited rate. Peers can repeat bad input any
// number of times. Each kind of bad input appears in the log, but none can fill it.
package ratelog

import (
	"log/slog"
	"sync"
	"time"
)

// minInterval is the shortest time between two log lines of the same Warning.
const minInterval = time.Minute

// Warning is one kind of fault. Its log lines are at least minInterval apart. Occurrences in between are only counted.
type Warning struct {
	Message string // the constant message of its log lines

	mu         sync.Mutex
	lastLogged time.Time // zero: never
	suppressed int       // occurrences since lastLogged that were not logged
}

// Log logs an occurrence of the fault, or only counts it if less than minInterval has passed since the last log line.
// The next log line has the count as the attribute "suppressed".
func (w *Warning) Log(log *slog.Logger, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !w.lastLogged.IsZero() && now.Sub(w.lastLogged) < minInterval {
		w.suppressed++
		return
	}
	if w.suppressed > 0 {
		args = append(args, "suppressed", w.suppressed)
	}
	log.Warn(w.Message, args...)
	w.lastLogged = now
	w.suppressed = 0
}
