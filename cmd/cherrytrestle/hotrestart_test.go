package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// restartOnInheritedSocket restarts a relay with a listening socket that the test opens and passes to the relay's
// processes, as the platform does for hot restarts.
func restartOnInheritedSocket(t *testing.T, r *relayProcess, platform *fakePlatform) {
	t.Helper()
	r.kill()
	listener, err := net.Listen("tcp", r.addr)
	must(t, err)
	t.Cleanup(func() { closeQuietly(listener) })
	r.socket, err = listener.(*net.TCPListener).File()
	must(t, err)
	t.Cleanup(func() { closeQuietly(r.socket) })
	management := r.setManagement()
	r.start(platform)
	waitReady(t, management)
}

// hotRestart starts a second process (the successor), waits until it is ready, and sends SIGTERM to the first process
// (the predecessor). It returns a channel that receives the error with which the first process ends, and the first
// process itself.
func (r *relayProcess) hotRestart(platform *fakePlatform) (ended <-chan error, first *exec.Cmd) {
	r.t.Helper()
	first = r.cmd
	management := r.setManagement()
	r.start(platform)
	waitReady(r.t, management)
	must(r.t, first.Process.Signal(syscall.SIGTERM))
	done := make(chan error, 1)
	go func() { done <- first.Wait() }()
	return done, first
}

// keepAliveClient submits messages on one connection until an answer has the header "Connection: close", and then on a
// new connection. It counts requests without an answer as failures.
type keepAliveClient struct {
	r        *relayProcess
	conn     net.Conn // nil: not connected
	in       *bufio.Reader
	failures *atomic.Int64
}

// submit submits a message and returns the answer's status, or 0 if there is no answer.
func (c *keepAliveClient) submit(id string, expires time.Duration) int {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.r.addr)
		if err != nil {
			c.failures.Add(1)
			return 0
		}
		must(c.r.t, conn.SetDeadline(time.Now().Add(conditionTimeout)))
		c.conn = conn
		c.in = bufio.NewReader(conn)
	}
	req := c.r.request(id, expires, nil)
	err := req.Write(c.conn)
	var res *http.Response
	if err == nil {
		res, err = http.ReadResponse(c.in, req)
	}
	if err != nil {
		c.failures.Add(1)
		c.r.t.Logf("%s: %v", id, err)
		closeQuietly(c.conn)
		c.conn = nil
		return 0
	}
	drain(res.Body)
	if res.Close {
		closeQuietly(c.conn)
		c.conn = nil
	}
	return res.StatusCode
}

// keepAliveLoad is a group of clients that submit messages on persistent connections until end is called.
type keepAliveLoad struct {
	failures atomic.Int64 // requests whose connection was refused, reset or closed without an answer
	rejected atomic.Int64 // requests with the answer 503
	accepted atomic.Int64 // requests with the answer 202
	ids      sync.Map     // the ids of the accepted messages
	stop     chan struct{}
	clients  sync.WaitGroup
}

func startKeepAliveLoad(r *relayProcess) *keepAliveLoad {
	load := &keepAliveLoad{stop: make(chan struct{})}
	for i := range 10 {
		load.clients.Go(func() { load.submit(r, i) })
	}
	return load
}

func (l *keepAliveLoad) submit(r *relayProcess, number int) {
	client := &keepAliveClient{r: r, failures: &l.failures}
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Duration(20+rand.IntN(60)) * time.Millisecond):
		}
		id := fmt.Sprintf("c%d-%d", number, n)
		switch client.submit(id, 12*time.Second) {
		case http.StatusAccepted:
			l.accepted.Add(1)
			l.ids.Store(id, true)
		case http.StatusServiceUnavailable:
			l.rejected.Add(1)
		}
	}
}

func (l *keepAliveLoad) end() {
	close(l.stop)
	l.clients.Wait()
}

// answerSlowly answers after a random time of 20 to 100 ms. About one call in fifty takes 600 ms longer, so that some
// calls are in flight during a hot restart.
func answerSlowly(http.ResponseWriter, *http.Request, []string) {
	if rand.IntN(50) == 0 {
		time.Sleep(600 * time.Millisecond)
	}
	time.Sleep(time.Duration(20+rand.IntN(80)) * time.Millisecond)
}

