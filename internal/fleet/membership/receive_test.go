package membership

import (
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/codec"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

// The time that a message was in transit is added to the age of its reports, whether the network delayed the message
// or a process was paused. The receiver measures that time with its own clock.
func TestTransitTimeCountsAsAge(t *testing.T) {
	var clock atomic.Int64
	now := func() time.Duration { return time.Duration(clock.Load()) }
	receiverNow := func() time.Duration { return now() + time.Hour }
	sender := &Node{cfg: Config{Name: "a", Incarnation: loadreport.Incarnation{Generation: 1, Boot: 1}, now: now}}
	receiver := mesh(t, &network{}, 2, func(i int, c *Config) {
		c.Peers = map[string]string{"a": "127.0.0.1:1"}
		if i == 0 {
			c.now = receiverNow
		}
	})[0]
	sender.codec = receiver.codec
	first := loadreport.Report{Name: "a", Incarnation: sender.cfg.Incarnation, Sequence: 1}
	receiver.receive(sender.encodeReports(first))
	if got, _ := receiver.Received(); len(got) > 0 {
		t.Fatal("a report was received before its sender's clock was known, so its age is unknown:", got)
	}
	pong, err := sender.codec.Encode(codec.Message{
		From:  "a",
		Boot:  1,
		Clock: now().Microseconds(),
		Pong:  &codec.Pong{Boot: receiver.cfg.Incarnation.Boot, Clock: receiverNow().Microseconds()},
	})
	if err != nil {
		t.Fatal(err)
	}
	receiver.receive(pong)
	if got, _ := receiver.Received(); len(got) != 1 {
		t.Fatalf("received %v, want the one report of the deferred message", got)
	}
	second := loadreport.Report{
		Name:        "a",
		Incarnation: sender.cfg.Incarnation,
		Sequence:    2,
		Scopes:      []loadreport.ScopeLoad{{Destination: 1, Calls: 1}},
	}
	clock.Add(int64(time.Second))
	data := sender.encodeReports(second)
	clock.Add(int64(10 * time.Second))
	receiver.receive(data)
	got, _ := receiver.Received()
	if len(got) != 1 || got[0].Sequence != 2 || got[0].Age < 9900*time.Millisecond {
		t.Errorf("received %+v, want report 2 with an age of 10 s", got)
	}
	receiver.receive([]byte("nothing that can be decoded"))
	if status := receiver.Status(); status.Unreadable != 1 {
		t.Errorf("%d unreadable messages, want 1", status.Unreadable)
	}
}
