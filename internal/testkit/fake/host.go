package fake

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
)

const (
	bodyMost  = 64 << 10
	idleExtra = time.Second // hosts keep an idle connection this much longer than they say
)

// Endpoint is one endpoint. Each relay has an address of its own for it: so it is known which relay calls.
type Endpoint struct {
	scenario.Endpoint
	world *World
	place *place

	// Guarded by world.mu.
	ports   map[string]*port // by relay
	conns   map[*hostConn]struct{}
	isCut   bool
	isDown  bool
	stopped bool
}

// AddEndpoint starts a host of the plan, on new addresses or on those of a host that has stopped.
func (w *World) AddEndpoint(e scenario.Endpoint) (*Endpoint, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.places[e.Service]
	if p == nil {
		return nil, fmt.Errorf("standin: host %s of no place %q", e.ID, e.Service)
	}
	h := &Endpoint{Endpoint: e, world: w, place: p, ports: map[string]*port{}, conns: map[*hostConn]struct{}{}}
	old := w.hosts[e.ReusesAddressOf]
	if old != nil && !old.stopped {
		return nil, fmt.Errorf("standin: host %s is to come up where %s still runs", e.ID, e.ReusesAddressOf)
	}
	for _, relay := range w.relays {
		addr := "127.0.0.1:0"
		if old != nil {
			old.ports[relay].release()
			addr = old.ports[relay].addr
		}
		port, err := listen(addr)
		if err != nil {
			for _, x := range h.ports {
				x.close()
			}
			return nil, fmt.Errorf("standin: host %s: %w", e.ID, err)
		}
		h.ports[relay] = port
	}
	w.hosts[e.ID] = h
	p.AddEndpoint(e.ID)
	for relay, port := range h.ports {
		w.served.Go(func() { port.serve(func(c net.Conn) { h.accepted(c, relay) }) })
	}
	w.able(p, 1, 0)
	return h, nil
}

// Addr is where a relay finds the host.
func (h *Endpoint) Addr(relay string) string { return h.ports[relay].addr }

// Stop ends the host's process for good. Its addresses refuse connections, until another host takes them.
func (h *Endpoint) Stop() {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	if h.stopped {
		return
	}
	h.stopped = true
	h.place.RemoveEndpoint(h.ID)
	h.reset()
	for _, p := range h.ports {
		p.hold()
	}
	h.world.rec.Add(eventlog.Event{Kind: eventlog.CapacityChanged, Host: h.ID, Destination: h.Destination})
}

// down has the host's process die: connections are reset, and new ones refused.
func (h *Endpoint) down() {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	h.isDown = true
	h.reset()
	for _, p := range h.ports {
		p.hold()
	}
}

// cut cuts the host's machine off: connections stay open and silent, new ones do not come up.
func (h *Endpoint) cut() error {
	h.world.mu.Lock()
	h.isCut = true
	h.world.mu.Unlock()
	for _, p := range h.ports {
		if err := p.block(); err != nil {
			return err
		}
	}
	return nil
}

// up has the process start anew after an outage: what was connected before is reset.
func (h *Endpoint) up() error {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	if h.stopped {
		return nil
	}
	h.reset()
	h.isCut, h.isDown = false, false
	for _, p := range h.ports {
		if err := p.open(); err != nil {
			return fmt.Errorf("standin: host %s is back: %w", h.ID, err)
		}
	}
	return nil
}

// reset breaks all connections. world.mu is held.
func (h *Endpoint) reset() {
	for c := range h.conns {
		c.breakOff()
	}
	clear(h.conns)
}

// hostConn is a connection that a relay has made.
type hostConn struct {
	net.Conn
	host  *Endpoint
	relay string
	reset chan struct{} // closed when the host breaks it off
	once  sync.Once
	ended bool // nothing more comes; the reader's
}

// breakOff ends the connection with a reset.
func (c *hostConn) breakOff() { c.end(true) }

func (c *hostConn) end(rst bool) {
	c.once.Do(func() {
		close(c.reset)
		if t, ok := c.Conn.(*net.TCPConn); ok && rst {
			t.SetLinger(0)
		}
		c.Close()
	})
}

// Read holds back what comes while the machine is cut off: nothing of that reaches it.
func (c *hostConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.ended = c.ended || err != nil
	c.host.world.mu.Lock()
	cut := c.host.isCut
	c.host.world.mu.Unlock()
	if cut {
		<-c.reset
		return 0, net.ErrClosed
	}
	return n, err
}

