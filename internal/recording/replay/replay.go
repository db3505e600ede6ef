// Package replay replays a recording of a relay's decisions on the decision engine of this build: it steps the engine
// with the recorded events and times, and reports whether the actions are the recorded ones. It does no I/O.
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

// ErrNoStart reports that a recording has no chunk at which a replay can start.
var ErrNoStart = errors.New("replay: the recording has no chunk at which a replay can start")

// maxLost limits the number of entries in Result.Lost.
const maxLost = 100

// Visitor holds functions that are called during a replay. Any of them may be nil. They must not step the engine.
type Visitor struct {
	// Begin is called with the engine of each segment, before its first step.
	Begin func(engine *policy.Engine, entry *flightrecorder.Entry)
	// Settings is called with the settings that apply to the following steps.
	Settings func(settings policy.Settings)
	// BeforeStep is called before a step, with the engine in the state after the step before.
	BeforeStep func(engine *policy.Engine, entry *flightrecorder.Entry)
	// AfterStep is called after a step without a difference.
	AfterStep func(engine *policy.Engine, entry *flightrecorder.Entry)
	// Other is called with Label, Note and Lost entries.
	Other func(entry *flightrecorder.Entry)
}

// player is a replay in progress.
type player struct {
	visitor  Visitor
	result   Result
	engine   *policy.Engine // nil until a chunk at which the replay can start, and again after a Lost entry
	settings policy.Settings

	agent       *agent.Agent          // nil until an entry with its state, and again after a Lost entry
	lastStep    *flightrecorder.Entry // the engine's last step; nil after the fleet agent's step that follows it
	lastActions []policy.Action       // of the engine's last step
}

// Play replays a recording up to the first difference. It fails with ErrNoStart if nothing could be replayed.
func Play(data []byte, visitor Visitor) (Result, error) {
	reader, err := flightrecorder.NewReader(data)
	if err != nil {
		return Result{}, err
	}
	p := &player{visitor: visitor}
	p.result.Revision = policy.Revision()
	for p.result.Difference == nil {
		entry, ok, err := reader.Next()
		if err != nil {
			return p.result, err
		}
		if !ok {
			break
		}
		p.playEntry(&entry)
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
	if p.visitor.Other != nil {
		p.visitor.Other(e)
	}
}

func (p *player) addLost(what string) {
	if len(p.result.Lost) < maxLost {
		p.result.Lost = append(p.result.Lost, what)
	}
}

// beginChunk continues the replay in a new chunk, or starts it there.
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

// continueChunk applies a chunk's settings. If this build has the recording's revision, it also compares the engine's
// state with the state that the chunk begins with, which finds a difference that has not changed any action yet.
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

// compareState compares a replayed state with the recorded one.
func (p *player) compareState(e *flightrecorder.Entry, what string, replayed []byte) {
	if bytes.Equal(replayed, e.State) {
		return
	}
	recorded := fmt.Sprintf("%d bytes", len(e.State))
	at := firstDifferentByte(replayed, e.State)
	p.setDifference(e, what, recorded, fmt.Sprintf("%d bytes, from byte %d on", len(replayed), at))
}

// startSegment starts the replay at a chunk. If that is impossible, entries are skipped until the next chunk.
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
	if p.visitor.Begin != nil {
		p.visitor.Begin(p.engine, e)
	}
}

func (p *player) applySettings(settings policy.Settings) {
	p.settings = settings
	if p.visitor.Settings != nil {
		p.visitor.Settings(settings)
	}
}

// Restore restores the engine from the state that a chunk begins with. It fails if this build's engine cannot read the
// state, for example one that another build wrote.
func Restore(e *flightrecorder.Entry) (engine *policy.Engine, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			engine = nil
			err = fmt.Errorf("replay: a state that the module does not know: %v", reason)
		}
	}()
	return policy.Restore(e.Meta.Settings, e.State)
}

// firstDifferentByte returns the index of the first byte that differs, or the length of the shorter slice if the other
// begins with it.
func firstDifferentByte(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// playStep replays a step of the engine.
func (p *player) playStep(e *flightrecorder.Entry) {
	if p.engine == nil {
		return
	}
	p.result.Steps++
	p.result.Events += len(e.Events)
	p.result.Actions += len(e.Actions)
	p.result.To = e.Now
	if p.visitor.BeforeStep != nil {
		p.visitor.BeforeStep(p.engine, e)
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
	if p.visitor.AfterStep != nil {
		p.visitor.AfterStep(p.engine, e)
	}
}

// stepEngine steps the engine. A panic, which events of another build may cause, is returned as an error.
func stepEngine(engine *policy.Engine, e *flightrecorder.Entry) (actions []policy.Action, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = fmt.Errorf("panic: %v", reason)
		}
	}()
	return engine.Step(e.Now, e.Events), nil
}

// playSendCheck replays a check of whether a call may still be sent.
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

// playFleetState restores the fleet agent from a recorded state. If the agent is already being replayed, it compares
// the agent's state with the recorded one instead.
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

// playFleetStep replays a step of the fleet agent, which receives the events and actions of the engine's last step.
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
	output := p.agent.Step(p.lastStep.Now, agent.Input{
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
	p.compareFleetOutput(e, &record, &output)
}

// compareFleetOutput compares the load reports and quota messages of a step of the fleet agent with the recorded ones.
func (p *player) compareFleetOutput(e *flightrecorder.Entry, record *agent.Record, output *agent.Output) {
	sameReports := slices.EqualFunc(output.Published, record.Published, func(a, b loadreport.Report) bool {
		return reflect.DeepEqual(a, b)
	})
	if !sameReports {
		p.setDifference(e, "published load reports", fmt.Sprint(record.Published), fmt.Sprint(output.Published))
	}
	sameQuota := slices.EqualFunc(output.Quota, record.QuotaSent, func(a, b quota.Message) bool {
		return fmt.Sprint(a) == fmt.Sprint(b)
	})
	if !sameQuota {
		p.setDifference(e, "sent quota messages", fmt.Sprint(record.QuotaSent), fmt.Sprint(output.Quota))
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
