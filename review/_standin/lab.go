// Command standin plays a case of the review: it starts relays with the command "run" of the deploy file, on loopback
// addresses and the real clock, and stands in for their clients, the partners' hosts, discovery's agents and the
// platform. It writes what was sent, answered and run to a record, and checks one rule.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lab holds all stand-ins and relays of a run.
type lab struct {
	start   time.Time
	trouble bool   // the disruption is played
	part    string // a part of the disruption that is played alone, as a control; "": all of it
	folder  string
	command string // "run" of the deploy file
	rng     *rand.Rand

	mu     sync.Mutex
	record *os.File
	relays []*relay
}

// newLab returns a lab without relays. trouble is "0" for a run without the disruption, the name of a part of it, or "".
func newLab(recordPath, trouble string, seed uint64) (*lab, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if found == nil {
		return nil, errors.New("the deploy file has no run command")
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &lab{
		start:   time.Now(),
		trouble: trouble != "0",
		part:    strings.Trim(trouble, "01"),
		folder:  folder,
		command: string(found[1]),
		rng:     rand.New(rand.NewPCG(seed, 55)),
		record:  record,
	}, nil
}

// close ends all relays that still run and removes the temporary folder.
func (l *lab) close() {
	for _, r := range l.relays {
		r.kill()
	}
	_ = os.RemoveAll(l.folder)
	_ = l.record.Close()
}

// log writes a line to the record, with the seconds since the start of the run.
func (l *lab) log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f ", time.Since(l.start).Seconds())
	fmt.Fprintf(l.record, format+"\n", args...)
}

// say writes a line to the record and to standard output.
func (l *lab) say(format string, args ...any) {
	l.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// draw returns a random duration from the range.
func (l *lab) draw(from, to time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return from + time.Duration(l.rng.Int64N(int64(to-from)+1))
}

func (l *lab) id() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%016x", l.rng.Uint64())
}

// until waits until the given time of the run.
func (l *lab) until(at time.Duration) { time.Sleep(time.Until(l.start.Add(at))) }

// entry is an entry of discovery's list.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// list is discovery's form of a list, or of changes to it.
type list struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// agent is discovery's agent on the machine of one relay, which also takes the platform's notices.
type agent struct {
	lab  *lab
	name string
	addr string

	mu      sync.Mutex
	changed *sync.Cond
	down    bool
	version int64
	entries map[string]entry
	order   []string
	history []list            // changes, by version
	finals  map[string]string // status of the first notice, by message
}

func newAgent(l *lab, name string, entries []entry) (*agent, error) {
	a := &agent{lab: l, name: name, version: 1, entries: map[string]entry{}, finals: map[string]string{}}
	a.changed = sync.NewCond(&a.mu)
	for _, e := range entries {
		a.entries[e.ID] = e
		a.order = append(a.order, e.ID)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.members)
	mux.HandleFunc("POST /v2/finals", a.takeFinals)
	go func() { _ = http.Serve(listener, mux) }()
	return a, nil
}

// full returns the whole list. The caller holds a.mu.
func (a *agent) full() list {
	l := list{Version: a.version, Full: true}
	for _, id := range a.order {
		if e, listed := a.entries[id]; listed {
			l.Servers = append(l.Servers, e)
		}
	}
	return l
}

// change publishes changed entries: they are told now.
func (a *agent) change(entries ...entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for _, e := range entries {
		if e.State == "gone" {
			delete(a.entries, e.ID)
			continue
		}
		if _, listed := a.entries[e.ID]; !listed {
			a.order = append(a.order, e.ID)
		}
		a.entries[e.ID] = e
	}
	a.history = append(a.history, list{Version: a.version, Servers: entries})
	a.changed.Broadcast()
}

// setDown makes the agent silent for lists, or ends that.
func (a *agent) setDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
	a.changed.Broadcast()
}

