package modelcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/policy"
)

// maxMoves bounds the number of moves in a counterexample file.
const maxMoves = 1000

// Counterexample is a path through a model's states to a violation. It is stored in files as JSON.
type Counterexample struct {
	Model  string       `json:"world"`
	Mutant string       `json:"mutant,omitempty"`
	Rule   checker.Rule `json:"rule,omitempty"` // rule that the path violated when the file was written
	Moves  []Move       `json:"moves"`
}

// ParseCounterexample parses the content of a counterexample file.
func ParseCounterexample(data []byte) (Counterexample, error) {
	var c Counterexample
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		return Counterexample{}, fmt.Errorf("counterexample: %w", err)
	}
	if len(c.Moves) > maxMoves {
		return Counterexample{}, fmt.Errorf("counterexample: %d moves, the maximum is %d", len(c.Moves), maxMoves)
	}
	_, _, err := c.start()
	return c, err
}

// start returns an explorer of the counterexample's model and the initial state.
func (c Counterexample) start() (*explorer, *state, error) {
	model := FindModel(c.Model)
	if model == nil {
		return nil, nil, fmt.Errorf("counterexample: no model %q (field \"world\")", c.Model)
	}
	var mutant *emulate.Mutant
	if c.Mutant != "" {
		mutant = emulate.FindMutant(c.Mutant)
		if mutant == nil {
			return nil, nil, fmt.Errorf("counterexample: no mutant %q (field \"mutant\")", c.Mutant)
		}
	}
	return newExplorer(model, mutant)
}

// transition is a move with the states before and after it.
type transition struct {
	move          Move
	before, after *state
}

// transitions plays the moves up to the first violation. On an error it returns the transitions played so far.
func (c Counterexample) transitions() (model *Model, played []transition, err error) {
	x, s, err := c.start()
	if err != nil {
		return nil, nil, err
	}
	for i, move := range c.Moves {
		if !slices.Contains(x.enabledMoves(s), move) {
			return x.model, played, fmt.Errorf(
				"counterexample: move %d (%s) is not enabled: the engine decides differently than when it was stored",
				i+1,
				move.Kind,
			)
		}
		next := x.successor(s, move)
		played = append(played, transition{move, s, next})
		if next.violation != nil {
			break
		}
		s = next
	}
	return x.model, played, nil
}

// Replay plays the moves again and returns the violation that they lead to; nil if they lead to none.
func (c Counterexample) Replay() (*Violation, error) {
	_, played, err := c.transitions()
	if err != nil || len(played) == 0 {
		return nil, err
	}
	return played[len(played)-1].after.violation, nil
}

// WriteTrace writes the moves in a readable form, one a line, each with the calls that the relays made in response.
func (c Counterexample) WriteTrace(out io.Writer) error {
	model, played, playErr := c.transitions()
	for _, t := range played {
		_, err := fmt.Fprintf(out, "  %8v  %s%s\n", t.before.now, t.describe(model), t.describeCalls(model))
		if err != nil {
			return err
		}
	}
	return playErr
}

// outcomeNames are the names of outcomes in a trace.
var outcomeNames = map[policy.Outcome]string{
	policy.OK:            "delivered",
	policy.Error:         "an error",
	policy.Overloaded:    "refused",
	policy.Timeout:       "no answer in time",
	policy.ConnectFailed: "no connection",
	policy.Reset:         "connection reset",
	policy.Cancelled:     "cancelled",
	policy.NotSent:       "never sent",

	policy.UnprovenRejection: "refused, may have run",
}

// describe returns a readable description of the move.
func (t transition) describe(model *Model) string {
	move := t.move
	switch move.Kind {
	case MoveSubmit:
		return fmt.Sprintf("message %d is submitted to relay %d", t.before.submitted+1, move.Relay)
	case MoveFinishCall:
		call := t.before.relays[move.Relay].calls[move.Index]
		outcome := move.callOutcome(model)
		text := fmt.Sprintf(
			"relay %d: the call of message %d to %s ends: %s",
			move.Relay,
			call.messageID,
			model.Endpoints[call.endpoint].ID,
			outcomeNames[outcome.Outcome],
		)
		if outcome.RetryAfter > 0 {
			text += fmt.Sprintf(", with a Retry-After of %v", outcome.RetryAfter)
		}
		return text
	case MoveObserveDraining, MoveObserveRemoval:
		return fmt.Sprintf("relay %d is %s: endpoint %s", move.Relay, move.Kind, model.DrainingEndpoints[move.Index])
	case MoveRestart:
		return fmt.Sprintf("relay %d is killed and restarted", move.Relay)
	case MoveAdvanceTime:
		return fmt.Sprintf("time advances to %v", t.after.now)
	default:
		return string(move.Kind)
	}
}

// describeCalls lists the calls that are in flight after the move but were not before it.
func (t transition) describeCalls(model *Model) string {
	var text strings.Builder
	for relay := range t.after.relays {
		for _, call := range t.after.relays[relay].calls {
			if !slices.Contains(t.before.relays[relay].calls, call) {
				endpoint := model.Endpoints[call.endpoint].ID
				fmt.Fprintf(&text, "; relay %d sends message %d to %s", relay, call.messageID, endpoint)
			}
		}
	}
	return text.String()
}
