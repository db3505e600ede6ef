// Package record holds what was seen in a rehearsal: one header that says what was to be kept to, and the events in
// the order in which they happened, all on one monotonic clock. It is what package judge judges and what is kept on
// disk, one JSON object a line, so that a verdict can be had again long after the run.
package eventlog

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// FormatVersion is the version of the file's form. A reader takes no other.
const FormatVersion = 1

// maxLineBytes bounds a line of the file: a call carries few ids, and a header some thousand names.
const maxLineBytes = 16 << 20

// Effect says what a repeat of a message of a class may do, in the words of the operators' brief.
type Effect string

// The three effects.
const (
	Idempotent      Effect = "safe"
	IdempotentByKey Effect = "keyed"
	NonIdempotent   Effect = "unsafe"
)

// Class is a class of messages.
type Class struct {
	Name             string        `json:"name"`
	Effect           Effect        `json:"effect"`
	DedupAcrossZones bool          `json:"group_all,omitempty"` // keyed: every host of the destination drops repeats, else those of a zone
	DedupWindow      time.Duration `json:"window,omitempty"`    // keyed: for so long
	Ordered          bool          `json:"ordered,omitempty"`
	LatencyObjective time.Duration `json:"aim"`
	Deadline         time.Duration `json:"give_up"`
	Weight           float64       `json:"worth"`
	LateWeightRatio  float64       `json:"late_worth"` // share of the worth that is left at Deadline
}

// Customer is a customer and the rate of messages, a second, that it has a share for; 0: no bound.
type Customer struct {
	Name      string  `json:"name"`
	RateShare float64 `json:"quota,omitempty"`
}

// Rules are the figures that the rules are judged by.
type Rules struct {
	DrainGrace           time.Duration `json:"drain_grace"`
	OverloadFactor       float64       `json:"fall_multiple"`
	OverloadWindow       time.Duration `json:"fall_window"`
	OrderingPause        time.Duration `json:"order_pause,omitempty"`
	DuplicatesAllowed    bool          `json:"may_duplicate"`
	OverShareWeightRatio float64       `json:"over_share_worth"`
}

// Header says what a rehearsal was.
type Header struct {
	Format     int           `json:"format"`
	Scenario   string        `json:"scenario"`
	Seed       uint64        `json:"seed"`
	PlanDigest string        `json:"plan"`  // digest of the plan of events
	StartedAt  time.Time     `json:"began"` // wall time of event time 0; nothing is judged by it
	Duration   time.Duration `json:"length"`
	Relays     []string      `json:"relays"`
	Rules      Rules         `json:"rules"`
	Classes    []Class       `json:"classes"`
	Customers  []Customer    `json:"customers"`
}

// Kind names what an event tells.
type Kind string

// The kinds of event, with the fields that each fills besides At and Kind.
const (
	// Offer: a client is about to write a request. ID, Origin, Relay, Class, Customer, Dest, Order, For (time left),
	// Late (against the plan).
	MessageSubmitted Kind = "offer"
	// Heard: the client has an answer. ID, Relay, Status, Wait (advice).
	SubmissionAnswered Kind = "heard"
	// Unheard: the client has none. ID, Relay, Cause: see the Cause constants.
	SubmissionUnanswered Kind = "unheard"
	// Call: the last byte of a call has come to a host. Call, Relay, Host, IDs, First, Dest, Weight.
	CallReceived Kind = "call"
	// Broken: a call ended before its last byte had come. Call, Relay, Host, First.
	CallTruncated Kind = "broken"
	// Reply: a host is about to write an answer. Call, Relay, Host, Status, Wait, States (of a bundle, with status
	// 200; in the order of the call's IDs).
	CallAnswered Kind = "reply"
	// Ended: a call's connection ended before an answer. Call, Relay, Host, Cause (CauseRelay or CauseHost).
	CallAborted Kind = "ended"
	// Change: the platform changed an entry of its list. Host, Dest, Zone, State.
	EndpointChanged Kind = "change"
	// Told: a relay was told of it. Relay, Host, State, Dest.
	RelayNotified Kind = "told"
	// Notice: a relay told the platform how a message ended. Relay, ID, State (undeliverable or deferred), Wait.
	MessageNotice Kind = "notice"
	// Process: something happened to a relay's process. Relay, State (see the State constants), Status, Cause.
	ProcessChanged Kind = "process"
	// Outage: a place is out of service for its callers. Place, Hosts, Cause.
	OutageStarted Kind = "outage"
	// Back: a place is back after an outage, cold. Place, Hosts, Rate (calls a second that it can do warm), Share
	// (of it, at first), For (until it is warm).
	OutageEnded Kind = "back"
	// Fell: a place was pushed over. Place, Hosts.
	ServiceOverloaded Kind = "fell"
	// Able: what a host can do from here on. Host, Dest, Rate (calls a second), Share at first, For until whole.
	CapacityChanged Kind = "able"
	// Trouble: a trouble of the scenario begins or ends. Name, State (begin or end), Cause (what it does).
	FaultChanged Kind = "trouble"
	// Clock: the machine's wall clock was stepped. For: by how much.
	ClockStepped Kind = "clock"
	// Link: what becomes of what one relay tells another. Relay, Name (the other), State (sound, cut, or faulty),
	// Cause.
	LinkChanged Kind = "link"
	// Belief: what a relay says that it holds of another. Relay, Name (the other), State (as it sees it), For (how old
	// the youngest is that it heard, below 0: nothing), Status (the other's incarnation).
	PeerView Kind = "belief"
	// Fault: something that voids the run, such as a call with a message that nobody handed in. Relay, Host, ID, Cause.
	RunInvalid Kind = "fault"
	// End: the last event of a whole record. Cause, if it was cut short.
	RunEnded Kind = "end"
)

