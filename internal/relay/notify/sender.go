// Package notify sends final notifications to the platform. They report how accepted messages ended that were not
// delivered.
package notify

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// postTimeout bounds one request to the platform.
	postTimeout = time.Second
	// maxNotificationsPerPost bounds the number of notifications in a request.
	maxNotificationsPerPost = 256
	// maxResponseSize bounds how many bytes of a response are read. Usually a response is empty.
	maxResponseSize = 64 << 10

	// Bounds of the delay before a failed request is repeated. The delay doubles with each failure.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// Status is the platform's name for how a message ended.
type Status string

const (
	// Undeliverable is the status of a message that failed for good.
	Undeliverable Status = "undeliverable"
	// Deferred is the status of a message that its client may submit again after a delay.
	Deferred Status = "deferred"
)

// Notification reports to the platform how a message ended.
type Notification struct {
	MessageID    policy.MessageID `json:"-"` // the relay's own ID, which is not sent
	TraceID      string           `json:"id"`
	Status       Status           `json:"status"`
	RetryAfterMS int64            `json:"again_ms,omitempty"` // delay before a deferred message may be submitted again
}

// Sender sends each notification until the platform has confirmed it. It is safe for concurrent use.
type Sender struct {
	log         *slog.Logger
	agent       *discovery.Client
	onConfirmed func(ids []policy.MessageID)
	onRetry     func()
	unconfirmed ratelog.Warning

	mu     sync.Mutex
	queue  []Notification
	signal chan struct{} // wakes Run; holds an element if notifications were added since Run last waited
}

// NewSender returns a sender that posts notifications to the discovery agent, which forwards them to the platform.
// onConfirmed receives the IDs of the messages whose notifications the platform has confirmed. onRetry is called for
// each request that was not confirmed.
func NewSender(
	log *slog.Logger, agent *discovery.Client, onConfirmed func(ids []policy.MessageID), onRetry func(),
) *Sender {
	return &Sender{
		log:         log,
		agent:       agent,
		onConfirmed: onConfirmed,
		onRetry:     onRetry,
		unconfirmed: ratelog.Warning{Message: "notifications not confirmed"},
		signal:      make(chan struct{}, 1),
	}
}

// Add queues notifications. It never blocks, since the relay's loop calls it.
func (s *Sender) Add(notifications ...Notification) {
	s.mu.Lock()
	s.queue = append(s.queue, notifications...)
	s.mu.Unlock()
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// Pending returns the notifications that the platform has not confirmed, oldest first.
func (s *Sender) Pending() []Notification {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.queue)
}

// Run sends the queued notifications until ctx ends. It sends a notification again if the platform did not confirm it:
// a duplicate notification does no harm, but a missing one loses a message.
func (s *Sender) Run(ctx context.Context) {
	delay := minRetryDelay
	for {
		batch := s.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-s.signal:
			}
			continue
		}
		err := s.post(ctx, batch)
		if err == nil {
			delay = minRetryDelay
			s.confirm(batch)
			continue
		}
		s.onRetry()
		s.unconfirmed.Log(s.log, "count", len(batch), "err", err)
		if errors.Is(err, discovery.ErrMoved) {
			delay = minRetryDelay
			continue // retry at once, at the new address
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = min(maxRetryDelay, 2*delay)
	}
}

// nextBatch returns the oldest notifications, as many as fit in a request. They stay in the queue until they are
// confirmed.
func (s *Sender) nextBatch() []Notification {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue[:min(len(s.queue), maxNotificationsPerPost)]
}

// confirm removes a batch from the queue and reports its message IDs to onConfirmed.
func (s *Sender) confirm(batch []Notification) {
	ids := make([]policy.MessageID, 0, len(batch))
	for _, n := range batch {
		ids = append(ids, n.MessageID)
	}
	s.mu.Lock()
	s.queue = s.queue[len(batch):]
	if len(s.queue) == 0 {
		s.queue = nil // frees the backing array
	}
	s.mu.Unlock()
	s.onConfirmed(ids)
}

// post sends a batch to the agent's address. The error is discovery.ErrMoved if the address changes during the request.
func (s *Sender) post(ctx context.Context, batch []Notification) error {
	addr, targetCtx, release := s.agent.Target(ctx)
	defer release()
	err := s.postTo(targetCtx, addr, batch)
	if cause := context.Cause(targetCtx); err != nil && cause != nil {
		return cause
	}
	return err
}

// postTo sends a batch to addr, with one line of JSON for each notification.
func (s *Sender) postTo(ctx context.Context, addr string, batch []Notification) error {
	ctx, cancel := context.WithTimeout(ctx, postTimeout)
	defer cancel()
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for _, n := range batch {
		if err := encoder.Encode(n); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v2/finals", &lines)
	if err != nil {
		return err
	}
	res, err := s.agent.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }() // an error of closing does no harm: the response was read or is not needed
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxResponseSize)); err != nil {
		return err
	}
	if res.StatusCode != http.StatusNoContent {
		return fmt.Errorf("platform answered with status %s, want %d", res.Status, http.StatusNoContent)
	}
	return nil
}
