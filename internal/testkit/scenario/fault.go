package scenario

// Fault is something that goes wrong. docs/rehearsal.md lists the keys that each kind takes.
type Fault struct {
	Kind     FaultKind `toml:"kind"`
	Start    Duration  `toml:"at"`
	Duration Duration  `toml:"for"`

	Destinations []int   `toml:"destinations"` // those that are struck; default: as many as Share says
	Share        float64 `toml:"share"`        // of the destinations, of the endpoints (drain, gone), or of the relays
	Zone         string  `toml:"zone"`         // strikes only what is in the zone

	CallRatio float64 `toml:"calls"` // fail, lost-answers: the ratio of calls that is struck; default 1
	// Factor is how many times longer calls take (slow), or how many times lower the limit is (lowered); default 10.
	Factor           float64  `toml:"factor"`
	DrainTime        Duration `toml:"drain"`        // drain: from draining to removed; default 4s
	BatchSize        int      `toml:"batch"`        // drain: endpoints at a time, evenly over Duration; default 1
	ReplaceEndpoints bool     `toml:"replace"`      // drain, gone: each by a new endpoint
	SameAddressRatio float64  `toml:"same_address"` // the ratio of the new ones that get the address of a removed one
	Delay            Duration `toml:"delay"`        // discovery-late, link-delay

	Relays      []int    `toml:"relays"`  // those that are struck, counted from 1; default: as Share says, or all
	ClockOffset Duration `toml:"by"`      // clock-step: how far the wall clocks are stepped; below 0: back
	Stagger     Duration `toml:"stagger"` // from one relay to the next; default 0
	// RelayGroup has the seed choose relays, instead of Relays and Share.
	RelayGroup RelayGroup `toml:"group"`

	Direction      Direction   `toml:"way"`    // link-*: of the relays that are struck; default both
	LossRatio      float64     `toml:"loss"`   // link-loss: of datagrams; default 0.3
	ReorderRatio   float64     `toml:"mixed"`  // link-mix: of datagrams duplicated, and as many reordered; default 0.3
	BytesPerSecond int         `toml:"rate"`   // link-throttle; default 2000
	StateFolder    StateFolder `toml:"folder"` // kill: what the relay finds when it starts again; default kept
}

// FaultKind is a kind of fault. The values are those of scenario files.
type FaultKind string

// The kinds of fault.
const (
	FaultDrain          FaultKind = "drain"          // endpoints drain and are removed
	FaultRemove         FaultKind = "gone"           // endpoints are removed at once, and their processes end
	FaultFailCalls      FaultKind = "fail"           // a ratio of the calls fails quickly
	FaultSuspend        FaultKind = "shut"           // all calls are rejected
	FaultSlow           FaultKind = "slow"           // calls take longer
	FaultLoseAnswers    FaultKind = "lost-answers"   // calls are served, and their connections break before the answer
	FaultLowerLimit     FaultKind = "lowered"        // the rate limit falls, and the endpoint list does not say so
	FaultSilence        FaultKind = "silent"         // calls are accepted and never answered
	FaultCrash          FaultKind = "death"          // processes die: connections are reset and refused
	FaultCutOff         FaultKind = "cut"            // machines are cut off: connections stay open and silent
	FaultDiscoveryDown  FaultKind = "discovery-down" // discovery sends nothing
	FaultDiscoveryDelay FaultKind = "discovery-late" // discovery sends everything later
	FaultTerminate      FaultKind = "term"           // relays are restarted in order
	FaultKill           FaultKind = "kill"           // relays are killed and started again
	FaultReload         FaultKind = "hup"            // relays reload their configuration
	FaultClockStep      FaultKind = "clock-step"     // the wall clocks of relays are stepped; in virtual time only
	FaultStall          FaultKind = "stall"          // processes of relays are stopped, and resumed
	FaultLinkCut        FaultKind = "link-cut"       // nothing passes between relays
	FaultLinkLoss       FaultKind = "link-loss"      // datagrams are lost
	FaultLinkDelay      FaultKind = "link-delay"     // everything is delayed
	FaultLinkThrottle   FaultKind = "link-throttle"  // the bandwidth is low
	FaultLinkReorder    FaultKind = "link-mix"       // datagrams are duplicated and reordered
)

// faultKinds lists the kinds in the order in which an error lists them.
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
}

// RelayGroup is how many of the relays a fault strikes, which the seed draws.
type RelayGroup string

// The groups of relays.
const (
	GroupOne       RelayGroup = "one"
	GroupHalf      RelayGroup = "half"
	GroupThird     RelayGroup = "third"
	GroupAllButOne RelayGroup = "all-but-one"
)

// Direction is which links of a relay a fault strikes.
type Direction string

// The directions of links.
const (
	DirectionBoth Direction = "both"
	DirectionOut  Direction = "out" // the others do not hear the relay
	DirectionIn   Direction = "in"  // the relay does not hear the others
)

// StateFolder is what a relay that was killed finds as its state folder.
type StateFolder string

// The state folders after a kill.
const (
	StateFolderKept    StateFolder = "kept"
	StateFolderRemoved StateFolder = "none"
	StateFolderOlder   StateFolder = "older" // as it was when the relay had first started
)
