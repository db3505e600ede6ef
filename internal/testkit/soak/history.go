package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/rehearsal"
)

// history returns the events that concern the messages of the first violation, a line an event; nil if there is no
// violation.
func history(result rehearsal.Result) (lines []string) {
	violation, found := firstViolation(result.Verdict)
	if !found {
		return nil
	}
	ids := map[string]bool{}
	for _, index := range violation.Evidence {
		if id := result.Events[index].ID; id != "" {
			ids[id] = true
		}
	}
	calls := map[uint64]bool{}
	for i, event := range result.Events {
		if !concerns(event, ids, calls) && !slices.Contains(violation.Evidence, i) {
			continue
		}
		if event.Call != 0 {
			calls[event.Call] = true
		}
		lines = append(lines, describe(event))
	}
	return lines
}

// firstViolation returns the earliest violation of a rule or run error.
func firstViolation(verdict checker.Result) (first checker.Violation, found bool) {
	violations := slices.Clone(verdict.RunErrors)
	for _, rule := range verdict.Rules {
		violations = append(violations, rule.Violations...)
	}
	if len(violations) == 0 {
		return checker.Violation{}, false
	}
	return slices.MinFunc(violations, func(a, b checker.Violation) int { return cmp.Compare(a.At, b.At) }), true
}

// concerns reports whether an event is about one of the messages, or about a call that carried one.
func concerns(event eventlog.Event, ids map[string]bool, calls map[uint64]bool) bool {
	if ids[event.ID] || event.Call != 0 && calls[event.Call] {
		return true
	}
	return slices.ContainsFunc(event.IDs, func(id string) bool { return ids[id] })
}

// describe returns an event on one line.
func describe(event eventlog.Event) string {
	fields := []string{fmt.Sprintf("%8.3fs %-8s", event.At.Seconds(), event.Kind)}
	add := func(name, value string) {
		if value != "" {
			fields = append(fields, name+"="+value)
		}
	}
	add("message", event.ID)
	add("relay", event.Relay)
	add("endpoint", event.Endpoint)
	add("state", event.State)
	add("cause", event.Cause)
	if event.Call != 0 {
		add("call", fmt.Sprintf("%d with %d messages", event.Call, len(event.IDs)))
	}
	if event.Status != 0 {
		add("status", fmt.Sprint(event.Status))
	}
	return strings.Join(fields, " ")
}
