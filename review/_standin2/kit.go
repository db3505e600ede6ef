// Command standin2 plays the cases 6 to 10 of the review. It starts real relays with the command of the deploy file and
// plays the platform, the hosts and the clients around them, on loopback addresses and the real clock.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// clientPatience is how long a client waits for the answer to a message (PROTOCOL, "Clients to relays").
const clientPatience = 400 * time.Millisecond

// record is the log of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// world is what the stand-ins of one case share.
type world struct {
	*record
	dir   string // temporary folder
	mu    sync.Mutex
	calls []runCall         // calls whose last byte has come, in the order of their arrival
	ends  map[string]notice // last notice of each message
	procs []*relayProcess

	handed map[string]handed // messages by id, as clients handed them in
}

// handed is what a client handed in under an id.
type handed struct {
	dest, size int
	key        string
}

// willHandIn records a message that a client is about to hand in.
func (w *world) willHandIn(id string, dest, size int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handed[id] = handed{dest, size, "k" + id}
}

// runCall is a message that reached a host.
type runCall struct {
	at    time.Time
	ended time.Time // when its answer was about to be written, or its connection had ended
	host  *host
	id    string
	key   string
	size  int // of the body, in bytes
}

type notice struct {
	at     time.Time
	status string
}

func newWorld(out io.Writer, dir string) *world {
	return &world{record: &record{out: out, began: time.Now()}, dir: dir, ends: map[string]notice{}, handed: map[string]handed{}}
}

// endpoint is an entry of discovery's list.
type endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

type list struct {
	Version int        `json:"version"`
	Full    bool       `json:"full"`
	Servers []endpoint `json:"servers"`
}

// agent plays discovery and the platform at the relay's own machine.
type agent struct {
	w    *world
	addr string

	mu      sync.Mutex
	version int
	all     map[string]endpoint
	changes []list
	wake    chan struct{}
	down    bool // silent: calls for lists get no answer; notices are answered all the same
}

func newAgent(w *world) (*agent, error) {
	a := &agent{w: w, all: map[string]endpoint{}, version: 40, wake: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.members)
	mux.HandleFunc("POST /v2/finals", a.finals)
	go func() { _ = http.Serve(l, mux) }()
	return a, nil
}

// change tells the relay of changed entries. An entry with the state "gone" is removed.
func (a *agent) change(entries ...endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for _, e := range entries {
		a.w.add("list %d: %s at %s of destination %d is %s", a.version, e.ID, e.Addr, e.Cell, e.State)
		if e.State == "gone" {
			delete(a.all, e.ID)
		} else {
			a.all[e.ID] = e
		}
	}
	a.changes = append(a.changes, list{Version: a.version, Servers: entries})
	close(a.wake)
	a.wake = make(chan struct{})
}

// whole returns the whole list.
func (a *agent) whole() list {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wholeLocked()
}

func (a *agent) wholeLocked() list {
	l := list{Version: a.version, Full: true, Servers: []endpoint{}}
	for _, e := range a.all {
		l.Servers = append(l.Servers, e)
	}
	return l
}

