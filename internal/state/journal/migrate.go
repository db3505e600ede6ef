package journal

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"

	"cherrytrestle.example/cherrytrestle/internal/state/legacylog"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	folderName    = "journal" // within a state folder
	legacyLogName = "wal.log"
)

// Folder returns the path of the journal within a state folder.
func Folder(stateFolder string) string { return filepath.Join(stateFolder, folderName) }

// OpenFolder opens the journal in a relay's state folder, or creates one, and migrates the messages of a legacy log
// in that folder to the journal. The legacy log is removed after all its messages are in the journal. If a crash
// interrupts the migration, the next call migrates the messages that are not in the journal yet.
func OpenFolder(stateFolder string, options Options) (*Journal, *Recovery, error) {
	dir := Folder(stateFolder)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	var fs store.FS = store.Dir(dir)
	if options.WrapFS != nil {
		fs = options.WrapFS(fs)
	}
	j, recovery, err := Open(fs, options)
	if err != nil {
		return nil, nil, err
	}
	if err := j.migrateLegacyLog(stateFolder, recovery); err != nil {
		return nil, nil, errors.Join(fmt.Errorf("journal: migrate the legacy log: %w", err), j.store.Close())
	}
	return j, recovery, nil
}

// Read opens the journal of a state folder read-only. A relay may be using the journal at the same time.
func Read(stateFolder string, limit int64) (*Journal, *Recovery, error) {
	return Open(store.Dir(Folder(stateFolder)), Options{Limit: limit, readOnly: true})
}

// migrateLegacyLog moves the messages of a legacy log to the journal, if there is such a log.
func (j *Journal) migrateLegacyLog(stateFolder string, recovery *Recovery) error {
	path := filepath.Join(stateFolder, legacyLogName)
	_, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	log, found, err := legacylog.Open(stateFolder, math.MaxInt64) // no limit is needed: nothing is written to the log
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // safe to ignore: the log was only read
	for _, old := range found.Messages {
		if j.live[policy.MessageID(old.ID)] != nil {
			continue // migrated by an earlier process, which crashed
		}
		m, err := j.migrateMessage(old, found.Damaged)
		if err != nil {
			return err
		}
		recovery.Messages = append(recovery.Messages, m)
		recovery.Migrated++
	}
	return os.Remove(path)
}

// migrateMessage writes a message of a legacy log to the journal and returns it. uncertain reports that the log was
// damaged, so that records of the message may be missing.
func (j *Journal) migrateMessage(old *legacylog.Message, uncertain bool) (*Message, error) {
	m := convertMessage(old)
	m.Uncertain = uncertain
	if err := j.Accept(m); err != nil {
		return nil, err
	}
	if old.Final != nil {
		j.RecordFinal(m, FinalAnswer(*old.Final))
	}
	if old.Cancelled {
		j.RecordCancelled(m)
	}
	if err := j.Flush(); err != nil {
		return nil, err
	}
	return m, nil
}

// convertMessage converts a message of a legacy log to a message that Accept can take. The attempts are undated
// because the legacy log does not record in which boot they were made.
func convertMessage(old *legacylog.Message) *Message {
	m := &Message{
		ID:             policy.MessageID(old.ID),
		TraceID:        old.TraceID,
		IdempotencyKey: old.IdempotencyKey,
		OrderingKey:    old.OrderingKey,
		Class:          old.Class,
		ClassName:      old.ClassName,
		Tenant:         old.Tenant,
		Destination:    policy.DestinationID(old.Destination),
		Deadline:       old.Deadline,
		Body:           old.Body,
		Attempts:       old.Attempts,
	}
	for _, attempt := range old.UncertainAttempts {
		m.UncertainAttempts = append(m.UncertainAttempts, Attempt{
			Number:   attempt.Number,
			Endpoint: attempt.Endpoint,
			Zone:     attempt.Zone,
			SentAt:   attempt.SentAt,
			Undated:  true,
		})
	}
	return m
}
