package loadreport

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However long a message, a question or an answer was delayed, and whichever clock runs faster, the estimate is never
// less than the true transit time, and hardly more.
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
			t.Fatal("known before it was asked")
		}
		var now, asked, roundTrip time.Duration
		for range rapid.IntRange(1, 4).Draw(t, "questions") {
			asked = now
			answered := asked + draw("there", 3*time.Second)
			now = answered + draw("back", 3*time.Second)
			estimator.Calibrate("a", 1, senderClock(answered), asked, now)
			roundTrip = now - asked
			now += draw("pause", 30*time.Second)
		}

		sent := now
		transitTime := draw("transit", 20*time.Second)
		now += transitTime
		estimate, known, _ := estimator.Estimate("a", 1, senderClock(sent), now)
		limit := transitTime + roundTrip + time.Duration(2*MaxClockDrift*float64(now-asked))
		if !known || estimate < transitTime-time.Microsecond || estimate > limit+time.Microsecond {
			t.Fatalf("%v, was %v, %v at most", estimate, transitTime, limit)
		}
		if _, known, _ := estimator.Estimate("a", 2, senderClock(sent), now); known {
			t.Fatal("a new process is taken to have the clock of the earlier one")
		}
	})
}

func TestCalibrationsAreBounded(t *testing.T) {
	var estimator TransitEstimator
	for i := range 2 * maxSenders {
		estimator.Calibrate(fmt.Sprint(i), 1, 0, 0, 0)
	}
	if n := len(estimator.calibrations); n > maxSenders {
		t.Error(n, "calibrations are held")
	}
}

// Messages that come before their sender's clock is known are deferred, the newest of them, and the sender is asked now
// and then.
func TestInbox(t *testing.T) {
	in := Inbox[int]{ClockRequestInterval: time.Second, MaxDeferred: 2}
	var requests []int
	for i := range 25 {
		now := time.Duration(i) * 100 * time.Millisecond
		_, known, requestClock := in.Receive(i, "a", 7, time.Hour+now, now)
		if known {
			t.Fatal("known before it answered")
		}
		if requestClock {
			requests = append(requests, i)
		}
	}
	if !slices.Equal(requests, []int{0, 10, 20}) {
		t.Error("asked at", requests)
	}

	now := 3 * time.Second
	if deferred := in.ClockReceived("a", 7, time.Hour+now, now, now); !slices.Equal(deferred, []int{23, 24}) {
		t.Error("deferred:", deferred)
	}
	transitTime, known, requestClock := in.Receive(25, "a", 7, time.Hour+now, now+time.Second)
	inRange := transitTime >= time.Second && transitTime <= time.Second+20*time.Millisecond
	if !known || requestClock || !inRange {
		t.Error("in transit for", transitTime, known, requestClock)
	}
	if _, known, requestClock := in.Receive(26, "a", 8, 0, now+2*time.Second); known || !requestClock {
		t.Error("another boot's clock is known, or not asked for")
	}
	if len(in.ClockReceived("a", 8, 0, now, now)) != 1 {
		t.Error("the message of another boot was not deferred")
	}
}