func (a *agent) members(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("stream") == "" {
		a.w.add("agent: whole list asked for")
		_ = json.NewEncoder(w).Encode(a.whole())
		return
	}
	index, _ := strconv.Atoi(r.URL.Query().Get("index"))
	a.w.add("agent: watch from version %d", index)
	for {
		a.mu.Lock()
		var next []list
		if index < 40 || index > a.version {
			next = append(next, a.wholeLocked())
		} else {
			for _, c := range a.changes {
				if c.Version > index {
					next = append(next, c)
				}
			}
		}
		index = a.version
		wake := a.wake
		a.mu.Unlock()
		if len(next) == 0 {
			_, _ = io.WriteString(w, "\n")
		}
		for _, l := range next {
			_ = json.NewEncoder(w).Encode(l)
		}
		w.(http.Flusher).Flush()
		select {
		case <-wake:
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
}

func (a *agent) finals(w http.ResponseWriter, r *http.Request) {
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		var n struct{ ID, Status string }
		if json.Unmarshal(lines.Bytes(), &n) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.w.mu.Lock()
		a.w.ends[n.ID] = notice{time.Now(), n.Status}
		a.w.mu.Unlock()
		a.w.add("notice: %s %s", n.ID, n.Status)
	}
	w.WriteHeader(http.StatusNoContent)
}

// answer is what a host does with a call: the status it answers with after a delay; status 0: it never answers.
type answer struct {
	status     int
	after      time.Duration
	retryAfter float64
}

// host plays an endpoint. Each call runs when its last byte has come.
type host struct {
	endpoint
	w      *world
	server *http.Server

	mu   sync.Mutex
	does func(ids []string) answer
}

// newHost starts a host at addr; "" picks a free one.
func newHost(w *world, addr string, e endpoint, does func(ids []string) answer) (*host, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	e.Addr = l.Addr().String()
	e.State = "ready"
	e.Weight = 50
	h := &host{endpoint: e, w: w, does: does}
	h.server = &http.Server{Handler: http.HandlerFunc(h.serve), IdleTimeout: 15 * time.Second}
	go func() { _ = h.server.Serve(l) }()
	return h, nil
}

func (h *host) set(does func(ids []string) answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.does = does
}

func (h *host) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	type item struct {
		ID, Key string
		Body    []byte
	}
	items := []item{{ID: r.Header.Get("X-Trace-Id"), Key: r.Header.Get("Idempotency-Key"), Body: body}}
	bundle := strings.HasSuffix(r.URL.Path, "/bundle")
	if bundle {
		items = nil
		if json.Unmarshal(body, &items) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	var ids []string
	for _, i := range items {
		ids = append(ids, i.ID)
	}
	h.mu.Lock()
	does := h.does(ids)
	h.mu.Unlock()
	for _, i := range items {
		h.w.mu.Lock()
		in, known := h.w.handed[i.ID]
		h.w.mu.Unlock()
		if !known || in.dest != h.Cell || in.size != len(i.Body) || in.key != i.Key {
			does = answer{status: http.StatusBadRequest} // PROTOCOL: no client handed it in in this form
		}
	}
	first := math.MaxInt
	for _, i := range items {
		h.w.mu.Lock()
		first = min(first, len(h.w.calls))
		h.w.calls = append(h.w.calls, runCall{at: time.Now(), host: h, id: i.ID, key: i.Key, size: len(i.Body)})
		h.w.mu.Unlock()
		h.w.add("host %s of destination %d: call with %s and %d bytes, to be answered %d after %v", h.ID, h.Cell, i.ID, len(i.Body), does.status, does.after)
	}
	ended := func() {
		now := time.Now()
		h.w.mu.Lock()
		defer h.w.mu.Unlock()
		for i := first; i < len(h.w.calls); i++ {
			if c := &h.w.calls[i]; c.host == h && c.ended.IsZero() && slices.Contains(ids, c.id) {
				c.ended = now
			}
		}
	}
	if does.status == 0 {
		defer ended()
		select {
		case <-r.Context().Done():
		case <-time.After(time.Minute):
		}
		return
	}
	select {
	case <-time.After(does.after):
	case <-r.Context().Done():
		ended()
		return
	}
	ended()
	if does.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(does.retryAfter, 'f', 3, 64))
	}
	w.WriteHeader(does.status)
	if bundle && does.status == 200 {
		type end struct {
			ID    string `json:"id"`
			State string `json:"state"`
		}
		var ends []end
		for _, id := range ids {
			ends = append(ends, end{id, "ok"})
		}
		_ = json.NewEncoder(w).Encode(ends)
	}
}

// message is a message of a client.
type message struct {
	id, key string
	class   string
	dest    int
	expires time.Duration
	sentAt  time.Time
	status  int // of the relay's answer; 0: none within clientPatience
}

// submit hands a message in on a new connection.
func (w *world) submit(addr string, m *message) {
	m.sentAt = time.Now()
	conn, err := net.DialTimeout("tcp", addr, clientPatience)
	if err != nil {
		w.add("client: %s not handed in: %v", m.id, err)
		return
	}
	defer conn.Close()
	body := "message " + m.id
	w.willHandIn(m.id, m.dest, len(body))
	var text bytes.Buffer
	fmt.Fprintf(&text, "POST /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: acme\r\n", m.class, m.id, m.class)
	fmt.Fprintf(&text, "X-Expires-In-Ms: %d\r\nIdempotency-Key: %s\r\nEnvelope: dest=%d\r\nContent-Length: %d\r\n\r\n%s",
		m.expires.Milliseconds(), m.key, m.dest, len(body), body)
	_ = conn.SetDeadline(time.Now().Add(clientPatience))
	if _, err := conn.Write(text.Bytes()); err != nil {
		w.add("client: %s not written: %v", m.id, err)
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		w.add("client: %s for destination %d has no answer: %v", m.id, m.dest, err)
		return
	}
	m.status = response.StatusCode
	w.add("client: %s for destination %d answered %d", m.id, m.dest, m.status)
}

