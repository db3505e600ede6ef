package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
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

// holdListeningSocket has the platform hold the socket that clients connect to, and the relay started anew on it.
func holdListeningSocket(t *testing.T, r *relayProcess, p *platform) {
	r.kill()
	l, err := net.Listen("tcp", r.addr)
	must(t, err)
	t.Cleanup(func() { l.Close() })
	r.socket, err = l.(*net.TCPListener).File()
	must(t, err)
	t.Cleanup(func() { r.socket.Close() })
	second := withManagement(t, r)
	r.start(p)
	waitReady(t, second)
}

func waitReady(t testing.TB, second string) {
	t.Helper()
	eventually(t, "ready on the second address", func() bool {
		res, err := http.Get("http://" + second + "/v1/readyz")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// upgrade starts a second process beside the first, ends that one once the second is ready, and returns how it ended.
func (r *relayProcess) upgrade(p *platform) (ended <-chan error, old *exec.Cmd) {
	r.t.Helper()
	old = r.cmd
	second := withManagement(r.t, r)
	r.start(p)
	waitReady(r.t, second)
	must(r.t, old.Process.Signal(syscall.SIGTERM))
	done := make(chan error, 1)
	go func() { done <- old.Wait() }()
	return done, old
}

// keepAliveClient is a client that keeps its connection until it is told that it ends. It counts what clients must not meet.
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
		conn.SetDeadline(time.Now().Add(conditionTimeout))
		c.conn, c.in = conn, bufio.NewReader(conn)
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
		c.conn.Close()
		c.conn = nil
		return 0
	}
	io.Copy(io.Discard, res.Body)
	if res.Close {
		c.conn.Close()
		c.conn = nil
	}
	return res.StatusCode
}

// Upgrades under load, one after the other, while hosts answer late, err and refuse: no client meets a connection that
// is refused, reset or unread, each message is delivered, and none is by more calls than its class allows.
func TestUpgradesUnderLoad(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]int{}
	answer := func(w http.ResponseWriter, _ *http.Request, ids []string) {
		mu.Lock()
		for _, id := range ids {
			ran[id]++
		}
		mu.Unlock()
		if rand.IntN(50) == 0 {
			time.Sleep(600 * time.Millisecond) // some are out over an upgrade
		}
		time.Sleep(time.Duration(20+rand.IntN(80)) * time.Millisecond)
	}
	one, two := newEndpoint(t, answer), newEndpoint(t, answer)
	p := newPlatform(t)
	r := newRelay(
		t,
		p,
		[]listEntry{
			newEntry("s-1", one.addr(), "a", "gateway", "ready"),
			newEntry("s-2", two.addr(), "a", "gateway", "ready"),
		},
		func(set map[string]any) {
			set["bounds"].(map[string]any)["open_cap"] = 500
			set["extra"].(map[string]any)["call_slots"] = 40
		},
	)
	holdListeningSocket(t, r, p)
	var met, taken, refused atomic.Int64
	var accepted sync.Map
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			c := &keepAliveClient{r: r, failures: &met}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(20+rand.IntN(60)) * time.Millisecond):
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				switch c.submit(id, 12*time.Second) {
				case http.StatusAccepted:
					taken.Add(1)
					accepted.Store(id, true)
				case http.StatusServiceUnavailable:
					refused.Add(1)
				}
			}
		})
	}
	for range 3 {
		time.Sleep(300 * time.Millisecond) // load between two upgrades
		ended, _ := r.upgrade(p)
		if err := <-ended; err != nil {
			t.Errorf("the old process: %v", err)
		}
	}
	close(stop)
	wg.Wait()
	if n := met.Load(); n > 0 {
		t.Errorf("%d messages met a refused, reset or unread connection", n)
	}
	if taken.Load() < 200 {
		t.Errorf("only %d taken, %d refused", taken.Load(), refused.Load())
	}
	accepted.Range(func(id, _ any) bool {
		eventually(t, fmt.Sprint(id, " delivered"), func() bool {
			mu.Lock()
			defer mu.Unlock()
			return ran[id.(string)] > 0
		})
		return true
	})
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for _, n := range ran {
		if n > 1 {
			twice++
		}
	}
	// The hosts here answer all: no repeat is due. A call taken back while its connection came up never ran.
	if twice > 0 {
		t.Errorf("%d messages ran twice, of %d", twice, len(ran))
	}
}