func (h *Endpoint) accepted(nc net.Conn, relay string) {
	c := &hostConn{Conn: nc, host: h, relay: relay, reset: make(chan struct{})}
	h.world.mu.Lock()
	if h.stopped || h.isDown || h.world.closed { // accepted just before that
		h.world.mu.Unlock()
		c.breakOff()
		return
	}
	h.conns[c] = struct{}{}
	h.world.mu.Unlock()
	h.world.served.Go(c.serve)
}

// request is one call as it was read.
type request struct {
	call uint64
	ids  []string
	many bool
	at   time.Duration
	bad  int    // status to refuse it with; 0: it is well formed
	why  string // and why
}

// serve answers the calls of a connection.
func (c *hostConn) serve() {
	w := c.host.world
	gone := make(chan struct{}) // the relay has left, or ended its sending
	reqs := make(chan request)
	done := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() { defer close(gone); c.read(reqs, done) })
	defer func() {
		w.mu.Lock()
		delete(c.host.conns, c)
		w.mu.Unlock()
		close(done)
		c.end(false) // also where the reader waits for the machine to come back
		reader.Wait()
	}()
	for {
		select {
		case r := <-reqs:
			if !c.answer(r, gone) {
				return
			}
		case <-gone:
			return
		case <-c.reset:
			return
		}
	}
}

// read reads calls until the connection ends. That it has ended shows here first.
func (c *hostConn) read(reqs chan<- request, done <-chan struct{}) {
	w := c.host.world
	in := bufio.NewReader(c)
	idle := w.settings.KeepAliveTimeout.AsDuration() + idleExtra
	for {
		c.SetReadDeadline(time.Now().Add(idle))
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := w.rec.Now()
		w.mu.Lock()
		w.calls++
		n := w.calls
		w.mu.Unlock()
		c.SetReadDeadline(time.Time{})
		req, err := http.ReadRequest(in)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(io.LimitReader(req.Body, 16*bodyMost))
		}
		e := eventlog.Event{Call: n, Relay: c.relay, Host: c.host.ID, Destination: c.host.Destination, FirstByteAt: first}
		if err != nil {
			if !c.ended { // what is cut short is no fault of its form
				w.rec.Add(
					eventlog.Event{
						Kind:  eventlog.RunInvalid,
						Relay: c.relay,
						Host:  c.host.ID,
						Cause: fmt.Sprintf("unreadable call: %v", err),
					},
				)
			}
			e.Kind = eventlog.CallTruncated
			w.rec.Add(e)
			return
		}
		r := request{call: n}
		r.parse(req, body)
		e.Kind, e.IDs, e.Weight = eventlog.CallReceived, r.ids, c.host.place.CallWeight(len(r.ids))
		r.at = w.rec.Add(e)
		select {
		case reqs <- r:
		case <-done:
			return
		}
	}
}

func (r *request) parse(req *http.Request, body []byte) {
	refuse := func(status int, format string, args ...any) { r.bad, r.why = status, fmt.Sprintf(format, args...) }
	switch {
	case req.Method != http.MethodPost:
		refuse(http.StatusMethodNotAllowed, "method %s", req.Method)
	case req.URL.Path == "/events":
		r.ids = []string{req.Header.Get("X-Trace-Id")}
		if r.ids[0] == "" {
			r.ids = nil
			refuse(http.StatusBadRequest, "a call without X-Trace-Id")
		}
	case req.URL.Path == "/events/bundle":
		r.many = true
		var items []struct {
			ID   string
			Body []byte
		}
		if err := json.Unmarshal(body, &items); err != nil || len(items) == 0 {
			refuse(http.StatusBadRequest, "unreadable bundle: %v", err)
		}
		seen := map[string]bool{}
		for _, x := range items {
			if seen[x.ID] {
				refuse(http.StatusBadRequest, "a bundle names %s twice", x.ID)
			}
			seen[x.ID] = true
			r.ids = append(r.ids, x.ID)
		}
	default:
		refuse(http.StatusNotFound, "path %s", req.URL.Path)
	}
}

// reply is an answer about to be written.
type reply struct {
	status int
	wait   time.Duration
	states []string
	slots  bool
	after  time.Duration
	mute   bool
	lost   bool // the connection breaks in its place
	slot   bool // it holds one of the relay's
}

