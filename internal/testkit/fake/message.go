package fake

import "time"

// finalNoticeGrace is how long after its deadline a message may still be resolved.
const finalNoticeGrace = 400 * time.Millisecond

// message is the state of a message that a client submitted.
type message struct {
	deadline  time.Time
	attempts  int  // calls with this message so far
	withdrawn bool // see WithdrawMessage
	resolved  bool // see ResolveMessage
}

// RegisterMessage registers a message that a client is about to submit.
func (w *World) RegisterMessage(id string, deadline time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.messages[id] = &message{deadline: deadline}
}

// WithdrawMessage marks a message as withdrawn: its client got no answer, and the relay need not resolve it.
func (w *World) WithdrawMessage(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.messages[id]; m != nil {
		m.withdrawn = true
	}
}

// ResolveMessage marks a message as resolved: it was delivered, its submission was rejected, or the platform received a
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

// UnresolvedMessages returns how many messages are neither withdrawn nor resolved. Messages that are past their
// deadline by finalNoticeGrace are not counted, since they can no longer be resolved.
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

// States of messages in the answer to a batch. Until a service has handled the call, a message that may be delivered
// has the empty state.
const (
	messageDelivered = "ok"
	messageGone      = "gone"      // withdrawn, or past its deadline
	messageExhausted = "exhausted" // it already had as many attempts as the settings allow
)

// countAttempts counts an attempt for each message of a call. It returns the states of the messages and how many of
// them may be delivered. known is false if a message was not registered. The caller holds mu.
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
