package hollow

import (
	"slices"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/policy"
)

// propagation follows one change: a Retry-After that one member observes.
type propagation struct {
	origin      string // the member's name
	destination policy.DestinationID
	began       time.Time

	mu    sync.Mutex
	known map[int]time.Duration // by member: time until it received the change
}

// isContained reports whether load reports contain the change.
func (p *propagation) isContained(reports []loadreport.Report) bool {
	isChange := func(load loadreport.ScopeLoad) bool {
		return load.Destination == p.destination && load.RetryAfter > 0
	}
	return slices.ContainsFunc(reports, func(r loadreport.Report) bool {
		return r.Name == p.origin && slices.ContainsFunc(r.Scopes, isChange)
	})
}

// record notes that a member knows the change.
func (p *propagation) record(member int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.known[member]; !known {
		p.known[member] = time.Since(p.began)
	}
}

func (p *propagation) knownCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known)
}

// times returns the sorted times until members knew the change.
func (p *propagation) times() (times []time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range p.known {
		times = append(times, d)
	}
	slices.Sort(times)
	return times
}

// changedDestination is the destination that changes are about. It is listed last and has no load.
func (f *Fleet) changedDestination() policy.DestinationID {
	return policy.DestinationID(f.options.Destinations)
}

// Change makes one member observe a Retry-After, and returns the sorted times until the others know of it. Those that
// do not within ChangeTimeout are missing.
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
