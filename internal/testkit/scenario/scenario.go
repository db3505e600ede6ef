// Package scenario reads the files that say what a rehearsal plays, and draws from a file and a seed the plan of its
// events: who hands in what and when, and what goes wrong. The same file and seed give the same plan, byte for byte.
package scenario

import (
	"bytes"
	"embed"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"cherrytrestle.example/cherrytrestle/internal/config/stricttoml"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
)

const (
	maxLength   = 2 * time.Hour
	maxBodySize = 64 << 10
	maxFileSize = 1 << 20
)

// Bounds of a scenario: what can be played.
type Bounds struct {
	MaxRelays, MaxEndpoints, MaxArrivals int
	SettableClocks                       bool // the relays' wall clocks can be set
}

// What one machine can play with processes and sockets, and what it can in virtual time.
var (
	RehearsalBounds = Bounds{MaxRelays: 20, MaxEndpoints: 500, MaxArrivals: 2_000_000}
	EmulatorBounds  = Bounds{MaxRelays: 5000, MaxEndpoints: 1_000_000, MaxArrivals: 100_000_000, SettableClocks: true}
)

// Duration is a time.Duration that a file gives as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText reads what time.ParseDuration reads.
func (d *Duration) UnmarshalText(text []byte) error {
	x, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration such as \"1.5s\" or \"400ms\"", text)
	}
	*d = Duration(x)
	return nil
}

// MarshalText writes what UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D is the time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// File is a scenario as it stands in its file.
type File struct {
	Name        string   `toml:"name"`
	Description string   `toml:"about"`
	Length      Duration `toml:"length"` // for which messages are handed in
	Seed        uint64   `toml:"seed"`   // default 1
	Relays      int      `toml:"relays"` // default 1
	Zones       []string `toml:"zones"`  // default one, "a"

	Fleet            Fleet             `toml:"fleet"`
	Settings         Settings          `toml:"settings"`
	Clients          Clients           `toml:"clients"`
	Discovery        Discovery         `toml:"discovery"`
	Classes          []Class           `toml:"class"`
	Customers        []Customer        `toml:"customer"`
	DestinationKinds []DestinationKind `toml:"kind"`
	Destinations     []Destination     `toml:"destination"`
	Traffic          []Traffic         `toml:"traffic"`
	Faults           []Fault           `toml:"trouble"`
}

// Fleet says whether the relays tell each other of themselves.
type Fleet struct {
	Enabled bool `toml:"enabled"`
	Quotas  bool `toml:"rights"` // and share what destinations take
}

// Settings are what relays are told, and the figures of the rules.
type Settings struct {
	Tick                 Duration `toml:"tick"`            // default 5ms
	MaxConcurrentCalls   int      `toml:"slots"`           // calls of a relay at once; default 40
	MaxMessages          int      `toml:"held"`            // messages that it may hold; default 400
	MaxAttempts          int      `toml:"attempts"`        // for a message; default 8
	DuplicatesAllowed    *bool    `toml:"may_duplicate"`   // default true
	MaxRetryAfter        Duration `toml:"max_retry_after"` // longest advice that clients heed; default 3s
	ConnectTimeout       Duration `toml:"connect_timeout"` // default 1.5s
	KeepAliveTimeout     Duration `toml:"keep_alive"`      // hosts close connections idle for so long; default 15s
	MemoryMB             float64  `toml:"memory_mb"`       // default 192
	MaxSockets           int      `toml:"sockets"`         // default 1024
	DiskMB               float64  `toml:"disk_mb"`         // default 3
	DrainGrace           Duration `toml:"drain_grace"`     // default 1s
	OverloadFactor       float64  `toml:"fall_multiple"`   // default 2
	OverloadWindow       Duration `toml:"fall_window"`     // default 3s
	OrderingPause        Duration `toml:"order_pause"`     // default 1s
	OverShareWeightRatio *float64 `toml:"over_share_worth"`
}

// Clients say how clients behave.
type Clients struct {
	AnswerTimeout  Duration `toml:"answer_within"` // after which a client leaves; default 400ms
	RetryRatio     *float64 `toml:"again"`         // share of refusals after which it comes again, once; default 0.5
	RetryBackoff   Duration `toml:"backoff"`       // after this, or the advice it was given if that is longer; default 800ms
	RelayVariation float64  `toml:"uneven"`        // coefficient of variation of what comes to a relay; default 0, all get the same
}

