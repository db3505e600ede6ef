package main

import (
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// shutdownCase is what happens at the moment of SIGTERM.
type shutdownCase struct {
	name   string
	listed bool // the first process lists the message's endpoint, which is draining
	at     func(t *testing.T, r *relayProcess)
}

func shutdownCases() []shutdownCase {
	terminate := func(r *relayProcess) { must(r.t, r.cmd.Process.Signal(syscall.SIGTERM)) }
	return []shutdownCase{
		{"twice", true, func(_ *testing.T, r *relayProcess) {
			terminate(r)
			time.Sleep(100 * time.Millisecond)
			signalQuietly(r.cmd, syscall.SIGTERM)
		}},
		{"before the first list", false, func(_ *testing.T, r *relayProcess) { terminate(r) }},
		{"with a SIGHUP", true, func(_ *testing.T, r *relayProcess) {
			must(r.t, r.cmd.Process.Signal(syscall.SIGHUP))
			terminate(r)
		}},
		{"while clients send half requests", true, func(t *testing.T, r *relayProcess) {
			for range 20 {
				trickle(t, r.addr)
			}
			terminate(r)
		}},
		{"while a message's client has gone", true, func(t *testing.T, r *relayProcess) {
			conn, err := net.Dial("tcp", r.addr)
			must(t, err)
			must(t, r.request("gone", 10*time.Second, nil).Write(conn))
			closeQuietly(conn)
			terminate(r)
		}},
	}
}

// Whatever happens at the moment of SIGTERM, a relay ends in order before SIGKILL may come, and the next process sends
// the messages that were accepted and not sent.
func TestShutdownAtAnyMoment(t *testing.T) {
	for _, c := range shutdownCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			testShutdown(t, c)
		})
	}
}

func testShutdown(t *testing.T, c shutdownCase) {
	const killAfter = 3700 * time.Millisecond
	platform := newPlatform(t)
	endpoint := newEndpoint(t, nil)
	list := func(state string) []listEntry { return endpoint.list(singleKind, state) }
	var known []listEntry
	if c.listed {
		known = list("draining")
	}
	r := prepareRelay(t, known, nil)
	r.launch(platform)
	eventually(t, "it listens", func() bool {
		conn, err := net.Dial("tcp", r.addr)
		if err == nil {
			closeQuietly(conn)
		}
		return err == nil
	})
	r.mustAccept("m", 12*time.Second)
	c.at(t, r)
	began := time.Now()
	err := r.wait()
	if took := time.Since(began); err != nil || took > killAfter {
		t.Errorf("ended after %v: %v", took, err)
	}
	r.config["known"] = map[string]any{"version": 2, "full": true, "servers": list("ready")}
	r.writeConfig()
	r.start(platform)
	eventually(t, "the message is sent", func() bool { return endpoint.count("m") == 1 })
	if endpoint.count("gone") > 1 {
		t.Errorf("the message whose client has gone: sent %d times", endpoint.count("gone"))
	}
}

// trickle sends a request by a byte at a time, and never the last one.
func trickle(t *testing.T, addr string) {
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

// The connections of idle clients are closed without a reset at SIGTERM.
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
		_, err = conn.Read(answer) // the remainder comes with it, or before the end
		must(t, err)
		conns = append(conns, conn)
	}
	must(t, r.cmd.Process.Signal(syscall.SIGTERM))
	for _, conn := range conns {
		if _, err := io.Copy(io.Discard, conn); err != nil {
			t.Errorf("ended by %v", err)
		}
	}
	if err := r.wait(); err != nil {
		t.Error(err)
	}
}

// SIGTERM again and again, up to the last moment of a process: it ends in order each time, and by none of the signals.
func TestSignalsDuringExit(t *testing.T) {
	platform := newPlatform(t)
	r := prepareRelay(t, []listEntry{newEntry("s-1", "127.0.0.1:1", "a", singleKind, "ready")}, nil)
	for range 12 {
		r.start(platform)
		cmd := r.cmd
		over := make(chan struct{})
		go func() {
			defer close(over)
			for cmd.Process.Signal(syscall.SIGTERM) == nil {
			}
		}()
		err := r.wait()
		<-over
		must(t, err)
	}
}
