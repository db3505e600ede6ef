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
)

func newCodec(t testing.TB) *Codec {
	c, err := New()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func sample() (Message, []loadreport.Report, loadreport.Digest) {
	pages := []loadreport.Report{{
		Name: "r1", Incarnation: loadreport.Incarnation{Generation: 3, Boot: 9}, Number: 2, Sequence: 77, Age: 1500 * time.Millisecond,
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
	}, {Name: "r2", Incarnation: loadreport.Incarnation{Generation: 1, Boot: 1}, Sequence: 1}}
	digest := loadreport.Digest{
		"r1": {Incarnation: loadreport.Incarnation{Generation: 3, Boot: 9}, Sequences: map[int]uint64{2: 77}},
		"r2": {Incarnation: loadreport.Incarnation{Generation: 1}},
	}
	m := Message{From: "r3", Boot: 4, Clock: 123456789, WantsReports: true}
	m.SetReports(pages...)
	m.SetDigest(digest)
	return m, pages, digest
}

func TestThereAndBack(t *testing.T) {
	c := newCodec(t)
	m, pages, digest := sample()
	data, err := c.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := c.Decode(data)
	if err != nil || got.From != "r3" || got.Boot != 4 || got.Clock != 123456789 || !got.WantsReports {
		t.Fatalf("%+v, %v", got, err)
	}
	if p := got.Reports(); !reflect.DeepEqual(p, pages) {
		t.Errorf("%+v\nwant %+v", p, pages)
	}
	if d := got.ReportDigest(); !reflect.DeepEqual(d, digest) {
		t.Errorf("%+v\nwant %+v", d, digest)
	}
	for cut := range len(data) {
		if _, err := c.Decode(data[:cut]); err == nil {
			t.Errorf("cut at %d it is taken", cut)
		}
	}
}

// A newer program's fields are passed over, and what must not be passed over is refused as such.
func TestNewerPrograms(t *testing.T) {
	c := newCodec(t)
	m, pages, _ := sample()
	data, _ := c.Encode(m)
	var tree map[int]any
	if err := cbor.Unmarshal(data, &tree); err != nil {
		t.Fatal(err)
	}
	tree[90] = map[string]any{"what": []int{1, 2}}
	for _, p := range tree[4].([]any) {
		p.(map[any]any)[uint64(91)] = "new"
		if cells, ok := p.(map[any]any)[uint64(7)].([]any); ok {
			for _, x := range cells {
				x.(map[any]any)[uint64(92)] = 1.5
			}
		}
	}
	more, err := cbor.Marshal(tree)
	if err != nil {
		t.Fatal(err)
	}
	got, err := c.Decode(more)
	if err != nil || !reflect.DeepEqual(got.Reports(), pages) {
		t.Errorf("%+v, %v", got, err)
	}
	tree[0] = Version + 1
	more, _ = cbor.Marshal(tree)
	if _, err := c.Decode(more); !errors.Is(err, ErrUnsupportedVersion) {
		t.Error(err)
	}
}

// Whatever comes, it is read or refused, and what is read has ages that the ledger's bounds can judge.
func FuzzDecode(f *testing.F) {
	c := newCodec(f)
	m, _, _ := sample()
	data, _ := c.Encode(m)
	f.Add(data)
	f.Add([]byte{0xa1, 4, 0x81, 0xa1, 6, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := c.Decode(data)
		if err != nil {
			return
		}
		l := loadreport.New("me", loadreport.Incarnation{Generation: 1}, []string{"r1", "r2"})
		for _, p := range m.Reports() {
			out, err := l.Merge(time.Hour, p)
			if (out == loadreport.Rejected) != (err != nil) && out != loadreport.Rejected {
				t.Errorf("%v, %v", out, err)
			}
		}
		l.Each(time.Hour, func(p loadreport.Report) {
			if p.Age < 0 || p.Age > loadreport.MaxAge {
				t.Errorf("age %v", p.Age)
			}
		})
		m.ReportDigest()
	})
}

// What one member tells another of rights comes as it was told, all of it, and a message that is full of it fits a
// datagram.
func TestRightsOnTheWire(t *testing.T) {
	c, err := New()
	if err != nil {
		t.Fatal(err)
	}
	r := quota.Message{
		Member: "relay-17", Incarnation: loadreport.Incarnation{Generation: 3, Boot: 9}, Seq: 70000, AckedSeq: 69000, AckedIncarnation: loadreport.Incarnation{Generation: 12, Boot: 1 << 31},
		Ping: true, AsksForLeases: true, HoldsNoLease: true,
	}
	for i := range 24 { // the most that one holds
		at := quota.Scope{Destination: 40000 + i, Endpoint: fmt.Sprintf("s-%08x", i)}
		switch i % 3 {
		case 0:
			r.Leases = append(
				r.Leases,
				quota.Lease{Scope: at, Rate: 0.123456789, Delivered: 1 << 20, Rejected: 1 << 12},
			)
		case 1:
			r.Requests = append(
				r.Requests,
				quota.Request{Scope: at, ID: 1 << 20, Calls: 16, Delivered: 1 << 20, Rejected: 1 << 12},
			)
		case 2:
			r.Grants = append(r.Grants, quota.Grant{Scope: at, ID: 1 << 20, Calls: 16})
		}
	}
	m := Message{From: r.Member, Boot: r.Boot, Clock: 1 << 40}
	m.SetQuotaMessage(r)
	data, err := c.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := c.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if back := got.QuotaMessage(); !reflect.DeepEqual(back, r) {
		t.Errorf("%+v\nwant %+v", back, r)
	}
	if len(data) > gossip.MaxDatagramSize {
		t.Errorf("%d bytes", len(data))
	}
}
