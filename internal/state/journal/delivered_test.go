package journal

import (
	"errors"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// TestDeliveredMessageIsRecovered records a delivery. A later process finds the message without its body, and with the
// attempt that ran, until it is removed.
func TestDeliveredMessageIsRecovered(t *testing.T) {
	dir := t.TempDir()
	j, _, err := OpenFolder(dir, Options{Limit: 1 << 20})
	must(t, err)
	m := benchMessage(1, 5000)
	m.TraceID = "m"
	m.Deadline = time.Now().Add(time.Minute)
	must(t, j.Accept(m))
	must(t, j.RecordSends(Send{Message: m, Attempt: Attempt{Endpoint: "s", SentAt: time.Now()}}))
	j.RecordDelivered(m)
	must(t, j.Close())
	for range 2 { // what is read is written again by no process, and stays
		next, recovery, err := OpenFolder(dir, Options{Limit: 1 << 20})
		must(t, err)
		if len(recovery.Messages) != 1 {
			t.Fatalf("%d messages", len(recovery.Messages))
		}
		found := recovery.Messages[0]
		if !found.Delivered || !found.Cancelled || found.Uncertain || found.TraceID != "m" || found.Size() != 0 ||
			len(found.UncertainAttempts) != 1 {
			t.Errorf("found %+v", found)
		}
		must(t, next.Close())
	}
	j, recovery, err := OpenFolder(dir, Options{Limit: 1 << 20})
	must(t, err)
	j.Remove(recovery.Messages[0])
	must(t, j.Close())
	_, recovery, err = OpenFolder(dir, Options{Limit: 1 << 20})
	must(t, err)
	if len(recovery.Messages) != 0 {
		t.Errorf("%d messages after the removal", len(recovery.Messages))
	}
}

// TestDeliveryOnFullDisk records deliveries while there is no space for new values. The messages are removed then, and
// their space is free again.
func TestDeliveryOnFullDisk(t *testing.T) {
	j, _, err := OpenFolder(t.TempDir(), Options{Limit: 1 << 20})
	must(t, err)
	var accepted []*Message
	for id := policy.MessageID(1); ; id++ {
		m := benchMessage(id, benchBodySize)
		err := j.Accept(m)
		if errors.Is(err, ErrFull) {
			break
		}
		must(t, err)
		accepted = append(accepted, m)
	}
	for _, m := range accepted {
		j.RecordDelivered(m)
	}
	must(t, j.Flush())
	for _, m := range accepted {
		j.Remove(m)
	}
	must(t, j.Flush())
	err = ErrFull
	for tries := 0; errors.Is(err, ErrFull) && tries < 1000; tries++ { // each try runs a step of compaction
		err = j.Accept(benchMessage(1_000_000, benchBodySize))
	}
	must(t, err)
	must(t, j.Close())
}
