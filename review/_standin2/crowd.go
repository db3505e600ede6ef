package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["crowd"] = crowd }

const (
	usualClients  = 30 // fewer than a third of the descriptors; some 115 messages a second together
	usualPause    = 500 * time.Millisecond
	crowdSize     = 1500 // connections that come at once
	crowdWaves    = 20
	crowdInterval = 2500 * time.Millisecond
	// openFor is how long a connection must have stayed open after the last byte of its request was written. On loopback
	// the request has long arrived by then, so a close that is no reset shows that the relay had read all of it.
	openFor = 20 * time.Millisecond
	// resetWait is how long after the end of a connection a client looks for a reset, which bytes that were not read cause.
	resetWait = 20 * time.Millisecond
)

// crowd plays a hard day: half the memory and descriptors, a new connection for every message, and crowds that connect
// and then idle or stop half way. It counts the requests of the usual clients that were written whole, read whole, and
// whose connections were closed with no answer.
func crowd(w *world, trouble bool) ([]string, error) {
	a, err := newAgent(w)
	if err != nil {
		return nil, err
	}
	ok := func([]string) answer { return answer{status: 200, after: 20 * time.Millisecond} }
	for i := range 3 {
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
	if err := w.writeConfig(config, "n1", listen, a.addr, management, limits(96, 512), a.whole(), settings(orderMessage("idempotency_key"))); err != nil {
		return nil, err
	}
	if _, err := w.startRelay("n1", listen, a.addr, management, state, config, nil); err != nil {
		return nil, err
	}
	if err := w.ready(listen, 30*time.Second); err != nil {
		return nil, err
	}
	var (
		stop   atomic.Bool
		wait   sync.WaitGroup
		mu     sync.Mutex
		counts = map[string]int{}
		found  []string
	)
	for c := range usualClients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			rng := rand.New(rand.NewSource(int64(c)))
			for i := 0; !stop.Load(); i++ {
				size := []int{5000, 20000, 25000, 30000}[rng.Intn(4)]
				id := fmt.Sprintf("u%d-%d", c, i)
				dest := rng.Intn(3)
				result := w.handIn(listen, id, dest, size)
				w.add("client: %s for destination %d with %d bytes: %s", id, dest, size, result)
				mu.Lock()
				counts[result]++
				if result == closedUnanswered {
					found = append(found, fmt.Sprintf("%s with %d bytes was read and its connection closed with no answer", id, size))
				}
				mu.Unlock()
				time.Sleep(time.Duration(rng.Int63n(int64(usualPause))))
			}
		}()
	}
	var crowded sync.WaitGroup
	for wave := range crowdWaves {
		if trouble {
			w.add("a crowd of %d connects", crowdSize)
			for i := range crowdSize {
				crowded.Add(1)
				go func() {
					defer crowded.Done()
					crowdClient(listen, fmt.Sprintf("x%d-%d", wave, i), i%2 == 0)
				}()
			}
		}
		time.Sleep(crowdInterval)
	}
	stop.Store(true)
	wait.Wait()
	crowded.Wait()
	if counts["answered 202"] < 200 {
		return nil, fmt.Errorf("only %d requests answered 202: the load did not come up", counts["answered 202"])
	}
	for result, n := range counts {
		w.add("usual clients: %d requests %s", n, result)
	}
	return found, nil
}

// crowdClient connects and idles, or stops half way: shortly before the end of its body.
func crowdClient(addr, id string, idle bool) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	if !idle {
		fmt.Fprintf(conn, "POST /order-message HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: order-message\r\n"+
			"X-Customer: acme\r\nX-Expires-In-Ms: 3000\r\nIdempotency-Key: k%s\r\nEnvelope: dest=1\r\n"+
			"Content-Length: 65000\r\n\r\n%s", id, id, make([]byte, 64900))
	}
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	_, _ = io.Copy(io.Discard, conn) // it reads what it is sent, and goes when the connection ends, or after 3 s
}

// closedUnanswered is the result of a request that was read whole and whose connection was closed with no answer.
const closedUnanswered = "read, and closed with no answer"

// handIn hands a message in on a new connection, and returns what came of it.
func (w *world) handIn(addr, id string, dest, size int) string {
	w.willHandIn(id, dest, size)
	conn, err := net.DialTimeout("tcp", addr, clientPatience)
	if err != nil {
		return "not connected"
	}
	defer conn.Close()
	var text bytes.Buffer
	fmt.Fprintf(&text, "POST /order-message HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: order-message\r\nX-Customer: acme\r\n"+
		"X-Expires-In-Ms: 16000\r\nIdempotency-Key: k%s\r\nEnvelope: dest=%d\r\nContent-Length: %d\r\n\r\n", id, id, dest, size)
	text.Write(make([]byte, size))
	_ = conn.SetDeadline(time.Now().Add(clientPatience))
	if _, err := conn.Write(text.Bytes()); err != nil {
		return "not written whole"
	}
	written := time.Now()
	var first [1]byte
	_, err = conn.Read(first[:])
	open := time.Since(written)
	switch {
	case err == nil:
		response, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(first[:]), conn)), nil)
		if err != nil {
			return "with an answer that can't be read"
		}
		return fmt.Sprintf("answered %d", response.StatusCode)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "not answered within 400 ms"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset: shut unread"
	case open < openFor:
		return "closed at once"
	}
	time.Sleep(resetWait)
	if pendingError(conn) != 0 {
		return "reset behind the end: closed unread"
	}
	w.add("client: %s with %d bytes written whole, connection closed with no answer %d ms later", id, size, open.Milliseconds())
	return closedUnanswered
}

// pendingError returns the error that a connection has met, 0 if none.
func pendingError(conn net.Conn) (number int) {
	socket, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return -1
	}
	number = -1
	err = socket.Control(func(fd uintptr) {
		if n, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR); err == nil {
			number = n
		}
	})
	if err != nil {
		return -1
	}
	return number
}
