package engine

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// scheduledEvent holds the time for which the property test scheduled an event, and the event's number in the order
// of scheduling.
type scheduledEvent struct {
	at       time.Duration
	sequence int
}

// TestEventsRunInATotalOrder: events run in the order of their times, and events of the same time in the order of
// scheduling, even if a running event schedules others.
func TestEventsRunInATotalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Engine
		var scheduled, ran []scheduledEvent
		var schedule func(depth int)
		schedule = func(depth int) {
			added := scheduledEvent{
				at:       e.Now() + time.Duration(rapid.IntRange(0, 5).Draw(t, "delay")),
				sequence: len(scheduled),
			}
			scheduled = append(scheduled, added)
			e.Schedule(added.at, func() {
				if e.Now() != added.at {
					t.Fatalf("scheduled for %d, ran at %d", added.at, e.Now())
				}
				ran = append(ran, added)
				if depth < 3 && rapid.Bool().Draw(t, "schedules another") {
					schedule(depth + 1)
				}
			})
		}
		for range rapid.IntRange(1, 60).Draw(t, "initial events") {
			schedule(0)
		}
		if err := e.Run(time.Hour); err != nil {
			t.Fatal(err)
		}
		slices.SortFunc(scheduled, func(a, b scheduledEvent) int {
			return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence))
		})
		if !slices.Equal(scheduled, ran) || e.PendingCount() != 0 || e.Now() != time.Hour {
			t.Fatalf("scheduled %v, ran %v", scheduled, ran)
		}
	})
}

func TestRunStopsAtMaxEvents(t *testing.T) {
	var e Engine
	e.SetMaxEvents(1000)
	var reschedule func()
	reschedule = func() { e.ScheduleAfter(0, reschedule) }
	reschedule()
	if err := e.Run(time.Second); !errors.Is(err, ErrTooManyEvents) || e.EventCount() != 1001 {
		t.Errorf("error %v after %d events, want %v after 1001", err, e.EventCount(), ErrTooManyEvents)
	}
}

func TestRandomGeneratorsAreIndependent(t *testing.T) {
	firstDraw := NewRandom(1, "a", 0).Uint64()
	if again := NewRandom(1, "a", 0).Uint64(); again != firstDraw {
		t.Errorf("the same seed and component draw %d, then %d", firstDraw, again)
	}
	if NewRandom(1, "a", 1).Uint64() == firstDraw {
		t.Error("two components draw the same number")
	}
	if NewRandom(2, "a", 0).Uint64() == firstDraw {
		t.Error("two seeds draw the same number")
	}
}

func BenchmarkEvent(b *testing.B) {
	for _, pending := range []int{100, 10_000, 1_000_000} {
		b.Run(fmt.Sprint(pending), func(b *testing.B) {
			var e Engine
			random := NewRandom(1, "bench", pending)
			for range pending {
				e.Schedule(time.Duration(random.Int64N(int64(time.Second))), func() {})
			}
			b.ReportAllocs()
			for b.Loop() {
				next := e.pending.pop()
				e.now = next.at
				e.ScheduleAfter(time.Duration(random.Int64N(int64(time.Second))), next.run)
			}
		})
	}
}
