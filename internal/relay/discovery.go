package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	watchSilence  = 4500 * time.Millisecond // see watcher.silence
	watchLineMost = 1 << 20
	retryFirst    = 50 * time.Millisecond
	retryMost     = time.Second
	noticeTimeout = time.Second
	noticeMost    = 256 // lines in a request
)

// newAgentClient returns a client for discovery's agent.
func newAgentClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true,
		MaxConnsPerHost:    4,
	}}
}

// watcher follows discovery's list.
type watcher struct {
	log     *slog.Logger
	client  *http.Client
	addr    string
	silence time.Duration // a watch with no line for so long is dead: one comes every 2 s
	told    func(List)
}

// run follows the list from version on until ctx ends.
func (w *watcher) run(ctx context.Context, version int64) {
	pause := retryFirst
	for ctx.Err() == nil {
		was := version
		err := w.follow(ctx, &version)
		if ctx.Err() != nil {
			return
		}
		w.log.Warn("watch ended", "version", version, "err", err)
		if version != was {
			pause = retryFirst
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(retryMost, 2*pause)
	}
}

// follow is one watch, until its connection ends or falls silent. A connection that is cut off says nothing:
// only the missing lines tell. version is kept up, so that the next watch resumes where this one ended.
func (w *watcher) follow(ctx context.Context, version *int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(w.silence, cancel)
	defer silence.Stop()
	url := fmt.Sprintf("http://%s/catalog/members?stream=1&index=%d", w.addr, *version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := w.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answers %s", res.Status)
	}
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, watchLineMost)
	for lines.Scan() {
		silence.Reset(w.silence)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		l, err := parseList(line)
		if err != nil {
			return fmt.Errorf("unreadable line: %w", err)
		}
		*version = l.Version
		w.told(l)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// finals delivers the final notices to the platform, each until it is taken.
type finals struct {
	log    *slog.Logger
	client *http.Client
	url    string
	taken  func(ids []uint32)

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

func newFinals(log *slog.Logger, client *http.Client, addr string, taken func([]uint32)) *finals {
	return &finals{
		log: log, client: client, url: "http://" + addr + "/v2/finals", taken: taken, signal: make(chan struct{}, 1),
	}
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
			f.log.Warn("notices not taken", "count", len(batch), "err", err)
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
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	var lines bytes.Buffer
	enc := json.NewEncoder(&lines)
	for _, n := range batch {
		if err := enc.Encode(n); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url, &lines)
	if err != nil {
		return err
	}
	res, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, answerMost)); err != nil {
		return err
	}
	if res.StatusCode != http.StatusNoContent {
		return fmt.Errorf("platform answers %s", res.Status)
	}
	return nil
}