func (a *agent) members(w http.ResponseWriter, req *http.Request) {
	if req.URL.Query().Get("stream") != "1" {
		a.mu.Lock()
		for a.down {
			a.changed.Wait()
		}
		l := a.full()
		a.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(l)
		return
	}
	var index int64
	_, _ = fmt.Sscan(req.URL.Query().Get("index"), &index)
	ended := false
	stop := time.AfterFunc(0, func() {})
	defer stop.Stop()
	go func() {
		<-req.Context().Done()
		a.mu.Lock()
		defer a.mu.Unlock()
		ended = true
		a.changed.Broadcast()
	}()
	a.mu.Lock()
	defer a.mu.Unlock()
	first := true
	for {
		for a.down && !ended {
			a.changed.Wait()
		}
		if ended {
			return
		}
		var lines []list
		switch {
		case first && (index < 1 || index > a.version):
			lines = append(lines, a.full())
		default:
			for _, l := range a.history {
				if l.Version > index {
					lines = append(lines, l)
				}
			}
		}
		index = a.version
		if first && len(lines) == 0 {
			lines = append(lines, list{Version: a.version, Servers: []entry{}})
		}
		first = false
		a.mu.Unlock()
		text := "\n"
		for _, l := range lines {
			encoded, _ := json.Marshal(l)
			text = string(encoded) + "\n"
			_, _ = w.Write([]byte(text))
		}
		if len(lines) == 0 {
			_, _ = w.Write([]byte("\n"))
		}
		w.(http.Flusher).Flush()
		a.mu.Lock()
		// The next line comes with the next change, and an empty one after 2 s.
		quiet := time.Now().Add(2 * time.Second)
		stop.Stop()
		stop = time.AfterFunc(2*time.Second, a.changed.Broadcast)
		for !ended && !a.down && a.version == index && time.Now().Before(quiet) {
			a.changed.Wait()
		}
	}
}

