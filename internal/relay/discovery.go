package relay

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery/backoff"
	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	WatchIdleTimeout  = 4500 * time.Millisecond // see watcher.silence
	ListTimeout       = 30 * time.Second        // a list comes whole within this, however long it is
	minRetryDelay     = 50 * time.Millisecond
	maxRetryDelay     = time.Second
	postTimeout       = time.Second
	fetchIdleTimeout  = time.Second // a list that was asked for and does not go on for so long is not coming
	maxNoticesPerPost = 256         // lines in a request
)

var (
	ErrMoved       = errors.New("discovery has another address now")
	errWatchIdle   = errors.New("the watch has fallen silent")
	errFetchIdle   = errors.New("the list does not go on")
	errListTimeout = errors.New("the list does not end")
)

// Client is discovery's agent, which another configuration may put at another address.
type Client struct {
	http *http.Client

	mu           sync.Mutex
	addr         string
	targetCtx    context.Context // ends when addr changes
	cancelTarget context.CancelFunc
}

func NewClient(addr string) *Client {
	a := &Client{addr: addr, http: &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true,
		MaxConnsPerHost:    4,
		IdleConnTimeout:    30 * time.Second,
	}}}
	a.targetCtx, a.cancelTarget = context.WithCancel(context.Background())
	return a
}

// Move has all go to addr from here on: what is under way at the old address ends with ErrMoved.
func (a *Client) Move(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.addr == addr {
		return
	}
	a.addr = addr
	a.cancelTarget()
	a.targetCtx, a.cancelTarget = context.WithCancel(context.Background())
	a.http.CloseIdleConnections()
}

// Target returns the address and a context for work there, which ends with ctx, when the agent moves, or by done.
func (a *Client) Target(ctx context.Context) (addr string, work context.Context, done func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	work, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(a.targetCtx, func() { cancel(ErrMoved) })
	return a.addr, work, func() { stop(); cancel(nil) }
}

// Watcher follows discovery's list.
type Watcher struct {
	Log         *slog.Logger
	Client      *Client
	IdleTimeout time.Duration // a watch with no line for so long is dead: one comes every 2 s
	ListTimeout time.Duration // a list comes whole within this; 0: whenever
	OnUpdate    func(List)
	Parts       PartSender // takes lists that are not told as a whole
	Parse       func(*EndpointRecord) (policy.Endpoint, string, error)
	Backoff     backoff.Backoff // one of all relays that follow the list
	Rand        *rand.Rand
	HasList     bool // a list is known that serves meanwhile

	Version       int64 // of the list as told
	NeedsSnapshot bool  // changes alone won't do: the list is to be had whole

	unreadableLines ratelog.Warning // lines
	oversizeLists   ratelog.Warning // lists
}

// NewBackoff tells how a relay shares discovery with the others. Where lists are asked for, all call one service. Where
// they are pushed, the address is an agent of the relay's own, which costs nobody anything; and what it has binds at
// once, also after it was silent.
func NewBackoff(cfg Config) backoff.Backoff {
	c := backoff.Backoff{Clients: 1, Grace: cfg.DrainGrace}
	if cfg.Settings.WatchRequired {
		c.Clients = cfg.Settings.FleetSize
	}
	return c
}

// Run follows the list until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	first := w.HasList
	for ctx.Err() == nil {
		addr, work, done := w.Client.Target(ctx)
		if first {
			sleep(work, w.Backoff.InitialDelay(w.Rand))
		}
		first = false
		if work.Err() == nil {
			w.watchOnce(work, addr)
		}
		// A move ends the pause too: what the new address has binds, and the pause was meant for the old one.
		moved := errors.Is(context.Cause(work), ErrMoved)
		if done(); moved {
			// Another agent need not number its versions alike. The old list serves until this one speaks.
			w.NeedsSnapshot = true
			w.Backoff.Succeeded()
		}
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watchOnce is one watch, until its connection ends or falls silent, and the pause before the next. A connection that is
// cut off says nothing: only the missing lines tell. version is kept up, so that the next watch resumes where this one
// ended.
func (w *Watcher) watchOnce(ctx context.Context, addr string) {
	was, began := w.Version, time.Now()
	err := w.stream(ctx, addr)
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, ErrMoved) {
		return
	} else if cause != nil {
		err = cause
	}
	w.Log.Warn("watch ended", "version", w.Version, "err", err)
	if w.Version != was {
		w.Backoff.Succeeded()
	}
	sleep(ctx, w.Backoff.Failed(w.Rand, time.Since(began)))
}

