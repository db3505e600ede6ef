package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
)

const (
	// soundInterval is the time between two messages of a sound client.
	soundInterval = 30 * time.Millisecond
	// clientPatience is how long a client waits for the answer to a message before it hands the message in again.
	clientPatience = 400 * time.Millisecond
	// maxUnansweredShare is the largest share of a sound client's messages that may have no answer in time.
	maxUnansweredShare = 0.1
	// maxDeliveryTime is the largest time from the submission of a message to its arrival at an endpoint that answers.
	maxDeliveryTime = time.Second
)

// soundClient submits a message at a fixed interval on one connection, as long as that stays open. A message whose idle
// connection turns out to be closed is sent once more on a new connection.
type soundClient struct {
	r        *relayProcess
	conn     net.Conn // nil: not connected
	in       *bufio.Reader
	stop     chan struct{}
	finished sync.WaitGroup

	destination int // of the messages

	latencies  []time.Duration // of the answered messages
	statuses   map[int]int
	unanswered int
	accepted   []string
	acceptedAt map[string]time.Time
	slowest    time.Duration // from the submission of a message to its arrival
}

func startSoundClient(r *relayProcess) *soundClient { return startSoundClientTo(r, 7) }

// startSoundClientTo starts a client whose messages have a destination.
func startSoundClientTo(r *relayProcess, destination int) *soundClient {
	c := &soundClient{
		r:           r,
		stop:        make(chan struct{}),
		statuses:    map[int]int{},
		acceptedAt:  map[string]time.Time{},
		destination: destination,
	}
	c.finished.Go(c.run)
	return c
}

func (c *soundClient) run() {
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			c.close()
			return
		case <-time.After(soundInterval):
		}
		c.submit(fmt.Sprintf("sound-%d-%d", time.Now().UnixNano(), n))
	}
}

// submit submits a message and records what came of it.
func (c *soundClient) submit(id string) {
	began := time.Now()
	reused := c.conn != nil
	status, err := c.exchange(id, began.Add(clientPatience))
	if err != nil && reused && !errors.Is(err, errClientGaveUp) {
		status, err = c.exchange(id, began.Add(clientPatience))
	}
	if err != nil {
		c.unanswered++
		return
	}
	c.statuses[status]++
	c.latencies = append(c.latencies, time.Since(began))
	if status == http.StatusAccepted {
		c.accepted = append(c.accepted, id)
		c.acceptedAt[id] = began
	}
}

var errClientGaveUp = errors.New("no answer in time")

// exchange sends a message and reads its answer, and closes the connection after an error.
func (c *soundClient) exchange(id string, deadline time.Time) (status int, err error) {
	defer func() {
		if err != nil {
			c.close()
		}
		if err != nil && !time.Now().Before(deadline) {
			err = errClientGaveUp
		}
	}()
	if c.conn == nil {
		conn, err := (&net.Dialer{Deadline: deadline}).Dial("tcp", c.r.addr)
		if err != nil {
			return 0, err
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	if err := c.conn.SetDeadline(deadline); err != nil {
		return 0, err
	}
	request := c.r.request(id, 5*time.Second, func(request *http.Request) {
		request.Header.Set("Envelope", fmt.Sprint("dest=", c.destination))
	})
	if err := request.Write(c.conn); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(c.in, request)
	if err != nil {
		return 0, err
	}
	drain(response.Body)
	if response.Close {
		c.close()
	}
	return response.StatusCode, nil
}

func (c *soundClient) close() {
	if c.conn != nil {
		closeQuietly(c.conn)
		c.conn = nil
	}
}

// end stops the client and waits for its last message.
func (c *soundClient) end() {
	close(c.stop)
	c.finished.Wait()
}

// report fails the test if too many messages had no answer in time.
func (c *soundClient) report(t *testing.T) {
	t.Helper()
	slices.Sort(c.latencies)
	quantile := func(q float64) time.Duration {
		if len(c.latencies) == 0 {
			return 0
		}
		return c.latencies[int(q*float64(len(c.latencies)-1))]
	}
	t.Logf("sound client: answers %v, none in time %d, p50 %v, p99 %v", c.statuses, c.unanswered,
		quantile(0.5).Round(time.Millisecond), quantile(0.99).Round(time.Millisecond))
	if total := len(c.latencies) + c.unanswered; float64(c.unanswered) > maxUnansweredShare*float64(total) {
		t.Errorf("the sound client got no answer in time to %d of %d messages", c.unanswered, total)
	}
}

// peakMemory returns the largest resident memory that the running process has had, in bytes.
func (r *relayProcess) peakMemory() float64 {
	r.t.Helper()
	peak, err := relayprocess.Memory(r.cmd.Process.Pid, relayprocess.PeakMemory)
	must(r.t, err)
	return peak
}

// expectDelivered fails the test if a message that was accepted does not reach the endpoint, or does so twice.
func (c *soundClient) expectDelivered(t *testing.T, endpoint *fakeEndpoint) {
	t.Helper()
	for _, id := range c.accepted {
		eventually(t, id+" delivered", func() bool { return endpoint.count(id) > 0 })
		if n := endpoint.count(id); n > 1 {
			t.Errorf("%s was sent %d times", id, n)
		}
	}
	if c.slowest = endpoint.longestSince(c.acceptedAt); c.slowest > maxDeliveryTime {
		t.Errorf("a message reached the endpoint %v after its acceptance", c.slowest)
	}
	t.Logf("slowest delivery %v after the acceptance", c.slowest.Round(time.Millisecond))
}

// longestSince returns the longest time from the acceptance of a message to its arrival.
func (e *fakeEndpoint) longestSince(acceptedAt map[string]time.Time) (longest time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, id := range e.seen {
		if at, found := acceptedAt[id]; found {
			longest = max(longest, e.at[i].Sub(at))
		}
	}
	return longest
}
