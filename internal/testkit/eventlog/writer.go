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

// MaxEvents is the greatest number of events in a run. It stops a rehearsal in which a relay sends endlessly before
// the events exhaust the machine's memory.
const MaxEvents = 8 << 20

// bufferBytes is the size of the buffers between a record and its file.
const bufferBytes = 256 << 10

// ErrTooManyEvents means that a run had more than MaxEvents events.
var ErrTooManyEvents = errors.New("event log: too many events")

// Writer records events as they happen, in the order of their times. It is safe for concurrent use.
type Writer struct {
	startedAt time.Time

	mu        sync.Mutex
	buf       *bufio.Writer
	encoder   *json.Encoder
	events    []Event
	maxEvents int
	err       error // ErrTooManyEvents, or the first write error
	closed    bool
}

// NewWriter writes the header of a record to w, and returns a Writer for the events. startedAt is event time 0 and
// must have a monotonic clock reading.
func NewWriter(w io.Writer, startedAt time.Time, header Header) (*Writer, error) {
	header.Format = FormatVersion
	header.StartedAt = startedAt.Round(0)
	buf := bufio.NewWriterSize(w, bufferBytes)
	writer := &Writer{startedAt: startedAt, buf: buf, encoder: json.NewEncoder(buf), maxEvents: MaxEvents}
	if err := writer.encoder.Encode(header); err != nil {
		return nil, fmt.Errorf("event log: %w", err)
	}
	return writer, nil
}

// Now returns the time since the run began.
func (w *Writer) Now() time.Duration { return time.Since(w.startedAt) }

// Add records an event at the current time, and returns that time. After Close it records nothing: events that the
// fakes observe while they shut down are not part of the run.
func (w *Writer) Add(e Event) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return w.Now()
	}
	e.At = w.Now() // read under the lock, so that the times of the events do not decrease
	if len(w.events) >= w.maxEvents {
		w.err = ErrTooManyEvents
		return e.At
	}
	w.events = append(w.events, e)
	if err := w.encoder.Encode(e); err != nil && w.err == nil {
		w.err = fmt.Errorf("event log: %w", err)
	}
	return e.At
}

// Snapshot returns the events so far.
func (w *Writer) Snapshot() []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.events[:len(w.events):len(w.events)]
}

// Flush writes the buffered events, so that the file contains them even if the run is cut short.
func (w *Writer) Flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.flush()
}

func (w *Writer) flush() error {
	if err := w.buf.Flush(); err != nil && w.err == nil {
		w.err = fmt.Errorf("event log: %w", err)
	}
	return w.err
}

// Close ends the record with a RunEnded event and returns all events. cause says what cut the run short, and is ""
// for a complete run.
func (w *Writer) Close(cause string) ([]Event, error) {
	w.Add(Event{Kind: RunEnded, Cause: cause})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	return w.events, w.flush()
}
