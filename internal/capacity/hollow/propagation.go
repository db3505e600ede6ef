package hollow

import (
	"slices"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/policy"
)

// propagation records when members receive a change. The change is a Retry-After that one member, the origin, observes.
type propagation struct {
	origin      string // name of the member that observes the Retry-After
	destination policy.DestinationID
	began       time.Time

	mu    sync.Mutex
	known map[int]time.Duration // by member: time until it received the change
}

// isContained reports whether one of the load reports contains the change.
func (p *propagation) isContained(reports []loadreport.Report) bool {
	isChange := func(load loadreport.ScopeLoad) bool {
		return load.Destination == p.destination && load.RetryAfter > 0
	}
	return slices.ContainsFunc(reports, func(r loadreport.Report) bool {
		return r.Name == p.origin && slices.ContainsFunc(r.Scopes, isChange)
	})
}

// record records the time at which a member first received the change.
func (p *propagation) record(member int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.known[member]; !known {
		p.known[member] = time.Since(p.began)
	}
}

// knownCount returns the number of members that have received the change.
func (p *propagation) knownCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known)
}

// times returns the times from the change until members received it, sorted.
func (p *propagation) times() (times []time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range p.known {
		times = append(times, d)
	}
	slices.Sort(times)
	return times
}

// changedDestination returns the destination whose endpoint answers with the Retry-After of a change. This destination
// is the last one of the endpoint list and gets no messages.
func (f *Fleet) changedDestination() policy.DestinationID {
	return policy.DestinationID(f.options.Destinations)
}

// Change makes one member observe a Retry-After, and returns the times until the other members receive this change,
// sorted. Members that do not receive the change within ChangeTimeout are missing.
func (f *Fleet) Change(origin int) []time.Duration {
	p := &propagation{
		origin:      memberName(origin),
		destination: f.changedDestination(),
		began:       time.Now(),
		known:       map[int]time.Duration{},
	}
	f.propagation.Store(p)
	defer f.propagation.Store(nil)
	f.members[origin].changes <- f.options.ChangeTimeout
	others := f.options.Members - 1
	for deadline := time.Now().Add(f.options.ChangeTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if p.knownCount() >= others {
			break
		}
	}
	return p.times()
}
