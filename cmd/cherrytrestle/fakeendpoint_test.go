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

// fakeEndpoint is one endpoint that messages are sent to.
type fakeEndpoint struct {
	*httptest.Server
	mu     sync.Mutex
	seen   []string    // ids, in the order of their calls
	at     []time.Time // of each
	calls  int
	answer func(w http.ResponseWriter, r *http.Request, ids []string)
}

func newEndpoint(t testing.TB, answer func(w http.ResponseWriter, r *http.Request, ids []string)) *fakeEndpoint {
	endpoint := &fakeEndpoint{answer: answer}
	endpoint.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		ids := []string{r.Header.Get("X-Trace-Id")}
		if strings.HasSuffix(r.URL.Path, "/bundle") {
			var items []struct{ ID string }
			if json.Unmarshal(body, &items) != nil {
				t.Errorf("bundle: %s", body)
			}
			ids = ids[:0]
			for _, x := range items {
				ids = append(ids, x.ID)
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

// lastCall is the time of the last message's arrival.
func (e *fakeEndpoint) lastCall() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.MaxFunc(e.at, time.Time.Compare)
}

// maxCallsWithin is the greatest number of messages that arrived in any window of time.
func (e *fakeEndpoint) maxCallsWithin(window time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := slices.SortedFunc(slices.Values(e.at), time.Time.Compare)
	most := 0
	first := 0
	for last := range at {
		for at[last].Sub(at[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// answerStatus answers each call with the status.
func answerStatus(status int) func(http.ResponseWriter, *http.Request, []string) {
	return func(w http.ResponseWriter, _ *http.Request, _ []string) { w.WriteHeader(status) }
}

// writeStates answers a call that carries several messages with a state for each, the given ones in turn.
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
