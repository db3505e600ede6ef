package codec

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cherrytrestle.example/cherrytrestle/internal/fleet/gossip"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/policy"
)

func newCodec(t testing.TB) *Codec {
	t.Helper()
	c, err := New()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// sampleReport returns a report with every field set.
func sampleReport() loadreport.Report {
	return loadreport.Report{
		Name:        "r1",
		Incarnation: loadreport.Incarnation{Generation: 3, Boot: 9},
		Number:      2,
		Sequence:    77,
		Age:         1500 * time.Millisecond,
		Scopes: []loadreport.ScopeLoad{
			{
				Destination: 8,
				Demand:      0.5,
				Calls:       0.25,
				Rejections:  1.5,
				Deliveries:  3,
				Failures:    0.125,
				Backlog:     12,
				RetryAfter:  2 * time.Second,
				WarmingUp:   true,
			},
			{Destination: 9, Endpoint: "s-1", Calls: 1},
		},
	}
}

func sampleReports() []loadreport.Report {
	return []loadreport.Report{
		sampleReport(),
		{Name: "r2", Incarnation: loadreport.Incarnation{Generation: 1, Boot: 1}, Sequence: 1},
	}
}

func sampleDigest() loadreport.Digest {
	return loadreport.Digest{
		"r1": {Incarnation: loadreport.Incarnation{Generation: 3, Boot: 9}, Sequences: map[int]uint64{2: 77}},
		"r2": {Incarnation: loadreport.Incarnation{Generation: 1}},
	}
}

// sampleData returns an encoded message with the sample reports and the sample digest.
func sampleData(t testing.TB, c *Codec) []byte {
	t.Helper()
	m := Message{From: "r3", Boot: 4, Clock: 123456789, WantsReports: true}
	m.SetReports(sampleReports()...)
	m.SetDigest(sampleDigest())
	data, err := c.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestRoundTrip(t *testing.T) {
	c := newCodec(t)
	data := sampleData(t, c)
	got, err := c.Decode(data)
	if err != nil || got.From != "r3" || got.Boot != 4 || got.Clock != 123456789 || !got.WantsReports {
		t.Fatalf("decoded message %+v, error %v", got, err)
	}
	if reports := got.Reports(); !reflect.DeepEqual(reports, sampleReports()) {
		t.Errorf("reports %+v\nwant %+v", reports, sampleReports())
	}
	if digest := got.ReportDigest(); !reflect.DeepEqual(digest, sampleDigest()) {
		t.Errorf("digest %+v\nwant %+v", digest, sampleDigest())
	}
	for size := range len(data) {
		if _, err := c.Decode(data[:size]); err == nil {
			t.Errorf("a message truncated to %d bytes is accepted", size)
		}
	}
}

// Unknown fields of a newer program are ignored. A message that requires a newer version is rejected with
// ErrUnsupportedVersion.
func TestNewerPrograms(t *testing.T) {
	c := newCodec(t)
	tree := newerTree(t, sampleData(t, c))
	got, err := c.Decode(marshal(t, tree))
	if err != nil || !reflect.DeepEqual(got.Reports(), sampleReports()) {
		t.Errorf("decoded message %+v, error %v", got, err)
	}
	tree[0] = Version + 1
	if _, err := c.Decode(marshal(t, tree)); !errors.Is(err, ErrUnsupportedVersion) {
		t.Errorf("error %v, want %v", err, ErrUnsupportedVersion)
	}
}

// newerTree decodes a message into maps, and adds a field at each level that this program does not have.
func newerTree(t *testing.T, data []byte) map[int]any {
	t.Helper()
	var tree map[int]any
	if err := cbor.Unmarshal(data, &tree); err != nil {
		t.Fatal(err)
	}
	tree[90] = map[string]any{"what": []int{1, 2}}
	for _, r := range tree[4].([]any) {
		encoded := r.(map[any]any)
		encoded[uint64(91)] = "new"
		scopes, ok := encoded[uint64(7)].([]any)
		if !ok {
			continue
		}
		for _, scope := range scopes {
			scope.(map[any]any)[uint64(92)] = 1.5
		}
	}
	return tree
}

func marshal(t *testing.T, tree map[int]any) []byte {
	t.Helper()
	data, err := cbor.Marshal(tree)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Any input is either decoded or rejected. Decoded reports are either rejected by a table or have an age within its
// bounds.
func FuzzDecode(f *testing.F) {
	c := newCodec(f)
	f.Add(sampleData(f, c))
	f.Add([]byte{0xa1, 4, 0x81, 0xa1, 6, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := c.Decode(data)
		if err != nil {
			return
		}
		table := loadreport.New("me", loadreport.Incarnation{Generation: 1}, []string{"r1", "r2"})
		for _, r := range m.Reports() {
			result, err := table.Merge(time.Hour, r)
			if (result == loadreport.Rejected) != (err != nil) && result != loadreport.Rejected {
				t.Errorf("merge result %v, error %v", result, err)
			}
		}
		table.Each(time.Hour, func(r loadreport.Report) {
			if r.Age < 0 || r.Age > loadreport.MaxAge {
				t.Errorf("age %v, want 0 to %v", r.Age, loadreport.MaxAge)
			}
		})
		m.ReportDigest()
	})
}

// A quota message with the greatest number of entries is decoded as it was encoded, and fits into a datagram.
func TestQuotaMessage(t *testing.T) {
	c := newCodec(t)
	want := fullQuotaMessage()
	m := Message{From: want.Member, Boot: want.Boot, Clock: 1 << 40}
	m.SetQuotaMessage(want)
	data, err := c.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := c.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if got := decoded.QuotaMessage(); !reflect.DeepEqual(got, want) {
		t.Errorf("quota message %+v\nwant %+v", got, want)
	}
	if len(data) > gossip.MaxDatagramSize {
		t.Errorf("encoded message has %d bytes, want at most %d", len(data), gossip.MaxDatagramSize)
	}
}

// fullQuotaMessage returns a message with the greatest number of entries, whose values are long when encoded.
func fullQuotaMessage() quota.Message {
	m := quota.Message{
		Member:           "relay-17",
		Incarnation:      loadreport.Incarnation{Generation: 3, Boot: 9},
		Seq:              70000,
		AckedSeq:         69000,
		AckedIncarnation: loadreport.Incarnation{Generation: 12, Boot: 1 << 31},
		Ping:             true,
		AsksForLeases:    true,
		HoldsNoLease:     true,
	}
	const (
		entries   = 24
		delivered = 1 << 20
		rejected  = 1 << 12
	)
	for i := range entries {
		scope := quota.Scope{Destination: policy.DestinationID(40000 + i), Endpoint: fmt.Sprintf("s-%08x", i)}
		switch i % 3 {
		case 0:
			lease := quota.Lease{Scope: scope, Rate: 0.123456789, Delivered: delivered, Rejected: rejected}
			m.Leases = append(m.Leases, lease)
		case 1:
			request := quota.Request{Scope: scope, ID: 1 << 20, Calls: 16, Delivered: delivered, Rejected: rejected}
			m.Requests = append(m.Requests, request)
		case 2:
			m.Grants = append(m.Grants, quota.Grant{Scope: scope, ID: 1 << 20, Calls: 16})
		}
	}
	return m
}
