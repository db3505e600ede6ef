package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// answerCopies configures how often and when an endpoint writes a second copy of an answer.
type answerCopies struct {
	share    float64       // of the answers
	maxDelay time.Duration // a copy is written up to so long after its answer
	idleOnly bool          // a copy is written only while no request has arrived since its answer
}

// copyingEndpoint is an endpoint on plain sockets. It rejects some calls, answers the others after a while, and writes
// second copies of some answers.
type copyingEndpoint struct {
	net.Listener
	copies answerCopies

	mu       sync.Mutex
	random   *rand.Rand
	ran      map[string]int // by message id: how many calls with the message were answered as delivered
	rejected int            // calls
	copied   int
}

// startCopyingEndpoint starts an endpoint that is closed at the end of the test.
func startCopyingEndpoint(t *testing.T, seed uint64, copies answerCopies) *copyingEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	t.Cleanup(func() { closeQuietly(listener) })
	e := &copyingEndpoint{
		Listener: listener, copies: copies,
		random: rand.New(rand.NewPCG(seed, 1)), ran: map[string]int{},
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go (&copyingConn{Conn: conn, endpoint: e}).serve()
		}
	}()
	return e
}

// plan draws how a call is answered: whether it is rejected, how long it takes, and when a copy of its answer follows.
func (e *copyingEndpoint) plan() (rejected bool, takes time.Duration, copied bool, copyDelay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rejected = e.random.Float64() < 0.3
	takes = time.Duration(e.random.Int64N(int64(40 * time.Millisecond)))
	copied = e.random.Float64() < e.copies.share
	if copied && e.copies.maxDelay > 0 {
		copyDelay = time.Duration(e.random.Int64N(int64(e.copies.maxDelay)))
	}
	if rejected {
		e.rejected++
	}
	if copied {
		e.copied++
	}
	return rejected, takes, copied, copyDelay
}

// record counts that the messages of a call have run.
func (e *copyingEndpoint) record(ids []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range ids {
		e.ran[id]++
	}
}

// runs returns how often a message has run.
func (e *copyingEndpoint) runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[id]
}

// String returns what the endpoint did, for the test's log.
func (e *copyingEndpoint) String() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d calls rejected and %d answers copied", e.rejected, e.copied)
}

// copyingConn is a connection of a copyingEndpoint.
type copyingConn struct {
	net.Conn
	endpoint *copyingEndpoint

	writing  sync.Mutex // held while an answer is written
	requests int        // read so far; guarded by writing
}

// serve answers the requests of the connection one after another.
func (c *copyingConn) serve() {
	nettest.ServeRequests(c, func(request *http.Request, body []byte) bool {
		c.writing.Lock()
		c.requests++
		c.writing.Unlock()
		c.answer(request, body)
		return true
	})
}

// answer answers a request, and schedules the copy of its answer.
func (c *copyingConn) answer(request *http.Request, body []byte) {
	ids := []string{request.Header.Get("X-Trace-Id")}
	batch := strings.HasSuffix(request.URL.Path, "/bundle")
	if batch {
		ids = batchIDs(body)
	}
	rejected, takes, copied, copyDelay := c.endpoint.plan()
	time.Sleep(takes)
	text := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	if !rejected {
		c.endpoint.record(ids)
		text = deliveredAnswer(batch, ids)
	}
	c.writing.Lock()
	writeQuietly(c.Conn, text)
	number := c.requests
	c.writing.Unlock()
	if !copied {
		return
	}
	time.AfterFunc(copyDelay, func() {
		c.writing.Lock()
		defer c.writing.Unlock()
		if !c.endpoint.copies.idleOnly || c.requests == number {
			writeQuietly(c.Conn, text)
		}
	})
}

// batchIDs returns the ids of the messages in a call with several messages.
func batchIDs(body []byte) (ids []string) {
	var messages []struct{ ID string }
	if json.Unmarshal(body, &messages) != nil {
		return nil
	}
	for _, message := range messages {
		ids = append(ids, message.ID)
	}
	return ids
}

// deliveredAnswer returns the answer to a call whose messages were all delivered.
func deliveredAnswer(batch bool, ids []string) string {
	var body strings.Builder
	if batch {
		var states []string
		for _, id := range ids {
			states = append(states, fmt.Sprintf(`{"id":%q,"state":"ok"}`, id))
		}
		body.WriteString("[" + strings.Join(states, ",") + "]")
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", body.Len(), body.String())
}

// TestSurplusAnswerIsNotTakenForAnotherCall guards against calls that end by an answer to another call.
func TestSurplusAnswerIsNotTakenForAnotherCall(t *testing.T) {
	t.Parallel()
	for _, copies := range []struct {
		name string
		answerCopies
	}{
		{"none", answerCopies{}},
		{"while idle", answerCopies{share: 0.3, maxDelay: 30 * time.Millisecond, idleOnly: true}},
		{"at once", answerCopies{share: 0.3}},
		{"within 20 ms", answerCopies{share: 0.3, maxDelay: 20 * time.Millisecond}},
		{"within 400 ms", answerCopies{share: 0.3, maxDelay: 400 * time.Millisecond}},
	} {
		for _, kind := range []string{batchKind, singleKind} {
			t.Run(copies.name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				sendToCopyingEndpoints(t, kind, copies.answerCopies)
			})
		}
	}
}

// sendToCopyingEndpoints sends keyed messages to a destination with an endpoint in each of two zones, and checks that
// none is lost, and that none runs in both zones.
func sendToCopyingEndpoints(t *testing.T, kind string, copies answerCopies) {
	const (
		messages = 400
		interval = 5 * time.Millisecond
		deadline = 3 * time.Second
		overdue  = 350 * time.Millisecond // how long after its deadline a message may get its final answer
	)
	platform := newPlatform(t)
	first, second := startCopyingEndpoint(t, 1, copies), startCopyingEndpoint(t, 2, copies)
	r := newRelay(t, platform, []listEntry{
		newEntry("s-1", first.Addr().String(), "a", kind, "ready"),
		newEntry("s-2", second.Addr().String(), "b", kind, "ready"),
	}, func(settings map[string]any) {
		setMaxInFlightCalls(settings, 0)
		setMaxPending(settings, messages)
	})
	var accepted []string
	for i := range messages {
		id := fmt.Sprintf("m%d", i)
		if status, _ := r.submit(id, deadline, nil); status == http.StatusAccepted {
			accepted = append(accepted, id)
		}
		time.Sleep(interval)
	}
	time.Sleep(deadline + overdue)
	var lost, inBothZones, deferredAfterRun int
	for _, id := range accepted {
		runs := first.runs(id) + second.runs(id)
		statuses := platform.statuses(id)
		switch {
		case first.runs(id) > 0 && second.runs(id) > 0:
			inBothZones++
		case runs == 0 && len(statuses) == 0:
			lost++
		case runs > 0 && len(statuses) > 0 && statuses[0] == "deferred":
			deferredAfterRun++
		}
	}
	t.Logf("%d accepted, %s, %s", len(accepted), first, second)
	if len(accepted) < messages/2 {
		t.Errorf("only %d messages of %d were accepted", len(accepted), messages)
	}
	if lost+inBothZones+deferredAfterRun > 0 {
		t.Errorf("%d lost, %d run in both zones, %d returned as not run although they had run",
			lost, inBothZones, deferredAfterRun)
	}
}
