package loadreport

import "time"

const (
	// MaxClockDrift bounds how far two relays' monotonic clocks run apart, as a fraction of the time that passes.
	MaxClockDrift = 0.01
	// CalibrationInterval is the age at which a calibration should be renewed: by then it makes transit times too great
	// by 0.2 s.
	CalibrationInterval = 10 * time.Second
	// maxSenders bounds the calibrations kept. Each restart of a member adds one.
	maxSenders = 4096
)

// TransitEstimator computes an upper bound of the time that a message was in transit.
//
// Senders stamp their messages with their own monotonic time. The receiver learns how that relates to its own by
// asking: it sends its time, and the other answers with that and its own. The other's clock was read between the two,
// so that no message that it stamps later can have been in transit for longer than the bound that follows from it. The
// bound covers whatever delays a message: the network, queues, sockets, and either process being stopped. It is never
// too small while clocks run apart by no more than MaxClockDrift. It is too great by the round trip of the question and
// by MaxClockDrift of the time since.
type TransitEstimator struct {
	calibrations map[senderKey]calibration
}

// senderKey identifies a clock: a new process has a new one.
type senderKey struct {
	name string
	boot uint32
}

// calibration says that from the receiver's time at on, its clock was ahead of the sender's by minOffset or more.
type calibration struct {
	minOffset time.Duration
	at        time.Duration
}

// bound is the least offset at a later time.
func (c calibration) bound(now time.Duration) time.Duration {
	return c.minOffset - time.Duration(MaxClockDrift*float64(now-c.at))
}

// Calibrate takes an answer: the sender's time was clock, it was asked at the receiver's time asked, and the answer was
// received now.
func (e *TransitEstimator) Calibrate(name string, boot uint32, clock, asked, now time.Duration) {
	if asked > now {
		return // not an answer to a question of this process
	}
	if e.calibrations == nil || len(e.calibrations) >= maxSenders { // members that still send are asked again
		e.calibrations = map[senderKey]calibration{}
	}
	key := senderKey{name, boot}
	minOffset := asked - clock
	if earlier, ok := e.calibrations[key]; ok {
		// An answer that took long says less than an earlier one.
		minOffset = max(minOffset, earlier.bound(asked))
	}
	e.calibrations[key] = calibration{minOffset, asked}
}

// Estimate returns for how long a message that was stamped sent has been in transit by now, at most. Known is false if
// its sender was not calibrated yet; stale says that it should be asked again.
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
