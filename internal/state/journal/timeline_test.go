package journal

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cherrytrestle.example/cherrytrestle/internal/state/bootclock"
	"cherrytrestle.example/cherrytrestle/internal/state/clock"
	"cherrytrestle.example/cherrytrestle/internal/state/store/faultfs"
)

// fakeMachine is clocks that tests set. real is what has truly passed.
type fakeMachine struct {
	elapsed, up time.Duration
	wall        time.Time // at real
	boot        string
}

func (m *fakeMachine) pass(d time.Duration) {
	m.elapsed, m.up, m.wall = m.elapsed+d, m.up+d, m.wall.Add(d)
}

func (m *fakeMachine) read() bootclock.Reading {
	return bootclock.Reading{Wall: m.wall, BootID: m.boot, Uptime: m.up}
}

// Over any history of processes, boots and settings of the wall clock: what a process reads of a time is as long ago as
// it truly is. Only what the wall clock is set by between the last look and a new boot shows, since nothing there
// tells.
func TestTimestampsFollowElapsedTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fakeMachine{wall: time.Unix(1e9, 0), boot: "first", up: time.Minute}
		fs := faultfs.New()
		type sent struct {
			at    time.Duration // real
			boot  string
			error time.Duration // by which a boot without a look put it off
		}
		var all []*sent
		for n := range rapid.IntRange(1, 12).Draw(t, "lives") {
			j, rec, err := Open(fs, Options{Limit: 1 << 20, Clock: m.read})
			if err != nil {
				t.Fatal(err)
			}
			if len(rec.Messages) != len(all) {
				t.Fatalf("%d messages of %d", len(rec.Messages), len(all))
			}
			base, began := j.timeline.Base, m.elapsed
			for i, x := range rec.Messages {
				if x.UncertainAttempts[0].Undated != (all[i].boot != m.boot) {
					t.Fatalf("sent on boot %q, now %q: undated %v", all[i].boot, m.boot, x.UncertainAttempts[0].Undated)
				}
				ago := base.Sub(x.UncertainAttempts[0].SentAt)
				if off := ago - (m.elapsed - all[i].at + all[i].error); off.Abs() > time.Duration(n+1)*clock.MinStep {
					t.Fatalf("sent %v ago, taken for %v", m.elapsed-all[i].at, ago)
				}
				if left := x.Deadline.Sub(base); left != 9*time.Second-ago {
					t.Fatalf("left %v, sent %v ago", left, ago)
				}
			}
			m.pass(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			m.wall = m.wall.Add(drawClockStep(t)) // while it runs: its own times do not heed that
			at := base.Add(m.elapsed - began)
			x := &Message{ID: uint32(n + 1), Deadline: at.Add(9 * time.Second)}
			mustRapid(t, j.Accept(x))
			mustRapid(t, j.RecordSends(Send{x, Attempt{Endpoint: "h", SentAt: at}}))
			all = append(all, &sent{at: m.elapsed, boot: m.boot})
			if stamp := j.Stamp(at); j.timeline.Time(stamp.UnixNano()) != at {
				t.Fatalf("stamp %v of %v", stamp, at)
			}
			switch rapid.IntRange(0, 2).Draw(t, "end") {
			case 0:
				mustRapid(t, j.Close())
			case 1: // killed
				mustRapid(t, j.Flush())
				mustRapid(t, j.store.Close())
			default: // and the machine with it
				mustRapid(t, j.Close())
				m.boot, m.up = m.boot+"'", 0
				lost := drawClockStep(t)
				m.wall = m.wall.Add(lost)
				for _, s := range all {
					s.error += lost
				}
			}
			m.pass(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms down")) * time.Millisecond)
			if m.up > 0 && rapid.Bool().Draw(t, "set while down") && m.boot == j.anchor.BootID {
				m.wall = m.wall.Add(drawClockStep(t))
			}
		}
	})
}

func drawClockStep(t *rapid.T) time.Duration {
	return time.Duration(
		rapid.SampledFrom([]int{0, 0, -3600_000, -3000, -20, 5, 20, 3000, 3600_000}).Draw(t, "step ms"),
	) * time.Millisecond
}

// An anchor that cannot be read is as none: times go by the wall clock.
func TestDecodeAnchorRejectsMalformedInput(t *testing.T) {
	whole := encodeAnchor(&clock.Anchor{BootID: "b", Uptime: 1, Stamp: 2, WallOffset: 3, Epoch: 4}, nil)
	if a := decodeAnchor(whole); a == nil ||
		*a != (clock.Anchor{BootID: "b", Uptime: 1, Stamp: 2, WallOffset: 3, Epoch: 4}) {
		t.Errorf("%+v", a)
	}
	for cut := 1; cut < len(whole); cut++ {
		if a := decodeAnchor(whole[:cut]); a != nil {
			t.Errorf("cut at %d: %+v", cut, a)
		}
	}
	if decodeAnchor(append(whole, 0)) != nil {
		t.Error("bytes behind it are taken")
	}
}

func mustRapid(t *rapid.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
