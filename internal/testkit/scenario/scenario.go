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
	lengthMost = 2 * time.Hour
	bodyMost   = 64 << 10
	fileMost   = 1 << 20
)

// Bounds of a scenario: what can be played.
type Bounds struct {
	Relays, Endpoints, Arrivals int
	Clocks                      bool // the relays' wall clocks can be set
}

// What one machine can play with processes and sockets, and what it can in virtual time.
var (
	KitBounds      = Bounds{Relays: 20, Endpoints: 500, Arrivals: 2_000_000}
	EmulatorBounds = Bounds{Relays: 5000, Endpoints: 1_000_000, Arrivals: 100_000_000, Clocks: true}
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
func (d Duration) D() time.Duration { return time.Duration(d) }

// File is a scenario as it stands in its file.
type File struct {
	Name   string   `toml:"name"`
	About  string   `toml:"about"`
	Length Duration `toml:"length"` // for which messages are handed in
	Seed   uint64   `toml:"seed"`   // default 1
	Relays int      `toml:"relays"` // default 1
	Zones  []string `toml:"zones"`  // default one, "a"

	Fleet        Fleet         `toml:"fleet"`
	Settings     Settings      `toml:"settings"`
	Clients      Clients       `toml:"clients"`
	Discovery    Discovery     `toml:"discovery"`
	Classes      []Class       `toml:"class"`
	Customers    []Customer    `toml:"customer"`
	Kinds        []Kind        `toml:"kind"`
	Destinations []Destination `toml:"destination"`
	Traffic      []Traffic     `toml:"traffic"`
	Troubles     []Trouble     `toml:"trouble"`
}

// Fleet says whether the relays tell each other of themselves.
type Fleet struct {
	Enabled bool `toml:"enabled"`
	Rights  bool `toml:"rights"` // and share what destinations take
}

// Settings are what relays are told, and the figures of the rules.
type Settings struct {
	Tick           Duration `toml:"tick"`            // default 5ms
	Slots          int      `toml:"slots"`           // calls of a relay at once; default 40
	Held           int      `toml:"held"`            // messages that it may hold; default 400
	Attempts       int      `toml:"attempts"`        // for a message; default 8
	MayDuplicate   *bool    `toml:"may_duplicate"`   // default true
	MaxRetryAfter  Duration `toml:"max_retry_after"` // longest advice that clients heed; default 3s
	ConnectTimeout Duration `toml:"connect_timeout"` // default 1.5s
	KeepAlive      Duration `toml:"keep_alive"`      // hosts close connections idle for so long; default 15s
	MemoryMB       float64  `toml:"memory_mb"`       // default 192
	Sockets        int      `toml:"sockets"`         // default 1024
	DiskMB         float64  `toml:"disk_mb"`         // default 3
	DrainGrace     Duration `toml:"drain_grace"`     // default 1s
	FallMultiple   float64  `toml:"fall_multiple"`   // default 2
	FallWindow     Duration `toml:"fall_window"`     // default 3s
	OrderPause     Duration `toml:"order_pause"`     // default 1s
	OverShareWorth *float64 `toml:"over_share_worth"`
}

// Clients say how clients behave.
type Clients struct {
	AnswerWithin Duration `toml:"answer_within"` // after which a client leaves; default 400ms
	Again        *float64 `toml:"again"`         // share of refusals after which it comes again, once; default 0.5
	Backoff      Duration `toml:"backoff"`       // after this, or the advice it was given if that is longer; default 800ms
	Uneven       float64  `toml:"uneven"`        // coefficient of variation of what comes to a relay; default 0, all get the same
}

// Discovery says how late changes of the list reach relays.
type Discovery struct {
	Least Duration `toml:"least"` // default 200ms
	Most  Duration `toml:"most"`  // default 1s
}

// Class is a class of messages.
type Class struct {
	Name      string   `toml:"name"`
	Share     float64  `toml:"share"`  // of the traffic; default 1
	Effect    string   `toml:"effect"` // safe, keyed or unsafe
	Group     string   `toml:"group"`  // keyed: zone (default) or all
	Window    Duration `toml:"window"` // keyed: repeats are dropped for so long
	Order     bool     `toml:"order"`
	Aim       Duration `toml:"aim"`
	GiveUp    Duration `toml:"give_up"`
	LateWorth float64  `toml:"late_worth"`
	Worth     float64  `toml:"worth"` // default 1
}

// Customer is a customer.
type Customer struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the traffic; default 1
	Quota float64 `toml:"quota"` // messages a second within its share; 0: no bound
}

