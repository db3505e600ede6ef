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

// Discovery may fail calls in many ways, for example after a release that restarts a whole fleet. The watcher calls
// again until discovery answers, starts each watch from the version that it has, and makes one call at a time.
func TestWatchIsRetriedAfterEveryKindOfFailure(t *testing.T) {
	var calls, open, maxOpen atomic.Int64
	failures := []func(w http.ResponseWriter, r *http.Request){
		func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) },
		func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "0.01")
			w.WriteHeader(http.StatusTooManyRequests)
		},
		func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, // closes the connection
		func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },    // never answers
		func(w http.ResponseWriter, _ *http.Request) { // headers, but no body
			w.(http.Flusher).Flush()
		},
	}
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		if now := open.Add(1); now > maxOpen.Load() {
			maxOpen.Store(now)
		}
		defer open.Add(-1)
		n := int(calls.Add(1))
		if got := r.URL.Query().Get("index"); got != "4" && n <= len(failures)+1 {
			t.Errorf("call %d: watch from version %q, want 4", n, got)
		}
		if n <= len(failures) {
			failures[n-1](w, r)
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
	if n := maxOpen.Load(); n > 2 { // the server may notice the end of a call shortly after the next one began
		t.Errorf("%d concurrent calls", n)
	}
}

// maxSource is a random source that always returns the largest number, so that delays are as long as possible.
type maxSource struct{}

func (maxSource) Uint64() uint64 { return math.MaxUint64 }

// If discovery moves while a watcher waits before its next call, the watcher calls the new address at once: the list
// there applies already.
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
	receive(5) // the watch has ended or is about to end: the next call is due in half a day
	client.Move(addrOf(fresh))
	receive(9)
}

// Where lists are pushed, a relay must follow a change within the grace after its agent has the change. While discovery
// is down, the agent does not answer. When discovery is back, the agent answers the calls that were made in the
// meantime. So a relay of a fleet of 300 must have a call open at nearly all times, however many of its calls failed
// before. The test uses no real clock: it adds up the idle time of the calls and the delays as they are drawn.
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
		// A single service answers all these relays in turn. Calls as soon as in the other cases would overload the
		// service. This case shows that the test can fail.
		{"polled, 300 relays", true, 300, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			grace := c.grace
			var settings policy.Settings
			settings.FleetSize, settings.WatchRequired = c.relays, c.poll
			caller, rng := NewBackoff(settings, grace), rand.New(maxSource{})
			if first := caller.InitialDelay(rng); first > c.grace {
				t.Errorf("first call after %v, want within %v", first, c.grace)
			}
			caller.Succeeded()
			// The watch becomes idle right after a line, and the agent answers none of the calls that follow.
			clock, longestGap := WatchIdleTimeout, time.Duration(0)
			if again := caller.Failed(rng, 0); clock+again > 6*time.Second {
				t.Errorf("next call %v after the last line, want within 6s, when a missed change applies", clock+again)
			}
			for range 6 { // calls that fail at once have the longest delays
				longestGap = max(longestGap, caller.Failed(rng, 0))
			}
			if ok := longestGap <= c.grace; ok != c.within {
				t.Errorf("no call for up to %v, grace %v, want within the grace: %v", longestGap, c.grace, c.within)
			}
		})
	}
}

// On real connections, an agent accepts calls and does not answer them until it is back. A relay of a fleet of 300
// receives the list then.
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
	// The time is that of four unanswered calls and the delays between them. In a fleet that polls, the delays alone
	// would take over twenty seconds.
	t.Logf("delivered after %v and %d calls", time.Since(began), calls.Load())
}

// deliveredWithin is the time after which a change counts as delivered, from the moment at which discovery has it and
// can be reached, however earlier calls ended. callAllowance is the part of this time for the call that reads the
// change.
const (
	deliveredWithin = 6 * time.Second
	callAllowance   = 400 * time.Millisecond
)

// However many relays share discovery and however their calls fail, the next call begins in time. The test uses no real
// clock: it adds up the durations of calls and delays. In the worst case, discovery is back right after the start of a
// call that will fail.
func TestNextCallComesInTime(t *testing.T) {
	failures := map[string]time.Duration{
		"refused":       0,
		"rejected late": 2 * time.Second,
		"not connected": time.Second,
		"unanswered":    WatchIdleTimeout,
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
						caller.Succeeded() // a watch that then becomes idle
						note(WatchIdleTimeout+caller.Failed(rng, WatchIdleTimeout), "after a watch")
						for i := range 12 {
							for way, took := range failures {
								note(took+caller.Failed(rng, took), fmt.Sprintf("after call %d, %s", i, way))
							}
						}
					}
				}
				if worst+callAllowance > deliveredWithin {
					t.Errorf("%d relays, polling %v, grace %v: no call for %v, %s", relays, poll, grace, worst, at)
				}
			}
		}
	}
}

// On real connections, discovery fails two calls and has a new list from the start of the second call on. The watcher
// delivers the list in time.
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
			if took := measureDelivery(t, settings, c.fail); took > deliveredWithin {
				t.Errorf("delivered after %v", took)
			} else {
				t.Logf("delivered after %v", took)
			}
		})
	}
}

// measureDelivery makes a watcher's first two calls fail. It returns the time from the start of the second call until
// the watcher delivers the list.
func measureDelivery(t *testing.T, settings policy.Settings, fail http.HandlerFunc) time.Duration {
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

// If the network is interrupted, missing lines are the only sign that a watch has ended. The next watch resumes from
// the version that the idle one has reached.
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
				t.Errorf("watch from version %s, want %s; delivered %+v", got, want, l)
			}
		case <-time.After(nettest.Patience):
			t.Fatalf("no watch from version %s", want)
		}
	}
}

// If a watch started again from the version before an unreadable line, it would receive that line again and again. The
// watcher fetches the full list instead. Older lines that follow do not undo changes that the full list holds already.
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
		t.Errorf("%d watches, want 1", n)
	}
}
