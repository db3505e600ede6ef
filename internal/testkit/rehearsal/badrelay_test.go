package rehearsal

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// badMode selects the rule that a badRelay violates.
type badMode string

const (
	modeNone           badMode = "none"       // keeps all rules
	modeLoseMessages   badMode = "lose"       // drops some accepted messages
	modeDeliverTwice   badMode = "twice"      // sends each payment again after it was delivered
	modeIgnoreDraining badMode = "drain"      // calls endpoints in any state, draining ones too
	modeIgnoreWait     badMode = "wait"       // ignores Retry-After
	modeReorder        badMode = "order"      // swaps the messages of each pair with one ordering key
	modeOverload       badMode = "push"       // retries after noRetryPause instead of retryPause
	modeRejectAll      badMode = "reject-all" // rejects all messages, for TestLoad
)

// badModeVariable is the environment variable that makes this test binary run as a badRelay in the given mode.
const badModeVariable = "REHEARSAL_BAD_RELAY"

const (
	retryPause    = 200 * time.Millisecond  // before a rejected message is sent again
	noRetryPause  = 20 * time.Millisecond   // in place of retryPause in modeOverload
	orderingPause = 1050 * time.Millisecond // after a call that may still run
	noEndpointGap = 20 * time.Millisecond   // between two searches for an endpoint
)

// badRelay is a simple relay. It sends each message to the first ready endpoint of the message's destination, and
// retries after a pause if the endpoint rejects the call. The message fails when its deadline is near, or after a call
// that may have run. A badRelay keeps every rule except the one that its mode violates.
type badRelay struct {
	mode      badMode
	discovery string

	mu         sync.Mutex
	endpoints  map[string]badEndpoint
	retryAfter map[string]time.Time     // by service: no calls before this time
	orderTails map[string]chan struct{} // by ordering key: see enqueue
}

// badEndpoint is an entry of the endpoint list.
type badEndpoint struct {
	ID, Addr, Kind, State, Zone string

	Destination int `json:"cell"`
}

