package codec

import (
	"flag"
	"reflect"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func goldenQuota() quota.Message {
	scope := quota.Scope{Destination: 7, Endpoint: "s-1"}
	return quota.Message{
		Member:           "r3",
		Incarnation:      loadreport.Incarnation{Generation: 5, Boot: 4},
		Seq:              70,
		AckedSeq:         69,
		AckedIncarnation: loadreport.Incarnation{Generation: 12, Boot: 13},
		Ping:             true,
		AsksForLeases:    true,
		HoldsNoLease:     true,
		Leases:           []quota.Lease{{Scope: scope, Rate: 0.25, Delivered: 20, Rejected: 21}},
		Requests:         []quota.Request{{Scope: scope, ID: 30, Calls: 31, Delivered: 32, Rejected: 33}},
		Grants:           []quota.Grant{{Scope: scope, ID: 40, Calls: 41}},
	}
}

func goldenDigest() loadreport.Digest {
	return loadreport.Digest{
		"r1": {Incarnation: loadreport.Incarnation{Generation: 3, Boot: 9}, Sequences: map[int]uint64{2: 77, 3: 78}},
	}
}

// goldenMessages returns a message of each kind and a message with every field set, by the names of their golden
// files.
func goldenMessages() map[string]Message {
	var reports, digest, quotaMessage, filled Message
	reports.SetReports(sampleReport())
	digest.SetDigest(goldenDigest())
	digest.WantsReports = true
	quotaMessage.SetQuotaMessage(goldenQuota())
	golden.Fill(&filled)
	filled.RequiredVersion = Version
	messages := map[string]Message{
		"page":   reports,
		"digest": digest,
		"rights": quotaMessage,
		"ping":   {Ping: true},
		"pong":   {Pong: &Pong{Boot: 8, Clock: 9}},
	}
	for name, m := range messages {
		m.From = "r3"
		m.Boot = 4
		m.Clock = 123456789
		messages[name] = m
	}
	messages["filled"] = filled
	return messages
}

// Every kind of message is encoded to the bytes that earlier builds wrote, and is decoded from them unchanged.
func TestGoldenMessages(t *testing.T) {
	c := newCodec(t)
	for name, want := range goldenMessages() {
		t.Run(name, func(t *testing.T) {
			data, err := c.Encode(want)
			if err != nil {
				t.Fatal(err)
			}
			file := golden.Check(t, *update, name+".cbor", data)
			got, err := c.Decode(file)
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Fatalf("decoded message %+v, error %v\nwant %+v", got, err, want)
			}
			checkContent(t, name, got)
		})
	}
}

// checkContent checks the reports, the digest or the quota message of a decoded message.
func checkContent(t *testing.T, name string, m Message) {
	t.Helper()
	switch name {
	case "page":
		want := []loadreport.Report{sampleReport()}
		if got := m.Reports(); !reflect.DeepEqual(got, want) {
			t.Errorf("reports %+v\nwant %+v", got, want)
		}
	case "digest":
		if got := m.ReportDigest(); !reflect.DeepEqual(got, goldenDigest()) {
			t.Errorf("digest %+v\nwant %+v", got, goldenDigest())
		}
	case "rights":
		if got := m.QuotaMessage(); !reflect.DeepEqual(got, goldenQuota()) {
			t.Errorf("quota message %+v\nwant %+v", got, goldenQuota())
		}
	}
}
