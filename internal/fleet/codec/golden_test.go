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

func goldenRights() quota.Message {
	scope := quota.Scope{Dest: 7, Route: "s-1"}
	return quota.Message{
		Member: "r3", Life: loadreport.Life{Incarnation: 5, Boot: 4}, Seq: 70, Seen: 69, Of: loadreport.Life{Incarnation: 12, Boot: 13},
		Ping: true, New: true, None: true,
		Loans: []quota.Loan{{Scope: scope, Rate: 0.25, Done: 20, Refused: 21}},
		Asks:  []quota.Ask{{Scope: scope, ID: 30, N: 31, Done: 32, Refused: 33}},
		Gives: []quota.Give{{Scope: scope, ID: 40, N: 41}},
	}
}

// Every kind of message has the bytes that earlier builds wrote, and is read as the same.
func TestGoldenMessages(t *testing.T) {
	page := loadreport.Page{
		Name: "r1", Life: loadreport.Life{Incarnation: 3, Boot: 9}, Number: 2, Sequence: 77, Age: 1500 * time.Millisecond,
		Cells: []loadreport.Cell{
			{Dest: 8, Demand: 0.5, Calls: 0.25, Refusals: 1.5, Deliveries: 3, Failures: 0.125, Backlog: 12, Wait: 2 * time.Second, Cold: true},
			{Dest: 9, Route: "s-1", Calls: 1},
		},
	}
	digest := loadreport.Digest{"r1": {Life: loadreport.Life{Incarnation: 3, Boot: 9}, Pages: map[int]uint64{2: 77, 3: 78}}}
	var pages, digests, told, filled Message
	pages.SetPages(page)
	digests.SetDigest(digest)
	digests.Asks = true
	told.SetRights(goldenRights())
	golden.Fill(&filled)
	filled.Needs = Form
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
			if p := got.LedgerPages(); !reflect.DeepEqual(p, []loadreport.Page{page}) {
				t.Errorf("%+v\nwant %+v", p, page)
			}
		case "digest":
			if d := got.LedgerDigest(); !reflect.DeepEqual(d, digest) {
				t.Errorf("%+v\nwant %+v", d, digest)
			}
		case "rights":
			if r := got.RightsMessage(); !reflect.DeepEqual(r, goldenRights()) {
				t.Errorf("%+v\nwant %+v", r, goldenRights())
			}
		}
	}
}
