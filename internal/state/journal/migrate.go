package journal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"cherrytrestle.example/cherrytrestle/internal/state/legacylog"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
)

const (
	folderName    = "journal" // of a state folder
	legacyLogName = "wal.log"
)

// Folder is where the journal of a state folder stands.
func Folder(state string) string { return filepath.Join(state, folderName) }

// OpenFolder opens the journal in a relay's state folder, or begins one. What a log of the form before this one holds
// is carried over first, and the log removed once all of it is in the journal: a crash on the way leaves the log, and
// what came over before it is not taken twice.
func OpenFolder(state string, opt Options) (*Journal, *Recovery, error) {
	dir := Folder(state)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	var fs store.FS = store.Dir(dir)
	if opt.WrapFS != nil {
		fs = opt.WrapFS(fs)
	}
	j, rec, err := Open(fs, opt)
	if err != nil {
		return nil, nil, err
	}
	if err := j.migrateLegacyLog(state, rec); err != nil {
		return nil, nil, errors.Join(err, j.store.Close())
	}
	return j, rec, nil
}

// migrateLegacyLog takes in what an older log holds, if there is one.
func (j *Journal) migrateLegacyLog(state string, rec *Recovery) error {
	path := filepath.Join(state, legacyLogName)
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		return fmt.Errorf("journal: carry over: %w", err)
	}
	log, found, err := legacylog.Open(state, 1<<40)
	if err != nil {
		return fmt.Errorf("journal: carry over: %w", err)
	}
	defer log.Close()
	for _, old := range found.Messages {
		if j.live[old.ID] != nil {
			continue // it came over before a crash
		}
		m := &Message{
			ID: old.ID, TraceID: old.TraceID, IdempotencyKey: old.IdempotencyKey, OrderingKey: old.OrderingKey, Class: old.Class, ClassName: old.ClassName, Tenant: old.Tenant, Destination: old.Destination,
			Deadline: old.Deadline, Body: old.Body, Attempts: old.Attempts, Uncertain: found.Damaged,
		}
		for _, a := range old.UncertainAttempts {
			m.UncertainAttempts = append(
				m.UncertainAttempts,
				Attempt{Number: a.Number, Endpoint: a.Endpoint, Zone: a.Zone, SentAt: a.SentAt, Undated: true},
			)
		}
		if err := j.Accept(m); err != nil {
			return fmt.Errorf("journal: carry over: %w", err)
		}
		if old.Final != nil {
			j.RecordFinal(m, FinalAnswer(*old.Final))
		}
		if old.Cancelled {
			j.RecordCancelled(m)
		}
		if err := j.Flush(); err != nil {
			return fmt.Errorf("journal: carry over: %w", err)
		}
		rec.Messages = append(rec.Messages, m)
		rec.Migrated++
	}
	if err := os.Remove(path); err != nil {
		return fmt.Errorf("journal: carry over: %w", err)
	}
	return nil
}

// Read reads the journal of a state folder, of a relay that runs or not, and changes nothing.
func Read(state string, limit int64) (*Journal, *Recovery, error) {
	return open(store.Dir(Folder(state)), Options{Limit: limit}, true)
}
