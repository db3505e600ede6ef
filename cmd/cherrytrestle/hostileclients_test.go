package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// hostileHeadSize is the size of a head that is just within the relay's limit, in bytes.
	hostileHeadSize = 15600
	// hostileTime is how long hostile clients are active.
	hostileTime = 2 * time.Second
)

// hostileAct is what a hostile client does on each of its connections, until the relay closes the connection.
type hostileAct struct {
	name       string
	run        func(ctx context.Context, conn net.Conn)
	management bool // the connections are to the management address
}

// hostileActs returns what clients do to make the relay hold as much memory as possible.
func hostileActs() []hostileAct {
	return []hostileAct{
		{name: "many short fields", run: sendAndStay(manyFieldsHead(64<<10) + strings.Repeat("b", 30000))},
		{name: "many short fields, slow end", run: sendSlowly(
			manyFieldsHead(64<<10)+strings.Repeat("b", 64<<10-40), "b",
		)},
		{name: "half a body", run: sendAndStay(
			submissionHead("Content-Length: 65536\r\n") + strings.Repeat("b", 32<<10),
		)},
		{name: "tiny chunks", run: sendAndStay(submissionHead("Transfer-Encoding: chunked\r\n") +
			strings.Repeat("1\r\nb\r\n", 60000))},
		{name: "many names", run: sendAndStay(manyNamesHead())},
	}
}

// submissionHead returns the head of a valid submission with further fields.
func submissionHead(fields string) string {
	return fmt.Sprintf("POST /order HTTP/1.1\r\nHost: x\r\nX-Trace-Id: h%d\r\nX-Qos: order\r\nX-Customer: acme\r\n"+
		"Idempotency-Key: h\r\nX-Expires-In-Ms: 5000\r\nEnvelope: dest=7\r\n%s\r\n", time.Now().UnixNano(), fields)
}

// manyFieldsHead returns a head of as many fields with one name as fit.
func manyFieldsHead(length int) string {
	const field = "ab:\r\n"
	fields := strings.Repeat(field, (hostileHeadSize-len(submissionHead("")))/len(field)-8)
	return submissionHead(fields + fmt.Sprintf("Content-Length: %d\r\n", length))
}

