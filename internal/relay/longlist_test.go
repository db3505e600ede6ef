package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/internal/testkit/discoverytest"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// listAgent is a fake of service discovery's agent. It writes the texts that a test sends to its watch, and blank
// lines meanwhile. After a text that ends with CUT it aborts the connection. It serves snapshots on request.
type listAgent struct {
	*httptest.Server
	indexes          chan string    // the version from which each watch was requested
	texts            chan []byte    // texts to write to the watch
	written          chan time.Time // when each text was written
	snapshotRequests atomic.Int32

	mu       sync.Mutex
	snapshot func(w http.ResponseWriter, r *http.Request)
}

func newListAgent(t *testing.T) *listAgent {
	t.Helper()
	a := &listAgent{indexes: make(chan string, 1000), texts: make(chan []byte, 8), written: make(chan time.Time, 8)}
	a.snapshot = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	a.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("stream") == "" {
			a.snapshotRequests.Add(1)
			a.mu.Lock()
			snapshot := a.snapshot
			a.mu.Unlock()
			snapshot(w, r)
			return
		}
		a.indexes <- r.URL.Query().Get("index")
		for {
			select {
			case text := <-a.texts:
				text, cut := bytes.CutSuffix(text, []byte("CUT"))
				_, _ = w.Write(text) // the watch may have ended
				w.(http.Flusher).Flush()
				a.written <- time.Now()
				if cut {
					panic(http.ErrAbortHandler)
				}
			case <-time.After(20 * time.Millisecond):
				_, _ = io.WriteString(w, "\n")
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() {
		a.CloseClientConnections()
		a.Close()
	})
	return a
}

func (a *listAgent) serveSnapshot(snapshot func(w http.ResponseWriter, r *http.Request)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.snapshot = snapshot
}

// follow runs a watcher that posts an agent's lists to a relay, until the test ends. Unless the relay's loop runs,
// the test has to run the steps: see stepLoopUntil.
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
	go func() {
		defer close(ended)
		w.Run(ctx)
	}()
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

// stepLoopUntil runs steps in the same way as the loop until ok returns true.
func stepLoopUntil(t *testing.T, r *Relay, what string, ok func() bool) {
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
			t.Fatalf("timeout while waiting for: %s", what)
		}
	}
}

// sendLine has the agent write a text to its watch, and runs steps until it is written.
func (a *listAgent) sendLine(t *testing.T, r *Relay, text []byte) {
	t.Helper()
	a.texts <- text
	stepLoopUntil(t, r, "the agent has written", func() bool {
		select {
		case <-a.written:
			return true
		default:
			return false
		}
	})
}

// endpointText returns the entry of an endpoint in a list, as JSON.
func endpointText(id, addr string, destination int, state string) string {
	const form = `{"id":%q,"addr":%q,"zone":"a","kind":"gateway","cell":%d,"state":%q,"weight":50}`
	return fmt.Sprintf(form, id, addr, destination, state)
}

