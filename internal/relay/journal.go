package relay

import (
	"errors"
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
)

const (
	// reservedDiskBytes is the part of the disk limit that is left to the other files of the state folder.
	reservedDiskBytes = 4 << 10
	// journalLockTimeout is how long to wait for the lock of the journal while a predecessor that failed to hand over
	// still holds it.
	journalLockTimeout = 10 * time.Second
	// journalLockRetryInterval is the time between two tries to lock the journal.
	journalLockRetryInterval = 20 * time.Millisecond
)

// openJournal opens the journal, and sets r.recovery to what the journal holds.
func (r *Relay) openJournal() error {
	options := r.cfg.Operator.Journal.Options(int64(r.cfg.Limits.DiskMB*1e6) - reservedDiskBytes)
	options.MaxBodyBytes = maxBodyBytes(options.MaxBodyBytes, r.budget)
	options.WrapFS = r.cfg.WrapJournalFS
	deadline := time.Now().Add(journalLockTimeout)
	for ; ; time.Sleep(journalLockRetryInterval) {
		opened, recovery, err := journal.OpenFolder(r.cfg.StateDir, options)
		if errors.Is(err, store.ErrLocked) && r.predecessor != nil && time.Now().Before(deadline) {
			continue // the predecessor disconnected without handing over, and has not exited yet
		}
		if err != nil {
			return fmt.Errorf("relay: %w", err)
		}
		r.journal = opened
		r.recovery = recovery
		return nil
	}
}

// closeJournal closes the journal, unless the successor owns it.
func (r *Relay) closeJournal() error {
	if r.journal == nil || r.handedOver {
		return nil
	}
	return r.journal.Close()
}
