package modelcheck

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// hash returns the key of a state in the visited set.
func (s *state) hash() uint64 {
	var e encoder
	s.encode(&e)
	return xxhash.Sum64(e.bytes)
}

// encoder encodes the parts of a state that determine its successors.
type encoder struct {
	bytes []byte
}

func (e *encoder) int(x int64) { e.bytes = binary.AppendVarint(e.bytes, x) }

func (e *encoder) duration(d time.Duration) { e.int(int64(d)) }

func (e *encoder) bool(x bool) {
	if x {
		e.int(1)
	} else {
		e.int(0)
	}
}

func (e *encoder) text(x string) { e.bytes = append(e.bytes, x...) }

func (s *state) encode(e *encoder) {
	e.duration(s.now)
	e.int(int64(s.submitted))
	e.int(int64(s.faults))
	e.int(int64(s.restarts))
	e.int(int64(s.outage))
	e.duration(s.outageStart)
	e.duration(s.outageEnd)
	for _, a := range s.arrivals {
		e.duration(a.at)
		e.int(int64(a.relay))
	}
	for i := range s.relays {
		s.relays[i].encode(e)
	}
}

func (r *relayState) encode(e *encoder) {
	e.int(int64(len(r.engine)))
	e.bytes = append(e.bytes, r.engine...)
	e.duration(r.epoch)
	e.duration(r.timerAt)
	e.int(int64(r.outageFailures))
	for i := range r.messages {
		r.messages[i].encode(e)
	}
	for _, c := range r.calls {
		c.encode(e)
	}
	for _, scope := range sortedKeys(r.retryAfter) {
		e.text(scope)
		e.duration(r.retryAfter[scope])
	}
	for _, id := range sortedKeys(r.observed) {
		e.text(id)
		e.bool(r.observed[id].removed)
		e.duration(r.observed[id].observedAt)
	}
	for _, d := range r.delayed {
		e.duration(d.due)
		e.int(int64(d.event.Kind))
	}
}

func (m *messageState) encode(e *encoder) {
	e.int(int64(m.id))
	e.int(int64(m.index))
	e.duration(m.deadline)
	e.int(int64(m.attempts))
	e.bool(m.mayHaveRun)
	e.duration(m.firstRunAt)
	e.int(int64(m.firstRunZone))
	e.bool(m.hasUnknownOutcome)
	e.duration(m.unknownOutcomeAt)
	e.bool(m.ended)
	e.bool(m.endReported)
	e.bool(m.fromBeforeRestart)
	e.bool(m.lostByJournal)
	for _, attempt := range m.possibleRuns {
		e.int(int64(attempt))
	}
}

func (c callState) encode(e *encoder) {
	e.int(int64(c.messageID))
	e.int(int64(c.attempt))
	e.int(int64(c.endpoint))
	e.duration(c.sentAt)
	e.duration(c.timeoutAt)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
