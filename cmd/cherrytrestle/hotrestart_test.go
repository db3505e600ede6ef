package main

import (
	"bufio"
	"errors"
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

// holdListeningSocket has the platform hold the socket that clients connect to, and restarts the relay on it.
func holdListeningSocket(t *testing.T, r *relayProcess, platform *fakePlatform) {
	r.kill()
	l, err := net.Listen("tcp", r.addr)
	must(t, err)
	t.Cleanup(func() { closeQuietly(l) })
	r.socket, err = l.(*net.TCPListener).File()
	must(t, err)
	t.Cleanup(func() { closeQuietly(r.socket) })
	second := withManagement(t, r)
	r.start(platform)
	waitReady(t, second)
}

func waitReady(t testing.TB, second string) {
	t.Helper()
	eventually(t, "ready on the second address", func() bool {
		res, err := http.Get("http://" + second + "/v1/readyz")
		if err != nil {
			return false
		}
		closeQuietly(res.Body)
		return res.StatusCode == http.StatusOK
	})
}

// upgrade starts a second process beside the first, ends that one once the second is ready, and returns how it ended.
func (r *relayProcess) upgrade(platform *fakePlatform) (ended <-chan error, old *exec.Cmd) {
	r.t.Helper()
	old = r.cmd
	second := withManagement(r.t, r)
	r.start(platform)
	waitReady(r.t, second)
	must(r.t, old.Process.Signal(syscall.SIGTERM))
	done := make(chan error, 1)
	go func() { done <- old.Wait() }()
	return done, old
}

// keepAliveClient keeps its connection until an answer says that it is closed. It counts failures of it.
type keepAliveClient struct {
	r        *relayProcess
	conn     net.Conn
	in       *bufio.Reader
	failures *atomic.Int64
}

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

// upgradeLoad is clients that submit messages on connections that they keep.
type upgradeLoad struct {
	failures atomic.Int64 // connections that were refused, reset or closed unread
	rejected atomic.Int64
	accepted atomic.Int64
	ids      sync.Map // of the accepted messages
	stop     chan struct{}
	clients  sync.WaitGroup
}

func startUpgradeLoad(r *relayProcess) *upgradeLoad {
	load := &upgradeLoad{stop: make(chan struct{})}
	for i := range 10 {
		load.clients.Go(func() { load.submit(r, i) })
	}
	return load
}

func (l *upgradeLoad) submit(r *relayProcess, client int) {
	c := &keepAliveClient{r: r, failures: &l.failures}
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Duration(20+rand.IntN(60)) * time.Millisecond):
		}
		id := fmt.Sprintf("c%d-%d", client, n)
		switch c.submit(id, 12*time.Second) {
		case http.StatusAccepted:
			l.accepted.Add(1)
			l.ids.Store(id, true)
		case http.StatusServiceUnavailable:
			l.rejected.Add(1)
		}
	}
}

func (l *upgradeLoad) end() {
	close(l.stop)
	l.clients.Wait()
}

// slowly answers after some tenths of a second at most, and now and then so late that the call is in flight during an
// upgrade.
func slowly(http.ResponseWriter, *http.Request, []string) {
	if rand.IntN(50) == 0 {
		time.Sleep(600 * time.Millisecond)
	}
	time.Sleep(time.Duration(20+rand.IntN(80)) * time.Millisecond)
}

// Upgrades under load, one after the other, while endpoints answer late: no client meets a connection that is refused,
// reset or unread, each message is delivered, and none by more calls than its class allows.
func TestUpgradesUnderLoad(t *testing.T) {
	one := newEndpoint(t, slowly)
	two := newEndpoint(t, slowly)
	platform := newPlatform(t)
	r := newRelay(t, platform, []listEntry{
		newEntry("s-1", one.addr(), "a", singleKind, "ready"),
		newEntry("s-2", two.addr(), "a", singleKind, "ready"),
	}, func(set map[string]any) {
		set["bounds"].(map[string]any)["open_cap"] = 500
		set["extra"].(map[string]any)["call_slots"] = 40
	})
	holdListeningSocket(t, r, platform)
	load := startUpgradeLoad(r)
	for range 3 {
		time.Sleep(300 * time.Millisecond) // load between two upgrades
		ended, _ := r.upgrade(platform)
		if err := <-ended; err != nil {
			t.Errorf("the old process: %v", err)
		}
	}
	load.end()
	if n := load.failures.Load(); n > 0 {
		t.Errorf("%d messages met a refused, reset or unread connection", n)
	}
	if load.accepted.Load() < 200 {
		t.Errorf("only %d accepted, %d rejected", load.accepted.Load(), load.rejected.Load())
	}
	calls := func(id string) int { return one.count(id) + two.count(id) }
	load.ids.Range(func(id, _ any) bool {
		eventually(t, fmt.Sprint(id, " delivered"), func() bool { return calls(id.(string)) > 0 })
		return true
	})
	// These endpoints answer everything: no repeat is due. A call that was cancelled while its connection was opened
	// never ran.
	if twice := repeatedIDs(one, two); twice > 0 {
		t.Errorf("%d messages ran twice", twice)
	}
}

