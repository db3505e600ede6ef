package upstream

import (
	"fmt"
	"strings"
)

// String returns the text form of a specification. The digest of a plan is computed from it, and digests stand in
// stored records: its keys and their order are fixed, whatever the fields are called. A debt that is not set is left
// out, as in the plans that were drawn before there was one.
func (s Spec) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "{Pace:%v Spread:%v Exponential:%v", s.ServiceTime, s.ServiceTimeVariation, s.ExponentialServiceTime)
	fmt.Fprintf(&text, " Slots:%v Queue:%v ItemCost:%v", s.MaxConcurrentCalls, s.MaxQueueTime, s.ExtraMessageCost)
	fmt.Fprintf(&text, " Limit:%v Rate:%v Window:%v", s.Limit, s.LimitRate, s.LimitWindow)
	fmt.Fprintf(&text, " TellsWait:%v LeastWait:%v Counts:%v", s.RetryAfterRatio, s.MinRetryAfter, s.CountsRejected)
	if s.MaxDebt != 0 {
		fmt.Fprintf(&text, " Debt:%v", s.MaxDebt)
	}
	fmt.Fprintf(&text, " ColdShare:%v Warm:%v", s.WarmUpInitialCapacity, s.WarmUpDuration)
	fmt.Fprintf(&text, " FallMultiple:%v FallWindow:%v}", s.OverloadFactor, s.OverloadWindow)
	return text.String()
}
