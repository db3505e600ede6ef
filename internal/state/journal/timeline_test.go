package journal

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cherrytrestle.example/cherrytrestle/internal/state/bootclock"
	"cherrytrestle.example/cherrytrestle/internal/state/clock"
	"cherrytrestle.example/cherrytrestle/internal/state/store/faultfs"
	"cherrytrestle.example/cherrytrestle/policy"
)

// fakeMachine is a machine whose clocks are controlled by the test.
type fakeMachine struct {
	elapsed time.Duration // since the test began
	uptime  time.Duration
	wall    time.Time
	bootID  string
}

// advance advances all clocks by d.
func (m *fakeMachine) advance(d time.Duration) {
	m.elapsed += d
	m.uptime += d
	m.wall = m.wall.Add(d)
}

// setWall changes the wall clock by step.
func (m *fakeMachine) setWall(step time.Duration) { m.wall = m.wall.Add(step) }

// reboot gives the machine a new boot ID and resets its uptime.
func (m *fakeMachine) reboot() {
	m.bootID += "'"
	m.uptime = 0
}

func (m *fakeMachine) read() bootclock.Reading {
	return bootclock.Reading{Wall: m.wall, BootID: m.bootID, Uptime: m.uptime}
}

// recordedSend holds the true time and boot of an attempt in the journal.
type recordedSend struct {
	at     time.Duration // elapsed time of the test
	bootID string
	// lost is the sum of the changes to the wall clock between the last reading before a reboot and the first reading
	// after it. No clock can measure these changes.
	lost time.Duration
}

// timelineTest runs processes one after the other on one machine and one journal.
type timelineTest struct {
	machine *fakeMachine
	fs      *faultfs.FS
	sends   []*recordedSend // one for each message, in the order of the messages
}

const testDeadline = 9 * time.Second // time from a message's attempt to its deadline

// The age of a time in the journal equals the elapsed time, over any sequence of processes, reboots and changes to
// the wall clock. The only exceptions are changes to the wall clock during a reboot, which cannot be measured.
func TestTimestampsFollowElapsedTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		test := &timelineTest{
			machine: &fakeMachine{wall: time.Unix(1e9, 0), bootID: "first", uptime: time.Minute},
			fs:      faultfs.New(),
		}
		for n := range rapid.IntRange(1, 12).Draw(t, "processes") {
			test.runProcess(t, n)
		}
	})
}

// runProcess simulates a process that opens the journal, checks the times in it, writes one message and ends.
func (c *timelineTest) runProcess(t *rapid.T, n int) {
	j, recovery, err := Open(c.fs, Options{Limit: 1 << 20, Clock: c.machine.read})
	if err != nil {
		t.Fatal(err)
	}
	c.checkMessages(t, j, recovery, time.Duration(n+1)*clock.MinStep)
	c.writeMessage(t, j, policy.MessageID(n+1))
	c.endProcess(t, j)
	c.machine.advance(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms down")) * time.Millisecond)
	sameBoot := c.machine.uptime > 0 && c.machine.bootID == j.anchor.BootID
	if sameBoot && rapid.Bool().Draw(t, "set while down") {
		c.machine.setWall(drawClockStep(t))
	}
}

// checkMessages compares the times of recovered messages with the true ones.
func (c *timelineTest) checkMessages(t *rapid.T, j *Journal, recovery *Recovery, tolerance time.Duration) {
	if len(recovery.Messages) != len(c.sends) {
		t.Fatalf("recovered %d messages, want %d", len(recovery.Messages), len(c.sends))
	}
	for i, m := range recovery.Messages {
		send := c.sends[i]
		attempt := m.UncertainAttempts[0]
		if attempt.Undated != (send.bootID != c.machine.bootID) {
			t.Fatalf("sent in boot %q, now boot %q: undated is %v", send.bootID, c.machine.bootID, attempt.Undated)
		}
		age := j.timeline.Base.Sub(attempt.SentAt)
		wantAge := c.machine.elapsed - send.at + send.lost
		if off := age - wantAge; off.Abs() > tolerance {
			t.Fatalf("sent %v ago, recovered as %v ago", wantAge, age)
		}
		if left := m.Deadline.Sub(j.timeline.Base); left != testDeadline-age {
			t.Fatalf("sent %v ago: %v left to the deadline, want %v", age, left, testDeadline-age)
		}
	}
}

// writeMessage changes the wall clock, accepts a message and records an attempt. The change must not affect times of
// the running process.
func (c *timelineTest) writeMessage(t *rapid.T, j *Journal, id policy.MessageID) {
	begin := c.machine.elapsed
	c.machine.advance(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
	c.machine.setWall(drawClockStep(t))
	now := j.timeline.Base.Add(c.machine.elapsed - begin)
	m := &Message{ID: id, Deadline: now.Add(testDeadline)}
	mustRapid(t, j.Accept(m))
	mustRapid(t, j.RecordSends(Send{m, Attempt{Endpoint: "h", SentAt: now}}))
	c.sends = append(c.sends, &recordedSend{at: c.machine.elapsed, bootID: c.machine.bootID})
	if stamp := j.Stamp(now); j.timeline.Time(stamp.UnixNano()) != now {
		t.Fatalf("stamp %v of time %v does not convert back to that time", stamp, now)
	}
}

// endProcess ends the process in one of three ways: a regular end, a kill, or a reboot of the machine.
func (c *timelineTest) endProcess(t *rapid.T, j *Journal) {
	switch rapid.IntRange(0, 2).Draw(t, "end") {
	case 0:
		mustRapid(t, j.Close())
	case 1: // killed
		mustRapid(t, j.Flush())
		mustRapid(t, j.store.Close())
	default: // rebooted
		mustRapid(t, j.Close())
		c.machine.reboot()
		lost := drawClockStep(t)
		c.machine.setWall(lost)
		for _, send := range c.sends {
			send.lost += lost
		}
	}
}

func drawClockStep(t *rapid.T) time.Duration {
	steps := []int{0, 0, -3600_000, -3000, -20, 5, 20, 3000, 3600_000}
	return time.Duration(rapid.SampledFrom(steps).Draw(t, "step ms")) * time.Millisecond
}

func mustRapid(t *rapid.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
