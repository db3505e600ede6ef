package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["upgradekill"] = upgradeKill }

// sendSlack is by how much limits on sockets are longer (PROTOCOL, "The rules on sockets").
const sendSlack = 50 * time.Millisecond

// upgradeKill upgrades a relay while its calls are out, and kills the new process shortly after it has taken over. The
// next process starts 0.6 s later, while the old one still has its calls out. With TROUBLE=upgrade the new process is not killed.
func upgradeKill(w *world, trouble bool) ([]string, error) {
	a, err := newAgent(w)
	if err != nil {
		return nil, err
	}
	// One host of four hangs through the shutdown of the old process and answers late.
	for i := range 4 {
		does := answer{status: 200, after: 150 * time.Millisecond}
		if i == 1 {
			does.after = 2800 * time.Millisecond
		}
		h, err := newHost(w, "", endpoint{ID: fmt.Sprintf("s-%d", i), Zone: "floor-2", Kind: "store-system", Cell: i},
			func([]string) answer { return does })
		if err != nil {
			return nil, err
		}
		a.change(h.endpoint)
	}
	held, err := net.Listen("tcp", "127.0.0.1:0") // the platform holds the clients' socket
	if err != nil {
		return nil, err
	}
	listen := held.Addr().String()
	socket, err := held.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	_ = held.Close() // the descriptor stays open
	state, config := filepath.Join(w.dir, "state"), filepath.Join(w.dir, "config.json")
	if err := mkdir(state); err != nil {
		return nil, err
	}
	keyed := class{
		"name": "ship-request", "semantics": "idempotency_key", "group": "all", "goal_time_ms": 3000.0, "give_up_ms": 20000.0,
		"late_worth": 0.4, "repeat_window_ms": 5000.0, "stream": false, "value": 2.0,
	}
	set := settings(keyed)
	set["bounds"].(map[string]any)["may_duplicate"] = false
	start := func() (*relayProcess, error) {
		management := freeAddr()
		if err := w.writeConfig(config, "n1", listen, a.addr, management, limits(192, 1024), a.whole(), set); err != nil {
			return nil, err
		}
		p, err := w.startRelay("n1", listen, a.addr, management, state, config, socket)
		if err == nil && !waitUntil(30*time.Second, func() bool { return saysYes(management) }) {
			err = fmt.Errorf("a process does not say yes")
		}
		return p, err
	}
	first, err := start()
	if err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	var messages []*message
	for i := range 6 {
		id := fmt.Sprintf("m%d", i)
		m := &message{id: id, key: "k" + id, class: "ship-request", dest: 1, expires: 20 * time.Second}
		w.submit(listen, m)
		messages = append(messages, m)
	}
	time.Sleep(50 * time.Millisecond)
	for _, m := range messages {
		if m.status != 202 || w.countCalls(m.id) != 1 {
			return nil, fmt.Errorf("%s is not out: answered %d, %d calls", m.id, m.status, w.countCalls(m.id))
		}
	}
	if !trouble {
		time.Sleep(15 * time.Second)
		return w.together(messages), nil
	}
	second, err := start()
	if err != nil {
		return nil, err
	}
	first.signal(syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-first.done:
			w.add("the first process has ended")
		case <-time.After(3700 * time.Millisecond):
			first.kill()
		}
	}()
	if os.Getenv("TROUBLE") != "upgrade" {
		time.Sleep(300 * time.Millisecond)
		second.kill()
		time.Sleep(600 * time.Millisecond)
		if _, err = start(); err != nil {
			return nil, err
		}
	}
	<-ended
	time.Sleep(15 * time.Second)
	return w.together(messages), nil
}

// countCalls counts the calls with a message that have reached hosts.
func (w *world) countCalls(id string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.calls {
		if c.id == id {
			n++
		}
	}
	return n
}

// together returns the messages with two calls out at once: the later one came while the connection of the earlier one was
// still open and its answer not written.
func (w *world) together(messages []*message) (found []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range messages {
		var earlier *runCall
		for i := range w.calls {
			c := &w.calls[i]
			if c.id != m.id {
				continue
			}
			if earlier != nil && (earlier.ended.IsZero() || c.at.Add(sendSlack).Before(earlier.ended)) {
				found = append(found, fmt.Sprintf("%s was sent again %d ms after its first call, which was out for %d ms",
					m.id, c.at.Sub(earlier.at).Milliseconds(), earlier.ended.Sub(earlier.at).Milliseconds()))
			}
			earlier = c
		}
	}
	return found
}
