// Package replay feeds a recording of a relay's decisions to the decision module as it is built into this program, in
// the recording's own time, and tells whether it decides the same. It does no I/O.
package replay

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/agent"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/policy"
)

// ErrNoStart tells that a recording holds no place from which it can be played.
var ErrNoStart = errors.New("replay: no chunk of the recording can be played from")

// Visitor sees a replay as it goes. Any of its functions may be nil.
type Visitor struct {
	// Begin is called with each Sender that a stretch is played on, before its first step.
	Begin func(s *policy.Engine, e *flightrecorder.Entry)
	// Settings is called with the settings that hold from here on.
	Settings func(set policy.Settings)
	// Before is called with the Sender as the step before left it.
	Before func(s *policy.Engine, e *flightrecorder.Entry)
	// Step is called after a step was played. The Sender must only be asked, not stepped.
	Step  func(s *policy.Engine, e *flightrecorder.Entry)
	Other func(e *flightrecorder.Entry) // labels, notes, and what is lost
}

// Difference is where a recording and the module part.
type Difference struct {
	Step     int           // number of the step, from 1
	Offset   int64         // in the recording
	Now      time.Duration // the module's time
	What     string
	Recorded string // the first action that differs; empty: none
	Replayed string
}

func (d *Difference) String() string {
	return fmt.Sprintf("step %d at %v (offset %d): %s: recorded %s, replayed %s", d.Step, d.Now, d.Offset, d.What,
		orNone(d.Recorded), orNone(d.Replayed))
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// Result is what a replay told.
type Result struct {
	Meta       flightrecorder.Meta
	Revision   string // of the module that played
	Chunks     int
	Segments   int // played without a gap
	Steps      int
	Events     int
	Actions    int
	SendChecks int
	States     int // compared byte by byte at the begins of chunks
	FleetSteps int // steps of the fleet's seam that were played, too
	From, To   time.Duration
	Lost       []string // what could not be read, or not be played
	Difference *Difference
}

// SameRevision tells whether the recording was made by the module as built here.
func (r *Result) SameRevision() bool { return r.Meta.Revision == r.Revision }

// player is a replay at work.
type player struct {
	visit    Visitor
	result   Result
	engine   *policy.Engine // nil: waits for a chunk to begin with
	settings policy.Settings
	skip     bool // within a chunk that cannot be played

	agent       *agent.Agent          // nil: the recording holds none, or waits for one
	lastStep    *flightrecorder.Entry // step of the module, which the seam's is beside
	lastActions []policy.Action       // in it
}

// Play plays a recording, up to the first action that differs. The error tells that nothing could be played.
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
		if p.engine != nil {
			p.playStep(e)
		}
	case flightrecorder.FleetState:
		p.playFleetState(e)
	case flightrecorder.FleetStep:
		if p.engine != nil && p.agent != nil && p.lastStep != nil {
			p.playFleetStep(e)
		}
	case flightrecorder.SendChecked:
		if p.engine != nil {
			p.result.SendChecks++
			if may := p.engine.StillAllowed(e.Endpoint, e.MessageIDs, e.Now); may != e.Allowed {
				p.setDifference(e, "whether a call to "+e.Endpoint+" may still leave", fmt.Sprint(e.Allowed), fmt.Sprint(may))
			}
		}
	case flightrecorder.Lost:
		p.addLost(fmt.Sprintf("offset %d: %s", e.At, e.Text))
		p.engine, p.agent, p.lastStep = nil, nil, nil
	}
	if (e.Kind == flightrecorder.Label || e.Kind == flightrecorder.Note || e.Kind == flightrecorder.Lost) &&
		p.visit.Other != nil {
		p.visit.Other(e)
	}
}

// maxLost bounds what is told of a recording that is damaged all over.
const maxLost = 100

func (p *player) addLost(what string) {
	if len(p.result.Lost) < maxLost {
		p.result.Lost = append(p.result.Lost, what)
	}
}

// beginChunk goes on in a new chunk, or starts there. The state that a chunk begins with is compared with the one that was
// reached, so that a Sender that went astray without showing it is found at the next chunk.
func (p *player) beginChunk(e *flightrecorder.Entry) {
	if p.result.Chunks++; p.result.Chunks == 1 {
		p.result.Meta, p.result.From = e.Meta, e.Now
	}
	if p.engine != nil {
		if !reflect.DeepEqual(e.Meta.Settings, p.settings) {
			if err := p.engine.Reconfigure(e.Meta.Settings); err != nil {
				p.setDifference(e, "settings", "taken", err.Error())
				return
			}
			p.applySettings(e.Meta.Settings)
		}
		if p.result.SameRevision() {
			p.result.States++
			if reached := p.engine.Snapshot(nil); !bytes.Equal(reached, e.State) {
				p.setDifference(
					e,
					"state",
					fmt.Sprintf("%d bytes", len(e.State)),
					fmt.Sprintf("%d bytes, from byte %d on", len(reached), firstDifferentByte(reached, e.State)),
				)
			}
		}
		return
	}
	var err error
	if e.Fresh {
		p.engine, err = policy.New(e.Meta.Settings, e.Meta.Seed)
	} else {
		p.engine, err = Restore(e)
	}
	if err != nil {
		p.engine = nil
		p.addLost(fmt.Sprintf("chunk %d cannot be played from: %v", e.Chunk, err))
		return
	}
	p.applySettings(e.Meta.Settings)
	p.result.Segments++
	if p.visit.Begin != nil {
		p.visit.Begin(p.engine, e)
	}
}

