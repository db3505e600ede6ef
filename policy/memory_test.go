package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// A long run of one of 300 relays, with destinations that come and go, every outcome, withdrawals and messages that
// are given up on: its heap after collection does not grow with the messages. One that keeps a word for each message
// fails the same check.
func TestMemoryStaysFlatOverALongRun(t *testing.T) {
	// The heap is that of all the process: what tests before this one left moves it, by a few hundred bytes a round.
	// Only growth that shows each time is the module's.
	for try := 1; ; try++ {
		least, most := heapSlope(t, false)
		t.Logf("the heap grows by %.2f to %.2f bytes a message", least, most)
		if least <= 0.5 && most <= 2 {
			break
		}
		if try == 3 {
			t.Errorf("it grows in each of %d runs", try)
			break
		}
	}
	if least, _ := heapSlope(t, true); least < 4 {
		t.Errorf(
			"a relay that keeps a word for each message grows by %.2f bytes a message at least: the check sees nothing",
			least,
		)
	}
}

// heapSlope is the 95 % interval of the heap's growth, in bytes a message.
func heapSlope(t *testing.T, leak bool) (least, most float64) {
	t.Helper()
	const rounds, warmUp, each = 40, 10, 1500
	rng := rand.New(rand.NewPCG(11, 12))
	settings := testSettings()
	settings.FleetSize, settings.MaxInFlightCalls, settings.MaxPendingMessages, settings.MaxAttempts = 300, 8, 90, 8
	settings.Classes = []Class{
		{
			Effect:           IdempotentByKey,
			DedupWindow:      8 * time.Second,
			LatencyObjective: 3 * time.Second,
			Deadline:         12 * time.Second,
			Weight:           1,
		},
		{Effect: Idempotent, Ordered: true, LatencyObjective: time.Second, Deadline: 5 * time.Second, Weight: 1},
	}
	engine, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	type out struct {
		id  uint32
		n   int
		to  string
		end time.Duration
	}
	var calls []out
	var kept []uint64
	tries := map[uint32]int{}
	now, id, ended := time.Minute, uint32(0), 0
	act := func(actions []Action) {
		for _, a := range actions {
			switch a.Kind {
			case Send:
				calls = append(
					calls,
					out{
						a.MessageID,
						tries[a.MessageID],
						a.Endpoint,
						now + time.Duration(20+rng.IntN(300))*time.Millisecond,
					},
				)
				tries[a.MessageID]++
			case Reject, Fail:
				ended++
			}
		}
	}
	var xs, ys []float64
	for round := range rounds {
		var list []Endpoint
		for i := range 15 { // the same places, with new endpoints and numbers each round
			list = append(
				list,
				Endpoint{
					ID:          fmt.Sprintf("r%d-%d", round, i),
					Destination: round*15 + i,
					Kind:        i % 2,
					Zone:        i % 2,
					Weight:      3000,
					InService:   true,
				},
			)
		}
		act(engine.Step(now, []Event{{Kind: EndpointSnapshot, Endpoints: list}}))
		for range each {
			now += 20 * time.Millisecond
			id++
			events := []Event{
				{
					Kind:        MessageAccepted,
					MessageID:   id,
					Class:       int(id) % 2,
					Key:         fmt.Sprint("k", id/3),
					Destination: round*15 + rng.IntN(15),
					TimeLeft:    5 * time.Second,
				},
			}
			if leak {
				kept = append(kept, uint64(id))
			}
			if rng.IntN(20) == 0 {
				events = append(events, Event{Kind: MessageCancelled, MessageID: id - uint32(rng.IntN(10))})
			}
			rest := calls[:0]
			for _, c := range calls {
				if c.end > now {
					rest = append(rest, c)
					continue
				}
				outcome := OK
				if rng.IntN(4) == 0 {
					outcome = Outcome(rng.IntN(int(NotSent) + 1))
				}
				events = append(
					events,
					Event{
						Kind:         AttemptFinished,
						MessageID:    c.id,
						Attempt:      c.n,
						Endpoint:     c.to,
						Outcome:      outcome,
						Latency:      100 * time.Millisecond,
						MessageEnded: outcome == OK,
					},
				)
			}
			calls = rest
			act(engine.Step(now, events))
		}
		for range 2 { // all time is up
			now += 16 * time.Second
			var events []Event
			for _, c := range calls {
				events = append(
					events,
					Event{
						Kind:      AttemptFinished,
						MessageID: c.id,
						Attempt:   c.n,
						Endpoint:  c.to,
						Outcome:   Timeout,
						Latency:   16 * time.Second,
					},
				)
			}
			calls = calls[:0]
			act(engine.Step(now, append(events, Event{Kind: TimerFired})))
		}
		clear(tries)
		if round < warmUp {
			continue
		}
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		xs, ys = append(xs, float64(id)), append(ys, float64(m.HeapAlloc))
	}
	if ended == 0 || len(kept) > 0 != leak {
		t.Fatalf("%d messages given up on: the run shows little", ended)
	}
	runtime.KeepAlive(engine)
	return slope(xs, ys)
}

// slope is the 95 % interval of the least squares line through points.
func slope(xs, ys []float64) (least, most float64) {
	n := float64(len(xs))
	var mx, my, sxx, sxy float64
	for i := range xs {
		mx, my = mx+xs[i]/n, my+ys[i]/n
	}
	for i := range xs {
		sxx, sxy = sxx+(xs[i]-mx)*(xs[i]-mx), sxy+(xs[i]-mx)*(ys[i]-my)
	}
	b, rest := sxy/sxx, 0.0
	for i := range xs {
		d := ys[i] - my - b*(xs[i]-mx)
		rest += d * d
	}
	e := 2.05 * math.Sqrt(rest/(n-2)/sxx) // Student's t for 28 degrees of freedom
	return b - e, b + e
}
