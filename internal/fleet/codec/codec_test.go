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

// sampleReport has every field set.
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

// sampleData is an encoded message with the sample reports and digest.
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
		t.Fatalf("%+v, %v", got, err)
	}
	if reports := got.Reports(); !reflect.DeepEqual(reports, sampleReports()) {
		t.Errorf("%+v\nwant %+v", reports, sampleReports())
	}
	if digest := got.ReportDigest(); !reflect.DeepEqual(digest, sampleDigest()) {
		t.Errorf("%+v\nwant %+v", digest, sampleDigest())
	}
	for size := range len(data) {
		if _, err := c.Decode(data[:size]); err == nil {
			t.Errorf("truncated to %d bytes it is accepted", size)
		}
	}
}

// A newer program's fields are ignored, and what must not be ignored is rejected as such.
func TestNewerPrograms(t *testing.T) {
	c := newCodec(t)
	tree := newerTree(t, sampleData(t, c))
	got, err := c.Decode(marshal(t, tree))
	if err != nil || !reflect.DeepEqual(got.Reports(), sampleReports()) {
		t.Errorf("%+v, %v", got, err)
	}
	tree[0] = Version + 1
	if _, err := c.Decode(marshal(t, tree)); !errors.Is(err, ErrUnsupportedVersion) {
		t.Error(err)
	}
}

// newerTree is a message with fields that no program has yet, at each level.
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

// Any input is decoded or rejected, and what is decoded has ages that the table's bounds can judge.
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
				t.Errorf("%v, %v", result, err)
			}
		}
		table.Each(time.Hour, func(r loadreport.Report) {
			if r.Age < 0 || r.Age > loadreport.MaxAge {
				t.Errorf("age %v", r.Age)
			}
		})
		m.ReportDigest()
	})
}

// A quota message is decoded as it was encoded, and one with as many entries as a message has fits a datagram.
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
		t.Errorf("%+v\nwant %+v", got, want)
	}
	if len(data) > gossip.MaxDatagramSize {
		t.Errorf("%d bytes", len(data))
	}
}

// fullQuotaMessage has the most entries that one message holds, with values that are long when encoded.
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