// Discovery says how late changes of the list reach relays.
type Discovery struct {
	MinDelay Duration `toml:"least"` // default 200ms
	MaxDelay Duration `toml:"most"`  // default 1s
}

// Class is a class of messages.
type Class struct {
	Name             string          `toml:"name"`
	TrafficShare     float64         `toml:"share"`  // of the traffic; default 1
	Effect           eventlog.Effect `toml:"effect"` // safe, keyed or unsafe
	DedupScope       DedupScope      `toml:"group"`  // keyed: zone (default) or all
	DedupWindow      Duration        `toml:"window"` // keyed: repeats are dropped for so long
	Ordered          bool            `toml:"order"`
	LatencyObjective Duration        `toml:"aim"`
	Deadline         Duration        `toml:"give_up"`
	LateWeightRatio  float64         `toml:"late_worth"`
	Weight           float64         `toml:"worth"` // default 1
}

// Customer is a customer.
type Customer struct {
	Name         string  `toml:"name"`
	TrafficShare float64 `toml:"share"` // of the traffic; default 1
	Quota        float64 `toml:"quota"` // messages a second within its share; 0: no bound
}

// Kind is a kind of destination.
type DestinationKind struct {
	Name                    string             `toml:"name"`
	SeparateEndpoints       bool               `toml:"separate"`   // each endpoint is a route with its own limit, pace and outages
	MaxMessagesPerCall      int                `toml:"per_call"`   // messages in a call at most; default 1
	ServiceTime             Duration           `toml:"pace"`       // mean time of a call
	ServiceTimeVariation    float64            `toml:"spread"`     // its coefficient of variation
	ServiceTimeDistribution Distribution       `toml:"law"`        // of that time: lognormal (default) or exponential, whose spread is 1
	MaxConcurrentCalls      int                `toml:"slots"`      // calls that an endpoint serves at once
	MaxQueueTime            Duration           `toml:"queue"`      // calls that would wait longer are refused; default 500ms
	ExtraMessageCost        float64            `toml:"item_cost"`  // work of each further message in a call
	Limit                   upstream.LimitKind `toml:"limit"`      // none (default), rate or window
	LimitWindow             Duration           `toml:"window"`     // default 1s
	RetryAfterRatio         float64            `toml:"tells_wait"` // share of refusals that tell how long to wait
	MinRetryAfter           Duration           `toml:"wait"`       // and this much at least
	CountsRejected          bool               `toml:"refused_count"`
	MaxDebt                 Duration           `toml:"refused_debt"` // refused calls use up so much of a limit by rate ahead; default as much as may come at once
	WarmUpInitialCapacity   float64            `toml:"cold_from"`    // default 0.2
	WarmUpDuration          Duration           `toml:"warm"`         // default 12s
}

// Destination is one destination, or several alike.
type Destination struct {
	Kind          string   `toml:"kind"`
	Count         int      `toml:"count"`     // default 1
	Endpoints     int      `toml:"endpoints"` // of each; default 2
	LimitRate     float64  `toml:"rate"`      // its limit, calls a second; of each route where routes are separate
	TrafficWeight float64  `toml:"weight"`    // its part of the traffic beside the others; default 1
	Zones         []string `toml:"zones"`     // of its endpoints, in turn; default all
}

// Traffic is messages handed in over a span of time.
type Traffic struct {
	From         Duration     `toml:"from"`
	To           Duration     `toml:"to"`    // default: the scenario's length
	Rate         float64      `toml:"rate"`  // messages a second, the peak of shape dinner
	Shape        TrafficShape `toml:"shape"` // steady (default), bursts or dinner
	BurstSize    int          `toml:"burst"` // bursts: messages that come together for one destination; default 20
	Class        string       `toml:"class"`
	Customer     string       `toml:"customer"`
	Destinations []int        `toml:"destinations"`
	BodySize     int          `toml:"body"` // bytes; default 200
}

