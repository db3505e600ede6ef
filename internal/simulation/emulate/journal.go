package emulate

import "time"

// syncInterval is how often a journal with SyncInterval is synced.
const syncInterval = time.Second

// journal is the journal of a relay. What it holds is the relay's state itself, which survives the process; the journal
// only keeps how to undo what a crash may lose.
type journal struct {
	world    *World
	undoable bool          // a crash may lose something
	delay    time.Duration // until a record is written, by a mutant
	records  []undoRecord
}

type undoRecord struct {
	at   time.Duration
	undo func()
}

func newJournal(w *World) journal {
	delay := w.options.Mutant.journalDelay()
	return journal{
		world:    w,
		undoable: delay > 0 || w.options.MachineCrashes && w.options.JournalSync != SyncAlways,
		delay:    delay,
	}
}

// written notes that something is written now, and how to undo it. Callers check undoable first, which spares the
// closure.
func (j *journal) written(undo func()) {
	now := j.world.Now()
	expired := 0
	for expired < len(j.records) && j.records[expired].at < now-j.retention() {
		expired++
	}
	j.records = append(j.records[expired:], undoRecord{at: now, undo: undo})
}

// retention is how long a record may still be undone.
func (j *journal) retention() time.Duration {
	if j.world.options.MachineCrashes && j.world.options.JournalSync == SyncNever {
		return j.world.Now()
	}
	return max(j.delay, syncInterval)
}

// rollBack undoes what a crash of the process or of the machine loses, the latest first.
func (j *journal) rollBack(machine bool) {
	now := j.world.Now()
	durable := now - j.delay // what was written by then survives
	if machine {
		switch j.world.options.JournalSync {
		case SyncNever:
			durable = -1
		case SyncInterval:
			durable = min(durable, now.Truncate(syncInterval))
		}
	}
	for i := len(j.records) - 1; i >= 0 && j.records[i].at > durable; i-- {
		j.records[i].undo()
	}
	j.records = nil
}
