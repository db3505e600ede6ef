package discovery

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery/backoff"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Discovery that rejects callers in every way that it has, as after a release that restarts a whole fleet, is called
// again until it answers, from the version that is known, and never by calls side by side.
func TestWatchIsRetriedAfterEveryKindOfFailure(t *testing.T) {
	var calls, open, most atomic.Int64
	ways := []func(w http.ResponseWriter, r *http.Request){
		func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) },
		func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "0.01")
			w.WriteHeader(http.StatusTooManyRequests)
		},
		func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, // the connection breaks
		func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },    // no answer
		func(w http.ResponseWriter, _ *http.Request) { // a head, and nothing after it
			w.(http.Flusher).Flush()
		},
	}
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		if now := open.Add(1); now > most.Load() {
			most.Store(now)
		}
		defer open.Add(-1)
		n := int(calls.Add(1))
		if got := r.URL.Query().Get("index"); got != "4" && n <= len(ways)+1 {
			t.Errorf("call %d: a watch from %q, want 4", n, got)
		}
		if n <= len(ways) {
			ways[n-1](w, r)
			return
		}
		send(w, emptyList+"\n")
		<-r.Context().Done()
	})
	delivered := make(chan List, 8)
	w := NewWatcher(Config{
		Log:         quiet(),
		Client:      NewClient(addrOf(s)),
		IdleTimeout: 50 * time.Millisecond,
		Version:     4,
		HasList:     true,
		OnUpdate:    func(l List) { delivered <- l },
		Backoff:     backoff.Backoff{Clients: 1},
		Rand:        rand.New(rand.NewPCG(1, 2)),
	})
	start(t, w)
	select {
	case l := <-delivered:
		if l.Version != 9 || !l.Full {
			t.Errorf("delivered %+v", l)
		}
	case <-time.After(nettest.Patience):
		t.Errorf("never delivered after %d calls", calls.Load())
	}
	if n := most.Load(); n > 2 { // the server may see the end of one a little after the next has come
		t.Errorf("%d calls side by side", n)
	}
}

// maxSource is a source of random numbers that are as great as they may be.
type maxSource struct{}

func (maxSource) Uint64() uint64 { return math.MaxUint64 }

// A relay that waits before it calls discovery again calls at once where discovery has moved: what the new address has
// binds.
func TestMoveEndsBackoff(t *testing.T) {
	serve := func(version int, stay bool) *httptest.Server {
		s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
			send(w, fmt.Sprintf("{\"version\":%d,\"full\":true,\"servers\":[]}\n", version))
			if stay && r.URL.Query().Get("stream") != "" {
				<-r.Context().Done()
			}
		})
		return s
	}
	old, fresh := serve(5, false), serve(9, true)
	client := NewClient(addrOf(old))
	delivered := make(chan List, 8)
	w := NewWatcher(Config{
		Log:         quiet(),
		Client:      client,
		IdleTimeout: nettest.Patience,
		OnUpdate:    func(l List) { delivered <- l },
		Backoff:     backoff.Backoff{Clients: 1_000_000, Grace: 24 * time.Hour},
		Rand:        rand.New(maxSource{}),
	})
	start(t, w)
	receive := func(version int64) {
		t.Helper()
		select {
		case l := <-delivered:
			if l.Version != version {
				t.Errorf("delivered version %d, want %d", l.Version, version)
			}
		case <-time.After(nettest.Patience):
			t.Fatalf("version %d never delivered", version)
		}
	}
	receive(5) // and the watch has ended, or ends soon: the next call is half a day away
	client.Move(addrOf(fresh))
	receive(9)
}

