package eventlog

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// maxLineBytes bounds a line of the file: a call has few ids, and a header some thousand names.
const maxLineBytes = 16 << 20

// errNoHeader means that a file has no complete first line.
var errNoHeader = errors.New("event log: no header")

// Read reads a record. If the file ends within a line, as after a kill, Read returns the events before that line and no
// error; the missing RunEnded event shows that the record is incomplete. An error names any other line that is invalid.
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
		return header, fmt.Errorf("event log: header: %w", err)
	}
	if header.Format != FormatVersion {
		return header, fmt.Errorf("event log: format %d, this program reads %d", header.Format, FormatVersion)
	}
	return header, nil
}

func lineError(number int, err error) error { return fmt.Errorf("event log: line %d: %w", number, err) }

// checkOrder checks that the time of an event is not before the one that precedes it in the file.
func checkOrder(events []Event, next time.Duration) error {
	if len(events) == 0 {
		return nil
	}
	if last := events[len(events)-1].At; next < last {
		return fmt.Errorf("event at %v after one at %v", next, last)
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
