package modelcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Counterexample is a path through a world, as it is kept in a file.
type Counterexample struct {
	Model  string       `json:"world"`
	Mutant string       `json:"mutant,omitempty"`
	Rule   checker.Rule `json:"rule,omitempty"` // that it broke when it was kept
	Moves  []Move       `json:"moves"`
}

const maxMoves = 1000

// ParseCounterexample reads a path that was kept.
func ParseCounterexample(data []byte) (Counterexample, error) {
	var p Counterexample
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return Counterexample{}, fmt.Errorf("path: %w", err)
	}
	if len(p.Moves) > maxMoves {
		return Counterexample{}, fmt.Errorf("path: %d moves, %d at most", len(p.Moves), maxMoves)
	}
	_, _, _, err := p.start()
	return p, err
}

func (p Counterexample) start() (*Model, *explorer, *state, error) {
	w := FindModel(p.Model)
	if w == nil {
		return nil, nil, nil, fmt.Errorf("path: no world %q", p.Model)
	}
	var wrong *emulate.Mutant
	if p.Mutant != "" {
		if wrong = emulate.FindMutant(p.Mutant); wrong == nil {
			return nil, nil, nil, fmt.Errorf("path: no mutant %q", p.Mutant)
		}
	}
	x, n, err := newExplorer(w, wrong)
	return w, x, n, err
}

// walk plays the moves; each is told with the state behind it.
func (p Counterexample) run(told func(m Move, from, to *state)) (*Violation, error) {
	_, x, n, err := p.start()
	if err != nil {
		return nil, err
	}
	for i, m := range p.Moves {
		if !slices.Contains(x.enabledMoves(n), m) {
			return nil, fmt.Errorf(
				"path: move %d (%s) cannot be made there: the decisions are not those that it was kept with",
				i+1,
				m.Kind,
			)
		}
		next := x.successor(n, m)
		if told != nil {
			told(m, n, next)
		}
		if next.violation != nil {
			return next.violation, nil
		}
		n = next
	}
	return nil, nil
}

// Replay plays a path again and returns the break at its end, if there still is one.
func (p Counterexample) Replay() (*Violation, error) { return p.run(nil) }

var outcomeNames = map[policy.Outcome]string{
	policy.OK: "delivered", policy.Error: "an error", policy.Overloaded: "refused", policy.Timeout: "no answer in time",
	policy.ConnectFailed: "no connection", policy.Reset: "broken off", policy.Cancelled: "cancelled", policy.NotSent: "never sent",
}

// WriteTrace writes a path for people: each move, and what the modules then had out.
func (p Counterexample) WriteTrace(out io.Writer) error {
	w := FindModel(p.Model)
	var err error
	_, walkErr := p.run(func(m Move, from, to *state) {
		if err != nil {
			return
		}
		text := string(m.Kind)
		switch m.Kind {
		case MoveSubmit:
			text = fmt.Sprintf("message %d is handed in to relay %d", from.submitted+1, m.Relay)
		case MoveFinishCall:
			c := from.relays[m.Relay].calls[m.Index]
			o := CallOutcome{Outcome: policy.Error}
			if m.Outcome >= 0 {
				o = w.Outcomes[m.Outcome]
			}
			text = fmt.Sprintf(
				"relay %d: the call of message %d to %s ends: %s",
				m.Relay,
				c.messageID,
				w.Endpoints[c.endpoint].ID,
				outcomeNames[o.Outcome],
			)
			if o.RetryAfter > 0 {
				text += fmt.Sprintf(", told to wait %v", o.RetryAfter)
			}
		case MoveObserveDraining, MoveObserveRemoval:
			text = fmt.Sprintf("relay %d is %s: %s", m.Relay, m.Kind, w.DrainingEndpoints[m.Index])
		case MoveRestart:
			text = fmt.Sprintf("relay %d is killed and started anew", m.Relay)
		case MoveAdvanceTime:
			text = fmt.Sprintf("time passes to %v", to.now)
		}
		if _, e := fmt.Fprintf(out, "  %8v  %s%s\n", from.now, text, startedCalls(w, from, to)); e != nil {
			err = e
		}
	})
	if err != nil {
		return err
	}
	return walkErr
}

// started tells of the calls that are out after a move and were not before.
func startedCalls(w *Model, from, to *state) (text string) {
	for i := range to.relays {
		for _, c := range to.relays[i].calls {
			if !slices.Contains(from.relays[i].calls, c) {
				text += fmt.Sprintf("; relay %d sends message %d to %s", i, c.messageID, w.Endpoints[c.endpoint].ID)
			}
		}
	}
	return text
}
