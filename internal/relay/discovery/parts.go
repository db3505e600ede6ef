package discovery

import "errors"

// MaxPartEntries is the largest number of entries in a part of a long list. The relay's loop applies a part of this
// size in well under a millisecond.
const MaxPartEntries = 512

// PartKind is the kind of a SnapshotPart.
type PartKind int

const (
	// PartBegin starts a list.
	PartBegin PartKind = iota
	// PartEntries carries some entries of the list.
	PartEntries
	// PartSweep asks the owner to remove some of the endpoints that a full list did not name.
	PartSweep
	// PartEnd ends the list and carries its version.
	PartEnd
)

// String returns the kind's name in lower case.
func (k PartKind) String() string {
	switch k {
	case PartBegin:
		return "begin"
	case PartEntries:
		return "entries"
	case PartSweep:
		return "sweep"
	case PartEnd:
		return "end"
	}
	return "unknown"
}

// SnapshotPart is one part of a long list. The watcher sends the next part after the owner has answered on Reply.
type SnapshotPart struct {
	Kind    PartKind
	Entries []Entry // of a PartEntries
	Version int64   // of a PartEnd
	// Reply is buffered and receives one answer. The answer to a PartSweep is whether all endpoints that the list did
	// not name are removed. The answer to a PartEnd is whether the catalog holds all entries of the list. The answers
	// to other parts have no meaning.
	Reply chan bool
}

// errStopped reports that the watcher's owner accepts no more parts.
var errStopped = errors.New("relay has stopped and accepts no more parts of lists")

// partSender sends the parts of a long list to the watcher's owner, one at a time. While the owner applies a part, the
// watcher reads the next one.
type partSender struct {
	post    func(*SnapshotPart) bool // returns false if the owner has stopped
	stopped <-chan struct{}          // closed when the owner has stopped

	pending chan bool // receives the answer to the last part; nil: no answer is awaited
}

// send waits for the answer to the previous part and sends p. It does not wait for the answer to p.
func (s *partSender) send(p *SnapshotPart) error {
	if _, err := s.wait(); err != nil {
		return err
	}
	p.Reply = make(chan bool, 1)
	if s.post == nil || !s.post(p) {
		return errStopped
	}
	s.pending = p.Reply
	return nil
}

// wait returns the answer to the last part, or true if no answer is awaited.
func (s *partSender) wait() (ok bool, err error) {
	if s.pending == nil {
		return true, nil
	}
	select {
	case ok = <-s.pending:
	case <-s.stopped:
		err = errStopped
	}
	s.pending = nil
	return ok, err
}

// sendAndWait sends p and returns the answer to it.
func (s *partSender) sendAndWait(p *SnapshotPart) (ok bool, err error) {
	if err := s.send(p); err != nil {
		return false, err
	}
	return s.wait()
}
