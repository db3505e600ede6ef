package discovery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery/backoff"
	"cherrytrestle.example/cherrytrestle/internal/relay/jsonstream"
	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// WatchIdleTimeout is the usual Config.IdleTimeout. Discovery sends a line every 2 s, if only a blank one.
	WatchIdleTimeout = 4500 * time.Millisecond
	// ListTimeout is the usual Config.ListTimeout: a list comes in full within this, however long it is.
	ListTimeout = 30 * time.Second
	// fetchIdleTimeout bounds the time between the parts of a list that was fetched: one that stalls is not coming.
	fetchIdleTimeout = time.Second
)

var (
	errWatchIdle   = errors.New("watch is idle: no line in time")
	errFetchIdle   = errors.New("list stalled")
	errListTimeout = errors.New("list does not end in time")
)

// Config is what a Watcher needs from its owner.
type Config struct {
	Log    *slog.Logger
	Client *Client
	Parser *Parser

	Backoff backoff.Backoff // paces the calls of all relays that watch the list
	Rand    *rand.Rand      // for Backoff

	IdleTimeout time.Duration // a watch without a line for so long is dead
	ListTimeout time.Duration // a list ends within this time; 0: it may take any time

	HasList       bool  // the owner has a list, which serves meanwhile
	Version       int64 // of that list
	NeedsSnapshot bool  // that list may lack endpoints: the full list is fetched first

	OnUpdate func(List)               // receives lists that are delivered as a whole
	OnPart   func(*SnapshotPart) bool // receives the parts of other lists; false: the owner has stopped
	Stopped  <-chan struct{}          // closed when the owner has stopped and answers no more parts
	// LargeList reports whether all full lists, and changes over MaxPartEntries, go in parts. nil: they do not.
	LargeList func() bool
}

// Watcher watches the endpoint list: it fetches full lists and follows the stream of changes, and delivers both to its
// owner.
type Watcher struct {
	cfg           Config
	backoff       backoff.Backoff
	version       int64 // of the list as it was delivered
	needsSnapshot bool  // changes alone are not enough: the full list is to be fetched
	parts         partSender

	unreadableLines ratelog.Warning
	oversizeLists   ratelog.Warning
}

// NewWatcher returns a watcher, which begins with Run.
func NewWatcher(cfg Config) *Watcher {
	return &Watcher{
		cfg:             cfg,
		backoff:         cfg.Backoff,
		version:         cfg.Version,
		needsSnapshot:   cfg.NeedsSnapshot,
		parts:           partSender{post: cfg.OnPart, stopped: cfg.Stopped},
		unreadableLines: ratelog.Warning{Message: "unreadable line of the watch"},
		oversizeLists:   ratelog.Warning{Message: "endpoint list too long"},
	}
}

// NewBackoff returns the backoff of a relay with these settings. Where relays poll for lists, all of them call one
// service. Where lists are pushed, the address is an agent of the relay's own: calls to it burden nobody else, and what
// it has binds at once, also after it was silent.
func NewBackoff(settings policy.Settings, grace time.Duration) backoff.Backoff {
	b := backoff.Backoff{Clients: 1, Grace: grace}
	if settings.WatchRequired {
		b.Clients = settings.FleetSize
	}
	return b
}