// answer answers a call; false if the connection is over.
func (c *hostConn) answer(r request, gone <-chan struct{}) bool {
	w := c.host.world
	a := c.decide(r)
	if a.slot {
		defer func() {
			w.mu.Lock()
			w.slots[c.relay]--
			w.mu.Unlock()
		}()
	}
	ended := func(by string) bool {
		w.rec.Add(eventlog.Event{Kind: eventlog.CallAborted, Call: r.call, Relay: c.relay, Host: c.host.ID, Cause: by})
		return false
	}
	var due <-chan time.Time
	if !a.mute {
		timer := time.NewTimer(a.after - (w.rec.Now() - r.at))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-due:
	case <-gone:
		return ended(eventlog.CauseRelay)
	case <-c.reset:
		return ended(eventlog.CauseHost)
	}
	w.mu.Lock()
	cut := c.host.isCut
	if !cut {
		for i, id := range r.ids {
			if m := w.msgs[id]; m != nil && a.status == http.StatusOK && (a.states == nil || a.states[i] == "ok") {
				m.done = true
			}
		}
	}
	w.mu.Unlock()
	if cut {
		<-c.reset
		return ended(eventlog.CauseHost)
	}
	if a.lost {
		return ended(eventlog.CauseHost)
	}
	w.rec.Add(eventlog.Event{
		Kind: eventlog.CallAnswered, Call: r.call, Relay: c.relay, Host: c.host.ID, Status: a.status, RetryAfter: a.wait, States: a.states,
	})
	_, err := io.WriteString(c, a.text(r))
	return err == nil
}

// text is the answer on the wire.
func (a reply) text(r request) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	if a.wait > 0 {
		fmt.Fprintf(&b, "Retry-After: %s\r\n", strconv.FormatFloat(a.wait.Seconds(), 'f', 3, 64))
	}
	if a.slots {
		b.WriteString("Slots-Taken: 1\r\n")
	}
	body := ""
	if a.states != nil {
		items := make([]map[string]string, 0, len(r.ids))
		for i, id := range r.ids {
			items = append(items, map[string]string{"id": id, "state": a.states[i]})
		}
		data, err := json.Marshal(items)
		if err != nil {
			panic(err) // strings only
		}
		body = string(data)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

// decide says what becomes of a call.
func (c *hostConn) decide(r request) reply {
	w := c.host.world
	fault := func(status int, format string, args ...any) reply {
		w.rec.Add(
			eventlog.Event{Kind: eventlog.RunInvalid, Relay: c.relay, Host: c.host.ID, Cause: fmt.Sprintf(format, args...)},
		)
		return reply{status: status}
	}
	if r.bad != 0 {
		return fault(r.bad, "%s", r.why)
	}
	slot := c.takeSlot()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !slot {
		return reply{status: http.StatusServiceUnavailable, slots: true}
	}
	states := make([]string, len(r.ids))
	live := 0
	for i, id := range r.ids {
		m := w.msgs[id]
		if m == nil {
			return reply{status: http.StatusBadRequest, slot: true} // the judge finds it
		}
		m.calls++
		switch {
		case m.over || time.Now().After(m.deadline):
			states[i] = "gone"
		case m.calls > w.settings.MaxAttempts:
			states[i] = "exhausted"
		default:
			live++
		}
	}
	if live == 0 && !r.many {
		return reply{
			status: map[string]int{"gone": http.StatusGone, "exhausted": http.StatusGatewayTimeout}[states[0]],
			slot:   true,
		}
	}
	if live == 0 {
		return reply{status: http.StatusOK, states: states, slot: true}
	}
	fate := c.host.place.HandleCall(w.rec.Now(), c.host.ID, live)
	if fate.CausedOverload {
		hosts := w.placeHosts(c.host.Service)
		w.rec.Add(eventlog.Event{Kind: eventlog.ServiceOverloaded, Place: c.host.Service, Destination: c.host.Destination, Hosts: hostIDs(hosts)})
		w.able(c.host.place, 0, 0)
	}
	a := reply{after: fate.Latency, wait: fate.RetryAfter.Round(time.Millisecond), lost: fate.ResponseLost, slot: true}
	switch fate.Result {
	case upstream.Unanswered:
		a.mute = true
	case upstream.Failed:
		a.status = http.StatusInternalServerError
	case upstream.Rejected:
		a.status = http.StatusServiceUnavailable
		if a.wait > 0 {
			a.status = http.StatusTooManyRequests
		}
	default:
		a.status = http.StatusOK
		if !r.many {
			break
		}
		for i := range states {
			if states[i] == "" {
				states[i] = "ok"
			}
		}
		a.states = states
	}
	return a
}

// takeSlot takes one of the relay's slots, if need be after a moment.
func (c *hostConn) takeSlot() bool {
	w := c.host.world
	for end := time.Now().Add(slotPatience); ; time.Sleep(time.Millisecond) {
		w.mu.Lock()
		free := w.slots[c.relay] < w.settings.MaxConcurrentCalls
		if free {
			w.slots[c.relay]++
		}
		w.mu.Unlock()
		if free || time.Now().After(end) {
			return free
		}
	}
}
