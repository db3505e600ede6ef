package checker

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

const (
	// peerReportTolerance is how much fresher a report may appear than any that the relay can have received. It
	// allows for the time of the query and for that of the datagram with the report, which is not observed.
	peerReportTolerance = 400 * time.Millisecond
	// peerDiscoveryTimeout is the time within which two running relays with healthy links between them must receive
	// a report of each other. A relay takes seconds to contact a peer again that it considered dead.
	peerDiscoveryTimeout = 20 * time.Second
	// maxPeerReportAge is the greatest allowed age of the newest report after peerDiscoveryTimeout.
	maxPeerReportAge = 8 * time.Second
	// peerActivityWindow is the time after a submission to a relay in which other relays need recent reports of
	// that relay.
	peerActivityWindow = 3 * time.Second
)

// PeerViewResult is the result of checking peer views: whether relays hold reports of each other that are fresher
// or older than the links and processes of the run allow.
type PeerViewResult struct {
	Queried      int        `json:"asked"` // peer views
	Disconnected int        `json:"apart"` // peer views while a relay of the pair was down or a link was not healthy
	TooFresh     RuleResult `json:"young"` // reports that are fresher than any that can have been received
	Stale        RuleResult `json:"deaf"`  // reports that are old or missing, though the links are healthy
}

// violated reports whether any report was too fresh or stale. It is false for a nil result.
func (p *PeerViewResult) violated() bool {
	return p != nil && p.TooFresh.ViolationCount+p.Stale.ViolationCount > 0
}

// State returns Violated if any report was too fresh or stale, NotExercised if no relay was queried, and otherwise
// Held.
func (p *PeerViewResult) State() State {
	switch {
	case p.violated():
		return Violated
	case p.Queried == 0:
		return NotExercised
	default:
		return Held
	}
}

// peerViewChecker processes the events of a run in their order, and checks the peer views among them.
type peerViewChecker struct {
	relays        []string
	knowledge     *peerKnowledge
	lastSubmitted []time.Duration // by relay: the time of its last submission
	result        *PeerViewResult
}

// checkPeerViews checks the peer views of a run. It returns nil if the run has none.
func checkPeerViews(r *record) *PeerViewResult {
	if !slices.ContainsFunc(r.events, func(e eventlog.Event) bool { return e.Kind == eventlog.PeerView }) {
		return nil
	}
	c := peerViewChecker{
		relays:        r.Relays,
		knowledge:     newPeerKnowledge(len(r.Relays)),
		lastSubmitted: make([]time.Duration, len(r.Relays)),
		result: &PeerViewResult{
			TooFresh: RuleResult{Rule: "nobody is believed to be heard who was not"},
			Stale:    RuleResult{Rule: "who can be heard is heard"},
		},
	}
	for i, e := range r.events {
		if relay := slices.Index(c.relays, e.Relay); relay >= 0 {
			c.add(i, e, relay)
		}
	}
	c.result.TooFresh.conclude(true)
	c.result.Stale.conclude(true)
	return c.result
}

// add processes the next event. relay is the index of the event's relay.
func (c *peerViewChecker) add(i int, e eventlog.Event, relay int) {
	switch e.Kind {
	case eventlog.MessageSubmitted:
		c.lastSubmitted[relay] = e.At
	case eventlog.ProcessChanged:
		switch e.State {
		case eventlog.StateStart, eventlog.StateCont:
			c.knowledge.setRunning(e.At, relay, true)
		case eventlog.StateExit, eventlog.StateStop, eventlog.StateKill:
			c.knowledge.setRunning(e.At, relay, false)
		}
	case eventlog.LinkChanged:
		if peer := slices.Index(c.relays, e.Name); peer >= 0 {
			c.knowledge.setLink(e.At, relay, peer, e.State)
		}
	case eventlog.PeerView:
		if peer := slices.Index(c.relays, e.Name); peer >= 0 {
			c.checkView(i, e, relay, peer)
		}
	}
}

// checkView checks the age of the newest report that a relay has of a peer.
func (c *peerViewChecker) checkView(i int, e eventlog.Event, relay, peer int) {
	c.knowledge.advance(e.At)
	c.result.Queried++
	healthySince := c.knowledge.healthySince[relay][peer]
	if healthySince == never {
		c.result.Disconnected++
	}
	age := e.Duration.Round(time.Millisecond)

	c.result.TooFresh.Exercised++
	newest := c.knowledge.newest[relay][peer]
	if e.Duration >= 0 && e.At-e.Delay-e.Duration > newest+peerReportTolerance {
		c.result.TooFresh.addViolation(e.At, []int{i},
			"%s holds news of %s that is %v old, and can have heard of it as it was at %v at the latest",
			e.Relay, e.Name, age, newest.Round(time.Millisecond))
	}

	if healthySince == never || e.At-healthySince <= peerDiscoveryTimeout ||
		e.At-c.lastSubmitted[peer] >= peerActivityWindow {
		return
	}
	c.result.Stale.Exercised++
	if e.Duration < 0 || e.Duration > maxPeerReportAge {
		c.result.Stale.addViolation(e.At, []int{i},
			"%s holds news of %s that is %v old (below 0: none), over links that are sound since %v",
			e.Relay, e.Name, age, healthySince.Round(time.Millisecond))
	}
}
