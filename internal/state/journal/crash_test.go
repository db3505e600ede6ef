package journal

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/internal/state/store/faultfs"
	"cherrytrestle.example/cherrytrestle/policy"
)

// crashModel makes random changes to a journal and tracks what the journal must still hold after a crash.
type crashModel struct {
	rng        *rand.Rand
	unfinished map[policy.MessageID]bool         // messages that were accepted and not removed
	removed    map[policy.MessageID]bool         // messages whose removal was written
	uncertain  map[policy.MessageID]map[int]bool // attempts that may have run, by message
	lastID     policy.MessageID

	journal  *Journal
	messages []*Message // live messages of the open journal, oldest first
}

// Each process stops at a random call of the file system. After any number of such crashes, no accepted message is
// lost, no removed message is recovered, and no attempt that may have run is missing from the uncertain attempts.
func TestCrashesLoseNoMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &crashModel{
			rng:        rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3)),
			unfinished: map[policy.MessageID]bool{},
			removed:    map[policy.MessageID]bool{},
			uncertain:  map[policy.MessageID]map[int]bool{},
		}
		fs := faultfs.New()
		for range rapid.IntRange(1, 5).Draw(t, "processes") {
			fs = fs.Reboot()
			model.open(t, fs)
			fs.StopAt(1+model.rng.IntN(400), model.rng.IntN(6000))
			var err error
			for err == nil {
				err = model.step()
			}
			if !errors.Is(err, faultfs.ErrStopped) {
				t.Fatalf("a step failed with an error other than the simulated crash: %v", err)
			}
		}
	})
}

// open opens the journal and compares the recovered messages with the model.
func (c *crashModel) open(t *rapid.T, fs store.FS) {
	j, recovery, err := Open(fs, Options{Limit: store.MinLimit, MaxBodyBytes: 2000})
	if err != nil {
		t.Fatalf("open the journal after a crash: %v", err)
	}
	if !recovery.Intact() {
		t.Fatalf("the recovery is not intact: %+v", recovery.Store)
	}
	c.journal = j
	c.messages = recovery.Messages
	found := map[policy.MessageID]bool{}
	for _, m := range recovery.Messages {
		found[m.ID] = true
		c.lastID = max(c.lastID, m.ID)
		c.checkMessage(t, m)
	}
	for id := range c.unfinished {
		if !found[id] {
			t.Fatalf("message %d is lost", id)
		}
	}
	c.unfinished = found
}

// checkMessage compares a recovered message with the model.
func (c *crashModel) checkMessage(t *rapid.T, m *Message) {
	if c.removed[m.ID] {
		t.Fatalf("removed message %d is recovered", m.ID)
	}
	body, err := c.journal.Body(m)
	if err != nil || !bytes.HasPrefix(body, []byte(fmt.Sprint("body of ", m.ID))) {
		t.Fatalf("message %d: body %.30q, error %v", m.ID, body, err)
	}
	for number := range c.uncertain[m.ID] {
		if !slices.ContainsFunc(m.UncertainAttempts, func(a Attempt) bool { return a.Number == number }) {
			t.Fatalf("message %d: attempt %d may have run but is not recovered as uncertain", m.ID, number)
		}
	}
}

// step makes one random change.
func (c *crashModel) step() error {
	n := c.rng.IntN(10)
	switch {
	case n < 4 || len(c.messages) == 0:
		return c.accept()
	case n < 6:
		return c.send(c.messages[c.rng.IntN(len(c.messages))])
	case n < 7:
		return c.recordNotRun(c.messages[c.rng.IntN(len(c.messages))])
	default:
		return c.remove(c.rng.IntN(min(len(c.messages), 10)))
	}
}

// accept accepts a new message. If there is no space, it removes the oldest message instead.
func (c *crashModel) accept() error {
	c.lastID++
	m := message(c.lastID)
	m.Body = append(m.Body, make([]byte, c.rng.IntN(4000))...)
	err := c.journal.Accept(m)
	if errors.Is(err, ErrFull) {
		return c.removeOldest()
	}
	if err == nil {
		c.unfinished[m.ID] = true
		c.messages = append(c.messages, m)
	}
	return err
}

// removeOldest removes the oldest message. Until the removal is written, the message must not be lost.
func (c *crashModel) removeOldest() error {
	if len(c.messages) == 0 {
		return nil
	}
	oldest := c.messages[0]
	c.messages = c.messages[1:]
	c.journal.Remove(oldest)
	if err := c.journal.Flush(); err != nil {
		return err
	}
	delete(c.unfinished, oldest.ID)
	c.removed[oldest.ID] = true
	return nil
}

func (c *crashModel) send(m *Message) error {
	attempt := Attempt{Number: m.Attempts, Endpoint: "s", SentAt: time.Unix(1, 0)}
	if err := c.journal.RecordSends(Send{m, attempt}); err != nil {
		return err
	}
	if c.uncertain[m.ID] == nil {
		c.uncertain[m.ID] = map[int]bool{}
	}
	c.uncertain[m.ID][attempt.Number] = true
	return nil
}

func (c *crashModel) recordNotRun(m *Message) error {
	if len(m.UncertainAttempts) == 0 {
		return nil
	}
	number := m.UncertainAttempts[0].Number
	delete(c.uncertain[m.ID], number) // a pending record may or may not survive a crash
	c.journal.RecordNotRun(m, number)
	return c.journal.Flush()
}

func (c *crashModel) remove(i int) error {
	m := c.messages[i]
	c.messages = slices.Delete(slices.Clone(c.messages), i, i+1)
	delete(c.unfinished, m.ID) // a pending removal may or may not survive a crash
	c.journal.Remove(m)
	if err := c.journal.Flush(); err != nil {
		return err
	}
	c.removed[m.ID] = true
	return nil
}
