// Package explain tells from a recording what held messages up: for one message, a destination or a stretch of time. It
// plays the recording and looks, after each step, at a copy of the decision module; it decides nothing and does no I/O.
package explain

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/replay"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Bounds of what an explanation keeps.
const (
	maxBins        = 600
	maxTransitions = 100_000
	maxSpans       = 1000 // of one message
)

// causeNames are the words for what holds a message.
var causeNames = [...]string{
	policy.NotBlocked: "its turn in the queue", policy.AttemptsExhausted: "no attempt or time left", policy.EndpointDraining: "no route in service",
	policy.WaitingForKey: "an earlier message of its key", policy.WrongDedupZone: "a repeat is bound to another zone", policy.InsufficientTime: "no time left for an answer",
	policy.TrialInFlight: "a trial call is out", policy.EndpointSaturated: "too many calls out or overdue", policy.OrderingPause: "its key rests",
	policy.RetryAfterPending: "told to wait", policy.EndpointEjected: "skipped", policy.WarmUpBudget: "recovery budget", policy.Paced: "pace",
	policy.ConcurrencyLimit: "no slot free", policy.NoEndpoint: "no route listed",
}

// CauseName is a cause in words.
func CauseName(c policy.BlockCause) string {
	if c < 0 || int(c) >= len(causeNames) {
		return fmt.Sprintf("cause %d", int(c))
	}
	return causeNames[c]
}

// outcomeNames are the words for how a call ended.
var outcomeNames = [...]string{
	policy.OK: "delivered", policy.Error: "error", policy.Overloaded: "refused", policy.Timeout: "timed out",
	policy.ConnectFailed: "not connected", policy.Reset: "reset", policy.Cancelled: "cancelled", policy.NotSent: "not sent",
}

// OutcomeName is an outcome in words.
func OutcomeName(o policy.Outcome) string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome %d", int(o))
	}
	return outcomeNames[o]
}

// Options say what is looked at.
type Options struct {
	From, To time.Duration // of the module's time; To 0: to the end
	// Every is how often, in recorded time, the messages are looked at; 0: after each step. What holds a message at one
	// look counts until the next.
	SampleInterval time.Duration
	// Messages keeps the story of every message, by number; it takes memory in proportion to them.
	Messages bool
}

// Waits is how long messages waited for each cause, in message-seconds.
type Waits map[policy.BlockCause]float64

// Sum is the time for all causes.
func (w Waits) Sum() (sum float64) {
	for _, x := range w {
		sum += x
	}
	return sum
}

// Sorted are the causes with time, the longest first.
func (w Waits) Sorted() (causes []policy.BlockCause) {
	for c, x := range w {
		if x > 0 {
			causes = append(causes, c)
		}
	}
	slices.SortFunc(
		causes,
		func(a, b policy.BlockCause) int { return cmp.Or(cmp.Compare(w[b], w[a]), cmp.Compare(a, b)) },
	)
	return causes
}

// Destination is what happened at one destination.
type Destination struct {
	ID          int
	Accepted    int
	Calls       map[policy.Outcome]int // ended, by outcome, counted for each message
	Sent        int
	Rejected    int
	Failed      int
	Waits       Waits
	LongestWait time.Duration // longest that one message waited in one go
	MaxQueued   int
	Endpoints   []*Endpoint
}

// Endpoint is a route's history on the report's axis.
type Endpoint struct {
	Name                                         string
	Destination, Zone                            int
	LimitScope                                   string // the first route of its gate, whose pace and limit it shares
	Listed, Limit                                float64
	PacingRate, LastRejectedRate, EstimatedLimit []float64 // calls a second, at the end of each bin; 0: free, none
	Queued                                       []float64 // messages waiting at the destination, the most in each bin
	Delivered, Rejected, Failed                  []float64 // outcomes in each bin
	Sent                                         []float64
	Ejected, WarmingUp, RetryAfter               []bool
	last                                         policy.EndpointView
	lastAt                                       time.Duration // of last
	seen                                         bool
}

// Transition is a change in what the module holds of a route.
type Transition struct {
	At          time.Duration
	Destination int
	Endpoint    string
	Text        string
	Outcome     string // the outcome that brought it, where one did
}

// Span is a time in which one cause held a message.
type Span struct {
	From, To time.Duration
	Cause    policy.BlockCause
	Endpoint string
	Until    time.Duration // as the module saw it; math.MaxInt64: open
}

