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

// endpoint is one endpoint that messages are sent to.
type endpoint struct {
	*httptest.Server
	mu     sync.Mutex
	seen   []string    // ids, in the order of their calls
	at     []time.Time // of each
	calls  int
	answer func(w http.ResponseWriter, r *http.Request, ids []string)
}

func newEndpoint(t testing.TB, answer func(w http.ResponseWriter, r *http.Request, ids []string)) *endpoint {
	h := &endpoint{answer: answer}
	h.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
		h.mu.Lock()
		h.calls++
		for _, id := range ids {
			h.seen = append(h.seen, id)
			h.at = append(h.at, time.Now())
		}
		h.mu.Unlock()
		if h.answer != nil {
			h.answer(w, r, ids)
		}
	}))
	t.Cleanup(func() { h.CloseClientConnections(); h.Close() })
	return h
}

func (h *endpoint) addr() string { return h.Listener.Addr().String() }

func (h *endpoint) count(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, x := range h.seen {
		if x == id {
			n++
		}
	}
	return n
}

func (h *endpoint) totalCalls() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls
}

// lastCall is the time of the last message's arrival.
func (h *endpoint) lastCall() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.MaxFunc(h.at, time.Time.Compare)
}

// maxCallsWithin is the greatest number of messages that arrived in any window of time.
func (h *endpoint) maxCallsWithin(window time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := slices.SortedFunc(slices.Values(h.at), time.Time.Compare)
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
