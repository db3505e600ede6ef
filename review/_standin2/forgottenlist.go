package main

import (
	"fmt"
	"path/filepath"
	"time"
)

func init() { cases["forgottenlist"] = forgottenList }

// forgottenList restarts a relay by SIGKILL while discovery is down. Before that, the relay was told that the host of
// destination 3 is gone, that another host serves destination 3, and that a host of destination 7 came up at the address
// of the one that has gone. The "known" of the file at the restart is older than that.
func forgottenList(w *world, trouble bool) ([]string, error) {
	a, err := newAgent(w)
	if err != nil {
		return nil, err
	}
	ok := func([]string) answer { return answer{status: 200, after: 50 * time.Millisecond} }
	x, err := newHost(w, "", endpoint{ID: "s-x", Zone: "floor-2", Kind: "store-system", Cell: 3}, ok)
	if err != nil {
		return nil, err
	}
	z, err := newHost(w, "", endpoint{ID: "s-z", Zone: "floor-2", Kind: "store-system", Cell: 7}, ok)
	if err != nil {
		return nil, err
	}
	a.change(x.endpoint, z.endpoint)
	old := a.whole()
	listen, management := freeAddr(), freeAddr()
	state, config := filepath.Join(w.dir, "state"), filepath.Join(w.dir, "config.json")
	if err := mkdir(state); err != nil {
		return nil, err
	}
	start := func() (*relayProcess, error) {
		if err := w.writeConfig(config, "n1", listen, a.addr, management, limits(192, 1024), old, settings(orderMessage("idempotency_key"))); err != nil {
			return nil, err
		}
		p, err := w.startRelay("n1", listen, a.addr, management, state, config, nil)
		if err != nil {
			return nil, err
		}
		return p, w.ready(listen, 30*time.Second)
	}
	p, err := start()
	if err != nil {
		return nil, err
	}
	var messages []*message
	submit := func(n int) {
		for range n {
			i := len(messages)
			m := &message{id: fmt.Sprintf("m%d", i), key: fmt.Sprintf("k%d", i), class: "order-message", dest: 3, expires: 16 * time.Second}
			w.submit(listen, m)
			messages = append(messages, m)
			time.Sleep(100 * time.Millisecond)
		}
	}
	submit(5)
	time.Sleep(time.Second)

	// s-x leaves, s-x2 serves destination 3 in its place, and s-y of destination 7 comes up at the address of s-x.
	_ = x.server.Close()
	x2, err := newHost(w, "", endpoint{ID: "s-x2", Zone: "floor-2", Kind: "store-system", Cell: 3}, ok)
	if err != nil {
		return nil, err
	}
	y, err := newHost(w, x.Addr, endpoint{ID: "s-y", Zone: "floor-2", Kind: "store-system", Cell: 7}, ok)
	if err != nil {
		return nil, err
	}
	gone := x.endpoint
	gone.State = "gone"
	a.change(gone, x2.endpoint)
	time.Sleep(2 * time.Second)
	a.change(y.endpoint)
	time.Sleep(6 * time.Second) // "told" at the latest
	submit(10)                  // they go to s-x2: the relay has learned
	time.Sleep(2 * time.Second)
	for _, m := range messages[5:] {
		if n := w.callsAt(x2, m.id); m.status == 202 && n == 0 {
			return nil, fmt.Errorf("%s did not reach s-x2: the relay was not told in time", m.id)
		}
	}
	if trouble {
		a.setDown(true)
		p.kill()
		time.Sleep(600 * time.Millisecond)
		if _, err = start(); err != nil {
			return nil, err
		}
	}
	submit(20)
	time.Sleep(5 * time.Second) // 8 s without discovery
	a.setDown(false)
	time.Sleep(18 * time.Second) // all messages have ended
	return w.foreign(messages), nil
}

// setDown makes discovery silent, or brings it back.
func (a *agent) setDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.w.add("discovery is down: %v", down)
	a.down = down
	close(a.wake)
	a.wake = make(chan struct{})
}

// callsAt counts the calls with a message that reached a host.
func (w *world) callsAt(h *host, id string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.calls {
		if c.host == h && c.id == id {
			n++
		}
	}
	return n
}

// foreign returns the calls that reached a host of another destination than that of their message.
func (w *world) foreign(messages []*message) (found []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	dest := map[string]int{}
	for _, m := range messages {
		dest[m.id] = m.dest
	}
	for _, c := range w.calls {
		if dest[c.id] != c.host.Cell {
			found = append(found, fmt.Sprintf("%s is for destination %d and was sent to %s of destination %d", c.id, dest[c.id], c.host.ID, c.host.Cell))
		}
	}
	return found
}
