// Package partner is a model of the systems that a relay delivers to: how fast they are, what they refuse, how they
// fail, and how they come back. It does no I/O and reads no clock: it is told when a call comes and says what becomes
// of it, so that the same calls at the same times always fare the same.
//
// A Place is what has one limit, one pace and one outage: a destination with all its endpoints, or one endpoint where
// routes stand apart.
package upstream

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Limit names how a place bounds the calls that it takes.
type Limit string

// The kinds of limit.
const (
	NoLimit Limit = "none"
	Plain   Limit = "rate"   // so many calls a second, with room for a burst of a quarter of a second's
	Counted Limit = "window" // so many in each fixed span of time
)

// Spec says what a place is like.
type Spec struct {
	Pace   time.Duration // mean time to serve a call, warm
	Spread float64       // coefficient of variation of that time (lognormal); 0: always the same
	// Exponential has that time be exponential in place of lognormal: for what queueing theory tells.
	Exponential bool
	Slots       int           // calls that an endpoint serves at once
	Queue       time.Duration // a call that would wait longer than this for a slot is refused
	ItemCost    float64       // extra work for each further message in a call, as a share of one

	Limit     Limit
	Rate      float64       // calls a second
	Window    time.Duration // Counted: the span
	TellsWait float64       // share of refusals that tell how long to wait
	LeastWait time.Duration // and they tell this much at least
	Counts    bool          // refused calls use up the limit too
	// Plain, Counts: what they use up ahead, at the limit's rate, at most; 0: as much as may come at once
	Debt time.Duration

	ColdShare    float64       // of its capacity that a place has right after an outage
	Warm         time.Duration // all of it after this
	FallMultiple float64       // sent more than so many times what it can do now; 0: it never falls
	FallWindow   time.Duration // within so long, it falls over and stays down
}

// Validate returns what is wrong with a specification.
func (s Spec) Validate() error {
	switch {
	case s.Pace <= 0 || s.Slots <= 0:
		return fmt.Errorf("pace %v and slots %d must be above 0", s.Pace, s.Slots)
	case s.Spread < 0 || s.Spread > 3:
		return fmt.Errorf("spread %v must be 0 to 3", s.Spread)
	case s.Queue < 0 || s.LeastWait < 0 || s.ItemCost < 0:
		return fmt.Errorf("queue, wait and item cost must not be below 0")
	case s.Limit != NoLimit && s.Limit != Plain && s.Limit != Counted:
		return fmt.Errorf("unknown limit %q: none, rate or window", s.Limit)
	case s.Limit != NoLimit && s.Rate <= 0:
		return fmt.Errorf("limit %q needs a rate above 0", s.Limit)
	case s.Limit == Counted && s.Rate*s.Window.Seconds() < 1:
		return fmt.Errorf("limit %q of %v a second lets nothing through in a window of %v", s.Limit, s.Rate, s.Window)
	case s.TellsWait < 0 || s.TellsWait > 1:
		return fmt.Errorf("tells_wait %v must be 0 to 1", s.TellsWait)
	case s.ColdShare <= 0 || s.ColdShare > 1:
		return fmt.Errorf("cold share %v must be above 0 and at most 1", s.ColdShare)
	case s.Debt < 0 || s.Debt > 0 && (!s.Counts || s.Limit != Plain):
		return fmt.Errorf("debt %v needs a limit by rate that refused calls use up, and must not be below 0", s.Debt)
	case s.Warm < 0:
		return fmt.Errorf("warm %v must not be below 0", s.Warm)
	case s.FallMultiple > 0 && s.FallWindow <= 0:
		return fmt.Errorf("fall window %v must be above 0", s.FallWindow)
	}
	return nil
}

// PerEndpoint is how many calls a second a warm endpoint can serve.
func (s Spec) PerEndpoint() float64 { return float64(s.Slots) / s.Pace.Seconds() }

// Cold is the return of a place from an outage.
type Cold struct {
	At    time.Duration // when it came back
	Rate  float64       // calls a second that it can do warm
	Share float64       // of that, at first
	Warm  time.Duration // all of it after this
}

// Able is what the place can do at a time, in calls a second. It rises evenly.
func (c Cold) Able(at time.Duration) float64 {
	switch since := at - c.At; {
	case since >= c.Warm:
		return c.Rate
	case since < 0:
		return 0
	default:
		return c.Rate * (c.Share + (1-c.Share)*float64(since)/float64(c.Warm))
	}
}

