package relayprocess

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Submission is a message to submit, of the class and the tenant of BaseSettings.
type Submission struct {
	ID          string
	Destination int
	TimeLeft    time.Duration // until the message expires; sent in whole milliseconds
	Body        io.Reader
}

// NewRequest returns the request that submits the message to the relay at an address.
func (s Submission) NewRequest(ctx context.Context, addr string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/order", s.Body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Trace-Id", s.ID)
	req.Header.Set("X-Qos", "order")
	req.Header.Set("X-Customer", "acme")
	req.Header.Set("Idempotency-Key", "key-"+s.ID)
	req.Header.Set("Envelope", "dest="+strconv.Itoa(s.Destination))
	req.Header.Set("X-Expires-In-Ms", strconv.FormatInt(s.TimeLeft.Milliseconds(), 10))
	return req, nil
}
