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
	Kind       int        // of the endpoint; endpoints of a kind are expected to behave alike
	Batch      bool       // the request has the form for several messages, even if it carries one
	OnceOnly   bool       // a message must not be sent again once it may have run
	SentAt     time.Time  // when the relay decided on the call and recorded it
	Deadline   time.Time  // when the relay gives up the call
	Attempts   []*Attempt // one for each message; one only, unless Batch is set
}

// Attempt is one try to deliver a message, as part of a call.
type Attempt struct {
	TraceID        string
	IdempotencyKey string // "": none
	Body           []byte
	Deadline       time.Time // when the attempt times out; its call may go on for other attempts
}

// Result is the outcome of an attempt, with the feedback that the endpoint sent in its response.
type Result struct {
	Outcome      policy.Outcome
	MessageEnded bool          // the message needs no further attempts
	RetryAfter   time.Duration // 0: none
	LimitReport  policy.LimitReport
	Latency      time.Duration // from the start of writing the request to the first byte of the response
}

// lastDeadline returns the latest deadline of the call's attempts.
func (c *Call) lastDeadline() time.Time {
	last := slices.MaxFunc(c.Attempts, func(a, b *Attempt) int { return a.Deadline.Compare(b.Deadline) })
	return last.Deadline
}

// traceIDs returns the trace IDs of the call's messages.
func (c *Call) traceIDs() []string {
	ids := make([]string, len(c.Attempts))
	for i, a := range c.Attempts {
		ids[i] = a.TraceID
	}
	return ids
}

// Body returns the body of the call's request: the encoded batch of its messages, or the body of its only message.
func (c *Call) Body() []byte {
	if c.Batch {
		return encodeBatch(c)
	}
	return c.Attempts[0].Body
}

// newRequest returns the HTTP request for a call. closing asks the endpoint to close the connection after its response.
func newRequest(c *Call, closing bool) (*http.Request, error) {
	path := "/events"
	timeLeft := max(1, time.Until(c.Deadline).Milliseconds())
	header := http.Header{"X-Expires-In-Ms": {strconv.FormatInt(timeLeft, 10)}}
	if c.Batch {
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
	request.Close = closing
	body := c.Body()
	request.ContentLength = int64(len(body))
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
	return request, nil
}

// batchItem is the JSON form of a message in a batch.
type batchItem struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"`
}

// BatchItemSize returns the largest number of bytes that a message can take in an encoded batch. JSON may escape
// every byte of the trace ID and the idempotency key.
func BatchItemSize(traceID, idempotencyKey string, bodySize int) int {
	const escapedSize = len(`\u0000`)
	return base64.StdEncoding.EncodedLen(bodySize) +
		escapedSize*(len(traceID)+len(idempotencyKey)) +
		len(`{"id":"","key":"","body":""},[]`)
}

// encodeBatch returns the JSON encoding of all messages of a call.
func encodeBatch(c *Call) []byte {
	items := make([]batchItem, 0, len(c.Attempts))
	for _, a := range c.Attempts {
		body := append([]byte{}, a.Body...) // never nil, which JSON would encode as null
		items = append(items, batchItem{ID: a.TraceID, Key: a.IdempotencyKey, Body: body})
	}
	data, err := json.Marshal(items)
	if err != nil {
		panic(err) // cannot happen: strings and byte slices can always be encoded
	}
	return data
}

// sameResults returns a slice with the same result for every attempt of a call.
func sameResults(c *Call, result Result) []Result {
	results := make([]Result, len(c.Attempts))
	for i := range results {
		results[i] = result
	}
	return results
}