// Why a client has no answer, and which side ended a connection.
const (
	CauseTimeout = "timeout" // it waited as long as clients do, and left
	CauseClosed  = "closed"  // the relay ended the connection though the request was written whole
	CauseNotSent = "unsent"  // no connection came up, or it broke before the request's last byte
	CauseRelay   = "relay"
	CauseHost    = "host"
)

// Why a place is out of service.
const (
	OutageFailing   = "failing"
	OutageSuspended = "shut"
	OutageSilent    = "silent"
	OutageDown      = "down" // connections do not come up, which leaves no event at its hosts
)

// States of entries of the list, of processes and of troubles.
const (
	StateReady    = "ready"
	StateDraining = "draining"
	StateGone     = "gone"

	StateStart = "start"
	StateUp    = "up"   // it answered that it is ready
	StateTerm  = "term" // SIGTERM was sent
	StateKill  = "kill" // SIGKILL was sent
	StateExit  = "exit" // the process has ended
	StateHUP   = "hup"
	StateStop  = "stop" // SIGSTOP was sent
	StateCont  = "cont" // SIGCONT was sent

	LinkHealthy = "sound"
	LinkCut     = "cut"
	LinkFaulty  = "faulty" // something passes

	StateBegin = "begin"
	StateEnd   = "end"

	StateUndeliverable = "undeliverable"
	StateDeferred      = "deferred"
)

// Event is one thing that was seen. Which fields are filled is said at each Kind.
type Event struct {
	At   time.Duration `json:"at"` // since the run began; nanoseconds in the file, as are all durations
	Kind Kind          `json:"k"`

	ID          string        `json:"id,omitempty"`
	FirstID     string        `json:"of,omitempty"` // id under which the message was first handed in
	Relay       string        `json:"relay,omitempty"`
	Host        string        `json:"host,omitempty"`
	Hosts       []string      `json:"hosts,omitempty"`
	Place       string        `json:"place,omitempty"` // what is out or cold as one: a destination, or a route that stands apart
	Destination int           `json:"dest,omitempty"`
	Zone        string        `json:"zone,omitempty"`
	Class       int           `json:"class,omitempty"`
	Customer    int           `json:"cust,omitempty"`
	OrderingKey string        `json:"order,omitempty"`
	Call        uint64        `json:"call,omitempty"`
	IDs         []string      `json:"ids,omitempty"`
	FirstByteAt time.Duration `json:"first,omitempty"` // when a call's first byte came
	Weight      float64       `json:"weight,omitempty"`
	Status      int           `json:"status,omitempty"`
	States      []string      `json:"states,omitempty"`
	State       string        `json:"state,omitempty"`
	RetryAfter  time.Duration `json:"wait,omitempty"`
	For         time.Duration `json:"for,omitempty"`
	Delay       time.Duration `json:"late,omitempty"`
	Rate        float64       `json:"rate,omitempty"`
	Share       float64       `json:"share,omitempty"`
	Name        string        `json:"name,omitempty"`
	Cause       string        `json:"cause,omitempty"`
}

