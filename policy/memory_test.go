package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// The heap after garbage collection must not grow with the number of messages. The run is a long one, of one relay
// in a fleet of 300, with destinations that come and go, all outcomes, and cancelled and failed messages. A run
// that leaks one word for each message must fail the same check.
func TestMemoryStaysFlatOverALongRun(t *testing.T) {
	// The heap is that of the whole process, and memory left by earlier tests changes it by a few hundred bytes a
	// round. Only growth in every run is caused by the Engine.
	const runs = 3
	for run := 1; ; run++ {
		lowest, highest := heapGrowth(t, false)
		t.Logf("the heap grows by %.2f to %.2f bytes a message", lowest, highest)
		if lowest <= 0.5 && highest <= 2 {
			break
		}
		if run == runs {
			t.Errorf("the heap grows in each of %d runs", runs)
			break
		}
	}
	if lowest, _ := heapGrowth(t, true); lowest < 4 {
		t.Errorf("with a leak of a word for each message, the heap grows by only %.2f bytes a message at least: "+
			"the test detects no leak", lowest)
	}
}

// memoryRun drives an Engine for rounds of messages, each with new destinations.
type memoryRun struct {
	rng      *rand.Rand
	engine   *Engine
	now      time.Duration
	lastID   MessageID
	calls    []pendingEvent    // in flight, with the time of their outcomes
	attempts map[MessageID]int // by message
	ended    int               // messages rejected or failed
	leak     bool
	leaked   []uint64
}

const (
	memoryRounds         = 40
	memoryWarmUpRounds   = 10
	memoryRoundMessages  = 1500
	memoryRoundEndpoints = 15
)

func newMemoryRun(t *testing.T, leak bool) *memoryRun {
	t.Helper()
	settings := testSettings()
	settings.FleetSize = 300
	settings.MaxInFlightCalls = 8
	settings.MaxPendingMessages = 90
	settings.MaxAttempts = 8
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
	return &memoryRun{
		rng:      rand.New(rand.NewPCG(11, 12)),
		engine:   engine,
		now:      time.Minute,
		attempts: map[MessageID]int{},
		leak:     leak,
	}
}

// step applies events and starts the attempts that follow.
func (run *memoryRun) step(events ...Event) {
	for _, a := range run.engine.Step(run.now, events) {
		switch a.Kind {
		case Send:
			latency := time.Duration(20+run.rng.IntN(300)) * time.Millisecond
			run.calls = append(run.calls, pendingEvent{at: run.now + latency, event: Event{
				Kind:      AttemptFinished,
				MessageID: a.MessageID,
				Attempt:   run.attempts[a.MessageID],
				Endpoint:  a.Endpoint,
			}})
			run.attempts[a.MessageID]++
		case Reject, Fail:
			run.ended++
		}
	}
}

// round runs one round: a new list of endpoints, then messages, then pauses until all messages have passed their
// deadlines.
func (run *memoryRun) round(round int) {
	var list []Endpoint
	for i := range memoryRoundEndpoints {
		list = append(list, Endpoint{
			ID:          fmt.Sprintf("r%d-%d", round, i),
			Destination: DestinationID(round*memoryRoundEndpoints + i),
			Kind:        i % 2,
			Zone:        i % 2,
			Weight:      3000,
			InService:   true,
		})
	}
	run.step(Event{Kind: EndpointSnapshot, Endpoints: list})
	for range memoryRoundMessages {
		run.now += 20 * time.Millisecond
		run.step(run.nextEvents(round)...)
	}
	for range 2 {
		run.now += 16 * time.Second
		var events []Event
		for _, c := range run.calls {
			c.event.Outcome = Timeout
			c.event.Latency = 16 * time.Second
			events = append(events, c.event)
		}
		run.calls = run.calls[:0]
		run.step(append(events, Event{Kind: TimerFired})...)
	}
	clear(run.attempts)
}

// nextEvents returns events that submit a message, sometimes cancel one, and end the attempts that are due.
func (run *memoryRun) nextEvents(round int) []Event {
	run.lastID++
	events := []Event{{
		Kind:        MessageAccepted,
		MessageID:   run.lastID,
		Class:       int(run.lastID) % 2,
		Key:         fmt.Sprint("k", run.lastID/3),
		Destination: DestinationID(round*memoryRoundEndpoints + run.rng.IntN(memoryRoundEndpoints)),
		TimeLeft:    5 * time.Second,
	}}
	if run.leak {
		run.leaked = append(run.leaked, uint64(run.lastID))
	}
	if run.rng.IntN(20) == 0 {
		cancelled := run.lastID - MessageID(run.rng.IntN(10))
		events = append(events, Event{Kind: MessageCancelled, MessageID: cancelled})
	}
	inFlight := run.calls[:0]
	for _, c := range run.calls {
		if c.at > run.now {
			inFlight = append(inFlight, c)
			continue
		}
		if run.rng.IntN(4) == 0 {
			c.event.Outcome = Outcome(run.rng.IntN(int(NotSent) + 1))
		}
		c.event.Latency = 100 * time.Millisecond
		c.event.MessageEnded = c.event.Outcome == OK
		events = append(events, c.event)
	}
	run.calls = inFlight
	return events
}

// heapGrowth returns the 95 % confidence interval of the heap's growth, in bytes a message.
func heapGrowth(t *testing.T, leak bool) (lowest, highest float64) {
	t.Helper()
	run := newMemoryRun(t, leak)
	var messages, bytes []float64
	for round := range memoryRounds {
		run.round(round)
		if round < memoryWarmUpRounds {
			continue
		}
		runtime.GC()
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		messages = append(messages, float64(run.lastID))
		bytes = append(bytes, float64(stats.HeapAlloc))
	}
	if run.ended == 0 || len(run.leaked) > 0 != leak {
		t.Fatalf("%d messages rejected or failed, %d leaked: the run tests too little", run.ended, len(run.leaked))
	}
	runtime.KeepAlive(run)
	return slope(messages, bytes)
}

// slope returns the 95 % confidence interval of the slope of a least squares line through 30 points.
func slope(xs, ys []float64) (lowest, highest float64) {
	const studentT = 2.05 // for 28 degrees of freedom
	n := float64(len(xs))
	var meanX, meanY float64
	for i := range xs {
		meanX += xs[i] / n
		meanY += ys[i] / n
	}
	var sumXX, sumXY float64
	for i := range xs {
		sumXX += (xs[i] - meanX) * (xs[i] - meanX)
		sumXY += (xs[i] - meanX) * (ys[i] - meanY)
	}
	estimate := sumXY / sumXX
	var residuals float64
	for i := range xs {
		residual := ys[i] - meanY - estimate*(xs[i]-meanX)
		residuals += residual * residual
	}
	deviation := studentT * math.Sqrt(residuals/(n-2)/sumXX)
	return estimate - deviation, estimate + deviation
}
