package backoff

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// service answers calls in turn. It rejects a call that would wait longer than patience. It answers also a call that
// its client has given up on, and that answer is of no use.
type service struct {
	perCall  time.Duration
	patience time.Duration
	freeAt   time.Duration // when the queue is worked off
}

const roundTrip = 200 * time.Millisecond

// clientCall is a call that a client is about to make, or learns to have failed.
type clientCall struct {
	at     time.Duration
	client int
	gaveUp bool // the client's patience ends now
}

// agenda is a heap of calls by their time.
type agenda []clientCall

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(clientCall)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

type (
	initialDelay func(b *Backoff, rng *rand.Rand) time.Duration
	retryDelay   func(b *Backoff, rng *rand.Rand, took time.Duration) time.Duration
)

// allAnswered simulates n clients that all have to call at 0, and returns when the last had its answer; false if that
// is not within a minute.
func allAnswered(s service, n int, seed uint64, initial initialDelay, retry retryDelay) (time.Duration, bool) {
	rng := rand.New(rand.NewPCG(seed, 1))
	clients := make([]Backoff, n)
	var a agenda
	for i := range clients {
		clients[i] = Backoff{Clients: n, Grace: time.Second}
		heap.Push(&a, clientCall{at: initial(&clients[i], rng), client: i})
	}
	last := time.Duration(0)
	for left := n; left > 0 && len(a) > 0; {
		call := heap.Pop(&a).(clientCall)
		if call.at > time.Minute {
			return 0, false
		}
		b := &clients[call.client]
		queued := s.freeAt - call.at
		switch {
		case call.gaveUp:
			heap.Push(&a, clientCall{at: call.at + retry(b, rng, s.patience), client: call.client})
			continue
		case queued > s.patience: // rejected; a call that is accepted may still be answered too late
			heap.Push(&a, clientCall{at: call.at + retry(b, rng, 0), client: call.client})
			continue
		}
		s.freeAt = max(s.freeAt, call.at) + s.perCall
		if s.freeAt-call.at > s.patience-roundTrip {
			heap.Push(&a, clientCall{at: call.at + s.patience, client: call.client, gaveUp: true})
			continue
		}
		left--
		last = max(last, s.freeAt)
	}
	return last, true
}

// All clients have their answers within a few times the time that the service needs for one call of each, whatever that
// is, and whether their first calls come together or at any moment of an interval.
func TestManyClientsAreAllAnswered(t *testing.T) {
	initials := map[string]initialDelay{"together": (*Backoff).InitialDelay, "at any moment": anyMoment}
	forEachLoad(func(n int, all time.Duration, seed uint64) {
		for name, initial := range initials {
			took, ok := allAnswered(loaded(n, all), n, seed, initial, (*Backoff).Failed)
			if !ok || took > answeredWithin(all) {
				t.Errorf("%d clients, %v for all, first calls %s, seed %d: %v, %v, not within %v",
					n, all, name, seed, took, ok, answeredWithin(all))
			}
		}
	})
}

// The delays of a small group, used by many clients, jam the service, and so do delays that are drawn from all of the
// interval: TestManyClientsAreAllAnswered can fail.
func TestOtherDelaysJamTheService(t *testing.T) {
	atOnce := func(*Backoff, *rand.Rand) time.Duration { return 0 }
	smallGroup := func(b *Backoff, _ *rand.Rand, _ time.Duration) time.Duration {
		doublings := min(b.failures, maxDoublings)
		b.failures++
		return min(maxDelay, minDelay<<doublings)
	}
	evenlySpread := func(b *Backoff, rng *rand.Rand, _ time.Duration) time.Duration {
		return minDelay + anyMoment(b, rng)
	}
	for name, delays := range map[string]struct {
		initial initialDelay
		retry   retryDelay
	}{
		"of a small group": {atOnce, smallGroup},
		"evenly spread":    {(*Backoff).InitialDelay, evenlySpread},
	} {
		jammed := false
		forEachLoad(func(n int, all time.Duration, seed uint64) {
			took, ok := allAnswered(loaded(n, all), n, seed, delays.initial, delays.retry)
			jammed = jammed || !ok || took > answeredWithin(all)
		})
		if !jammed {
			t.Errorf("delays %s never jam it: TestManyClientsAreAllAnswered shows nothing", name)
		}
	}
}

// anyMoment is a delay of up to an interval.
func anyMoment(_ *Backoff, rng *rand.Rand) time.Duration {
	return time.Duration(rng.Float64() * float64(maxInterval))
}

// forEachLoad calls play for numbers of clients and the time that the service needs for a call of each.
func forEachLoad(play func(n int, all time.Duration, seed uint64)) {
	for _, n := range []int{1, 3, 8, 16, 36, 48, 80, 300, 2600} {
		for _, all := range []time.Duration{2 * time.Second, 8 * time.Second} {
			for seed := range uint64(20) {
				play(n, all, seed)
			}
		}
	}
}

// loaded is a service that needs so long for a call of each client.
func loaded(n int, all time.Duration) service {
	return service{perCall: all / time.Duration(max(n, 12)), patience: 2 * time.Second}
}

// answeredWithin is when the last client has to have its answer.
func answeredWithin(all time.Duration) time.Duration { return 5*all + 2*time.Second }

// Few clients neither wait at first nor long.
func TestSmallGroupCallsAtOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	c := Backoff{Clients: 3}
	if d := c.InitialDelay(rng); d != 0 {
		t.Errorf("first after %v", d)
	}
	for i, want := range []time.Duration{50, 100, 200, 400, 800, 1000, 1000} {
		if d := c.Failed(rng, 0); d != want*time.Millisecond {
			t.Errorf("pause %d: %v", i, d)
		}
	}
	c.Succeeded()
	if d := c.Failed(rng, 0); d != 50*time.Millisecond {
		t.Errorf("after an answer: %v", d)
	}
}

// However many they are, a client's first call comes well within the grace after its start, and so does the one after a
// call whose answer has ended: news that the service has binds from then on. After one that failed the next is less
// than six seconds away.
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
				t.Fatalf("%d clients: first call after %v, again %v after one that was answered", n, d, again)
			}
		}
		if want := grace / 2; first < want*9/10 {
			t.Errorf("%d clients: first calls within %v, not spread over %v", n, first, want)
		}
		if after > 5*time.Second+minDelay || after < min(4*time.Second, time.Duration(n)*spreadPerClient/2) {
			t.Errorf("%d clients: %v after a call that failed", n, after)
		}
	}
}

// However often their calls fail, few clients call again within their part of the grace.
func TestSmallGroupRetriesWithinGrace(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for _, grace := range []time.Duration{200 * time.Millisecond, time.Second, 10 * time.Second} {
		c := Backoff{Clients: 1, Grace: grace}
		for i := range 20 {
			if d := c.Failed(rng, 0); d > grace/2 || d > maxDelay {
				t.Errorf("grace %v: pause %d is %v", grace, i, d)
			}
		}
	}
}