// Kind is a kind of destination.
type Kind struct {
	Name      string   `toml:"name"`
	Separate  bool     `toml:"separate"`   // each endpoint is a route with its own limit, pace and outages
	PerCall   int      `toml:"per_call"`   // messages in a call at most; default 1
	Pace      Duration `toml:"pace"`       // mean time of a call
	Spread    float64  `toml:"spread"`     // its coefficient of variation
	Law       string   `toml:"law"`        // of that time: lognormal (default) or exponential, whose spread is 1
	Slots     int      `toml:"slots"`      // calls that an endpoint serves at once
	Queue     Duration `toml:"queue"`      // calls that would wait longer are refused; default 500ms
	ItemCost  float64  `toml:"item_cost"`  // work of each further message in a call
	Limit     string   `toml:"limit"`      // none (default), rate or window
	Window    Duration `toml:"window"`     // default 1s
	TellsWait float64  `toml:"tells_wait"` // share of refusals that tell how long to wait
	Wait      Duration `toml:"wait"`       // and this much at least
	Counts    bool     `toml:"refused_count"`
	Debt      Duration `toml:"refused_debt"` // refused calls use up so much of a limit by rate ahead; default as much as may come at once
	ColdFrom  float64  `toml:"cold_from"`    // default 0.2
	Warm      Duration `toml:"warm"`         // default 12s
}

// Destination is one destination, or several alike.
type Destination struct {
	Kind      string   `toml:"kind"`
	Count     int      `toml:"count"`     // default 1
	Endpoints int      `toml:"endpoints"` // of each; default 2
	Rate      float64  `toml:"rate"`      // its limit, calls a second; of each route where routes are separate
	Weight    float64  `toml:"weight"`    // its part of the traffic beside the others; default 1
	Zones     []string `toml:"zones"`     // of its endpoints, in turn; default all
}

// Traffic is messages handed in over a span of time.
type Traffic struct {
	From         Duration `toml:"from"`
	To           Duration `toml:"to"`    // default: the scenario's length
	Rate         float64  `toml:"rate"`  // messages a second, the peak of shape dinner
	Shape        string   `toml:"shape"` // steady (default), bursts or dinner
	Burst        int      `toml:"burst"` // bursts: messages that come together for one destination; default 20
	Class        string   `toml:"class"`
	Customer     string   `toml:"customer"`
	Destinations []int    `toml:"destinations"`
	Body         int      `toml:"body"` // bytes; default 200
}