// What the first process was told binds the second: a wait, and a call that is out.
func TestUpgradeKeepsPendingState(t *testing.T) {
	hold := make(chan struct{})
	var refuse atomic.Bool
	h := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request, ids []string) {
		if ids[0] == "slow" {
			<-hold
		}
		if refuse.Load() {
			w.Header().Set("Retry-After", "2.5")
			w.WriteHeader(http.StatusTooManyRequests)
		}
	})
	p := newPlatform(t)
	r := newRelay(t, p, []listEntry{newEntry("s-1", h.addr(), "a", "platform", "ready")}, nil)
	holdListeningSocket(t, r, p)
	r.mustAccept("slow", 10*time.Second)
	eventually(t, "a call out", func() bool { return h.count("slow") == 1 })
	refuse.Store(true)
	r.mustAccept("m1", 10*time.Second)
	eventually(t, "a wait told", func() bool { return h.count("m1") == 1 })
	told := time.Now()
	time.Sleep(50 * time.Millisecond) // the answer must be read: nothing else shows it
	refuse.Store(false)
	ended, _ := r.upgrade(p)
	r.mustAccept("m2", 10*time.Second)
	if time.Since(told) < 2*time.Second && h.count("m2")+h.count("m1") != 1 {
		t.Error("sent into a told wait")
	}
	close(hold) // the first process hears that, the second learns it
	eventually(t, "both are delivered", func() bool { return h.count("m2") == 1 && h.count("m1") == 2 })
	if d := time.Since(told); d < 2300*time.Millisecond {
		t.Errorf("the wait of 2.5 s was over after %v", d)
	}
	if err := <-ended; err != nil {
		t.Errorf("the old process: %v", err)
	}
	if h.count("slow") != 1 || p.notification("slow") != nil {
		t.Error("the call that was out has not ended its message")
	}
	r.client.CloseIdleConnections()
	if err := r.terminate(); err != nil {
		t.Errorf("ended: %v", err)
	}
}

