package emulate

import "time"

// syncInterval is how often a journal with SyncInterval is synced.
const syncInterval = time.Second

// journal models the journal of a relay. It holds no copy of the relay's state, since the state itself survives the
// simulated process. The journal only holds functions that undo the writes which a crash may lose.
type journal struct {
	world    *World
	undoable bool          // a crash may lose writes
	delay    time.Duration // time until a write survives a crash of the process; above 0 only with a mutant
	records  []undoRecord  // oldest first
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

// written records a write at the current time, and how to undo it. Callers check undoable first, to avoid allocating
// the closure.
func (j *journal) written(undo func()) {
	now := j.world.Now()
	expired := 0
	for expired < len(j.records) && j.records[expired].at < now-j.retention() {
		expired++
	}
	j.records = append(j.records[expired:], undoRecord{at: now, undo: undo})
}

// retention returns for how long after a write a crash may still lose it.
func (j *journal) retention() time.Duration {
	if j.world.options.MachineCrashes && j.world.options.JournalSync == SyncNever {
		return j.world.Now()
	}
	return max(j.delay, syncInterval)
}

// rollBack undoes the writes that a crash of the process or of the machine loses, the latest first.
func (j *journal) rollBack(machine bool) {
	now := j.world.Now()
	durable := now - j.delay // writes up to this time survive
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