// TestHotRestartsUnderLoad does several hot restarts under load. No connection of a client is refused, reset or
// closed without an answer, and each accepted message is delivered exactly once.
func TestHotRestartsUnderLoad(t *testing.T) {
	one := newEndpoint(t, answerSlowly)
	two := newEndpoint(t, answerSlowly)
	platform := newPlatform(t)
	r := newRelay(t, platform, []listEntry{
		newEntry("s-1", one.addr(), "a", singleKind, "ready"),
		newEntry("s-2", two.addr(), "a", singleKind, "ready"),
	}, func(set map[string]any) {
		setMaxPending(set, 500)
		setMaxInFlightCalls(set, 40)
	})
	restartOnInheritedSocket(t, r, platform)
	load := startKeepAliveLoad(r)
	for range 3 {
		time.Sleep(300 * time.Millisecond) // load between two hot restarts
		ended, _ := r.hotRestart(platform)
		if err := <-ended; err != nil {
			t.Errorf("the first process ended with an error: %v", err)
		}
	}
	load.end()
	if n := load.failures.Load(); n > 0 {
		t.Errorf("%d requests had no answer", n)
	}
	if load.accepted.Load() < 200 {
		t.Errorf("only %d accepted, %d rejected", load.accepted.Load(), load.rejected.Load())
	}
	calls := func(id string) int { return one.count(id) + two.count(id) }
	load.ids.Range(func(id, _ any) bool {
		eventually(t, fmt.Sprint(id, " delivered"), func() bool { return calls(id.(string)) > 0 })
		return true
	})
	// The endpoints answer each call, so no message needs to be repeated. A call that is cancelled before its
	// connection is open does not reach an endpoint.
	for id, calls := range callsByMessage(one, two) {
		if calls > 1 {
			t.Errorf("message %s ran %d times, want 1", id, calls)
		}
	}
}

// TestHotRestartKeepsPendingState does a hot restart during a Retry-After and with a call in flight. The second
// process observes the Retry-After, and the outcome of the call ends the message that the call carries.
func TestHotRestartKeepsPendingState(t *testing.T) {
	answerSlow := make(chan struct{})
	var reject atomic.Bool
	endpoint := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request, ids []string) {
		if ids[0] == "slow" {
			<-answerSlow
		}
		if reject.Load() {
			w.Header().Set("Retry-After", "2.5")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		writeStates(w, ids, "ok")
	})
	platform := newPlatform(t)
	r := newRelay(t, platform, endpoint.list(batchKind, "ready"), nil)
	restartOnInheritedSocket(t, r, platform)
	r.mustAccept("slow", 10*time.Second)
	eventually(t, "a call in flight", func() bool { return endpoint.count("slow") == 1 })
	reject.Store(true)
	r.mustAccept("m1", 10*time.Second)
	eventually(t, "a Retry-After", func() bool { return endpoint.count("m1") == 1 })
	rejectedAt := time.Now()
	time.Sleep(50 * time.Millisecond) // time for the relay to read the answer, which the test cannot observe
	reject.Store(false)
	ended, _ := r.hotRestart(platform)
	r.mustAccept("m2", 10*time.Second)
	if time.Since(rejectedAt) < 2*time.Second && endpoint.count("m2")+endpoint.count("m1") != 1 {
		t.Error("a message was sent during the Retry-After")
	}
	close(answerSlow) // the first process receives the answer and forwards it to the second process
	eventually(t, "both are delivered", func() bool { return endpoint.count("m2") == 1 && endpoint.count("m1") == 2 })
	if d := time.Since(rejectedAt); d < 2300*time.Millisecond {
		t.Errorf("messages were sent %v after a Retry-After of 2.5 s", d)
	}
	if err := <-ended; err != nil {
		t.Errorf("the first process ended with an error: %v", err)
	}
	if endpoint.count("slow") != 1 || platform.notification("slow") != nil {
		t.Error("the call in flight has not ended its message")
	}
	r.client.CloseIdleConnections()
	if err := r.terminate(); err != nil {
		t.Errorf("the relay ended with an error: %v", err)
	}
}