func runBadRelay(mode badMode) {
	var config struct {
		Known struct{ Servers []badEndpoint }
	}
	data, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err == nil {
		err = json.Unmarshal(data, &config)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	b := &badRelay{
		mode:       mode,
		discovery:  os.Getenv("ROUTER_DISCOVERY"),
		endpoints:  map[string]badEndpoint{},
		retryAfter: map[string]time.Time{},
		orderTails: map[string]chan struct{}{},
	}
	for _, endpoint := range config.Known.Servers {
		b.endpoints[endpoint.ID] = endpoint
	}
	go b.watch()
	http.HandleFunc("GET /_health", func(http.ResponseWriter, *http.Request) {})
	http.HandleFunc("POST /{class}", b.serve)
	fmt.Fprintln(os.Stderr, http.ListenAndServe(os.Getenv("ROUTER_LISTEN"), nil))
}

func (b *badRelay) watch() {
	response, err := http.Get("http://" + b.discovery + "/catalog/members?stream=1&index=0")
	if err != nil {
		return
	}
	for lines := json.NewDecoder(response.Body); ; {
		var update struct{ Servers []badEndpoint }
		if lines.Decode(&update) != nil {
			return
		}
		b.mu.Lock()
		for _, endpoint := range update.Servers {
			if old, ok := b.endpoints[endpoint.ID]; ok && endpoint.Addr == "" {
				state := endpoint.State
				endpoint = old
				endpoint.State = state
			}
			b.endpoints[endpoint.ID] = endpoint
		}
		b.mu.Unlock()
	}
}

// chooseEndpoint returns the ready endpoint of a destination with the lowest id. modeIgnoreDraining includes endpoints
// in other states. It returns false if there is no such endpoint, or while a Retry-After has to be respected.
func (b *badRelay) chooseEndpoint(destination int) (badEndpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates []badEndpoint
	for _, endpoint := range b.endpoints {
		if endpoint.Destination != destination || endpoint.State != "ready" && b.mode != modeIgnoreDraining {
			continue
		}
		if time.Now().Before(b.retryAfter[serviceOf(endpoint)]) && b.mode != modeIgnoreWait {
			return badEndpoint{}, false
		}
		candidates = append(candidates, endpoint)
	}
	if len(candidates) == 0 {
		return badEndpoint{}, false
	}
	return slices.MinFunc(candidates, func(x, y badEndpoint) int { return strings.Compare(x.ID, y.ID) }), true
}

func serviceOf(endpoint badEndpoint) string {
	if endpoint.Kind == "gateway" {
		return endpoint.ID
	}
	return strconv.Itoa(endpoint.Destination)
}

func (b *badRelay) serve(w http.ResponseWriter, r *http.Request) {
	if b.mode == modeRejectAll {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	destination, _ := strconv.Atoi(strings.TrimPrefix(r.Header.Get("Envelope"), "dest="))
	left, _ := strconv.Atoi(r.Header.Get("X-Expires-In-Ms"))
	if err != nil || destination == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	message := badMessage{
		id:          r.Header.Get("X-Trace-Id"),
		class:       r.PathValue("class"),
		destination: destination,
		body:        body,
		deadline:    time.Now().Add(time.Duration(left) * time.Millisecond),
	}
	orderingKey := r.URL.Query().Get("key")
	before, done := b.enqueue(orderingKey)
	w.WriteHeader(http.StatusAccepted)
	if b.mode == modeLoseMessages && orderingKey == "" && strings.HasSuffix(message.id, "0") {
		return
	}
	go func() {
		defer close(done)
		select {
		case <-before:
			b.deliver(message)
		case <-time.After(time.Until(message.deadline) - 200*time.Millisecond):
			b.notifyUndeliverable(message.id)
			<-before
		}
	}()
}

type badMessage struct {
	id, class   string
	destination int
	body        []byte
	deadline    time.Time
}

// enqueue queues a message behind the earlier messages of its ordering key. before is closed when the message may be
// sent, and the caller closes done when the message has ended. orderTails holds the done channel of the key's newest
// message. modeReorder sends the messages of each pair of a key in reverse order.
func (b *badRelay) enqueue(orderingKey string) (before, done chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before, done = b.orderTails[orderingKey], make(chan struct{})
	if b.mode == modeReorder && orderingKey != "" {
		if before == nil { // the first message waits until the second has ended
			b.orderTails[orderingKey] = done
			return done, make(chan struct{})
		}
		delete(b.orderTails, orderingKey)
		done = before // the second message goes at once, and its end releases the first
		before = nil
	}
	if orderingKey == "" || before == nil {
		before = make(chan struct{})
		close(before)
	}
	if orderingKey != "" && b.mode != modeReorder {
		b.orderTails[orderingKey] = done
	}
	return before, done
}

// deliver makes calls until one delivers the message. If none does, it reports the message as undeliverable.
func (b *badRelay) deliver(m badMessage) {
	for time.Until(m.deadline) > 300*time.Millisecond {
		endpoint, ok := b.chooseEndpoint(m.destination)
		if !ok {
			time.Sleep(noEndpointGap)
			continue
		}
		status, wait := b.call(endpoint, m)
		switch status {
		case http.StatusOK:
			if b.mode == modeDeliverTwice && m.class == "payment" {
				b.call(endpoint, m)
			}
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			b.noteRetryAfter(endpoint, wait)
			pause := retryPause
			if b.mode == modeOverload {
				pause = noRetryPause
			}
			time.Sleep(pause)
		default:
			b.notifyUndeliverable(m.id)
			time.Sleep(orderingPause) // the call may still run: the next message of the key has to wait
			return
		}
	}
	b.notifyUndeliverable(m.id)
}

func (b *badRelay) noteRetryAfter(endpoint badEndpoint, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	service := serviceOf(endpoint)
	until := time.Now().Add(wait + 5*time.Millisecond)
	if wait > 0 && until.After(b.retryAfter[service]) {
		b.retryAfter[service] = until
	}
}

func (b *badRelay) notifyUndeliverable(id string) {
	response, err := http.Post("http://"+b.discovery+"/v2/finals", "application/json",
		bytes.NewReader(fmt.Appendf(nil, `{"id":%q,"status":"undeliverable"}`, id)))
	if err == nil {
		response.Body.Close()
	}
}

// call sends a message to an endpoint and returns the status and the Retry-After of the answer; status 0: no answer.
func (b *badRelay) call(endpoint badEndpoint, m badMessage) (status int, wait time.Duration) {
	ctx, cancel := context.WithDeadline(context.Background(), m.deadline.Add(-100*time.Millisecond))
	defer cancel()
	url := "http://" + endpoint.Addr + "/events"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(m.body))
	if err != nil {
		return 0, 0
	}
	request.Header.Set("X-Trace-Id", m.id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the status and the header are needed
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}
