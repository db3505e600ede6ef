package loadreport

import "time"

const (
	// Drift bounds how far two relays' monotonic clocks run apart, as a share of the time that passes.
	MaxClockDrift = 0.01
	// CalibrationInterval is the age at which what is known of a sender's clock should be had anew: by then it makes
	// ages too great by 0.2 s.
	CalibrationInterval = 10 * time.Second
	maxSenders          = 4096
)

// TransitEstimator tells how long a message was under way at most. Senders stamp their messages with their own
// monotonic time. How that stands to the hearer's is found by asking: the hearer sends its time, the other answers with
// that and its own. The other's time was read between the two, so that no message that it stamps later can have been
// under way for longer than the bound that follows from it. That finds whatever held a message up: the network, queues,
// sockets, and either side's being stopped. It is never too small while clocks run apart by no more than Drift, and too
// great by the round trip that was asked with and by Drift of the time since.
type TransitEstimator struct {
	senders map[senderKey]calibration
}

type senderKey struct {
	name string
	boot uint32
}

// calibration: at the hearer's time at or later, the difference of the two clocks was least or more. No later is known
// for it.
type calibration struct {
	minOffset, at time.Duration
}

func (c calibration) bound(now time.Duration) time.Duration {
	return c.minOffset - time.Duration(MaxClockDrift*float64(now-c.at))
}

// Calibrate takes an answer: the other's time was clock, and it was asked at the hearer's time asked and heard now.
func (t *TransitEstimator) Calibrate(name string, boot uint32, clock, asked, now time.Duration) {
	if asked > now {
		return // no answer to what this process has asked
	}
	if t.senders == nil || len(t.senders) >= maxSenders { // restarts without end; whoever still tells is asked again
		t.senders = map[senderKey]calibration{}
	}
	key, c := senderKey{name, boot}, calibration{asked - clock, asked}
	if was, ok := t.senders[key]; ok && was.bound(asked) > c.minOffset {
		c.minOffset = was.bound(asked) // an answer that was long in coming tells less than an earlier one
	}
	t.senders[key] = c
}

// Estimate returns how long a message that was stamped sent has been under way now, at most; known is false if its
// sender was not asked yet. stale tells that it should be asked again.
func (t *TransitEstimator) Estimate(
	name string,
	boot uint32,
	sent, now time.Duration,
) (d time.Duration, known, stale bool) {
	c, ok := t.senders[senderKey{name, boot}]
	if !ok {
		return 0, false, true
	}
	return max(0, now-sent-c.bound(now)), true, now-c.at > CalibrationInterval
}

// Inbox is Transit for whoever can ask: it tells when to ask a sender for its clock, and puts aside what comes of one
// whose clock is not known yet. M is a message as the caller has it. Names must be of listed members: they bound it.
type Inbox[M any] struct {
	TransitEstimator
	ClockRequestInterval time.Duration // an unanswered sender is asked again
	MaxDeferred          int           // messages of one sender that are kept, the newest

	requestedAt map[string]time.Duration
	deferred    map[string][]M
}

// Receive takes a message that was stamped sent. known is false if it was put aside; else it has been under way for
// held at most. ask tells that its sender is to be asked now.
func (in *Inbox[M]) Receive(
	m M,
	name string,
	boot uint32,
	sent, now time.Duration,
) (held time.Duration, known, ask bool) {
	held, known, stale := in.Estimate(name, boot, sent, now)
	ask = stale && in.RequestDue(name, now)
	if !known {
		if in.deferred == nil {
			in.deferred = map[string][]M{}
		}
		aside := append(in.deferred[name], m)
		in.deferred[name] = aside[max(0, len(aside)-in.MaxDeferred):]
	}
	return held, known, ask
}

// RequestDue tells whether a sender that should be asked is to be asked now, and notes that it is.
func (in *Inbox[M]) RequestDue(name string, now time.Duration) bool {
	if at, before := in.requestedAt[name]; before && now-at < in.ClockRequestInterval {
		return false
	}
	if in.requestedAt == nil {
		in.requestedAt = map[string]time.Duration{}
	}
	in.requestedAt[name] = now
	return true
}

// ClockReceived takes a sender's answer as Calibrate does, and returns what was put aside of it.
func (in *Inbox[M]) ClockReceived(name string, boot uint32, clock, asked, now time.Duration) (aside []M) {
	in.Calibrate(name, boot, clock, asked, now)
	aside = in.deferred[name]
	delete(in.deferred, name)
	return aside
}
