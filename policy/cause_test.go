package policy

import "testing"

func TestBlockCausesHaveNames(t *testing.T) {
	for _, test := range []struct {
		cause BlockCause
		want  string
	}{
		{NotBlocked, "not blocked"},
		{RetryAfterPending, "retry-after pending"},
		{NoEndpoint, "no endpoint"},
		{NoEndpoint + 1, "cause(15)"},
		{-1, "cause(-1)"},
	} {
		if got := test.cause.String(); got != test.want {
			t.Errorf("cause %d is named %q, want %q", int(test.cause), got, test.want)
		}
	}
	for cause := NotBlocked; cause <= NoEndpoint; cause++ {
		if cause.String() == "" {
			t.Errorf("cause %d has no name", int(cause))
		}
	}
}
