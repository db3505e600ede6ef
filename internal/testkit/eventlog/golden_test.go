package eventlog

import (
	"bytes"
	"flag"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var allKinds = []Kind{
	MessageSubmitted,
	SubmissionAnswered,
	SubmissionUnanswered,
	CallReceived,
	CallTruncated,
	CallAnswered,
	CallAborted,
	EndpointChanged,
	RelayNotified,
	MessageNotice,
	ProcessChanged,
	OutageStarted,
	OutageEnded,
	ServiceOverloaded,
	CapacityChanged,
	FaultChanged,
	ClockStepped,
	LinkChanged,
	PeerView,
	RunInvalid,
}

// allValues are the values of the enumerated string fields.
var allValues = []string{
	CauseTimeout,
	CauseClosed,
	CauseNotSent,
	CauseRelay,
	CauseEndpoint,
	OutageFailing,
	OutageSuspended,
	OutageSilent,
	OutageDown,
	StateReady,
	StateDraining,
	StateGone,
	StateStart,
	StateUp,
	StateTerm,
	StateKill,
	StateExit,
	StateHUP,
	StateStop,
	StateCont,
	LinkHealthy,
	LinkCut,
	LinkFaulty,
	StateBegin,
	StateEnd,
	StateUndeliverable,
	StateDeferred,
	string(Idempotent),
	string(IdempotentByKey),
	string(NonIdempotent),
}

// A record with all fields set and all kinds of event has the bytes that earlier builds wrote, and reads back
// equal.
func TestGoldenRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // in a synctest bubble the clock starts at a fixed time
		var header Header
		golden.Fill(&header)
		var file bytes.Buffer
		began := time.Now().UTC()
		w, err := NewWriter(&file, began, header)
		if err != nil {
			t.Fatal(err)
		}
		for _, kind := range allKinds {
			time.Sleep(time.Millisecond)
			w.Add(Event{Kind: kind, States: allValues[:1]})
		}
		var filled Event
		golden.Fill(&filled)
		filled.Kind, filled.States = CallAnswered, allValues
		w.Add(filled)
		events, err := w.Close("cut")
		if err != nil {
			t.Fatal(err)
		}
		header.Format, header.StartedAt = FormatVersion, began.Round(0)
		stored := golden.Check(t, *update, "record.jsonl", file.Bytes())
		gotHeader, gotEvents, err := Read(bytes.NewReader(stored))
		if err != nil || !reflect.DeepEqual(gotHeader, header) || !reflect.DeepEqual(gotEvents, events) {
			t.Errorf("%+v %+v, %v\nwant %+v %+v", gotHeader, gotEvents, err, header, events)
		}
	})
}
