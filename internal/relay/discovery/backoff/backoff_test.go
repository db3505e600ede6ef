package backoff

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// service simulates a service that answers calls in the order of their arrival. It rejects a call that would wait
// longer than patience. It also spends time on answering a call that its client has given up on.
type service struct {
	perCall  time.Duration
	patience time.Duration
	freeAt   time.Duration // when all accepted calls are answered
}

const roundTrip = 200 * time.Millisecond

// clientCall is a simulated event: a client makes a call, or gives up its last call.
type clientCall struct {
	at     time.Duration
	client int
	gaveUp bool // the client gives up its last call and makes no call
}

// eventQueue is a heap of clientCalls, the earliest first.
type eventQueue []clientCall

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(clientCall)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

type (
	initialDelay func(b *Backoff, rng *rand.Rand) time.Duration
	retryDelay   func(b *Backoff, rng *rand.Rand, took time.Duration) time.Duration
)

// allAnswered simulates n clients that all have to call at time 0. It returns when the last client had its answer, or
// false if that takes more than a minute.
func allAnswered(s service, n int, seed uint64, initial initialDelay, retry retryDelay) (time.Duration, bool) {
	rng := rand.New(rand.NewPCG(seed, 1))
	clients := make([]Backoff, n)
	var queue eventQueue
	for i := range clients {
		clients[i] = Backoff{Clients: n, Grace: time.Second}
		heap.Push(&queue, clientCall{at: initial(&clients[i], rng), client: i})
	}
	last := time.Duration(0)
	for left := n; left > 0 && len(queue) > 0; {
		call := heap.Pop(&queue).(clientCall)
		if call.at > time.Minute {
			return 0, false
		}
		b := &clients[call.client]
		queued := s.freeAt - call.at
		switch {
		case call.gaveUp:
			heap.Push(&queue, clientCall{at: call.at + retry(b, rng, s.patience), client: call.client})
			continue
		case queued > s.patience: // rejected; an accepted call may still be answered too late
			heap.Push(&queue, clientCall{at: call.at + retry(b, rng, 0), client: call.client})
			continue
		}
		s.freeAt = max(s.freeAt, call.at) + s.perCall
		if s.freeAt-call.at > s.patience-roundTrip {
			heap.Push(&queue, clientCall{at: call.at + s.patience, client: call.client, gaveUp: true})
			continue
		}
		left--
		last = max(last, s.freeAt)
	}
	return last, true
}

// All clients have their answers within a small multiple of the time that the service needs to answer one call of each.
// This holds whether the first calls are made as by InitialDelay or spread over maxInterval.
func TestManyClientsAreAllAnswered(t *testing.T) {
	initials := map[string]initialDelay{"after InitialDelay": (*Backoff).InitialDelay, "spread evenly": uniformDelay}
	forEachLoad(func(n int, total time.Duration, seed uint64) {
		for name, initial := range initials {
			took, ok := allAnswered(newService(n, total), n, seed, initial, (*Backoff).Failed)
			if !ok || took > answeredWithin(total) {
				t.Errorf("%d clients, service time %v, first calls %s, seed %d: answered after %v (%v), want within %v",
					n, total, name, seed, took, ok, answeredWithin(total))
			}
		}
	})
}

// Shows that TestManyClientsAreAllAnswered can fail: if many clients use the delays of a small group, or delays that
// are drawn from all of maxInterval, the service stays overloaded.
func TestOtherDelaysJamTheService(t *testing.T) {
	atOnce := func(*Backoff, *rand.Rand) time.Duration { return 0 }
	smallGroup := func(b *Backoff, _ *rand.Rand, _ time.Duration) time.Duration {
		doublings := min(b.failures, maxDoublings)
		b.failures++
		return min(maxDelay, minDelay<<doublings)
	}
	evenlySpread := func(b *Backoff, rng *rand.Rand, _ time.Duration) time.Duration {
		return minDelay + uniformDelay(b, rng)
	}
	for name, delays := range map[string]struct {
		initial initialDelay
		retry   retryDelay
	}{
		"of a small group": {atOnce, smallGroup},
		"evenly spread":    {(*Backoff).InitialDelay, evenlySpread},
	} {
		overloaded := false
		forEachLoad(func(n int, total time.Duration, seed uint64) {
			took, ok := allAnswered(newService(n, total), n, seed, delays.initial, delays.retry)
			overloaded = overloaded || !ok || took > answeredWithin(total)
		})
		if !overloaded {
			t.Errorf("delays %s never overload the service: TestManyClientsAreAllAnswered cannot fail", name)
		}
	}
}

