// Package replay feeds a recording of a relay's decisions to the decision module as it is built into this program, in
// the recording's own time, and reports whether it decides the same. It does no I/O.
package replay

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"

	"cherrytrestle.example/cherrytrestle/internal/fleet/agent"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/policy"
)

// ErrNoStart reports that a recording has no chunk from which it can be replayed.
var ErrNoStart = errors.New("replay: no chunk of the recording can be played from")

// maxLost bounds what is reported of a recording that is damaged all over.
const maxLost = 100

// Visitor sees a replay as it goes. Any of its functions may be nil. Engines must not be stepped by it.
type Visitor struct {
	// Begin is called with each engine that a segment is replayed on, before its first step.
	Begin func(s *policy.Engine, e *flightrecorder.Entry)
	// Settings is called with the settings that are in force from here on.
	Settings func(set policy.Settings)
	// BeforeStep is called before a step, with the engine as the step before left it.
	BeforeStep func(s *policy.Engine, e *flightrecorder.Entry)
	// AfterStep is called after a step was replayed.
	AfterStep func(s *policy.Engine, e *flightrecorder.Entry)
	// Other is called with labels, notes, and what is lost.
	Other func(e *flightrecorder.Entry)
}

// player is a replay that is going on.
type player struct {
	visit    Visitor
	result   Result
	engine   *policy.Engine // nil: waits for a chunk to begin with
	settings policy.Settings

	agent       *agent.Agent          // nil: the recording has none, or it waits for its state
	lastStep    *flightrecorder.Entry // of the module, that the agent's next step belongs to; nil: none
	lastActions []policy.Action       // in it
}

// Play replays a recording, up to the first action that differs. It fails if nothing could be replayed.
func Play(data []byte, visit Visitor) (Result, error) {
	r, err := flightrecorder.NewReader(data)
	if err != nil {
		return Result{}, err
	}
	p := &player{visit: visit}
	p.result.Revision = policy.Revision()
	for p.result.Difference == nil {
		e, ok, err := r.Next()
		if err != nil {
			return p.result, err
		}
		if !ok {
			break
		}
		p.playEntry(&e)
	}
	if p.result.Segments == 0 {
		return p.result, fmt.Errorf("%w: %v", ErrNoStart, p.result.Lost)
	}
	return p.result, nil
}

func (p *player) playEntry(e *flightrecorder.Entry) {
	switch e.Kind {
	case flightrecorder.Begin:
		p.beginChunk(e)
	case flightrecorder.Step:
		p.playStep(e)
	case flightrecorder.FleetState:
		p.playFleetState(e)
	case flightrecorder.FleetStep:
		p.playFleetStep(e)
	case flightrecorder.SendChecked:
		p.playSendCheck(e)
	case flightrecorder.Lost:
		p.addLost(fmt.Sprintf("offset %d: %s", e.At, e.Text))
		p.engine = nil
		p.agent = nil
		p.lastStep = nil
		p.visitOther(e)
	case flightrecorder.Label, flightrecorder.Note:
		p.visitOther(e)
	}
}

func (p *player) visitOther(e *flightrecorder.Entry) {
	if p.visit.Other != nil {
		p.visit.Other(e)
	}
}

func (p *player) addLost(what string) {
	if len(p.result.Lost) < maxLost {
		p.result.Lost = append(p.result.Lost, what)
	}
}

// beginChunk goes on in a new chunk, or starts there.
func (p *player) beginChunk(e *flightrecorder.Entry) {
	p.result.Chunks++
	if p.result.Chunks == 1 {
		p.result.Meta = e.Meta
		p.result.From = e.Now
	}
	if p.engine != nil {
		p.continueChunk(e)
	} else {
		p.startSegment(e)
	}
}

// continueChunk applies a chunk's settings, and compares the state that it begins with to the one that was reached, so
// that an engine that differs without showing it is found at the next chunk.
func (p *player) continueChunk(e *flightrecorder.Entry) {
	if !reflect.DeepEqual(e.Meta.Settings, p.settings) {
		if err := p.engine.Reconfigure(e.Meta.Settings); err != nil {
			p.setDifference(e, "settings", "taken", err.Error())
			return
		}
		p.applySettings(e.Meta.Settings)
	}
	if p.result.SameRevision() {
		p.result.States++
		p.compareState(e, "state", p.engine.Snapshot(nil))
	}
}

// compareState compares a state that was reached to the recorded one.
func (p *player) compareState(e *flightrecorder.Entry, what string, reached []byte) {
	if bytes.Equal(reached, e.State) {
		return
	}
	recorded := fmt.Sprintf("%d bytes", len(e.State))
	at := firstDifferentByte(reached, e.State)
	p.setDifference(e, what, recorded, fmt.Sprintf("%d bytes, from byte %d on", len(reached), at))
}

// startSegment starts with a chunk.
func (p *player) startSegment(e *flightrecorder.Entry) {
	var engine *policy.Engine
	var err error
	if e.Fresh {
		engine, err = policy.New(e.Meta.Settings, e.Meta.Seed)
	} else {
		engine, err = Restore(e)
	}
	if err != nil {
		p.addLost(fmt.Sprintf("chunk %d cannot be played from: %v", e.Chunk, err))
		return
	}
	p.engine = engine
	p.applySettings(e.Meta.Settings)
	p.result.Segments++
	if p.visit.Begin != nil {
		p.visit.Begin(p.engine, e)
	}
}

