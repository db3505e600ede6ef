package emulate

import (
	"hash/crc32"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Mutants returns the mutants that checks should distinguish from a correct relay. For each rule they are ordered
// from gross violations to the smallest ones. The mutants that break no rule come last.
func Mutants() []Mutant {
	return slices.Concat(
		breaking(checker.NoMessageLost, lossMutants()),
		breaking(checker.NoDuplicateEffect, duplicateMutants()),
		breaking(checker.DrainRespected, drainMutants()),
		breaking(checker.RecoveryNotOverloaded, recoveryMutants()),
		breaking(checker.OrderKept, orderMutants()),
		breaking(checker.RetryAfterRespected, retryAfterMutants()),
		equivalentMutants(),
	)
}

// FindMutant returns a mutant by its name; nil if there is none.
func FindMutant(name string) *Mutant {
	all := Mutants()
	if i := slices.IndexFunc(all, func(m Mutant) bool { return m.Name == name }); i >= 0 {
		return &all[i]
	}
	return nil
}

// breaking sets the rule that mutants break, and returns the mutants.
func breaking(rule checker.Rule, mutants []Mutant) []Mutant {
	for i := range mutants {
		mutants[i].Rule = rule
	}
	return mutants
}

func lossMutants() []Mutant {
	return []Mutant{
		{
			Name:           "journal-not-restored",
			Description:    "a restart loses all messages",
			ForgetsMessage: func(bool, bool, policy.MessageID) bool { return true },
		},
		{
			Name:        "no-notices",
			Description: "the platform is never notified",
			DropsNotice: func(policy.MessageID) bool { return true },
		},
		{
			Name:         "ends-forgotten",
			Description:  "messages that the engine fails or rejects are kept, and never end",
			AllowsAction: func(a *policy.Action) bool { return a.Kind != policy.Fail && a.Kind != policy.Reject },
		},
		{
			Name:        "some-notices-lost",
			Description: "one notice in 25 is not sent",
			DropsNotice: func(id policy.MessageID) bool { return id%25 == 0 },
		},
		{
			Name:           "notices-lost-over-restarts",
			Description:    "notices that are not acknowledged when the process ends are not sent again",
			ForgetsMessage: func(finalDecided, _ bool, _ policy.MessageID) bool { return finalDecided },
		},
		{
			Name:         "logged-late",
			Description:  "records are written to the journal 30 ms late",
			JournalDelay: 30 * time.Millisecond,
		},
	}
}

func duplicateMutants() []Mutant {
	return []Mutant{
		{
			Name:        "unsafe-repeated",
			Description: "non-idempotent messages count as idempotent",
			ChangeSettings: eachClass(func(c *policy.Class) {
				if c.Effect == policy.NonIdempotent {
					c.Effect = policy.Idempotent
				}
			}),
		},
		{
			Name:           "any-zone",
			Description:    "messages with an idempotency key are retried in any zone",
			ChangeSettings: eachClass(func(c *policy.Class) { c.DedupAllZones = true }),
		},
		{
			Name:           "no-window",
			Description:    "messages with an idempotency key are retried at any time",
			ChangeSettings: eachClass(func(c *policy.Class) { c.DedupWindow *= 100 }),
		},
		{
			Name:        "reset-never-ran",
			Description: "a reset connection counts as proof that the call never ran",
			ChangeEvent: replaceOutcome(policy.Reset, policy.ConnectFailed),
		},
		{
			Name:        "timeout-never-ran",
			Description: "a call without an answer counts as one that never ran",
			ChangeEvent: replaceOutcome(policy.Timeout, policy.ConnectFailed),
		},
		{
			Name:        "restart-forgets-sends",
			Description: "after a restart no attempt counts as one that may have run",
			ChangeEvent: func(e *policy.Event) time.Duration {
				if e.Recovered != nil {
					e.Recovered = &policy.RecoveredMessage{}
				}
				return 0
			},
		},
		{
			Name:           "window-too-long",
			Description:    "messages with an idempotency key are retried until 400 ms after the window",
			ChangeSettings: eachClass(func(c *policy.Class) { c.DedupWindow += 400 * time.Millisecond }),
		},
	}
}

func drainMutants() []Mutant {
	return []Mutant{
		{
			Name:        "drains-ignored",
			Description: "endpoints that drain or are removed still receive calls",
			ChangeEvent: keepInService(func(policy.Endpoint) bool { return true }),
		},
		{
			Name:        "some-drains-ignored",
			Description: "one endpoint in four still receives calls when it drains or is removed",
			ChangeEvent: keepInService(func(e policy.Endpoint) bool { return crc32.ChecksumIEEE([]byte(e.ID))%4 == 0 }),
		},
		{
			Name:        "news-3s-late",
			Description: "changes of the endpoint list apply 3 s late",
			ChangeEvent: delayListChanges(3 * time.Second),
		},
		{
			Name:        "news-1.4s-late",
			Description: "changes of the endpoint list apply 1.4 s late",
			ChangeEvent: delayListChanges(1400 * time.Millisecond),
		},
		{
			Name:        "news-1.1s-late",
			Description: "changes of the endpoint list apply 1.1 s late, 50 ms beyond the tolerance",
			ChangeEvent: delayListChanges(1100 * time.Millisecond),
		},
	}
}

func recoveryMutants() []Mutant {
	return []Mutant{
		{
			Name:        "no-recovery-budget",
			Description: "a recovering destination receives as many calls as a warm one",
			ChangeSettings: func(s *policy.Settings) {
				s.WarmUpInitialCapacity = 1
				s.OverloadFactor = 1000
			},
		},
		{
			Name:           "warm-at-once",
			Description:    "a recovering destination counts as warm after 1 s",
			ChangeSettings: func(s *policy.Settings) { s.WarmUpDuration = time.Second },
		},
		{
			Name:           "budget-three-times",
			Description:    "the overload factor of a recovering destination counts as three times as high",
			ChangeSettings: func(s *policy.Settings) { s.OverloadFactor *= 3 },
		},
		{
			Name:           "budget-for-itself",
			Description:    "each relay uses the budget of the whole fleet",
			ChangeSettings: func(s *policy.Settings) { s.FleetSize = 1 },
		},
		{
			Name:           "budget-twice",
			Description:    "the overload factor of a recovering destination counts as twice as high",
			ChangeSettings: func(s *policy.Settings) { s.OverloadFactor *= 2 },
		},
	}
}

func orderMutants() []Mutant {
	return []Mutant{
		{
			Name:           "no-order",
			Description:    "messages of an ordering key do not wait for each other",
			ChangeSettings: eachClass(func(c *policy.Class) { c.Ordered = false }),
		},
		{
			Name:        "some-keys-lost",
			Description: "one message in six has no ordering key",
			ChangeEvent: func(e *policy.Event) time.Duration {
				if e.Kind == policy.MessageAccepted && e.MessageID%6 == 0 {
					e.Key = ""
				}
				return 0
			},
		},
		{
			Name:           "no-pause",
			Description:    "an ordering key has no pause after a call that may still run",
			ChangeSettings: func(s *policy.Settings) { s.OrderingPause = 0 },
		},
		{
			Name:           "half-a-pause",
			Description:    "the pause of an ordering key is half as long",
			ChangeSettings: func(s *policy.Settings) { s.OrderingPause /= 2 },
		},
		{
			Name:           "pause-too-short",
			Description:    "the pause of an ordering key is 100 ms too short",
			ChangeSettings: func(s *policy.Settings) { s.OrderingPause -= 100 * time.Millisecond },
		},
	}
}

func retryAfterMutants() []Mutant {
	return []Mutant{
		{
			Name:        "waits-dropped",
			Description: "no Retry-After is respected",
			ChangeEvent: changeRetryAfter(func(*policy.Event) time.Duration { return 0 }),
		},
		{
			Name:        "some-waits-dropped",
			Description: "one Retry-After in eight is not respected",
			ChangeEvent: changeRetryAfter(func(e *policy.Event) time.Duration {
				if e.MessageID%8 == 0 {
					return 0
				}
				return e.RetryAfter
			}),
		},
		{
			Name:        "half-a-wait",
			Description: "each Retry-After counts as half as long",
			ChangeEvent: changeRetryAfter(func(e *policy.Event) time.Duration { return e.RetryAfter / 2 }),
		},
		{
			Name:        "wait-150ms-short",
			Description: "each Retry-After ends 150 ms early",
			ChangeEvent: shortenRetryAfter(150 * time.Millisecond),
		},
		{
			Name:        "wait-20ms-short",
			Description: "each Retry-After ends 20 ms early",
			ChangeEvent: shortenRetryAfter(20 * time.Millisecond),
		},
	}
}

func equivalentMutants() []Mutant {
	return []Mutant{
		{
			Name:        "waits-of-nothing",
			Description: "no Retry-After of less than a millisecond is respected",
			Equivalent:  "Retry-After values are sent in whole milliseconds",
			ChangeEvent: changeRetryAfter(func(e *policy.Event) time.Duration {
				if e.RetryAfter < time.Millisecond {
					return 0
				}
				return e.RetryAfter
			}),
		},
		{
			Name:        "took-of-refusals",
			Description: "the latency of failed connections is passed to the engine as 0",
			Equivalent:  "the engine does not use the latency of failed connections",
			ChangeEvent: func(e *policy.Event) time.Duration {
				if e.Kind == policy.AttemptFinished && e.Outcome == policy.ConnectFailed {
					e.Latency = 0
				}
				return 0
			},
		},
	}
}

// The following functions return functions for Mutant.ChangeSettings and Mutant.ChangeEvent. Their comments describe
// what the returned functions do.

// eachClass applies a change to each class of the settings.
func eachClass(change func(*policy.Class)) func(*policy.Settings) {
	return func(s *policy.Settings) {
		for i := range s.Classes {
			change(&s.Classes[i])
		}
	}
}

// isOutcome reports whether an event carries the outcome of an attempt or a health check.
func isOutcome(e *policy.Event) bool {
	return e.Kind == policy.AttemptFinished || e.Kind == policy.HealthChecked
}

// replaceOutcome replaces an outcome by another one.
func replaceOutcome(from, to policy.Outcome) func(*policy.Event) time.Duration {
	return func(e *policy.Event) time.Duration {
		if isOutcome(e) && e.Outcome == from {
			e.Outcome = to
		}
		return 0
	}
}

// changeRetryAfter replaces each Retry-After by the result of change, or by 0 if the result is negative.
func changeRetryAfter(change func(*policy.Event) time.Duration) func(*policy.Event) time.Duration {
	return func(e *policy.Event) time.Duration {
		if isOutcome(e) && e.RetryAfter > 0 {
			e.RetryAfter = max(0, change(e))
		}
		return 0
	}
}

// shortenRetryAfter shortens each Retry-After.
func shortenRetryAfter(by time.Duration) func(*policy.Event) time.Duration {
	return changeRetryAfter(func(e *policy.Event) time.Duration { return e.RetryAfter - by })
}

// delayListChanges delays the changes of the endpoint list.
func delayListChanges(delay time.Duration) func(*policy.Event) time.Duration {
	return func(e *policy.Event) time.Duration {
		if e.Kind == policy.EndpointDelta {
			return delay
		}
		return 0
	}
}

// keepInService keeps certain endpoints in service: it ignores changes of the endpoint list that drain or remove
// them.
func keepInService(which func(policy.Endpoint) bool) func(*policy.Event) time.Duration {
	return func(e *policy.Event) time.Duration {
		if e.Kind != policy.EndpointDelta {
			return 0
		}
		for i := range e.Endpoints {
			if endpoint := &e.Endpoints[i]; which(*endpoint) {
				endpoint.InService = true
				endpoint.Removed = false
			}
		}
		return 0
	}
}