// Writer records events as they happen. It is safe for concurrent use, and its events are in order.
type Writer struct {
	startedAt time.Time

	mu        sync.Mutex
	buf       *bufio.Writer
	encoder   *json.Encoder
	events    []Event
	maxEvents int
	err       error
	closed    bool
}

// MaxEvents bounds the events of a run, so that a runaway relay ends a rehearsal and not the machine.
const MaxEvents = 8 << 20

// ErrTooManyEvents tells that a run had more than MaxEvents events.
var ErrTooManyEvents = errors.New("record: too many events")

// NewWriter begins a record in w. began is event time 0, and must carry a monotonic reading.
func NewWriter(w io.Writer, began time.Time, h Header) (*Writer, error) {
	h.Format, h.StartedAt = FormatVersion, began.Round(0)
	buf := bufio.NewWriterSize(w, 256<<10)
	r := &Writer{startedAt: began, buf: buf, encoder: json.NewEncoder(buf), maxEvents: MaxEvents}
	if err := r.encoder.Encode(h); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return r, nil
}

// Now is the time since the run began.
func (w *Writer) Now() time.Duration { return time.Since(w.startedAt) }

// Add records an event that happens now, and returns its time. After Close it does nothing: what stand-ins see while
// they are taken down is no part of the run.
func (w *Writer) Add(e Event) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return w.Now()
	}
	e.At = time.Since(w.startedAt) // under the lock: the file is in order
	if len(w.events) >= w.maxEvents {
		w.err = ErrTooManyEvents
		return e.At
	}
	w.events = append(w.events, e)
	if err := w.encoder.Encode(e); err != nil && w.err == nil {
		w.err = fmt.Errorf("record: %w", err)
	}
	return e.At
}

// Snapshot returns the events so far.
func (w *Writer) Snapshot() []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.events[:len(w.events):len(w.events)]
}

// Flush writes what is buffered, so that a run that is cut short leaves what it saw.
func (w *Writer) Flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.flush()
}

func (w *Writer) flush() error {
	if err := w.buf.Flush(); err != nil && w.err == nil {
		w.err = fmt.Errorf("record: %w", err)
	}
	return w.err
}

// Close ends the record with an End event and returns all events. cause says what cut it short, "" if nothing did.
func (w *Writer) Close(cause string) ([]Event, error) {
	w.Add(Event{Kind: RunEnded, Cause: cause})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	return w.events, w.flush()
}

// Read reads a record. Where the file ends in mid-line, as after a kill, it returns what stands before that and no
// error: the missing End event tells. Any other line that cannot be read is an error that names it.
func Read(r io.Reader) (Header, []Event, error) {
	var h Header
	var events []Event
	lines := bufio.NewReaderSize(r, 256<<10)
	for n := 1; ; n++ {
		line, err := readLine(lines)
		switch {
		case err == io.EOF && n == 1:
			return h, nil, errors.New("record: no header")
		case err == io.EOF:
			return h, events, nil // a torn last line is left out
		case err != nil:
			return h, nil, fmt.Errorf("record: line %d: %w", n, err)
		}
		if n == 1 {
			if err := json.Unmarshal(line, &h); err != nil {
				return h, nil, fmt.Errorf("record: header: %w", err)
			}
			if h.Format != FormatVersion {
				return h, nil, fmt.Errorf("record: format %d, this program reads %d", h.Format, FormatVersion)
			}
			continue
		}
		var e Event
		if err := json.Unmarshal(line, &e); err != nil {
			return h, nil, fmt.Errorf("record: line %d: %w", n, err)
		}
		if len(events) > 0 && e.At < events[len(events)-1].At {
			return h, nil, fmt.Errorf("record: line %d: event at %v after one at %v", n, e.At, events[len(events)-1].At)
		}
		if len(events) >= MaxEvents {
			return h, nil, ErrTooManyEvents
		}
		events = append(events, e)
	}
}

// readLine returns a whole line; io.EOF if there is none more, or only a part.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return line, nil
		case err != bufio.ErrBufferFull:
			return nil, err
		case len(line) > maxLineBytes:
			return nil, bufio.ErrTooLong
		}
	}
}
