package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"
)

func TestEndpointRejectsCalls(t *testing.T) {
	h := newHarness(t)
	h.register("withdrawn")
	h.WithdrawMessage("withdrawn")
	h.RegisterMessage("expired", time.Now().Add(-time.Second))
	for _, test := range []struct {
		name    string
		request string
		status  int
	}{
		{"withdrawn", callText("withdrawn"), http.StatusGone},
		{"expired", callText("expired"), http.StatusGone},
		{"unknown message", callText("unknown"), http.StatusBadRequest},
		{"no id", postText("/events", "", "x"), http.StatusBadRequest},
		{"path", postText("/other", "", "x"), http.StatusNotFound},
		{"unreadable batch", postText("/events/bundle", "", "{"), http.StatusBadRequest},
		{"empty batch", postText("/events/bundle", "", "[]"), http.StatusBadRequest},
		{
			"batch with a duplicate",
			postText("/events/bundle", "", `[{"id":"expired"},{"id":"expired"}]`),
			http.StatusBadRequest,
		},
		{"method", "GET /events HTTP/1.1\r\nHost: x\r\n\r\n", http.StatusMethodNotAllowed},
	} {
		t.Run(test.name, func(t *testing.T) {
			if response := h.call(h.dialEndpoint(), test.request); response.StatusCode != test.status {
				t.Errorf("status %d, want %d", response.StatusCode, test.status)
			}
		})
	}
}

func TestEndpointRejectsAttemptsBeyondMax(t *testing.T) {
	h := newHarness(t)
	const maxAttempts = 8
	for attempts := range maxAttempts + 2 {
		h.register("m")
		h.mu.Lock()
		h.messages["m"].attempts = attempts
		h.mu.Unlock()
		response := h.call(h.dialEndpoint(), callText("m"))
		if (response.StatusCode == http.StatusGatewayTimeout) != (attempts >= maxAttempts) {
			t.Errorf("attempt %d of at most %d: status %d", attempts+1, maxAttempts, response.StatusCode)
		}
	}
}

func TestBatchAnswersForEachMessage(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b", "c")
	h.WithdrawMessage("b")
	body := `[{"id":"a","body":""},{"id":"b","body":""},{"id":"c","body":""}]`
	response := h.call(h.dialEndpoint(), postText("/events/bundle", "", body))
	var got []struct{ ID, State string }
	err := json.NewDecoder(response.Body).Decode(&got)
	if err != nil || response.StatusCode != http.StatusOK || fmt.Sprint(got) != "[{a ok} {b gone} {c ok}]" {
		t.Errorf("status %d, states %v, error %v", response.StatusCode, got, err)
	}
}