func (a *agent) takeFinals(w http.ResponseWriter, req *http.Request) {
	decoder := json.NewDecoder(req.Body)
	for decoder.More() {
		var notice struct {
			ID     string `json:"id"`
			Status string `json:"status"`
		}
		if err := decoder.Decode(&notice); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.lab.log("%s notice %s %s", a.name, notice.ID, notice.Status)
		a.mu.Lock()
		if _, known := a.finals[notice.ID]; !known {
			a.finals[notice.ID] = notice.Status
		}
		a.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

// final returns the status of the notice for a message; "" if there is none.
func (a *agent) final(id string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.finals[id]
}

// relay is a relay's process, restarted under its name and addresses.
type relay struct {
	lab    *lab
	name   string
	addr   string
	admin  string
	folder string
	agent  *agent
	config map[string]any

	process *exec.Cmd
	ended   chan struct{}
	begun   time.Time // when the present process was started
}

func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

func (l *lab) newRelay(name string, a *agent, settings map[string]any) (*relay, error) {
	r := &relay{lab: l, name: name, agent: a, folder: filepath.Join(l.folder, name)}
	var err error
	if r.addr, err = freeAddr(); err != nil {
		return nil, err
	}
	if r.admin, err = freeAddr(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(filepath.Join(r.folder, "state"), 0o755); err != nil {
		return nil, err
	}
	r.config = map[string]any{
		"name": name, "listen": r.addr, "discovery": a.addr, "management": r.admin,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"settings": settings,
	}
	l.relays = append(l.relays, r)
	return r, nil
}

func (r *relay) tmpDir() string { return filepath.Join(r.folder, "tmp") }

// writeConfig replaces the file of the configuration.
func (r *relay) writeConfig() error {
	text, err := json.Marshal(r.config)
	if err != nil {
		return err
	}
	path := filepath.Join(r.folder, "config.json")
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// run starts the relay's process. Its configuration has a new seed with each start, and the list as the relay last had it.
// $TMPDIR is empty.
func (r *relay) run() error {
	r.agent.mu.Lock()
	r.config["known"] = r.agent.full()
	r.agent.mu.Unlock()
	r.config["seed"] = r.lab.id()
	if err := r.writeConfig(); err != nil {
		return err
	}
	if err := errors.Join(os.RemoveAll(r.tmpDir()), os.Mkdir(r.tmpDir(), 0o755)); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(r.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command("/bin/sh", "-c", r.lab.command)
	cmd.Env = append(os.Environ(),
		"ROUTER_NAME="+r.name,
		"ROUTER_LISTEN="+r.addr,
		"ROUTER_DISCOVERY="+r.agent.addr,
		"ROUTER_STATE="+filepath.Join(r.folder, "state"),
		"ROUTER_CONFIG="+filepath.Join(r.folder, "config.json"),
		"ROUTER_MANAGEMENT="+r.admin,
		"TMPDIR="+r.tmpDir(),
	)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.begun = time.Now()
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = out.Close()
	r.process = cmd
	r.ended = make(chan struct{})
	r.lab.log("%s started", r.name)
	go func(cmd *exec.Cmd, ended chan struct{}) {
		err := cmd.Wait()
		r.lab.log("%s ended: %v", r.name, err)
		close(ended)
	}(cmd, r.ended)
	return nil
}

// signal sends a signal to the relay's process.
func (r *relay) signal(s syscall.Signal) {
	r.lab.log("%s gets %v", r.name, s)
	_ = r.process.Process.Signal(s)
}

// kill ends the relay's process and waits for its end.
func (r *relay) kill() {
	if r.process == nil {
		return
	}
	_ = r.process.Process.Kill()
	<-r.ended
	r.process = nil
}

// exited reports whether the present process has ended by itself.
func (r *relay) exited() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// awaitReady waits until the relay answers its health check with 200.
func (r *relay) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		response, err := client.Get("http://" + r.addr + "/_health")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			r.lab.log("%s is ready", r.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", r.name, limit)
}

// message is a message that a client handed in.
type message struct {
	id, key, class, tenant string
	dest                   int
	body                   string
	expires                time.Duration
	ordering               string // ordering key; "": none
	via                    *relay
	sentAt                 time.Time
	answeredAt             time.Time
	status                 int // of the relay's answer; 0: none
}

// client hands messages in to one relay over kept connections.
type client struct {
	relay *relay
	http  *http.Client
}

// answerWait is how long a client waits for the relay's answer.
const answerWait = 400 * time.Millisecond

func newClient(r *relay) *client {
	return &client{relay: r, http: &http.Client{
		Timeout:   answerWait,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxIdleConns: 64},
	}}
}

// handIn hands a message in and records the relay's answer.
func (c *client) handIn(m *message) {
	l := c.relay.lab
	path := "/" + m.class
	if m.ordering != "" {
		path += "?key=" + m.ordering
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.relay.addr+path, strings.NewReader(m.body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("X-Trace-Id", m.id)
	req.Header.Set("X-Qos", m.class)
	req.Header.Set("X-Customer", m.tenant)
	req.Header.Set("X-Expires-In-Ms", fmt.Sprint(m.expires.Milliseconds()))
	req.Header.Set("Envelope", fmt.Sprintf("dest=%d", m.dest))
	if m.key != "" {
		req.Header.Set("Idempotency-Key", m.key)
	}
	m.via = c.relay
	m.sentAt = time.Now()
	l.log("client hands in %s to %s, class %s, dest %d", m.id, c.relay.name, m.class, m.dest)
	response, err := c.http.Do(req)
	if err != nil {
		l.log("client has no answer for %s", m.id)
		return
	}
	_ = response.Body.Close()
	l.mu.Lock()
	m.answeredAt = time.Now()
	m.status = response.StatusCode
	l.mu.Unlock()
	l.log("client is answered %d for %s", response.StatusCode, m.id)
}

// taken reports whether the client has heard that the relay took the message on.
func (l *lab) taken(m *message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return m.status == http.StatusOK || m.status == http.StatusAccepted
}