// Where lists are pushed, what the agent has binds within the grace. It is silent while discovery is down, and answers
// the calls made meanwhile when it is back. So a relay of a fleet of 300 has a call open at nearly all times,
// however many failed before. The times here are those of a clock that stands still while nothing waits: each call's
// silence, and the pauses as they are drawn.
func TestIdleAgentIsCalledWithinTheGrace(t *testing.T) {
	for _, c := range []struct {
		name   string
		poll   bool
		relays int
		grace  time.Duration
		within bool
	}{
		{"pushed, 300 relays", false, 300, time.Second, true},
		{"pushed, 300 relays, short grace", false, 300, 400 * time.Millisecond, true},
		{"pushed, 2 relays", false, 2, time.Second, true},
		// One service answers all of these in turn: calls this soon would jam it. This shows that the test can fail.
		{"polled, 300 relays", true, 300, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			grace := c.grace
			var settings policy.Settings
			settings.FleetSize, settings.WatchRequired = c.relays, c.poll
			caller, rng := NewBackoff(settings, grace), rand.New(maxSource{})
			if first := caller.InitialDelay(rng); first > c.grace {
				t.Errorf("the first call comes after %v", first)
			}
			caller.Succeeded()
			// A watch becomes idle right after a line; the next ones are never answered.
			clock, uncalled := WatchIdleTimeout, time.Duration(0)
			if again := caller.Failed(rng, 0); clock+again > 6*time.Second {
				t.Errorf("called again %v after the watch became idle, when what it missed binds already", clock+again)
			}
			for range 6 { // as if they had failed at once, which gives the longest pauses
				uncalled = max(uncalled, caller.Failed(rng, 0))
			}
			if ok := uncalled <= c.grace; ok != c.within {
				t.Errorf("not called for %v at a time, of a grace of %v", uncalled, c.grace)
			}
		})
	}
}

// The same on real connections: an agent that takes calls and says nothing, until it is back.
func TestCallsToIdleAgentAreAnswered(t *testing.T) {
	back := make(chan struct{})
	var calls atomic.Int64
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		n := calls.Add(1)
		select {
		case <-back:
		case <-r.Context().Done():
			if n == 4 {
				close(back)
			}
			return
		}
		send(w, emptyList+"\n")
		<-r.Context().Done()
	})
	delivered := make(chan List, 8)
	grace := 400 * time.Millisecond
	var settings policy.Settings
	settings.FleetSize = 300
	w := NewWatcher(Config{
		Log:         quiet(),
		Client:      NewClient(addrOf(s)),
		IdleTimeout: 30 * time.Millisecond,
		HasList:     true,
		OnUpdate:    func(l List) { delivered <- l },
		Backoff:     NewBackoff(settings, grace),
		Rand:        rand.New(maxSource{}),
	})
	began := time.Now()
	start(t, w)
	select {
	case <-delivered:
	case <-time.After(nettest.Patience):
		t.Fatal("never delivered")
	}
	// Four silent calls and the pauses between; as one of a fleet that polls, the pauses alone are over twenty seconds.
	t.Logf("delivered after %v and %d calls", time.Since(began), calls.Load())
}

// deliveredWithin is when a change counts as delivered: so long after discovery had it and could be reached, however
// the calls before went. callTakes is left of it for the call that finds it.
const (
	deliveredWithin = 6 * time.Second
	callTakes       = 400 * time.Millisecond
)

// However many relays share discovery and however their calls fail, the next call begins in time. The clock is that of
// the calls and pauses alone; the worst moment for discovery to be back is right after a call began that comes to
// nothing.
func TestNextCallComesInTime(t *testing.T) {
	ways := map[string]time.Duration{
		"refused":       0,
		"turned away":   2 * time.Second,
		"not connected": time.Second,
		"silent":        WatchIdleTimeout,
	}
	for _, poll := range []bool{false, true} {
		for _, relays := range []int{1, 2, 6, 7, 12, 24, 80, 300, 1000, 2600} {
			for _, grace := range []time.Duration{400 * time.Millisecond, time.Second, 2 * time.Second} {
				grace := grace
				var settings policy.Settings
				settings.FleetSize, settings.WatchRequired = relays, poll
				worst, at := time.Duration(0), ""
				note := func(d time.Duration, how string) {
					if d > worst {
						worst, at = d, how
					}
				}
				for seed := range uint64(50) {
					rng := rand.New(rand.NewPCG(seed, 9))
					if seed == 0 {
						rng = rand.New(maxSource{})
					}
					caller := NewBackoff(settings, grace)
					note(caller.InitialDelay(rng), "the first call")
					for range 3 {
						caller.Succeeded() // a watch, which becomes idle
						note(WatchIdleTimeout+caller.Failed(rng, WatchIdleTimeout), "after a watch")
						for i := range 12 {
							for way, took := range ways {
								note(took+caller.Failed(rng, took), fmt.Sprintf("after call %d, %s", i, way))
							}
						}
					}
				}
				if worst+callTakes > deliveredWithin {
					t.Errorf("%d relays, polled %v, grace %v: no call for %v, %s", relays, poll, grace, worst, at)
				}
			}
		}
	}
}