// TestHotRestartKeepsFinishedMessages submits a message to the first process and, after its delivery, again to the
// second process. The second process accepts the message and does not send it again.
func TestHotRestartKeepsFinishedMessages(t *testing.T) {
	platform := newPlatform(t)
	endpoint := newEndpoint(t, nil)
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), withPayments)
	restartOnInheritedSocket(t, r, platform)
	submitPayment := func() {
		t.Helper()
		if status, _ := r.submit("m1", 10*time.Second, withClass("pay")); status != http.StatusAccepted {
			t.Fatalf("status %d", status)
		}
	}
	submitPayment()
	eventually(t, "delivered", func() bool { return endpoint.count("m1") == 1 })
	time.Sleep(50 * time.Millisecond) // time for the relay to read the answer, which the test cannot observe
	ended, _ := r.hotRestart(platform)
	if err := <-ended; err != nil {
		t.Errorf("the first process ended with an error: %v", err)
	}
	r.client.CloseIdleConnections()
	submitPayment()
	r.mustAccept("m2", 10*time.Second)
	eventually(t, "m2 is delivered", func() bool { return endpoint.count("m2") == 1 })
	if n := endpoint.count("m1"); n != 1 {
		t.Errorf("m1 ran %d times, want 1", n)
	}
}

// startWithSlowCall starts a relay on an inherited socket, and submits a message whose first call gets no answer
// before the end of the test.
func startWithSlowCall(t *testing.T) (*relayProcess, *fakePlatform, *fakeEndpoint) {
	t.Helper()
	testEnds := make(chan struct{})
	var firstCall sync.Once
	endpoint := newEndpoint(t, func(_ http.ResponseWriter, _ *http.Request, ids []string) {
		wait := false
		if ids[0] == "slow" {
			firstCall.Do(func() { wait = true })
		}
		if wait {
			<-testEnds
		}
	})
	t.Cleanup(func() { close(testEnds) })
	platform := newPlatform(t)
	r := newRelay(t, platform, endpoint.list(batchKind, "ready"), nil)
	restartOnInheritedSocket(t, r, platform)
	r.mustAccept("slow", 10*time.Second)
	eventually(t, "a call in flight", func() bool { return endpoint.count("slow") == 1 })
	return r, platform, endpoint
}

// TestFirstProcessKilledDuringHotRestart kills the first process while the second serves. The call that the first
// process has in flight may have run. The second process repeats the message of this call.
func TestFirstProcessKilledDuringHotRestart(t *testing.T) {
	r, platform, endpoint := startWithSlowCall(t)
	_, first := r.hotRestart(platform)
	r.client.CloseIdleConnections()
	r.mustAccept("m1", 10*time.Second) // accepted by the second process
	must(t, first.Process.Kill())
	eventually(t, "repeated, within its zone and window", func() bool { return endpoint.count("slow") == 2 })
	r.mustAccept("m2", 10*time.Second)
	eventually(t, "served by the second process", func() bool { return endpoint.count("m2") == 1 })
}

// TestSecondProcessKilledBeforeHotRestart kills the second process before the first has received SIGTERM. The first
// process continues to serve.
func TestSecondProcessKilledBeforeHotRestart(t *testing.T) {
	r, platform, endpoint := startWithSlowCall(t)
	first := r.cmd
	management := r.setManagement()
	r.start(platform)
	waitReady(t, management)
	r.kill()
	r.cmd = first
	r.mustAccept("m1", 10*time.Second)
	eventually(t, "served by the first process", func() bool { return endpoint.count("m1") == 1 })
}

// The processes of a hot restart that receive SIGTERM after the delay of the test case.
const (
	secondBefore = "second, before" // the second process; the first receives no SIGTERM
	secondAfter  = "second"         // the second process, after the first has received SIGTERM
	bothAfter    = "both"           // the second process, and the first for the second time
)

// TestTerminatedDuringHotRestart sends SIGTERM at different times of a hot restart, to the second process or to both.
// Each terminated process shuts down in time and without an error. The process that serves afterwards sends the
// accepted messages, and no payment runs twice.
func TestTerminatedDuringHotRestart(t *testing.T) {
	for _, who := range []string{secondBefore, secondAfter, bothAfter} {
		for _, delayMS := range []int{0, 3, 10, 30, 150} {
			delay := time.Duration(delayMS) * time.Millisecond
			t.Run(fmt.Sprint(who, " ", delay), func(t *testing.T) {
				t.Parallel()
				testTerminatedDuringHotRestart(t, who, delay)
			})
		}
	}
}