func (p *player) applySettings(settings policy.Settings) {
	p.settings = settings
	if p.visit.Settings != nil {
		p.visit.Settings(settings)
	}
}

// Restore restores the module from the state that a chunk begins with. A state that another build wrote may be one that
// the module never reaches; that is an error.
func Restore(e *flightrecorder.Entry) (s *policy.Engine, err error) {
	defer func() {
		if x := recover(); x != nil {
			s = nil
			err = fmt.Errorf("replay: a state that the module does not know: %v", x)
		}
	}()
	return policy.Restore(e.Meta.Settings, e.State)
}

// firstDifferentByte returns the index of the first byte that differs.
func firstDifferentByte(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// playStep replays a step of the module.
func (p *player) playStep(e *flightrecorder.Entry) {
	if p.engine == nil {
		return
	}
	p.result.Steps++
	p.result.Events += len(e.Events)
	p.result.Actions += len(e.Actions)
	p.result.To = e.Now
	if p.visit.BeforeStep != nil {
		p.visit.BeforeStep(p.engine, e)
	}
	actions, err := stepEngine(p.engine, e)
	p.lastStep = e
	p.lastActions = actions
	if err != nil {
		p.setDifference(e, "the module panicked", "", err.Error())
		return
	}
	if i := firstDifference(e.Actions, actions); i >= 0 {
		what := fmt.Sprintf("action %d of %d", i+1, max(len(e.Actions), len(actions)))
		p.setDifference(e, what, describeAt(e.Actions, i), describeAt(actions, i))
		return
	}
	if p.visit.AfterStep != nil {
		p.visit.AfterStep(p.engine, e)
	}
}

// stepEngine does a step. It guards against a panic of the module on what another build recorded.
func stepEngine(engine *policy.Engine, e *flightrecorder.Entry) (actions []policy.Action, err error) {
	defer func() {
		if x := recover(); x != nil {
			err = fmt.Errorf("panic: %v", x)
		}
	}()
	return engine.Step(e.Now, e.Events), nil
}

// playSendCheck replays a check whether a call may still be sent.
func (p *player) playSendCheck(e *flightrecorder.Entry) {
	if p.engine == nil {
		return
	}
	p.result.SendChecks++
	if allowed := p.engine.StillAllowed(e.Endpoint, e.MessageIDs, e.Now); allowed != e.Allowed {
		what := "whether a call to " + e.Endpoint + " may still leave"
		p.setDifference(e, what, fmt.Sprint(e.Allowed), fmt.Sprint(allowed))
	}
}

// playFleetState starts with the agent's state that a chunk begins with, or compares it to the one that was reached.
func (p *player) playFleetState(e *flightrecorder.Entry) {
	if p.agent != nil {
		p.compareState(e, "the fleet agent's state", p.agent.Snapshot(nil))
		return
	}
	restored, err := agent.Restore(e.State)
	if err != nil {
		p.addLost(fmt.Sprintf("offset %d: %v", e.At, err))
		return
	}
	p.agent = restored
}

// playFleetStep replays the step of the fleet's agent that belongs to the module's last one.
func (p *player) playFleetStep(e *flightrecorder.Entry) {
	if p.engine == nil || p.agent == nil || p.lastStep == nil {
		return
	}
	record, err := agent.ReadRecord(e.State)
	if err != nil {
		p.addLost(fmt.Sprintf("offset %d: %v", e.At, err))
		p.agent = nil
		return
	}
	p.result.FleetSteps++
	out := p.agent.Step(p.lastStep.Now, agent.Input{
		Received:    record.Received,
		Incarnation: record.Incarnation,
		Quota:       record.QuotaReceived,
		Events:      p.lastStep.Events,
		Actions:     p.lastActions,
		Views: func() []policy.EndpointView {
			views, _ := p.engine.Views()
			return views
		},
	})
	p.lastStep = nil
	sameReports := slices.EqualFunc(out.Published, record.Published, func(a, b loadreport.Report) bool {
		return reflect.DeepEqual(a, b)
	})
	if !sameReports {
		p.setDifference(e, "published load reports", fmt.Sprint(record.Published), fmt.Sprint(out.Published))
	}
	sameQuota := slices.EqualFunc(out.Quota, record.QuotaSent, func(a, b quota.Message) bool {
		return fmt.Sprint(a) == fmt.Sprint(b)
	})
	if !sameQuota {
		p.setDifference(e, "sent quota messages", fmt.Sprint(record.QuotaSent), fmt.Sprint(out.Quota))
	}
}

func (p *player) setDifference(e *flightrecorder.Entry, what, recorded, replayed string) {
	p.result.Difference = &Difference{
		Step:     p.result.Steps,
		Offset:   e.At,
		Now:      e.Now,
		What:     what,
		Recorded: recorded,
		Replayed: replayed,
	}
}
