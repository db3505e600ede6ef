package loadreport

import "time"

// Inbox is a TransitEstimator for a receiver that can request clock readings of senders. It determines when a request
// is due, and defers messages of senders whose clock is not known yet. M is the caller's type of message. The caller
// passes only names of listed members, whose number bounds the memory used.
type Inbox[M any] struct {
	TransitEstimator
	ClockRequestInterval time.Duration // least time between two clock requests to one sender
	MaxDeferred          int           // greatest number of deferred messages of one sender; the oldest are dropped

	requestedAt map[string]time.Duration
	deferred    map[string][]M
}

// Receive processes a message that its sender stamped with the time sent. If known is set, transitTime is an upper
// bound of the time that the message was in transit. Otherwise the message is deferred until ClockReceived. If
// requestClock is set, the caller is to send a clock request to the sender.
func (in *Inbox[M]) Receive(
	m M,
	name string,
	boot uint32,
	sent, now time.Duration,
) (transitTime time.Duration, known, requestClock bool) {
	transitTime, known, stale := in.Estimate(name, boot, sent, now)
	requestClock = stale && in.RequestDue(name, now)
	if !known {
		in.deferMessage(name, m)
	}
	return transitTime, known, requestClock
}

// deferMessage stores a message, and drops the oldest one of the same sender if there are more than MaxDeferred.
func (in *Inbox[M]) deferMessage(name string, m M) {
	if in.deferred == nil {
		in.deferred = map[string][]M{}
	}
	messages := in.deferred[name]
	messages = append(messages, m)
	in.deferred[name] = messages[max(0, len(messages)-in.MaxDeferred):]
}

// RequestDue reports whether ClockRequestInterval has passed since the last clock request to a sender. If so, it
// records that a request is sent now.
func (in *Inbox[M]) RequestDue(name string, now time.Duration) bool {
	if at, ok := in.requestedAt[name]; ok && now-at < in.ClockRequestInterval {
		return false
	}
	if in.requestedAt == nil {
		in.requestedAt = map[string]time.Duration{}
	}
	in.requestedAt[name] = now
	return true
}

// ClockReceived calibrates a sender as Calibrate does, and returns the deferred messages of that sender.
func (in *Inbox[M]) ClockReceived(name string, boot uint32, clock, requestedAt, now time.Duration) (deferred []M) {
	in.Calibrate(name, boot, clock, requestedAt, now)
	deferred = in.deferred[name]
	delete(in.deferred, name)
	return deferred
}
