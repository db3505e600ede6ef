package rehearsal

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
)

// bad is a plain relay: it sends each message to the first host of its destination in service, again after a pause if
// that did not take it, and fails it when its time is up or it may have run. It keeps the rules, but for the one that
// its mode breaks.
type bad struct {
	mode      string
	discovery string

	mu    sync.Mutex
	hosts map[string]badHost
	waits map[string]time.Time     // by destination, or by route for gateways
	turns map[string]chan struct{} // by key: closed when its last message has its end
}

type badHost struct {
	ID, Addr, Kind, State, Zone string
	Cell                        int
}

func badRelay(mode string) {
	var config struct {
		Known struct{ Servers []badHost }
	}
	data, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err == nil {
		err = json.Unmarshal(data, &config)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	b := &bad{
		mode: mode, discovery: os.Getenv("ROUTER_DISCOVERY"), hosts: map[string]badHost{}, waits: map[string]time.Time{},
		turns: map[string]chan struct{}{},
	}
	for _, h := range config.Known.Servers {
		b.hosts[h.ID] = h
	}
	go b.watch()
	http.HandleFunc("GET /_health", func(http.ResponseWriter, *http.Request) {})
	http.HandleFunc("POST /{class}", b.handIn)
	fmt.Fprintln(os.Stderr, http.ListenAndServe(os.Getenv("ROUTER_LISTEN"), nil))
}

func (b *bad) watch() {
	res, err := http.Get("http://" + b.discovery + "/catalog/members?stream=1&index=0")
	if err != nil {
		return
	}
	for lines := json.NewDecoder(res.Body); ; {
		var l struct{ Servers []badHost }
		if lines.Decode(&l) != nil {
			return
		}
		b.mu.Lock()
		for _, h := range l.Servers {
			if old, ok := b.hosts[h.ID]; ok && h.Addr == "" {
				h.Addr, h.Cell, h.Kind, h.Zone = old.Addr, old.Cell, old.Kind, old.Zone
			}
			b.hosts[h.ID] = h
		}
		b.mu.Unlock()
	}
}

// pick is the host for a destination: the first by its id, at a drained one if that is the mode.
func (b *bad) pick(dest int) (badHost, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var can []badHost
	for _, h := range b.hosts {
		if h.Cell != dest || h.State != "ready" && b.mode != "drain" {
			continue
		}
		if time.Now().Before(b.waits[b.place(h)]) && b.mode != "wait" {
			return badHost{}, false
		}
		can = append(can, h)
	}
	if len(can) == 0 {
		return badHost{}, false
	}
	return slices.MinFunc(can, func(x, y badHost) int { return strings.Compare(x.ID, y.ID) }), true
}

func (b *bad) place(h badHost) string {
	if h.Kind == "gateway" {
		return h.ID
	}
	return strconv.Itoa(h.Cell)
}

func (b *bad) handIn(w http.ResponseWriter, r *http.Request) {
	if b.mode == "door" { // turns all away: the load alone is measured
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	dest, _ := strconv.Atoi(strings.TrimPrefix(r.Header.Get("Envelope"), "dest="))
	left, _ := strconv.Atoi(r.Header.Get("X-Expires-In-Ms"))
	if err != nil || dest == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, class, order := r.Header.Get("X-Trace-Id"), r.PathValue("class"), r.URL.Query().Get("key")
	deadline := time.Now().Add(time.Duration(left) * time.Millisecond)
	before, done := b.turn(order)
	w.WriteHeader(http.StatusAccepted)
	if b.mode == "lose" && order == "" && strings.HasSuffix(id, "0") {
		return
	}
	go func() {
		defer close(done)
		select {
		case <-before:
			b.deliver(id, class, dest, body, deadline)
		case <-time.After(time.Until(deadline) - 200*time.Millisecond):
			b.end(id)
			<-before
		}
	}()
}

// turn queues a message behind those of its key that came before; before is closed when it may go.
func (b *bad) turn(order string) (before, done chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before, done = b.turns[order], make(chan struct{})
	if b.mode == "order" && order != "" {
		if before == nil { // waits for the next of its key
			b.turns[order] = done
			return done, make(chan struct{})
		}
		delete(b.turns, order)
		done = before // the next goes first, and lets it go
		before = nil
	}
	if order == "" || before == nil {
		before = make(chan struct{})
		close(before)
	}
	if order != "" && b.mode != "order" {
		b.turns[order] = done
	}
	return before, done
}

// deliver makes calls until one is answered well, and ends the message if none is.
func (b *bad) deliver(id, class string, dest int, body []byte, deadline time.Time) {
	for time.Until(deadline) > 300*time.Millisecond {
		h, ok := b.pick(dest)
		if !ok {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		status, wait := b.call(h, id, body, deadline)
		switch {
		case status == 200:
			if b.mode == "twice" && class == "payment" {
				b.call(h, id, body, deadline)
			}
			return
		case status == 429 || status == 503:
			b.mu.Lock()
			if until := time.Now().Add(wait + 5*time.Millisecond); wait > 0 && until.After(b.waits[b.place(h)]) {
				b.waits[b.place(h)] = until
			}
			b.mu.Unlock()
			pause := 200 * time.Millisecond
			if b.mode == "push" {
				pause = 20 * time.Millisecond
			}
			time.Sleep(pause)
		default:
			b.end(id)
			time.Sleep(1050 * time.Millisecond) // it may still run: its key rests
			return
		}
	}
	b.end(id)
}

func (b *bad) end(id string) {
	res, err := http.Post("http://"+b.discovery+"/v2/finals", "application/json",
		bytes.NewReader(fmt.Appendf(nil, `{"id":%q,"status":"undeliverable"}`, id)))
	if err == nil {
		res.Body.Close()
	}
}

func (b *bad) call(h badHost, id string, body []byte, deadline time.Time) (status int, wait time.Duration) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(-100*time.Millisecond))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Addr+"/events", bytes.NewReader(body))
	if err != nil {
		return 0, 0
	}
	req.Header.Set("X-Trace-Id", id)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return res.StatusCode, time.Duration(seconds * float64(time.Second))
}

