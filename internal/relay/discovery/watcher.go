package discovery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery/backoff"
	"cherrytrestle.example/cherrytrestle/internal/relay/jsonstream"
	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	WatchIdleTimeout = 4500 * time.Millisecond // see Watcher.IdleTimeout
	ListTimeout      = 30 * time.Second        // a list comes whole within this, however long it is
	fetchIdleTimeout = time.Second             // a list that was asked for and does not go on for so long is not coming
)

var (
	errWatchIdle   = errors.New("the watch has fallen silent")
	errFetchIdle   = errors.New("the list does not go on")
	errListTimeout = errors.New("the list does not end")
)

// Config is what a Watcher goes by.
type Config struct {
	Log    *slog.Logger
	Client *Client
	Parser *Parser

	Backoff backoff.Backoff // paces the calls of all relays that watch the list
	Rand    *rand.Rand

	IdleTimeout time.Duration // a watch with no line for so long is dead: one comes every 2 s
	ListTimeout time.Duration // a list comes whole within this; 0: whenever

	HasList       bool  // a list is known that serves meanwhile
	Version       int64 // of that list
	NeedsSnapshot bool  // changes alone won't do: the list is to be had whole

	OnUpdate func(List)               // takes lists that are told as a whole
	OnPart   func(*SnapshotPart) bool // takes the parts of other lists; false: nobody takes parts any more
	Stopped  <-chan struct{}          // closed when nobody takes parts any more
	// LargeList tells whether all lists go in parts that are not short changes; nil: none do.
	LargeList func() bool
}

// Watcher follows discovery's list.
type Watcher struct {
	Config
	parts partSender

	unreadableLines ratelog.Warning
	oversizeLists   ratelog.Warning
}

// NewWatcher returns a watcher that begins with Run.
func NewWatcher(cfg Config) *Watcher {
	return &Watcher{
		Config:          cfg,
		parts:           partSender{post: cfg.OnPart, stopped: cfg.Stopped, largeList: cfg.LargeList},
		unreadableLines: ratelog.Warning{Message: "unreadable line of the watch"},
		oversizeLists:   ratelog.Warning{Message: "list not taken"},
	}
}

// NewBackoff tells how a relay shares discovery with the others. Where lists are asked for, all call one service. Where
// they are pushed, the address is an agent of the relay's own, which costs nobody anything; and what it has binds at
// once, also after it was silent.
func NewBackoff(settings policy.Settings, grace time.Duration) backoff.Backoff {
	c := backoff.Backoff{Clients: 1, Grace: grace}
	if settings.WatchRequired {
		c.Clients = settings.FleetSize
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
	lists := newListReader(&boundedSource{src: res.Body, onLine: lives}, w.Parser)
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
			return contextCause(ctx, jsonstream.NoEOF(err))
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
				return contextCause(ctx, jsonstream.NoEOF(err))
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
	lists := newListReader(&boundedSource{src: res.Body}, w.Parser)
	err = w.receive(lists, receiveOptions{snapshot: true, knownVersion: math.MinInt64, onProgress: moves, cancel: cancel})
	if err != nil {
		return contextCause(ctx, jsonstream.NoEOF(err))
	}
	return nil
}

func (w *Watcher) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := w.Client.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		res.Body.Close()
		return nil, fmt.Errorf("discovery answers %s", res.Status)
	}
	return res, nil
}
