package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// item is a message as a call carries it.
type item struct {
	ID   string `json:"id"`
	Key  string `json:"key"`
	Body []byte `json:"body"`
}

// call is a call whose last byte has come to a host.
type call struct {
	host    *host
	items   []item
	arrived time.Time
}

// host is a stand-in for a partner's host, on one address. Its calls run to their end also if the relay gives them up.
type host struct {
	lab  *lab
	id   string
	addr string
	cell int
	zone string

	work func(*call) time.Duration // how long a call takes

	server *http.Server

	mu    sync.Mutex
	calls []*call
}

// newHost starts a host. Each call takes work(call), and is then answered as delivered.
func newHost(l *lab, id string, cell int, zone string, work func(*call) time.Duration) (*host, error) {
	return newHostAt(l, "127.0.0.1:0", id, cell, zone, work)
}

func newHostAt(l *lab, addr, id string, cell int, zone string, work func(*call) time.Duration) (*host, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	h := &host{lab: l, id: id, addr: listener.Addr().String(), cell: cell, zone: zone, work: work}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /events", h.one)
	mux.HandleFunc("POST /events/bundle", h.many)
	h.server = &http.Server{Handler: mux, IdleTimeout: 15 * time.Second} // keepalive_ms of the settings
	go func() { _ = h.server.Serve(listener) }()
	return h, nil
}

// entry returns the host's entry in the list.
func (h *host) entry(kind string, weight float64) entry {
	return entry{ID: h.id, Addr: h.addr, Zone: h.zone, Kind: kind, Cell: h.cell, State: "ready", Weight: weight}
}

// received returns the calls that have come to the host.
func (h *host) received() []*call {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*call(nil), h.calls...)
}

// serve takes a call and waits until its work is done.
func (h *host) serve(items []item) {
	c := &call{host: h, items: items, arrived: time.Now()}
	h.mu.Lock()
	h.calls = append(h.calls, c)
	h.mu.Unlock()
	for _, i := range items {
		h.lab.log("host %s (dest %d) runs %s", h.id, h.cell, i.ID)
	}
	time.Sleep(h.work(c))
}

func (h *host) one(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // the call's last byte never came
	}
	id := req.Header.Get("X-Trace-Id")
	h.serve([]item{{ID: id, Key: req.Header.Get("Idempotency-Key"), Body: body}})
	w.WriteHeader(http.StatusOK)
	h.lab.log("host %s answered 200 for %s", h.id, id)
}

func (h *host) many(w http.ResponseWriter, req *http.Request) {
	var items []item
	if err := json.NewDecoder(req.Body).Decode(&items); err != nil || len(items) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.serve(items)
	type end struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	var ends []end
	for _, i := range items {
		ends = append(ends, end{i.ID, "ok"})
	}
	text, _ := json.Marshal(ends)
	_, _ = w.Write(text)
	h.lab.log("host %s answered 200 for a call of %d", h.id, len(items))
}
