package hotrestart

import (
	"bytes"
	"flag"
	"net"
	"reflect"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// recordingConn records the bytes that are written to it.
type recordingConn struct {
	net.Conn
	written bytes.Buffer
}

func (c *recordingConn) Write(b []byte) (int, error) { return c.written.Write(b) }

func (c *recordingConn) SetWriteDeadline(time.Time) error { return nil }

// notEncoded are the names of the fields of messages and events that have no JSON form.
var notEncoded = []string{"Terms", "TenantName", "ZoneName", "Delivered"}

// goldenFrames returns frames by the names of their golden files. Most kinds have a frame with every field set and a
// frame with no field set. The frame in empty.frame has no kind.
func goldenFrames() map[string]Frame {
	return map[string]Frame{
		"hello.frame":          {Hello: golden.Fill(&Hello{})},
		"hello-zero.frame":     {Hello: &Hello{}},
		"welcome.frame":        {Welcome: true},
		"state.frame":          {State: golden.Fill(&State{}, notEncoded...)},
		"state-zero.frame":     {State: &State{}},
		"outcome.frame":        {Outcome: golden.Fill(&Outcome{})},
		"outcome-zero.frame":   {Outcome: &Outcome{}},
		"hand-in.frame":        {Submission: golden.Fill(&Submission{}, notEncoded...)},
		"hand-in-zero.frame":   {Submission: &Submission{}},
		"hand-in-sparse.frame": {Submission: &Submission{Message: &journal.Message{}}},
		"answer.frame":         {Answer: golden.Fill(&Answer{})},
		"answer-zero.frame":    {Answer: &Answer{}},
		"withdraw.frame":       {Cancel: 4},
		"empty.frame":          {},
	}
}

// Processes of other builds read and write the same frames: each frame is encoded as in its golden file, and the file
// is decoded to the same frame.
func TestGoldenFrames(t *testing.T) {
	for name, frame := range goldenFrames() {
		var conn recordingConn
		if err := NewConn(&conn).Send(frame); err != nil {
			t.Fatal(err)
		}
		golden.Check(t, *update, name, conn.written.Bytes())
		got, err := receive(golden.Read(t, name))
		if err != nil || !reflect.DeepEqual(got, frame) {
			t.Errorf("%s: read as %+v, %v; want %+v", name, got, err, frame)
		}
	}
}