// uniformDelay returns a delay drawn evenly from 0 to maxInterval.
func uniformDelay(_ *Backoff, rng *rand.Rand) time.Duration {
	return time.Duration(rng.Float64() * float64(maxInterval))
}

// forEachLoad calls run for several numbers of clients n, 20 seeds each. total is the time that the service needs to
// answer one call of each client.
func forEachLoad(run func(n int, total time.Duration, seed uint64)) {
	for _, n := range []int{1, 3, 8, 16, 36, 48, 80, 300, 2600} {
		for _, total := range []time.Duration{2 * time.Second, 8 * time.Second} {
			for seed := range uint64(20) {
				run(n, total, seed)
			}
		}
	}
}

// newService returns a service that needs total to answer one call of each of n clients, or of 12 clients if n is
// smaller.
func newService(n int, total time.Duration) service {
	return service{perCall: total / time.Duration(max(n, 12)), patience: 2 * time.Second}
}

// answeredWithin returns the time within which the last client must have its answer.
func answeredWithin(total time.Duration) time.Duration { return 5*total + 2*time.Second }

// The clients of a small group make their first calls at once, and their retry delays are short.
func TestSmallGroupCallsAtOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	c := Backoff{Clients: 3}
	if d := c.InitialDelay(rng); d != 0 {
		t.Errorf("first call after %v, want 0", d)
	}
	for i, want := range []time.Duration{50, 100, 200, 400, 800, 1000, 1000} {
		if d := c.Failed(rng, 0); d != want*time.Millisecond {
			t.Errorf("delay %d: %v, want %v", i, d, want*time.Millisecond)
		}
	}
	c.Succeeded()
	if d := c.Failed(rng, 0); d != 50*time.Millisecond {
		t.Errorf("delay after an answered call: %v, want 50ms", d)
	}
}

// For any number of clients, a client's first call comes well within the grace after its start, and so does the call
// after a response that has ended: the grace of a change at the service begins at that moment. After a failed call, the
// next call comes within six seconds.
func TestCallsThatMayFindNewsComeWithinGrace(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	const grace = time.Second
	for _, n := range []int{7, 80, 300, 100_000} {
		c := Backoff{Clients: n, Grace: grace}
		first, after := time.Duration(0), time.Duration(0)
		for range 1000 {
			d := c.InitialDelay(rng)
			first, after = max(first, d), max(after, c.Failed(rng, 0))
			c.Succeeded()
			if again := c.Failed(rng, 0); d > grace/2 || again > grace/2+minDelay {
				t.Fatalf("%d clients: first call after %v, next call %v after a response that has ended", n, d, again)
			}
		}
		if want := grace / 2; first < want*9/10 {
			t.Errorf("%d clients: first calls within %v, want them spread over %v", n, first, want)
		}
		if after > 5*time.Second+minDelay || after < min(4*time.Second, time.Duration(n)*spreadPerClient/2) {
			t.Errorf("%d clients: next call up to %v after a failed call", n, after)
		}
	}
}

// However often their calls fail, the clients of a small group call again within half of the grace.
func TestSmallGroupRetriesWithinGrace(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for _, grace := range []time.Duration{200 * time.Millisecond, time.Second, 10 * time.Second} {
		c := Backoff{Clients: 1, Grace: grace}
		for i := range 20 {
			if d := c.Failed(rng, 0); d > grace/2 || d > maxDelay {
				t.Errorf("grace %v: delay %d is %v", grace, i, d)
			}
		}
	}
}
