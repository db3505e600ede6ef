package fake

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

const (
	// notificationTimeout is how long after an update a running relay counts as notified, even if it has not read the
	// update.
	notificationTimeout = 6 * time.Second
	// headerTimeout bounds the time to read the head of a request to the agent.
	headerTimeout = 5 * time.Second
)

// ListedEndpoint is an entry of the endpoint list.
type ListedEndpoint struct {
	ID          string  `json:"id"`
	Addr        string  `json:"addr,omitempty"`
	Zone        string  `json:"zone"`
	Kind        string  `json:"kind"`
	Destination int     `json:"cell"`
	State       string  `json:"state"`
	Weight      float64 `json:"weight"`
	StartedMS   int64   `json:"started_ms"`
}

// EndpointList is a snapshot of the endpoint list, or updates of the list, as discovery sends them.
type EndpointList struct {
	Version   int64            `json:"version"`
	Full      bool             `json:"full"` // true: a snapshot; false: the updates since an earlier version
	Endpoints []ListedEndpoint `json:"servers"`
}

// DiscoveryAgent is a fake of the discovery agent that serves one relay on the relay's machine.
type DiscoveryAgent struct {
	relay    string
	events   *eventlog.Writer
	world    *World
	listener net.Listener
	server   *http.Server
	serving  sync.WaitGroup
	faults   *agentFaults

	mu           sync.Mutex                // guards the fields below
	changed      chan struct{}             // closed and replaced when there may be something to send
	listed       map[string]ListedEndpoint // the current list, by endpoint id
	updates      []update                  // all updates since the start; their number is the version of the list
	deferred     []ListedEndpoint          // updates received while the agent is silent
	silent       bool                      // nothing is sent to the relay
	relayRunning bool
}

// update is a change of one entry of the list.
type update struct {
	ListedEndpoint
	notified bool // the relay counts as notified of this update
}

// NewDiscoveryAgent starts the agent of a relay. The relay counts as notified of the given list.
func NewDiscoveryAgent(
	relay string,
	events *eventlog.Writer,
	world *World,
	list []ListedEndpoint,
) (*DiscoveryAgent, error) {
	listener, err := net.Listen("tcp", anyLoopbackAddr)
	if err != nil {
		return nil, fmt.Errorf("fake: discovery agent of %s: %w", relay, err)
	}
	a := &DiscoveryAgent{
		relay:    relay,
		events:   events,
		world:    world,
		listener: listener,
		faults:   newAgentFaults(uint64(len(list))),
		changed:  make(chan struct{}),
		listed:   map[string]ListedEndpoint{},
	}
	for _, endpoint := range list {
		a.updates = append(a.updates, update{ListedEndpoint: endpoint, notified: true})
		a.listed[endpoint.ID] = endpoint
		a.recordNotified(endpoint)
	}
	a.server = &http.Server{Handler: a.handler(), ReadHeaderTimeout: headerTimeout}
	a.serving.Go(a.serve)
	return a, nil
}

// serve serves requests until Close.
func (a *DiscoveryAgent) serve() {
	if err := a.server.Serve(agentListener{a.listener, a.faults}); !errors.Is(err, http.ErrServerClosed) {
		a.recordInvalid("", fmt.Sprintf("discovery agent: %v", err))
	}
}

// Addr returns the address of the agent.
func (a *DiscoveryAgent) Addr() string { return a.listener.Addr().String() }

// Close stops the server, closes its connections and ends the requests that wait.
func (a *DiscoveryAgent) Close() error {
	err := a.server.Close()
	a.serving.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = false
	a.wake()
	return err
}

// Update updates an entry of the list. While the agent is silent, the update is deferred.
func (a *DiscoveryAgent) Update(endpoint ListedEndpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent {
		a.deferred = append(a.deferred, endpoint)
		return
	}
	a.applyUpdate(endpoint)
}