// manyNamesHead returns a head of as many fields with different names as fit, without its end.
func manyNamesHead() string {
	var head strings.Builder
	head.WriteString(strings.TrimSuffix(submissionHead(""), "\r\n"))
	for i := 0; head.Len() < hostileHeadSize; i++ {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	return head.String() + "Content-Length: 9\r\n\r\n"
}

// sendAndStay sends a text and waits for the end of the connection.
func sendAndStay(text string) func(context.Context, net.Conn) {
	return func(_ context.Context, conn net.Conn) {
		writeQuietly(conn, text)
		drain(conn)
	}
}

// sendSlowly sends a text, and then more bytes one after the other.
func sendSlowly(text, more string) func(context.Context, net.Conn) {
	return func(ctx context.Context, conn net.Conn) {
		writeQuietly(conn, text)
		for ctx.Err() == nil {
			if _, err := io.WriteString(conn, more); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// startHostileClients starts n clients, each of which connects again as soon as its connection ends, until ctx ends.
// The returned function waits until all of them have ended.
func startHostileClients(ctx context.Context, addr string, n int, act hostileAct) (wait func()) {
	var clients sync.WaitGroup
	for range n {
		clients.Go(func() {
			for ctx.Err() == nil {
				conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				stop := context.AfterFunc(ctx, func() { closeQuietly(conn) })
				act.run(ctx, conn)
				stop()
				closeQuietly(conn)
			}
		})
	}
	return clients.Wait
}

// TestMemoryLimitHoldsWithHostileClients guards against a process that exceeds limits.memory_mb, or no longer answers
// its other clients, while hundreds of clients send heads of many fields or stop in the middle of a large request.
func TestMemoryLimitHoldsWithHostileClients(t *testing.T) {
	for _, act := range hostileActs() {
		for _, clients := range []int{300, 900} {
			t.Run(fmt.Sprintf("%s/%d", act.name, clients), func(t *testing.T) {
				testHostileClients(t, act, clients, 96)
			})
		}
	}
}

func testHostileClients(t *testing.T, act hostileAct, clients, memoryMB int) {
	endpoint := newEndpoint(t, nil)
	platform := newPlatform(t)
	r := prepareRelay(t, endpoint.list(singleKind, "ready"), nil)
	r.setLimits(memoryMB, 1024, 3)
	management := r.setManagement()
	r.start(platform)
	r.limitDescriptors(1024)
	ctx, cancel := context.WithCancel(context.Background())
	addr := r.addr
	if act.management {
		addr = management
	}
	wait := startHostileClients(ctx, addr, clients, act)
	sound := startSoundClient(r)
	time.Sleep(hostileTime)
	sound.end()
	cancel()
	wait()
	sound.report(t)
	logMemoryMetrics(t, management)
	checkPeak(t, r, memoryMB)
}

// logMemoryMetrics logs a relay's metrics of memory and of connections of clients.
func logMemoryMetrics(t *testing.T, management string) {
	t.Helper()
	response, err := http.Get("http://" + management + "/v1/metrics")
	if err != nil {
		t.Errorf("metrics: %v", err)
		return
	}
	defer closeQuietly(response.Body)
	text, err := io.ReadAll(response.Body)
	must(t, err)
	var shown []string
	for line := range strings.Lines(string(text)) {
		name := strings.TrimPrefix(strings.TrimSpace(line), "router.")
		for _, prefix := range []string{"client_", "requests_", "memory_", "heap_", "gc_"} {
			if strings.HasPrefix(name, prefix) && !strings.HasSuffix(name, ":0|c") {
				shown = append(shown, name)
			}
		}
	}
	t.Log(strings.Join(shown, " "))
}

// busyActs returns what one client does on one connection at full speed, also under ever new names.
func busyActs() []hostileAct {
	request := func(n int, path, customer, destination string) string {
		return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t%d-%d\r\nX-Qos: order\r\nX-Customer: %s\r\n"+
			"Idempotency-Key: k%d\r\nX-Expires-In-Ms: 5000\r\nEnvelope: dest=%s\r\nContent-Length: 1\r\n\r\nb",
			path, time.Now().UnixNano(), n, customer, n, destination)
	}
	return []hostileAct{
		{name: "new ids", run: inTurn(func(n int) string { return request(n, "order", "acme", "7") })},
		{name: "new ordering keys", run: inTurn(func(n int) string {
			return request(n, fmt.Sprint("order?key=", n), "acme", "7")
		})},
		{name: "new destinations", run: inTurn(func(n int) string {
			return request(n, "order", "acme", fmt.Sprint(n+100))
		})},
		{name: "new tenants", run: inTurn(func(n int) string {
			return request(n, "order", fmt.Sprint("c", n), "7")
		})},
		{name: "new classes", run: inTurn(func(n int) string { return request(n, fmt.Sprint("o", n), "acme", "7") })},
		{name: "long request lines", run: inTurn(func(n int) string {
			return request(n, fmt.Sprintf("order?key=%d&pad=%s", n, strings.Repeat("p", 15000)), "acme", "7")
		})},
		{name: "unsound", run: inTurn(func(int) string { return "noise\r\n\r\n" })},
		{name: "management requests", management: true, run: inTurn(func(int) string {
			return "GET /v1/metrics HTTP/1.1\r\nHost: x\r\n\r\n"
		})},
		{name: "incomplete management requests", management: true, run: sendAndStay("GET /v1/metrics HTTP/1.1\r\n")},
	}
}

// busyClients returns the number of clients for an act: one, or more where a connection carries only one request.
func busyClients(act hostileAct) int {
	if act.management {
		return 32
	}
	return 1
}

// inTurn sends requests one after the other, each once the one before is answered.
func inTurn(request func(n int) string) func(context.Context, net.Conn) {
	return func(ctx context.Context, conn net.Conn) {
		in := bufio.NewReader(conn)
		for n := 0; ctx.Err() == nil; n++ {
			writeQuietly(conn, request(n))
			response, err := http.ReadResponse(in, nil)
			if err != nil {
				return
			}
			drain(response.Body)
			if response.Close {
				return
			}
		}
	}
}

// TestMemoryStaysBoundedWithOneBusyClient guards against memory that grows with the names in requests, and against a
// client at full speed that keeps others from their answers.
func TestMemoryStaysBoundedWithOneBusyClient(t *testing.T) {
	for _, act := range busyActs() {
		t.Run(act.name, func(t *testing.T) { testHostileClients(t, act, busyClients(act), 96) })
	}
}
