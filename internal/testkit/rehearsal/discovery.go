package rehearsal

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/fake"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// discoveryStream selects the sequence of the PCG generator that the random delays are drawn from.
const discoveryStream = 1

// discovery holds the platform's endpoint list, and notifies each relay of its changes after a random delay.
type discovery struct {
	record        *eventlog.Writer
	world         *fake.World
	endpoints     []scenario.Endpoint // all endpoints of the plan, including those added later
	endpointsByID map[string]scenario.Endpoint
	delays        scenario.Discovery

	mu          sync.Mutex
	random      *rand.Rand
	listed      map[string]fake.ListedEndpoint // by endpoint, without addresses, which differ between relays
	extraDelays map[string]time.Duration       // by relay
	relays      []string
	updates     map[string]chan listUpdate // by relay, in the order of the changes
}

// listUpdate is a change of the endpoint list, and the time at which a relay is notified of it.
type listUpdate struct {
	endpoint fake.ListedEndpoint
	due      time.Time
}

func newDiscovery(plan scenario.Plan, record *eventlog.Writer, world *fake.World) *discovery {
	d := &discovery{
		record:        record,
		world:         world,
		endpoints:     plan.Endpoints,
		endpointsByID: make(map[string]scenario.Endpoint, len(plan.Endpoints)),
		delays:        plan.File.Discovery,
		random:        rand.New(rand.NewPCG(plan.DiscoverySeed, discoveryStream)),
		listed:        map[string]fake.ListedEndpoint{},
		extraDelays:   map[string]time.Duration{},
		updates:       map[string]chan listUpdate{},
	}
	for _, endpoint := range plan.Endpoints {
		d.endpointsByID[endpoint.ID] = endpoint
	}
	return d
}

// startEndpoint starts an endpoint and lists it as ready. The relays are not notified.
func (d *discovery) startEndpoint(endpoint scenario.Endpoint) error {
	if _, err := d.world.AddEndpoint(endpoint); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed[endpoint.ID] = fake.ListedEndpoint{
		ID:          endpoint.ID,
		Zone:        endpoint.Zone,
		Kind:        endpoint.Kind,
		Destination: endpoint.Destination,
		State:       eventlog.StateReady,
		Weight:      endpoint.Weight,
	}
	return nil
}

// recordState records that the platform changed the entry of an endpoint.
func (d *discovery) recordState(endpoint scenario.Endpoint, state string) {
	event := eventlog.Event{
		Kind:        eventlog.EndpointChanged,
		Endpoint:    endpoint.ID,
		Destination: endpoint.Destination,
		Zone:        endpoint.Zone,
		State:       state,
	}
	if endpoint.Service == endpoint.ID {
		event.Service = endpoint.ID
	}
	d.record.Add(event)
}

// firstList returns the endpoints that exist from the start, with their addresses for a relay.
func (d *discovery) firstList(relay string) []fake.ListedEndpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []fake.ListedEndpoint
	for _, endpoint := range d.endpoints {
		if !endpoint.AddedLater {
			list = append(list, d.withAddress(d.listed[endpoint.ID], relay))
		}
	}
	return list
}

// withAddress returns an entry with the address at which a relay reaches the endpoint.
func (d *discovery) withAddress(listed fake.ListedEndpoint, relay string) fake.ListedEndpoint {
	if endpoint := d.world.Endpoint(listed.ID); endpoint != nil {
		listed.Addr = endpoint.Addr(relay)
	}
	return listed
}

// addRelay registers a relay and returns the channel of its updates, which buffers up to maxUpdates of them.
func (d *discovery) addRelay(name string, maxUpdates int) <-chan listUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	updates := make(chan listUpdate, maxUpdates)
	d.relays = append(d.relays, name)
	d.updates[name] = updates
	return updates
}

// deliverUpdates notifies a relay's agent of each update when it is due, until ctx ends.
func deliverUpdates(ctx context.Context, agent *fake.DiscoveryAgent, updates <-chan listUpdate) {
	for {
		select {
		case <-ctx.Done():
			return
		case update := <-updates:
			if sleepUntil(ctx, update.due) {
				agent.Update(update.endpoint)
			}
		}
	}
}

// setExtraDelay sets a delay that is added to the random delay of a relay's updates.
func (d *discovery) setExtraDelay(relay string, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.extraDelays[relay] = delay
}

// add starts a new endpoint, lists it as ready and schedules the notification of each relay.
func (d *discovery) add(id string) error {
	if err := d.startEndpoint(d.endpointsByID[id]); err != nil {
		return err
	}
	d.setState(id, eventlog.StateReady)
	return nil
}

// setState changes the state of an endpoint in the list, and schedules the notification of each relay after a random
// delay.
func (d *discovery) setState(id, state string) {
	d.recordState(d.endpointsByID[id], state)
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := d.listed[id]
	listed.State = state
	d.listed[id] = listed
	spread := float64(d.delays.MaxDelay - d.delays.MinDelay)
	for _, relay := range d.relays {
		delay := d.delays.MinDelay.AsDuration() + time.Duration(d.random.Float64()*spread) + d.extraDelays[relay]
		d.updates[relay] <- listUpdate{endpoint: d.withAddress(listed, relay), due: time.Now().Add(delay)}
	}
}
