package membership

import (
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/codec"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

// A message that was held up by the network, or by a process that was stopped, gets its true age from the receiver's
// own clock.
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
		t.Fatal("received from a member whose clock is not known, who may have sent it at any time:", got)
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
		t.Fatal("a deferred message is lost:", got)
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
		t.Errorf("%+v", got)
	}
	receiver.receive([]byte("nothing that can be decoded"))
	if status := receiver.Status(); status.Unreadable != 1 {
		t.Error(status.Unreadable)
	}
}
