package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
)

// TestFloodsBlockNobody opens many connections at once on which clients misbehave. Messages of other clients are
// still accepted and delivered, and the relay's file descriptors and memory stay within their limits.
func TestFloodsBlockNobody(t *testing.T) {
	const headers = "POST /order HTTP/1.1\r\nHost: x\r\nX-Trace-Id: flood\r\nContent-Length: 60000\r\n\r\n"
	for _, c := range []struct {
		name string
		act  func(conn net.Conn)
	}{
		{"send nothing", func(net.Conn) {}},
		{"send half a request", func(conn net.Conn) { writeQuietly(conn, headers+"half") }},
		{"send a megabyte and close", func(conn net.Conn) {
			writeQuietly(conn, strings.Repeat("\x00", 1<<20))
			closeQuietly(conn)
		}},
		{"read no answers", sendRequestsOnly},
		{"send malformed requests", func(conn net.Conn) {
			writeQuietly(conn, strings.Repeat("NONSENSE\r\n\r\n", 2000))
		}},
	} {
		t.Run(c.name, func(t *testing.T) { testFlood(t, c.act) })
	}
}

// sendRequestsOnly sends requests without reading the answers.
func sendRequestsOnly(conn net.Conn) {
	for range 200 {
		if _, err := io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			return
		}
	}
}

func testFlood(t *testing.T, act func(conn net.Conn)) {
	const (
		sockets   = 192
		memoryMiB = 64
	)
	platform := newPlatform(t)
	endpoint := newEndpoint(t, nil)
	r := prepareRelay(t, endpoint.list(singleKind, "ready"), nil)
	r.setLimits(memoryMiB, sockets, 3)
	r.start(platform)
	conns, opened := startFlood(t, r.addr, act)
	peakDescriptors := 0
	peakMemory := 0.0 // in MB
	flooding := true
	for i := 0; flooding || i < 40; i++ {
		select {
		case <-opened:
			flooding = false
		default:
		}
		id := fmt.Sprint("m", i)
		// The relay may reject a client by closing its connection. The client then tries again.
		eventually(t, id+" accepted", func() bool { return r.accepts(id) })
		peakDescriptors = max(peakDescriptors, r.descriptors())
		peakMemory = max(peakMemory, r.memory(relayprocess.ResidentMemory))
	}
	eventually(t, "m39 is delivered", func() bool { return endpoint.count("m39") > 0 })
	maxMemory := memoryFactor * memoryMiB * (1 << 20) / 1e6 // in MB
	if peakDescriptors > sockets || peakMemory > maxMemory {
		t.Errorf(
			"peak of %d descriptors (limit %d) and %.1f MB (limit %.1f)",
			peakDescriptors, sockets, peakMemory, maxMemory,
		)
	}
	close(conns)
	for conn := range conns {
		closeQuietly(conn)
	}
	t.Logf("peak of %d descriptors and %.1f MB", peakDescriptors, peakMemory)
}

// startFlood opens many connections in the background, calls act with each, and sends the open connections to conns.
// It closes opened after the last attempt to connect.
func startFlood(t *testing.T, addr string, act func(conn net.Conn)) (conns chan net.Conn, opened chan struct{}) {
	const connections = 400
	conns = make(chan net.Conn, connections)
	opened = make(chan struct{})
	go func() {
		defer close(opened)
		for range connections {
			conn, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				continue
			}
			if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
				t.Error(err)
			}
			conns <- conn
			go act(conn)
		}
	}()
	return conns, opened
}
