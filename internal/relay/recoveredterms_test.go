package relay

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// paymentClass is the index of the non-idempotent class that withPaymentClass adds.
const paymentClass = 1

// withPaymentClass returns a configuration with a second class, whose messages must never run twice.
func withPaymentClass(c Config) Config {
	c.ClassNames = append(slices.Clone(c.ClassNames), "pay")
	class := c.Settings.Classes[0]
	class.Effect = policy.NonIdempotent
	class.Ordered = true
	c.Settings.Classes = append(slices.Clone(c.Settings.Classes), class)
	return c
}

// restartWith ends a relay without a shutdown, and returns one that recovers its journal with another configuration.
func restartWith(t *testing.T, old *Relay, cfg Config) *Relay {
	t.Helper()
	if err := old.journal.Close(); err != nil {
		t.Fatal(err)
	}
	r, err := New(cfg, discardLog(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.egress.Close() })
	r.callCtx = old.callCtx
	r.recoverState()
	t.Cleanup(r.calls.Wait)
	return r
}

// configurationChanges are the ways in which another configuration can change the class of an open message.
func configurationChanges() map[string]func(*Config) {
	edit := func(change func(*policy.Class)) func(*Config) {
		return func(c *Config) { change(&c.Settings.Classes[paymentClass]) }
	}
	return map[string]func(*Config){
		"unchanged":  func(*Config) {},
		"idempotent": edit(func(class *policy.Class) { class.Effect = policy.Idempotent }),
		"idempotent by key": edit(func(class *policy.Class) {
			class.Effect = policy.IdempotentByKey
			class.DedupAllZones = true
		}),
		"idempotent and not ordered": edit(func(class *policy.Class) {
			class.Effect = policy.Idempotent
			class.Ordered = false
		}),
		"dropped": func(c *Config) {
			c.ClassNames = c.ClassNames[:paymentClass]
			c.Settings.Classes = c.Settings.Classes[:paymentClass]
		},
		"reordered": func(c *Config) {
			slices.Reverse(c.ClassNames)
			slices.Reverse(c.Settings.Classes)
		},
		"reordered and idempotent": func(c *Config) {
			c.Settings.Classes[paymentClass].Effect = policy.Idempotent
			slices.Reverse(c.ClassNames)
			slices.Reverse(c.Settings.Classes)
		},
		"more attempts": func(c *Config) { c.Settings.MaxAttempts = 100 },
	}
}

// A non-idempotent message that may have run is not sent again after a restart, whatever the configuration of the new
// process makes of its class. One that was not sent keeps its terms.
func TestNonIdempotentMessageIsNotRepeatedUnderNewSettings(t *testing.T) {
	for name, change := range configurationChanges() {
		t.Run(name, func(t *testing.T) {
			old := newTestRelay(t)
			old.applyConfig(withPaymentClass(old.cfg).Config)
			if err := old.engine.Reconfigure(old.activeConfig.Settings); err != nil {
				t.Fatal(err)
			}
			sent := newSubmission("sent", 7, 9*time.Second)
			waiting := newSubmission("waiting", 99, 9*time.Second) // no endpoint has this destination
			old.listReceived = false
			for _, submission := range []*submitEvent{sent, waiting} {
				submission.message.ClassName = "pay"
			}
			submitAll(old, sent, waiting)
			if len(old.activeCalls) != 1 {
				t.Fatalf("%d calls in flight, want 1", len(old.activeCalls))
			}
			want := *waiting.message.Terms
			cfg := withPaymentClass(old.cfg)
			change(&cfg)

			r := restartWith(t, old, cfg)
			pending := r.notifier.Pending()
			if len(pending) != 1 || pending[0].TraceID != "sent" || pending[0].Status != "undeliverable" {
				t.Errorf("notifications %+v, want one that message sent is undeliverable", pending)
			}
			if len(r.activeCalls) != 0 {
				t.Error("a message that may have run was sent again")
			}
			m := r.messagesByTrace["waiting"]
			if m == nil || m.completed() ||
				r.termsOf(m.Message) != want || *r.recoveredEvent(m).Recovered.Terms != want {
				t.Errorf("message %+v, want one with the terms %+v", m, want)
			}
		})
	}
}

// A folder of an earlier version does not tell the terms of its messages. Such a message is not sent again once it may
// have run, although the configuration now has its class as idempotent.
func TestMessageOfUnknownTermsIsNotRepeated(t *testing.T) {
	old := newTestRelay(t)
	newMessage := func(id policy.MessageID, trace string) *journal.Message {
		return &journal.Message{
			ID: id, TraceID: trace, ClassName: "order", Destination: 7, Deadline: time.Now().Add(9 * time.Second),
		}
	}
	sent := newMessage(1, "sent")
	untried := newMessage(2, "untried")
	if err := old.journal.Accept(sent, untried); err != nil {
		t.Fatal(err)
	}
	attempt := journal.Attempt{Endpoint: "s-1", SentAt: time.Now()}
	if err := old.journal.RecordSends(journal.Send{Message: sent, Attempt: attempt}); err != nil {
		t.Fatal(err)
	}
	cfg := old.cfg
	cfg.Settings.Classes = slices.Clone(cfg.Settings.Classes)
	cfg.Settings.Classes[0].Effect = policy.Idempotent

	r := restartWith(t, old, cfg)
	if pending := r.notifier.Pending(); len(pending) != 1 || pending[0].TraceID != "sent" {
		t.Errorf("notifications %+v, want one of message sent", pending)
	}
	if len(r.activeCalls) != 1 {
		t.Errorf("%d calls, want one of the message that was never sent", len(r.activeCalls))
	}
}