// Attempt is a send of a message, and what became of it.
type Attempt struct {
	Number     int
	Endpoint   string
	SentAt     time.Duration
	TimeoutAt  time.Duration
	EndedAt    time.Duration // 0: not by the end
	Outcome    policy.Outcome
	Latency    time.Duration
	RetryAfter time.Duration // told
}

// Message is the story of one message.
type Message struct {
	ID              uint32
	Trace           string
	Destination     int
	Class           int
	AcceptedAt      time.Duration
	TimeLeft        time.Duration // to its deadline, when it was taken
	Recovered       bool
	EarlierAttempts int // attempts of an earlier process
	Spans           []Span
	Attempts        []Attempt
	EndedAt         time.Duration // 0: not by the end
	End             string
	RetryAfter      time.Duration // with a refusal
}

// Report is an explanation of one recording.
type Report struct {
	Meta             flightrecorder.Meta
	Replay           replay.Result
	From, To         time.Duration
	Bin              time.Duration
	Bins             int
	Destinations     []*Destination // by number
	Transitions      []Transition
	InFlightCalls    []float64 // taken, the most in each bin
	MaxInFlightCalls int       // the settings'
	Queued           []float64 // messages waiting, the most in each bin
	Messages         map[uint32]*Message
	Notes            []string
	Truncated        bool // more transitions or spans than are kept
}

// builder is an explanation at work.
type builder struct {
	opts          Options
	report        *Report
	destinations  map[int]*Destination
	endpoints     map[string]*Endpoint
	destinationOf map[uint32]int // of messages
	traces        map[uint32]string
	blockers      []policy.Blocker // what held each message that waited at the last look
	since         map[uint32]time.Duration
	sampledAt     time.Duration
	steppedAt     time.Duration // the last step
	settings      policy.Settings
	sampled       bool              // a look was taken
	outcomes      map[string]string // by route, in the step at hand
	err           error
}

