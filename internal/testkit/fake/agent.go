package fake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

const (
	heartbeat = 2 * time.Second // between empty lines of a watch
	// toldBy is when what the agent has counts as told, whether or not it arrived.
	toldBy      = 6 * time.Second
	noticesMost = 1 << 20 // bytes of a request with notices
)

// ListedEndpoint is an entry of the list.
type ListedEndpoint struct {
	ID          string  `json:"id"`
	Addr        string  `json:"addr,omitempty"`
	Zone        string  `json:"zone"`
	Kind        string  `json:"kind"`
	Destination int     `json:"cell"`
	State       string  `json:"state"`
	Weight      float64 `json:"weight"`
	StartedMS   int64   `json:"started_ms"`
}

// EndpointList is the list, or changes to it, as discovery writes it.
type EndpointList struct {
	Version   int64            `json:"version"`
	Full      bool             `json:"full"`
	Endpoints []ListedEndpoint `json:"servers"`
}

// DiscoveryAgent is discovery's agent on the machine of one relay.
type DiscoveryAgent struct {
	relay  string
	rec    *eventlog.Writer
	world  *World
	ln     net.Listener
	server *http.Server

	mu      sync.Mutex
	changed chan struct{} // closed and made anew when there is something to say
	members map[string]ListedEndpoint
	log     []change         // by version, from the first
	late    []ListedEndpoint // what discovery has for it while it is silent
	hushed  bool
	running bool // the relay
}

type change struct {
	ListedEndpoint
	told bool
}

// NewDiscoveryAgent starts the agent of a relay with the list as it is, which counts as told.
func NewDiscoveryAgent(relay string, rec *eventlog.Writer, world *World, list []ListedEndpoint) (*DiscoveryAgent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("standin: agent of %s: %w", relay, err)
	}
	a := &DiscoveryAgent{
		relay:   relay,
		rec:     rec,
		world:   world,
		ln:      ln,
		changed: make(chan struct{}),
		members: map[string]ListedEndpoint{},
	}
	for _, m := range list {
		a.log = append(a.log, change{m, true})
		a.members[m.ID] = m
		a.record(m)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.list)
	mux.HandleFunc("POST /v2/finals", a.finals)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go a.server.Serve(ln) // ends with Close
	return a, nil
}

// Addr is where the relay finds the agent.
func (a *DiscoveryAgent) Addr() string { return a.ln.Addr().String() }

// Close ends the agent and all that it has open.
func (a *DiscoveryAgent) Close() error {
	err := a.server.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hushed = false
	a.wake()
	return err
}

func (a *DiscoveryAgent) record(m ListedEndpoint) {
	a.rec.Add(eventlog.Event{Kind: eventlog.RelayNotified, Relay: a.relay, Host: m.ID, State: m.State, Destination: m.Destination})
}

// wake is called with mu held.
func (a *DiscoveryAgent) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Update gives the agent a change that discovery has for it.
func (a *DiscoveryAgent) Update(m ListedEndpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hushed {
		a.late = append(a.late, m)
		return
	}
	a.take(m)
}

// take is called with mu held.
func (a *DiscoveryAgent) take(m ListedEndpoint) {
	a.log = append(a.log, change{ListedEndpoint: m})
	if m.State == eventlog.StateGone {
		delete(a.members, m.ID)
	} else {
		a.members[m.ID] = m
	}
	a.wake()
	a.countAsTold(len(a.log) - 1)
}

// countAsTold has an entry count as told after a time, if the relay runs and the agent may speak. mu is held.
func (a *DiscoveryAgent) countAsTold(i int) {
	time.AfterFunc(toldBy, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.running && !a.hushed {
			a.tell(i)
		}
	})
}

// tell notes that an entry was told. mu is held.
func (a *DiscoveryAgent) tell(i int) {
	if !a.log[i].told {
		a.log[i].told = true
		a.record(a.log[i].ListedEndpoint)
	}
}

// SetSilent has discovery fall silent, or speak again and catch up.
func (a *DiscoveryAgent) SetSilent(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hushed = on
	if on {
		return
	}
	for _, m := range a.late {
		a.take(m)
	}
	a.late = nil
	a.wake()
}

// SetRelayRunning says whether the relay runs: one that does not is told nothing.
func (a *DiscoveryAgent) SetRelayRunning(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running = on
	for i := range a.log {
		if on && !a.log[i].told {
			a.countAsTold(i)
		}
	}
}

