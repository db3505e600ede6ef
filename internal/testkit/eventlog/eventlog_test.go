package eventlog

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"
)

// write records the events that add passes to the Writer, and returns the file and all events of the record.
func write(t *testing.T, add func(*Writer)) (*bytes.Buffer, []Event) {
	t.Helper()
	var file bytes.Buffer
	header := Header{Scenario: "s", Seed: 7, Classes: []Class{{Name: "order", Effect: IdempotentByKey}}}
	w, err := NewWriter(&file, time.Now(), header)
	if err != nil {
		t.Fatal(err)
	}
	add(w)
	events, err := w.Close("")
	if err != nil {
		t.Fatal(err)
	}
	return &file, events
}

func TestReadReturnsWhatWasWritten(t *testing.T) {
	file, events := write(t, func(w *Writer) {
		w.Add(Event{Kind: MessageSubmitted, ID: "a", Duration: time.Second})
		w.Add(Event{Kind: CallReceived, Call: 3, IDs: []string{"a", "b"}, FirstByteAt: 5})
	})
	header, got, err := Read(file)
	if err != nil || header.Scenario != "s" || header.Format != FormatVersion || !reflect.DeepEqual(got, events) {
		t.Errorf("%+v %+v, %v; want %+v", header, got, err, events)
	}
	if last := got[len(got)-1]; last.Kind != RunEnded {
		t.Errorf("ends with %v", last)
	}
}

// Concurrent writers keep the file in the order of the event times, on which the checker relies.
func TestConcurrentWritersKeepOrder(t *testing.T) {
	file, events := write(t, func(w *Writer) {
		var writers sync.WaitGroup
		for range 8 {
			writers.Go(func() {
				for range 200 {
					w.Add(Event{Kind: RelayNotified})
				}
			})
		}
		writers.Wait()
	})
	if _, got, err := Read(file); err != nil || len(got) != 1601 || len(events) != 1601 {
		t.Errorf("%d events, %v", len(got), err)
	}
}

// The file of a run that was killed may end at any byte. Read returns the events of all complete lines.
func TestReadOfATruncatedFile(t *testing.T) {
	file, events := write(t, func(w *Writer) {
		for range 3 {
			w.Add(Event{Kind: MessageNotice, ID: "x"})
		}
	})
	data := file.Bytes()
	header := bytes.IndexByte(data, '\n') + 1
	for n := range len(data) + 1 {
		_, got, err := Read(bytes.NewReader(data[:n]))
		if n < header {
			if err == nil {
				t.Fatalf("no error for %d bytes, not a complete header", n)
			}
			continue
		}
		if want := bytes.Count(data[header:n], []byte("\n")); err != nil || len(got) != want ||
			!reflect.DeepEqual(got, append([]Event(nil), events[:want]...)) {
			t.Fatalf("%d bytes: %d events, %v; want %d", n, len(got), err, want)
		}
	}
}

func TestReadNamesInvalidLines(t *testing.T) {
	file, _ := write(t, func(w *Writer) { w.Add(Event{Kind: RelayNotified}) })
	good := file.String()
	header, rest, _ := strings.Cut(good, "\n")
	cases := []struct{ name, text, want string }{
		{"empty file", "", "no header"},
		{"header without a format", "{}\n", "format 0"},
		{"header that is not JSON", "nonsense\n", "header"},
		{"event that is not JSON", header + "\n{\"at\":1}\n{\"at\":\n" + rest, "line 3"},
		{"events out of order", header + "\n{\"at\":9}\n{\"at\":8}\n", "line 3: event at 8ns follows an event at 9ns"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, _, err := Read(strings.NewReader(c.text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%.40q: %v, want %q", c.text, err, c.want)
			}
		})
	}
}

func TestEventsOfARunAreBounded(t *testing.T) {
	var file bytes.Buffer
	w, err := NewWriter(&file, time.Now(), Header{})
	if err != nil {
		t.Fatal(err)
	}
	w.maxEvents = 3
	for range 5 {
		w.Add(Event{Kind: RelayNotified})
	}
	if events, err := w.Close(""); !errors.Is(err, ErrTooManyEvents) || len(events) != 3 {
		t.Errorf("%d events, %v", len(events), err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte("{\"format\":1}\n{\"at\":1,\"k\":\"call\",\"ids\":[\"a\"]}\n"))
	f.Add([]byte("{\"format\":1}\n{\"at\":1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, events, err := Read(bytes.NewReader(data))
		if err == nil && h.Format != FormatVersion {
			t.Error("a header of another format")
		}
		for i := 1; i < len(events); i++ {
			if events[i].At < events[i-1].At {
				t.Error("out of order")
			}
		}
	})
}