func (p *player) applySettings(set policy.Settings) {
	if p.settings = set; p.visit.Settings != nil {
		p.visit.Settings(set)
	}
}

// Restore reads the state that a chunk begins with in mid-life. One that some other build wrote may be such as the
// module never reaches; that is an error.
func Restore(e *flightrecorder.Entry) (s *policy.Engine, err error) {
	defer func() {
		if x := recover(); x != nil {
			s, err = nil, fmt.Errorf("replay: a state that the module does not know: %v", x)
		}
	}()
	return policy.Restore(e.Meta.Settings, e.State)
}

func firstDifferentByte(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func (p *player) playStep(e *flightrecorder.Entry) {
	p.result.Steps++
	p.result.Events += len(e.Events)
	p.result.Actions += len(e.Actions)
	p.result.To = e.Now
	if p.visit.Before != nil {
		p.visit.Before(p.engine, e)
	}
	acts, err := stepEngine(p.engine, e)
	p.lastStep, p.lastActions = e, acts
	if err != nil {
		p.setDifference(e, "the module gave up", "", err.Error())
		return
	}
	if i := firstDifference(e.Actions, acts); i >= 0 {
		p.setDifference(
			e,
			fmt.Sprintf("action %d of %d", i+1, max(len(e.Actions), len(acts))),
			describeAt(e.Actions, i),
			describeAt(acts, i),
		)
		return
	}
	if p.visit.Step != nil {
		p.visit.Step(p.engine, e)
	}
}

// playFleetState goes on with the seam's state that a chunk begins with, or compares it with the one that was reached.
func (p *player) playFleetState(e *flightrecorder.Entry) {
	if p.agent != nil {
		if reached := p.agent.Snapshot(nil); !bytes.Equal(reached, e.State) {
			p.setDifference(
				e,
				"the seam's state",
				fmt.Sprintf("%d bytes", len(e.State)),
				fmt.Sprintf("%d bytes, from byte %d on", len(reached), firstDifferentByte(reached, e.State)),
			)
		}
		return
	}
	s, err := agent.Restore(e.State)
	if err != nil {
		p.addLost(fmt.Sprintf("offset %d: %v", e.At, err))
		return
	}
	p.agent = s
}

// playFleetStep plays the seam's step beside the module's last one.
func (p *player) playFleetStep(e *flightrecorder.Entry) {
	rec, err := agent.ReadRecord(e.State)
	if err != nil {
		p.addLost(fmt.Sprintf("offset %d: %v", e.At, err))
		p.agent = nil
		return
	}
	p.result.FleetSteps++
	out := p.agent.Step(p.lastStep.Now, agent.Input{
		Received: rec.Received, Incarnation: rec.Incarnation, Quota: rec.QuotaReceived, Events: p.lastStep.Events, Actions: p.lastActions, Views: func() []policy.EndpointView { views, _ := p.engine.Views(); return views },
	})
	p.lastStep = nil
	if !slices.EqualFunc(
		out.Published,
		rec.Published,
		func(a, b loadreport.Report) bool { return reflect.DeepEqual(a, b) },
	) {
		p.setDifference(e, "what the seam tells", fmt.Sprint(rec.Published), fmt.Sprint(out.Published))
	}
	if !slices.EqualFunc(
		out.Quota,
		rec.QuotaSent,
		func(a, b quota.Message) bool { return fmt.Sprint(a) == fmt.Sprint(b) },
	) {
		p.setDifference(e, "what the seam tells of rights", fmt.Sprint(rec.QuotaSent), fmt.Sprint(out.Quota))
	}
}

// stepEngine guards against a module that panics, on what another one was told.
func stepEngine(s *policy.Engine, e *flightrecorder.Entry) (acts []policy.Action, err error) {
	defer func() {
		if x := recover(); x != nil {
			err = fmt.Errorf("panic: %v", x)
		}
	}()
	return s.Step(e.Now, e.Events), nil
}

func firstDifference(a, b []policy.Action) int {
	if slices.Equal(a, b) {
		return -1
	}
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}

func describeAt(acts []policy.Action, i int) string {
	if i >= len(acts) {
		return ""
	}
	return Describe(acts[i])
}

// Describe is an action as text.
func Describe(a policy.Action) string {
	switch a.Kind {
	case policy.Send:
		return fmt.Sprintf("send %d to %s until %v", a.MessageID, a.Endpoint, a.TimeoutAt)
	case policy.Reject:
		return fmt.Sprintf("refuse %d, again after %v", a.MessageID, a.Delay)
	case policy.Fail:
		return fmt.Sprintf("fail %d", a.MessageID)
	case policy.SetTimer:
		return fmt.Sprintf("wake after %v", a.Delay)
	case policy.CloseIdle:
		return "close idle " + a.Endpoint
	case policy.WatchEndpoints:
		return "watch"
	}
	return fmt.Sprintf("action %d", a.Kind)
}

func (p *player) setDifference(e *flightrecorder.Entry, what, recorded, replayed string) {
	p.result.Difference = &Difference{
		Step: p.result.Steps, Offset: e.At, Now: e.Now, What: what, Recorded: recorded, Replayed: replayed,
	}
}