// A message that the first process has delivered and forgotten is handed in once more at the second: it does not run
// again.
func TestUpgradeKeepsFinishedMessages(t *testing.T) {
	p, h := newPlatform(t), newEndpoint(t, nil)
	r := newRelay(t, p, []listEntry{newEntry("s-1", h.addr(), "a", "gateway", "ready")}, withPayments)
	holdListeningSocket(t, r, p)
	take := func() {
		t.Helper()
		if status, _ := r.submit("m1", 10*time.Second, withClass("pay")); status != http.StatusAccepted {
			t.Fatalf("status %d", status)
		}
	}
	take()
	eventually(t, "delivered", func() bool { return h.count("m1") == 1 })
	time.Sleep(50 * time.Millisecond) // the answer must be read: nothing else shows it
	ended, _ := r.upgrade(p)
	if err := <-ended; err != nil {
		t.Errorf("the old process: %v", err)
	}
	r.client.CloseIdleConnections()
	take()
	r.mustAccept("m2", 10*time.Second)
	eventually(t, "the one behind it", func() bool { return h.count("m2") == 1 })
	if n := h.count("m1"); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// The first process dies in the middle of it, or the second before it has taken over: what was out may have run,
// nothing is lost, and the one that remains serves on.
func TestUpgradeSurvivesEitherProcess(t *testing.T) {
	for _, who := range []string{"first, with a call out", "second, before"} {
		t.Run(who, func(t *testing.T) {
			hold := make(chan struct{})
			var once sync.Once
			h := newEndpoint(t, func(_ http.ResponseWriter, req *http.Request, ids []string) {
				if ids[0] == "slow" {
					first := false
					once.Do(func() { first = true })
					if first {
						<-hold
					}
				}
			})
			defer close(hold)
			p := newPlatform(t)
			r := newRelay(t, p, []listEntry{newEntry("s-1", h.addr(), "a", "platform", "ready")}, nil)
			holdListeningSocket(t, r, p)
			r.mustAccept("slow", 10*time.Second)
			eventually(t, "a call out", func() bool { return h.count("slow") == 1 })
			if who == "second, before" {
				old := r.cmd
				second := withManagement(t, r)
				r.start(p)
				waitReady(t, second)
				r.kill()
				r.cmd = old
				r.mustAccept("m1", 10*time.Second)
				eventually(t, "served on", func() bool { return h.count("m1") == 1 })
				return
			}
			_, old := r.upgrade(p)
			r.client.CloseIdleConnections()
			r.mustAccept("m1", 10*time.Second) // the second process serves
			must(t, old.Process.Kill())
			eventually(t, "repeated, within its zone and window", func() bool { return h.count("slow") == 2 })
			r.mustAccept("m2", 10*time.Second)
			eventually(t, "served on", func() bool { return h.count("m2") == 1 })
		})
	}
}

// SIGTERM at any moment of a hand-over, to the second process or to both: each ends in order, and what was taken on,
// tried or not, goes on with the next process and runs no more often than its class allows.
func TestTerminatedDuringHotRestart(t *testing.T) {
	for _, who := range []string{"second, before", "second", "both"} {
		for _, after := range []time.Duration{0, 3 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond, 150 * time.Millisecond} {
			t.Run(fmt.Sprint(who, " ", after), func(t *testing.T) {
				t.Parallel()
				const messages = 6
				p := newPlatform(t)
				h := newEndpoint(t, func(_ http.ResponseWriter, _ *http.Request, ids []string) {
					if ids[0][0] == 'o' {
						time.Sleep(300 * time.Millisecond) // out in the hand-over
					}
				})
				later := newEntry("s-2", h.addr(), "a", "gateway", "draining")
				later["cell"] = 8
				r := newRelay(
					t,
					p,
					[]listEntry{newEntry("s-1", h.addr(), "a", "gateway", "ready"), later},
					func(set map[string]any) {
						withPayments(set)
						set["extra"].(map[string]any)["call_slots"] = 40
					},
				)
				holdListeningSocket(t, r, p)
				var taken []string
				for i := range messages {
					for _, dest := range []int{7, 8} { // out, and untried
						id := fmt.Sprint(map[int]string{7: "o", 8: "u"}[dest], i)
						pay := withClass([]string{"order", "pay"}[i%2])
						status, _ := r.submit(
							id,
							12*time.Second,
							func(req *http.Request) { pay(req); req.Header.Set("Envelope", fmt.Sprint("dest=", dest)) },
						)
						if status != http.StatusAccepted {
							t.Fatalf("%s: status %d", id, status)
						}
						taken = append(taken, id)
					}
				}
				eventually(t, "a call out", func() bool { return h.count("o5") == 1 })
				old := r.cmd
				second := withManagement(t, r)
				r.start(p)
				if who != "second, before" {
					waitReady(t, second)
					must(t, old.Process.Signal(syscall.SIGTERM))
				}
				time.Sleep(after)
				began := time.Now()
				ended := func(cmd *exec.Cmd) {
					t.Helper()
					err := cmd.Wait()
					var exit *exec.ExitError
					// it had not come to catch the signal
					uncaught := errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signaled()
					if err != nil && !(uncaught && who == "second, before") {
						t.Errorf("ended: %v", err)
					}
					if took := time.Since(began); took > 3700*time.Millisecond {
						t.Errorf("ended after %v", took)
					}
				}
				must(t, r.cmd.Process.Signal(syscall.SIGTERM))
				if who == "both" {
					must(t, old.Process.Signal(syscall.SIGTERM)) // once more
				}
				ended(r.cmd)
				if r.cmd = old; who != "second, before" {
					ended(old)
					r.cmd = nil
				}
				r.client.CloseIdleConnections()
				later["state"] = "ready"
				if r.cmd == nil {
					r.config["known"] = map[string]any{
						"version": 2,
						"full":    true,
						"servers": []listEntry{newEntry("s-1", h.addr(), "a", "gateway", "ready"), later},
					}
					r.writeConfig()
					r.start(p)
				} else {
					p.publish(false, later)
				}
				for _, id := range taken {
					eventually(t, id+" tried", func() bool { return h.count(id) > 0 || p.notification(id) != nil })
					if h.count(id) == 0 {
						t.Errorf("%s was never called for: %v", id, p.notification(id))
					}
				}
				r.mustAccept("m1", 10*time.Second)
				eventually(t, "served on", func() bool { return h.count("m1") == 1 })
				for i, id := range taken {
					if n := h.count(id); n > 1 && i/2%2 == 1 {
						t.Errorf("%s ran %d times", id, n)
					}
				}
			})
		}
	}
}
