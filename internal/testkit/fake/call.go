package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
)

// slotWait is how long a call waits for a free slot if its relay occupies all of its slots. A relay that has aborted a
// call may use the slot for the next call before the endpoint notices the abort.
const slotWait = 30 * time.Millisecond

// slotPollInterval is the pause between two checks for a free slot.
const slotPollInterval = time.Millisecond

// call is a parsed call that an endpoint received.
type call struct {
	number     uint64   // unique in the run
	ids        []string // of the messages in the call
	isBatch    bool
	closing    bool          // the relay asked to close the connection after the answer
	receivedAt time.Duration // when the last byte arrived, since the run began

	rejectStatus int // HTTP status that rejects a malformed call; 0: the call is well formed
	rejectReason string
}

// parseCall converts a request to a call. If the request is malformed, the call has a rejectStatus.
func parseCall(request *http.Request, body []byte) call {
	if request.Method != http.MethodPost {
		return rejectedCall(http.StatusMethodNotAllowed, "method %s", request.Method)
	}
	switch request.URL.Path {
	case "/events":
		id := request.Header.Get("X-Trace-Id")
		if id == "" {
			return rejectedCall(http.StatusBadRequest, "a call without X-Trace-Id")
		}
		return call{ids: []string{id}}
	case "/events/bundle":
		return parseBatch(body)
	}
	return rejectedCall(http.StatusNotFound, "path %s", request.URL.Path)
}

func rejectedCall(status int, format string, args ...any) call {
	return call{rejectStatus: status, rejectReason: fmt.Sprintf(format, args...)}
}

// parseBatch parses the body of a batch, a call with several messages.
func parseBatch(body []byte) call {
	var items []struct {
		ID   string `json:"id"`
		Body []byte `json:"body"`
	}
	batch := call{isBatch: true}
	if err := json.Unmarshal(body, &items); err != nil || len(items) == 0 {
		batch = rejectedCall(http.StatusBadRequest, "unreadable bundle: %v", err)
	}
	seen := map[string]bool{}
	for _, item := range items {
		if seen[item.ID] {
			batch.rejectStatus = http.StatusBadRequest
			batch.rejectReason = fmt.Sprintf("a bundle names %s twice", item.ID)
		}
		seen[item.ID] = true
		batch.ids = append(batch.ids, item.ID)
	}
	return batch
}

// answer describes the response to a call.
type answer struct {
	status     int           // HTTP status
	retryAfter time.Duration // 0: no Retry-After header
	states     []string      // of the messages of a batch, in the order of the call's ids; nil: no body
	noSlot     bool          // the relay has no free slot
	holdsSlot  bool          // the call occupies one of the relay's slots

	latency time.Duration // from receiving the call to sending the answer
	silent  bool          // the answer is never sent
	lost    bool          // the connection is closed instead of sending the answer
}

// delivers reports whether the answer confirms the delivery of the i-th message of the call.
func (a answer) delivers(i int) bool {
	return a.status == http.StatusOK && (a.states == nil || a.states[i] == messageDelivered)
}

// statusLine returns the first line of the HTTP response.
func (a answer) statusLine() string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
}

// text returns the HTTP response to a call.
func (a answer) text(received call) string {
	var b strings.Builder
	b.WriteString(a.statusLine())
	if received.closing {
		b.WriteString("Connection: close\r\n")
	}
	if a.retryAfter > 0 {
		fmt.Fprintf(&b, "Retry-After: %s\r\n", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	if a.noSlot {
		b.WriteString("Slots-Taken: 1\r\n")
	}
	body := a.body(received.ids)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

// body returns the states of a batch's messages as JSON; nil if the answer has no states.
func (a answer) body(ids []string) []byte {
	if a.states == nil {
		return nil
	}
	type item struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	items := make([]item, 0, len(ids))
	for i, id := range ids {
		items = append(items, item{ID: id, State: a.states[i]})
	}
	body, err := json.Marshal(items)
	if err != nil {
		panic(err) // cannot happen: the items hold only strings
	}
	return body
}

// decide determines the answer to a call. It takes one of the relay's slots for the call, if the call is well formed.
func (c *endpointConn) decide(received call) answer {
	if received.rejectStatus != 0 {
		c.endpoint.recordInvalid(c.relay, received.rejectReason)
		return answer{status: received.rejectStatus}
	}
	world := c.endpoint.world
	if !world.acquireSlot(c.relay) {
		return answer{status: http.StatusServiceUnavailable, noSlot: true}
	}
	world.mu.Lock()
	defer world.mu.Unlock()
	decided := c.endpoint.handle(received)
	decided.holdsSlot = true
	return decided
}

// handle determines the answer to a call that holds a slot. The caller holds world.mu.
func (e *Endpoint) handle(received call) answer {
	states, deliverable, known := e.world.countAttempts(received.ids)
	switch {
	case !known:
		return answer{status: http.StatusBadRequest} // the checker reports the call
	case deliverable > 0:
		return newAnswer(e.world.handleCall(e, deliverable), received.isBatch, states)
	case received.isBatch:
		return answer{status: http.StatusOK, states: states}
	case states[0] == messageGone:
		return answer{status: http.StatusGone}
	}
	return answer{status: http.StatusGatewayTimeout}
}

// newAnswer converts the response of a service to an answer. The states are those that countAttempts returned.
func newAnswer(response upstream.Response, isBatch bool, states []string) answer {
	a := answer{
		latency:    response.Latency,
		retryAfter: response.RetryAfter.Round(time.Millisecond),
		lost:       response.ResponseLost,
	}
	switch response.Result {
	case upstream.Unanswered:
		a.silent = true
	case upstream.Failed:
		a.status = http.StatusInternalServerError
	case upstream.Rejected:
		a.status = http.StatusServiceUnavailable
		if a.retryAfter > 0 {
			a.status = http.StatusTooManyRequests
		}
	case upstream.Served:
		a.status = http.StatusOK
		if isBatch {
			a.states = withDelivered(states)
		}
	}
	return a
}

// withDelivered changes each empty state to delivered, in place.
func withDelivered(states []string) []string {
	for i, state := range states {
		if state == "" {
			states[i] = messageDelivered
		}
	}
	return states
}

// acquireSlot takes one of the slots of a relay, waiting up to slotWait for a free one. It reports whether it took one.
func (w *World) acquireSlot(relay string) bool {
	for deadline := time.Now().Add(slotWait); ; time.Sleep(slotPollInterval) {
		if w.tryAcquireSlot(relay) {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

func (w *World) tryAcquireSlot(relay string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.activeCalls[relay] >= w.settings.MaxConcurrentCalls {
		return false
	}
	w.activeCalls[relay]++
	return true
}

func (w *World) releaseSlot(relay string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activeCalls[relay]--
}
