package simwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	bufferSize    = 1 << 16 // bytes, of the input buffer and of the output buffer
	maxQuotedLine = 120     // bytes of a malformed line or setting that an error quotes at most
	// maxPreallocated bounds, in entries, the capacity that is allocated for a list before its entries are read.
	maxPreallocated = 1024
)

// ItemKind is the kind of an Item.
type ItemKind int

// The kinds of an Item.
const (
	Start ItemKind = iota // a new instance, with its settings and seed
	Stop                  // the instance ends
	Event                 // an event for the instance's engine
)

// String returns the kind's name.
func (k ItemKind) String() string {
	switch k {
	case Start:
		return "start"
	case Stop:
		return "stop"
	case Event:
		return "event"
	}
	return fmt.Sprintf("item(%d)", int(k))
}

// Item is one entry of a batch. It concerns one instance, which is the engine of one simulated relay.
type Item struct {
	Kind     ItemKind
	Instance int
	Settings policy.Settings // set for Start
	Seed     uint64          // set for Start
	Event    policy.Event    // set for Event
}

// Batch holds the items that the simulator sends for one point in simulated time.
type Batch struct {
	Now    time.Duration
	Number string // repeated in the reply
	Items  []Item
}

// Reader reads batches from the simulator.
type Reader struct {
	input         *bufio.Reader
	lineNumber    int
	endpointLists map[int][]policy.Endpoint // by the number in their POOL line
	limitFields   map[int]*limitFields      // by instance
	pendingList   pendingList
	lineBuffer    []byte
}

// pendingList is the endpoint list whose entries are being read.
type pendingList struct {
	number    int
	remaining int // HOST lines that are still to be read
}

// limitFields holds the names of the reported values that describe a rate limit: the remaining fraction of the limit,
// and the limit itself. A name is empty if endpoints do not report the value.
type limitFields struct {
	remaining string
	limit     string
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		input:         bufio.NewReaderSize(in, bufferSize),
		endpointLists: map[int][]policy.Endpoint{},
		limitFields:   map[int]*limitFields{},
	}
}

// Next reads one batch into b, whose items it overwrites. It returns io.EOF if the input ends between batches. If the
// input is malformed, the error gives the line number.
func (r *Reader) Next(b *Batch) error {
	b.Items = b.Items[:0]
	open := false
	for {
		text, err := r.readLine()
		switch {
		case errors.Is(err, io.EOF) && !open && text == "":
			return io.EOF
		case errors.Is(err, io.EOF):
			return fmt.Errorf("line %d: the input ends inside a batch", r.lineNumber)
		case err != nil:
			return err
		case text == "" && !open:
			continue
		}
		line := lineFields{text: text}
		done, err := r.parseLine(&line, b, &open)
		if err == nil {
			err = line.err
		}
		if err != nil {
			return fmt.Errorf("line %d: %w: %q", r.lineNumber, err, truncate(text))
		}
		if done {
			return nil
		}
	}
}

// truncate shortens a line or setting for an error text.
func truncate(line string) string {
	if len(line) > maxQuotedLine {
		return line[:maxQuotedLine] + "..."
	}
	return line
}

