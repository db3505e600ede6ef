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

// Whatever is planned, also from within events: they run by time, and those of one time as they were planned.
func TestTheOrderIsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type mark struct {
			at time.Duration
			n  int
		}
		var e Engine
		var planned, ran []mark
		var plan func(depth int)
		plan = func(depth int) {
			m := mark{e.Now() + time.Duration(rapid.IntRange(0, 5).Draw(t, "in")), len(planned)}
			planned = append(planned, m)
			e.Schedule(m.at, func() {
				if e.Now() != m.at {
					t.Fatalf("planned for %d, ran at %d", m.at, e.Now())
				}
				ran = append(ran, m)
				if depth < 3 && rapid.Bool().Draw(t, "more") {
					plan(depth + 1)
				}
			})
		}
		for range rapid.IntRange(1, 60).Draw(t, "first") {
			plan(0)
		}
		if err := e.Run(time.Hour); err != nil {
			t.Fatal(err)
		}
		slices.SortFunc(planned, func(a, b mark) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.n, b.n)) })
		if !slices.Equal(planned, ran) || e.PendingCount() != 0 || e.Now() != time.Hour {
			t.Fatalf("planned %v, ran %v", planned, ran)
		}
	})
}

func TestAPlanThatNeverEnds(t *testing.T) {
	var e Engine
	e.SetMaxEvents(1000)
	var again func()
	again = func() { e.ScheduleAfter(0, again) }
	again()
	if err := e.Run(time.Second); !errors.Is(err, ErrTooManyEvents) || e.EventCount() != 1001 {
		t.Errorf("%v after %d events", err, e.EventCount())
	}
}

func TestStreams(t *testing.T) {
	if NewRandom(1, "a", 0).Uint64() != NewRandom(1, "a", 0).Uint64() ||
		NewRandom(1, "a", 0).Uint64() == NewRandom(1, "a", 1).Uint64() ||
		NewRandom(1, "a", 0).Uint64() == NewRandom(2, "a", 0).Uint64() {
		t.Error("a stream is not its component's")
	}
}

func BenchmarkEvent(b *testing.B) {
	for _, held := range []int{100, 10_000, 1_000_000} {
		b.Run(fmt.Sprint(held), func(b *testing.B) {
			var e Engine
			rng := NewRandom(1, "bench", held)
			for range held {
				e.Schedule(time.Duration(rng.Int64N(int64(time.Second))), func() {})
			}
			b.ReportAllocs()
			for b.Loop() {
				x := e.pop()
				e.now = x.at
				e.ScheduleAfter(time.Duration(rng.Int64N(int64(time.Second))), x.run)
			}
		})
	}
}