// relayProcess is a process of the relay.
type relayProcess struct {
	w    *world
	cmd  *exec.Cmd
	done chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// startRelay starts a relay with the command of the deploy file. held is the listening socket that the platform holds for
// the clients, or nil.
func (w *world) startRelay(name, listen, discovery, management, state, config string, held *os.File) (*relayProcess, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	found := runLine.FindSubmatch(deploy)
	if found == nil {
		return nil, errors.New("no run in the deploy file")
	}
	tmp, err := os.MkdirTemp(w.dir, "tmp")
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", string(found[1]))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it never outlasts the case
	cmd.Env = append(os.Environ(), "ROUTER_NAME="+name, "ROUTER_LISTEN="+listen, "ROUTER_DISCOVERY="+discovery,
		"ROUTER_STATE="+state, "ROUTER_CONFIG="+config, "ROUTER_MANAGEMENT="+management, "TMPDIR="+tmp)
	if held != nil {
		cmd.ExtraFiles = []*os.File{held, held, held, held, held} // the last one is descriptor 7
		cmd.Env = append(cmd.Env, "ROUTER_INHERITED_FD=7")
	}
	log, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &relayProcess{w: w, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	w.add("relay %s started", name)
	return p, nil
}

// signal sends a signal to the relay.
func (p *relayProcess) signal(sig syscall.Signal) {
	p.w.add("relay: %v", sig)
	_ = p.cmd.Process.Signal(sig)
}

// kill ends the relay and waits for its end.
func (p *relayProcess) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stopAll ends all relays that still run.
func (w *world) stopAll() {
	w.mu.Lock()
	procs := slices.Clone(w.procs)
	w.mu.Unlock()
	for _, p := range procs {
		select {
		case <-p.done:
			continue
		default:
		}
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// ready waits until the relay answers GET /_health with 200.
func (w *world) ready(addr string, within time.Duration) error {
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err == nil {
			_ = conn.SetDeadline(time.Now().Add(clientPatience))
			_, _ = io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			_ = conn.Close()
			if err == nil && response.StatusCode == http.StatusOK {
				w.add("relay is ready")
				return nil
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	return fmt.Errorf("relay at %s not ready within %v", addr, within)
}

// freeAddr returns a loopback address that is free now. Its port is below those that systems give to outgoing connections, so
// that none of these takes it while a relay that listens there is restarted.
func freeAddr() string {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.Intn(18000)))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
}

// class is a class of message in the settings.
type class map[string]any

// settings returns settings like those of a small deployment.
func settings(classes ...class) map[string]any {
	return map[string]any{
		"bounds": map[string]any{
			"cancel": true, "connect_timeout_ms": 1500.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 80000,
			"keepalive_ms": 15000.0, "max_retry_after_ms": 3000.0, "may_duplicate": true, "open_cap": 438, "peers": false,
			"probes": false, "retry_after": true, "send_cap": 8, "streams_per_conn": 1,
		},
		"clients": map[string]any{"marks_retry": true}, "domain_type": "deliver",
		"extra": map[string]any{
			"call_slots": 38, "carriage": []any{0.0, 0.03}, "loses_worth": "even", "per_call": []any{1, 1},
			"separate_routes": []any{false, true}, "turned_away_price": 0.05,
		},
		"fleet_size": 2, "kinds": []any{"store-system", "payment-gateway"}, "me": 0, "membership_mode": "push",
		"over_share_worth": 0.2,
		"realms":           []any{map[string]any{"name": "acme", "quota_per_s": 52.0, "share": 1.0}},
		"rules": map[string]any{
			"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.18, "fall_ms": 3000.0, "overload_factor": 2.0,
			"stop_sending_within_ms": 1000.0, "warm_within_ms": 14000.0,
		},
		"services": classes, "stage": 0, "stats": map[string]any{"fields": []any{}, "how": "none"},
		"tick_ms": 5.0, "tiers": []any{"partner-systems"}, "value_by": "request", "weight_kind": "nominal", "zone": 0,
		"zones": []any{"floor-2", "floor-3"},
	}
}

// orderMessage is the class of the site, with the semantics given.
func orderMessage(semantics string) class {
	return class{
		"name": "order-message", "semantics": semantics, "group": "zone", "goal_time_ms": 3000.0, "give_up_ms": 16000.0,
		"late_worth": 0.4, "repeat_window_ms": 10000.0, "stream": false, "value": 1.0,
	}
}

// limits are the limits of a relay's machine.
func limits(memoryMB, sockets int) map[string]any {
	return map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets, "disk_mb": 3}
}

// writeConfig replaces a relay's configuration file. The seed is new each time.
func (w *world) writeConfig(
	path, name, listen, discovery, management string, limits map[string]any, known list, settings map[string]any,
) error {
	data, err := json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "management": management, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": limits,
		"known":  known, "settings": settings,
	}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// waitUntil waits until done reports true.
func waitUntil(within time.Duration, done func() bool) bool {
	end := time.Now().Add(within)
	for !done() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
	return true
}
