package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/internal/testkit/discoverytest"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// listAgent is discovery's agent: it writes to its watch what a test says, and gives the whole list as it is asked for.
type listAgent struct {
	*httptest.Server
	indexes chan string // of the watches
	texts   chan []byte
	written chan time.Time // when each was
	asked   atomic.Int32   // for the whole list

	mu    sync.Mutex
	whole func(w http.ResponseWriter, r *http.Request)
}

func newListAgent(t *testing.T) *listAgent {
	a := &listAgent{indexes: make(chan string, 1000), texts: make(chan []byte, 8), written: make(chan time.Time, 8)}
	a.whole = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	a.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("stream") == "" {
			a.asked.Add(1)
			a.mu.Lock()
			whole := a.whole
			a.mu.Unlock()
			whole(w, r)
			return
		}
		a.indexes <- r.URL.Query().Get("index")
		for {
			select {
			case text := <-a.texts:
				text, cut := bytes.CutSuffix(text, []byte("CUT"))
				w.Write(text)
				w.(http.Flusher).Flush()
				a.written <- time.Now()
				if cut {
					panic(http.ErrAbortHandler)
				}
			case <-time.After(20 * time.Millisecond):
				io.WriteString(w, "\n")
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { a.CloseClientConnections(); a.Close() })
	return a
}

func (a *listAgent) give(whole func(w http.ResponseWriter, r *http.Request)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.whole = whole
}

// follow has a relay watch an agent until the test ends. The loop is the test's part, see drive, or runs if it was
// begun.
func follow(t *testing.T, r *Relay, a *listAgent, change ...func(*discovery.Config)) {
	t.Helper()
	r.agent.Move(addrOf(a.Server))
	cfg := r.discoveryConfig()
	for _, f := range change {
		f(&cfg)
	}
	w := discovery.NewWatcher(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); w.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		for {
			select {
			case e := <-r.events:
				if p, ok := e.(partEvent); ok {
					p.part.Reply <- true
				}
			case <-ended:
				return
			}
		}
	})
}

