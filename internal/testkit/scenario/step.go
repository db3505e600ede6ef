package scenario

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// Step is a change of the world, or of a relay.
type Step struct {
	At          time.Duration
	Op          Op
	Target      string
	Value       float64
	Duration    time.Duration
	Note        string      // OpFaultBegins: the targets that the fault strikes
	StateFolder StateFolder // OpKill; "": kept
}

// String returns the text form of a step; see Plan.WriteTo.
func (s Step) String() string {
	note := cmp.Or(s.Note, string(s.StateFolder))
	return fmt.Sprintf("{At:%v Op:%v Target:%v X:%v For:%v Note:%v}", s.At, s.Op, s.Target, s.Value, s.Duration, note)
}

// Op is the operation of a step. The values are the words of a plan's text form.
type Op string

// The operations on endpoints. The target is the id of an endpoint.
const (
	OpAddEndpoint    Op = "list"  // it starts and is listed
	OpDrainEndpoint  Op = "drain" // it is listed as draining
	OpRemoveEndpoint Op = "gone"  // it is not listed any more
	OpStopEndpoint   Op = "stop"  // its process ends
)

// The operations on services. The target is the name of a service.
const (
	OpFailCalls   Op = "fail"  // the ratio Value of its calls fails
	OpSuspend     Op = "shut"  // for Duration
	OpSlow        Op = "slow"  // calls take Value times as long; 1 ends it
	OpLowerLimit  Op = "lower" // the limit is Value times lower; 1 ends it
	OpLoseAnswers Op = "lose"  // the ratio Value of its answers is lost; 0 ends it
	OpSilence     Op = "mute"  // calls are never answered
	OpCrash       Op = "down"  // its processes die
	OpCutOff      Op = "cut"   // its machines are cut off
	OpRestore     Op = "back"  // ends the outage
)

// The operations on relays. The target is the name of a relay.
const (
	OpSilenceDiscovery Op = "hush"   // discovery sends it nothing
	OpRestoreDiscovery Op = "speak"  // ends OpSilenceDiscovery
	OpDelayDiscovery   Op = "delay"  // discovery is later by Duration; 0 ends it
	OpTerminate        Op = "term"   // a restart in order
	OpKill             Op = "kill"   // a restart after SIGKILL
	OpReload           Op = "hup"    // it reloads its configuration
	OpStepClock        Op = "clock"  // its wall clock is stepped by Duration
	OpStall            Op = "freeze" // its process is stopped
	OpResume           Op = "thaw"   // its process goes on
)

// The operations on links between relays. The target is a link's name, see LinkName. Each undoes those before it.
const (
	OpLinkCut      Op = "link-cut"
	OpLinkLoss     Op = "link-lose"  // the ratio Value of its datagrams is lost
	OpLinkDelay    Op = "link-delay" // everything is delayed by Duration
	OpLinkThrottle Op = "link-rate"  // Value bytes a second pass
	OpLinkReorder  Op = "link-mix"   // the ratio Value of its datagrams is duplicated, and the same ratio reordered
	OpLinkRestore  Op = "link-sound"
)

// The marks of a fault in the plan. The target is the name of the fault.
const (
	OpFaultBegins Op = "begins"
	OpFaultEnds   Op = "ends"
)

// OutageCause returns why a service that an operation strikes is out of service; "" if it is not.
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

// LinkName returns the name of the link by which one relay reaches another.
func LinkName(from, to string) string { return from + linkSeparator + to }

// LinkEnds returns the two relays of a link's name.
func LinkEnds(name string) (from, to string) {
	from, to, _ = strings.Cut(name, linkSeparator)
	return from, to
}
