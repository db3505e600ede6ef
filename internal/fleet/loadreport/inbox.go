package loadreport

import "time"

// Inbox is a TransitEstimator for a receiver that can ask. It says when to ask a sender for its clock, and defers
// messages of senders whose clock is not known yet. M is a message as the caller has it. Names must be of listed
// members: that bounds memory.
type Inbox[M any] struct {
	TransitEstimator
	ClockRequestInterval time.Duration // after which a sender that has not answered is asked again
	MaxDeferred          int           // messages of one sender that are deferred, the newest

	requestedAt map[string]time.Duration
	deferred    map[string][]M
}

// Receive takes a message that was stamped sent. It was in transit for transitTime at most. If that is not known, the
// message is deferred until ClockReceived. RequestClock says that its sender is to be asked for its clock now.
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

// deferMessage keeps a message, in place of the oldest of its sender if there are too many.
func (in *Inbox[M]) deferMessage(name string, m M) {
	if in.deferred == nil {
		in.deferred = map[string][]M{}
	}
	messages := in.deferred[name]
	messages = append(messages, m)
	in.deferred[name] = messages[max(0, len(messages)-in.MaxDeferred):]
}

// RequestDue reports whether a sender that should be asked is to be asked now, and records that it is.
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

// ClockReceived takes a sender's answer as Calibrate does, and returns the messages of it that were deferred.
func (in *Inbox[M]) ClockReceived(name string, boot uint32, clock, asked, now time.Duration) (deferred []M) {
	in.Calibrate(name, boot, clock, asked, now)
	deferred = in.deferred[name]
	delete(in.deferred, name)
	return deferred
}