func (w *Watcher) stream(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if w.NeedsSnapshot && w.fetch(ctx, addr) != nil {
		w.Version = 0 // the watch itself may give the whole list
	}
	silence := time.AfterFunc(w.IdleTimeout, func() { cancel(errWatchIdle) })
	defer silence.Stop()
	res, err := w.get(ctx, fmt.Sprintf("http://%s/catalog/members?stream=1&index=%d", addr, w.Version))
	if err != nil {
		return contextCause(ctx, err)
	}
	defer res.Body.Close()
	w.Backoff.Succeeded()
	lives := func() { silence.Reset(w.IdleTimeout) }
	lists := NewListReader(&boundedSource{src: res.Body, onLine: lives}, w.Parse)
	fetched := int64(math.MinInt64) // changes up to this version are in the whole list that was fetched meanwhile
	for {
		err := w.receive(lists, receiveOptions{knownVersion: fetched, onProgress: lives, cancel: cancel})
		spoilt := isUnreadable(err)
		switch {
		case err == nil:
		case spoilt:
			// Asked for once more it would be as unreadable, for ever: the whole list makes up for it.
			w.unreadableLines.Log(w.Log, "err", err)
			w.NeedsSnapshot = true
		default:
			w.NeedsSnapshot = w.NeedsSnapshot || errors.Is(err, ErrTooLong)
			return contextCause(ctx, unexpectedEOF(err))
		}
		if w.NeedsSnapshot {
			silence.Stop() // nobody listens meanwhile
			if w.fetch(ctx, addr) == nil {
				fetched = w.Version
			}
			lives()
		}
		if spoilt {
			if err := lists.resume(); err != nil {
				return contextCause(ctx, unexpectedEOF(err))
			}
		}
	}
}

// contextCause is why a call ended: what ended its context, if that did.
func contextCause(ctx context.Context, err error) error { return cmp.Or(context.Cause(ctx), err) }

func (w *Watcher) deliver(l List) {
	w.Version, w.NeedsSnapshot = l.Version, w.NeedsSnapshot && !l.Full
	w.OnUpdate(l)
}

// fetch asks for the whole list.
func (w *Watcher) fetch(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stalled := time.AfterFunc(fetchIdleTimeout, func() { cancel(errFetchIdle) })
	defer stalled.Stop()
	res, err := w.get(ctx, fmt.Sprintf("http://%s/catalog/members", addr))
	if err != nil {
		return contextCause(ctx, err)
	}
	defer res.Body.Close()
	moves := func() { stalled.Reset(fetchIdleTimeout) }
	lists := NewListReader(&boundedSource{src: res.Body}, w.Parse)
	err = w.receive(lists, receiveOptions{snapshot: true, knownVersion: math.MinInt64, onProgress: moves, cancel: cancel})
	if err != nil {
		return contextCause(ctx, unexpectedEOF(err))
	}
	return nil
}

func (w *Watcher) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := w.Client.http.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		res.Body.Close()
		return nil, fmt.Errorf("discovery answers %s", res.Status)
	}
	return res, nil
}

// Sender delivers the final notices to the platform, each until it is taken.
type Sender struct {
	log         *slog.Logger
	agent       *Client
	onDelivered func(ids []uint32)

	mu     sync.Mutex
	queue  []Notice
	signal chan struct{}
}

// Notice tells the platform how a message ended.
type Notice struct {
	MessageID    uint32 `json:"-"`
	TraceID      string `json:"id"`
	Status       string `json:"status"`
	RetryAfterMS int64  `json:"again_ms,omitempty"`
}

func NewSender(log *slog.Logger, agent *Client, taken func([]uint32)) *Sender {
	return &Sender{log: log, agent: agent, onDelivered: taken, signal: make(chan struct{}, 1)}
}

// Add queues notices. It never waits, so that the loop does not.
func (f *Sender) Add(ns ...Notice) {
	f.mu.Lock()
	f.queue = append(f.queue, ns...)
	f.mu.Unlock()
	select {
	case f.signal <- struct{}{}:
	default:
	}
}

// Run sends what is queued until ctx ends. A notice that the platform did not confirm goes again: one for a
// message that is over does no harm, one that is missing loses a message.
func (f *Sender) Run(ctx context.Context) {
	pause := minRetryDelay
	untaken := ratelog.Warning{Message: "notices not taken"}
	for {
		f.mu.Lock()
		batch := f.queue[:min(len(f.queue), maxNoticesPerPost)]
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
			if errors.Is(err, ErrMoved) {
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

func (f *Sender) post(ctx context.Context, batch []Notice) error {
	addr, ctx, done := f.agent.Target(ctx)
	defer done()
	err := f.postTo(ctx, addr, batch)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return cause
	}
	return err
}

func (f *Sender) postTo(ctx context.Context, addr string, batch []Notice) error {
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
	res, err := f.agent.http.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, MaxBodySize)); err != nil {
		return err
	}
	if res.StatusCode != http.StatusNoContent {
		return fmt.Errorf("platform answers %s", res.Status)
	}
	return nil
}
