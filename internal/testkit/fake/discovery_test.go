package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// newAgent starts the agent of a running relay, with one endpoint in the list.
func newAgent(t *testing.T, h *harness) *DiscoveryAgent {
	t.Helper()
	list := []ListedEndpoint{{ID: "s-1", Addr: "x:1", State: eventlog.StateReady, Destination: 1}}
	agent, err := NewDiscoveryAgent(testRelay, h.events, h.World, list)
	if err != nil {
		t.Fatal(err)
	}
	nettest.CloseAtEnd(t, agent)
	agent.SetRelayRunning(true)
	return agent
}

// version returns the version of the agent's list.
func (a *DiscoveryAgent) version() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.updates)
}

// watch is a watch of the endpoint list.
type watch struct {
	t     *testing.T
	ctx   context.Context
	lists chan EndpointList
}

// startWatch starts a watch from a version of the list. The watch ends with the test.
func startWatch(t *testing.T, agent *DiscoveryAgent, version int) *watch {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), nettest.Patience)
	url := fmt.Sprintf("http://%s/catalog/members?stream=1&index=%d", agent.Addr(), version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	w := &watch{t: t, ctx: ctx, lists: make(chan EndpointList, 16)}
	done := make(chan struct{})
	t.Cleanup(func() {
		cancel()
		<-done
	})
	go func() {
		defer close(done)
		w.read(request)
	}()
	return w
}

// read reads lists until the watch ends.
func (w *watch) read(request *http.Request) {
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return
	}
	defer nettest.Close(response.Body)
	for decoder := json.NewDecoder(response.Body); ; {
		var list EndpointList
		if decoder.Decode(&list) != nil {
			return
		}
		select {
		case w.lists <- list:
		case <-w.ctx.Done():
			return
		}
	}
}

// next waits for the next list and returns it.
func (w *watch) next() EndpointList {
	w.t.Helper()
	select {
	case list := <-w.lists:
		return list
	case <-w.ctx.Done():
		w.t.Fatalf("the watch received no list within %v of its start", nettest.Patience)
		return EndpointList{}
	}
}

func TestWatchSendsUpdates(t *testing.T) {
	h := newHarness(t)
	agent := newAgent(t, h)
	watching := startWatch(t, agent, 0)
	if list := watching.next(); !list.Full || list.Version != 1 || len(list.Endpoints) != 1 {
		t.Errorf("first list: %+v, want a snapshot of version 1", list)
	}
	agent.Update(ListedEndpoint{ID: "s-2", State: eventlog.StateReady})
	if list := watching.next(); list.Full || list.Version != 2 || list.Endpoints[0].ID != "s-2" {
		t.Errorf("list after the update: %+v, want the change of version 2", list)
	}
	// The relay counts as notified after the agent has written the line. The watch may have read the line before that.
	h.waitFor(eventlog.RelayNotified, func(e eventlog.Event) bool { return e.Endpoint == "s-2" })
	agent.Update(ListedEndpoint{ID: "s-1", State: eventlog.StateGone})
	watching.next()
	h.waitFor(eventlog.RelayNotified, withState(eventlog.StateGone))
	if list := agent.NotifiedList(); list.Version != 3 || len(list.Endpoints) != 1 || list.Endpoints[0].ID != "s-2" {
		t.Errorf("notified list: %+v, want version 3 with s-2", list)
	}
	if list := startWatch(t, agent, 99).next(); !list.Full || list.Version != 3 {
		t.Errorf("watch from a version that does not exist: %+v, want a snapshot of version 3", list)
	}
}

func TestSilentAgentDefersUpdates(t *testing.T) {
	h := newHarness(t)
	agent := newAgent(t, h)
	watching := startWatch(t, agent, 0)
	watching.next()
	agent.Update(ListedEndpoint{ID: "s-2", State: eventlog.StateReady})
	watching.next()
	h.waitFor(eventlog.RelayNotified, func(e eventlog.Event) bool { return e.Endpoint == "s-2" })
	agent.SetSilent(true)
	agent.Update(ListedEndpoint{ID: "s-1", State: eventlog.StateDraining})
	if _, notified := h.find(eventlog.RelayNotified, withState(eventlog.StateDraining)); notified {
		t.Error("the relay counts as notified of an update that the silent agent deferred")
	}
	if version := agent.NotifiedList().Version; version != 2 {
		t.Errorf("the relay counts as notified of version %d while the agent is silent, want 2", version)
	}
	if version := agent.version(); version != 2 {
		t.Errorf("the list has version %d while the agent is silent, want 2", version)
	}
	startedWhileSilent := startWatch(t, agent, 1) // receives nothing yet
	agent.SetSilent(false)
	if list := watching.next(); list.Version != 3 || list.Endpoints[0].State != eventlog.StateDraining {
		t.Errorf("list after the silence: %+v, want the deferred update as version 3", list)
	}
	if list := startedWhileSilent.next(); list.Full || list.Version != 3 || len(list.Endpoints) != 2 {
		t.Errorf("watch from version 1: %+v, want two updates to version 3", list)
	}
	h.waitFor(eventlog.RelayNotified, withState(eventlog.StateDraining))
}

func TestSilentAgentAcceptsNotices(t *testing.T) {
	h := newHarness(t)
	agent := newAgent(t, h)
	agent.SetSilent(true)
	h.register("m1", "m2")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: nettest.Patience}
	expectStatus := func(body string, want int) {
		t.Helper()
		response, err := client.Post("http://"+agent.Addr()+"/v2/finals", "", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		nettest.Close(response.Body)
		if response.StatusCode != want {
			t.Errorf("status %d, want %d", response.StatusCode, want)
		}
	}
	const notices = `{"id":"m1","status":"undeliverable"}
{"id":"m2","status":"deferred","again_ms":500}
`
	expectStatus(notices, http.StatusNoContent)
	e := h.waitFor(eventlog.MessageNotice, func(e eventlog.Event) bool { return e.ID == "m2" })
	if e.State != eventlog.StateDeferred || e.RetryAfter != 500*time.Millisecond {
		t.Errorf("notice of m2: %+v, want deferred for 500ms", e)
	}
	if n := h.UnresolvedMessages(); n != 0 {
		t.Errorf("%d messages are unresolved, want 0", n)
	}
	expectStatus(`{"id":"m1","status":"lost"}`, http.StatusBadRequest)
	h.waitFor(eventlog.RunInvalid, anyEvent)
}
