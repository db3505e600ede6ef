package loadreport

import "time"

const (
	// MaxClockDrift bounds the drift between two relays' monotonic clocks, as a fraction of the elapsed time.
	MaxClockDrift = 0.01
	// CalibrationInterval is the age at which a calibration should be renewed. By then, clock drift may have made the
	// estimates of transit times too great by 0.2 s.
	CalibrationInterval = 10 * time.Second
	// maxSenders bounds the stored calibrations. Each restart of a member adds one.
	maxSenders = 4096
)

// TransitEstimator computes an upper bound of the time that a message was in transit.
//
// Senders stamp their messages with their own monotonic time. To relate that time to its own, the receiver sends a
// clock request with its current time. The sender answers with the time in the request and with its own time. It read
// its own clock after the request was sent and before the answer arrived, which bounds the offset between the two
// clocks. The offset and the stamp of a message give an upper bound of the message's time in transit. The bound
// covers all delays of a message: the network, queues, sockets, and time for which either process was stopped. It is
// never too small while the clocks drift apart by no more than MaxClockDrift. It is too great by at most the
// round-trip time of the request plus twice MaxClockDrift of the time since then.
type TransitEstimator struct {
	calibrations map[senderKey]calibration
}

// senderKey identifies a sender's clock. Each process, identified by its boot number, has its own clock.
type senderKey struct {
	name string
	boot uint32
}

// calibration bounds the offset between two clocks: from the receiver's time at on, the receiver's clock was ahead of
// the sender's by minOffset or more, apart from drift.
type calibration struct {
	minOffset time.Duration
	at        time.Duration
}

// bound returns the least offset at a later time, after the greatest possible drift.
func (c calibration) bound(now time.Duration) time.Duration {
	return c.minOffset - time.Duration(MaxClockDrift*float64(now-c.at))
}

// Calibrate processes a sender's answer to a clock request. The request was sent at requestedAt on the receiver's
// clock, clock is the time of the sender's clock in the answer, and the answer was received now.
func (e *TransitEstimator) Calibrate(name string, boot uint32, clock, requestedAt, now time.Duration) {
	if requestedAt > now {
		return // not an answer to a request of this process
	}
	if e.calibrations == nil || len(e.calibrations) >= maxSenders { // current senders are calibrated again
		e.calibrations = map[senderKey]calibration{}
	}
	key := senderKey{name, boot}
	minOffset := requestedAt - clock
	if earlier, ok := e.calibrations[key]; ok {
		// If this round trip was slow, the earlier calibration may give the tighter bound.
		minOffset = max(minOffset, earlier.bound(requestedAt))
	}
	e.calibrations[key] = calibration{minOffset, requestedAt}
}

// Estimate returns an upper bound of the time that a message has been in transit by now, if its sender stamped it with
// the time sent. known is false if the sender is not calibrated yet. stale is set if the sender should be calibrated,
// either for the first time or again.
func (e *TransitEstimator) Estimate(
	name string,
	boot uint32,
	sent, now time.Duration,
) (transitTime time.Duration, known, stale bool) {
	c, ok := e.calibrations[senderKey{name, boot}]
	if !ok {
		return 0, false, true
	}
	return max(0, now-sent-c.bound(now)), true, now-c.at > CalibrationInterval
}