// Run watches the list until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	delayed := w.cfg.HasList
	for ctx.Err() == nil {
		addr, targetCtx, release := w.cfg.Client.Target(ctx)
		if delayed {
			sleep(targetCtx, w.backoff.InitialDelay(w.cfg.Rand))
		}
		delayed = false
		if targetCtx.Err() == nil {
			w.watchOnce(targetCtx, addr)
		}
		// A move ends the pause, too: the list at the new address binds, and the pause was meant for the old one.
		moved := errors.Is(context.Cause(targetCtx), ErrMoved)
		release()
		if moved {
			// Another agent may number its versions otherwise. The old list serves until this one answers.
			w.needsSnapshot = true
			w.backoff.Succeeded()
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

// watchOnce runs one watch until its connection ends or is idle, and the pause before the next. A connection that is
// cut off gives no sign but missing lines. The version is kept up, so that the next watch resumes where this one ended.
func (w *Watcher) watchOnce(ctx context.Context, addr string) {
	before := w.version
	began := time.Now()
	err := w.stream(ctx, addr)
	cause := context.Cause(ctx)
	if cause != nil && !errors.Is(cause, ErrMoved) {
		return // the watcher is to end
	}
	w.cfg.Log.Warn("watch ended", "version", w.version, "err", cmp.Or(cause, err))
	if w.version != before {
		w.backoff.Succeeded()
	}
	sleep(ctx, w.backoff.Failed(w.cfg.Rand, time.Since(began)))
}

// stream reads lists from a watch until that ends, and returns why it did.
func (w *Watcher) stream(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if w.needsSnapshot && w.fetch(ctx, addr) != nil {
		w.version = 0 // the watch itself may send the full list
	}
	idle := time.AfterFunc(w.cfg.IdleTimeout, func() { cancel(errWatchIdle) })
	defer idle.Stop()
	res, err := w.get(ctx, fmt.Sprintf("http://%s/catalog/members?stream=1&index=%d", addr, w.version))
	if err != nil {
		return contextCause(ctx, err)
	}
	defer closeBody(res)
	w.backoff.Succeeded()
	alive := func() { idle.Reset(w.cfg.IdleTimeout) }
	lists := newListReader(&boundedSource{src: res.Body, onLine: alive}, w.cfg.Parser)
	options := receiveOptions{knownVersion: noVersion, onProgress: alive, cancel: cancel}
	for {
		unreadable, err := w.receiveUpdate(lists, options)
		if err != nil {
			return contextCause(ctx, jsonstream.NoEOF(err))
		}
		if w.needsSnapshot {
			idle.Stop() // the watch is not read meanwhile
			if w.fetch(ctx, addr) == nil {
				options.knownVersion = w.version
			}
			alive()
		}
		if !unreadable {
			continue
		}
		if err := lists.resume(); err != nil {
			return contextCause(ctx, jsonstream.NoEOF(err))
		}
	}
}

// receiveUpdate receives one list of a watch. An unreadable one is no error: it would be as unreadable if the watch
// began again from the version before it, forever. The full list makes up for it.
func (w *Watcher) receiveUpdate(lists *ListReader, options receiveOptions) (unreadable bool, err error) {
	err = w.receive(lists, options)
	if err == nil {
		return false, nil
	}
	if isUnreadable(err) {
		w.unreadableLines.Log(w.cfg.Log, "err", err)
		w.needsSnapshot = true
		return true, nil
	}
	w.needsSnapshot = w.needsSnapshot || errors.Is(err, ErrTooLong)
	return false, err
}

// fetch requests and receives the full list.
func (w *Watcher) fetch(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(fetchIdleTimeout, func() { cancel(errFetchIdle) })
	defer idle.Stop()
	res, err := w.get(ctx, fmt.Sprintf("http://%s/catalog/members", addr))
	if err != nil {
		return contextCause(ctx, err)
	}
	defer closeBody(res)
	lists := newListReader(&boundedSource{src: res.Body}, w.cfg.Parser)
	err = w.receive(lists, receiveOptions{
		fullSnapshot: true,
		knownVersion: noVersion,
		onProgress:   func() { idle.Reset(fetchIdleTimeout) },
		cancel:       cancel,
	})
	if err != nil {
		return contextCause(ctx, jsonstream.NoEOF(err))
	}
	return nil
}

// get requests url and returns the response, whose body the caller closes.
func (w *Watcher) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := w.cfg.Client.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		closeBody(res)
		return nil, fmt.Errorf("discovery answers %s", res.Status)
	}
	return res, nil
}

// closeBody ends a response. What is left of it is of no use, and neither is the error of closing it.
func closeBody(res *http.Response) { _ = res.Body.Close() }

// contextCause returns why a call ended: the cause for which its context ended, if that has, or else its error.
func contextCause(ctx context.Context, err error) error { return cmp.Or(context.Cause(ctx), err) }
