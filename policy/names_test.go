package policy

import (
	"fmt"
	"testing"
)

func TestNames(t *testing.T) {
	for _, test := range []struct {
		value fmt.Stringer
		want  string
	}{
		{OK, "ok"},
		{Overloaded, "overloaded"},
		{NotSent, "not sent"},
		{UnprovenRejection, "unproven rejection"},
		{UnprovenRejection + 1, "outcome(9)"},
		{Outcome(-1), "outcome(-1)"},
		{MessageAccepted, "message accepted"},
		{QuotaGranted, "quota granted"},
		{QuotaGranted + 1, "event(9)"},
		{Send, "send"},
		{RequestQuota, "request quota"},
		{RequestQuota + 1, "action(7)"},
		{Idempotent, "idempotent"},
		{NonIdempotent, "non-idempotent"},
		{NonIdempotent + 1, "effect(3)"},
		{NotBlocked, "not blocked"},
		{RetryAfterPending, "retry-after pending"},
		{NoEndpoint, "no endpoint"},
		{NoEndpoint + 1, "cause(15)"},
		{BlockCause(-1), "cause(-1)"},
	} {
		if got := test.value.String(); got != test.want {
			t.Errorf("%T %d is named %q, want %q", test.value, test.value, got, test.want)
		}
	}
}

// Each value has a name, and no two values of an enumeration have the same name.
func TestNamesAreCompleteAndDistinct(t *testing.T) {
	for enumeration, names := range map[string][]string{
		"outcome": outcomeNames[:],
		"event":   eventKindNames[:],
		"action":  actionKindNames[:],
		"effect":  effectNames[:],
		"cause":   blockCauseNames[:],
	} {
		valueOf := map[string]int{}
		for value, name := range names {
			if earlier, taken := valueOf[name]; taken || name == "" {
				t.Errorf("%s %d is named %q, like %d", enumeration, value, name, earlier)
			}
			valueOf[name] = value
		}
	}
}
