package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/capacity"
	"cherrytrestle.example/cherrytrestle/internal/capacity/usage"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	bodyBytes           = 1000  // size of a message body
	journalDestinations = 1000  // destinations over which the messages are spread
	minJournalBytes     = 64e6  // least size limit of a journal
	syncJournalBytes    = 256e6 // size limit of the journal for measureCommits
)

// newMessage returns a message for the journal.
func newMessage(id policy.MessageID, destination int, deadline time.Time, body []byte) *journal.Message {
	return &journal.Message{
		ID:             id,
		TraceID:        fmt.Sprintf("%016x", id),
		IdempotencyKey: fmt.Sprintf("5c0f6e1a2b3d4c59a8b7c6d5%08x", id),
		ClassName:      "order",
		Destination:    policy.DestinationID(destination),
		Deadline:       deadline,
		Body:           body,
	}
}

// journalOptions returns the options of a journal that is large enough for a number of messages and keeps their bodies
// on disk only.
func journalOptions(messages int) journal.Options {
	const roomPerMessage = 4 * bodyBytes
	return journal.Options{Limit: max(minJournalBytes, int64(messages)*roomPerMessage), MaxBodyBytes: 1}
}

// openJournal opens a journal, and returns it with the messages that it recovers.
func openJournal(folder string, options journal.Options) (*journal.Journal, []*journal.Message, error) {
	j, recovered, err := journal.OpenFolder(folder, options)
	if err != nil {
		return nil, nil, err
	}
	return j, recovered.Messages, nil
}

// fillJournal creates a journal with a number of messages and closes it.
func fillJournal(folder string, messages, destinations int) error {
	j, _, err := openJournal(folder, journalOptions(messages))
	if err != nil {
		return err
	}
	body, deadline := make([]byte, bodyBytes), time.Now().Add(100*time.Hour)
	const batch = 100
	for i := 0; i < messages; i += batch {
		var accepted []*journal.Message
		for k := i; k < min(i+batch, messages); k++ {
			accepted = append(accepted, newMessage(policy.MessageID(k+1), k%destinations, deadline, body))
		}
		if err := j.Accept(accepted...); err != nil {
			return errors.Join(err, j.Close())
		}
	}
	return j.Close()
}

// journalSeries are the series over the number of messages in a journal.
type journalSeries struct {
	disk, memory, message, recovery *series
}

// measureJournal measures the journal without a relay, on files.
func measureJournal(ctx context.Context, b *bench) ([]capacity.Series, error) {
	all := journalSeries{
		disk:     newSeries(capacity.JournalDisk, "messages", capacity.Bytes),
		memory:   newSeries(capacity.JournalMemory, "messages", capacity.Bytes),
		message:  newSeries(capacity.JournalMessageCPU, "messages live", capacity.Seconds),
		recovery: newSeries(capacity.JournalRecoveryTime, "messages", capacity.Seconds),
	}
	for _, messages := range b.sizes([]int{1000, 5000, 20_000}, []int{10_000, 100_000, 300_000}) {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		folder := filepath.Join(b.folder, fmt.Sprint("journal", messages))
		if err := all.measure(folder, messages); err != nil {
			return nil, err
		}
		if err := os.RemoveAll(folder); err != nil {
			return nil, err
		}
	}
	syncTime, err := measureJournalSync(b)
	if err != nil {
		return nil, err
	}
	return collect(all.disk, all.memory, all.message, all.recovery, syncTime), nil
}

// measure adds a value for the given number of messages to each series.
func (s *journalSeries) measure(folder string, messages int) (err error) {
	if err := fillJournal(folder, messages, journalDestinations); err != nil {
		return err
	}
	size, err := relayprocess.FolderSize(folder)
	if err != nil {
		return err
	}
	s.disk.add(messages, size)
	before := heapInUse()
	began := time.Now()
	j, recovered, err := openJournal(folder, journalOptions(messages))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, j.Close()) }()
	s.recovery.add(messages, time.Since(began).Seconds())
	if len(recovered) != messages {
		return fmt.Errorf("%d of %d messages were recovered", len(recovered), messages)
	}
	s.memory.add(messages, heapInUse()-before)
	cpu, err := measureJournalMessage(j, recovered)
	if err != nil {
		return err
	}
	s.message.add(messages, cpu)
	return nil
}

// measureJournalMessage accepts new messages and removes the oldest live message after each. It returns the CPU seconds
// per accepted message.
func measureJournalMessage(j *journal.Journal, live []*journal.Message) (float64, error) {
	const messages = 10_000
	body, deadline := make([]byte, bodyBytes), time.Now().Add(time.Hour)
	recovered := len(live)
	began := usage.ProcessCPU()
	for i := range messages {
		m := newMessage(policy.MessageID(recovered+i+1), i%journalDestinations, deadline, body)
		if err := j.Accept(m); err != nil {
			return 0, err
		}
		live = append(live, m)
		j.Remove(live[i])
		if err := j.Flush(); err != nil {
			return 0, err
		}
	}
	return (usage.ProcessCPU() - began).Seconds() / messages, nil
}

// measureJournalSync measures the time of commits that are synced to disk, which survive a crash of the machine.
func measureJournalSync(b *bench) (*series, error) {
	s := newSeries(capacity.JournalSyncTime, "messages in a commit", capacity.Seconds)
	for _, messages := range []int{1, 10, 100} {
		folder := filepath.Join(b.folder, fmt.Sprint("sync", messages))
		seconds, err := measureCommits(folder, messages)
		if err != nil {
			return nil, err
		}
		s.add(messages, seconds)
		if err := os.RemoveAll(folder); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// measureCommits returns the seconds per synced commit of the given number of messages.
func measureCommits(folder string, messages int) (seconds float64, err error) {
	options := journal.Options{Limit: syncJournalBytes, Sync: store.SyncCommit, MaxBodyBytes: 1}
	j, _, err := openJournal(folder, options)
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, j.Close()) }()
	body, deadline, lastID := make([]byte, bodyBytes), time.Now().Add(time.Hour), policy.MessageID(0)
	const commits = 50
	began := time.Now()
	for range commits {
		var accepted []*journal.Message
		for range messages {
			lastID++
			accepted = append(accepted, newMessage(lastID, int(lastID)%journalDestinations, deadline, body))
		}
		if err := j.Accept(accepted...); err != nil {
			return 0, err
		}
	}
	return time.Since(began).Seconds() / commits, nil
}
