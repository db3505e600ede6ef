package backoff

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// service answers calls in turn; one that would wait longer than patience is turned away, one that does is given up on,
// answered all the same and of no use.
type service struct {
	each     time.Duration // for a call
	patience time.Duration
	free     time.Duration // when it has done with all that it took
}

const wayThere = 200 * time.Millisecond // and back

type due struct {
	at     time.Duration
	client int
	gaveUp bool // this is when the client learns that its call came to nothing
}

type agenda []due

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(due)) }
func (a *agenda) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

// allAnswered plays clients that all have to call at 0, and returns when the last had its answer; false if that is not
// within a minute.
func allAnswered(
	s service,
	n int,
	seed uint64,
	first func(*Backoff, *rand.Rand) time.Duration,
	failed func(c *Backoff, rng *rand.Rand, took time.Duration) time.Duration,
) (time.Duration, bool) {
	rng := rand.New(rand.NewPCG(seed, 1))
	callers := make([]Backoff, n)
	var a agenda
	for i := range callers {
		callers[i] = Backoff{Clients: n, Grace: time.Second}
		heap.Push(&a, due{at: first(&callers[i], rng), client: i})
	}
	left, last := n, time.Duration(0)
	for left > 0 && len(a) > 0 {
		d := heap.Pop(&a).(due)
		if d.at > time.Minute {
			return 0, false
		}
		c := &callers[d.client]
		if d.gaveUp {
			heap.Push(&a, due{at: d.at + failed(c, rng, s.patience), client: d.client})
			continue
		}
		// What would have to wait too long is turned away; what is taken may still be answered too late.
		if s.free-d.at > s.patience {
			heap.Push(&a, due{at: d.at + failed(c, rng, 0), client: d.client})
			continue
		}
		s.free = max(s.free, d.at) + s.each
		if s.free-d.at > s.patience-wayThere {
			heap.Push(&a, due{at: d.at + s.patience, client: d.client, gaveUp: true})
			continue
		}
		left--
		last = max(last, s.free)
	}
	return last, true
}

// All have their answers within a few times the time that the service needs for one call of each, whatever that is, and
// whether their first calls come together or at any moment of a period. The pauses of few clients, used by many, jam
// it, and so do pauses that are drawn from all of the period: the test can fail.
func TestManyThatCallAtOnceAreAllAnswered(t *testing.T) {
	jammed, spread := false, false
	anyMoment := func(_ *Backoff, rng *rand.Rand) time.Duration { return time.Duration(rng.Float64() * float64(period)) }
	for _, n := range []int{1, 3, 8, 16, 36, 48, 80, 300, 2600} {
		for _, all := range []time.Duration{2 * time.Second, 8 * time.Second} {
			for seed := range uint64(20) {
				s := service{each: all / time.Duration(max(n, 12)), patience: 2 * time.Second}
				bound := 5*all + 2*time.Second
				for i, first := range []func(*Backoff, *rand.Rand) time.Duration{(*Backoff).InitialDelay, anyMoment} {
					took, ok := allAnswered(s, n, seed, first, (*Backoff).Failed)
					if !ok || took > bound {
						t.Errorf(
							"%d clients, %v for all, first calls %d, seed %d: %v, %v, not within %v",
							n,
							all,
							i,
							seed,
							took,
							ok,
							bound,
						)
					}
				}
				took, ok := allAnswered(
					s,
					n,
					seed,
					(*Backoff).InitialDelay,
					func(c *Backoff, rng *rand.Rand, _ time.Duration) time.Duration {
						return pauseFirst + time.Duration(rng.Float64()*float64(period))
					},
				)
				spread = spread || !ok || took > bound
				took, ok = allAnswered(s, n, seed, func(*Backoff, *rand.Rand) time.Duration { return 0 },
					func(c *Backoff, _ *rand.Rand, _ time.Duration) time.Duration {
						k := min(c.failed, 10)
						c.failed++
						return min(pauseMost, pauseFirst<<k)
					})
				jammed = jammed || !ok || took > bound
			}
		}
	}
	if !jammed || !spread {
		t.Error(
			"the pauses of few clients, used by many, or pauses of any length never jam it: this test shows nothing",
		)
	}
}

// Few clients neither wait at first nor long.
func TestFewCallAtOnce(t *testing.T) {
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
func TestCallsThatMayFindNewsComeSoon(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	const grace = time.Second
	for _, n := range []int{7, 80, 300, 100_000} {
		c := Backoff{Clients: n, Grace: grace}
		first, after := time.Duration(0), time.Duration(0)
		for range 1000 {
			d := c.InitialDelay(rng)
			first, after = max(first, d), max(after, c.Failed(rng, 0))
			c.Succeeded()
			if again := c.Failed(rng, 0); d > grace/2 || again > grace/2+pauseFirst {
				t.Fatalf("%d clients: first call after %v, again %v after one that was answered", n, d, again)
			}
		}
		if want := grace / 2; first < want*9/10 {
			t.Errorf("%d clients: first calls within %v, not spread over %v", n, first, want)
		}
		if after > 5*time.Second+pauseFirst || after < min(4*time.Second, time.Duration(n)*share/2) {
			t.Errorf("%d clients: %v after a call that failed", n, after)
		}
	}
}

// However often their calls fail, few clients call again within their part of the grace.
func TestFewCallAgainWithinTheGrace(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for _, grace := range []time.Duration{200 * time.Millisecond, time.Second, 10 * time.Second} {
		c := Backoff{Clients: 1, Grace: grace}
		for i := range 20 {
			if d := c.Failed(rng, 0); d > grace/2 || d > pauseMost {
				t.Errorf("grace %v: pause %d is %v", grace, i, d)
			}
		}
	}
}
