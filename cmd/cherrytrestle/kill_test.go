package main

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

var relayKills = flag.Int("relaykills", 8,
	"how often TestKilledUnderLoad kills the relay; TestKilledAgainDuringRecovery runs half as many rounds")

// TestKilledUnderLoad kills a relay at random times under load. The relay's disk limit is so small that the journal is
// compacted. Each accepted message is sent or ends with a notification, and no message of the class "pay" is sent
// twice.
func TestKilledUnderLoad(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	platform := newPlatform(t)
	endpoint := newEndpoint(t, func(http.ResponseWriter, *http.Request, []string) { time.Sleep(5 * time.Millisecond) })
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), func(set map[string]any) {
		withPayments(set)
		setMaxPending(set, 200)
		setMaxInFlightCalls(set, 40)
	})
	load := &largeMessageLoad{r: r}
	for round := range *relayKills {
		stop := make(chan struct{})
		var clients sync.WaitGroup
		for client := range 4 {
			clients.Go(func() { load.submit(fmt.Sprintf("%d-%d", round, client), stop) })
		}
		time.Sleep(time.Duration(rng.IntN(150)) * time.Millisecond) // a random time for the kill
		killProcess(r.cmd)
		close(stop)
		clients.Wait()
		r.start(platform)
	}
	for _, id := range load.accepted {
		waitSentOrEnded(t, endpoint, platform, id)
	}
	calls := checkNoPaymentTwice(t, endpoint)
	t.Logf("%d messages accepted, %d calls, %d kills", len(load.accepted), calls, *relayKills)
	if len(load.accepted) < 10**relayKills {
		t.Errorf("only %d messages were accepted, too few for this test", len(load.accepted))
	}
}

// largeMessageLoad is a group of clients that submit large messages of the classes "order" and "pay" to a relay.
type largeMessageLoad struct {
	r        *relayProcess
	mu       sync.Mutex
	accepted []string
}

// submit submits messages, one after the other, until stop is closed.
func (l *largeMessageLoad) submit(name string, stop <-chan struct{}) {
	body := strings.Repeat("x", 6000)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		class := []string{"order", "pay"}[i%2]
		id := fmt.Sprintf("%s-%s-%d", class, name, i)
		request := l.r.request(id, 8*time.Second, withClass(class))
		request.Body = io.NopCloser(strings.NewReader(body))
		request.ContentLength = int64(len(body))
		request.GetBody = nil
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		closeQuietly(response.Body)
		if response.StatusCode == http.StatusAccepted {
			l.mu.Lock()
			l.accepted = append(l.accepted, id)
			l.mu.Unlock()
		}
	}
}

// TestKilledAgainDuringRecovery kills a relay that has many messages in its journal. It also kills the next two
// processes, at random times of their recovery. Each accepted message is sent or ends with a notification, and no
// message of the class "pay" is sent twice.
func TestKilledAgainDuringRecovery(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 2))
	platform := newPlatform(t)
	answers := make(chan struct{})
	endpoint := newEndpoint(t, func(_ http.ResponseWriter, r *http.Request, _ []string) {
		select {
		case <-answers:
		case <-r.Context().Done():
		}
	})
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), func(set map[string]any) {
		withPayments(set)
		setMaxPending(set, 400)
		setMaxInFlightCalls(set, 40)
	})
	var accepted []string
	for round := range *relayKills / 2 {
		for i := range 40 {
			class := []string{"order", "pay"}[i%2]
			id := fmt.Sprintf("%s-%d-%d", class, round, i)
			if status, _ := r.submit(id, 12*time.Second, withClass(class)); status == http.StatusAccepted {
				accepted = append(accepted, id)
			}
		}
		r.kill()
		for range 2 {
			r.launch(platform)
			time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond) // a random time for the kill
			r.kill()
		}
		r.start(platform)
	}
	close(answers)
	for _, id := range accepted {
		waitSentOrEnded(t, endpoint, platform, id)
	}
	checkNoPaymentTwice(t, endpoint)
	if len(accepted) < 15**relayKills {
		t.Errorf("only %d messages were accepted, too few for this test", len(accepted))
	}
}

// checkNoPaymentTwice checks that the endpoint received no message of the class "pay" more than once. The ids of such
// messages begin with "pay". It returns the number of calls, and counts a call with several messages once for each of
// them.
func checkNoPaymentTwice(t *testing.T, endpoint *fakeEndpoint) (total int) {
	t.Helper()
	for id, calls := range callsByMessage(endpoint) {
		total += calls
		if calls > 1 && strings.HasPrefix(id, "pay") {
			t.Errorf("%s was sent %d times, want at most once", id, calls)
		}
	}
	return total
}
