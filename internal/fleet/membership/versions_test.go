package membership

import (
	"fmt"
	"log/slog"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"cherrytrestle.example/cherrytrestle/internal/fleet/codec"
	"cherrytrestle.example/cherrytrestle/internal/fleet/gossip"
)

// newerMember simulates a member that runs a newer program. Its messages have fields that this program does not have,
// and some of them require a newer format version.
type newerMember struct {
	name string

	mu       sync.Mutex
	sequence int
	answers  [][]byte
}

const newerBoot = 7

// message encodes a message with one report. Both have the codec's keys and unknown keys.
func (m *newerMember) message(requiredVersion int) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	report := map[any]any{
		1:  m.name,
		2:  1,
		3:  newerBoot,
		4:  0,
		5:  m.sequence,
		7:  []any{map[any]any{1: 0, 4: 2.5, 77: "new"}},
		78: []int{1},
	}
	return mustMarshal(map[any]any{
		0:  requiredVersion,
		1:  m.name,
		2:  newerBoot,
		3:  m.sequence * 1000,
		4:  []any{report},
		79: map[string]int{"new": 1},
	})
}

func mustMarshal(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // All values in the tests can be encoded.
	}
	return data
}

func (m *newerMember) NodeMeta(int) []byte { return []byte("new") }

// NotifyMsg answers clock requests.
func (m *newerMember) NotifyMsg(data []byte) {
	var message codec.Message
	if cbor.Unmarshal(data, &message) != nil || !message.Ping {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers = append(m.answers, mustMarshal(map[any]any{
		1:  m.name,
		2:  newerBoot,
		3:  m.sequence * 1000,
		8:  map[any]any{1: message.Boot, 2: message.Clock},
		80: "new",
	}))
}

func (m *newerMember) GetBroadcasts(_, _ int) [][]byte {
	messages := [][]byte{m.message(0), m.message(codec.Version + 1)}
	m.mu.Lock()
	defer m.mu.Unlock()
	messages = append(messages, m.answers...)
	m.answers = nil
	return messages
}

func (m *newerMember) LocalState(bool) []byte { return m.message(codec.Version + 1) }

func (m *newerMember) MergeRemoteState([]byte, bool) {}

// One member of the fleet runs a newer program. The nodes use the fields of its messages that they support, count the
// messages that require a newer format version, and receive from the other members as before.
func TestNewerMembers(t *testing.T) {
	const newerName = "r900"
	net := &network{}
	transport := net.transport(newerName)
	ip, port, err := transport.FinalAdvertiseAddr("", 0)
	if err != nil {
		t.Fatal(err)
	}
	nodes := mesh(t, net, 2, func(i int, c *Config) {
		if i == 0 { // All configurations share one map, which is only read after this.
			c.Peers[newerName] = fmt.Sprintf("%s:%d", ip, port)
		}
	})
	config := memberlist.DefaultLANConfig()
	config.Name = newerName
	config.Transport = transport
	config.GossipInterval = gossip.Interval
	config.Delegate = &newerMember{name: newerName}
	config.Logger = slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)
	list, err := memberlist.Create(config)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = list.Shutdown() }() // the error does not matter after the test
	for _, node := range nodes {
		publishOne(node, 1, 1)
	}
	for i, node := range nodes {
		eventually(t, "the newer member's messages are received and counted", func() bool {
			return holdsReport(node, newerName, 1) && node.Status().UnsupportedVersion > 0
		})
		eventually(t, "the other node's report arrives", func() bool { return holdsReport(node, memberName(1-i), 1) })
	}
}
