package scenario

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// Step is an operation on an endpoint, a service, a relay or a link, or it marks the beginning or end of a fault.
type Step struct {
	At          time.Duration
	Op          Op
	Target      string
	Value       float64
	Duration    time.Duration
	Note        string      // OpFaultBegins: the affected targets, separated by blanks
	StateFolder StateFolder // OpKill; "": StateFolderKept
}

// String returns the text form of a step; see Plan.WriteTo.
func (s Step) String() string {
	note := cmp.Or(s.Note, string(s.StateFolder))
	return fmt.Sprintf("{At:%v Op:%v Target:%v X:%v For:%v Note:%v}", s.At, s.Op, s.Target, s.Value, s.Duration, note)
}

// Op is the operation of a step. The values appear in the text form of plans.
type Op string

// The operations on endpoints. The target is the id of an endpoint.
const (
	OpAddEndpoint    Op = "list"  // its process starts, and it is listed
	OpDrainEndpoint  Op = "drain" // it is listed as draining
	OpRemoveEndpoint Op = "gone"  // it is removed from the endpoint list
	OpStopEndpoint   Op = "stop"  // its process ends
)

// The operations on services. The target is the name of a service.
const (
	OpFailCalls   Op = "fail"  // the ratio Value of its calls fails
	OpSuspend     Op = "shut"  // all calls are rejected; Retry-After refers to the end of Duration
	OpSlow        Op = "slow"  // calls take Value times as long; 1 ends it
	OpLowerLimit  Op = "lower" // the rate limit is divided by Value; 1 ends it
	OpLoseAnswers Op = "lose"  // the ratio Value of its answers is lost; 0 ends it
	OpSilence     Op = "mute"  // calls are never answered
	OpCrash       Op = "down"  // its processes die
	OpCutOff      Op = "cut"   // its machines are cut off from the network
	OpRestore     Op = "back"  // the outage ends
)

// The operations on the answers of services, on the wire. The target is the name of a service. Each affects the ratio
// Value of its answers; 0 ends it. What follows an answer does so within Duration.
const (
	OpCopyAnswers    Op = "copy"
	OpStrayAnswers   Op = "stray"
	OpInformational  Op = "1xx"
	OpCutAnswers     Op = "cut-answer"
	OpTrickleAnswers Op = "trickle"
	OpJunkAnswers    Op = "junk"
	OpBreakIdle      Op = "break-idle"
)

// The operations on the answers of relays' discovery agents. The target is the name of a relay. Each affects the ratio
// Value of the answers; 0 ends it. A copy follows within Duration.
const (
	OpCopyReplies   Op = "copy-replies"
	OpRefuseNotices Op = "refuse-notices"
	OpRepeatEntries Op = "repeat-entries"
)

// answerOps are the operations of the faults on the wire.
var answerOps = map[FaultKind]Op{
	FaultCopyAnswers:    OpCopyAnswers,
	FaultStrayAnswers:   OpStrayAnswers,
	FaultInformational:  OpInformational,
	FaultCutAnswers:     OpCutAnswers,
	FaultTrickleAnswers: OpTrickleAnswers,
	FaultJunkAnswers:    OpJunkAnswers,
	FaultBreakIdle:      OpBreakIdle,
}

// AffectsAnswers reports whether the operation affects the answers of a service on the wire.
func (o Op) AffectsAnswers() bool {
	for _, op := range answerOps {
		if op == o {
			return true
		}
	}
	return false
}

// The operations on relays. The target is the name of a relay.
const (
	OpSilenceDiscovery Op = "hush"   // discovery sends it no changes
	OpRestoreDiscovery Op = "speak"  // ends OpSilenceDiscovery
	OpDelayDiscovery   Op = "delay"  // discovery sends it each change later by Duration; 0 ends it
	OpTerminate        Op = "term"   // graceful restart, by SIGTERM
	OpKill             Op = "kill"   // restart after SIGKILL
	OpReload           Op = "hup"    // it reloads its configuration
	OpStepClock        Op = "clock"  // its wall clock is stepped by Duration
	OpStall            Op = "freeze" // its process is stopped, by SIGSTOP
	OpResume           Op = "thaw"   // its process continues
)

// The operations on links between relays. The target is the name of a link, see LinkName. Each operation replaces the
// one before it on the same link.
const (
	OpLinkCut      Op = "link-cut"
	OpLinkLoss     Op = "link-lose"  // the ratio Value of its datagrams is lost
	OpLinkDelay    Op = "link-delay" // all traffic is delayed by Duration
	OpLinkThrottle Op = "link-rate"  // the bandwidth is Value, in bytes a second
	OpLinkReorder  Op = "link-mix"   // the ratio Value of its datagrams is duplicated, and the same ratio is reordered
	OpLinkRestore  Op = "link-sound"
)

// The marks of a fault in the plan. The target is the name of the fault.
const (
	OpFaultBegins Op = "begins"
	OpFaultEnds   Op = "ends"
)

// OutageCause returns the cause of the outage that an operation on a service starts; "" if it starts none.
func (o Op) OutageCause() string {
	switch o {
	case OpFailCalls:
		return eventlog.OutageFailing
	case OpSuspend:
		return eventlog.OutageSuspended
	case OpSilence:
		return eventlog.OutageSilent
	case OpCrash, OpCutOff:
		return eventlog.OutageDown
	default:
		return ""
	}
}

const linkSeparator = ">"

// LinkName returns the name of the link from one relay to another.
func LinkName(from, to string) string { return from + linkSeparator + to }

// LinkEnds returns the names of the two relays in the name of a link.
func LinkEnds(name string) (from, to string) {
	from, to, _ = strings.Cut(name, linkSeparator)
	return from, to
}