// A client leaves while the call of its non-idempotent message is out, and submits the message again after a reload has
// made the class idempotent. The message may have run, so it is not sent again.
func TestResubmissionUnderNewSettingsIsNotRepeated(t *testing.T) {
	r := newTestRelay(t)
	reconfigure := func(cfg Config) {
		r.changeConfig(configChange{config: cfg.Config})
	}
	reconfigure(withPaymentClass(r.cfg))
	submission := func() *submitEvent {
		s := newSubmission("m1", 7, 9*time.Second)
		s.message.ClassName = "pay"
		return s
	}
	first := submission()
	submitAll(r, first)
	r.step([]event{cancelEvent{first.message.ID}})
	cfg := withPaymentClass(r.cfg)
	cfg.Settings.Classes[paymentClass].Effect = policy.Idempotent
	reconfigure(cfg)
	answer := submitAll(r, submission())[0]
	if answer.Status != http.StatusInternalServerError || len(r.activeCalls) != 1 {
		t.Errorf("answer %+v with %d calls, want status 500 and the first call alone", answer, len(r.activeCalls))
	}
}

// A reload moves the class of an open non-idempotent message to another place of the list. The message is still sent as
// one that must not run twice.
func TestReorderedClassesKeepTheEffectOfOpenMessages(t *testing.T) {
	r := newTestRelay(t)
	r.changeConfig(configChange{config: withPaymentClass(r.cfg).Config})
	waiting := newSubmission("m1", 99, 9*time.Second)
	waiting.message.ClassName = "pay"
	r.listReceived = false
	submitAll(r, waiting)
	cfg := withPaymentClass(r.cfg)
	slices.Reverse(cfg.ClassNames)
	slices.Reverse(cfg.Settings.Classes)
	r.changeConfig(configChange{config: cfg.Config})
	send := policy.Action{Kind: policy.Send, Endpoint: "s-1", TimeoutAt: time.Minute}
	if calls := r.addToCalls(nil, r.messages[waiting.message.ID], &send); !calls[0].OnceOnly {
		t.Error("the call may end with an answer that does not prove whether the message ran")
	}
}

// A configuration with the zones in another order must not move an attempt that may have run to another zone: only the
// endpoints of the zone that it was sent to recognize a repeat.
func TestReorderedZonesKeepTheZoneOfAnAttempt(t *testing.T) {
	for name, zones := range map[string][]string{
		"unchanged": {"a", "b"},
		"reordered": {"b", "a"},
		"inserted":  {"c", "a", "b"},
		"dropped":   {"c", "b"},
	} {
		t.Run(name, func(t *testing.T) {
			old := newTestRelay(t)
			submitAll(old, newSubmission("m1", 7, 9*time.Second))
			if len(old.activeCalls) != 1 {
				t.Fatalf("%d calls in flight, want 1", len(old.activeCalls))
			}
			cfg := old.cfg
			cfg.Zones = zones
			cfg.Known = discovery.List{}
			r := restartWith(t, old, cfg)
			recovered := r.recoveredEvent(r.messagesByTrace["m1"]).Recovered
			want := slices.Index(zones, "a") // the zone of endpoint s-1
			if !recovered.MayHaveRun || recovered.FirstRunZone != want {
				t.Errorf("recovered as %+v, want zone %d", recovered, want)
			}
		})
	}
}

// Two reloads arrive before the loop has applied the first of them. Clients may still use the first one, so its rules
// bind, too.
func TestReloadsInARowKeepTheStrictestRules(t *testing.T) {
	r := newTestRelay(t)
	strict := r.cfg
	strict.Settings.Classes = slices.Clone(strict.Settings.Classes)
	strict.Settings.Classes[0].Effect = policy.NonIdempotent
	for _, cfg := range []Config{strict, r.cfg} {
		if err := r.Reload(cfg, nil); err != nil {
			t.Fatal(err)
		}
	}
	for len(r.events) > 0 {
		nextEvent(t, r)
	}
	if effect := r.activeTerms[0].Class.Effect; effect != policy.NonIdempotent {
		t.Errorf("a new message is %v, want %v", effect, policy.NonIdempotent)
	}
}

// A configuration with the tenants in another order must not charge the quota of one tenant with the messages of
// another.
func TestReorderedTenantsKeepTheTenantOfAMessage(t *testing.T) {
	old := newTestRelay(t)
	waiting := newSubmission("m1", 99, 9*time.Second)
	waiting.message.Tenant = 1
	waiting.message.TenantName = "bolt"
	old.listReceived = false
	submitAll(old, waiting)
	for name, tenants := range map[string][]string{
		"unchanged": {"acme", "bolt"},
		"reordered": {"bolt", "acme"},
		"dropped":   {"acme"},
	} {
		cfg := old.cfg
		cfg.TenantNames = tenants
		cfg.Settings.Tenants = cfg.Settings.Tenants[:len(tenants)]
		r := restartWith(t, old, cfg)
		event := r.recoveredEvent(r.messagesByTrace["m1"])
		if want := slices.Index(tenants, "bolt"); event.Tenant != want {
			t.Errorf("%s: recovered with tenant %d, want %d", name, event.Tenant, want)
		}
		old = r
	}
}
