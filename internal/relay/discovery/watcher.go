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
	// WatchIdleTimeout is the usual Config.IdleTimeout. Discovery sends at least a blank line every 2 s.
	WatchIdleTimeout = 4500 * time.Millisecond
	// ListTimeout is the usual Config.ListTimeout. Even the longest list is complete within this time.
	ListTimeout = 30 * time.Second
	// fetchIdleTimeout bounds how long the fetch of a list may make no progress. A list that stalls for longer is not
	// expected to arrive.
	fetchIdleTimeout = time.Second
)

var (
	errWatchIdle   = errors.New("watch is idle: no line within the idle timeout")
	errFetchIdle   = errors.New("fetch of the endpoint list made no progress within the idle timeout")
	errListTimeout = errors.New("endpoint list not complete within the list timeout")
)

// Config configures a Watcher.
type Config struct {
	Log    *slog.Logger
	Client *Client
	Parser *Parser

	Backoff backoff.Backoff // delays calls; accounts for the other relays that call the same service
	Rand    *rand.Rand      // source of randomness for Backoff

	IdleTimeout time.Duration // a watch is ended if it receives no line for this long
	ListTimeout time.Duration // a list is given up if it is not complete within this time; 0: no limit

	HasList       bool  // the owner has a list, which it uses until it receives a newer one
	Version       int64 // of the owner's list
	NeedsSnapshot bool  // the owner's list may lack endpoints: the full list is fetched first

	OnUpdate func(List)               // receives lists that are delivered as a whole
	OnPart   func(*SnapshotPart) bool // receives the parts of other lists; returns false if the owner has stopped
	Stopped  <-chan struct{}          // closed when the owner has stopped and answers no more parts
	// LargeList reports whether the owner holds a long list. If so, full lists of any length and changes of more than
	// MaxPartEntries entries are delivered in parts. If not, or if LargeList is nil, only lists of more than
	// catalog.MaxEagerEndpoints entries are.
	LargeList func() bool
}

// Watcher watches the endpoint list: it fetches full lists, follows the stream of changes and delivers both to its
// owner.
type Watcher struct {
	cfg           Config
	backoff       backoff.Backoff
	version       int64 // version of the list from which the next watch starts
	needsSnapshot bool  // changes are not enough: the full list must be fetched
	parts         partSender

	unreadableLines ratelog.Warning
	oversizeLists   ratelog.Warning
}

// NewWatcher returns a watcher. Run starts it.
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

// NewBackoff returns the backoff of a relay with these settings. Where relays poll for lists (settings.WatchRequired),
// all of them call one service, so the fleet size sets the delays. Otherwise lists are pushed to an agent of the
// relay's own, and calls to that agent put no load on others. The grace of a change begins when the agent has the
// change, even if the agent did not answer before.
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
		// A move also ends the delay before the next call: the delay was meant for the old address, and the list at the
		// new one applies at once.
		moved := errors.Is(context.Cause(targetCtx), ErrMoved)
		release()
		if moved {
			// The new agent may number its versions differently. The owner uses the old list until the new agent
			// answers.
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

// watchOnce runs one watch until its connection ends or is idle, and then waits for the delay before the next watch. An
// interrupted network may show only as missing lines. The next watch resumes from the version that this one has
// reached.
func (w *Watcher) watchOnce(ctx context.Context, addr string) {
	before := w.version
	began := time.Now()
	err := w.stream(ctx, addr)
	cause := context.Cause(ctx)
	if cause != nil && !errors.Is(cause, ErrMoved) {
		return // the watcher is stopping
	}
	w.cfg.Log.Warn("watch ended", "version", w.version, "err", cmp.Or(cause, err))
	if w.version != before {
		w.backoff.Succeeded()
	}
	sleep(ctx, w.backoff.Failed(w.cfg.Rand, time.Since(began)))
}

// stream reads lists from a watch until the watch ends, and returns why it ended.
func (w *Watcher) stream(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if w.needsSnapshot && w.fetch(ctx, addr) != nil {
		w.version = 0 // a watch from version 0 may send the full list
	}
	idle := time.AfterFunc(w.cfg.IdleTimeout, func() { cancel(errWatchIdle) })
	defer idle.Stop()
	res, err := w.get(ctx, fmt.Sprintf("http://%s/catalog/members?stream=1&index=%d", addr, w.version))
	if err != nil {
		return contextCause(ctx, err)
	}
	defer closeBody(res)
	w.backoff.Succeeded()
	resetIdle := func() { idle.Reset(w.cfg.IdleTimeout) }
	lists := newListReader(&boundedSource{src: res.Body, onLine: resetIdle}, w.cfg.Parser)
	options := receiveOptions{knownVersion: noVersion, onProgress: resetIdle, cancel: cancel}
	for {
		unreadable, err := w.receiveUpdate(lists, options)
		if err != nil {
			return contextCause(ctx, jsonstream.NoEOF(err))
		}
		if w.needsSnapshot {
			idle.Stop() // the watch is not read during the fetch
			if w.fetch(ctx, addr) == nil {
				options.knownVersion = w.version
			}
			resetIdle()
		}
		if !unreadable {
			continue
		}
		if err := lists.resume(); err != nil {
			return contextCause(ctx, jsonstream.NoEOF(err))
		}
	}
}

// receiveUpdate receives one list of a watch. An unreadable list is not an error: a new watch from the version before
// it would receive the same list again and again. The full list is fetched in its place.
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
		return nil, fmt.Errorf("discovery answered GET %s with status %s", url, res.Status)
	}
	return res, nil
}

// closeBody closes the body of a response. Data that is left in the body is not needed, and neither is an error of
// closing it.
func closeBody(res *http.Response) { _ = res.Body.Close() }

// contextCause returns why a call ended: the cause of its context if that is cancelled, or else err.
func contextCause(ctx context.Context, err error) error { return cmp.Or(context.Cause(ctx), err) }
