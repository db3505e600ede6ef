package membership

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

// If another process publishes under the node's own name, the node begins a later incarnation, up to three times.
// Then it suspends publishing until it has received no report of the other process for a minute.
func TestNameConflict(t *testing.T) {
	const rivalBoot = 999
	var clock atomic.Int64
	now := func() time.Duration { return time.Duration(clock.Load()) }
	var saved atomic.Uint64
	node := mesh(t, &network{}, 2, func(i int, c *Config) {
		if i != 0 {
			return
		}
		c.now = now
		c.SaveIncarnation = func(generation uint64) error {
			saved.Store(generation)
			return errors.New("disk full")
		}
	})[0]
	// The reports of the other process arrive through another member.
	forwarder := &Node{
		cfg: Config{
			Name:        memberName(1),
			Incarnation: loadreport.Incarnation{Generation: 1, Boot: rivalBoot},
			now:         now,
		},
		codec: node.codec,
	}
	node.mu.Lock()
	node.inbox.Calibrate(memberName(1), rivalBoot, 0, 0, 0)
	node.mu.Unlock()
	receiveRival := func(generation uint64, reports int) {
		node.receive(forwarder.encodeReports(rivalReports(node.cfg.Name, generation, rivalBoot, reports)...))
	}
	for i := range 3 {
		generation := uint64(10 * (i + 1))
		receiveRival(generation, 2)
		eventually(t, "a new incarnation has begun", func() bool {
			_, own := node.Received()
			return own.Generation == generation+1 ||
				saved.Load() == generation+1 && node.Status().Incarnation.Generation == generation+1
		})
		if node.Status().NameConflict {
			t.Fatalf("suspended by incarnation %d of another process", i+1)
		}
	}
	receiveRival(99, 1)
	if status := node.Status(); !status.NameConflict {
		t.Fatalf("not suspended: %+v", status)
	}
	publishOne(node, 1, 1)
	if node.Status().Queued != 0 {
		t.Error("a suspended node has queued a report")
	}
	clock.Add(int64(61 * time.Second))
	publishOne(node, 2, 1)
	if status := node.Status(); status.NameConflict || status.Queued == 0 {
		t.Errorf("still suspended: %+v", status)
	}
}

// rivalReports returns reports of another process under the member's name.
func rivalReports(member string, generation uint64, boot uint32, count int) []loadreport.Report {
	var reports []loadreport.Report
	for number := range count {
		reports = append(reports, loadreport.Report{
			Name:        member,
			Incarnation: loadreport.Incarnation{Generation: generation, Boot: boot},
			Number:      number,
			Sequence:    uint64(number + 1),
		})
	}
	return reports
}