// Real processes that break one rule each are convicted of that one, by the whole kit; the same process without its
// vice is acquitted.
func TestBadRelaysAreConvicted(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	const trouble = `
[[trouble]]
kind = "drain"
at = "1s"
share = 0.5
drain = "4s"

[[trouble]]
kind = "shut"
at = "500ms"
for = "1500ms"
destinations = [1]
`
	// A backlog for a partner that is back, able to do little: the vice is to ask at once, and again and again.
	const cold = `
[[traffic]]
from = "1s"
to = "6s"
rate = 60
destinations = [1]

[[trouble]]
kind = "shut"
at = "1s"
for = "2s"
destinations = [1]
`
	for mode, want := range map[string]checker.Rule{
		"none": "", "lose": checker.NoMessageLost, "twice": checker.NoDuplicateEffect, "drain": checker.DrainRespected, "wait": checker.RetryAfterRespected, "order": checker.OrderKept, "push": checker.RecoveryNotOverloaded,
	} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			more := trouble
			if mode == "push" {
				more = cold
			}
			f := parse(t, "7s", 1, more)
			f.Settings.MaxConcurrentCalls = 1000
			if mode == "push" {
				f.DestinationKinds[0].RetryAfterRatio, f.DestinationKinds[0].WarmUpInitialCapacity = 0, 0.05
			}
			dir := t.TempDir()
			r, err := Run(
				context.Background(),
				f,
				Options{Dir: dir, Binary: script(t, "REHEARSAL_BAD_RELAY="+mode+" exec "+self)},
			)
			if err != nil {
				t.Fatal(err)
			}
			for _, x := range r.Verdict.Rules {
				if (x.State == checker.Violated) != (x.Rule == want) {
					t.Errorf(
						"%s: %s %d of %d; want only %q broken; %.3v",
						x.Rule,
						x.State,
						x.ViolationCount,
						x.Exercised,
						want,
						x.Violations[:min(2, len(x.Violations))],
					)
				}
			}
			if len(r.Verdict.RunErrors)+len(r.Verdict.InconclusiveReasons) > 0 {
				t.Errorf("faults %v, doubts %v", r.Verdict.RunErrors, r.Verdict.InconclusiveReasons)
			}
			noneLeft(t, dir)
		})
	}
}
