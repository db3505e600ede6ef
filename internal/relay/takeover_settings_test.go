package relay

import (
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
	"cherrytrestle.example/cherrytrestle/policy"
)

// takeOverWith returns a relay with another configuration that has restored the state of old.
func takeOverWith(t *testing.T, old *Relay, cfg Config, edit func(*hotrestart.State)) *Relay {
	t.Helper()
	old.cfg = cfg
	return successorOf(t, old, edit)
}

// unreadableSnapshot replaces the policy's state by one of another version.
func unreadableSnapshot(s *hotrestart.State) { s.Snapshot = []byte{9} }

// The successor cannot read the policy's state and has another class in its configuration. Clients still use the rules
// of the predecessor, so these bind new messages, too.
func TestTakeOverWithoutStateKeepsTheEarlierRules(t *testing.T) {
	for name, change := range configurationChanges() {
		t.Run(name, func(t *testing.T) {
			old := newTestRelay(t)
			old.changeConfig(configChange{config: withPaymentClass(old.cfg).Config})
			cfg := withPaymentClass(old.cfg)
			change(&cfg)
			r := takeOverWith(t, old, cfg, unreadableSnapshot)
			terms, accepted := acceptedTerms(r, "pay")
			if !accepted || terms.Class.Effect != policy.NonIdempotent || !terms.Class.Ordered {
				t.Errorf("accepted: %t, terms %+v, want those of the earlier rules", accepted, terms)
			}
		})
	}
}

// The successor cannot read the policy's state. A Retry-After that the predecessor received still binds, from the
// endpoint health in the journal.
func TestTakeOverWithoutStateKeepsRetryAfter(t *testing.T) {
	old := newTestRelay(t)
	rejected := policy.Event{
		Kind: policy.HealthChecked, Endpoint: "s-1", Outcome: policy.Overloaded, RetryAfter: 5 * time.Second,
	}
	old.execute(old.decide(old.now(), []policy.Event{rejected}), nil)
	old.saveEndpointHealth()
	r := takeOverWith(t, old, old.cfg, unreadableSnapshot)
	if views, _ := r.engine.Views(); len(views) != 1 || views[0].RetryAfterUntil < r.now()+4*time.Second {
		t.Errorf("endpoints %+v, want one with a Retry-After of 5 s", views)
	}
}
