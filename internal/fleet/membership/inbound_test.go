package membership

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	msgpack "github.com/hashicorp/go-msgpack/v2/codec"
)

// streamStart returns the start of a stream: a type and an announcement of sizes.
func streamStart(t *testing.T, kind byte, header streamHeader) string {
	t.Helper()
	var text bytes.Buffer
	text.WriteByte(kind)
	if err := msgpack.NewEncoder(&text, &msgpack.MsgpackHandle{}).Encode(header); err != nil {
		t.Fatal(err)
	}
	return text.String()
}

// TestAnnouncedSizesAreBounded guards against a stream that makes memberlist allocate what it announces. What is within
// the bound is read unchanged.
func TestAnnouncedSizesAreBounded(t *testing.T) {
	const maxBytes = 1 << 20
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"small":        {streamStart(t, pushPullMessage, streamHeader{Nodes: 3, UserStateLen: 100}) + "state", nil},
		"labelled":     {"\xf4\x03abc" + streamStart(t, userMessage, streamHeader{UserMsgLen: 4}) + "text", nil},
		"ping":         {"\x00text", nil},
		"many nodes":   {streamStart(t, pushPullMessage, streamHeader{Nodes: 1 << 20}), errStreamSize},
		"large state":  {streamStart(t, pushPullMessage, streamHeader{UserStateLen: 20 << 20}), errStreamSize},
		"large text":   {streamStart(t, userMessage, streamHeader{UserMsgLen: 20 << 20}), errStreamSize},
		"negative":     {streamStart(t, userMessage, streamHeader{UserMsgLen: -1}), errStreamSize},
		"compressed":   {"\x09" + strings.Repeat("x", 100), errStreamType},
		"nothing":      {"", io.EOF},
		"no such type": {"\x63", errStreamType},
	} {
		t.Run(name, func(t *testing.T) {
			tested, peer := net.Pipe()
			go func() {
				_, _ = io.WriteString(peer, c.text) // fails if the stream is refused
				_ = peer.Close()
			}()
			stream := &boundedStream{Conn: tested, maxBytes: maxBytes, release: func() {}}
			got, err := io.ReadAll(stream)
			if !errors.Is(err, c.want) || err == nil && string(got) != c.text {
				t.Errorf("read %q, %v; want %v", got, err, c.want)
			}
			_ = tested.Close()
		})
	}
}