// The same on real connections: discovery fails two calls, and has a new list from the moment on at which the second
// has begun.
func TestListIsDeliveredSoonAfterOutage(t *testing.T) {
	reject := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	broken := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for _, c := range []struct {
		name   string
		poll   bool
		relays int
		fail   http.HandlerFunc
	}{
		{"refused, 300 poll", true, 300, reject},
		{"refused, 2600 poll", true, 2600, reject},
		{"given up, 2600 poll", true, 2600, silent},
		{"broken off, 80 poll", true, 80, broken},
		{"given up, pushed to 300", false, 300, silent},
		{"refused, 3 poll", true, 3, reject},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var settings policy.Settings
			settings.FleetSize = c.relays
			settings.WatchRequired = c.poll
			if took := outage(t, settings, c.fail); took > deliveredWithin {
				t.Errorf("delivered after %v", took)
			} else {
				t.Logf("delivered after %v", took)
			}
		})
	}
}

// outage has two calls of a watcher fail, and returns how long after the beginning of the second it has the list.
func outage(t *testing.T, settings policy.Settings, fail http.HandlerFunc) time.Duration {
	t.Helper()
	var calls atomic.Int64
	available := make(chan time.Time, 1)
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		n := calls.Add(1)
		if n == 2 {
			available <- time.Now()
		}
		if n <= 2 {
			fail(w, r)
			return
		}
		send(w, emptyList+"\n")
		<-r.Context().Done()
	})
	delivered := make(chan time.Time, 8)
	start(t, NewWatcher(Config{
		Log:         quiet(),
		Client:      NewClient(addrOf(s)),
		IdleTimeout: WatchIdleTimeout,
		HasList:     true,
		Version:     4,
		OnUpdate:    func(List) { delivered <- time.Now() },
		Backoff:     NewBackoff(settings, time.Second),
		Rand:        rand.New(maxSource{}),
	}))
	var since time.Time
	select {
	case since = <-available:
	case <-time.After(nettest.Patience):
		t.Fatal("no second call")
	}
	select {
	case at := <-delivered:
		return at.Sub(since)
	case <-time.After(nettest.Patience):
		t.Fatal("never delivered")
	}
	return 0
}

// A watch that is cut off says nothing: silence alone tells, and the next resumes where it ended.
func TestIdleWatchIsResumed(t *testing.T) {
	indexes := make(chan string, 10)
	s := newServer(t, func(w http.ResponseWriter, req *http.Request) {
		indexes <- req.URL.Query().Get("index")
		send(w, emptyList+"\n")
		<-req.Context().Done()
	})
	delivered := make(chan List, 10)
	w := NewWatcher(Config{
		Log:         quiet(),
		Client:      NewClient(addrOf(s)),
		IdleTimeout: 50 * time.Millisecond,
		Version:     4,
		OnUpdate:    func(l List) { delivered <- l },
	})
	start(t, w)
	for _, want := range []string{"4", "9"} {
		select {
		case got := <-indexes:
			if l := <-delivered; got != want || l.Version != 9 || !l.Full {
				t.Errorf("watch from %s, want %s; delivered %+v", got, want, l)
			}
		case <-time.After(nettest.Patience):
			t.Fatalf("no watch from %s", want)
		}
	}
}

// A line that cannot be read would come again and again if the watch began from its version: the whole list makes up
// for it, and changes that it holds already are not undone by older lines.
func TestUnreadableLineCausesFetch(t *testing.T) {
	var watches atomic.Int32
	s := newServer(t, func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Query().Get("stream") == "" {
			send(w, `{"version":7,"full":true,"servers":[]}`+"\n")
			return
		}
		watches.Add(1)
		send(w, `{"version":5,"servers":[{"id`+"\n")
		send(w, `{"version":6,"full":false,"servers":[]}`+"\n")
		send(w, `{"version":8,"full":false,"servers":[]}`+"\n")
		<-req.Context().Done()
	})
	delivered := make(chan List, 10)
	w := NewWatcher(Config{
		Log:         quiet(),
		Client:      NewClient(addrOf(s)),
		IdleTimeout: nettest.Patience,
		Version:     4,
		OnUpdate:    func(l List) { delivered <- l },
	})
	start(t, w)
	for _, want := range []int64{7, 8} {
		select {
		case l := <-delivered:
			if l.Version != want || l.Full != (want == 7) {
				t.Errorf("delivered %+v, want version %d", l, want)
			}
		case <-time.After(nettest.Patience):
			t.Fatalf("never delivered version %d", want)
		}
	}
	if n := watches.Load(); n != 1 {
		t.Errorf("%d watches", n)
	}
}
