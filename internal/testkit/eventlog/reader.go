package eventlog

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// maxLineBytes limits the length of a line. Valid lines are far shorter: a call has few ids, and a header some
// thousand names.
const maxLineBytes = 16 << 20

// errNoHeader means that a file has no complete first line.
var errNoHeader = errors.New("event log: no header: the file has no complete first line")

// Read reads a record. If the file ends within a line, as after its writer was killed, Read returns the events
// before that line and no error. The record then has no RunEnded event, which shows that it is incomplete. For any
// other invalid line Read returns an error with the line number.
func Read(r io.Reader) (Header, []Event, error) {
	lines := bufio.NewReaderSize(r, bufferBytes)
	header, err := readHeader(lines)
	if err != nil {
		return header, nil, err
	}
	var events []Event
	for number := 2; ; number++ {
		line, err := readLine(lines)
		if errors.Is(err, io.EOF) {
			return header, events, nil
		}
		if err != nil {
			return header, nil, lineError(number, err)
		}
		var event Event
		if err := json.Unmarshal(line, &event); err != nil {
			return header, nil, lineError(number, err)
		}
		if err := checkOrder(events, event.At); err != nil {
			return header, nil, lineError(number, err)
		}
		if len(events) >= MaxEvents {
			return header, nil, ErrTooManyEvents
		}
		events = append(events, event)
	}
}

func readHeader(lines *bufio.Reader) (header Header, err error) {
	line, err := readLine(lines)
	if errors.Is(err, io.EOF) {
		return header, errNoHeader
	}
	if err != nil {
		return header, lineError(1, err)
	}
	if err := json.Unmarshal(line, &header); err != nil {
		return header, fmt.Errorf("event log: invalid header: %w", err)
	}
	if header.Format != FormatVersion {
		return header, fmt.Errorf("event log: format %d is not supported, only %d", header.Format, FormatVersion)
	}
	return header, nil
}

func lineError(number int, err error) error { return fmt.Errorf("event log: line %d: %w", number, err) }

// checkOrder checks that the time of the next event is not before that of the last event so far.
func checkOrder(events []Event, next time.Duration) error {
	if len(events) == 0 {
		return nil
	}
	if last := events[len(events)-1].At; next < last {
		return fmt.Errorf("event at %v follows an event at %v", next, last)
	}
	return nil
}

// readLine returns the next complete line, or io.EOF if there is none.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return line, nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(line) > maxLineBytes:
			return nil, bufio.ErrTooLong
		}
	}
}