// Budget is how much a place that can do rate calls a second bears within a span, if it bears multiple times that. The
// square root is the slack for chance: one standard deviation of as many independent arrivals.
func Budget(multiple, rate float64, span time.Duration) float64 {
	x := multiple * rate * span.Seconds()
	return x + math.Sqrt(x)
}

// Weight is how much a call with n messages weighs.
func (s Spec) Weight(n int) float64 { return 1 + s.ItemCost*float64(max(0, n-1)) }

// Result is what becomes of a call.
type Result int

// The results.
const (
	Served Result = iota
	Refused
	Failed // answered as an error: it may have run
	Mute   // no answer comes; it may have run
)

// Fate is what becomes of a call, and when.
type Fate struct {
	Result Result
	After  time.Duration // from its arrival to its answer; Mute: none comes
	Wait   time.Duration // Refused: told to wait so long; 0: not told
	Fell   bool          // this call pushed the place over
	Lost   bool          // Served: and the answer is lost, with the connection that it was to go out on
}

// Place is a destination, or a route apart, at work. It is not safe for concurrent use.
type Place struct {
	Spec
	draw      *rand.Rand
	endpoints map[string][]time.Duration // when each slot is free

	// Trouble, set from outside.
	slow     float64 // factor; 1: none
	lowered  float64 // the limit, by this factor; 1: it is not
	failing  float64 // share of calls that fail
	losing   float64 // share of answers that are lost
	shut     bool
	shutTill time.Duration // as it tells; 0: it does not tell
	mute     bool

	fallen  bool
	cold    Cold
	isCold  bool
	arrived []arrival // while cold, within the fall window

	tokens   float64 // Plain
	tokensAt time.Duration
	counted  int // Counted
	window   int64
}

type arrival struct {
	at     time.Duration
	weight float64
}

// New returns a place at full strength with no endpoints. seed makes its times and refusals.
func New(spec Spec, seed uint64) *Place {
	p := &Place{
		Spec:      spec,
		slow:      1,
		lowered:   1,
		endpoints: map[string][]time.Duration{},
		draw:      rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
	}
	p.tokens = p.burst()
	return p
}

// limit is what the place takes now, in calls a second.
func (p *Place) limit() float64 { return p.Rate / p.lowered }

func (p *Place) burst() float64 { return max(1, p.limit()/4) }

// debt is how many calls refused ones may use up ahead.
func (p *Place) debt() float64 {
	if p.Debt > 0 {
		return p.limit() * p.Debt.Seconds()
	}
	return p.burst()
}

// Add gives the place an endpoint.
func (p *Place) Add(endpoint string) {
	if p.endpoints[endpoint] == nil {
		p.endpoints[endpoint] = make([]time.Duration, p.Slots)
	}
}

// Remove takes an endpoint away; calls that it serves go on.
func (p *Place) Remove(endpoint string) { delete(p.endpoints, endpoint) }

// Capacity is what the place can do warm, in calls a second.
func (p *Place) Capacity() float64 { return float64(len(p.endpoints)) * p.PerEndpoint() }

// Slow has everything take factor times as long; 1 ends it.
func (p *Place) Slow(factor float64) { p.slow = factor }

// Lower has the place take so many times less than its limit, untold; 1 ends it.
func (p *Place) Lower(factor float64) { p.lowered = factor }

// Fail has a share of the calls fail quickly; 0 ends it.
func (p *Place) Fail(share float64) { p.failing = share }

// Lose has a share of the answers to calls that were served be lost; 0 ends it.
func (p *Place) Lose(share float64) { p.losing = share }

// Shut has the place refuse all. till is when it says that it opens, 0 if it does not say.
func (p *Place) Shut(till time.Duration) { p.shut, p.shutTill = true, till }

// Open ends Shut.
func (p *Place) Open() { p.shut, p.shutTill = false, 0 }

// Mute has the place answer nothing, or again.
func (p *Place) Mute(on bool) { p.mute = on }

// Return has the place come back cold from an outage at a time: nothing of what it did before counts.
func (p *Place) Return(at time.Duration) Cold {
	p.cold = Cold{At: at, Rate: p.Capacity(), Share: p.ColdShare, Warm: p.Warm}
	p.isCold, p.arrived = true, p.arrived[:0]
	for _, slots := range p.endpoints {
		clear(slots)
	}
	return p.cold
}