// Trouble is something that goes wrong. Which keys a kind takes is told in the documentation.
type Trouble struct {
	Kind string   `toml:"kind"`
	At   Duration `toml:"at"`
	For  Duration `toml:"for"`

	Destinations []int   `toml:"destinations"` // struck; default: as many as share says
	Share        float64 `toml:"share"`        // of the destinations, of the endpoints of drain and gone, or of the relays
	Zone         string  `toml:"zone"`         // only what stands there

	Calls       float64  `toml:"calls"`        // fail, lost-answers: share of calls struck; default 1
	Factor      float64  `toml:"factor"`       // slow: how many times as long; lowered: how many times less; default 10
	Drain       Duration `toml:"drain"`        // drain: from draining to gone; default 4s
	Batch       int      `toml:"batch"`        // drain: so many at a time, evenly over for; default 1
	Replace     bool     `toml:"replace"`      // drain, gone: each by a new endpoint
	SameAddress float64  `toml:"same_address"` // share of the new ones that come up where one that has gone was
	Delay       Duration `toml:"delay"`        // discovery-late: by so much more
	Relays      []int    `toml:"relays"`       // term, kill, hup, discovery-*: which, counted from 1; default as share says, or all
	By          Duration `toml:"by"`           // clock-step: the relays' wall clocks are set by so much; below 0: back
	Stagger     Duration `toml:"stagger"`      // from one relay to the next; default 0
	Group       string   `toml:"group"`        // relays drawn by the seed in place of relays and share: one, half, third, all-but-one
	Way         string   `toml:"way"`          // link-*: between the relays struck and all others: both (default), out (they are not heard) or in
	Loss        float64  `toml:"loss"`         // link-loss: share of datagrams; default 0.3
	Mixed       float64  `toml:"mixed"`        // link-mix: share of datagrams that come twice, and as many that come late; default 0.3
	Rate        int      `toml:"rate"`         // link-throttle: bytes a second; default 2000
	Folder      string   `toml:"folder"`       // kill: the folder after it: kept (default), none, or older, as it was when the relay had first started
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
func Load(name string) (File, error) { return LoadFor(name, KitBounds) }

// LoadFor is Load for what is to be played within bounds.
func LoadFor(name string, b Bounds) (File, error) {
	if slices.Contains(Shipped(), name) {
		data, err := fs.ReadFile(shipped, path.Join("shipped", name+".toml"))
		if err != nil {
			return File{}, fmt.Errorf("scenario %s: %w", name, err)
		}
		return ParseFor(name, data, b)
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
	if n, err := buf.ReadFrom(io.LimitReader(f, fileMost+1)); err != nil {
		return File{}, fmt.Errorf("scenario: %w", err)
	} else if n > fileMost {
		return File{}, fmt.Errorf("scenario %s: over %d bytes", name, fileMost)
	}
	return ParseFor(name, buf.Bytes(), b)
}

// Parse reads a scenario. Errors name the file, and the line where it is known; all that is wrong with the values is
// told at once.
func Parse(name string, data []byte) (File, error) { return ParseFor(name, data, KitBounds) }

// ParseFor reads a scenario that is to be played within bounds.
func ParseFor(name string, data []byte, b Bounds) (File, error) {
	var f File
	if err := stricttoml.Decode("scenario "+name, data, &f); err != nil {
		return File{}, err
	}
	f.SetDefaults()
	if err := f.CheckFor(b); err != nil {
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
	s.MayDuplicate, s.OverShareWorth, f.Clients.Again = clone(
		s.MayDuplicate,
	), clone(
		s.OverShareWorth,
	), clone(
		f.Clients.Again,
	)
	f.Zones, f.Classes, f.Customers, f.Kinds = slices.Clone(
		f.Zones,
	), slices.Clone(
		f.Classes,
	), slices.Clone(
		f.Customers,
	), slices.Clone(
		f.Kinds,
	)
	f.Destinations, f.Traffic, f.Troubles = slices.Clone(
		f.Destinations,
	), slices.Clone(
		f.Traffic,
	), slices.Clone(
		f.Troubles,
	)
	for i := range f.Destinations {
		f.Destinations[i].Zones = slices.Clone(f.Destinations[i].Zones)
	}
	for i := range f.Traffic {
		f.Traffic[i].Destinations = slices.Clone(f.Traffic[i].Destinations)
	}
	for i := range f.Troubles {
		f.Troubles[i].Destinations, f.Troubles[i].Relays = slices.Clone(
			f.Troubles[i].Destinations,
		), slices.Clone(
			f.Troubles[i].Relays,
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
	def(&s.Slots, 40)
	def(&s.Held, 400)
	def(&s.Attempts, 8)
	defTo(&s.MayDuplicate, true)
	def(&s.MaxRetryAfter, 3000*ms)
	def(&s.ConnectTimeout, 1500*ms)
	def(&s.KeepAlive, 15000*ms)
	def(&s.MemoryMB, 192)
	def(&s.Sockets, 1024)
	def(&s.DiskMB, 3)
	def(&s.DrainGrace, 1000*ms)
	def(&s.FallMultiple, 2)
	def(&s.FallWindow, 3000*ms)
	def(&s.OrderPause, 1000*ms)
	defTo(&s.OverShareWorth, 0.2)
	def(&f.Clients.AnswerWithin, 400*ms)
	defTo(&f.Clients.Again, 0.5)
	def(&f.Clients.Backoff, 800*ms)
	def(&f.Discovery.Least, 200*ms)
	def(&f.Discovery.Most, max(f.Discovery.Least, 1000*ms))
	if len(f.Customers) == 0 {
		f.Customers = []Customer{{Name: "only"}}
	}
	for i := range f.Classes {
		c := &f.Classes[i]
		def(&c.Share, 1)
		def(&c.Worth, 1)
		def(&c.Group, "zone")
	}
	for i := range f.Customers {
		def(&f.Customers[i].Share, 1)
	}
	for i := range f.Kinds {
		k := &f.Kinds[i]
		def(&k.PerCall, 1)
		def(&k.Queue, 500*ms)
		def(&k.Limit, "none")
		def(&k.Window, 1000*ms)
		def(&k.ColdFrom, 0.2)
		def(&k.Warm, 12000*ms)
	}
	for i := range f.Destinations {
		d := &f.Destinations[i]
		def(&d.Count, 1)
		def(&d.Endpoints, 2)
		def(&d.Weight, 1)
		if len(d.Zones) == 0 {
			d.Zones = f.Zones
		}
	}
	for i := range f.Traffic {
		t := &f.Traffic[i]
		def(&t.To, f.Length)
		def(&t.Shape, "steady")
		def(&t.Burst, 20)
		def(&t.Body, 200)
	}
	for i := range f.Troubles {
		t := &f.Troubles[i]
		def(&t.Calls, 1)
		def(&t.Factor, 10)
		def(&t.Drain, 4000*ms)
		def(&t.Batch, 1)
		switch t.Kind {
		case LinkLoss:
			def(&t.Loss, 0.3)
		case LinkThrottle:
			def(&t.Rate, 2000)
		case LinkMix:
			def(&t.Mixed, 0.3)
		}
	}
}

// The kinds of trouble.
const (
	Draining      = "drain"          // endpoints drain and go
	Gone          = "gone"           // endpoints leave at once, their processes with them
	Fail          = "fail"           // a share of the calls fails quickly
	Shut          = "shut"           // all is refused
	SlowDown      = "slow"           // calls take longer
	LostAnswers   = "lost-answers"   // calls are served, and their connections break in place of the answer
	Lowered       = "lowered"        // the limit falls, and the list does not say so
	Silent        = "silent"         // calls are taken and never answered
	Death         = "death"          // processes die: connections are reset and refused
	Cut           = "cut"            // machines are cut off: connections stay open and silent, none comes up
	DiscoveryDown = "discovery-down" // discovery says nothing
	DiscoveryLate = "discovery-late" // it says all later
	Term          = "term"           // a planned restart of relays
	Kill          = "kill"           // an unplanned one
	ClockStep     = "clock-step"     // the wall clocks of relays are set; in virtual time alone
	HUP           = "hup"            // relays read their configuration again
	Stall         = "stall"          // processes of relays are stopped, and go on
	LinkCut       = "link-cut"       // nothing passes between relays
	LinkLoss      = "link-loss"      // datagrams are lost
	LinkDelay     = "link-delay"     // all is late
	LinkThrottle  = "link-throttle"  // little passes
	LinkMix       = "link-mix"       // datagrams come twice, or are overtaken by others
)

var troubles = []string{
	Draining, Gone, Fail, Shut, SlowDown, Lowered, LostAnswers, Silent, Death, Cut, DiscoveryDown, DiscoveryLate, Term, Kill, HUP, ClockStep,
	Stall, LinkCut, LinkLoss, LinkDelay, LinkThrottle, LinkMix,
}

// The groups of relays that a trouble may draw, and the ways of a link.
const (
	GroupOne       = "one"
	GroupHalf      = "half"
	GroupThird     = "third"
	GroupAllButOne = "all-but-one"

	WayBoth = "both"
	WayOut  = "out"
	WayIn   = "in"

	FolderKept  = "kept"
	FolderNone  = "none"
	FolderOlder = "older"
)

// problems collects what is wrong.
type problems []error

func (p *problems) add(format string, args ...any) { *p = append(*p, fmt.Errorf(format, args...)) }

func (p *problems) unless(ok bool, format string, args ...any) {
	if !ok {
		p.add(format, args...)
	}
}

func share(x float64) bool { return x >= 0 && x <= 1 }

// Check tells all that is wrong with a scenario for the rehearsal kit.
func (f *File) Check() error { return f.CheckFor(KitBounds) }

// CheckFor tells all that is wrong with a scenario that is to be played within bounds.
func (f *File) CheckFor(b Bounds) error {
	var p problems
	p.unless(f.Name != "", "no name")
	p.unless(f.Length > 0 && f.Length.D() <= lengthMost, "length must be above 0 and at most %v", lengthMost)
	p.unless(f.Fleet.Enabled || !f.Fleet.Rights, "fleet: rights needs enabled = true")
	p.unless(f.Relays >= 1 && f.Relays <= b.Relays, "relays must be 1 to %d", b.Relays)
	s := f.Settings
	p.unless(s.Slots > 0 && s.Held > 0 && s.Attempts > 0, "settings: slots, held and attempts must be above 0")
	p.unless(s.Tick > 0 && s.Tick.D() <= time.Second, "settings: tick must be above 0 and at most 1s")
	p.unless(
		s.ConnectTimeout > 0 && s.KeepAlive > 0 && s.MaxRetryAfter >= 0,
		"settings: connect_timeout and keep_alive must be above 0",
	)
	p.unless(
		s.MemoryMB > 0 && s.Sockets >= 64 && s.DiskMB > 0,
		"settings: memory_mb and disk_mb must be above 0, sockets at least 64",
	)
	p.unless(s.DrainGrace > 0 && s.FallMultiple > 0 && s.FallWindow > 0 && s.OrderPause > 0,
		"settings: drain_grace, fall_multiple, fall_window and order_pause must be above 0")
	p.unless(share(*s.OverShareWorth), "settings: over_share_worth must be 0 to 1")
	p.unless(
		f.Clients.AnswerWithin > 0 && f.Clients.Backoff > 0 && share(*f.Clients.Again),
		"clients: answer_within and backoff must be above 0, again 0 to 1",
	)
	p.unless(f.Clients.Uneven >= 0 && f.Clients.Uneven <= 10, "clients: uneven must be 0 to 10")
	p.unless(
		f.Discovery.Least >= 0 && f.Discovery.Most >= f.Discovery.Least,
		"discovery: least must not be above most, nor below 0",
	)
	checkDurations(&p, reflect.ValueOf(*f), "")
	f.checkNames(&p)
	f.checkClasses(&p)
	f.checkKinds(&p, b)
	f.checkTraffic(&p, b)
	for i := range f.Troubles {
		f.checkTrouble(&p, b, fmt.Sprintf("trouble %d (%s)", i+1, f.Troubles[i].Kind), &f.Troubles[i])
	}
	return errors.Join(p...)
}

// checkDurations finds durations that are given as plain numbers, which the decoder takes for nanoseconds. None that is
// meant is so short.
func checkDurations(p *problems, v reflect.Value, at string) {
	if x, ok := v.Interface().(Duration); ok {
		p.unless(
			x == 0 || x.D().Abs() >= time.Millisecond,
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
	unique("kind", names(f.Kinds, func(k Kind) string { return k.Name }))
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
			slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Effect),
			"%s: effect must be safe, keyed or unsafe, not %q",
			at,
			c.Effect,
		)
		p.unless(c.Group == "zone" || c.Group == "all", "%s: group must be zone or all, not %q", at, c.Group)
		p.unless(c.Effect != "keyed" || c.Window > 0, "%s: a keyed class needs a window", at)
		p.unless(c.Aim > 0 && c.GiveUp > c.Aim, "%s: give_up must be after aim, and aim above 0", at)
		p.unless(share(c.LateWorth), "%s: late_worth must be 0 to 1", at)
		p.unless(c.Share > 0 && c.Worth > 0, "%s: share and worth must be above 0", at)
	}
	for _, c := range f.Customers {
		p.unless(c.Share > 0 && c.Quota >= 0, "customer %s: share must be above 0, quota not below", c.Name)
	}
}

// Spec returns the specification of the upstream services of a kind, at a limit's rate.
func (f *File) Spec(k Kind, rate float64) upstream.Spec {
	return upstream.Spec{
		ServiceTime:            k.Pace.D(),
		ServiceTimeVariation:   k.Spread,
		ExponentialServiceTime: k.Law == "exponential",
		MaxConcurrentCalls:     k.Slots,
		MaxQueueTime:           k.Queue.D(),
		ExtraMessageCost:       k.ItemCost,
		Limit:                  upstream.LimitKind(k.Limit),
		LimitRate:              rate,
		LimitWindow:            k.Window.D(),
		RetryAfterRatio:        k.TellsWait,
		MinRetryAfter:          k.Wait.D(),
		CountsRejected:         k.Counts,
		MaxDebt:                k.Debt.D(),
		WarmUpInitialCapacity:  k.ColdFrom,
		WarmUpDuration:         k.Warm.D(),
		OverloadFactor:         f.Settings.FallMultiple,
		OverloadWindow:         f.Settings.FallWindow.D(),
	}
}

func (f *File) checkKinds(p *problems, b Bounds) {
	for _, k := range f.Kinds {
		p.unless(
			k.Law == "" || k.Law == "lognormal" || k.Law == "exponential" && k.Spread == 0,
			"kind %s: law must be lognormal or exponential, the latter without spread",
			k.Name,
		)
		p.unless(k.PerCall >= 1 && k.PerCall <= 1000, "kind %s: per_call must be 1 to 1000", k.Name)
	}
	endpoints := 0
	p.unless(len(f.Destinations) > 0, "no destination")
	for i, d := range f.Destinations {
		at := fmt.Sprintf("destination %d", i+1)
		p.unless(d.Count > 0 && d.Endpoints > 0 && d.Weight > 0, "%s: count, endpoints and weight must be above 0", at)
		endpoints += d.Count * d.Endpoints
		for _, z := range d.Zones {
			p.unless(slices.Contains(f.Zones, z), "%s: unknown zone %q", at, z)
		}
		n := slices.IndexFunc(f.Kinds, func(k Kind) bool { return k.Name == d.Kind })
		if n < 0 {
			p.add("%s: unknown kind %q", at, d.Kind)
			continue
		}
		if err := f.Spec(f.Kinds[n], d.Rate).Validate(); err != nil {
			p.add("%s, kind %s: %w", at, d.Kind, err)
		}
	}
	p.unless(endpoints <= b.Endpoints, "%d endpoints, %d at most", endpoints, b.Endpoints)
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
			slices.Contains([]string{"steady", "bursts", "dinner"}, t.Shape),
			"%s: shape must be steady, bursts or dinner, not %q",
			at,
			t.Shape,
		)
		p.unless(t.Burst > 0 && t.Burst <= 10000, "%s: burst must be 1 to 10000", at)
		p.unless(t.Body >= 1 && t.Body <= bodyMost, "%s: body must be 1 to %d bytes", at, bodyMost)
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
		total += t.Rate * (t.To - t.From).D().Seconds()
	}
	p.unless(total <= float64(b.Arrivals), "%.0f messages, %d at most", total, b.Arrivals)
}

func (f *File) checkTrouble(p *problems, b Bounds, at string, t *Trouble) {
	if !slices.Contains(troubles, t.Kind) {
		p.add("%s: unknown kind, one of %s", at, strings.Join(troubles, ", "))
		return
	}
	p.unless(t.At >= 0 && t.At < f.Length, "%s: at must be within length", at)
	p.unless(t.For >= 0, "%s: for must not be below 0", at)
	p.unless(
		share(t.Share) && share(t.Calls) && share(t.SameAddress),
		"%s: share, calls and same_address must be 0 to 1",
		at,
	)
	p.unless(
		t.Factor > 0 && t.Drain >= 0 && t.Batch > 0 && t.Delay >= 0 && t.Stagger >= 0,
		"%s: factor and batch must be above 0, drain, delay and stagger not below",
		at,
	)
	p.unless(t.Zone == "" || slices.Contains(f.Zones, t.Zone), "%s: unknown zone %q", at, t.Zone)
	p.unless(share(t.Loss) && t.Rate >= 0, "%s: loss must be 0 to 1, rate not below 0", at)
	p.unless(share(t.Mixed), "%s: mixed must be 0 to 1", at)
	p.unless(
		slices.Contains([]string{"", GroupOne, GroupHalf, GroupThird, GroupAllButOne}, t.Group),
		"%s: unknown group %q, one of one, half, third, all-but-one",
		at,
		t.Group,
	)
	p.unless(t.Group == "" || len(t.Relays) == 0 && t.Share == 0, "%s: group goes without relays and share", at)
	p.unless(
		slices.Contains([]string{"", WayBoth, WayOut, WayIn}, t.Way),
		"%s: way must be both, out or in, not %q",
		at,
		t.Way,
	)
	p.unless(
		slices.Contains([]string{"", FolderKept, FolderNone, FolderOlder}, t.Folder),
		"%s: folder must be kept, none or older, not %q",
		at,
		t.Folder,
	)
	f.checkDestinations(p, at, t.Destinations)
	for _, r := range t.Relays {
		p.unless(r >= 1 && r <= f.Relays, "%s: no relay %d, there are %d", at, r, f.Relays)
	}
	switch t.Kind {
	case Fail, Shut, SlowDown, Lowered, LostAnswers, Silent, Death, Cut:
		p.unless(t.For > 0, "%s: needs for, how long it lasts", at)
		p.unless(len(t.Destinations) > 0 || t.Share > 0, "%s: needs destinations or a share of them", at)
	case Draining, Gone:
		p.unless(len(t.Destinations) > 0 || t.Share > 0, "%s: needs destinations or a share of the endpoints", at)
	case ClockStep:
		p.unless(b.Clocks, "%s: a rehearsal of processes cannot set their clocks; emulate can", at)
		p.unless(t.By != 0, "%s: needs by, how far", at)
	case Stall, LinkCut, LinkLoss, LinkDelay, LinkThrottle, LinkMix:
		p.unless(t.For > 0, "%s: needs for, how long it lasts", at)
		p.unless(
			t.Kind == Stall || f.Fleet.Enabled && f.Relays > 1,
			"%s: needs [fleet] enabled = true and two relays at least",
			at,
		)
		p.unless(t.Kind != LinkDelay || t.Delay > 0, "%s: needs delay", at)
		p.unless(t.Kind != LinkLoss || t.Loss > 0, "%s: loss must be above 0", at)
		p.unless(t.Kind != LinkMix || t.Mixed > 0, "%s: mixed must be above 0", at)
		p.unless(t.Kind != LinkThrottle || t.Rate > 0, "%s: rate must be above 0", at)
	case DiscoveryDown, DiscoveryLate:
		p.unless(t.For > 0, "%s: needs for, how long it lasts", at)
		p.unless(t.Kind == DiscoveryDown || t.Delay > 0, "%s: needs delay", at)
	}
}

// Header begins the record of a rehearsal of the scenario.
func (f *File) Header(seed uint64) eventlog.Header {
	s := f.Settings
	h := eventlog.Header{
		Scenario: f.Name, Seed: seed, Duration: f.Length.D(),
		Rules: eventlog.Rules{
			DrainGrace: s.DrainGrace.D(), OverloadFactor: s.FallMultiple, OverloadWindow: s.FallWindow.D(), OrderingPause: s.OrderPause.D(),
			DuplicatesAllowed: *s.MayDuplicate, OverShareWeightRatio: *s.OverShareWorth,
		},
	}
	for i := range f.Relays {
		h.Relays = append(h.Relays, RelayName(i+1))
	}
	for _, c := range f.Classes {
		h.Classes = append(h.Classes, eventlog.Class{
			Name: c.Name, Effect: eventlog.Effect(c.Effect), DedupAcrossZones: c.Group == "all", DedupWindow: c.Window.D(), Ordered: c.Order,
			LatencyObjective: c.Aim.D(), Deadline: c.GiveUp.D(), Weight: c.Worth, LateWeightRatio: c.LateWorth,
		})
	}
	for _, c := range f.Customers {
		h.Customers = append(h.Customers, eventlog.Customer{Name: c.Name, RateShare: c.Quota})
	}
	return h
}

// RelayName is the name of the n-th relay, counted from 1.
func RelayName(n int) string { return fmt.Sprintf("r%d", n) }
