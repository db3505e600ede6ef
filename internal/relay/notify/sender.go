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
)

const (
	minRetryDelay           = 50 * time.Millisecond
	maxRetryDelay           = time.Second
	postTimeout             = time.Second
	maxNotificationsPerPost = 256 // lines in a request
	maxResponseSize         = 64 << 10
)

// Sender delivers the final notices to the platform, each until it is taken.
type Sender struct {
	log         *slog.Logger
	agent       *discovery.Client
	onDelivered func(ids []uint32)

	mu     sync.Mutex
	queue  []Notification
	signal chan struct{}
}

// Notification tells the platform how a message ended.
type Notification struct {
	MessageID    uint32 `json:"-"`
	TraceID      string `json:"id"`
	Status       string `json:"status"`
	RetryAfterMS int64  `json:"again_ms,omitempty"`
}

func NewSender(log *slog.Logger, agent *discovery.Client, taken func([]uint32)) *Sender {
	return &Sender{log: log, agent: agent, onDelivered: taken, signal: make(chan struct{}, 1)}
}

// Add queues notices. It never waits, so that the loop does not.
func (f *Sender) Add(ns ...Notification) {
	f.mu.Lock()
	f.queue = append(f.queue, ns...)
	f.mu.Unlock()
	select {
	case f.signal <- struct{}{}:
	default:
	}
}

// Pending returns the notices that the platform has not confirmed, oldest first.
func (f *Sender) Pending() []Notification {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.queue)
}

// Run sends what is queued until ctx ends. A notice that the platform did not confirm goes again: one for a
// message that is over does no harm, one that is missing loses a message.
func (f *Sender) Run(ctx context.Context) {
	pause := minRetryDelay
	untaken := ratelog.Warning{Message: "notices not taken"}
	for {
		f.mu.Lock()
		batch := f.queue[:min(len(f.queue), maxNotificationsPerPost)]
		f.mu.Unlock()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-f.signal:
			}
			continue
		}
		if err := f.post(ctx, batch); err != nil {
			untaken.Log(f.log, "count", len(batch), "err", err)
			if errors.Is(err, discovery.ErrMoved) {
				pause = minRetryDelay
				continue // at once, to the new address
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
			pause = min(maxRetryDelay, 2*pause)
			continue
		}
		pause = minRetryDelay
		ids := make([]uint32, 0, len(batch))
		for _, n := range batch {
			ids = append(ids, n.MessageID)
		}
		f.mu.Lock()
		if f.queue = f.queue[len(batch):]; len(f.queue) == 0 {
			f.queue = nil
		}
		f.mu.Unlock()
		f.onDelivered(ids)
	}
}

func (f *Sender) post(ctx context.Context, batch []Notification) error {
	addr, ctx, done := f.agent.Target(ctx)
	defer done()
	err := f.postTo(ctx, addr, batch)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return cause
	}
	return err
}

func (f *Sender) postTo(ctx context.Context, addr string, batch []Notification) error {
	ctx, cancel := context.WithTimeout(ctx, postTimeout)
	defer cancel()
	var lines bytes.Buffer
	enc := json.NewEncoder(&lines)
	for _, n := range batch {
		if err := enc.Encode(n); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v2/finals", &lines)
	if err != nil {
		return err
	}
	res, err := f.agent.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxResponseSize)); err != nil {
		return err
	}
	if res.StatusCode != http.StatusNoContent {
		return fmt.Errorf("platform answers %s", res.Status)
	}
	return nil
}
