package relay

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// acceptedTerms submits a message of a class and returns its terms; accepted is false if the message is rejected.
func acceptedTerms(r *Relay, class string) (terms policy.MessageTerms, accepted bool) {
	s := newSubmission("new", 7, 9*time.Second)
	s.message.ClassName = class
	answer := submitAll(r, s)[0]
	if answer.Status != http.StatusAccepted {
		return policy.MessageTerms{}, false
	}
	return r.termsOf(s.message), true
}

// A relay is killed soon after a reload, or between the reload and its first write. Clients still use the earlier
// settings when the next process begins, so the earlier rules must bind new messages, too.
func TestRestartSoonAfterReloadKeepsTheEarlierRules(t *testing.T) {
	for name, reloaded := range map[string]bool{"before the reload takes effect": false, "after it": true} {
		for change, edit := range configurationChanges() {
			t.Run(change+", killed "+name, func(t *testing.T) {
				old := newTestRelay(t)
				before := withPaymentClass(old.cfg)
				old.changeConfig(configChange{config: before.Config})
				old.step(nil)
				after := withPaymentClass(old.cfg)
				edit(&after)
				if reloaded {
					old.latestConfig = before.Config
					if err := old.Reload(after, nil); err != nil {
						t.Fatal(err)
					}
					for len(old.events) > 0 {
						nextEvent(t, old)
					}
				}
				r := restartWith(t, old, after)
				terms, accepted := acceptedTerms(r, "pay")
				if !accepted || terms.Class.Effect != policy.NonIdempotent || !terms.Class.Ordered ||
					terms.MaxAttempts != before.Settings.MaxAttempts {
					t.Errorf("accepted: %t, terms %+v, want those of the earlier rules", accepted, terms)
				}
			})
		}
	}
}

// After the transition from the rules of an earlier process, the rules of the configuration bind new messages, and the
// next restart finds nothing to continue from.
func TestTransitionAfterRestartEnds(t *testing.T) {
	old := newTestRelay(t)
	old.changeConfig(configChange{config: withPaymentClass(old.cfg).Config})
	old.step(nil)
	after := withPaymentClass(old.cfg)
	after.Settings.Classes[paymentClass].Effect = policy.Idempotent
	r := restartWith(t, old, after)
	r.changeConfig(configChange{config: after.Config}) // the last stage
	r.step(nil)
	if terms, accepted := acceptedTerms(r, "pay"); !accepted || terms.Class.Effect != policy.Idempotent {
		t.Errorf("accepted: %t, terms %+v, want an idempotent class", accepted, terms)
	}
	again := restartWith(t, r, after)
	if !slices.Equal(again.activeConfig.Settings.Classes, after.Settings.Classes) {
		t.Errorf("classes %+v, want %+v", again.activeConfig.Settings.Classes, after.Settings.Classes)
	}
}
