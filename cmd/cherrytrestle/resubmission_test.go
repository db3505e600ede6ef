package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// resubmissionTime is how long clients submit messages, leave and come again.
	resubmissionTime = 3 * time.Second
	// maxStay is how long clients wait for the answer at most before they leave.
	maxStay = 10 * time.Millisecond
)

// leavingClients submit large non-idempotent messages, leave at some moment, and submit the same ids again.
type leavingClients struct {
	r    *relayProcess
	body string
}

// submit submits a message and leaves after the time stay, by closing or resetting the connection. It reports whether
// the message was taken on before: then it must not be submitted again.
func (c *leavingClients) submit(ctx context.Context, id string, stay time.Duration, reset bool) (accepted bool) {
	conn, err := (&net.Dialer{Timeout: clientPatience}).DialContext(ctx, "tcp", c.r.addr)
	if err != nil {
		return false
	}
	defer closeQuietly(conn)
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
	}
	_ = conn.SetDeadline(time.Now().Add(stay)) // fails only on a closed connection
	head := fmt.Sprintf("POST /pay HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: pay\r\nX-Customer: acme\r\n"+
		"X-Expires-In-Ms: 8000\r\nEnvelope: dest=7\r\nContent-Length: %d\r\n\r\n", id, len(c.body))
	if _, err := io.WriteString(conn, head+c.body); err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode < http.StatusMultipleChoices
}

// run submits messages until the time is over, each up to three times.
func (c *leavingClients) run(number int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	ctx := context.Background()
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	for end, n := time.Now().Add(resubmissionTime), 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("p%d-%d", number, n)
		for range 2 + random.IntN(2) {
			if c.submit(ctx, id, upTo(maxStay), random.IntN(2) == 0) {
				break
			}
			time.Sleep(upTo(clientPatience))
		}
	}
}

// TestResubmittedMessageRunsOnce guards against a message that runs twice because its client left, and submitted it
// again, while the relay was killed, restarted or upgraded between the two.
func TestResubmittedMessageRunsOnce(t *testing.T) {
	restart := func(r *relayProcess, platform *fakePlatform, stop func()) {
		stop()
		r.start(platform)
	}
	for name, interrupt := range map[string]func(t *testing.T, r *relayProcess, platform *fakePlatform){
		"no interruption": func(*testing.T, *relayProcess, *fakePlatform) {},
		"kill":            func(_ *testing.T, r *relayProcess, p *fakePlatform) { restart(r, p, r.kill) },
		"SIGTERM": func(_ *testing.T, r *relayProcess, p *fakePlatform) {
			restart(r, p, func() { _ = r.terminate() })
		},
		"upgrade": func(t *testing.T, r *relayProcess, p *fakePlatform) {
			ended, _ := r.hotRestart(p)
			if err := <-ended; err != nil {
				t.Errorf("the first process: %v", err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) { testResubmission(t, name == "upgrade", interrupt) })
	}
}

func testResubmission(t *testing.T, inherited bool, interrupt func(*testing.T, *relayProcess, *fakePlatform)) {
	endpoint := newEndpoint(t, func(http.ResponseWriter, *http.Request, []string) {
		time.Sleep(time.Duration(rand.IntN(80)) * time.Millisecond)
	})
	platform := newPlatform(t)
	r := prepareRelay(t, endpoint.list(singleKind, "ready"), func(settings map[string]any) {
		withPayments(settings)
		setMaxInFlightCalls(settings, 0)
	})
	r.setLimits(192, 1024, 64)
	r.start(platform)
	if inherited {
		restartOnInheritedSocket(t, r, platform)
	}
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	clients := leavingClients{r: r, body: strings.Repeat("b", 60000)}
	var running sync.WaitGroup
	for i := range 40 {
		running.Go(func() { clients.run(i, seed) })
	}
	time.Sleep(resubmissionTime / 3)
	interrupt(t, r, platform)
	running.Wait()
	ran, twice := 0, 0
	for id, calls := range callsByMessage(endpoint) {
		ran++
		if calls > 1 {
			twice++
			t.Errorf("%s was sent %d times", id, calls)
		}
	}
	t.Logf("%d messages ran, %d of them more than once", ran, twice)
	if ran == 0 {
		t.Error("no message ran")
	}
}
