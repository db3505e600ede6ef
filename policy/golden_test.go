package policy

import (
	"flag"
	"fmt"
	"reflect"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "write the golden files anew")

const goldenSnapshot = "sender.snapshot"

func goldenSettings() Settings {
	return Settings{
		Classes: []Class{
			{Effect: Safe, Aim: time.Second, GiveUp: 16 * time.Second, Value: 1},
			{Effect: Keyed, GroupAll: true, Window: 10 * time.Second, Ordered: true, Aim: 2 * time.Second, GiveUp: 16 * time.Second, Value: 3},
			{Effect: Unsafe, Aim: 3 * time.Second, GiveUp: 16 * time.Second, Value: 2},
		},
		Kinds: []Kind{{PerCall: 1}, {PerCall: 2, Separate: true}}, Customers: []Customer{{Quota: 50}}, Carriage: []float64{0, 0.5},
		Senders: 3, Slots: 30, MaxHeld: 100, MaxAttempts: 8, ColdShare: 0.2, WarmWithin: 14 * time.Second, OverloadFactor: 2,
		OverloadWindow: 3 * time.Second, OrderPause: 500 * time.Millisecond,
	}
}

// goldenSender is a Sender in mid-life: calls are out, messages wait, and hosts are paced, skipped, or to be left alone.
func goldenSender(t *testing.T) *Sender {
	t.Helper()
	s, err := New(goldenSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	list := Event{Kind: ListWhole}
	for i := range 6 {
		list.List = append(list.List, Listing{Route: fmt.Sprint("s-", i), Destination: 1 + i/2, Kind: i / 4, Zone: i % 2, Weight: 20, InService: true})
	}
	at := time.Second
	s.Step(at, []Event{list})
	probe := func(route string, outcome Outcome, wait time.Duration) Event {
		return Event{Kind: Probed, Route: route, Outcome: outcome, Wait: wait, Took: 20 * time.Millisecond, Report: Report{Told: true, Left: 0.5, Limit: 30}}
	}
	at += time.Second
	s.Step(at, []Event{probe("s-0", OK, 0), probe("s-4", OK, 0), probe("s-2", Error, 0), probe("s-2", Error, 0), probe("s-2", Error, 0)})
	taken := func(id uint32) Event {
		return Event{Kind: Taken, ID: id, Key: fmt.Sprint("key ", id%2), Class: int(id % 3), Destination: 1 + int(id%3), Left: 10 * time.Second}
	}
	var sent []Action
	for id := range uint32(12) {
		at += 10 * time.Millisecond
		e := taken(id + 1)
		if id == 11 {
			e.Resumed = &Resumed{Attempts: 1, Ran: true, RanAgo: time.Second, RanZone: 1}
		}
		for _, a := range s.Step(at, []Event{e}) {
			if a.Kind == Send {
				sent = append(sent, a)
			}
		}
	}
	for i, outcome := range []Outcome{Full, Timeout, ConnectFailed, OK} {
		a := sent[i]
		e := Event{Kind: Finished, ID: a.ID, Route: a.Route, Outcome: outcome, Took: 30 * time.Millisecond, Ended: outcome == OK}
		at += 10 * time.Millisecond
		s.Step(at, []Event{e})
	}
	at += 10 * time.Millisecond
	s.Step(at, []Event{probe("s-5", Full, 2*time.Second), {Kind: Rights, Destination: 1, Share: 0.5, Calls: 2, Left: time.Second}})
	return s
}

// A Sender that another build wrote is restored, and written again byte by byte. How it came about is not checked here: decisions
// may change where the form of the state does not.
func TestGoldenSnapshot(t *testing.T) {
	if *update {
		golden.Write(t, goldenSnapshot, goldenSender(t).Snapshot(nil))
	}
	s, err := Restore(goldenSettings(), golden.Read(t, goldenSnapshot))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, false, goldenSnapshot, s.Snapshot(nil))
	type content struct{ messages, out, waiting, paced, down, cold, turns int }
	got := content{messages: len(s.msgs), out: s.slots, turns: len(s.turns)}
	views, _ := s.Views()
	for _, v := range views {
		if v.Wait > s.now {
			got.waiting++
		}
		if v.Pace > 0 {
			got.paced++
		}
		if v.Down {
			got.down++
		}
		if v.Cold {
			got.cold++
		}
	}
	if want := (content{messages: 11, out: 6, waiting: 1, paced: 4, down: 1, cold: 2, turns: 2}); !reflect.DeepEqual(got, want) {
		t.Errorf("restored as %+v, want %+v", got, want)
	}
}
