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
	watchSilence  = 4500 * time.Millisecond // see watcher.silence
	listFor       = 30 * time.Second        // a list comes whole within this, however long it is
	retryFirst    = 50 * time.Millisecond
	retryMost     = time.Second
	noticeTimeout = time.Second
	fetchTimeout  = time.Second // a list that was asked for and does not go on for so long is not coming
	noticeMost    = 256         // lines in a request
)

var (
	errMoved   = errors.New("discovery has another address now")
	errSilent  = errors.New("the watch has fallen silent")
	errStalled = errors.New("the list does not go on")
	errEndless = errors.New("the list does not end")
)

// agent is discovery's agent, which another configuration may put at another address.
type agent struct {
	client *http.Client

	mu    sync.Mutex
	addr  string
	moved context.Context // ends when addr changes
	leave context.CancelFunc
}

func newAgent(addr string) *agent {
	a := &agent{addr: addr, client: &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true,
		MaxConnsPerHost:    4,
		IdleConnTimeout:    30 * time.Second,
	}}}
	a.moved, a.leave = context.WithCancel(context.Background())
	return a
}

// move has all go to addr from here on: what is under way at the old address ends with errMoved.
func (a *agent) move(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.addr == addr {
		return
	}
	a.addr = addr
	a.leave()
	a.moved, a.leave = context.WithCancel(context.Background())
	a.client.CloseIdleConnections()
}

// here returns the address and a context for work there, which ends with ctx, when the agent moves, or by done.
func (a *agent) here(ctx context.Context) (addr string, work context.Context, done func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	work, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(a.moved, func() { cancel(errMoved) })
	return a.addr, work, func() { stop(); cancel(nil) }
}

// watcher follows discovery's list.
type watcher struct {
	log     *slog.Logger
	agent   *agent
	silence time.Duration // a watch with no line for so long is dead: one comes every 2 s
	within  time.Duration // a list comes whole within this; 0: whenever
	told    func(List)
	long    parts // takes lists that are not told as a whole
	listing func(*member) (policy.Endpoint, string, error)
	herd    backoff.Backoff // one of all relays that follow the list
	rng     *rand.Rand
	known   bool // a list is known that serves meanwhile

	version int64 // of the list as told
	whole   bool  // changes alone won't do: the list is to be had whole

	unread   ratelog.Warning // lines
	oversize ratelog.Warning // lists
}

// listCaller tells how a relay shares discovery with the others. Where lists are asked for, all call one service. Where
// they are pushed, the address is an agent of the relay's own, which costs nobody anything; and what it has binds at
// once, also after it was silent.
func listCaller(cfg Config) backoff.Backoff {
	c := backoff.Backoff{Clients: 1, Grace: cfg.DrainGrace}
	if cfg.Settings.WatchRequired {
		c.Clients = cfg.Settings.FleetSize
	}
	return c
}