// repeatedIDs counts the messages that reached the endpoints more than once.
func repeatedIDs(endpoints ...*fakeEndpoint) int {
	calls := map[string]int{}
	for _, e := range endpoints {
		e.mu.Lock()
		for _, id := range e.seen {
			calls[id]++
		}
		e.mu.Unlock()
	}
	repeated := 0
	for _, n := range calls {
		if n > 1 {
			repeated++
		}
	}
	return repeated
}

// The state of the first process binds the second: a Retry-After, and a call in flight.
func TestUpgradeKeepsPendingState(t *testing.T) {
	hold := make(chan struct{})
	var refuse atomic.Bool
	endpoint := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request, ids []string) {
		if ids[0] == "slow" {
			<-hold
		}
		if refuse.Load() {
			w.Header().Set("Retry-After", "2.5")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		writeStates(w, ids, "ok")
	})
	platform := newPlatform(t)
	r := newRelay(t, platform, endpoint.list(batchKind, "ready"), nil)
	holdListeningSocket(t, r, platform)
	r.mustAccept("slow", 10*time.Second)
	eventually(t, "a call in flight", func() bool { return endpoint.count("slow") == 1 })
	refuse.Store(true)
	r.mustAccept("m1", 10*time.Second)
	eventually(t, "a Retry-After", func() bool { return endpoint.count("m1") == 1 })
	rejectedAt := time.Now()
	time.Sleep(50 * time.Millisecond) // the answer must be read: nothing else shows it
	refuse.Store(false)
	ended, _ := r.upgrade(platform)
	r.mustAccept("m2", 10*time.Second)
	if time.Since(rejectedAt) < 2*time.Second && endpoint.count("m2")+endpoint.count("m1") != 1 {
		t.Error("sent during a Retry-After")
	}
	close(hold) // the first process receives the answer and hands it to the second
	eventually(t, "both are delivered", func() bool { return endpoint.count("m2") == 1 && endpoint.count("m1") == 2 })
	if d := time.Since(rejectedAt); d < 2300*time.Millisecond {
		t.Errorf("the wait of 2.5 s was over after %v", d)
	}
	if err := <-ended; err != nil {
		t.Errorf("the old process: %v", err)
	}
	if endpoint.count("slow") != 1 || platform.notification("slow") != nil {
		t.Error("the call that was out has not ended its message")
	}
	r.client.CloseIdleConnections()
	if err := r.terminate(); err != nil {
		t.Errorf("ended: %v", err)
	}
}

// A message that the first process has delivered and forgotten is submitted once more at the second: it does not run
// again.
func TestUpgradeKeepsFinishedMessages(t *testing.T) {
	platform := newPlatform(t)
	endpoint := newEndpoint(t, nil)
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), withPayments)
	holdListeningSocket(t, r, platform)
	take := func() {
		t.Helper()
		if status, _ := r.submit("m1", 10*time.Second, withClass("pay")); status != http.StatusAccepted {
			t.Fatalf("status %d", status)
		}
	}
	take()
	eventually(t, "delivered", func() bool { return endpoint.count("m1") == 1 })
	time.Sleep(50 * time.Millisecond) // the answer must be read: nothing else shows it
	ended, _ := r.upgrade(platform)
	if err := <-ended; err != nil {
		t.Errorf("the old process: %v", err)
	}
	r.client.CloseIdleConnections()
	take()
	r.mustAccept("m2", 10*time.Second)
	eventually(t, "the one behind it", func() bool { return endpoint.count("m2") == 1 })
	if n := endpoint.count("m1"); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// The first process dies in the middle of an upgrade, or the second before it has taken over: calls in flight may have
