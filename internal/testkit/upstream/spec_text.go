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
	fmt.Fprintf(&text, "{Pace:%v Spread:%v Exponential:%v", s.Pace, s.Spread, s.Exponential)
	fmt.Fprintf(&text, " Slots:%v Queue:%v ItemCost:%v", s.Slots, s.Queue, s.ItemCost)
	fmt.Fprintf(&text, " Limit:%v Rate:%v Window:%v", s.Limit, s.Rate, s.Window)
	fmt.Fprintf(&text, " TellsWait:%v LeastWait:%v Counts:%v", s.TellsWait, s.LeastWait, s.Counts)
	if s.Debt != 0 {
		fmt.Fprintf(&text, " Debt:%v", s.Debt)
	}
	fmt.Fprintf(&text, " ColdShare:%v Warm:%v", s.ColdShare, s.Warm)
	fmt.Fprintf(&text, " FallMultiple:%v FallWindow:%v}", s.FallMultiple, s.FallWindow)
	return text.String()
}
