package modelcheck

import "cherrytrestle.example/cherrytrestle/policy"

// MoveKind is the kind of a move. Its values are stored in counterexample files.
type MoveKind string

// The kinds of moves. Relay, Index and Outcome are the fields of Move.
const (
	// MoveSubmit submits the next message to Relay.
	MoveSubmit MoveKind = "hand in"
	// MoveFinishCall ends call Index of Relay with Outcome.
	MoveFinishCall MoveKind = "a call ends"
	// MoveAdvanceTime reports the final answers of all ended messages. It then advances the time until something is
	// due, but by no more than Model.MaxTimeStep.
	MoveAdvanceTime MoveKind = "time passes"
	// MoveAcknowledgeNotice acknowledges the final notice of the undelivered message Index of Relay.
	MoveAcknowledgeNotice MoveKind = "notice taken"
	// MoveObserveDraining lets Relay observe that the endpoint Model.DrainingEndpoints[Index] drains.
	MoveObserveDraining MoveKind = "told: drains"
	// MoveObserveRemoval lets Relay observe that the endpoint Model.DrainingEndpoints[Index] is removed.
	MoveObserveRemoval MoveKind = "told: gone"
	// MoveRestart kills Relay and restarts it.
	MoveRestart MoveKind = "killed"
	// MoveStartOutage makes the destination fail.
	MoveStartOutage MoveKind = "outage"
	// MoveEndOutage lets the destination recover cold, with reduced capacity.
	MoveEndOutage MoveKind = "comes back"
)

// outageError is the Move.Outcome of a call that fails because of the outage. It does not count towards
// Model.MaxFaults.
const outageError = -1

// Move is one transition of a path.
type Move struct {
	Kind    MoveKind `json:"kind"`
	Relay   int      `json:"relay,omitempty"`
	Index   int      `json:"n,omitempty"`      // of a call, a message or a draining endpoint, by Kind
	Outcome int      `json:"choice,omitempty"` // index in Model.Outcomes, or outageError
}

// callOutcome returns the outcome of the call that a MoveFinishCall ends.
func (m Move) callOutcome(model *Model) CallOutcome {
	if m.Outcome == outageError {
		return CallOutcome{Outcome: policy.Error}
	}
	return model.Outcomes[m.Outcome]
}

// enabledMoves returns all moves that are possible in a state, in a fixed order.
func (x *explorer) enabledMoves(s *state) []Move {
	moves := x.submitMoves(s)
	for relay := range s.relays {
		moves = x.appendCallMoves(moves, s, relay)
		moves = x.appendEndpointMoves(moves, s, relay)
		moves = x.appendNoticeMoves(moves, s, relay)
		if x.canRestart(s, relay) {
			moves = append(moves, Move{Kind: MoveRestart, Relay: relay})
		}
	}
	if x.model.HasOutage && s.outage == outageNotStarted {
		moves = append(moves, Move{Kind: MoveStartOutage})
	}
	if s.outage == outageActive && s.now >= s.outageStart+x.model.MinOutage {
		moves = append(moves, Move{Kind: MoveEndOutage})
	}
	if s.submitted > 0 {
		moves = append(moves, Move{Kind: MoveAdvanceTime})
	}
	return moves
}

// submitMoves returns the moves that submit the next message, one for each relay. A relay that is interchangeable
// with relay 0 is left out, since the states that follow would be equivalent.
func (x *explorer) submitMoves(s *state) (moves []Move) {
	if s.submitted == len(x.model.Messages) {
		return nil
	}
	for relay := range s.relays {
		if relay > 0 && s.relays[0].isInterchangeable(&s.relays[relay]) {
			continue
		}
		moves = append(moves, Move{Kind: MoveSubmit, Relay: relay})
	}
	return moves
}

func (x *explorer) appendCallMoves(moves []Move, s *state, relay int) []Move {
	inOutage := s.outage == outageActive
	for call := range s.relays[relay].calls {
		for i, o := range x.model.Outcomes {
			delivered := o.Outcome == policy.OK
			if delivered && inOutage || !delivered && s.faults >= x.model.MaxFaults {
				continue
			}
			moves = append(moves, Move{Kind: MoveFinishCall, Relay: relay, Index: call, Outcome: i})
		}
		if inOutage {
			moves = append(moves, Move{Kind: MoveFinishCall, Relay: relay, Index: call, Outcome: outageError})
		}
	}
	return moves
}

func (x *explorer) appendEndpointMoves(moves []Move, s *state, relay int) []Move {
	for i, id := range x.model.DrainingEndpoints {
		change, drains := s.relays[relay].observed[id]
		switch {
		case !drains:
			moves = append(moves, Move{Kind: MoveObserveDraining, Relay: relay, Index: i})
		case !change.removed:
			moves = append(moves, Move{Kind: MoveObserveRemoval, Relay: relay, Index: i})
		}
	}
	return moves
}

// appendNoticeMoves appends the acknowledgements of final notices. They make a difference only while a relay may
// still be restarted.
func (x *explorer) appendNoticeMoves(moves []Move, s *state, relay int) []Move {
	if s.restarts >= x.model.MaxRestarts {
		return moves
	}
	for i, m := range s.relays[relay].messages {
		if m.ended && !m.endReported && !x.dropsNotice(m.id) {
			moves = append(moves, Move{Kind: MoveAcknowledgeNotice, Relay: relay, Index: i})
		}
	}
	return moves
}

// canRestart reports whether a relay may be restarted. One without messages and without a Retry-After has nothing to
// lose.
func (x *explorer) canRestart(s *state, relay int) bool {
	r := &s.relays[relay]
	return s.restarts < x.model.MaxRestarts && (len(r.messages) > 0 || len(r.retryAfter) > 0)
}
