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
	// maxPreallocated bounds the room that a list's announced length reserves, in entries.
	maxPreallocated = 1024
)

// ItemKind names what an Item of a batch is.
type ItemKind int

// The kinds of item.
const (
	Start ItemKind = iota // a fresh instance, with its settings and seed
	Stop                  // the instance dies
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

// Batch is what comes in at one time.
type Batch struct {
	Now    time.Duration
	Number string
	Items  []Item
}

// Reader reads batches.
type Reader struct {
	input         *bufio.Reader
	lineNumber    int
	endpointLists map[int][]policy.Endpoint
	limitFields   map[int]*limitFields
	pendingList   struct{ number, left int }
	lineBuffer    []byte
}

// limitFields names the reported values that tell of a rate limit: what remains of it, and the limit itself. An empty
// name is never reported.
type limitFields struct{ remaining, limit string }

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
func truncate(s string) string {
	if len(s) > maxQuotedLine {
		return s[:maxQuotedLine] + "..."
	}
	return s
}

// readLine returns the next line without its end. With io.EOF it returns what stands behind the last line end.
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

// parseLine takes one line of a batch; done reports that it was the last.
func (r *Reader) parseLine(f *lineFields, b *Batch, open *bool) (done bool, err error) {
	name := f.word()
	if name == "MARK" {
		return false, parseMark(f, b, open)
	}
	if !*open {
		return false, errors.New("a line outside a batch")
	}
	if (name == "HOST") != (r.pendingList.left > 0) {
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
	r.pendingList.left = f.integer()
	if r.pendingList.left < 0 {
		return errors.New("bad number of entries")
	}
	capacity := min(r.pendingList.left, maxPreallocated)
	r.endpointLists[r.pendingList.number] = make([]policy.Endpoint, 0, capacity)
	return f.end()
}

func (r *Reader) parseListEntry(f *lineFields) error {
	r.pendingList.left--
	endpoint, err := parseHost(f)
	number := r.pendingList.number
	r.endpointLists[number] = append(r.endpointLists[number], endpoint)
	return err
}

// parseStart takes the settings and the seed of a new instance.
func (r *Reader) parseStart(f *lineFields, b *Batch) error {
	item := Item{Kind: Start, Instance: f.integer()}
	item.Seed = f.unsigned()
	settings, limits, err := parseConfigure(f.rest())
	item.Settings = settings
	r.limitFields[item.Instance] = limits
	b.Items = append(b.Items, item)
	return err
}

// parseEvent fills e; known is false for an event that no decision uses.
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

// parseTargets takes an endpoint list that was sent before, whole or as changes.
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

// parseHost reads an entry of an endpoint list.
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
	if w, err := strconv.ParseFloat(f.optional(), 64); err == nil && w > 0 && !math.IsInf(w, 0) {
		endpoint.Weight = w
	}
	return endpoint, f.end()
}