// SetSilent sets whether the agent is silent. A silent agent sends nothing to the relay and defers updates. When it is
// no longer silent, it applies the deferred updates and sends again.
func (a *DiscoveryAgent) SetSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
	if silent {
		return
	}
	for _, endpoint := range a.deferred {
		a.applyUpdate(endpoint)
	}
	a.deferred = nil
	a.wake()
}

// SetRelayRunning sets whether the relay runs. Only a running relay counts as notified after notificationTimeout. When
// the relay starts, that time begins again for each update that it has not been notified of.
func (a *DiscoveryAgent) SetRelayRunning(running bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.relayRunning = running
	if !running {
		return
	}
	for i, u := range a.updates {
		if !u.notified {
			a.scheduleNotified(i)
		}
	}
}

// NotifiedList returns the newest version of the list that the relay counts as notified of.
func (a *DiscoveryAgent) NotifiedList() EndpointList {
	a.mu.Lock()
	defer a.mu.Unlock()
	listed := map[string]ListedEndpoint{}
	version := 0
	for ; version < len(a.updates) && a.updates[version].notified; version++ {
		applyTo(listed, a.updates[version].ListedEndpoint)
	}
	return snapshot(version, listed)
}

// applyUpdate applies an update to the list and wakes the requests that wait for one. The caller holds mu.
func (a *DiscoveryAgent) applyUpdate(endpoint ListedEndpoint) {
	a.updates = append(a.updates, update{ListedEndpoint: endpoint})
	applyTo(a.listed, endpoint)
	a.wake()
	a.scheduleNotified(len(a.updates) - 1)
}

// scheduleNotified marks the i-th update as notified after notificationTimeout, if the relay runs and the agent is not
// silent at that time. The caller holds mu.
func (a *DiscoveryAgent) scheduleNotified(i int) {
	time.AfterFunc(notificationTimeout, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.relayRunning && !a.silent {
			a.setNotified(i)
		}
	})
}

// setNotifiedUpTo marks all updates up to a version of the list as notified.
func (a *DiscoveryAgent) setNotifiedUpTo(version int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range version {
		a.setNotified(i)
	}
}

// setNotified marks the i-th update as notified and records that, unless it is marked already. The caller holds mu.
func (a *DiscoveryAgent) setNotified(i int) {
	if a.updates[i].notified {
		return
	}
	a.updates[i].notified = true
	a.recordNotified(a.updates[i].ListedEndpoint)
}

// wake wakes the requests that wait for a change. The caller holds mu.
func (a *DiscoveryAgent) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// applyTo updates the entry of an endpoint in a list, or removes the entry if the endpoint is gone.
func applyTo(listed map[string]ListedEndpoint, endpoint ListedEndpoint) {
	if endpoint.State == eventlog.StateGone {
		delete(listed, endpoint.ID)
	} else {
		listed[endpoint.ID] = endpoint
	}
}

// snapshot returns the whole list as an EndpointList with the given version, sorted by endpoint id.
func snapshot(version int, listed map[string]ListedEndpoint) EndpointList {
	endpoints := make([]ListedEndpoint, 0, len(listed))
	for _, id := range slices.Sorted(maps.Keys(listed)) {
		endpoints = append(endpoints, listed[id])
	}
	return EndpointList{Version: int64(version), Full: true, Endpoints: endpoints}
}

func (a *DiscoveryAgent) recordNotified(endpoint ListedEndpoint) {
	a.events.Add(eventlog.Event{
		Kind:        eventlog.RelayNotified,
		Relay:       a.relay,
		Endpoint:    endpoint.ID,
		State:       endpoint.State,
		Destination: endpoint.Destination,
	})
}

// recordInvalid records an event that makes the run invalid.
func (a *DiscoveryAgent) recordInvalid(id, cause string) {
	a.events.Add(eventlog.Event{Kind: eventlog.RunInvalid, Relay: a.relay, ID: id, Cause: cause})
}