// Explain plays a recording and explains it.
func Explain(data []byte, opts Options) (*Report, error) {
	from, to, meta, err := extent(data)
	if err != nil {
		return nil, err
	}
	from = max(from, opts.From)
	if opts.To > 0 {
		to = min(to, opts.To)
	}
	if to < from {
		return nil, fmt.Errorf("explain: the recording holds nothing from %v to %v", from, to)
	}
	rep := &Report{
		Meta:             meta,
		From:             from,
		To:               to,
		Bin:              250 * time.Millisecond,
		MaxInFlightCalls: meta.Settings.MaxInFlightCalls,
		Messages:         map[uint32]*Message{},
	}
	for (to-from)/rep.Bin >= maxBins {
		rep.Bin *= 2
	}
	rep.Bins = int((to-from)/rep.Bin) + 1
	rep.InFlightCalls, rep.Queued = make([]float64, rep.Bins), make([]float64, rep.Bins)
	b := &builder{
		opts: opts, report: rep, destinations: map[int]*Destination{}, endpoints: map[string]*Endpoint{}, destinationOf: map[uint32]int{}, traces: map[uint32]string{},
		since: map[uint32]time.Duration{}, outcomes: map[string]string{},
	}
	rep.Replay, err = replay.Play(data, replay.Visitor{
		Settings: func(set policy.Settings) { b.settings = set }, Begin: b.begin, Before: b.before, Step: b.step, Other: b.other,
	})
	if err != nil {
		return nil, err
	}
	if b.err != nil {
		return nil, b.err
	}
	b.attributeWaits(to)
	for _, d := range b.destinations {
		rep.Destinations = append(rep.Destinations, d)
		slices.SortFunc(d.Endpoints, func(a, b *Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	}
	slices.SortFunc(rep.Destinations, func(a, b *Destination) int { return cmp.Compare(a.ID, b.ID) })
	return rep, nil
}

// extent is the time that a recording spans.
func extent(data []byte) (from, to time.Duration, meta flightrecorder.Meta, err error) {
	r, err := flightrecorder.NewReader(data)
	if err != nil {
		return 0, 0, meta, err
	}
	from = math.MaxInt64
	for {
		e, ok, err := r.Next()
		if err != nil {
			return 0, 0, meta, err
		}
		if !ok {
			break
		}
		switch e.Kind {
		case flightrecorder.Begin:
			meta = e.Meta
		case flightrecorder.Step:
			from, to = min(from, e.Now), max(to, e.Now) // a clock may step back
		}
	}
	return min(from, to), to, meta, nil
}

func (b *builder) bin(at time.Duration) int {
	return min(b.report.Bins-1, max(0, int((at-b.report.From)/b.report.Bin)))
}

func (b *builder) inRange(at time.Duration) bool { return at >= b.report.From && at <= b.report.To }

func (b *builder) destination(id int) *Destination {
	d := b.destinations[id]
	if d == nil {
		d = &Destination{ID: id, Calls: map[policy.Outcome]int{}, Waits: Waits{}}
		b.destinations[id] = d
	}
	return d
}

func (b *builder) endpoint(v policy.EndpointView) *Endpoint {
	r := b.endpoints[v.ID]
	if r == nil {
		bins := func() []float64 { return make([]float64, b.report.Bins) }
		flags := func() []bool { return make([]bool, b.report.Bins) }
		r = &Endpoint{
			Name: v.ID, Destination: v.Destination, Zone: v.Zone, PacingRate: bins(), LastRejectedRate: bins(), EstimatedLimit: bins(), Queued: bins(), Delivered: bins(),
			Rejected: bins(), Failed: bins(), Sent: bins(), Ejected: flags(), WarmingUp: flags(), RetryAfter: flags(),
		}
		b.endpoints[v.ID] = r
		d := b.destination(v.Destination)
		d.Endpoints = append(d.Endpoints, r)
	}
	return r
}

// begin starts with what a Sender holds that was restored in mid-life.
func (b *builder) begin(s *policy.Engine, e *flightrecorder.Entry) {
	b.sample(s, e.Now)
}

func (b *builder) other(e *flightrecorder.Entry) {
	switch e.Kind {
	case flightrecorder.Label:
		b.traces[e.MessageID] = e.Text
	case flightrecorder.Note:
		b.report.Notes = append(b.report.Notes, e.Text)
	case flightrecorder.Lost:
		b.blockers, b.sampled = nil, false
	}
}

// before makes up for a look that came too soon after the last one. Guards against a stillness that is told by what
// held before it: when the last step fell close behind a look, what it left behind holds all the while.
func (b *builder) before(s *policy.Engine, e *flightrecorder.Entry) {
	if b.sampled && b.steppedAt > b.sampledAt && e.Now-b.steppedAt >= b.opts.SampleInterval {
		b.sample(s, b.steppedAt)
	}
}

func (b *builder) step(s *policy.Engine, e *flightrecorder.Entry) {
	now := e.Now
	b.steppedAt = now
	clear(b.outcomes)
	for i := range e.Events {
		b.event(now, &e.Events[i])
	}
	for i := range e.Actions {
		b.action(now, &e.Actions[i])
	}
	switch {
	case !b.sampled || now < b.sampledAt || now-b.sampledAt >= b.opts.SampleInterval:
		b.sample(s, now)
	case len(b.outcomes) > 0: // what changed at the routes is told with the outcomes that brought it
		views, _ := s.Views()
		b.updateEndpoints(now, views)
	}
}

func (b *builder) event(now time.Duration, x *policy.Event) {
	switch x.Kind {
	case policy.MessageAccepted:
		b.destinationOf[x.MessageID] = x.Destination
		if b.inRange(now) {
			b.destination(x.Destination).Accepted++
		}
		if b.opts.Messages {
			m := &Message{
				ID: x.MessageID, Trace: b.traces[x.MessageID], Destination: x.Destination, Class: x.Class, AcceptedAt: now, TimeLeft: x.TimeLeft, Recovered: x.Recovered != nil,
			}
			if m.Recovered {
				m.EarlierAttempts = x.Recovered.Attempts
			}
			b.report.Messages[x.MessageID] = m
		}
		delete(b.traces, x.MessageID)
	case policy.AttemptFinished:
		word := OutcomeName(x.Outcome)
		if x.RetryAfter > 0 {
			word += fmt.Sprintf(", wait %v", x.RetryAfter)
		}
		if known := b.outcomes[x.Endpoint]; known != "" && known != word {
			word = known + "; " + word
		}
		b.outcomes[x.Endpoint] = word
		if d, known := b.destinationOf[x.MessageID]; known && b.inRange(now) {
			b.destination(d).Calls[x.Outcome]++
		}
		if r := b.endpoints[x.Endpoint]; r != nil && b.inRange(now) {
			series := r.Failed
			switch x.Outcome {
			case policy.OK:
				series = r.Delivered
			case policy.Overloaded:
				series = r.Rejected
			}
			series[b.bin(now)]++
		}
		m := b.report.Messages[x.MessageID]
		if m == nil {
			break
		}
		for i := range m.Attempts {
			if a := &m.Attempts[i]; a.Number == x.Attempt && a.EndedAt == 0 {
				a.EndedAt, a.Outcome, a.Latency, a.RetryAfter = now, x.Outcome, x.Latency, x.RetryAfter
			}
		}
		if x.MessageEnded && m.EndedAt == 0 {
			m.EndedAt, m.End = now, "delivered"
			if x.Outcome != policy.OK {
				m.End = "over: " + OutcomeName(x.Outcome)
			}
		}
	case policy.MessageCancelled:
		if m := b.report.Messages[x.MessageID]; m != nil && m.EndedAt == 0 {
			m.EndedAt, m.End = now, "withdrawn"
		}
	}
}

func (b *builder) action(now time.Duration, a *policy.Action) {
	m := b.report.Messages[a.MessageID]
	d, known := b.destinationOf[a.MessageID]
	counts := known && b.inRange(now)
	switch a.Kind {
	case policy.Send:
		if counts {
			b.destination(d).Sent++
		}
		if r := b.endpoints[a.Endpoint]; r != nil && b.inRange(now) {
			r.Sent[b.bin(now)]++
		}
		if m != nil {
			m.Attempts = append(
				m.Attempts,
				Attempt{Number: m.EarlierAttempts + len(m.Attempts), Endpoint: a.Endpoint, SentAt: now, TimeoutAt: a.TimeoutAt},
			)
		}
	case policy.Reject, policy.Fail:
		if counts && a.Kind == policy.Reject {
			b.destination(d).Rejected++
		} else if counts {
			b.destination(d).Failed++
		}
		if m != nil && m.EndedAt == 0 {
			m.EndedAt, m.End, m.RetryAfter = now, "failed", a.Delay
			if a.Kind == policy.Reject {
				m.End = "refused"
			}
		}
	}
}

// sample sees what the module holds after a step.
func (b *builder) sample(s *policy.Engine, now time.Duration) {
	b.attributeWaits(now)
	views, slots := s.Views()
	if b.inRange(now) {
		i := b.bin(now)
		b.report.InFlightCalls[i] = max(b.report.InFlightCalls[i], float64(slots))
		queue, counted := 0, map[int]bool{}
		for k := range views {
			if v := &views[k]; !counted[v.Destination] {
				counted[v.Destination] = true
				queue += v.Queued
			}
		}
		b.report.Queued[i] = max(b.report.Queued[i], float64(queue))
	}
	b.updateEndpoints(now, views)
	b.sampledAt, b.sampled = now, true
	waiting := slices.ContainsFunc(views, func(v policy.EndpointView) bool { return v.Queued > 0 })
	if b.blockers = nil; !waiting && len(b.destinations) > 0 && len(views) > 0 {
		return
	}
	// Holds may cast doubt on routes, as dispatch does: a copy is asked.
	copied, err := policy.Restore(b.settings, s.Snapshot(nil))
	if err != nil {
		b.err = cmp.Or(b.err, fmt.Errorf("explain: %w", err))
		return
	}
	b.blockers = bindingBlockers(copied.Blockers())
}

// bindingBlockers keeps for each message the hold that ends first: that of the route it will take.
func bindingBlockers(holds []policy.Blocker) []policy.Blocker {
	kept := holds[:0]
	for _, h := range holds {
		if n := len(kept); n > 0 && kept[n-1].MessageID == h.MessageID {
			if h.Until < kept[n-1].Until || h.Until == kept[n-1].Until && h.Cause == policy.NotBlocked {
				kept[n-1] = h
			}
			continue
		}
		kept = append(kept, h)
	}
	return kept
}

// attributeWaits counts the time since the last look for the causes that were seen then.
func (b *builder) attributeWaits(now time.Duration) {
	from, to := max(b.sampledAt, b.report.From), min(now, b.report.To)
	if !b.sampled || to <= from {
		return
	}
	for _, h := range b.blockers {
		id, known := b.destinationOf[h.MessageID]
		if !known { // taken before the recording began
			if r := b.endpoints[h.Endpoint]; r != nil {
				id = r.Destination
			}
		}
		d := b.destination(id)
		d.Waits[h.Cause] += (to - from).Seconds()
		m := b.report.Messages[h.MessageID]
		if m == nil {
			continue
		}
		if n := len(m.Spans); n > 0 && m.Spans[n-1].To == from && m.Spans[n-1].Cause == h.Cause &&
			m.Spans[n-1].Endpoint == h.Endpoint {
			m.Spans[n-1].To, m.Spans[n-1].Until = to, h.Until
		} else if n < maxSpans {
			m.Spans = append(m.Spans, Span{from, to, h.Cause, h.Endpoint, h.Until})
		} else {
			b.report.Truncated = true
		}
	}
}

// updateEndpoints notes what changed at the routes since the last look.
func (b *builder) updateEndpoints(now time.Duration, views []policy.EndpointView) {
	i := b.bin(now)
	gates := map[int]string{} // the first route of each shared gate
	for k := range views {
		v := &views[k]
		r := b.endpoint(*v)
		shared := v.Kind < 0 || v.Kind >= len(b.settings.DestinationKinds) ||
			!b.settings.DestinationKinds[v.Kind].LimitPerEndpoint
		if r.LimitScope = v.ID; shared {
			if gates[v.Destination] == "" {
				gates[v.Destination] = v.ID
			}
			r.LimitScope = gates[v.Destination]
		}
		r.Listed, r.Limit = v.Weight, v.Limit
		if b.inRange(now) {
			from := 0
			if r.seen {
				from = b.bin(r.lastAt)
			}
			for j := max(from, 0); j <= i; j++ { // what held goes on holding until now
				was := r.last
				if j == i || !r.seen {
					was = *v
				}
				r.PacingRate[j], r.LastRejectedRate[j], r.EstimatedLimit[j] = was.PacingRate, was.LastRejectedRate, was.Limit
				r.Queued[j] = max(r.Queued[j], float64(was.Queued))
				at := b.report.From + time.Duration(j)*b.report.Bin
				r.Ejected[j] = r.Ejected[j] || was.Ejected && was.EjectedUntil > at
				r.WarmingUp[j] = r.WarmingUp[j] || was.WarmingUp
				r.RetryAfter[j] = r.RetryAfter[j] || was.RetryAfterUntil > at
			}
			d := b.destination(v.Destination)
			d.MaxQueued = max(d.MaxQueued, v.Queued)
		}
		if r.seen && b.inRange(now) {
			b.recordTransitions(now, r, v)
		}
		r.last, r.lastAt, r.seen = *v, now, true
	}
}

func (b *builder) recordTransitions(now time.Duration, r *Endpoint, v *policy.EndpointView) {
	add := func(format string, args ...any) {
		if len(b.report.Transitions) >= maxTransitions {
			b.report.Truncated = true
			return
		}
		b.report.Transitions = append(
			b.report.Transitions,
			Transition{now, v.Destination, v.ID, fmt.Sprintf(format, args...), b.outcomes[v.ID]},
		)
	}
	was := &r.last
	switch {
	case v.InService != was.InService && v.InService:
		add("in service")
	case v.InService != was.InService:
		add("drains")
	}
	if r.LimitScope == v.ID {
		if v.DecreasedAt != was.DecreasedAt {
			add(
				"pace halved from %s to %.2f a second (limit believed %.2f)",
				rate(was.PacingRate),
				v.PacingRate,
				v.Limit,
			)
		}
		if v.RetryAfterUntil > was.RetryAfterUntil && v.RetryAfterUntil > now {
			add("told to wait until %v", v.RetryAfterUntil)
		}
		if v.Limit != was.Limit {
			add("limit believed %.2f, was %.2f", v.Limit, was.Limit)
		}
	}
	if v.EjectedUntil > was.EjectedUntil && v.Ejected {
		add("skipped until %v", v.EjectedUntil)
	} else if was.Ejected && !v.Ejected {
		add("answers again: pace restarts at %.2f", v.PacingRate)
	}
	if v.WarmingUp && !was.WarmingUp {
		add("in doubt: under the recovery budget")
	} else if was.WarmingUp && !v.WarmingUp {
		add("no longer in doubt")
	} else if v.WarmingUp && v.RecoveredAt == 0 && was.RecoveredAt != 0 {
		add("in doubt anew")
	}
}

func rate(x float64) string {
	if x == 0 {
		return "free"
	}
	return fmt.Sprintf("%.2f", x)
}
