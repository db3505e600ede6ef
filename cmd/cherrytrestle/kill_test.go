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

var relayKills = flag.Int("relaykills", 8, "how often TestKilledUnderLoad kills the relay")

// Killed again and again under load, at any point, with compactions on the way since its disk is small: no accepted
// message is forgotten, and none that must not run twice does.
func TestKilledUnderLoad(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	platform := newPlatform(t)
	endpoint := newEndpoint(t, func(http.ResponseWriter, *http.Request, []string) { time.Sleep(5 * time.Millisecond) })
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), func(set map[string]any) {
		withPayments(set)
		set["bounds"].(map[string]any)["open_cap"] = 200
		set["extra"].(map[string]any)["call_slots"] = 40
	})
	var mu sync.Mutex
	var taken []string
	body := strings.Repeat("x", 6000)
	for round := range *relayKills {
		stop := make(chan struct{})
		var clients sync.WaitGroup
		for c := range 4 {
			clients.Go(func() {
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					class := []string{"order", "pay"}[i%2]
					id := fmt.Sprintf("%s-%d-%d-%d", class, round, c, i)
					req := r.request(id, 8*time.Second, withClass(class))
					req.Body = io.NopCloser(strings.NewReader(body))
					req.ContentLength = int64(len(body))
					req.GetBody = nil
					res, err := client.Do(req)
					if err != nil {
						continue
					}
					closeQuietly(res.Body)
					if res.StatusCode == http.StatusAccepted {
						mu.Lock()
						taken = append(taken, id)
						mu.Unlock()
					}
				}
			})
		}
		time.Sleep(time.Duration(rng.IntN(150)) * time.Millisecond) // the point of the kill is what is drawn
		killProcess(r.cmd)
		close(stop)
		clients.Wait()
		r.start(platform)
	}
	for _, id := range taken {
		eventually(t, id+" delivered or ended", func() bool { return endpoint.count(id) > 0 || platform.notification(id) != nil })
	}
	calls := noPaymentTwice(t, endpoint)
	t.Logf("%d messages taken, %d calls, %d kills", len(taken), calls, *relayKills)
	if len(taken) < 10**relayKills {
		t.Errorf("only %d accepted: the test shows little", len(taken))
	}
}

// noPaymentTwice checks that no payment reached an endpoint more than once, and returns how many calls there were.
func noPaymentTwice(t *testing.T, endpoint *fakeEndpoint) (calls int) {
	t.Helper()
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	ran := map[string]int{}
	for _, id := range endpoint.seen {
		if ran[id]++; strings.HasPrefix(id, "pay") && ran[id] == 2 {
			t.Errorf("%s ran twice", id)
		}
	}
	return len(endpoint.seen)
}

// Killed, and killed again twice before the start that follows is done, at random points: accepted messages still end,
// and none runs twice that must not. The first kill leaves a journal full of messages whose endpoint did not answer, so
// that there is much to recover.
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
		set["bounds"].(map[string]any)["open_cap"] = 400
		set["extra"].(map[string]any)["call_slots"] = 40
	})
	var taken []string
	for round := range *relayKills / 2 {
		for i := range 40 {
			class := []string{"order", "pay"}[i%2]
			id := fmt.Sprintf("%s-%d-%d", class, round, i)
			if status, _ := r.submit(id, 12*time.Second, withClass(class)); status == http.StatusAccepted {
				taken = append(taken, id)
			}
		}
		r.kill()
		for range 2 {
			r.launch(platform)
			time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond) // the point of the kill is what is drawn
			r.kill()
		}
		r.start(platform)
	}
	close(answers)
	for _, id := range taken {
		eventually(t, id+" delivered or ended", func() bool { return endpoint.count(id) > 0 || platform.notification(id) != nil })
	}
	noPaymentTwice(t, endpoint)
	if len(taken) < 15**relayKills {
		t.Errorf("only %d accepted: the test shows little", len(taken))
	}
}
