package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// answerFunc answers a call to an endpoint. The call contains the messages with the ids.
type answerFunc func(w http.ResponseWriter, r *http.Request, ids []string)

// fakeEndpoint is an endpoint that records the messages that are sent to it.
type fakeEndpoint struct {
	*httptest.Server
	mu     sync.Mutex
	seen   []string    // the ids of the messages, in the order of their arrival
	at     []time.Time // the arrival time of each message in seen
	calls  int
	answer answerFunc // nil: the status is always 200; a batch is then answered with "ok" for each message
}

// answerWriter is a response that knows its status and whether it has a body.
type answerWriter struct {
	http.ResponseWriter
	status  int
	hasBody bool
}

func (w *answerWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

func (w *answerWriter) Write(b []byte) (int, error) {
	w.hasBody = true
	return w.ResponseWriter.Write(b)
}

func (w *answerWriter) Flush() { w.ResponseWriter.(http.Flusher).Flush() }

// newEndpoint starts an endpoint, which is closed at the end of the test.
func newEndpoint(t testing.TB, answer answerFunc) *fakeEndpoint {
	endpoint := &fakeEndpoint{answer: answer}
	endpoint.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		ids := []string{r.Header.Get("X-Trace-Id")}
		if strings.HasSuffix(r.URL.Path, "/bundle") { // a call with several messages
			var messages []struct{ ID string }
			if json.Unmarshal(body, &messages) != nil {
				t.Errorf("a call with several messages has a malformed body: %s", body)
			}
			ids = ids[:0]
			for _, message := range messages {
				ids = append(ids, message.ID)
			}
		}
		endpoint.mu.Lock()
		endpoint.calls++
		for _, id := range ids {
			endpoint.seen = append(endpoint.seen, id)
			endpoint.at = append(endpoint.at, time.Now())
		}
		endpoint.mu.Unlock()
		answer := &answerWriter{ResponseWriter: w, status: http.StatusOK}
		if endpoint.answer != nil {
			endpoint.answer(answer, r, ids)
		}
		if strings.HasSuffix(r.URL.Path, "/bundle") && answer.status == http.StatusOK && !answer.hasBody {
			writeStates(w, ids, "ok")
		}
	}))
	t.Cleanup(func() { endpoint.CloseClientConnections(); endpoint.Close() })
	return endpoint
}

func (e *fakeEndpoint) addr() string { return e.Listener.Addr().String() }

// list returns an endpoint list with only this endpoint, as s-1 in zone a.
func (e *fakeEndpoint) list(kind, state string) []listEntry {
	return []listEntry{newEntry("s-1", e.addr(), "a", kind, state)}
}

// count returns how many calls contained the message.
func (e *fakeEndpoint) count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, x := range e.seen {
		if x == id {
			n++
		}
	}
	return n
}

func (e *fakeEndpoint) totalCalls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls
}

// arrivals returns the times at which a message arrived.
func (e *fakeEndpoint) arrivals(id string) (at []time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, x := range e.seen {
		if x == id {
			at = append(at, e.at[i])
		}
	}
	return at
}

// lastCall returns the arrival time of the last message.
func (e *fakeEndpoint) lastCall() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.MaxFunc(e.at, time.Time.Compare)
}

// maxCallsWithin returns the highest number of messages that arrived in any time window of the given length.
func (e *fakeEndpoint) maxCallsWithin(window time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := slices.SortedFunc(slices.Values(e.at), time.Time.Compare)
	highest := 0
	first := 0
	for last := range at {
		for at[last].Sub(at[first]) > window {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

// answerStatus returns a function that answers each call with the status.
func answerStatus(status int) answerFunc {
	return func(w http.ResponseWriter, _ *http.Request, _ []string) { w.WriteHeader(status) }
}

// writeStates writes the answer to a batch. The messages get the given states in turn.
func writeStates(w io.Writer, ids []string, states ...string) {
	var answers []string
	for i, id := range ids {
		answers = append(answers, fmt.Sprintf(`{"id":%q,"state":%q}`, id, states[i%len(states)]))
	}
	writeQuietly(w, "["+strings.Join(answers, ",")+"]")
}

// callsByMessage returns, by message id, how many calls to the endpoints contained the message.
func callsByMessage(endpoints ...*fakeEndpoint) map[string]int {
	calls := map[string]int{}
	for _, e := range endpoints {
		e.mu.Lock()
		for _, id := range e.seen {
			calls[id]++
		}
		e.mu.Unlock()
	}
	return calls
}
