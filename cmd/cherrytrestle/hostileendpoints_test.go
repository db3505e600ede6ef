package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// hostileEndpoint answers each call on a connection with the same text, and then leaves the connection open.
type hostileEndpoint struct {
	name string
	kind string
	text string // "": no answer
}

// hostileEndpoints returns what endpoints answer to make the relay hold as much memory as possible.
func hostileEndpoints() []hostileEndpoint {
	fields := strings.Repeat("ab:\r\n", (hostileHeadSize-100)/len("ab:\r\n"))
	return []hostileEndpoint{
		{"silent", singleKind, ""},
		{
			"many short fields, half a body", singleKind,
			"HTTP/1.1 500 X\r\n" + fields + "Content-Length: 65536\r\n\r\n" + strings.Repeat("b", 32<<10),
		},
		{
			"many states", batchKind,
			"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n[" + strings.Repeat("0,", 32766) + "00]",
		},
	}
}

// start starts the endpoint and returns its address.
func (e hostileEndpoint) start(t *testing.T) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	t.Cleanup(func() { closeQuietly(listener) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (e hostileEndpoint) serve(conn net.Conn) {
	defer closeQuietly(conn)
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		drain(request.Body)
		writeQuietly(conn, e.text)
	}
}

// soundDestination is the destination of an endpoint that answers.
const soundDestination = 100

// TestMemoryLimitHoldsWithHostileEndpoints guards against a process that exceeds limits.memory_mb while many large
// messages wait for endpoints that do not answer, or whose answers take much memory.
func TestMemoryLimitHoldsWithHostileEndpoints(t *testing.T) {
	for _, endpoint := range hostileEndpoints() {
		t.Run(endpoint.name, func(t *testing.T) { testHostileEndpoints(t, endpoint, 96) })
	}
}

func testHostileEndpoints(t *testing.T, endpoint hostileEndpoint, memoryMB int) {
	var list []listEntry
	for i := range 40 {
		entry := newEntry(fmt.Sprint("s-", i), endpoint.start(t), "a", endpoint.kind, "ready")
		entry["cell"] = i
		list = append(list, entry)
	}
	good := newEndpoint(t, nil)
	entry := newEntry("good", good.addr(), "a", singleKind, "ready")
	entry["cell"] = soundDestination
	list = append(list, entry)
	platform := newPlatform(t)
	r := prepareRelay(t, list, func(settings map[string]any) {
		setMaxInFlightCalls(settings, 0)
		setMaxPending(settings, 100000)
	})
	r.setLimits(memoryMB, 1024, 64)
	management := r.setManagement()
	r.start(platform)
	r.limitDescriptors(1024)
	ctx, cancel := context.WithCancel(context.Background())
	wait := startHostileClients(ctx, r.addr, 300, largeMessages())
	sound := startSoundClientTo(r, soundDestination)
	time.Sleep(hostileTime)
	sound.end()
	cancel()
	wait()
	sound.report(t)
	sound.expectDelivered(t, good)
	logMemoryMetrics(t, management)
	checkPeak(t, r, memoryMB)
	// The next process reads the journal, which is full of large messages.
	r.kill()
	r.start(platform)
	time.Sleep(hostileTime / 2)
	checkPeak(t, r, memoryMB)
}

// checkPeak fails the test if the running process has used more memory than its limit.
func checkPeak(t *testing.T, r *relayProcess, memoryMB int) {
	t.Helper()
	if peak := r.peakMemory(); peak > float64(memoryMB<<20) {
		t.Errorf("peak memory %.0f MB, limit %d MB", peak/(1<<20), memoryMB)
	} else {
		t.Logf("peak memory %.0f MB", peak/(1<<20))
	}
}

// largeMessages returns clients that submit valid messages of 65,000 bytes to ever other destinations.
func largeMessages() hostileAct {
	body := strings.Repeat("b", 65000)
	return hostileAct{name: "large messages", run: func(ctx context.Context, conn net.Conn) {
		in := bufio.NewReader(conn)
		for n := 0; ctx.Err() == nil; n++ {
			head := submissionHead("Content-Length: 65000\r\n")
			head = strings.Replace(head, "dest=7", fmt.Sprint("dest=", n%40), 1)
			if _, err := io.WriteString(conn, head+body); err != nil {
				return
			}
			response, err := http.ReadResponse(in, nil)
			if err != nil {
				return
			}
			drain(response.Body)
			if response.Close {
				return
			}
		}
	}}
}
