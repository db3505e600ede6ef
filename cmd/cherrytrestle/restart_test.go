package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestKilledWithACallInFlight kills a relay with a call in flight. The endpoint may have executed the call's message,
// so the next process repeats the message only in the same zone, where repeats are dropped. A message whose deadline
// has passed ends with a notification. A message that was delivered is not sent again after another restart.
func TestKilledWithACallInFlight(t *testing.T) {
	platform := newPlatform(t)
	var calls atomic.Int64
	one := newEndpoint(t, func(_ http.ResponseWriter, r *http.Request, _ []string) {
		if calls.Add(1) == 1 {
			<-r.Context().Done()
		}
	})
	other := newEndpoint(t, nil)
	r := newRelay(t, platform, one.list(singleKind, "ready"), nil)
	r.mustAccept("m1", 10*time.Second)
	r.mustAccept("late", 600*time.Millisecond)
	eventually(t, "the call", func() bool { return one.count("m1") == 1 })
	r.kill()
	time.Sleep(700 * time.Millisecond) // until after the deadline of the message "late"

	// Add an endpoint in the other zone, with a higher weight.
	better := newEntry("s-0", other.addr(), "b", singleKind, "ready")
	better["weight"] = 900.0
	r.start(platform)
	platform.publish(false, better)
	eventually(t, "delivered again", func() bool { return one.count("m1") == 2 })
	r.mustAccept("m2", 10*time.Second)
	eventually(t, "a new message goes to the better endpoint", func() bool { return other.count("m2") == 1 })
	if other.count("m1") != 0 {
		t.Error("m1 was repeated in the other zone")
	}
	if one.count("late") == 0 { // the message may have been delivered before the kill
		eventually(t, "a notification of the late message", func() bool { return platform.notification("late") != nil })
	}

	must(t, r.terminate())
	r.start(platform)
	r.mustAccept("m3", 10*time.Second)
	eventually(t, "m3", func() bool { return one.count("m3")+other.count("m3") == 1 })
	if one.count("m1") != 2 {
		t.Errorf("m1 was sent %d times", one.count("m1"))
	}
}

// TestGracefulShutdown sends SIGTERM while a call is in flight. The relay is no longer ready, still accepts messages
// for a while, lets the call finish, and ends in time. The next process does not send the delivered message again.
func TestGracefulShutdown(t *testing.T) {
	platform := newPlatform(t)
	began := make(chan struct{}, 10)
	endpoint := newEndpoint(t, func(http.ResponseWriter, *http.Request, []string) {
		began <- struct{}{}
		time.Sleep(time.Second)
	})
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), nil)
	r.mustAccept("running", 10*time.Second)
	<-began
	r.signal(syscall.SIGTERM)
	start := time.Now()
	eventually(t, "not ready", func() bool {
		res, err := r.client.Get("http://" + r.addr + "/_health")
		if err == nil {
			closeQuietly(res.Body)
		}
		return err == nil && res.StatusCode == http.StatusServiceUnavailable
	})
	if time.Since(start) < 200*time.Millisecond { // later, the relay may have closed its listener
		r.mustAccept("after", 10*time.Second) // new messages are still accepted
	}
	err := r.terminate()
	if took := time.Since(start); err != nil || took > maxShutdownTime {
		t.Errorf("the relay took %v to end, with error %v; want at most %v and no error", took, err, maxShutdownTime)
	}
	if endpoint.count("running") != 1 {
		t.Errorf("the message of the call in flight was sent %d times, want once", endpoint.count("running"))
	}
	r.start(platform)
	r.mustAccept("next", 10*time.Second)
	eventually(t, "the next message", func() bool { return endpoint.count("next") == 1 })
	if endpoint.count("running") != 1 {
		t.Error("a delivered message was sent again")
	}
}

// restartLoad is a group of clients that submit messages while the relay is restarted.
type restartLoad struct {
	r *relayProcess

	mu         sync.Mutex
	accepted   []string
	unanswered int // requests without an answer
}

// run runs three clients until stop is closed.
func (l *restartLoad) run(round string, stop <-chan struct{}) {
	var clients sync.WaitGroup
	for client := range 3 {
		clients.Go(func() { l.submit(fmt.Sprintf("%s-%d", round, client), stop) })
	}
	clients.Wait()
}

func (l *restartLoad) submit(name string, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		id := fmt.Sprintf("%s-%d", name, i)
		// The client retries on another connection if the relay closes this one without an answer.
		response, err := client.Do(l.r.request(id, 16*time.Second, nil))
		l.record(id, response, err)
		if err == nil {
			drain(response.Body)
			closeQuietly(response.Body)
		}
	}
}

func (l *restartLoad) record(id string, response *http.Response, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.unanswered++
	} else if response.StatusCode == http.StatusAccepted {
		l.accepted = append(l.accepted, id)
	}
}

// TestRestartsUnderLoadLoseNothing restarts a relay under load, by SIGTERM and by SIGKILL: each accepted message is
// sent or ends with a notification. The graceful shutdown answers each request, and causes no repeat.
func TestRestartsUnderLoadLoseNothing(t *testing.T) {
	platform := newPlatform(t)
	endpoint := newEndpoint(t, func(http.ResponseWriter, *http.Request, []string) { time.Sleep(30 * time.Millisecond) })
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), nil)
	load := &restartLoad{r: r}

	// A load balancer stops sending requests to a relay some tenths of a second after SIGTERM. These clients stop
	// after 100 ms.
	stop := make(chan struct{})
	go func() {
		time.Sleep(200 * time.Millisecond)
		signalQuietly(r.cmd, syscall.SIGTERM)
		time.Sleep(100 * time.Millisecond)
		close(stop)
	}()
	load.run("term", stop)
	if load.unanswered > 0 {
		t.Errorf("%d requests were not answered during a graceful shutdown", load.unanswered)
	}
	if err := r.cmd.Wait(); err != nil {
		t.Errorf("SIGTERM: the relay ended with %v", err)
	}
	r.start(platform)

	stop = make(chan struct{})
	go func() {
		time.Sleep(200 * time.Millisecond)
		_ = r.cmd.Process.Kill() // fails if the process has already ended
		close(stop)
	}()
	load.run("kill", stop)
	_ = r.cmd.Wait() // an error is expected: a signal ends the process
	r.start(platform)
	for _, id := range load.accepted {
		waitSentOrEnded(t, endpoint, platform, id)
	}
	if len(load.accepted) < 20 {
		t.Errorf("only %d messages were accepted, too few for this test", len(load.accepted))
	}
	for _, id := range load.accepted {
		if n := endpoint.count(id); strings.HasPrefix(id, "term") && n > 1 {
			t.Errorf("%s was sent %d times, although a graceful shutdown lets its call finish", id, n)
		}
	}
}