// Fallen tells whether the place was pushed over.
func (p *Place) Fallen() bool { return p.fallen }

// Arrive says what becomes of a call with n messages that comes to an endpoint at a time. Times must not go back.
func (p *Place) Arrive(at time.Duration, endpoint string, n int) Fate {
	if p.pushed(at, n) {
		return Fate{Result: Mute, Fell: true}
	}
	switch {
	case p.fallen || p.mute:
		return Fate{Result: Mute}
	case p.shut:
		f := p.refuse(0)
		if p.shutTill > at && f.Wait > 0 {
			f.Wait = p.shutTill - at
		} else {
			f.Wait = 0
		}
		return f
	case p.failing > 0 && p.draw.Float64() < p.failing:
		return Fate{Result: Failed, After: quick}
	}
	if wait, full := p.limited(at); full {
		return p.refuse(wait)
	}
	slots := p.endpoints[endpoint]
	if slots == nil {
		return p.refuse(0) // it has left the place
	}
	free := 0
	for i := range slots {
		if slots[i] < slots[free] {
			free = i
		}
	}
	start := max(at, slots[free])
	if start-at > p.Queue {
		return p.refuse(0)
	}
	p.take()
	slots[free] = start + p.serving(at, n)
	return Fate{Result: Served, After: slots[free] - at, Lost: p.losing > 0 && p.draw.Float64() < p.losing}
}

// quick is how fast refusals and errors come.
const quick = 2 * time.Millisecond

// refuse turns a call away; wait is how long there is no room, 0 if that is not known.
func (p *Place) refuse(wait time.Duration) Fate {
	f := Fate{Result: Refused, After: quick}
	if p.draw.Float64() < p.TellsWait {
		f.Wait = max(wait, p.LeastWait, time.Millisecond)
	}
	return f
}

// limited tells whether the limit has no room, and how long.
func (p *Place) limited(at time.Duration) (wait time.Duration, full bool) {
	switch p.Limit {
	case Plain:
		p.tokens = min(p.burst(), p.tokens+p.limit()*(at-p.tokensAt).Seconds())
		p.tokensAt = at
		if p.tokens < 1 {
			if p.Counts {
				p.tokens = max(p.tokens-1, -p.debt())
			}
			return time.Duration((1 - p.tokens) / p.limit() * float64(time.Second)), true
		}
	case Counted:
		if w := int64(at / p.Window); w != p.window {
			p.window, p.counted = w, 0
		}
		if float64(p.counted) >= math.Floor(p.limit()*p.Window.Seconds()) {
			return time.Duration(p.window+1)*p.Window - at, true
		}
	}
	return 0, false
}

// take counts a call that is served.
func (p *Place) take() {
	switch p.Limit {
	case Plain:
		p.tokens--
	case Counted:
		p.counted++
	}
}

// serving draws how long a call takes.
func (p *Place) serving(at time.Duration, n int) time.Duration {
	x := float64(p.Pace) * p.slow * p.Weight(n)
	if p.isCold {
		x *= p.cold.Rate / p.cold.Able(at)
	}
	if p.Exponential {
		x *= p.draw.ExpFloat64()
	} else if p.Spread > 0 {
		v := math.Log(1 + p.Spread*p.Spread)
		x *= math.Exp(p.draw.NormFloat64()*math.Sqrt(v) - v/2)
	}
	return time.Duration(x)
}

// pushed counts a call against what a cold place bears, and tells whether this one is too much.
func (p *Place) pushed(at time.Duration, n int) bool {
	if !p.isCold || p.fallen || p.FallMultiple <= 0 {
		return false
	}
	if at-p.cold.At >= p.cold.Warm {
		p.isCold, p.arrived = false, nil
		return false
	}
	old := 0
	for old < len(p.arrived) && p.arrived[old].at <= at-p.FallWindow {
		old++
	}
	p.arrived = append(p.arrived[old:], arrival{at, p.Weight(n)})
	sum := 0.0
	for _, a := range p.arrived {
		sum += a.weight
	}
	if sum > Budget(p.FallMultiple, p.cold.Able(at), p.FallWindow) {
		p.fallen, p.arrived = true, nil
	}
	return p.fallen
}
