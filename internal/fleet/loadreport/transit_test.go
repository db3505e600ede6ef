package loadreport

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The estimate is never less than the true transit time, and exceeds it only by the round-trip time of the last clock
// request and by drift. This holds for any delays of messages, requests and answers, and whichever clock runs faster.
func TestTransitEstimate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drift := rapid.Float64Range(-MaxClockDrift, MaxClockDrift).Draw(t, "drift")
		offset := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "offset"))
		senderClock := func(now time.Duration) time.Duration {
			return offset + now + time.Duration(drift*float64(now))
		}
		draw := func(name string, limit time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(t, name))
		}
		var estimator TransitEstimator
		if _, known, stale := estimator.Estimate("a", 1, 0, 0); known || !stale {
			t.Fatal("the sender is calibrated before it has answered a request")
		}
		var now, requestedAt, roundTrip time.Duration
		for range rapid.IntRange(1, 4).Draw(t, "requests") {
			requestedAt = now
			answeredAt := requestedAt + draw("request transit", 3*time.Second)
			now = answeredAt + draw("answer transit", 3*time.Second)
			estimator.Calibrate("a", 1, senderClock(answeredAt), requestedAt, now)
			roundTrip = now - requestedAt
			now += draw("pause", 30*time.Second)
		}

		sent := now
		transitTime := draw("transit", 20*time.Second)
		now += transitTime
		estimate, known, _ := estimator.Estimate("a", 1, senderClock(sent), now)
		limit := transitTime + roundTrip + time.Duration(2*MaxClockDrift*float64(now-requestedAt))
		if !known || estimate < transitTime-time.Microsecond || estimate > limit+time.Microsecond {
			t.Fatalf("estimate %v (known: %v), want %v to %v", estimate, known, transitTime, limit)
		}
		if _, known, _ := estimator.Estimate("a", 2, senderClock(sent), now); known {
			t.Fatal("the calibration of a process was used for another boot of the same member")
		}
	})
}

func TestCalibrationsAreBounded(t *testing.T) {
	var estimator TransitEstimator
	for i := range 2 * maxSenders {
		estimator.Calibrate(fmt.Sprint(i), 1, 0, 0, 0)
	}
	if n := len(estimator.calibrations); n > maxSenders {
		t.Errorf("%d calibrations are stored, want at most %d", n, maxSenders)
	}
}

// While a sender's clock is not known, its newest messages are deferred, and a clock request is due once per
// ClockRequestInterval.
func TestInbox(t *testing.T) {
	in := Inbox[int]{ClockRequestInterval: time.Second, MaxDeferred: 2}
	var requests []int
	for i := range 25 {
		now := time.Duration(i) * 100 * time.Millisecond
		_, known, requestClock := in.Receive(i, "a", 7, time.Hour+now, now)
		if known {
			t.Fatal("the sender's clock is known before it has answered a request")
		}
		if requestClock {
			requests = append(requests, i)
		}
	}
	if !slices.Equal(requests, []int{0, 10, 20}) {
		t.Error("clock requests at messages", requests)
	}

	now := 3 * time.Second
	if deferred := in.ClockReceived("a", 7, time.Hour+now, now, now); !slices.Equal(deferred, []int{23, 24}) {
		t.Error("deferred messages:", deferred)
	}
	transitTime, known, requestClock := in.Receive(25, "a", 7, time.Hour+now, now+time.Second)
	inRange := transitTime >= time.Second && transitTime <= time.Second+20*time.Millisecond
	if !known || requestClock || !inRange {
		t.Errorf("transit time %v, known %v, clock request due %v", transitTime, known, requestClock)
	}
	if _, known, requestClock := in.Receive(26, "a", 8, 0, now+2*time.Second); known || !requestClock {
		t.Error("the clock of another boot is known, or no request for it is due")
	}
	if len(in.ClockReceived("a", 8, 0, now, now)) != 1 {
		t.Error("the message of another boot was not deferred")
	}
}
