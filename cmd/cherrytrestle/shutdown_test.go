package main

import (
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// shutdownCase is a situation in which a relay receives SIGTERM.
type shutdownCase struct {
	name      string
	listed    bool // the first process has a list with the message's endpoint, as draining; false: no list
	terminate func(t *testing.T, r *relayProcess)
}

func shutdownCases() []shutdownCase {
	return []shutdownCase{
		{"twice", true, func(_ *testing.T, r *relayProcess) {
			r.signal(syscall.SIGTERM)
			time.Sleep(100 * time.Millisecond)
			signalQuietly(r.cmd, syscall.SIGTERM)
		}},
		{"before the first list", false, func(_ *testing.T, r *relayProcess) { r.signal(syscall.SIGTERM) }},
		{"with a SIGHUP", true, func(_ *testing.T, r *relayProcess) {
			r.signal(syscall.SIGHUP)
			r.signal(syscall.SIGTERM)
		}},
		{"while clients send incomplete requests", true, func(t *testing.T, r *relayProcess) {
			for range 20 {
				startSlowRequest(t, r.addr)
			}
			r.signal(syscall.SIGTERM)
		}},
		{"while a message's client has gone", true, func(t *testing.T, r *relayProcess) {
			conn, err := net.Dial("tcp", r.addr)
			must(t, err)
			must(t, r.request("gone", 10*time.Second, nil).Write(conn))
			closeQuietly(conn)
			r.signal(syscall.SIGTERM)
		}},
	}
}

// TestShutdownAtAnyMoment sends SIGTERM in different situations. The relay ends without an error within
// maxShutdownTime. The next process sends the message that the first one accepted and did not send.
func TestShutdownAtAnyMoment(t *testing.T) {
	for _, c := range shutdownCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			testShutdown(t, c)
		})
	}
}

func testShutdown(t *testing.T, c shutdownCase) {
	platform := newPlatform(t)
	endpoint := newEndpoint(t, nil)
	var known []listEntry
	if c.listed {
		known = endpoint.list(singleKind, "draining")
	}
	r := prepareRelay(t, known, nil)
	r.launch(platform)
	eventually(t, "the relay listens", func() bool {
		conn, err := net.Dial("tcp", r.addr)
		if err == nil {
			closeQuietly(conn)
		}
		return err == nil
	})
	r.mustAccept("m", 12*time.Second)
	c.terminate(t, r)
	began := time.Now()
	err := r.wait()
	if took := time.Since(began); err != nil || took > maxShutdownTime {
		t.Errorf("the relay took %v to end, with error %v; want at most %v and no error", took, err, maxShutdownTime)
	}
	r.setKnown(2, endpoint.list(singleKind, "ready")...)
	r.start(platform)
	eventually(t, "the message is sent", func() bool { return endpoint.count("m") == 1 })
	if endpoint.count("gone") > 1 {
		t.Errorf("the message whose client has gone was sent %d times, want at most once", endpoint.count("gone"))
	}
}

// startSlowRequest sends a part of a request, one byte at a time, and keeps the connection open until the end of the
// test.
func startSlowRequest(t *testing.T, addr string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	must(t, err)
	var sending sync.WaitGroup
	sending.Go(func() {
		const request = "POST /order HTTP/1.1\r\nHost: x\r\nX-Trace-Id: half\r\nContent-Length: 400\r\n\r\nbody"
		for _, b := range []byte(request) {
			if _, err := conn.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		drain(conn)
	})
	t.Cleanup(func() {
		closeQuietly(conn)
		sending.Wait()
	})
}

// TestIdleClientsAreClosedCleanly checks that SIGTERM closes the connections of idle clients without a reset.
func TestIdleClientsAreClosedCleanly(t *testing.T) {
	platform := newPlatform(t)
	endpoint := newEndpoint(t, nil)
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), nil)
	var conns []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", r.addr)
		must(t, err)
		t.Cleanup(func() { closeQuietly(conn) })
		_, err = io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
		must(t, err)
		must(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		answer := make([]byte, 1)
		_, err = conn.Read(answer) // the other bytes of the answer are read below
		must(t, err)
		conns = append(conns, conn)
	}
	r.signal(syscall.SIGTERM)
	for _, conn := range conns {
		if _, err := io.Copy(io.Discard, conn); err != nil {
			t.Errorf("the connection of an idle client ended with %v", err)
		}
	}
	if err := r.wait(); err != nil {
		t.Error(err)
	}
}

// TestSignalsDuringExit sends SIGTERM repeatedly until the process has ended. The process exits without an error, and
// is not ended by one of the signals.
func TestSignalsDuringExit(t *testing.T) {
	platform := newPlatform(t)
	r := prepareRelay(t, []listEntry{newEntry("s-1", "127.0.0.1:1", "a", singleKind, "ready")}, nil)
	for range 12 {
		r.start(platform)
		cmd := r.cmd
		signalled := make(chan struct{})
		go func() {
			defer close(signalled)
			for cmd.Process.Signal(syscall.SIGTERM) == nil {
			}
		}()
		err := r.wait()
		<-signalled
		must(t, err)
	}
}
