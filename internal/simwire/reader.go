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
	bufferSize    = 1 << 16 // bytes, of input and output
	maxQuotedLine = 120     // characters of a malformed line in its error
	// maxPreallocated bounds the capacity that is reserved for a list by its announced length, in entries.
	maxPreallocated = 1024
)

// ItemKind is the kind of an Item.
type ItemKind int

// The kinds of item.
const (
	Start ItemKind = iota // a new instance, with its settings and seed
	Stop                  // the instance ends
	Event                 // something that the instance observes
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

// Item is one event of a batch, for one instance.
type Item struct {
	Kind     ItemKind
	Instance int
	Settings policy.Settings // Start
	Seed     uint64          // Start
	Event    policy.Event    // Event
}

// Batch is the items that the simulator sends for one point in time.
type Batch struct {
	Now    time.Duration
	Number string
	Items  []Item
}

// Reader reads batches.
type Reader struct {
	input         *bufio.Reader
	lineNumber    int
	endpointLists map[int][]policy.Endpoint // by the number of their POOL line
	limitFields   map[int]*limitFields      // by instance
	pendingList   pendingList
	lineBuffer    []byte
}

// pendingList is the endpoint list whose entries are being read.
type pendingList struct {
	number    int
	remaining int // entries to be read
}

// limitFields are the names of the reported values that describe a rate limit: what remains of it, and the limit
// itself. An empty name matches no value.
type limitFields struct {
	remaining string
	limit     string
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		input:         bufio.NewReaderSize(in, bufferSize),
		endpointLists: map[int][]policy.Endpoint{},
		limitFields:   map[int]*limitFields{},
	}
}

// Next reads one batch into b, whose items it overwrites. It returns io.EOF when the input ends between batches, and
// an error that names the line for anything malformed.
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

// truncate shortens a line for an error text.
func truncate(line string) string {
	if len(line) > maxQuotedLine {
		return line[:maxQuotedLine] + "..."
	}
	return line
}

// readLine returns the next line without its end. With io.EOF it returns the text after the last line end.
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

// parseLine parses one line of a batch; done reports that it was the last.
func (r *Reader) parseLine(f *lineFields, b *Batch, open *bool) (done bool, err error) {
	name := f.word()
	if name == "MARK" {
		return false, parseMark(f, b, open)
	}
	if !*open {
		return false, errors.New("a line outside a batch")
	}
	if (name == "HOST") != (r.pendingList.remaining > 0) {
		return false, errors.New("POOL and its HOST lines do not match")
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
		return false, errors.New("no such instance")
	}
	known, err := r.parseEvent(name, f, &item.Event, limits)
	if known {
		b.Items = append(b.Items, item)
	}
	return false, err
}

// parseMark begins a batch.
func parseMark(f *lineFields, b *Batch, open *bool) error {
	if *open {
		return errors.New("MARK inside a batch")
	}
	*open = true
	b.Now = f.milliseconds()
	b.Number = f.word()
	if _, err := strconv.ParseUint(b.Number, 10, 64); err != nil {
		return errors.New("bad batch number")
	}
	return f.end()
}

// parsePool begins an endpoint list, whose entries follow one a line.
func (r *Reader) parsePool(f *lineFields) error {
	r.pendingList.number = f.integer()
	r.pendingList.remaining = f.integer()
	if r.pendingList.remaining < 0 {
		return errors.New("bad number of entries")
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

// parseEvent parses an event into e. known is false for events that the engine does not use.
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
		return false, errors.New("unknown message")
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

// parseTargets parses an event that refers to an earlier list: an endpoint snapshot, a delta or a failed watch.
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
		return false, errors.New("unknown mode")
	}
	list, ok := r.endpointLists[number]
	if !ok {
		return false, errors.New("no such POOL")
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
		return endpoint, errors.New("unknown health")
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
