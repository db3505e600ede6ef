package relay

import (
	"context"
	"errors"
	"math"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
)

// parts is the way of a long list to the loop: one part at a time, while the next one is read.
type parts struct {
	post  func(*snapshotPart) bool // false: nobody takes parts any more
	over  <-chan struct{}          // closed then
	large func() bool              // all lists go this way that are not short changes; nil: none do

	out chan bool // answers the part that was handed over last
}

var errOver = errors.New("the relay ends")

// hand waits for the answer to the part before and hands over the next one.
func (x *parts) hand(p *snapshotPart) error {
	if _, err := x.answer(); err != nil {
		return err
	}
	if p.reply = make(chan bool, 1); x.post == nil || !x.post(p) {
		return errOver
	}
	x.out = p.reply
	return nil
}

// answer waits for the answer to the last part.
func (x *parts) answer() (ok bool, err error) {
	if x.out == nil {
		return true, nil
	}
	select {
	case ok = <-x.out:
	case <-x.over:
		err = errOver
	}
	x.out = nil
	return ok, err
}

// ask hands over a part and waits for its answer.
func (x *parts) ask(p *snapshotPart) (ok bool, err error) {
	if err := x.hand(p); err != nil {
		return false, err
	}
	return x.answer()
}

// most is how many entries a list may have that is told as a whole.
func (x *parts) most() int {
	if x.large != nil && x.large() {
		return maxPartEntries
	}
	return catalog.MaxEagerEndpoints
}

// receipt is how a list is received.
type receipt struct {
	whole bool                    // the list is whole, whatever it says
	known int64                   // changes up to this version are known
	moves func()                  // is called as the list goes on
	stop  context.CancelCauseFunc // ends the reading of a list without end
}

// receive reads one list and tells of it: as a whole, or, a long one, in parts as it comes. Its version is taken on at
// its end.
func (w *watcher) receive(lists *listReader, how receipt) error {
	head := listHead{Full: how.whole}
	var entries, spare []entry
	var read int
	var long, passed bool // passed: it is read and not told
	if lists.begun = nil; w.within > 0 {
		lists.begun = func() func() bool { return time.AfterFunc(w.within, func() { how.stop(errEndless) }).Stop }
	}
	err := lists.next(&head, func(e entry) error {
		if read++; read%maxPartEntries == 0 {
			how.moves()
		}
		if entries = append(entries, e); !long && len(entries) <= w.long.most() || long && len(entries) < maxPartEntries {
			return nil
		}
		if !long {
			long = true
			passed = !how.whole && !head.Full && how.known != math.MinInt64 &&
				(!head.versioned || head.Version <= how.known)
			if !passed {
				if _, err := w.long.ask(&snapshotPart{kind: snapshotBegin}); err != nil {
					return err
				}
			}
		}
		if passed {
			entries = entries[:0]
			return nil
		}
		for len(entries) >= maxPartEntries {
			if err := w.long.hand(&snapshotPart{kind: snapshotEntries, entries: entries[:maxPartEntries:maxPartEntries]}); err != nil {
				return err
			}
			// The part before this one has been taken: what it stood in is free.
			rest := entries[maxPartEntries:]
			entries, spare = append(spare[:0], rest...), entries[:0]
			how.moves()
		}
		return nil
	})
	if errors.Is(err, errTooLong) {
		w.oversize.Log(w.log, "err", err, "entries", read, "bytes", lists.src.came)
	}
	if err != nil {
		return err
	}
	full := how.whole || head.Full
	switch {
	case passed:
		w.whole = w.whole || full || head.Version > how.known // it was not known yet that it must be told
		return nil
	case !long && !(full && w.long.large != nil && w.long.large()):
		if full || head.Version > how.known {
			w.take(List{Version: head.Version, Full: full, Entries: entries})
		}
		return nil
	case !long:
		if _, err := w.long.ask(&snapshotPart{kind: snapshotBegin}); err != nil {
			return err
		}
	}
	return w.close(entries, head.Version, full, how.moves)
}

// close tells the rest of a long list, and that it is at its end.
func (w *watcher) close(entries []entry, version int64, full bool, moves func()) error {
	if _, err := w.long.ask(&snapshotPart{kind: snapshotEntries, entries: entries}); err != nil {
		return err
	}
	for done := !full; !done; moves() {
		var err error
		if done, err = w.long.ask(&snapshotPart{kind: snapshotSweep}); err != nil {
			return err
		}
	}
	held, err := w.long.ask(&snapshotPart{kind: snapshotEnd, version: version})
	if err != nil {
		return err
	}
	if !held {
		return errEntries
	}
	w.version, w.whole = version, w.whole && !full
	return nil
}
