package fake

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testScenario has one relay, r1, and one destination, d1, with two endpoints.
const testScenario = `
name = "test"
length = "10s"

[settings]
slots = 4

[[class]]
name = "order"
effect = "keyed"
window = "10s"
aim = "3s"
give_up = "8s"

[[kind]]
name = "store"
pace = "10ms"
slots = 2
per_call = 10

[[destination]]
kind = "store"

[[traffic]]
rate = 1
`

const (
	testRelay   = "r1"
	testService = "d1"
)

// harness is a World with the initial endpoints of a plan, and the writer that records its events.
type harness struct {
	*World
	t      testing.TB
	plan   scenario.Plan
	events *eventlog.Writer
}

func newHarness(t testing.TB) *harness {
	t.Helper()
	return newHarnessWith(t, "")
}

// newHarnessWith returns a harness whose scenario has additional TOML tables. They come before the kind and destination
// of testScenario, so an added destination becomes d1.
func newHarnessWith(t testing.TB, tables string) *harness {
	t.Helper()
	text := strings.Replace(testScenario, "[settings]", tables+"\n[settings]", 1)
	file, err := scenario.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	plan := file.Draw(1)
	events, err := eventlog.NewWriter(io.Discard, time.Now(), file.RecordHeader(1))
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{World: NewWorld(plan, events), t: t, plan: plan, events: events}
	t.Cleanup(h.Close)
	for _, spec := range plan.Endpoints {
		if spec.AddedLater {
			continue
		}
		if _, err := h.AddEndpoint(spec); err != nil {
			t.Fatal(err)
		}
	}
	return h
}

// firstEndpoint returns the first endpoint of the plan.
func (h *harness) firstEndpoint() *Endpoint { return h.Endpoint(h.plan.Endpoints[0].ID) }

// register registers messages whose deadline is in 5 seconds.
func (h *harness) register(ids ...string) {
	for _, id := range ids {
		h.RegisterMessage(id, time.Now().Add(5*time.Second))
	}
}

// dial opens a connection that closes with the test.
func (h *harness) dial(addr string) net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { nettest.Close(conn) })
	h.setDeadline(conn, nettest.Patience)
	return conn
}

// dialEndpoint opens a connection of the relay to the first endpoint.
func (h *harness) dialEndpoint() net.Conn {
	h.t.Helper()
	return h.dial(h.firstEndpoint().Addr(testRelay))
}

func (h *harness) setDeadline(conn net.Conn, timeout time.Duration) {
	h.t.Helper()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		h.t.Fatal(err)
	}
}

func (h *harness) must(err error) {
	h.t.Helper()
	if err != nil {
		h.t.Fatal(err)
	}
}

// send writes text to a connection unchanged.
func (h *harness) send(conn net.Conn, text string) {
	h.t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		h.t.Fatal(err)
	}
}

// call sends a request and returns the response with its body in memory.
func (h *harness) call(conn net.Conn, request string) *http.Response {
	h.t.Helper()
	h.send(conn, request)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		h.t.Fatalf("no response to %.40q: %v", request, err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		h.t.Fatal(err)
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response
}

// expectStatus makes a call with one message and checks the status of the response.
func (h *harness) expectStatus(conn net.Conn, id string, want int) {
	h.t.Helper()
	if response := h.call(conn, callText(id)); response.StatusCode != want {
		h.t.Errorf("call with message %s: status %d, want %d", id, response.StatusCode, want)
	}
}

// callText returns the HTTP request of a call with one message.
func callText(id string) string {
	return postText("/events", "X-Trace-Id: "+id+"\r\n", "body")
}

// postText returns a POST request with additional header lines.
func postText(path, header, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", path, header, len(body), body)
}

// waitFor waits until a matching event of a kind is recorded, and returns the event.
func (h *harness) waitFor(kind eventlog.Kind, matches func(eventlog.Event) bool) eventlog.Event {
	h.t.Helper()
	for end := time.Now().Add(nettest.Patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if event, ok := h.find(kind, matches); ok {
			return event
		}
	}
	h.t.Fatalf("no matching event of kind %q was recorded within %v", kind, nettest.Patience)
	return eventlog.Event{}
}

// find returns the first matching event of a kind, if there is one.
func (h *harness) find(kind eventlog.Kind, matches func(eventlog.Event) bool) (eventlog.Event, bool) {
	events := h.events.Snapshot()
	i := slices.IndexFunc(events, func(e eventlog.Event) bool { return e.Kind == kind && matches(e) })
	if i < 0 {
		return eventlog.Event{}, false
	}
	return events[i], true
}

func anyEvent(eventlog.Event) bool { return true }

// withMessage matches events of calls whose first message has the given id.
func withMessage(id string) func(eventlog.Event) bool {
	return func(e eventlog.Event) bool { return len(e.IDs) > 0 && e.IDs[0] == id }
}

// withState matches events with the given state.
func withState(state string) func(eventlog.Event) bool {
	return func(e eventlog.Event) bool { return e.State == state }
}

// withCause matches events with the given cause.
func withCause(cause string) func(eventlog.Event) bool {
	return func(e eventlog.Event) bool { return e.Cause == cause }
}