// Trouble is something that goes wrong. Which keys a kind takes is told in the documentation.
type Fault struct {
	Kind     FaultKind `toml:"kind"`
	Start    Duration  `toml:"at"`
	Duration Duration  `toml:"for"`

	Destinations []int   `toml:"destinations"` // struck; default: as many as share says
	Share        float64 `toml:"share"`        // of the destinations, of the endpoints of drain and gone, or of the relays
	Zone         string  `toml:"zone"`         // only what stands there

	CallRatio        float64     `toml:"calls"`        // fail, lost-answers: share of calls struck; default 1
	Factor           float64     `toml:"factor"`       // slow: how many times as long; lowered: how many times less; default 10
	DrainTime        Duration    `toml:"drain"`        // drain: from draining to gone; default 4s
	BatchSize        int         `toml:"batch"`        // drain: so many at a time, evenly over for; default 1
	ReplaceEndpoints bool        `toml:"replace"`      // drain, gone: each by a new endpoint
	SameAddressRatio float64     `toml:"same_address"` // share of the new ones that come up where one that has gone was
	Delay            Duration    `toml:"delay"`        // discovery-late: by so much more
	Relays           []int       `toml:"relays"`       // term, kill, hup, discovery-*: which, counted from 1; default as share says, or all
	ClockOffset      Duration    `toml:"by"`           // clock-step: the relays' wall clocks are set by so much; below 0: back
	Stagger          Duration    `toml:"stagger"`      // from one relay to the next; default 0
	RelayGroup       RelayGroup  `toml:"group"`        // relays drawn by the seed in place of relays and share: one, half, third, all-but-one
	Direction        Direction   `toml:"way"`          // link-*: between the relays struck and all others: both (default), out (they are not heard) or in
	LossRatio        float64     `toml:"loss"`         // link-loss: share of datagrams; default 0.3
	ReorderRatio     float64     `toml:"mixed"`        // link-mix: share of datagrams that come twice, and as many that come late; default 0.3
	BytesPerSecond   int         `toml:"rate"`         // link-throttle: bytes a second; default 2000
	StateFolder      StateFolder `toml:"folder"`       // kill: the folder after it: kept (default), none, or older, as it was when the relay had first started
}

//go:embed shipped/*.toml
var shipped embed.FS

