package hotrestart

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cherrytrestle.example/cherrytrestle/internal/config/reload"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func sampleFrames() []Frame {
	at := time.Unix(1e9, 5).UTC()
	return []Frame{
		{Hello: &Hello{Revision: "0123"}},
		{Welcome: true},
		{State: &State{
			Now:          time.Hour,
			At:           at,
			WakeAt:       at,
			Snapshot:     []byte{0, 1, 255},
			Version:      41,
			Destinations: []policy.DestinationID{7},
			LastID:       9,
			Config: reload.Config{
				ClassNames: []string{"order"},
				Settings:   policy.Settings{Classes: []policy.Class{{Effect: policy.IdempotentByKey}}},
				Shape:      reload.Shape{"a": 1},
			},
			Endpoints: []Endpoint{
				{Endpoint: policy.Endpoint{ID: "s-1", InService: true, Weight: 1.5}, Addr: "127.0.0.1:1"},
			},
			Messages: []Message{{ID: 3, TraceID: "t", AttemptsStarted: 2, ResubmittedAs: 5}},
			Attempts: []Attempt{{ID: 3, Number: 1, Endpoint: "s-1", SentAt: at, Finished: true}},
			PendingEvents: []policy.Event{
				{Kind: policy.AttemptFinished, MessageID: 3, Outcome: policy.ConnectFailed},
			},
		}},
		{
			Outcome: &Outcome{
				ID:           3,
				Number:       1,
				Outcome:      policy.Overloaded,
				RetryAfter:   time.Second,
				LimitReport:  policy.LimitReport{Present: true, Limit: 2},
				CallFinished: true,
			},
		},
		{
			Submission: &Submission{
				Seq:     1,
				Message: &journal.Message{TraceID: "t", ClassName: "order", Deadline: at, Body: []byte{0xff}},
			},
		},
		{Answer: &Answer{Seq: 1, ID: 4, Status: 202}},
		{Cancel: 4},
	}
}

func connect(t *testing.T) (a, b *Conn) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s")
	if _, err := Dial(path); !errors.Is(err, ErrNoPredecessor) {
		t.Fatalf("dial where no process listens: error %v, want ErrNoPredecessor", err)
	}
	l, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a, err = Dial(path)
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	b = NewConn(c)
	t.Cleanup(func() {
		_ = a.Close() // a test may have closed it
		_ = b.Close()
	})
	return a, b
}

func TestFramesArriveAsSent(t *testing.T) {
	a, b := connect(t)
	var wg sync.WaitGroup
	for range 4 { // frames of concurrent senders must not mix
		wg.Go(func() {
			for _, f := range sampleFrames() {
				if err := a.Send(f); err != nil {
					t.Error(err)
				}
			}
		})
	}
	got := map[int]int{}
	for range 4 * len(sampleFrames()) {
		f, err := b.Receive()
		if err != nil {
			t.Fatal(err)
		}
		for i, want := range sampleFrames() {
			if reflect.DeepEqual(f, want) {
				got[i]++
			}
		}
	}
	wg.Wait()
	for i := range sampleFrames() {
		if got[i] != 4 {
			t.Errorf("frame %d arrived unchanged %d times, want 4", i, got[i])
		}
	}
	a.Close()
	if _, err := b.Receive(); !errors.Is(err, io.EOF) {
		t.Errorf("receive after the connection was closed: %v, want io.EOF", err)
	}
	if err := b.Send(sampleFrames()[0]); err == nil {
		if err = b.Send(sampleFrames()[0]); err == nil {
			t.Error("no error after two frames to a closed connection")
		}
	}
}

// Two processes listen at the same path one after the other. Closing the first one's listener must not remove the path
// of the second.
func TestPathBelongsToLatestListener(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	one, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	two, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer two.Close()
	one.Close()
	c, err := Dial(path)
	if err != nil {
		t.Fatalf("the second listener is gone: %v", err)
	}
	c.Close()
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("socket file %v, error %v; want mode 0600", info, err)
	}
	if _, err := Listen(filepath.Join(t.TempDir(), strings.Repeat("x", 120))); err == nil {
		t.Error("no error for a path that is too long")
	}
}

// A frame that is cut at any byte causes an error and is never read as another frame.
func TestCutFrameIsAnError(t *testing.T) {
	client, server := net.Pipe()
	go func() {
		defer client.Close()
		if err := NewConn(client).Send(sampleFrames()[2]); err != nil {
			t.Error(err)
		}
	}()
	written, err := io.ReadAll(server)
	if err != nil {
		t.Fatal(err)
	}
	for n := range written {
		f, err := receive(written[:n])
		if err == nil || n > 0 && errors.Is(err, io.EOF) || !reflect.DeepEqual(f, Frame{}) {
			t.Fatalf("cut at %d: %+v, %v", n, f, err)
		}
	}
	if _, err := receive(written); err != nil {
		t.Error(err)
	}
}

// bytesConn is a connection that receives the bytes of r.
type bytesConn struct {
	net.Conn
	r io.Reader
}

func (c bytesConn) Read(b []byte) (int, error) { return c.r.Read(b) }

func receive(data []byte) (Frame, error) {
	return NewConn(bytesConn{r: strings.NewReader(string(data))}).Receive()
}

func FuzzReceive(f *testing.F) {
	for _, text := range []string{`{"Hello":{"Revision":"x"}}`, `{"State":{"Now":1}}`, `{"HandIn":{}}`, `[]`} {
		f.Add(append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...))
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{7, 0xff, 0xff, 0xff, 1}) // a length without a text takes no memory
	f.Fuzz(func(t *testing.T, data []byte) {
		if f, err := receive(data); err != nil && !reflect.DeepEqual(f, Frame{}) {
			t.Errorf("frame %+v with error %v, want an empty frame", f, err)
		}
	})
}
