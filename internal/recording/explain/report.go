package explain

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/replay"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Report explains why the messages of one recording waited. Slices of numbers are series with a value for each bin of
// the time axis.
type Report struct {
	Meta             flightrecorder.Meta
	Replay           replay.Result
	From             time.Duration
	To               time.Duration
	Bin              time.Duration // the length of a bin
	Bins             int
	Destinations     []*Destination // ordered by ID
	Transitions      []Transition
	InFlightCalls    []float64 // the maximum in each bin
	MaxInFlightCalls int       // from the settings; 0: no limit
	Queued           []float64 // messages waiting, the maximum in each bin
	Messages         map[policy.MessageID]*Message
	Notes            []string
	Truncated        bool // transitions or spans beyond maxTransitions or maxSpans were dropped
}

// bin returns the index of the bin that contains a time. A time before the axis belongs to the first bin, a time
// after it to the last bin.
func (r *Report) bin(at time.Duration) int {
	return min(r.Bins-1, max(0, int((at-r.From)/r.Bin)))
}

func (r *Report) inRange(at time.Duration) bool { return at >= r.From && at <= r.To }

// Destination holds the counts of one destination in the report's interval.
type Destination struct {
	ID        policy.DestinationID
	Accepted  int                    // messages
	Calls     map[policy.Outcome]int // attempts that ended, by outcome
	Sent      int                    // attempts that were sent
	Rejected  int                    // messages rejected with the advice to retry
	Failed    int                    // messages that failed
	Waits     Waits
	MaxQueued int // maximum number of waiting messages
	Endpoints []*Endpoint
}

// Endpoint is the history of an endpoint.
type Endpoint struct {
	Name        string
	Destination policy.DestinationID
	LimitScope  string // the name of the first endpoint in its rate-limit scope

	// The state of its rate-limit scope at the end of each bin, in calls per second; 0: no value.
	PacingRate       []float64
	LastRejectedRate []float64
	EstimatedLimit   []float64

	Queued    []float64 // messages waiting at the destination, the maximum in each bin
	Delivered []float64 // attempts that ended in each bin, by outcome
	Rejected  []float64
	Failed    []float64
	Sent      []float64 // attempts that were sent in each bin

	// Whether the endpoint was in the named state at some time of the bin.
	Ejected    []bool
	WarmingUp  []bool
	RetryAfter []bool

	last   policy.EndpointView
	lastAt time.Duration
	seen   bool // last is set
}

func newEndpoint(view policy.EndpointView, bins int) *Endpoint {
	return &Endpoint{
		Name:             view.ID,
		Destination:      view.Destination,
		PacingRate:       make([]float64, bins),
		LastRejectedRate: make([]float64, bins),
		EstimatedLimit:   make([]float64, bins),
		Queued:           make([]float64, bins),
		Delivered:        make([]float64, bins),
		Rejected:         make([]float64, bins),
		Failed:           make([]float64, bins),
		Sent:             make([]float64, bins),
		Ejected:          make([]bool, bins),
		WarmingUp:        make([]bool, bins),
		RetryAfter:       make([]bool, bins),
	}
}

// outcomeSeries returns the series that counts attempts with an outcome.
func (e *Endpoint) outcomeSeries(outcome policy.Outcome) []float64 {
	switch outcome {
	case policy.OK:
		return e.Delivered
	case policy.Overloaded, policy.UnprovenRejection:
		return e.Rejected
	default:
		return e.Failed
	}
}

// Transition is a change of an endpoint's state in the engine.
type Transition struct {
	At          time.Duration
	Destination policy.DestinationID
	Endpoint    string
	Text        string
	Outcome     string // outcomes of the endpoint's attempts in the same step; empty: none
}

// Span is an interval in which one cause blocked a message.
type Span struct {
	From, To time.Duration
	Cause    policy.BlockCause
	Endpoint string
	Until    time.Duration // when the engine expected the cause to end; math.MaxInt64: unknown
}

// Attempt is an attempt to send a message, and its outcome.
type Attempt struct {
	Number     int
	Endpoint   string
	SentAt     time.Duration
	TimeoutAt  time.Duration
	EndedAt    time.Duration // 0: not ended in the recording
	Outcome    policy.Outcome
	Latency    time.Duration
	RetryAfter time.Duration // Retry-After of the answer; 0: none
}

// Message is the history of one message.
type Message struct {
	ID              policy.MessageID
	Trace           string
	Destination     policy.DestinationID
	Class           int
	AcceptedAt      time.Duration
	TimeLeft        time.Duration // time to the deadline at acceptance
	Recovered       bool          // accepted by an earlier process
	EarlierAttempts int           // attempts by the earlier process
	Spans           []Span
	Attempts        []Attempt
	EndedAt         time.Duration // 0: not ended in the recording
	End             string        // how the message ended
	RetryAfter      time.Duration // delay that a rejection asks the client for; 0: none
}

// ended reports whether the message has ended.
func (m *Message) ended() bool { return m.EndedAt != 0 }

// Waits is the time that messages waited for each cause, in message-seconds.
type Waits map[policy.BlockCause]float64

// Sum returns the time for all causes.
func (w Waits) Sum() (sum float64) {
	for _, seconds := range w {
		sum += seconds
	}
	return sum
}

// Sorted returns the causes with a time above 0, the longest time first.
func (w Waits) Sorted() (causes []policy.BlockCause) {
	for cause, seconds := range w {
		if seconds > 0 {
			causes = append(causes, cause)
		}
	}
	slices.SortFunc(causes, func(a, b policy.BlockCause) int {
		return cmp.Or(cmp.Compare(w[b], w[a]), cmp.Compare(a, b))
	})
	return causes
}

// minShownRatio is the minimum share of the waiting time for which FormatShares lists a cause.
const minShownRatio = 0.005

// FormatShares lists the causes with their shares of the waiting time, the largest share first.
func FormatShares(w Waits) string {
	sum := w.Sum()
	if sum == 0 {
		return "nothing"
	}
	var parts []string
	for _, cause := range w.Sorted() {
		if ratio := w[cause] / sum; ratio >= minShownRatio {
			parts = append(parts, formatShare(cause, ratio))
		}
	}
	return strings.Join(parts, ", ")
}

// DestinationsByWait returns the destinations of a report, ordered by the total time that their messages waited, the
// longest first.
func DestinationsByWait(report *Report) []*Destination {
	sorted := slices.Clone(report.Destinations)
	slices.SortStableFunc(sorted, func(a, b *Destination) int {
		return cmp.Compare(b.Waits.Sum(), a.Waits.Sum())
	})
	return sorted
}
