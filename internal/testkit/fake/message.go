package fake

import "time"

// finalNoticeGrace is how long after its deadline a message may still be resolved.
const finalNoticeGrace = 400 * time.Millisecond

// message is a message that a client submitted.
type message struct {
	deadline  time.Time
	attempts  int
	withdrawn bool
	resolved  bool
}

// RegisterMessage registers a message that a client is about to submit.
func (w *World) RegisterMessage(id string, deadline time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.messages[id] = &message{deadline: deadline}
}

// WithdrawMessage marks a message whose client left without an answer: the relay need not resolve it.
func (w *World) WithdrawMessage(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.messages[id]; m != nil {
		m.withdrawn = true
	}
}

// ResolveMessage marks a message that has its end: it was delivered, its client was rejected, or the platform has a
// notice of it.
func (w *World) ResolveMessage(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resolve(id)
}

// resolve does the work of ResolveMessage. The caller holds mu.
func (w *World) resolve(id string) {
	if m := w.messages[id]; m != nil {
		m.resolved = true
	}
}

// UnresolvedMessages returns how many messages are neither withdrawn nor resolved, and may still be.
func (w *World) UnresolvedMessages() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	unresolved := 0
	for _, m := range w.messages {
		if !m.withdrawn && !m.resolved && now.Before(m.deadline.Add(finalNoticeGrace)) {
			unresolved++
		}
	}
	return unresolved
}

// The states of messages in the answer to a batch. A message without a state may be delivered.
const (
	messageDelivered = "ok"
	messageGone      = "gone"      // withdrawn, or past its deadline
	messageExhausted = "exhausted" // it had all attempts that the settings allow
)

// countAttempts counts an attempt for each message of a call. It returns their states and how many may be delivered, or
// false if a message is unknown. The caller holds mu.
func (w *World) countAttempts(ids []string) (states []string, deliverable int, known bool) {
	states = make([]string, len(ids))
	for i, id := range ids {
		m := w.messages[id]
		if m == nil {
			return nil, 0, false
		}
		m.attempts++
		switch {
		case m.withdrawn || time.Now().After(m.deadline):
			states[i] = messageGone
		case m.attempts > w.settings.MaxAttempts:
			states[i] = messageExhausted
		default:
			deliverable++
		}
	}
	return states, deliverable, true
}