// changeText returns a line of the watch with changes of the list, as JSON.
func changeText(version int, entries ...string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"servers":[%s]}`+"\n", version, strings.Join(entries, ","))
}

// deliver submits a message to each of the destinations, and runs steps until all of them are delivered.
func (r *Relay) deliver(t *testing.T, requests *atomic.Int32, ids string, destinations ...policy.DestinationID) {
	t.Helper()
	before := int(requests.Load())
	for i, destination := range destinations {
		response := submitAll(r, newSubmission(fmt.Sprint(ids, i), destination, 9*time.Second))[0]
		if response.Status != http.StatusAccepted {
			t.Fatalf("message to destination %d: response %+v", destination, response)
		}
	}
	what := fmt.Sprintf("%d messages of %q are delivered", len(destinations), ids)
	stepLoopUntil(t, r, what, func() bool {
		return int(requests.Load()) == before+len(destinations) && len(r.activeCalls) == 0
	})
}

// respondOK answers a request to an endpoint with 200.
func respondOK(_ int, conn net.Conn, _ *http.Request) bool {
	_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	return true
}

// The watch delivers a list that is too long for the policy. The policy holds only the destinations in use. Messages
// to all other destinations are delivered as well, and changes apply to the endpoints of all destinations.
func TestPolicyHoldsOnlyUsedDestinations(t *testing.T) {
	const destinations = 6000
	r, a := newTestRelay(t), newListAgent(t)
	addr, requests := nettest.RawServer(t, respondOK)
	first := endpointText("s-1", addr, 7, "ready")
	last := endpointText("s-last", addr, 99, "ready")
	follow(t, r, a)
	a.sendLine(t, r, discoverytest.ListJSON(2, destinations, first, last))
	stepLoopUntil(t, r, "the list is known", func() bool { return r.listVersion == 2 })
	if n := len(policyEndpoints(r)); r.catalog.EndpointCount() != 2*destinations+2 || n != 1 || !r.largeList.Load() {
		t.Fatalf("%d endpoints, the policy holds %d destinations", r.catalog.EndpointCount(), n)
	}
	r.deliver(t, requests, "a", 7, 99)
	if n := len(policyEndpoints(r)); n != 2 {
		t.Errorf("the policy holds %d destinations", n)
	}
	a.sendLine(t, r, discoverytest.ListJSON(3, destinations, first, last))
	stepLoopUntil(t, r, "the repeated list is known", func() bool { return r.listVersion == 3 })
	draining := discoverytest.EndpointJSON(8, 4, "draining")
	gone := discoverytest.EndpointJSON(10, 5, "gone")
	a.sendLine(t, r, changeText(4, draining, gone))
	stepLoopUntil(t, r, "the changes are applied", func() bool { return r.listVersion == 4 })
	if r.drainingEndpoints != 1 || r.catalog.EndpointCount() != 2*destinations+1 {
		t.Errorf("%d endpoints drain of %d", r.drainingEndpoints, r.catalog.EndpointCount())
	}
	draining = endpointText("s-last", addr, 99, "draining")
	gone = endpointText("s-1", addr, 7, "gone")
	a.sendLine(t, r, changeText(5, draining, gone))
	stepLoopUntil(t, r, "the changes of destinations in use are applied", func() bool { return r.listVersion == 5 })
	stepLoopUntil(t, r, "the policy has received these changes", func() bool {
		known := policyEndpoints(r)
		return len(known[7]) == 0 && len(known[99]) == 1 && !known[99][0].InService
	})
	// A message to a destination whose only endpoint drains waits for another endpoint.
	if a := submitAll(r, newSubmission("waits", 99, 9*time.Second))[0]; a.Status != http.StatusAccepted {
		t.Fatalf("message to a destination whose only endpoint drains: response %+v", a)
	}
	before := requests.Load()
	a.sendLine(t, r, changeText(6, endpointText("s-next", addr, 99, "ready")))
	stepLoopUntil(t, r, "the message is delivered", func() bool { return requests.Load() == before+1 })
	if a := submitAll(r, newSubmission("unknown", 1_000_000, 9*time.Second))[0]; a.Status != http.StatusBadRequest {
		t.Errorf("message to a destination that no list has named: response %+v", a)
	}
}

// A message activates a destination whose only endpoint drains: the message waits, and goes to the endpoint that is
// listed next.
func TestActivationWhileTheOnlyEndpointDrains(t *testing.T) {
	r, a := newTestRelay(t), newListAgent(t)
	old, oldRequests := nettest.RawServer(t, respondOK)
	next, nextRequests := nettest.RawServer(t, respondOK)
	follow(t, r, a)
	a.sendLine(t, r, discoverytest.ListJSON(2, 3000, endpointText("s-old", old, 50, "draining")))
	stepLoopUntil(t, r, "the list is known", func() bool { return r.listVersion == 2 })
	if a := submitAll(r, newSubmission("m", 50, 9*time.Second))[0]; a.Status != http.StatusAccepted {
		t.Fatalf("message to a destination whose only endpoint drains: response %+v", a)
	}
	a.sendLine(t, r, changeText(3, endpointText("s-next", next, 50, "ready")))
	stepLoopUntil(t, r, "the message is delivered", func() bool { return nextRequests.Load() == 1 })
	if n := oldRequests.Load(); n != 0 {
		t.Errorf("%d requests to the endpoint that drains", n)
	}
}

// An endpoint moves from one destination to another, and back with the next list. A message to the endpoint's current
// destination is delivered to the endpoint.
func TestEndpointMovesBetweenDestinations(t *testing.T) {
	for name, rest := range map[string]int{"a short list": 1, "a long list": 3000} {
		t.Run(name, func(t *testing.T) {
			r, a := newTestRelay(t), newListAgent(t)
			addr, requests := nettest.RawServer(t, respondOK)
			follow(t, r, a)
			for i, destination := range []int{50, 51, 50, 51} {
				a.sendLine(t, r, discoverytest.ListJSON(2+i, rest, endpointText("s-moves", addr, destination, "ready")))
				stepLoopUntil(t, r, "the list is known", func() bool { return r.listVersion == int64(2+i) })
				r.deliver(t, requests, fmt.Sprint("m", i, "-"), policy.DestinationID(destination))
			}
		})
	}
}

// Thousands of destinations are activated at about the same time, and the message to each is delivered.
func TestThousandsOfDestinationsActivateAtOnce(t *testing.T) {
	const destinations, workers = 3000, 100
	r, a := newTestRelay(t), newListAgent(t)
	addr, requests := nettest.RawServer(t, respondOK)
	var reachable []string
	for i := range destinations {
		reachable = append(reachable, endpointText(fmt.Sprint("live-", i), addr, 10_000+i, "ready"))
	}
	follow(t, r, a)
	a.sendLine(t, r, discoverytest.ListJSON(2, 1000, reachable...))
	stepLoopUntil(t, r, "the list is known", func() bool { return r.listVersion == 2 })
	runLoop(t, r)
	began := time.Now()
	var clients sync.WaitGroup
	var submitted atomic.Int32
	for w := range workers {
		clients.Go(func() {
			for i := w; i < destinations; i += workers {
				// The relay rejects new messages while too many are pending.
				for int(submitted.Load())-int(requests.Load()) > 250 {
					time.Sleep(time.Millisecond)
				}
				submitted.Add(1)
				submission := newSubmission(fmt.Sprint("m", i), policy.DestinationID(10_000+i), 9*time.Second)
				r.post(submission)
				if a := <-submission.reply; a.Status != http.StatusAccepted {
					t.Errorf("message %d: response %+v", i, a)
				}
			}
		})
	}
	clients.Wait()
	nettest.Eventually(t, "all are delivered", func() bool { return int(requests.Load()) == destinations })
	t.Logf("%d activated and delivered in %v", destinations, time.Since(began))
}

// The drain of an endpoint follows longList other entries, and arrives while messages are submitted. No more
// messages are sent to the endpoint after the grace period.
func TestDrainAfterLongListTakesEffectInTime(t *testing.T) {
	r, a := newTestRelay(t), newListAgent(t)
	var last atomic.Int64
	old, oldRequests := nettest.RawServer(t, func(n int, conn net.Conn, req *http.Request) bool {
		last.Store(time.Now().UnixNano())
		return respondOK(n, conn, req)
	})
	next, nextRequests := nettest.RawServer(t, respondOK)
	runLoop(t, r)
	follow(t, r, a)
	list := func(version int, full bool, old, next string, others []byte) []byte {
		return fmt.Appendf(nil, `{"version":%d,"full":%v,"servers":[%s%s,%s]}`+"\n", version, full, others, old, next)
	}
	a.texts <- list(2, true, endpointText("s-old", old, 7, "ready"), endpointText("t-next", next, 7, "ready"), nil)
	<-a.written
	stop := make(chan struct{})
	ended := make(chan struct{})
	defer func() {
		close(stop)
		<-ended
	}()
	go func() {
		defer close(ended)
		for i := 0; ; i++ {
			submission := newSubmission(fmt.Sprint("m", i), 7, 5*time.Second)
			r.post(submission)
			<-submission.reply
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	nettest.Eventually(t, "the endpoint is used", func() bool { return oldRequests.Load() > 20 })
	var others []byte
	for i := range longList {
		others = append(append(others, discoverytest.EndpointJSON(i, i/2, "ready")...), ',')
	}
	text := list(3, false, endpointText("s-old", old, 7, "draining"), endpointText("t-next", next, 7, "ready"), others)
	a.texts <- text
	written := <-a.written
	before := nextRequests.Load()
	nettest.Eventually(t, "the other endpoint is used", func() bool {
		return nextRequests.Load() > before+100 && time.Since(written) > r.cfg.DrainGrace+300*time.Millisecond
	})
	lag := time.Unix(0, last.Load()).Sub(written)
	t.Logf("%d entries in %d MiB: the last request %v after the drain was written", longList, len(text)>>20, lag)
	if lag > r.cfg.DrainGrace {
		t.Errorf("the endpoint was used %v after its drain was announced, want at most %v", lag, r.cfg.DrainGrace)
	}
}

// After a restart, the messages in the journal activate their destinations. A message waits if the list does not
// have its destination yet.
func TestRestartActivatesDestinationsOfMessages(t *testing.T) {
	addr, requests := nettest.RawServer(t, respondOK)
	old := newTestRelay(t)
	for i, destination := range []policy.DestinationID{50, 60_000} {
		m := &journal.Message{
			ID:             policy.MessageID(i + 1),
			TraceID:        fmt.Sprint("m", i),
			IdempotencyKey: "k",
			Destination:    destination,
			Deadline:       time.Now().Add(9 * time.Second),
		}
		if err := old.journal.Accept(m); err != nil {
			t.Fatal(err)
		}
	}
	if err := old.journal.Close(); err != nil {
		t.Fatal(err)
	}
	const form = `{"name":"n3","discovery":"127.0.0.1:1","known":%s,"settings":%s}`
	known := discoverytest.ListJSON(4, 3000, endpointText("s-50", addr, 50, "ready"))
	cfg, err := parseConfig(fmt.Appendf(nil, form, known, settingsJSON))
	if err != nil || cfg.KnownCatalog == nil || len(cfg.Known.Entries) != 0 || cfg.Known.Version != 4 {
		t.Fatalf("%v, %+v", err, cfg.Known)
	}
	if n := cfg.KnownCatalog.EndpointCount(); n != 6001 {
		t.Fatalf("%d endpoints are known", n)
	}
	cfg.StateDir = old.cfg.StateDir
	r, err := New(cfg, discardLog(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	r.callCtx = t.Context()
	t.Cleanup(func() {
		r.egress.Close()
		r.calls.Wait()
	})
	if !r.endpointsKnown.Load() || r.listVersion != 4 {
		t.Errorf("ready %v, version %d", r.endpointsKnown.Load(), r.listVersion)
	}
	r.recoverState()
	stepLoopUntil(t, r, "the message whose destination is listed is delivered", func() bool {
		return requests.Load() == 1 && len(r.activeCalls) == 0
	})
	if n := len(policyEndpoints(r)); n != 1 || r.pending != 1 {
		t.Errorf("the policy holds %d destinations, %d messages are pending", n, r.pending)
	}
	applyLongList(r, false, 5, entriesOf(r, endpointText("s-60000", addr, 60_000, "ready")))
	stepLoopUntil(t, r, "the other message is delivered", func() bool { return requests.Load() == 2 })
}