func testTerminatedDuringHotRestart(t *testing.T, who string, delay time.Duration) {
	platform := newPlatform(t)
	endpoint := newEndpoint(t, func(_ http.ResponseWriter, _ *http.Request, ids []string) {
		if ids[0][0] == 'o' {
			time.Sleep(300 * time.Millisecond) // in flight during the hot restart
		}
	})
	ready := newEntry("s-1", endpoint.addr(), "a", singleKind, "ready")
	later := newEntry("s-2", endpoint.addr(), "a", singleKind, "draining")
	later["cell"] = 8
	r := newRelay(t, platform, []listEntry{ready, later}, func(set map[string]any) {
		withPayments(set)
		setMaxInFlightCalls(set, 40)
	})
	restartOnInheritedSocket(t, r, platform)
	accepted := submitSentAndUnsent(t, r)
	eventually(t, "a call in flight", func() bool { return endpoint.count("o5") == 1 })
	terminateHotRestart(t, r, platform, who, delay)
	r.client.CloseIdleConnections()
	later["state"] = "ready"
	if r.cmd == nil {
		r.setKnown(2, ready, later)
		r.start(platform)
	} else {
		platform.publish(false, later)
	}
	for _, id := range accepted {
		waitSentOrEnded(t, endpoint, platform, id)
		if endpoint.count(id) == 0 {
			t.Errorf("message %s was never sent, its notification is %v", id, platform.notification(id))
		}
	}
	r.mustAccept("m1", 10*time.Second)
	eventually(t, "a new message is delivered", func() bool { return endpoint.count("m1") == 1 })
	for i, id := range accepted {
		if n := endpoint.count(id); n > 1 && i/2%2 == 1 {
			t.Errorf("payment %s ran %d times", id, n)
		}
	}
}

// submitSentAndUnsent submits messages in turn to destination 7, whose endpoint is ready, and to destination 8, whose
// endpoint is draining. It returns their ids. Of every four messages the last two are payments.
func submitSentAndUnsent(t *testing.T, r *relayProcess) []string {
	t.Helper()
	var accepted []string
	for i := range 6 {
		for _, destination := range []int{7, 8} {
			prefix := map[int]string{7: "o", 8: "u"}[destination]
			id := fmt.Sprint(prefix, i)
			setClass := withClass([]string{"order", "pay"}[i%2])
			status, _ := r.submit(id, 12*time.Second, func(request *http.Request) {
				setClass(request)
				toDestination(destination)(request)
			})
			if status != http.StatusAccepted {
				t.Fatalf("%s: status %d", id, status)
			}
			accepted = append(accepted, id)
		}
	}
	return accepted
}

// terminateHotRestart starts a second process and, after the delay, sends SIGTERM to it or to both. Afterwards r.cmd is
// the process that still runs, or nil.
func terminateHotRestart(t *testing.T, r *relayProcess, platform *fakePlatform, who string, delay time.Duration) {
	t.Helper()
	first := r.cmd
	management := r.setManagement()
	r.start(platform)
	if who != secondBefore {
		waitReady(t, management)
		must(t, first.Process.Signal(syscall.SIGTERM))
	}
	time.Sleep(delay)
	began := time.Now()
	r.signal(syscall.SIGTERM)
	if who == bothAfter {
		must(t, first.Process.Signal(syscall.SIGTERM))
	}
	checkShutdown(t, r.cmd, began, who == secondBefore)
	r.cmd = first
	if who != secondBefore {
		checkShutdown(t, first, began, false)
		r.cmd = nil
	}
}

// checkShutdown waits for the end of a process that was sent SIGTERM, and checks that the process ended in time and
// without an error. With maybeUncaught, SIGTERM may also have killed the process before it began to catch the signal.
func checkShutdown(t *testing.T, cmd *exec.Cmd, began time.Time, maybeUncaught bool) {
	t.Helper()
	err := cmd.Wait()
	if err != nil && (!endedBySignal(err) || !maybeUncaught) {
		t.Errorf("the process ended with an error: %v", err)
	}
	if took := time.Since(began); took > maxShutdownTime {
		t.Errorf("the process ended %v after SIGTERM, want at most %v", took, maxShutdownTime)
	}
}
