package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// A call that was in flight when the process was killed may have run. The next process repeats the message, and only
// where repeats are dropped: in the same zone.
func TestKilledWithACallInFlight(t *testing.T) {
	platform := newPlatform(t)
	first := true
	var one *fakeEndpoint
	one = newEndpoint(t, func(_ http.ResponseWriter, r *http.Request, _ []string) {
		one.mu.Lock()
		hang := first
		first = false
		one.mu.Unlock()
		if hang {
			<-r.Context().Done()
		}
	})
	other := newEndpoint(t, nil)
	r := newRelay(t, platform, one.list(singleKind, "ready"), nil)
	r.mustAccept("m1", 10*time.Second)
	r.mustAccept("late", 600*time.Millisecond)
	eventually(t, "the call", func() bool { return one.count("m1") == 1 })
	r.kill()
	time.Sleep(700 * time.Millisecond) // the second message's time runs out while no relay is there

	// It starts with a list whose first endpoint, by its weight, is in the other zone.
	better := newEntry("s-0", other.addr(), "b", singleKind, "ready")
	better["weight"] = 900.0
	r.start(platform)
	platform.publish(false, better)
	eventually(t, "delivered again", func() bool { return one.count("m1") == 2 })
	r.mustAccept("m2", 10*time.Second)
	eventually(t, "a new message goes to the better endpoint", func() bool { return other.count("m2") == 1 })
	if other.count("m1") != 0 {
		t.Error("repeated in another zone")
	}
	if one.count("late") == 0 { // it may have been delivered before the kill
		eventually(t, "a notification for the overdue one", func() bool { return platform.notification("late") != nil })
	}

	// Delivered and ended messages stay ended.
	eventually(t, "an empty log after a planned end", func() bool { return r.terminate() == nil })
	r.start(platform)
	r.mustAccept("m3", 10*time.Second)
	eventually(t, "m3", func() bool { return one.count("m3")+other.count("m3") == 1 })
	if one.count("m1") != 2 {
		t.Errorf("m1 went %d times", one.count("m1"))
	}
}

func TestGracefulShutdown(t *testing.T) {
	platform := newPlatform(t)
	began := make(chan struct{}, 10)
	endpoint := newEndpoint(t, func(http.ResponseWriter, *http.Request, []string) {
		began <- struct{}{}
		time.Sleep(time.Second) // a call that takes its time
	})
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), nil)
	r.mustAccept("running", 10*time.Second)
	<-began
	must(t, r.cmd.Process.Signal(syscall.SIGTERM))
	start := time.Now()
	eventually(t, "not ready", func() bool {
		res, err := r.client.Get("http://" + r.addr + "/_health")
		if err == nil {
			closeQuietly(res.Body)
		}
		return err == nil && res.StatusCode == http.StatusServiceUnavailable
	})
	if time.Since(start) < 200*time.Millisecond { // otherwise the machine is too slow for this
		r.mustAccept("after", 10*time.Second) // new messages are still accepted
	}
	err := r.terminate()
	if took := time.Since(start); err != nil || took > 3700*time.Millisecond {
		t.Errorf("ended after %v: %v", took, err)
	}
	if endpoint.count("running") != 1 {
		t.Errorf("the running call: %d", endpoint.count("running"))
	}
	r.start(platform)
	r.mustAccept("next", 10*time.Second)
	eventually(t, "the next message", func() bool { return endpoint.count("next") == 1 })
	if endpoint.count("running") != 1 {
		t.Error("a delivered message went again")
	}
}

// restartLoad is clients that submit messages until they are stopped, whatever happens to the relay meanwhile.
type restartLoad struct {
	r *relayProcess

	mu         sync.Mutex
	accepted   []string
	unanswered int
}

// run submits messages until stop is closed.
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
		// The client sends it again if the relay closes the connection at the same moment.
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

// Clients that go on through a graceful shutdown, and through a kill, lose no message that was accepted.
func TestRestartsUnderLoadLoseNothing(t *testing.T) {
	platform := newPlatform(t)
	endpoint := newEndpoint(t, func(http.ResponseWriter, *http.Request, []string) { time.Sleep(30 * time.Millisecond) })
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), nil)
	load := &restartLoad{r: r}

	// The load balancer sends nothing more to a relay some tenths of a second after SIGTERM.
	stop := make(chan struct{})
	go func() {
		time.Sleep(200 * time.Millisecond)
		signalQuietly(r.cmd, syscall.SIGTERM)
		time.Sleep(100 * time.Millisecond)
		close(stop)
	}()
	load.run("term", stop)
	if load.unanswered > 0 {
		t.Errorf("%d requests had no answer through a graceful shutdown", load.unanswered)
	}
	if err := r.cmd.Wait(); err != nil {
		t.Errorf("ended: %v", err)
	}
	r.start(platform)

	stop = make(chan struct{})
	go func() {
		time.Sleep(200 * time.Millisecond)
		_ = r.cmd.Process.Kill() // it may have ended
		close(stop)
	}()
	load.run("kill", stop)
	_ = r.cmd.Wait() // the signal is its error
	r.start(platform)
	for _, id := range load.accepted {
		eventually(t, id+" delivered or ended", func() bool { return endpoint.count(id) > 0 || platform.notification(id) != nil })
	}
	if len(load.accepted) < 20 {
		t.Errorf("only %d accepted: the test shows little", len(load.accepted))
	}
	for _, id := range load.accepted {
		if n := endpoint.count(id); strings.HasPrefix(id, "term") && n > 1 {
			t.Errorf("%s was sent %d times though its calls could finish", id, n)
		}
	}
}
