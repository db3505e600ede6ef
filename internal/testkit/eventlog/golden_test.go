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

var update = flag.Bool("update", false, "write the golden files anew")

var allKinds = []Kind{
	Offer, Heard, Unheard, Call, Broken, Reply, Ended, Change, Told, Notice, Process, Outage, Back, Fell, Able, Trouble, Clock, Link, Belief, Fault,
}

var allWords = []string{
	CauseTimeout, CauseClosed, CauseUnsent, CauseRelay, CauseHost, OutageFailing, OutageShut, OutageSilent, OutageDown, StateReady,
	StateDraining, StateGone, StateStart, StateUp, StateTerm, StateKill, StateExit, StateHUP, StateStop, StateCont, LinkSound, LinkCut,
	LinkFaulty, StateBegin, StateEnd, Undeliverable, Deferred, string(Safe), string(Keyed), string(Unsafe),
}

// A record with every field set and every kind of event has the bytes that earlier builds wrote, and is read as the
// same.
func TestGoldenRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // its clock begins at the same time always
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
			w.Add(Event{Kind: kind, States: allWords[:1]})
		}
		var filled Event
		golden.Fill(&filled)
		filled.Kind, filled.States = Reply, allWords
		w.Add(filled)
		events, err := w.Close("cut")
		if err != nil {
			t.Fatal(err)
		}
		header.Format, header.Began = Format, began.Round(0)
		golden := golden.Check(t, *update, "record.jsonl", file.Bytes())
		gotHeader, gotEvents, err := Read(bytes.NewReader(golden))
		if err != nil || !reflect.DeepEqual(gotHeader, header) || !reflect.DeepEqual(gotEvents, events) {
			t.Errorf("%+v %+v, %v\nwant %+v %+v", gotHeader, gotEvents, err, header, events)
		}
	})
}
