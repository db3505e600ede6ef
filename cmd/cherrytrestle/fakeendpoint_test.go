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

// answerFunc answers a call to an endpoint, which has the messages with the ids.
type answerFunc func(w http.ResponseWriter, r *http.Request, ids []string)

// fakeEndpoint is an endpoint that records the messages that are sent to it.
type fakeEndpoint struct {
	*httptest.Server
	mu     sync.Mutex
	seen   []string    // the ids of the messages, in the order of their arrival
	at     []time.Time // the time of arrival of each of seen
	calls  int
	answer answerFunc // nil: 200
}

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
				t.Errorf("bundle: %s", body)
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
		if endpoint.answer != nil {
			endpoint.answer(w, r, ids)
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

// count returns how many calls had the message.
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

// arrivals are the times at which a message arrived.
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

// lastCall returns the time of the last message's arrival.
func (e *fakeEndpoint) lastCall() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.MaxFunc(e.at, time.Time.Compare)
}

// maxCallsWithin returns the highest number of messages that arrived in any window of time of this length.
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

// answerStatus answers each call with the status.
func answerStatus(status int) answerFunc {
	return func(w http.ResponseWriter, _ *http.Request, _ []string) { w.WriteHeader(status) }
}

// writeStates writes the answer to a call with several messages: a state for each, the given ones in turn. For a call
// with one message it writes nothing.
func writeStates(w io.Writer, ids []string, states ...string) {
	if len(ids) == 1 {
		return
	}
	var answers []string
	for i, id := range ids {
		answers = append(answers, fmt.Sprintf(`{"id":%q,"state":%q}`, id, states[i%len(states)]))
	}
	writeQuietly(w, "["+strings.Join(answers, ",")+"]")
}

// callsByMessage returns how many calls to any of the endpoints had each message, by its id.
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