// drive takes the loop's part until ok holds.
func drive(t *testing.T, r *Relay, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(nettest.Patience); !ok(); {
		select {
		case e := <-r.events:
			if batch := r.collect(nil, e); len(batch) > 0 || len(r.deferredEvents) > 0 {
				r.step(batch)
			}
		case <-time.After(time.Millisecond):
			r.step(nil)
		}
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// tell has the agent write a text to its watch, and the loop take what comes meanwhile.
func (a *listAgent) tell(t *testing.T, r *Relay, text []byte) {
	t.Helper()
	a.texts <- text
	drive(t, r, "the agent has written", func() bool {
		select {
		case <-a.written:
			return true
		default:
			return false
		}
	})
}

// liveText is the entry of a host that answers.
func liveText(id, addr string, dest int, state string) string {
	return fmt.Sprintf(
		`{"id":%q,"addr":%q,"zone":"a","kind":"gateway","cell":%d,"state":%q,"weight":50}`,
		id,
		addr,
		dest,
		state,
	)
}

// delivered hands messages in and has the loop go on until each has been delivered.
func (r *Relay) deliver(t *testing.T, requests *atomic.Int32, ids string, dests ...int) {
	t.Helper()
	was := int(requests.Load())
	for i, dest := range dests {
		if a := decide(r, newHandIn(fmt.Sprint(ids, i), dest, 9*time.Second))[0]; a.Status != http.StatusAccepted {
			t.Fatalf("destination %d: %+v", dest, a)
		}
	}
	drive(
		t,
		r,
		fmt.Sprintf("%d messages of %q are delivered", len(dests), ids),
		func() bool { return int(requests.Load()) == was+len(dests) && len(r.activeCalls) == 0 },
	)
}

func answers(_ int, conn net.Conn, _ *http.Request) bool {
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	return true
}

// A list that is far too long for a module comes by the watch: its module hears of what is in use, the rest is
// delivered to as well, and changes reach the one and the other.
func TestALongListIsToldAsFarAsItIsUsed(t *testing.T) {
	const dests = 6000
	r, a := newTestRelay(t), newListAgent(t)
	addr, requests := nettest.RawServer(t, answers)
	first, last := liveText("s-1", addr, 7, "ready"), liveText("s-last", addr, 99, "ready")
	follow(t, r, a)
	a.tell(t, r, discoverytest.ListJSON(2, dests, first, last))
	drive(t, r, "the list is known", func() bool { return r.listVersion == 2 })
	if n := len(ofModule(r)); r.catalog.EndpointCount() != 2*dests+2 || n != 1 || !r.largeList.Load() {
		t.Fatalf("%d hosts, the module knows %d destinations", r.catalog.EndpointCount(), n)
	}
	r.deliver(t, requests, "a", 7, 99)
	if n := len(ofModule(r)); n != 2 {
		t.Errorf("the module knows %d destinations", n)
	}
	a.tell(t, r, discoverytest.ListJSON(3, dests, first, last))
	drive(t, r, "the list once more", func() bool { return r.listVersion == 3 })
	a.tell(t, r, []byte(`{"version":4,"servers":[`+discoverytest.EndpointJSON(8, 4, "draining")+`,`+discoverytest.EndpointJSON(10, 5, "gone")+"]}\n"))
	drive(t, r, "changes", func() bool { return r.listVersion == 4 })
	if r.drainingEndpoints != 1 || r.catalog.EndpointCount() != 2*dests+1 {
		t.Errorf("%d hosts drain of %d", r.drainingEndpoints, r.catalog.EndpointCount())
	}
	a.tell(
		t,
		r,
		[]byte(
			`{"version":5,"servers":[`+liveText(
				"s-last",
				addr,
				99,
				"draining",
			)+`,`+liveText(
				"s-1",
				addr,
				7,
				"gone",
			)+"]}\n",
		),
	)
	drive(t, r, "changes of what is in use", func() bool { return r.listVersion == 5 })
	drive(t, r, "the module hears of them", func() bool {
		known := ofModule(r)
		return len(known[7]) == 0 && len(known[99]) == 1 && !known[99][0].InService
	})
	// A message for a host that drains waits for another one.
	if a := decide(r, newHandIn("waits", 99, 9*time.Second))[0]; a.Status != http.StatusAccepted {
		t.Fatalf("%+v", a)
	}
	was := requests.Load()
	a.tell(t, r, []byte(`{"version":6,"servers":[`+liveText("s-next", addr, 99, "ready")+"]}\n"))
	drive(t, r, "it is delivered", func() bool { return requests.Load() == was+1 })
	if a := decide(r, newHandIn("unknown", 1_000_000, 9*time.Second))[0]; a.Status != http.StatusBadRequest {
		t.Errorf("a destination that no list has named: %+v", a)
	}
}

// A destination at rest whose only host drains is woken by a message: that waits, and goes to the host that is listed
// next.
func TestWakingWhileTheOnlyHostDrains(t *testing.T) {
	r, a := newTestRelay(t), newListAgent(t)
	old, oldRequests := nettest.RawServer(t, answers)
	next, nextRequests := nettest.RawServer(t, answers)
	follow(t, r, a)
	a.tell(t, r, discoverytest.ListJSON(2, 3000, liveText("s-old", old, 50, "draining")))
	drive(t, r, "the list is known", func() bool { return r.listVersion == 2 })
	if a := decide(r, newHandIn("m", 50, 9*time.Second))[0]; a.Status != http.StatusAccepted {
		t.Fatalf("%+v", a)
	}
	a.tell(t, r, []byte(`{"version":3,"servers":[`+liveText("s-next", next, 50, "ready")+"]}\n"))
	drive(t, r, "it is delivered", func() bool { return nextRequests.Load() == 1 })
	if n := oldRequests.Load(); n != 0 {
		t.Errorf("%d requests at the one that drains", n)
	}
}

// A host moves from one destination to another, and back in the next list: messages of either find it where it is.
func TestAHostThatMovesBetweenDestinations(t *testing.T) {
	for name, rest := range map[string]int{"a small site": 1, "a long list": 3000} {
		t.Run(name, func(t *testing.T) {
			r, a := newTestRelay(t), newListAgent(t)
			addr, requests := nettest.RawServer(t, answers)
			follow(t, r, a)
			for i, dest := range []int{50, 51, 50, 51} {
				a.tell(t, r, discoverytest.ListJSON(2+i, rest, liveText("s-moves", addr, dest, "ready")))
				drive(t, r, "the list is known", func() bool { return r.listVersion == int64(2+i) })
				r.deliver(t, requests, fmt.Sprint("m", i, "-"), dest)
			}
		})
	}
}

// Thousands of destinations are woken within moments, and each message arrives.
func TestThousandsWakeAtOnce(t *testing.T) {
	const dests, workers = 3000, 100
	r, a := newTestRelay(t), newListAgent(t)
	addr, requests := nettest.RawServer(t, answers)
	var hosts []string
	for i := range dests {
		hosts = append(hosts, liveText(fmt.Sprint("live-", i), addr, 10_000+i, "ready"))
	}
	follow(t, r, a)
	a.tell(t, r, discoverytest.ListJSON(2, 1000, hosts...))
	drive(t, r, "the list is known", func() bool { return r.listVersion == 2 })
	run(t, r)
	began := time.Now()
	var clients sync.WaitGroup
	var taken atomic.Int32
	for w := range workers {
		clients.Go(func() {
			for i := w; i < dests; i += workers {
				// with more of its room taken a relay turns messages away
				for int(taken.Load())-int(requests.Load()) > 250 {
					time.Sleep(time.Millisecond)
				}
				taken.Add(1)
				in := newHandIn(fmt.Sprint("m", i), 10_000+i, 9*time.Second)
				r.post(in)
				if a := <-in.reply; a.Status != http.StatusAccepted {
					t.Errorf("%d: %+v", i, a)
				}
			}
		})
	}
	clients.Wait()
	nettest.Eventually(t, "all are delivered", func() bool { return int(requests.Load()) == dests })
	t.Logf("%d woken and delivered in %v", dests, time.Since(began))
}

// A drain stands behind a hundred thousand other entries, and comes while messages do: nothing new leaves for the host
// once the grace is over.
func TestADrainBehindALongList(t *testing.T) {
	r, a := newTestRelay(t), newListAgent(t)
	var last atomic.Int64
	old, oldRequests := nettest.RawServer(t, func(n int, conn net.Conn, req *http.Request) bool {
		last.Store(time.Now().UnixNano())
		return answers(n, conn, req)
	})
	next, nextRequests := nettest.RawServer(t, answers)
	run(t, r)
	follow(t, r, a)
	servers := func(version int, full bool, old, next string, more []byte) []byte {
		return fmt.Appendf(nil, `{"version":%d,"full":%v,"servers":[%s%s,%s]}`+"\n", version, full, more, old, next)
	}
	a.texts <- servers(2, true, liveText("s-old", old, 7, "ready"), liveText("t-next", next, 7, "ready"), nil)
	<-a.written
	stop, ended := make(chan struct{}), make(chan struct{})
	defer func() { close(stop); <-ended }()
	go func() {
		defer close(ended)
		for i := 0; ; i++ {
			in := newHandIn(fmt.Sprint("m", i), 7, 5*time.Second)
			r.post(in)
			<-in.reply
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	nettest.Eventually(t, "the host is used", func() bool { return oldRequests.Load() > 20 })
	var more []byte
	for i := range longList {
		more = append(append(more, discoverytest.EndpointJSON(i, i/2, "ready")...), ',')
	}
	text := servers(3, false, liveText("s-old", old, 7, "draining"), liveText("t-next", next, 7, "ready"), more)
	a.texts <- text
	told := <-a.written
	was := nextRequests.Load()
	nettest.Eventually(t, "the other one is used", func() bool {
		return nextRequests.Load() > was+100 && time.Since(told) > r.cfg.DrainGrace+300*time.Millisecond
	})
	lag := time.Unix(0, last.Load()).Sub(told)
	t.Logf("%d entries of %d MB: the last request %v after the drain was written", longList, len(text)>>20, lag)
	if lag > r.cfg.DrainGrace {
		t.Errorf("used %v after its drain was told", lag)
	}
}

// A long list that breaks off in the middle of an entry: what it has said holds, nothing goes for not being named yet,
// its version is not taken on, and it is asked for again. One that stalls or never ends is cut off.
func TestALongListThatBreaksOff(t *testing.T) {
	const dests = 4000
	r, a := newTestRelay(t), newListAgent(t)
	addr, requests := nettest.RawServer(t, answers)
	live := liveText("s-new", addr, 50, "ready")
	follow(t, r, a, func(c *discovery.Config) { c.IdleTimeout, c.ListTimeout = 300*time.Millisecond, 600*time.Millisecond })
	whole := discoverytest.ListJSON(9, dests, live)
	half := whole[:len(whole)*3/4]
	for half[len(half)-1] == '}' || half[len(half)-1] == ',' {
		half = half[:len(half)-1]
	}
	held := func() int { return r.catalog.EndpointCount() }
	asked := func(what, want string) {
		t.Helper()
		drive(t, r, "a watch after "+what, func() bool {
			select {
			case got := <-a.indexes:
				if got != want {
					t.Errorf("after %s: a watch from %s, want %s", what, got, want)
				}
				return true
			default:
				return false
			}
		})
	}
	asked("the start", "1")
	a.tell(t, r, append(bytes.Clone(half), "CUT"...))
	asked("an end in an entry", "1")
	if n := held(); n < 1000 || n > 2*dests || r.listVersion != 1 {
		t.Errorf("%d hosts, version %d", n, r.listVersion)
	}
	if _, ok := r.catalog.Endpoint("s-1"); !ok {
		t.Error("a host is gone that the list had not come to yet")
	}
	r.deliver(t, requests, "a", 50)
	a.tell(t, r, half) // and blank lines: they are a sign of life, but not for ever
	asked("a list without end", "1")
	if r.listVersion != 1 {
		t.Errorf("version %d", r.listVersion)
	}
	a.tell(t, r, whole)
	drive(t, r, "the whole list", func() bool { return r.listVersion == 9 })
	if n := held(); n != 2*dests+1 {
		t.Errorf("%d hosts", n)
	}
	if _, ok := r.catalog.Endpoint("s-1"); ok {
		t.Error("a host is left that the list does not name")
	}
}

// Versions that begin again, and a whole list that is older than the one in force: what the agent says last holds.
func TestLongListsOfOlderVersions(t *testing.T) {
	r, a := newTestRelay(t), newListAgent(t)
	follow(t, r, a)
	for _, l := range []struct{ version, dests int }{{50, 3000}, {3, 2500}, {2, 2200}} {
		a.tell(t, r, discoverytest.ListJSON(l.version, l.dests))
		drive(t, r, fmt.Sprint("version ", l.version), func() bool { return r.listVersion == int64(l.version) })
		if r.catalog.EndpointCount() != 2*l.dests {
			t.Errorf("version %d: %d hosts, want %d", l.version, r.catalog.EndpointCount(), 2*l.dests)
		}
	}
}

// A line that cannot be read is made up for by the whole list, also where that is long; changes that it holds already
// are not told again, whether their version comes before them or behind.
func TestALongListMakesUpForAnUnreadableLine(t *testing.T) {
	const dests = 3000
	for name, older := range map[string]func([]byte) []byte{
		"version first": func(entries []byte) []byte { return fmt.Appendf(nil, `{"version":6,"servers":[%s]}`, entries) },
		"version last":  func(entries []byte) []byte { return fmt.Appendf(nil, `{"servers":[%s],"version":6}`, entries) },
	} {
		t.Run(name, func(t *testing.T) {
			r, a := newTestRelay(t), newListAgent(t)
			a.give(func(w http.ResponseWriter, _ *http.Request) { w.Write(discoverytest.ListJSON(7, dests)) })
			follow(t, r, a)
			var entries []byte
			for i := range 2 * dests {
				entries = append(append(entries, discoverytest.EndpointJSON(i, i/2, "draining")...), ',')
			}
			text := append([]byte(`{"version":5,"servers":[{"id`+"\n"), older(entries[:len(entries)-1])...)
			a.tell(t, r, append(text, "\n"+`{"version":8,"servers":[`+discoverytest.EndpointJSON(0, 0, "draining")+"]}\n"...))
			drive(t, r, "the list", func() bool { return r.listVersion == 8 })
			if r.drainingEndpoints != 1 || r.catalog.EndpointCount() != 2*dests {
				t.Errorf("%d of %d hosts drain", r.drainingEndpoints, r.catalog.EndpointCount())
			}
		})
	}
}

// One entry of a list is too long: one line of the log tells of it with its size, and the list in force stays.
func TestAnEntryBeyondItsBound(t *testing.T) {
	var mu sync.Mutex
	var log bytes.Buffer
	r, a := newTestRelay(t), newListAgent(t)
	r.log = slog.New(
		slog.NewTextHandler(
			writerFunc(func(b []byte) (int, error) { mu.Lock(); defer mu.Unlock(); return log.Write(b) }),
			nil,
		),
	)
	a.give(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"version":9,"full":true,"servers":[{"id":%q}]}`, strings.Repeat("x", 3*discovery.MaxEntrySize))
	})
	follow(t, r, a, func(c *discovery.Config) { c.NeedsSnapshot = true })
	drive(t, r, "the watch asks for it", func() bool { return len(a.indexes) > 0 })
	mu.Lock()
	text := log.String()
	mu.Unlock()
	if n := strings.Count(text, "list not taken"); n != 1 || !strings.Contains(text, "one entry is over 16384 bytes") {
		t.Errorf("logged %d times: %s", n, text)
	}
	if _, ok := r.catalog.Endpoint("s-1"); !ok || r.catalog.EndpointCount() != 1 || r.listVersion != 1 {
		t.Errorf("%d hosts, version %d", r.catalog.EndpointCount(), r.listVersion)
	}
}

// Fifty whole lists, each of hosts that nobody has seen before, take no more room than a few.
func TestRoomAfterFiftyListsOfNewHosts(t *testing.T) {
	const hosts = 2000
	r := newTestRelay(t)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	var few uint64
	for v := range 50 {
		entries := make([]discovery.Entry, hosts)
		for i := range entries {
			entries[i].Endpoint = catalog.Endpoint{
				Endpoint: policy.Endpoint{
					ID:          fmt.Sprintf("h-%d-%d", v, i),
					Destination: v*hosts + i,
					Kind:        1,
					InService:   true,
				}, Addr: fmt.Sprintf("127.0.%d.%d:%d", i>>8, i&255, 1+v),
			}
		}
		tellLong(r, true, int64(v), entries)
		if v == 4 {
			few = heap()
		}
	}
	if many := heap(); r.catalog.EndpointCount() != hosts || many > few+few/2 {
		t.Errorf("%d hosts; %d bytes after 5 lists, %d after 50", r.catalog.EndpointCount(), few, many)
	}
}

// What an earlier process left wakes its destinations: messages that were tried, messages that were not, and the
// standing of a host.
func TestARestartWakesWhatItNeeds(t *testing.T) {
	addr, requests := nettest.RawServer(t, answers)
	old := newTestRelay(t)
	for i, dest := range []int{50, 60_000} {
		m := &journal.Message{
			ID:             uint32(i + 1),
			TraceID:        fmt.Sprint("m", i),
			IdempotencyKey: "k",
			Destination:    dest,
			Deadline:       time.Now().Add(9 * time.Second),
		}
		if err := old.journal.Accept(m); err != nil {
			t.Fatal(err)
		}
	}
	if err := old.journal.Close(); err != nil {
		t.Fatal(err)
	}
	cfg, err := parseConfig(
		fmt.Appendf(
			nil,
			`{"name":"n3","discovery":"127.0.0.1:1","known":%s,"settings":%s}`,
			discoverytest.ListJSON(4, 3000, liveText("s-50", addr, 50, "ready")),
			settingsJSON,
		),
	)
	if err != nil || cfg.KnownCatalog == nil || cfg.KnownCatalog.EndpointCount() != 6001 || len(cfg.Known.Entries) != 0 ||
		cfg.Known.Version != 4 {
		t.Fatalf("%v, %+v", err, cfg.Known)
	}
	cfg.StateDir = old.cfg.StateDir
	r, err := New(cfg, quiet(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	r.callCtx = t.Context()
	t.Cleanup(func() { r.egress.Close(); r.calls.Wait() })
	if !r.endpointsKnown.Load() || r.listVersion != 4 {
		t.Errorf("ready %v, version %d", r.endpointsKnown.Load(), r.listVersion)
	}
	r.recoverState()
	drive(
		t,
		r,
		"the one whose destination is known is delivered",
		func() bool { return requests.Load() == 1 && len(r.activeCalls) == 0 },
	)
	if n := len(ofModule(r)); n != 1 || r.pending != 1 {
		t.Errorf("the module knows %d destinations, %d messages are held", n, r.pending)
	}
	tellLong(r, false, 5, entriesOf(r, liveText("s-60000", addr, 60_000, "ready")))
	drive(t, r, "the other one, when it is", func() bool { return requests.Load() == 2 })
}
