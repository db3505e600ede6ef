package emulate

import (
	"hash/crc32"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Mutant is a relay with something wrong about it: what its module is told, what it is heard to say, or what its
// journal keeps. The module itself is as it is. Mutants show which scenario, emulation or check can tell a broken relay
// from a sound one.
type Mutant struct {
	Name        string
	Description string
	Rule        checker.Rule // that it breaks; "": none, and Equivalent says why
	// Equivalent says why a mutant breaks nothing. Its decisions are then those of a sound relay, which a test shows.
	Equivalent string

	ChangeSettings func(*policy.Settings)                                    // what the module is told at its start
	ChangeEvent    func(e *policy.Event) (late time.Duration)                // changes an event, or tells it later; ignored: Never
	AllowsAction   func(a *policy.Action) bool                               // false: not carried out
	ForgetsMessage func(finalDecided, mayRun bool, id policy.MessageID) bool // a restart forgets this message
	DropsNotice    func(id policy.MessageID) bool                            // the notice for this message is not sent
	UsesWallClock  bool                                                      // its journal goes by the wall clock
	JournalDelay   time.Duration                                             // so long after it was due something is in the journal
	LinkFaults     LinkFaults                                                // what is wrong with the links between relays
}

// Never, returned by Mutant.Hears, leaves an event out.
const DropEvent = time.Duration(-1)

func (m *Mutant) applySettings(set *policy.Settings) {
	if m != nil && m.ChangeSettings != nil {
		set.Classes = slices.Clone(set.Classes)
		m.ChangeSettings(set)
	}
}

func (m *Mutant) journalDelay() time.Duration {
	if m == nil {
		return 0
	}
	return m.JournalDelay
}

func (m *Mutant) trustsWallClock() bool { return m != nil && m.UsesWallClock }

func (m *Mutant) dropsNotice(r *relay, x *message) bool {
	return m != nil && m.DropsNotice != nil && m.DropsNotice(x.id)
}

func (m *Mutant) forgetMessages(r *relay) {
	if m == nil || m.ForgetsMessage == nil {
		return
	}
	for id, x := range r.messages {
		if m.ForgetsMessage(x.final != nil, len(x.mayHaveRun) > 0, id) {
			delete(r.messages, id)
		}
	}
}

func (m *Mutant) wrapEngine(x DecisionEngine, r *relay) DecisionEngine {
	if m == nil || m.ChangeEvent == nil && m.AllowsAction == nil {
		return x
	}
	return &mutantEngine{DecisionEngine: x, mutant: m, stepAfter: func(d time.Duration) { r.schedule(d, r.scheduleStep) }}
}

// misled is a module that hears or says what it should not.
type mutantEngine struct {
	DecisionEngine
	mutant    *Mutant
	stepAfter func(time.Duration) // has it step again, so long from now
	delayed   []delayedEvent
	events    []policy.Event
	actions   []policy.Action
}

type delayedEvent struct {
	due   time.Duration
	event policy.Event
}

// Step passes on what the mutant lets through.
func (m *mutantEngine) Step(now time.Duration, events []policy.Event) []policy.Action {
	m.events = m.events[:0]
	m.delayed = slices.DeleteFunc(m.delayed, func(h delayedEvent) bool {
		if h.due <= now {
			m.events = append(m.events, h.event)
		}
		return h.due <= now
	})
	for _, e := range events {
		if m.mutant.ChangeEvent == nil {
			m.events = append(m.events, e)
			continue
		}
		e.Endpoints = slices.Clone(e.Endpoints)
		switch late := m.mutant.ChangeEvent(&e); {
		case late == 0:
			m.events = append(m.events, e)
		case late > 0:
			m.delayed = append(m.delayed, delayedEvent{now + late, e})
			m.stepAfter(late)
		}
	}
	acts := m.DecisionEngine.Step(now, m.events)
	if m.mutant.AllowsAction == nil {
		return acts
	}
	m.actions = m.actions[:0]
	for _, a := range acts {
		if m.mutant.AllowsAction(&a) {
			m.actions = append(m.actions, a)
		}
	}
	return m.actions
}

// StillAllowed lets by what the module would, had it heard all.
func (m *mutantEngine) StillAllowed(route string, ids []policy.MessageID, now time.Duration) bool {
	return m.DecisionEngine.StillAllowed(route, ids, now)
}

// Views passes the module's views on.
func (m *mutantEngine) Views() ([]policy.EndpointView, int) {
	if s, ok := m.DecisionEngine.(*policy.Engine); ok {
		return s.Views()
	}
	return nil, 0
}

func isOutcome(e *policy.Event) bool {
	return e.Kind == policy.AttemptFinished || e.Kind == policy.HealthChecked
}

func isListChange(e *policy.Event) bool { return e.Kind == policy.EndpointDelta }

func oneIn(name string, of uint32) bool { return crc32.ChecksumIEEE([]byte(name))%of == 0 }

// outcomeAs has outcomes be heard as others.
func replaceOutcome(from, to policy.Outcome) func(*policy.Event) time.Duration {
	return func(e *policy.Event) time.Duration {
		if isOutcome(e) && e.Outcome == from {
			e.Outcome = to
		}
		return 0
	}
}

// waitAs has told waits be heard as others.
func replaceRetryAfter(as func(e *policy.Event) time.Duration) func(*policy.Event) time.Duration {
	return func(e *policy.Event) time.Duration {
		if isOutcome(e) && e.RetryAfter > 0 {
			e.RetryAfter = max(0, as(e))
		}
		return 0
	}
}

func delayListChanges(d time.Duration) func(*policy.Event) time.Duration {
	return func(e *policy.Event) time.Duration {
		if isListChange(e) {
			return d
		}
		return 0
	}
}

// stays has entries stay in service whatever the list says.
func keepInService(which func(l policy.Endpoint) bool) func(*policy.Event) time.Duration {
	return func(e *policy.Event) time.Duration {
		if isListChange(e) {
			for i := range e.Endpoints {
				if l := &e.Endpoints[i]; which(*l) {
					l.InService, l.Removed = true, false
				}
			}
		}
		return 0
	}
}

func eachClass(do func(c *policy.Class)) func(*policy.Settings) {
	return func(s *policy.Settings) {
		for i := range s.Classes {
			do(&s.Classes[i])
		}
	}
}

// Mutants are the table of what a checker of the rules must tell from a sound relay: for each rule from gross to a
// hair's breadth.
func Mutants() []Mutant {
	const ms = time.Millisecond
	return []Mutant{
		{
			Name: "journal-not-restored", Description: "a restart begins with nothing", Rule: checker.NoMessageLost,
			ForgetsMessage: func(bool, bool, policy.MessageID) bool { return true },
		},
		{
			Name:        "no-notices",
			Description: "what is given up on is told to nobody",
			Rule:        checker.NoMessageLost,
			DropsNotice: func(policy.MessageID) bool { return true },
		},
		{
			Name: "ends-forgotten", Description: "what is given up on is kept, and never ended", Rule: checker.NoMessageLost,
			AllowsAction: func(a *policy.Action) bool { return a.Kind != policy.Fail && a.Kind != policy.Reject },
		},
		{
			Name:        "some-notices-lost",
			Description: "one notice in 25 is not sent",
			Rule:        checker.NoMessageLost,
			DropsNotice: func(id policy.MessageID) bool { return id%25 == 0 },
		},
		{
			Name: "notices-lost-over-restarts", Description: "a notice that was decided and not confirmed when the process ended is not sent again", Rule: checker.NoMessageLost,
			ForgetsMessage: func(final, _ bool, _ policy.MessageID) bool { return final }, DropsNotice: func(id policy.MessageID) bool { return false },
		},
		{
			Name:         "logged-late",
			Description:  "what is taken on is in the journal 30 ms after the client was told",
			Rule:         checker.NoMessageLost,
			JournalDelay: 30 * ms,
		},

		{
			Name: "unsafe-repeated", Description: "what must never run twice is taken for what may", Rule: checker.NoDuplicateEffect,
			ChangeSettings: eachClass(func(c *policy.Class) {
				if c.Effect == policy.NonIdempotent {
					c.Effect = policy.Idempotent
				}
			}),
		},
		{
			Name:           "any-zone",
			Description:    "keyed repeats go to any zone",
			Rule:           checker.NoDuplicateEffect,
			ChangeSettings: eachClass(func(c *policy.Class) { c.DedupAllZones = true }),
		},
		{
			Name: "no-window", Description: "keyed repeats go at any time", Rule: checker.NoDuplicateEffect,
			ChangeSettings: eachClass(func(c *policy.Class) { c.DedupWindow *= 100 }),
		},
		{
			Name: "reset-never-ran", Description: "a broken connection is taken for proof that the call never ran", Rule: checker.NoDuplicateEffect,
			ChangeEvent: replaceOutcome(policy.Reset, policy.ConnectFailed),
		},
		{
			Name: "timeout-never-ran", Description: "a call without an answer is taken for one that never ran", Rule: checker.NoDuplicateEffect,
			ChangeEvent: replaceOutcome(policy.Timeout, policy.ConnectFailed),
		},
		{
			Name: "restart-forgets-sends", Description: "after a restart nothing is taken to have run", Rule: checker.NoDuplicateEffect,
			ChangeEvent: func(e *policy.Event) time.Duration {
				if e.Recovered != nil {
					e.Recovered = &policy.RecoveredMessage{}
				}
				return 0
			},
		},
		{
			Name: "window-too-long", Description: "keyed repeats go until 400 ms after the window", Rule: checker.NoDuplicateEffect,
			ChangeSettings: eachClass(func(c *policy.Class) { c.DedupWindow += 400 * ms }),
		},

		{
			Name: "drains-ignored", Description: "what drains or has gone is called all the same", Rule: checker.DrainRespected,
			ChangeEvent: keepInService(func(policy.Endpoint) bool { return true }),
		},
		{
			Name: "some-drains-ignored", Description: "of the endpoints one in four stays in service for good", Rule: checker.DrainRespected,
			ChangeEvent: keepInService(func(l policy.Endpoint) bool { return oneIn(l.ID, 4) }),
		},
		{
			Name:        "news-3s-late",
			Description: "the list is heeded 3 s after it was told",
			Rule:        checker.DrainRespected,
			ChangeEvent: delayListChanges(3 * time.Second),
		},
		{
			Name:        "news-1.4s-late",
			Description: "the list is heeded 1.4 s after it was told",
			Rule:        checker.DrainRespected,
			ChangeEvent: delayListChanges(1400 * ms),
		},
		{
			Name:        "news-1.1s-late",
			Description: "the list is heeded 1.1 s after it was told, 50 ms beyond the slack",
			Rule:        checker.DrainRespected,
			ChangeEvent: delayListChanges(1100 * ms),
		},

		{
			Name: "no-recovery-budget", Description: "a returning destination is sent what it takes when it is warm", Rule: checker.RecoveryNotOverloaded,
			ChangeSettings: func(s *policy.Settings) { s.WarmUpInitialCapacity, s.OverloadFactor = 1, 1000 },
		},
		{
			Name: "warm-at-once", Description: "a returning destination is taken to be warm after 1 s", Rule: checker.RecoveryNotOverloaded,
			ChangeSettings: func(s *policy.Settings) { s.WarmUpDuration = time.Second },
		},
		{
			Name: "budget-three-times", Description: "a returning destination is taken to bear three times what it does", Rule: checker.RecoveryNotOverloaded,
			ChangeSettings: func(s *policy.Settings) { s.OverloadFactor *= 3 },
		},
		{
			Name: "budget-for-itself", Description: "each relay takes the whole budget for its own", Rule: checker.RecoveryNotOverloaded,
			ChangeSettings: func(s *policy.Settings) { s.FleetSize = 1 },
		},
		{
			Name: "budget-twice", Description: "a returning destination is taken to bear twice what it does", Rule: checker.RecoveryNotOverloaded,
			ChangeSettings: func(s *policy.Settings) { s.OverloadFactor *= 2 },
		},

		{
			Name:           "no-order",
			Description:    "messages of a key do not take turns",
			Rule:           checker.OrderKept,
			ChangeSettings: eachClass(func(c *policy.Class) { c.Ordered = false }),
		},
		{
			Name: "some-keys-lost", Description: "one message in six has no key", Rule: checker.OrderKept,
			ChangeEvent: func(e *policy.Event) time.Duration {
				if e.Kind == policy.MessageAccepted && e.MessageID%6 == 0 {
					e.Key = ""
				}
				return 0
			},
		},
		{
			Name:           "no-pause",
			Description:    "a key does not rest after a call that may still run",
			Rule:           checker.OrderKept,
			ChangeSettings: func(s *policy.Settings) { s.OrderingPause = 0 },
		},
		{
			Name:           "half-a-pause",
			Description:    "a key rests half as long",
			Rule:           checker.OrderKept,
			ChangeSettings: func(s *policy.Settings) { s.OrderingPause /= 2 },
		},
		{
			Name:           "pause-too-short",
			Description:    "a key rests 100 ms less than it must",
			Rule:           checker.OrderKept,
			ChangeSettings: func(s *policy.Settings) { s.OrderingPause -= 100 * ms },
		},

		{
			Name:        "waits-dropped",
			Description: "told waits are not heard",
			Rule:        checker.RetryAfterRespected,
			ChangeEvent: replaceRetryAfter(func(*policy.Event) time.Duration { return 0 }),
		},
		{
			Name: "some-waits-dropped", Description: "one told wait in eight is not heard", Rule: checker.RetryAfterRespected,
			ChangeEvent: replaceRetryAfter(func(e *policy.Event) time.Duration {
				if e.MessageID%8 == 0 {
					return 0
				}
				return e.RetryAfter
			}),
		},
		{
			Name:        "half-a-wait",
			Description: "told waits are heard as half as long",
			Rule:        checker.RetryAfterRespected,
			ChangeEvent: replaceRetryAfter(func(e *policy.Event) time.Duration { return e.RetryAfter / 2 }),
		},
		{
			Name:        "wait-150ms-short",
			Description: "told waits end 150 ms early",
			Rule:        checker.RetryAfterRespected,
			ChangeEvent: replaceRetryAfter(func(e *policy.Event) time.Duration { return e.RetryAfter - 150*ms }),
		},
		{
			Name:        "wait-20ms-short",
			Description: "told waits end 20 ms early",
			Rule:        checker.RetryAfterRespected,
			ChangeEvent: replaceRetryAfter(func(e *policy.Event) time.Duration { return e.RetryAfter - 20*ms }),
		},

		{
			Name: "waits-of-nothing", Description: "waits of under a millisecond are not heard",
			Equivalent: "waits are told in whole milliseconds: there is none of less",
			ChangeEvent: replaceRetryAfter(func(e *policy.Event) time.Duration {
				if e.RetryAfter < ms {
					return 0
				}
				return e.RetryAfter
			}),
		},
		{
			Name: "took-of-refusals", Description: "how long a connection was in coming that did not come is not heard",
			Equivalent: "the module times answers, and takes none from a connection that failed",
			ChangeEvent: func(e *policy.Event) time.Duration {
				if e.Kind == policy.AttemptFinished && e.Outcome == policy.ConnectFailed {
					e.Latency = 0
				}
				return 0
			},
		},
	}
}

// MutantNamed returns a mutant by its name; nil if there is none.
func FindMutant(name string) *Mutant {
	all := Mutants()
	if i := slices.IndexFunc(all, func(m Mutant) bool { return m.Name == name }); i >= 0 {
		return &all[i]
	}
	return nil
}