// Shipped lists the names of the scenarios that come with the program.
func Shipped() []string {
	entries, err := fs.ReadDir(shipped, "shipped")
	if err != nil {
		panic(err) // it is in the program
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Load reads a shipped scenario by its name, or a file by its path.
func Load(name string) (File, error) { return LoadWithin(name, RehearsalBounds) }

// LoadFor is Load for what is to be played within bounds.
func LoadWithin(name string, b Bounds) (File, error) {
	if slices.Contains(Shipped(), name) {
		data, err := fs.ReadFile(shipped, path.Join("shipped", name+".toml"))
		if err != nil {
			return File{}, fmt.Errorf("scenario %s: %w", name, err)
		}
		return ParseWithin(name, data, b)
	}
	f, err := os.Open(name)
	if err != nil {
		if !strings.ContainsAny(name, "/.") {
			return File{}, fmt.Errorf(
				"scenario %q: neither shipped (%s) nor a file",
				name,
				strings.Join(Shipped(), ", "),
			)
		}
		return File{}, fmt.Errorf("scenario: %w", err)
	}
	defer f.Close()
	var buf bytes.Buffer
	if n, err := buf.ReadFrom(io.LimitReader(f, maxFileSize+1)); err != nil {
		return File{}, fmt.Errorf("scenario: %w", err)
	} else if n > maxFileSize {
		return File{}, fmt.Errorf("scenario %s: over %d bytes", name, maxFileSize)
	}
	return ParseWithin(name, buf.Bytes(), b)
}

// Parse reads a scenario. Errors name the file, and the line where it is known; all that is wrong with the values is
// told at once.
func Parse(name string, data []byte) (File, error) { return ParseWithin(name, data, RehearsalBounds) }

// ParseFor reads a scenario that is to be played within bounds.
func ParseWithin(name string, data []byte, b Bounds) (File, error) {
	var f File
	if err := stricttoml.Decode("scenario "+name, data, &f); err != nil {
		return File{}, err
	}
	f.SetDefaults()
	if err := f.ValidateWithin(b); err != nil {
		return File{}, fmt.Errorf("scenario %s: %w", name, err)
	}
	return f, nil
}

// Encode writes a scenario as Parse reads it.
func (f File) Encode() ([]byte, error) {
	data, err := toml.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", f.Name, err)
	}
	return data, nil
}

// Clone is a copy that shares nothing with the scenario.
func (f File) Clone() File {
	s := &f.Settings
	s.DuplicatesAllowed, s.OverShareWeightRatio, f.Clients.RetryRatio = clone(
		s.DuplicatesAllowed,
	), clone(
		s.OverShareWeightRatio,
	), clone(
		f.Clients.RetryRatio,
	)
	f.Zones, f.Classes, f.Customers, f.DestinationKinds = slices.Clone(
		f.Zones,
	), slices.Clone(
		f.Classes,
	), slices.Clone(
		f.Customers,
	), slices.Clone(
		f.DestinationKinds,
	)
	f.Destinations, f.Traffic, f.Faults = slices.Clone(
		f.Destinations,
	), slices.Clone(
		f.Traffic,
	), slices.Clone(
		f.Faults,
	)
	for i := range f.Destinations {
		f.Destinations[i].Zones = slices.Clone(f.Destinations[i].Zones)
	}
	for i := range f.Traffic {
		f.Traffic[i].Destinations = slices.Clone(f.Traffic[i].Destinations)
	}
	for i := range f.Faults {
		f.Faults[i].Destinations, f.Faults[i].Relays = slices.Clone(
			f.Faults[i].Destinations,
		), slices.Clone(
			f.Faults[i].Relays,
		)
	}
	return f
}

func clone[T any](p *T) *T {
	if p == nil {
		return nil
	}
	x := *p
	return &x
}

func def[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

func defTo[T any](p **T, v T) {
	if *p == nil {
		*p = &v
	}
}

// SetDefaults gives what is not set its default.
func (f *File) SetDefaults() {
	const ms = Duration(time.Millisecond)
	def(&f.Seed, 1)
	def(&f.Relays, 1)
	if len(f.Zones) == 0 {
		f.Zones = []string{"a"}
	}
	s := &f.Settings
	def(&s.Tick, 5*ms)
	def(&s.MaxConcurrentCalls, 40)
	def(&s.MaxMessages, 400)
	def(&s.MaxAttempts, 8)
	defTo(&s.DuplicatesAllowed, true)
	def(&s.MaxRetryAfter, 3000*ms)
	def(&s.ConnectTimeout, 1500*ms)
	def(&s.KeepAliveTimeout, 15000*ms)
	def(&s.MemoryMB, 192)
	def(&s.MaxSockets, 1024)
	def(&s.DiskMB, 3)
	def(&s.DrainGrace, 1000*ms)
	def(&s.OverloadFactor, 2)
	def(&s.OverloadWindow, 3000*ms)
	def(&s.OrderingPause, 1000*ms)
	defTo(&s.OverShareWeightRatio, 0.2)
	def(&f.Clients.AnswerTimeout, 400*ms)
	defTo(&f.Clients.RetryRatio, 0.5)
	def(&f.Clients.RetryBackoff, 800*ms)
	def(&f.Discovery.MinDelay, 200*ms)
	def(&f.Discovery.MaxDelay, max(f.Discovery.MinDelay, 1000*ms))
	if len(f.Customers) == 0 {
		f.Customers = []Customer{{Name: "only"}}
	}
	for i := range f.Classes {
		c := &f.Classes[i]
		def(&c.TrafficShare, 1)
		def(&c.Weight, 1)
		def(&c.DedupScope, DedupInZone)
	}
	for i := range f.Customers {
		def(&f.Customers[i].TrafficShare, 1)
	}
	for i := range f.DestinationKinds {
		k := &f.DestinationKinds[i]
		def(&k.MaxMessagesPerCall, 1)
		def(&k.MaxQueueTime, 500*ms)
		def(&k.Limit, upstream.NoLimit)
		def(&k.LimitWindow, 1000*ms)
		def(&k.WarmUpInitialCapacity, 0.2)
		def(&k.WarmUpDuration, 12000*ms)
	}
	for i := range f.Destinations {
		d := &f.Destinations[i]
		def(&d.Count, 1)
		def(&d.Endpoints, 2)
		def(&d.TrafficWeight, 1)
		if len(d.Zones) == 0 {
			d.Zones = f.Zones
		}
	}
	for i := range f.Traffic {
		t := &f.Traffic[i]
		def(&t.To, f.Length)
		def(&t.Shape, ShapeSteady)
		def(&t.BurstSize, 20)
		def(&t.BodySize, 200)
	}
	for i := range f.Faults {
		t := &f.Faults[i]
		def(&t.CallRatio, 1)
		def(&t.Factor, 10)
		def(&t.DrainTime, 4000*ms)
		def(&t.BatchSize, 1)
		switch t.Kind {
		case FaultLinkLoss:
			def(&t.LossRatio, 0.3)
		case FaultLinkThrottle:
			def(&t.BytesPerSecond, 2000)
		case FaultLinkReorder:
			def(&t.ReorderRatio, 0.3)
		}
	}
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
	FaultLoseAnswers    FaultKind = "lost-answers"   // calls are served, and their connections break instead of the answer
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

// DedupScope is how far the messages of a class are deduplicated.
type DedupScope string

// The scopes of deduplication.
const (
	DedupInZone      DedupScope = "zone"
	DedupAcrossZones DedupScope = "all"
)

// Distribution is the distribution of service times.
type Distribution string

// The distributions of service times.
const (
	Lognormal   Distribution = "lognormal"
	Exponential Distribution = "exponential"
)

// TrafficShape is how the rate of traffic runs over its span.
type TrafficShape string

// The shapes of traffic.
const (
	ShapeSteady TrafficShape = "steady"
	ShapeBursts TrafficShape = "bursts"
	ShapeDinner TrafficShape = "dinner" // rises to a peak in the middle, and falls again
)

// problems collects what is wrong.
type problems []error

func (p *problems) add(format string, args ...any) { *p = append(*p, fmt.Errorf(format, args...)) }

func (p *problems) unless(ok bool, format string, args ...any) {
	if !ok {
		p.add(format, args...)
	}
}

func listOf[T ~string](values []T) string {
	texts := make([]string, 0, len(values))
	for _, v := range values {
		texts = append(texts, string(v))
	}
	return strings.Join(texts, ", ")
}

func share(x float64) bool { return x >= 0 && x <= 1 }

// Check tells all that is wrong with a scenario for the rehearsal kit.
func (f *File) Validate() error { return f.ValidateWithin(RehearsalBounds) }

// CheckFor tells all that is wrong with a scenario that is to be played within bounds.
func (f *File) ValidateWithin(b Bounds) error {
	var p problems
	p.unless(f.Name != "", "no name")
	p.unless(f.Length > 0 && f.Length.AsDuration() <= maxLength, "length must be above 0 and at most %v", maxLength)
	p.unless(f.Fleet.Enabled || !f.Fleet.Quotas, "fleet: rights needs enabled = true")
	p.unless(f.Relays >= 1 && f.Relays <= b.MaxRelays, "relays must be 1 to %d", b.MaxRelays)
	s := f.Settings
	p.unless(s.MaxConcurrentCalls > 0 && s.MaxMessages > 0 && s.MaxAttempts > 0, "settings: slots, held and attempts must be above 0")
	p.unless(s.Tick > 0 && s.Tick.AsDuration() <= time.Second, "settings: tick must be above 0 and at most 1s")
	p.unless(
		s.ConnectTimeout > 0 && s.KeepAliveTimeout > 0 && s.MaxRetryAfter >= 0,
		"settings: connect_timeout and keep_alive must be above 0",
	)
	p.unless(
		s.MemoryMB > 0 && s.MaxSockets >= 64 && s.DiskMB > 0,
		"settings: memory_mb and disk_mb must be above 0, sockets at least 64",
	)
	p.unless(s.DrainGrace > 0 && s.OverloadFactor > 0 && s.OverloadWindow > 0 && s.OrderingPause > 0,
		"settings: drain_grace, fall_multiple, fall_window and order_pause must be above 0")
	p.unless(share(*s.OverShareWeightRatio), "settings: over_share_worth must be 0 to 1")
	p.unless(
		f.Clients.AnswerTimeout > 0 && f.Clients.RetryBackoff > 0 && share(*f.Clients.RetryRatio),
		"clients: answer_within and backoff must be above 0, again 0 to 1",
	)
	p.unless(f.Clients.RelayVariation >= 0 && f.Clients.RelayVariation <= 10, "clients: uneven must be 0 to 10")
	p.unless(
		f.Discovery.MinDelay >= 0 && f.Discovery.MaxDelay >= f.Discovery.MinDelay,
		"discovery: least must not be above most, nor below 0",
	)
	checkDurations(&p, reflect.ValueOf(*f), "")
	f.checkNames(&p)
	f.checkClasses(&p)
	f.checkKinds(&p, b)
	f.checkTraffic(&p, b)
	for i := range f.Faults {
		f.checkTrouble(&p, b, fmt.Sprintf("trouble %d (%s)", i+1, f.Faults[i].Kind), &f.Faults[i])
	}
	return errors.Join(p...)
}

// checkDurations finds durations that are given as plain numbers, which the decoder takes for nanoseconds. None that is
// meant is so short.
func checkDurations(p *problems, v reflect.Value, at string) {
	if x, ok := v.Interface().(Duration); ok {
		p.unless(
			x == 0 || x.AsDuration().Abs() >= time.Millisecond,
			"%s: give a duration such as \"1.5s\", 1ms at least",
			strings.TrimPrefix(at, "."),
		)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			checkDurations(p, v.Field(i), at+"."+v.Type().Field(i).Tag.Get("toml"))
		}
	case reflect.Slice:
		for i := range v.Len() {
			checkDurations(p, v.Index(i), fmt.Sprintf("%s %d", at, i+1))
		}
	}
}

func (f *File) checkNames(p *problems) {
	unique := func(what string, names []string) {
		p.unless(len(names) > 0, "no %s", what)
		seen := map[string]bool{}
		for _, n := range names {
			p.unless(n != "" && !strings.ContainsAny(n, " /?,;=\r\n"), "%s: bad name %q", what, n)
			p.unless(!seen[n], "%s: two are named %q", what, n)
			seen[n] = true
		}
	}
	unique("zone", f.Zones)
	unique("class", names(f.Classes, func(c Class) string { return c.Name }))
	unique("customer", names(f.Customers, func(c Customer) string { return c.Name }))
	unique("kind", names(f.DestinationKinds, func(k DestinationKind) string { return k.Name }))
}

func names[T any](list []T, name func(T) string) []string {
	all := make([]string, 0, len(list))
	for _, x := range list {
		all = append(all, name(x))
	}
	return all
}

func (f *File) checkClasses(p *problems) {
	for _, c := range f.Classes {
		at := "class " + c.Name
		p.unless(
			slices.Contains([]eventlog.Effect{eventlog.Idempotent, eventlog.IdempotentByKey, eventlog.NonIdempotent}, c.Effect),
			"%s: effect must be safe, keyed or unsafe, not %q",
			at,
			c.Effect,
		)
		p.unless(c.DedupScope == DedupInZone || c.DedupScope == DedupAcrossZones, "%s: group must be zone or all, not %q", at, c.DedupScope)
		p.unless(c.Effect != eventlog.IdempotentByKey || c.DedupWindow > 0, "%s: a keyed class needs a window", at)
		p.unless(c.LatencyObjective > 0 && c.Deadline > c.LatencyObjective, "%s: give_up must be after aim, and aim above 0", at)
		p.unless(share(c.LateWeightRatio), "%s: late_worth must be 0 to 1", at)
		p.unless(c.TrafficShare > 0 && c.Weight > 0, "%s: share and worth must be above 0", at)
	}
	for _, c := range f.Customers {
		p.unless(c.TrafficShare > 0 && c.Quota >= 0, "customer %s: share must be above 0, quota not below", c.Name)
	}
}

// Spec returns the specification of the upstream services of a kind, at a limit's rate.
func (f *File) UpstreamSpec(k DestinationKind, rate float64) upstream.Spec {
	return upstream.Spec{
		ServiceTime:            k.ServiceTime.AsDuration(),
		ServiceTimeVariation:   k.ServiceTimeVariation,
		ExponentialServiceTime: k.ServiceTimeDistribution == Exponential,
		MaxConcurrentCalls:     k.MaxConcurrentCalls,
		MaxQueueTime:           k.MaxQueueTime.AsDuration(),
		ExtraMessageCost:       k.ExtraMessageCost,
		Limit:                  k.Limit,
		LimitRate:              rate,
		LimitWindow:            k.LimitWindow.AsDuration(),
		RetryAfterRatio:        k.RetryAfterRatio,
		MinRetryAfter:          k.MinRetryAfter.AsDuration(),
		CountsRejected:         k.CountsRejected,
		MaxDebt:                k.MaxDebt.AsDuration(),
		WarmUpInitialCapacity:  k.WarmUpInitialCapacity,
		WarmUpDuration:         k.WarmUpDuration.AsDuration(),
		OverloadFactor:         f.Settings.OverloadFactor,
		OverloadWindow:         f.Settings.OverloadWindow.AsDuration(),
	}
}

func (f *File) checkKinds(p *problems, b Bounds) {
	for _, k := range f.DestinationKinds {
		p.unless(
			k.ServiceTimeDistribution == "" || k.ServiceTimeDistribution == Lognormal || k.ServiceTimeDistribution == Exponential && k.ServiceTimeVariation == 0,
			"kind %s: law must be lognormal or exponential, the latter without spread",
			k.Name,
		)
		p.unless(k.MaxMessagesPerCall >= 1 && k.MaxMessagesPerCall <= 1000, "kind %s: per_call must be 1 to 1000", k.Name)
	}
	endpoints := 0
	p.unless(len(f.Destinations) > 0, "no destination")
	for i, d := range f.Destinations {
		at := fmt.Sprintf("destination %d", i+1)
		p.unless(d.Count > 0 && d.Endpoints > 0 && d.TrafficWeight > 0, "%s: count, endpoints and weight must be above 0", at)
		endpoints += d.Count * d.Endpoints
		for _, z := range d.Zones {
			p.unless(slices.Contains(f.Zones, z), "%s: unknown zone %q", at, z)
		}
		n := slices.IndexFunc(f.DestinationKinds, func(k DestinationKind) bool { return k.Name == d.Kind })
		if n < 0 {
			p.add("%s: unknown kind %q", at, d.Kind)
			continue
		}
		if err := f.UpstreamSpec(f.DestinationKinds[n], d.LimitRate).Validate(); err != nil {
			p.add("%s, kind %s: %w", at, d.Kind, err)
		}
	}
	p.unless(endpoints <= b.MaxEndpoints, "%d endpoints, %d at most", endpoints, b.MaxEndpoints)
}

// places is how many destinations there are.
func (f *File) places() (n int) {
	for _, d := range f.Destinations {
		n += max(0, d.Count)
	}
	return n
}

func (f *File) checkDestinations(p *problems, at string, list []int) {
	for _, d := range list {
		p.unless(d >= 1 && d <= f.places(), "%s: no destination %d, there are %d", at, d, f.places())
	}
}

func (f *File) checkTraffic(p *problems, b Bounds) {
	p.unless(len(f.Traffic) > 0, "no traffic")
	total := 0.0
	for i, t := range f.Traffic {
		at := fmt.Sprintf("traffic %d", i+1)
		p.unless(t.From >= 0 && t.To > t.From && t.To <= f.Length, "%s: from must be before to, both within length", at)
		p.unless(t.Rate > 0, "%s: rate must be above 0", at)
		p.unless(
			slices.Contains([]TrafficShape{ShapeSteady, ShapeBursts, ShapeDinner}, t.Shape),
			"%s: shape must be steady, bursts or dinner, not %q",
			at,
			t.Shape,
		)
		p.unless(t.BurstSize > 0 && t.BurstSize <= 10000, "%s: burst must be 1 to 10000", at)
		p.unless(t.BodySize >= 1 && t.BodySize <= maxBodySize, "%s: body must be 1 to %d bytes", at, maxBodySize)
		p.unless(
			t.Class == "" || slices.ContainsFunc(f.Classes, func(c Class) bool { return c.Name == t.Class }),
			"%s: unknown class %q",
			at,
			t.Class,
		)
		p.unless(
			t.Customer == "" || slices.ContainsFunc(f.Customers, func(c Customer) bool { return c.Name == t.Customer }),
			"%s: unknown customer %q",
			at,
			t.Customer,
		)
		f.checkDestinations(p, at, t.Destinations)
		total += t.Rate * (t.To - t.From).AsDuration().Seconds()
	}
	p.unless(total <= float64(b.MaxArrivals), "%.0f messages, %d at most", total, b.MaxArrivals)
}

func (f *File) checkTrouble(p *problems, b Bounds, at string, t *Fault) {
	if !slices.Contains(faultKinds, t.Kind) {
		p.add("%s: unknown kind, one of %s", at, listOf(faultKinds))
		return
	}
	p.unless(t.Start >= 0 && t.Start < f.Length, "%s: at must be within length", at)
	p.unless(t.Duration >= 0, "%s: for must not be below 0", at)
	p.unless(
		share(t.Share) && share(t.CallRatio) && share(t.SameAddressRatio),
		"%s: share, calls and same_address must be 0 to 1",
		at,
	)
	p.unless(
		t.Factor > 0 && t.DrainTime >= 0 && t.BatchSize > 0 && t.Delay >= 0 && t.Stagger >= 0,
		"%s: factor and batch must be above 0, drain, delay and stagger not below",
		at,
	)
	p.unless(t.Zone == "" || slices.Contains(f.Zones, t.Zone), "%s: unknown zone %q", at, t.Zone)
	p.unless(share(t.LossRatio) && t.BytesPerSecond >= 0, "%s: loss must be 0 to 1, rate not below 0", at)
	p.unless(share(t.ReorderRatio), "%s: mixed must be 0 to 1", at)
	p.unless(
		slices.Contains([]RelayGroup{"", GroupOne, GroupHalf, GroupThird, GroupAllButOne}, t.RelayGroup),
		"%s: unknown group %q, one of one, half, third, all-but-one",
		at,
		t.RelayGroup,
	)
	p.unless(t.RelayGroup == "" || len(t.Relays) == 0 && t.Share == 0, "%s: group goes without relays and share", at)
	p.unless(
		slices.Contains([]Direction{"", DirectionBoth, DirectionOut, DirectionIn}, t.Direction),
		"%s: way must be both, out or in, not %q",
		at,
		t.Direction,
	)
	p.unless(
		slices.Contains([]StateFolder{"", StateFolderKept, StateFolderRemoved, StateFolderOlder}, t.StateFolder),
		"%s: folder must be kept, none or older, not %q",
		at,
		t.StateFolder,
	)
	f.checkDestinations(p, at, t.Destinations)
	for _, r := range t.Relays {
		p.unless(r >= 1 && r <= f.Relays, "%s: no relay %d, there are %d", at, r, f.Relays)
	}
	switch t.Kind {
	case FaultFailCalls, FaultSuspend, FaultSlow, FaultLowerLimit, FaultLoseAnswers, FaultSilence, FaultCrash, FaultCutOff:
		p.unless(t.Duration > 0, "%s: needs for, how long it lasts", at)
		p.unless(len(t.Destinations) > 0 || t.Share > 0, "%s: needs destinations or a share of them", at)
	case FaultDrain, FaultRemove:
		p.unless(len(t.Destinations) > 0 || t.Share > 0, "%s: needs destinations or a share of the endpoints", at)
	case FaultClockStep:
		p.unless(b.SettableClocks, "%s: a rehearsal of processes cannot set their clocks; emulate can", at)
		p.unless(t.ClockOffset != 0, "%s: needs by, how far", at)
	case FaultStall, FaultLinkCut, FaultLinkLoss, FaultLinkDelay, FaultLinkThrottle, FaultLinkReorder:
		p.unless(t.Duration > 0, "%s: needs for, how long it lasts", at)
		p.unless(
			t.Kind == FaultStall || f.Fleet.Enabled && f.Relays > 1,
			"%s: needs [fleet] enabled = true and two relays at least",
			at,
		)
		p.unless(t.Kind != FaultLinkDelay || t.Delay > 0, "%s: needs delay", at)
		p.unless(t.Kind != FaultLinkLoss || t.LossRatio > 0, "%s: loss must be above 0", at)
		p.unless(t.Kind != FaultLinkReorder || t.ReorderRatio > 0, "%s: mixed must be above 0", at)
		p.unless(t.Kind != FaultLinkThrottle || t.BytesPerSecond > 0, "%s: rate must be above 0", at)
	case FaultDiscoveryDown, FaultDiscoveryDelay:
		p.unless(t.Duration > 0, "%s: needs for, how long it lasts", at)
		p.unless(t.Kind == FaultDiscoveryDown || t.Delay > 0, "%s: needs delay", at)
	}
}

// Header begins the record of a rehearsal of the scenario.
func (f *File) RecordHeader(seed uint64) eventlog.Header {
	s := f.Settings
	h := eventlog.Header{
		Scenario: f.Name, Seed: seed, Duration: f.Length.AsDuration(),
		Rules: eventlog.Rules{
			DrainGrace: s.DrainGrace.AsDuration(), OverloadFactor: s.OverloadFactor, OverloadWindow: s.OverloadWindow.AsDuration(), OrderingPause: s.OrderingPause.AsDuration(),
			DuplicatesAllowed: *s.DuplicatesAllowed, OverShareWeightRatio: *s.OverShareWeightRatio,
		},
	}
	for i := range f.Relays {
		h.Relays = append(h.Relays, RelayName(i+1))
	}
	for _, c := range f.Classes {
		h.Classes = append(h.Classes, eventlog.Class{
			Name: c.Name, Effect: c.Effect, DedupAcrossZones: c.DedupScope == DedupAcrossZones, DedupWindow: c.DedupWindow.AsDuration(), Ordered: c.Ordered,
			LatencyObjective: c.LatencyObjective.AsDuration(), Deadline: c.Deadline.AsDuration(), Weight: c.Weight, LateWeightRatio: c.LateWeightRatio,
		})
	}
	for _, c := range f.Customers {
		h.Customers = append(h.Customers, eventlog.Customer{Name: c.Name, RateShare: c.Quota})
	}
	return h
}

// RelayName is the name of the n-th relay, counted from 1.
func RelayName(n int) string { return fmt.Sprintf("r%d", n) }