// NotifiedList is the list as the relay has been told it last.
func (a *DiscoveryAgent) NotifiedList() EndpointList {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	known := map[string]ListedEndpoint{}
	for n < len(a.log) && a.log[n].told {
		if m := a.log[n].ListedEndpoint; m.State == eventlog.StateGone {
			delete(known, m.ID)
		} else {
			known[m.ID] = m
		}
		n++
	}
	return EndpointList{Version: int64(n), Full: true, Endpoints: sorted(known)}
}

func sorted(members map[string]ListedEndpoint) []ListedEndpoint {
	list := make([]ListedEndpoint, 0, len(members))
	for _, m := range members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b ListedEndpoint) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// speaks waits until the agent may speak; false if the request has ended before.
func (a *DiscoveryAgent) speaks(ctx context.Context) bool {
	for {
		a.mu.Lock()
		hushed, changed := a.hushed, a.changed
		a.mu.Unlock()
		if !hushed {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// list answers with the whole list, or with a watch.
func (a *DiscoveryAgent) list(w http.ResponseWriter, r *http.Request) {
	if !a.speaks(r.Context()) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("stream") == "" {
		a.mu.Lock()
		data, n := a.whole()
		a.mu.Unlock()
		if _, err := w.Write(data); err == nil {
			a.toldUpTo(n)
		}
		return
	}
	index, err := strconv.Atoi(r.URL.Query().Get("index"))
	if err != nil {
		http.Error(w, "bad index", http.StatusBadRequest)
		return
	}
	a.watch(w, r, index)
}

// whole is the whole list on the wire, and how many changes are in it. mu is held.
func (a *DiscoveryAgent) whole() ([]byte, int) {
	return encode(EndpointList{Version: int64(len(a.log)), Full: true, Endpoints: sorted(a.members)}), len(a.log)
}

func encode(m EndpointList) []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // plain fields only
	}
	return append(data, '\n')
}

func (a *DiscoveryAgent) toldUpTo(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.log[:n] {
		a.tell(i)
	}
}

func (a *DiscoveryAgent) watch(w http.ResponseWriter, r *http.Request, index int) {
	flush := http.NewResponseController(w)
	write := func(line []byte) bool {
		_, err := w.Write(line)
		return err == nil && flush.Flush() == nil
	}
	for first := true; ; first = false {
		if !a.speaks(r.Context()) {
			return
		}
		a.mu.Lock()
		changed, n := a.changed, len(a.log)
		line := []byte("\n")
		switch {
		case index < 0 || index > n || first && index == 0:
			line, n = a.whole()
		case index < n:
			m := EndpointList{Version: int64(n)}
			for _, c := range a.log[index:n] {
				m.Endpoints = append(m.Endpoints, c.ListedEndpoint)
			}
			line = encode(m)
		}
		a.mu.Unlock()
		if !write(line) {
			return
		}
		index = n
		a.toldUpTo(n)
		select {
		case <-changed:
		case <-time.After(heartbeat):
		case <-r.Context().Done():
			return
		}
	}
}

// finals takes notices, also while discovery is silent.
func (a *DiscoveryAgent) finals(w http.ResponseWriter, r *http.Request) {
	lines := json.NewDecoder(io.LimitReader(r.Body, noticesMost))
	for {
		var n struct {
			ID      string
			Status  string
			AgainMS int64 `json:"again_ms"`
		}
		switch err := lines.Decode(&n); {
		case errors.Is(err, io.EOF):
			w.WriteHeader(http.StatusNoContent)
			return
		case err != nil || n.Status != eventlog.StateUndeliverable && n.Status != eventlog.StateDeferred:
			if r.Context().Err() == nil {
				a.rec.Add(
					eventlog.Event{
						Kind:  eventlog.RunInvalid,
						Relay: a.relay,
						ID:    n.ID,
						Cause: fmt.Sprintf("unreadable notice %q: %v", n.Status, err),
					},
				)
			}
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.world.ResolveMessage(n.ID)
		a.rec.Add(eventlog.Event{
			Kind: eventlog.MessageNotice, Relay: a.relay, ID: n.ID, State: n.Status, RetryAfter: time.Duration(n.AgainMS) * time.Millisecond,
		})
	}
}