// run, nothing is lost, and the one that remains serves on.
func TestUpgradeSurvivesEitherProcess(t *testing.T) {
	for _, who := range []string{"first, with a call out", "second, before"} {
		t.Run(who, func(t *testing.T) {
			hold := make(chan struct{})
			var once sync.Once
			endpoint := newEndpoint(t, func(_ http.ResponseWriter, _ *http.Request, ids []string) {
				if ids[0] == "slow" {
					first := false
					once.Do(func() { first = true })
					if first {
						<-hold
					}
				}
			})
			defer close(hold)
			platform := newPlatform(t)
			r := newRelay(t, platform, endpoint.list(batchKind, "ready"), nil)
			holdListeningSocket(t, r, platform)
			r.mustAccept("slow", 10*time.Second)
			eventually(t, "a call in flight", func() bool { return endpoint.count("slow") == 1 })
			if who == "second, before" {
				old := r.cmd
				second := withManagement(t, r)
				r.start(platform)
				waitReady(t, second)
				r.kill()
				r.cmd = old
				r.mustAccept("m1", 10*time.Second)
				eventually(t, "served on", func() bool { return endpoint.count("m1") == 1 })
				return
			}
			_, old := r.upgrade(platform)
			r.client.CloseIdleConnections()
			r.mustAccept("m1", 10*time.Second) // the second process serves
			must(t, old.Process.Kill())
			eventually(t, "repeated, within its zone and window", func() bool { return endpoint.count("slow") == 2 })
			r.mustAccept("m2", 10*time.Second)
			eventually(t, "served on", func() bool { return endpoint.count("m2") == 1 })
		})
	}
}

// Which processes of a hot restart get SIGTERM, and when.
const (
	secondBefore = "second, before" // before it has taken over
	secondAfter  = "second"
	bothAfter    = "both"
)

// SIGTERM at any moment of a hot restart, to the second process or to both: each ends in order, and accepted messages,
// sent or not, go on with the next process and run no more often than their class allows.
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
		set["extra"].(map[string]any)["call_slots"] = 40
	})
	holdListeningSocket(t, r, platform)
	accepted := submitSentAndUnsent(t, r)
	eventually(t, "a call in flight", func() bool { return endpoint.count("o5") == 1 })
	terminateHotRestart(t, r, platform, who, delay)
	r.client.CloseIdleConnections()
	later["state"] = "ready"
	if r.cmd == nil {
		r.config["known"] = map[string]any{"version": 2, "full": true, "servers": []listEntry{ready, later}}
		r.writeConfig()
		r.start(platform)
	} else {
		platform.publish(false, later)
	}
	for _, id := range accepted {
		eventually(t, id+" sent", func() bool { return endpoint.count(id) > 0 || platform.notification(id) != nil })
		if endpoint.count(id) == 0 {
			t.Errorf("%s was never sent: %v", id, platform.notification(id))
		}
	}
	r.mustAccept("m1", 10*time.Second)
	eventually(t, "served on", func() bool { return endpoint.count("m1") == 1 })
	for i, id := range accepted {
		if n := endpoint.count(id); n > 1 && i/2%2 == 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

// submitSentAndUnsent submits messages to a destination that is sent to, and to one whose endpoint is draining, in
// pairs of a class that may be repeated and pairs of one that may not.
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

// terminateHotRestart starts a second process, and terminates it or both after the delay. r.cmd is the process that
// remains, or nil.
func terminateHotRestart(t *testing.T, r *relayProcess, platform *fakePlatform, who string, delay time.Duration) {
	t.Helper()
	old := r.cmd
	management := withManagement(t, r)
	r.start(platform)
	if who != secondBefore {
		waitReady(t, management)
		must(t, old.Process.Signal(syscall.SIGTERM))
	}
	time.Sleep(delay)
	began := time.Now()
	must(t, r.cmd.Process.Signal(syscall.SIGTERM))
	if who == bothAfter {
		must(t, old.Process.Signal(syscall.SIGTERM)) // once more
	}
	checkEnd(t, r.cmd, began, who == secondBefore)
	r.cmd = old
	if who != secondBefore {
		checkEnd(t, old, began, false)
		r.cmd = nil
	}
}

// checkEnd waits for a process to end in order, or by the signal if that may come before the process catches it.
func checkEnd(t *testing.T, cmd *exec.Cmd, began time.Time, maybeUncaught bool) {
	t.Helper()
	err := cmd.Wait()
	var exit *exec.ExitError
	uncaught := errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signaled()
	if err != nil && (!uncaught || !maybeUncaught) {
		t.Errorf("ended: %v", err)
	}
	if took := time.Since(began); took > 3700*time.Millisecond {
		t.Errorf("ended after %v", took)
	}
}
