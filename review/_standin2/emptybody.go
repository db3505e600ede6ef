package main

import (
	"bytes"
	"fmt"
	"math/rand"
	"net"
	"path/filepath"
	"sync"
	"time"
)

func init() { cases["emptybody"] = emptyBody }

const (
	bodySize      = 65000 // bytes; the pages allow 65,536
	busyClients   = 24    // 120 messages a second together
	clientPause   = 400 * time.Millisecond
	emptyBodyTime = 70 * time.Second
)

// emptyBody plays 120 messages a second with long bodies. Half of the clients leave: they hand in a whole message and close
// the connection at once. The check compares what hosts get with what was handed in.
func emptyBody(w *world, trouble bool) ([]string, error) {
	a, err := newAgent(w)
	if err != nil {
		return nil, err
	}
	var hostMu sync.Mutex
	hostRand := rand.New(rand.NewSource(1))
	ok := func([]string) answer {
		hostMu.Lock()
		defer hostMu.Unlock()
		return answer{status: 200, after: time.Duration(45+hostRand.Intn(90)) * time.Millisecond}
	}
	const destinations = 8
	for i := range destinations {
		h, err := newHost(w, "", endpoint{ID: fmt.Sprintf("s-%d", i), Zone: "floor-2", Kind: "store-system", Cell: i}, ok)
		if err != nil {
			return nil, err
		}
		a.change(h.endpoint)
	}
	listen, management := freeAddr(), freeAddr()
	state, config := filepath.Join(w.dir, "state"), filepath.Join(w.dir, "config.json")
	if err := mkdir(state); err != nil {
		return nil, err
	}
	set := settings(orderMessage("idempotency_key"))
	if err := w.writeConfig(config, "n1", listen, a.addr, management, limits(96, 512), a.whole(), set); err != nil {
		return nil, err
	}
	if _, err := w.startRelay("n1", listen, a.addr, management, state, config, nil); err != nil {
		return nil, err
	}
	if err := w.ready(listen, 30*time.Second); err != nil {
		return nil, err
	}
	end := time.Now().Add(emptyBodyTime)
	var clients sync.WaitGroup
	for c := range busyClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			rng := rand.New(rand.NewSource(int64(c)))
			for i := 0; time.Now().Before(end); i++ {
				id, dest := fmt.Sprintf("c%d-%d", c, i), rng.Intn(destinations)
				if rng.Intn(2) == 0 && trouble {
					w.handInAndLeave(listen, id, dest, bodySize, 16*time.Second)
				} else {
					w.add("client: %s for destination %d with %d bytes: %s", id, dest, bodySize, w.handIn(listen, id, dest, bodySize))
				}
				time.Sleep(time.Duration(rng.Int63n(int64(clientPause))))
			}
		}()
	}
	clients.Wait()
	time.Sleep(5 * time.Second) // the last calls end
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.calls) < 1000 {
		return nil, fmt.Errorf("only %d calls: the load did not come up", len(w.calls))
	}
	var found []string
	for _, c := range w.calls {
		if c.size != bodySize {
			found = append(found, fmt.Sprintf("%s was handed in with %d bytes and reached %s with %d bytes, under the key %s",
				c.id, bodySize, c.host.ID, c.size, c.key))
		}
	}
	w.add("%d calls", len(w.calls))
	return found, nil
}

// handInAndLeave hands a message in on a new connection and closes it before the answer.
func (w *world) handInAndLeave(addr, id string, dest, size int, expires time.Duration) {
	w.willHandIn(id, dest, size)
	conn, err := net.DialTimeout("tcp", addr, clientPatience)
	if err != nil {
		return
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "POST /order-message HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: order-message\r\nX-Customer: acme\r\n"+
		"X-Expires-In-Ms: %d\r\nIdempotency-Key: k%s\r\nEnvelope: dest=%d\r\nContent-Length: %d\r\n\r\n", id, expires.Milliseconds(), id, dest, size)
	text.Write(make([]byte, size))
	_ = conn.SetDeadline(time.Now().Add(clientPatience))
	_, err = conn.Write(text.Bytes())
	_ = conn.Close()
	w.add("client: %s for destination %d with %d bytes: handed in (%v), and left", id, dest, size, err)
}
