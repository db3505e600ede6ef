package scenario

// Fault is a failure that a scenario injects. docs/rehearsal.md lists the keys that each kind takes.
type Fault struct {
	Kind     FaultKind `toml:"kind"`
	Start    Duration  `toml:"at"`
	Duration Duration  `toml:"for"`

	Destinations []int `toml:"destinations"` // numbers, counted from 1; default: all
	// Share is the affected ratio of the services, of the endpoints (drain, gone) or of the relays; default: all.
	Share float64 `toml:"share"`
	Zone  string  `toml:"zone"` // affects only endpoints or relays in the zone

	CallRatio float64 `toml:"calls"` // fail, lost-answers, faults on the wire: ratio of affected calls; default 1
	// Factor multiplies the service time of calls (slow) or divides the rate limit (lowered); default 10.
	Factor           float64  `toml:"factor"`
	DrainTime        Duration `toml:"drain"`        // drain: time from draining to removal; default 4s
	BatchSize        int      `toml:"batch"`        // endpoints of a batch; batches are spread over Duration; default 1
	ReplaceEndpoints bool     `toml:"replace"`      // drain, gone: replace each by a new endpoint
	SameAddressRatio float64  `toml:"same_address"` // ratio of new endpoints that reuse the old one's address
	// Delay is the added delay (discovery-late, link-delay), or the longest time after an answer until something
	// follows it (copied-answers, stray-answers, broken-idle).
	Delay Duration `toml:"delay"`

	Relays      []int    `toml:"relays"`  // numbers, counted from 1; default: as Share or RelayGroup selects, or all
	ClockOffset Duration `toml:"by"`      // clock-step: added to the wall clocks; below 0: they are set back
	Stagger     Duration `toml:"stagger"` // time from the fault of one relay to that of the next; default 0
	// RelayGroup selects how many relays are affected. It excludes Relays and Share.
	RelayGroup RelayGroup `toml:"group"`

	Direction Direction `toml:"way"`  // link-*: affected links of the affected relays; default both
	LossRatio float64   `toml:"loss"` // link-loss: ratio of datagrams that are lost; default 0.3
	// ReorderRatio is the ratio of datagrams that link-mix duplicates, and the ratio that it reorders; default 0.3.
	ReorderRatio   float64     `toml:"mixed"`
	BytesPerSecond int         `toml:"rate"`   // link-throttle; default 2000
	StateFolder    StateFolder `toml:"folder"` // kill: state folder at the restart; default kept
}

// FaultKind is a kind of fault. The values appear in scenario files.
type FaultKind string

// The kinds of fault.
const (
	FaultDrain          FaultKind = "drain"          // endpoints drain and are removed
	FaultRemove         FaultKind = "gone"           // endpoints are removed without draining, and their processes end
	FaultFailCalls      FaultKind = "fail"           // a ratio of the calls fails immediately
	FaultSuspend        FaultKind = "shut"           // all calls are rejected
	FaultSlow           FaultKind = "slow"           // calls take longer
	FaultLoseAnswers    FaultKind = "lost-answers"   // calls are served, but their connections break before the answer
	FaultLowerLimit     FaultKind = "lowered"        // the rate limit is lowered, the endpoint list unchanged
	FaultSilence        FaultKind = "silent"         // calls are accepted and never answered
	FaultCrash          FaultKind = "death"          // processes die: connections are reset and refused
	FaultCutOff         FaultKind = "cut"            // machines lose their network: connections stay open but idle
	FaultDiscoveryDown  FaultKind = "discovery-down" // discovery sends nothing
	FaultDiscoveryDelay FaultKind = "discovery-late" // discovery sends each change later
	FaultTerminate      FaultKind = "term"           // relays are restarted gracefully
	FaultKill           FaultKind = "kill"           // relays are killed and started again
	FaultReload         FaultKind = "hup"            // relays reload their configuration
	FaultClockStep      FaultKind = "clock-step"     // the wall clocks of relays are stepped; only in virtual time
	FaultStall          FaultKind = "stall"          // the processes of relays are stopped and later resumed
	FaultLinkCut        FaultKind = "link-cut"       // no traffic passes between relays
	FaultLinkLoss       FaultKind = "link-loss"      // datagrams are lost
	FaultLinkDelay      FaultKind = "link-delay"     // all traffic is delayed
	FaultLinkThrottle   FaultKind = "link-throttle"  // the bandwidth is low
	FaultLinkReorder    FaultKind = "link-mix"       // datagrams are duplicated and reordered

	// Faults on the wire of a ratio of the answers; only with real sockets.
	FaultCopyAnswers    FaultKind = "copied-answers"   // a second copy of the answer follows
	FaultStrayAnswers   FaultKind = "stray-answers"    // an answer that no call asked for follows
	FaultInformational  FaultKind = "surplus-1xx"      // 1xx answers precede and follow the answer
	FaultCutAnswers     FaultKind = "cut-answers"      // the connection ends within the answer
	FaultTrickleAnswers FaultKind = "trickled-answers" // the answer arrives byte by byte
	FaultJunkAnswers    FaultKind = "junk-answers"     // bytes that are no HTTP follow the answer
	FaultBreakIdle      FaultKind = "broken-idle"      // the idle connection is reset, half-closed or forgotten

	// Faults of a ratio of the answers of relays' discovery agents; only with real sockets.
	FaultCopyReplies   FaultKind = "copied-replies"   // a second copy of the answer follows
	FaultRefuseNotices FaultKind = "refused-notices"  // notices are answered with an error and not taken
	FaultRepeatEntries FaultKind = "repeated-entries" // a list names each endpoint twice
)

// faultKinds lists all kinds, in the order in which error messages list them.
var faultKinds = []FaultKind{
	FaultDrain,
	FaultRemove,
	FaultFailCalls,
	FaultSuspend,
	FaultSlow,
	FaultLowerLimit,
	FaultLoseAnswers,
	FaultSilence,
	FaultCrash,
	FaultCutOff,
	FaultDiscoveryDown,
	FaultDiscoveryDelay,
	FaultTerminate,
	FaultKill,
	FaultReload,
	FaultClockStep,
	FaultStall,
	FaultLinkCut,
	FaultLinkLoss,
	FaultLinkDelay,
	FaultLinkThrottle,
	FaultLinkReorder,
	FaultCopyAnswers,
	FaultStrayAnswers,
	FaultInformational,
	FaultCutAnswers,
	FaultTrickleAnswers,
	FaultJunkAnswers,
	FaultBreakIdle,
	FaultCopyReplies,
	FaultRefuseNotices,
	FaultRepeatEntries,
}

// RelayGroup selects how many relays a fault affects. The seed determines which ones.
type RelayGroup string

// The groups of relays.
const (
	GroupOne       RelayGroup = "one"
	GroupHalf      RelayGroup = "half"
	GroupThird     RelayGroup = "third"
	GroupAllButOne RelayGroup = "all-but-one"
)

// Direction selects the links of a relay that a fault affects.
type Direction string

// The directions of links.
const (
	DirectionBoth Direction = "both"
	DirectionOut  Direction = "out" // links from the relay to the others
	DirectionIn   Direction = "in"  // links from the others to the relay
)

// StateFolder selects the state folder with which a killed relay starts again.
type StateFolder string

// The state folders after a kill.
const (
	StateFolderKept    StateFolder = "kept"
	StateFolderRemoved StateFolder = "none"
	StateFolderOlder   StateFolder = "older" // the copy from the relay's first start
)
