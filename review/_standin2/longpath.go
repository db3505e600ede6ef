package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["longpath"] = longPath }

// statePathSize is the length of the path of the folder that lasts, in bytes.
const statePathSize = 120

// longPath upgrades a relay whose folder that lasts has a long path: a second process starts beside the first.
func longPath(w *world, trouble bool) ([]string, error) {
	a, err := newAgent(w)
	if err != nil {
		return nil, err
	}
	ok := func([]string) answer { return answer{status: 200, after: 50 * time.Millisecond} }
	x, err := newHost(w, "", endpoint{ID: "s-x", Zone: "floor-2", Kind: "store-system", Cell: 3}, ok)
	if err != nil {
		return nil, err
	}
	a.change(x.endpoint)
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
	config := filepath.Join(w.dir, "config.json")
	state := filepath.Join(w.dir, "state-"+strings.Repeat("x", max(0, statePathSize-len(w.dir)-len("/state-"))))
	if err := mkdir(state); err != nil {
		return nil, err
	}
	w.add("the folder that lasts has a path of %d bytes", len(state))
	start := func() (*relayProcess, string, error) {
		management := freeAddr()
		if err := w.writeConfig(config, "n1", listen, a.addr, management, limits(192, 1024), a.whole(), settings(orderMessage("idempotency_key"))); err != nil {
			return nil, "", err
		}
		p, err := w.startRelay("n1", listen, a.addr, management, state, config, socket)
		return p, management, err
	}
	old, management, err := start()
	if err != nil {
		return nil, err
	}
	if !waitUntil(30*time.Second, func() bool { return saysYes(management) }) {
		return nil, fmt.Errorf("the first process is not ready")
	}
	for i := range 3 {
		id := fmt.Sprintf("m%d", i)
		m := &message{id: id, key: "k" + id, class: "order-message", dest: 3, expires: 16 * time.Second}
		if w.submit(listen, m); m.status != http.StatusAccepted {
			return nil, fmt.Errorf("%s was answered %d", id, m.status)
		}
	}
	if !trouble {
		time.Sleep(time.Second)
		return nil, nil
	}
	next, management, err := start()
	if err != nil {
		return nil, err
	}
	yes := waitUntil(6*time.Second, func() bool { return saysYes(management) })
	if yes {
		w.add("the new process says yes")
		old.signal(syscall.SIGTERM)
		time.Sleep(3700 * time.Millisecond)
	}
	select {
	case <-next.done:
		return []string{fmt.Sprintf("the new process has ended: %v (it said yes: %v)", next.cmd.ProcessState, yes)}, nil
	default:
	}
	if !yes {
		return []string{"the new process did not say yes within 6 s"}, nil
	}
	return nil, nil
}

// saysYes reports whether the process at a management address is ready.
func saysYes(management string) bool {
	conn, err := net.DialTimeout("tcp", management, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(conn, "GET /v1/readyz HTTP/1.1\r\nHost: relay\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode/100 == 2
}
