package codec

import (
	"flag"
	"reflect"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "write the golden files anew")

func goldenQuota() quota.Message {
	scope := quota.Scope{Destination: 7, Endpoint: "s-1"}
	return quota.Message{
		Member: "r3", Incarnation: loadreport.Incarnation{Generation: 5, Boot: 4}, Seq: 70, AckedSeq: 69, AckedIncarnation: loadreport.Incarnation{Generation: 12, Boot: 13},
		Ping: true, AsksForLeases: true, HoldsNoLease: true,
		Leases:   []quota.Lease{{Scope: scope, Rate: 0.25, Delivered: 20, Rejected: 21}},
		Requests: []quota.Request{{Scope: scope, ID: 30, Calls: 31, Delivered: 32, Rejected: 33}},
		Grants:   []quota.Grant{{Scope: scope, ID: 40, Calls: 41}},
	}
}

// Every kind of message has the bytes that earlier builds wrote, and is read as the same.
func TestGoldenMessages(t *testing.T) {
	page := loadreport.Report{
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
	}
	digest := loadreport.Digest{
		"r1": {Incarnation: loadreport.Incarnation{Generation: 3, Boot: 9}, Sequences: map[int]uint64{2: 77, 3: 78}},
	}
	var pages, digests, told, filled Message
	pages.SetReports(page)
	digests.SetDigest(digest)
	digests.WantsReports = true
	told.SetQuotaMessage(goldenQuota())
	golden.Fill(&filled)
	filled.RequiredVersion = Version
	messages := map[string]Message{
		"page": pages, "digest": digests, "rights": told, "ping": {Ping: true}, "pong": {Pong: &Pong{Boot: 8, Clock: 9}}, "filled": filled,
	}
	c := newCodec(t)
	for name, want := range messages {
		if name != "filled" {
			want.From, want.Boot, want.Clock = "r3", 4, 123456789
		}
		data, err := c.Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		file := golden.Check(t, *update, name+".cbor", data)
		got, err := c.Decode(file)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v, %v\nwant %+v", name, got, err, want)
			continue
		}
		switch name {
		case "page":
			if p := got.Reports(); !reflect.DeepEqual(p, []loadreport.Report{page}) {
				t.Errorf("%+v\nwant %+v", p, page)
			}
		case "digest":
			if d := got.ReportDigest(); !reflect.DeepEqual(d, digest) {
				t.Errorf("%+v\nwant %+v", d, digest)
			}
		case "rights":
			if r := got.QuotaMessage(); !reflect.DeepEqual(r, goldenQuota()) {
				t.Errorf("%+v\nwant %+v", r, goldenQuota())
			}
		}
	}
}