// run follows the list until ctx ends.
func (w *watcher) run(ctx context.Context) {
	first := w.known
	for ctx.Err() == nil {
		addr, work, done := w.agent.here(ctx)
		if first {
			sleep(work, w.herd.InitialDelay(w.rng))
		}
		first = false
		if work.Err() == nil {
			w.follow(work, addr)
		}
		// A move ends the pause too: what the new address has binds, and the pause was meant for the old one.
		moved := errors.Is(context.Cause(work), errMoved)
		if done(); moved {
			// Another agent need not number its versions alike. The old list serves until this one speaks.
			w.whole = true
			w.herd.Succeeded()
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

// follow is one watch, until its connection ends or falls silent, and the pause before the next. A connection that is
// cut off says nothing: only the missing lines tell. version is kept up, so that the next watch resumes where this one
// ended.
func (w *watcher) follow(ctx context.Context, addr string) {
	was, began := w.version, time.Now()
	err := w.stream(ctx, addr)
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errMoved) {
		return
	} else if cause != nil {
		err = cause
	}
	w.log.Warn("watch ended", "version", w.version, "err", err)
	if w.version != was {
		w.herd.Succeeded()
	}
	sleep(ctx, w.herd.Failed(w.rng, time.Since(began)))
}

func (w *watcher) stream(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if w.whole && w.fetch(ctx, addr) != nil {
		w.version = 0 // the watch itself may give the whole list
	}
	silence := time.AfterFunc(w.silence, func() { cancel(errSilent) })
	defer silence.Stop()
	res, err := w.get(ctx, fmt.Sprintf("http://%s/catalog/members?stream=1&index=%d", addr, w.version))
	if err != nil {
		return ended(ctx, err)
	}
	defer res.Body.Close()
	w.herd.Succeeded()
	lives := func() { silence.Reset(w.silence) }
	lists := newListReader(&listSource{from: res.Body, lines: lives}, w.listing)
	fetched := int64(math.MinInt64) // changes up to this version are in the whole list that was fetched meanwhile
	for {
		err := w.receive(lists, receipt{known: fetched, moves: lives, stop: cancel})
		spoilt := unread(err)
		switch {
		case err == nil:
		case spoilt:
			// Asked for once more it would be as unreadable, for ever: the whole list makes up for it.
			w.unread.Log(w.log, "err", err)
			w.whole = true
		default:
			w.whole = w.whole || errors.Is(err, errTooLong)
			return ended(ctx, unfinished(err))
		}
		if w.whole {
			silence.Stop() // nobody listens meanwhile
			if w.fetch(ctx, addr) == nil {
				fetched = w.version
			}
			lives()
		}
		if spoilt {
			if err := lists.resume(); err != nil {
				return ended(ctx, unfinished(err))
			}
		}
	}
}

// ended is why a call ended: what ended its context, if that did.
func ended(ctx context.Context, err error) error { return cmp.Or(context.Cause(ctx), err) }

func (w *watcher) take(l List) {
	w.version, w.whole = l.Version, w.whole && !l.Full
	w.told(l)
}

// fetch asks for the whole list.
func (w *watcher) fetch(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stalled := time.AfterFunc(fetchTimeout, func() { cancel(errStalled) })
	defer stalled.Stop()
	res, err := w.get(ctx, fmt.Sprintf("http://%s/catalog/members", addr))
	if err != nil {
		return ended(ctx, err)
	}
	defer res.Body.Close()
	moves := func() { stalled.Reset(fetchTimeout) }
	lists := newListReader(&listSource{from: res.Body}, w.listing)
	err = w.receive(lists, receipt{whole: true, known: math.MinInt64, moves: moves, stop: cancel})
	if err != nil {
		return ended(ctx, unfinished(err))
	}
	return nil
}

func (w *watcher) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := w.agent.client.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		res.Body.Close()
		return nil, fmt.Errorf("discovery answers %s", res.Status)
	}
	return res, nil
}

// finals delivers the final notices to the platform, each until it is taken.
type finals struct {
	log   *slog.Logger
	agent *agent
	taken func(ids []uint32)

	mu     sync.Mutex
	queue  []notice
	signal chan struct{}
}

// notice tells the platform how a message ended.
type notice struct {
	id      uint32
	ID      string `json:"id"`
	Status  string `json:"status"`
	AgainMS int64  `json:"again_ms,omitempty"`
}

func newFinals(log *slog.Logger, agent *agent, taken func([]uint32)) *finals {
	return &finals{log: log, agent: agent, taken: taken, signal: make(chan struct{}, 1)}
}

// add queues notices. It never waits, so that the loop does not.
func (f *finals) add(ns ...notice) {
	f.mu.Lock()
	f.queue = append(f.queue, ns...)
	f.mu.Unlock()
	select {
	case f.signal <- struct{}{}:
	default:
	}
}

// run sends what is queued until ctx ends. A notice that the platform did not confirm goes again: one for a
// message that is over does no harm, one that is missing loses a message.
func (f *finals) run(ctx context.Context) {
	pause := retryFirst
	untaken := ratelog.Warning{Message: "notices not taken"}
	for {
		f.mu.Lock()
		batch := f.queue[:min(len(f.queue), noticeMost)]
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
			if errors.Is(err, errMoved) {
				pause = retryFirst
				continue // at once, to the new address
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
			pause = min(retryMost, 2*pause)
			continue
		}
		pause = retryFirst
		ids := make([]uint32, 0, len(batch))
		for _, n := range batch {
			ids = append(ids, n.id)
		}
		f.mu.Lock()
		if f.queue = f.queue[len(batch):]; len(f.queue) == 0 {
			f.queue = nil
		}
		f.mu.Unlock()
		f.taken(ids)
	}
}

func (f *finals) post(ctx context.Context, batch []notice) error {
	addr, ctx, done := f.agent.here(ctx)
	defer done()
	err := f.postTo(ctx, addr, batch)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return cause
	}
	return err
}

func (f *finals) postTo(ctx context.Context, addr string, batch []notice) error {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
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
	res, err := f.agent.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, bodyMost)); err != nil {
		return err
	}
	if res.StatusCode != http.StatusNoContent {
		return fmt.Errorf("platform answers %s", res.Status)
	}
	return nil
}