// readLine returns the next line without its line break. With io.EOF it returns the text after the last line break.
func (r *Reader) readLine() (string, error) {
	r.lineNumber++
	r.lineBuffer = r.lineBuffer[:0]
	for {
		part, err := r.input.ReadSlice('\n')
		r.lineBuffer = append(r.lineBuffer, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		return string(bytes.TrimRight(r.lineBuffer, "\r\n")), err
	}
}

// parseLine parses one line. done is true if the line ends the batch.
func (r *Reader) parseLine(f *lineFields, b *Batch, open *bool) (done bool, err error) {
	name := f.word()
	if name == "MARK" {
		return false, parseMark(f, b, open)
	}
	if !*open {
		return false, fmt.Errorf("%s outside a batch", name)
	}
	if (name == "HOST") != (r.pendingList.remaining > 0) {
		return false, fmt.Errorf("unexpected %s: the POOL lacks %d HOST lines", name, r.pendingList.remaining)
	}
	switch name {
	case "GO":
		return true, f.end()
	case "POOL":
		return false, r.parsePool(f)
	case "HOST":
		return false, r.parseListEntry(f)
	case "CONFIGURE":
		return false, r.parseStart(f, b)
	case "RETIRE":
		b.Items = append(b.Items, Item{Kind: Stop, Instance: f.integer()})
		return false, f.end()
	}
	item := Item{Kind: Event, Instance: f.integer()}
	limits := r.limitFields[item.Instance]
	if limits == nil {
		return false, fmt.Errorf("instance %d was never started", item.Instance)
	}
	known, err := r.parseEvent(name, f, &item.Event, limits)
	if known {
		b.Items = append(b.Items, item)
	}
	return false, err
}

// parseMark parses a MARK line, which begins a batch.
func parseMark(f *lineFields, b *Batch, open *bool) error {
	if *open {
		return errors.New("MARK inside a batch")
	}
	*open = true
	b.Now = f.milliseconds()
	b.Number = f.word()
	if _, err := strconv.ParseUint(b.Number, 10, 64); err != nil {
		return fmt.Errorf("batch number %q is not a whole number", b.Number)
	}
	return f.end()
}

// parsePool parses a POOL line, which begins an endpoint list. Each entry of the list follows on a HOST line.
func (r *Reader) parsePool(f *lineFields) error {
	r.pendingList.number = f.integer()
	r.pendingList.remaining = f.integer()
	if r.pendingList.remaining < 0 {
		return fmt.Errorf("number of entries is %d, must not be negative", r.pendingList.remaining)
	}
	capacity := min(r.pendingList.remaining, maxPreallocated)
	r.endpointLists[r.pendingList.number] = make([]policy.Endpoint, 0, capacity)
	return f.end()
}

// parseListEntry parses the next entry of the pending list.
func (r *Reader) parseListEntry(f *lineFields) error {
	r.pendingList.remaining--
	endpoint, err := parseHost(f)
	number := r.pendingList.number
	r.endpointLists[number] = append(r.endpointLists[number], endpoint)
	return err
}

// parseStart parses the settings and the seed of a new instance.
func (r *Reader) parseStart(f *lineFields, b *Batch) error {
	item := Item{Kind: Start, Instance: f.integer()}
	item.Seed = f.unsigned()
	settings, limits, err := parseConfigure(f.rest())
	item.Settings = settings
	r.limitFields[item.Instance] = limits
	b.Items = append(b.Items, item)
	return err
}

// parseEvent parses an event into e. known is false if the engine does not use events of this name.
func (r *Reader) parseEvent(name string, f *lineFields, e *policy.Event, limits *limitFields) (known bool, err error) {
	switch name {
	case "KNOCK":
		e.Kind = policy.MessageAccepted
		e.MessageID = f.messageID()
		e.Key = f.optional()
		f.integer()
		e.Tenant = f.optionalInteger()
		f.optional()
		e.Class = f.integer()
		e.TimeLeft = f.milliseconds()
		e.Destination = policy.DestinationID(f.integer())
	case "FINISHED":
		parseFinished(f, e, limits)
	case "PONG":
		e.Kind = policy.HealthChecked
		e.Endpoint = f.word()
		e.Outcome = f.outcome()
		e.Latency = f.milliseconds()
		e.LimitReport = f.limitReport(limits)
	case "TIMED_OUT_CLIENT":
		e.Kind = policy.MessageCancelled
		e.MessageID = f.messageID()
	case "TICK_DUE":
		e.Kind = policy.TimerFired
		f.unsigned()
	case "TARGETS":
		return r.parseTargets(f, e)
	case "HEADERS", "INBOX":
		return false, nil
	default:
		return false, fmt.Errorf("unknown line type %q", name)
	}
	return true, f.end()
}

func parseFinished(f *lineFields, e *policy.Event, limits *limitFields) {
	e.Kind = policy.AttemptFinished
	e.MessageID = f.messageID()
	e.Attempt = f.integer()
	e.Endpoint = f.word()
	e.Outcome = f.outcome()
	e.Latency = f.milliseconds()
	e.MessageEnded = f.boolean()
	note := f.optionalInteger()
	if e.Outcome == policy.Overloaded {
		e.RetryAfter = time.Duration(note) * time.Millisecond
	}
	e.LimitReport = f.limitReport(limits)
}

// parseTargets parses an event of the endpoint list: a snapshot or a delta, whose entries are in an earlier POOL, or a
// failed watch.
func (r *Reader) parseTargets(f *lineFields, e *policy.Event) (known bool, err error) {
	mode := f.word()
	f.unsigned()
	number := f.optionalInteger()
	switch mode {
	case "full", "cached":
		e.Kind = policy.EndpointSnapshot
	case "delta":
		e.Kind = policy.EndpointDelta
	case "failed":
		e.Kind = policy.WatchFailed
		return true, f.end()
	default:
		return false, fmt.Errorf("unknown mode %q of TARGETS", mode)
	}
	list, ok := r.endpointLists[number]
	if !ok {
		return false, fmt.Errorf("no earlier POOL has the number %d", number)
	}
	e.Endpoints = list
	return true, f.end()
}

// parseHost parses an entry of an endpoint list. A weight that is not a positive number counts as unknown.
func parseHost(f *lineFields) (policy.Endpoint, error) {
	var endpoint policy.Endpoint
	switch f.word() {
	case "in_service":
		endpoint.InService = true
	case "terminating":
	case "terminated":
		endpoint.Removed = true
	default:
		return endpoint, errors.New("unknown health of an endpoint")
	}
	endpoint.Kind = f.integer()
	endpoint.Destination = policy.DestinationID(f.integer())
	endpoint.Zone = f.integer()
	f.optional()
	endpoint.ID = f.word()
	weight, err := strconv.ParseFloat(f.optional(), 64)
	if err == nil && weight > 0 && !math.IsInf(weight, 0) {
		endpoint.Weight = weight
	}
	return endpoint, f.end()
}
