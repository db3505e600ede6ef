package egress

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// Call is one request to an endpoint, with one message or several.
type Call struct {
	EndpointID string
	Addr       string
	SentAt     time.Time  // when it was decided and recorded
	Deadline   time.Time  // when it is given up
	Attempts   []*Attempt // those of several messages travel as one batch
}

// Attempt is one message's part in a call.
type Attempt struct {
	TraceID        string
	IdempotencyKey string // "": none
	Body           []byte
	Deadline       time.Time // when the message stops waiting for its result
}

// Result is how an attempt ended.
type Result struct {
	Outcome      policy.Outcome
	MessageEnded bool // the message is over: nothing more is to be done for it
	RetryAfter   time.Duration
	LimitReport  policy.LimitReport
	Latency      time.Duration // from the writing of the request to the first byte of the response
}

// lastDeadline returns when the last of a call's attempts is given up.
func (c *Call) lastDeadline() time.Time {
	last := slices.MaxFunc(c.Attempts, func(a, b *Attempt) int { return a.Deadline.Compare(b.Deadline) })
	return last.Deadline
}

// Body returns the body of the call's request: a single message's own, else the batch of all.
func (c *Call) Body() []byte {
	if len(c.Attempts) == 1 {
		return c.Attempts[0].Body
	}
	return encodeBatch(c)
}

// newRequest returns the request of a call.
func newRequest(c *Call) (*http.Request, error) {
	path := "/events"
	timeLeft := max(1, time.Until(c.Deadline).Milliseconds())
	header := http.Header{"X-Expires-In-Ms": {strconv.FormatInt(timeLeft, 10)}}
	if len(c.Attempts) > 1 {
		path = "/events/bundle"
		header.Set("Content-Type", "application/json")
	} else {
		single := c.Attempts[0]
		header.Set("X-Trace-Id", single.TraceID)
		if single.IdempotencyKey != "" {
			header.Set("Idempotency-Key", single.IdempotencyKey)
		}
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+c.Addr+path, nil)
	if err != nil {
		return nil, err
	}
	request.Header = header
	body := c.Body()
	request.ContentLength = int64(len(body))
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
	return request, nil
}

// batchItem is a message in a batch.
type batchItem struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"`
}

// BatchItemSize returns the most bytes that a message takes in a batch: any byte of an id may be escaped.
func BatchItemSize(traceID, idempotencyKey string, bodySize int) int {
	const escapedSize = len(`\u0000`)
	return base64.StdEncoding.EncodedLen(bodySize) +
		escapedSize*(len(traceID)+len(idempotencyKey)) +
		len(`{"id":"","key":"","body":""},[]`)
}

// encodeBatch returns the batch of a call's messages.
func encodeBatch(c *Call) []byte {
	items := make([]batchItem, 0, len(c.Attempts))
	for _, a := range c.Attempts {
		body := append([]byte{}, a.Body...) // never nil: null is no body
		items = append(items, batchItem{ID: a.TraceID, Key: a.IdempotencyKey, Body: body})
	}
	data, err := json.Marshal(items)
	if err != nil {
		panic(err) // strings and bytes only: cannot fail
	}
	return data
}

// sameResults gives every attempt of a call the same result.
func sameResults(c *Call, result Result) []Result {
	results := make([]Result, len(c.Attempts))
	for i := range results {
		results[i] = result
	}
	return results
}
