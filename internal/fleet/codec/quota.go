package codec

import (
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/policy"
)

// quotaMessage is a quota.Message on the wire.
type quotaMessage struct {
	Generation      uint64         `cbor:"1,keyasint"` // of the sender, whose boot the message has
	Seq             uint64         `cbor:"2,keyasint"`
	AckedSeq        uint64         `cbor:"3,keyasint,omitempty"`
	AckedGeneration uint64         `cbor:"4,keyasint,omitempty"`
	AckedBoot       uint32         `cbor:"5,keyasint,omitempty"`
	Ping            bool           `cbor:"6,keyasint,omitempty"`
	Leases          []lease        `cbor:"7,keyasint,omitempty"`
	Requests        []quotaRequest `cbor:"8,keyasint,omitempty"`
	Grants          []grant        `cbor:"9,keyasint,omitempty"`
	AsksForLeases   bool           `cbor:"10,keyasint,omitempty"`
	HoldsNoLease    bool           `cbor:"11,keyasint,omitempty"`
}

type lease struct {
	Destination int     `cbor:"1,keyasint,omitempty"`
	Endpoint    string  `cbor:"2,keyasint,omitempty"`
	Rate        float64 `cbor:"3,keyasint,omitempty"`
	Delivered   uint32  `cbor:"4,keyasint,omitempty"`
	Rejected    uint32  `cbor:"5,keyasint,omitempty"`
}

type quotaRequest struct {
	Destination int    `cbor:"1,keyasint,omitempty"`
	Endpoint    string `cbor:"2,keyasint,omitempty"`
	ID          uint32 `cbor:"3,keyasint"`
	Calls       int    `cbor:"4,keyasint,omitempty"`
	Delivered   uint32 `cbor:"5,keyasint,omitempty"`
	Rejected    uint32 `cbor:"6,keyasint,omitempty"`
}

type grant struct {
	Destination int    `cbor:"1,keyasint,omitempty"`
	Endpoint    string `cbor:"2,keyasint,omitempty"`
	ID          uint32 `cbor:"3,keyasint"`
	Calls       int    `cbor:"4,keyasint"`
}

// SetQuotaMessage puts a quota message into the message.
func (m *Message) SetQuotaMessage(q quota.Message) {
	encoded := &quotaMessage{
		Generation:      q.Generation,
		Seq:             q.Seq,
		AckedSeq:        q.AckedSeq,
		AckedGeneration: q.AckedIncarnation.Generation,
		AckedBoot:       q.AckedIncarnation.Boot,
		Ping:            q.Ping,
		AsksForLeases:   q.AsksForLeases,
		HoldsNoLease:    q.HoldsNoLease,
	}
	for _, l := range q.Leases {
		encoded.Leases = append(encoded.Leases, lease{
			Destination: int(l.Scope.Destination),
			Endpoint:    l.Scope.Endpoint,
			Rate:        l.Rate,
			Delivered:   l.Delivered,
			Rejected:    l.Rejected,
		})
	}
	for _, r := range q.Requests {
		encoded.Requests = append(encoded.Requests, quotaRequest{
			Destination: int(r.Scope.Destination),
			Endpoint:    r.Scope.Endpoint,
			ID:          r.ID,
			Calls:       r.Calls,
			Delivered:   r.Delivered,
			Rejected:    r.Rejected,
		})
	}
	for _, g := range q.Grants {
		encoded.Grants = append(encoded.Grants, grant{
			Destination: int(g.Scope.Destination),
			Endpoint:    g.Scope.Endpoint,
			ID:          g.ID,
			Calls:       g.Calls,
		})
	}
	m.EncodedQuota = encoded
}

// QuotaMessage returns the message's quota message, which must be there. Package quota checks its values.
func (m Message) QuotaMessage() quota.Message {
	encoded := m.EncodedQuota
	q := quota.Message{
		Member:           m.From,
		Incarnation:      loadreport.Incarnation{Generation: encoded.Generation, Boot: m.Boot},
		Seq:              encoded.Seq,
		AckedSeq:         encoded.AckedSeq,
		AckedIncarnation: loadreport.Incarnation{Generation: encoded.AckedGeneration, Boot: encoded.AckedBoot},
		Ping:             encoded.Ping,
		AsksForLeases:    encoded.AsksForLeases,
		HoldsNoLease:     encoded.HoldsNoLease,
	}
	for _, l := range encoded.Leases {
		q.Leases = append(q.Leases, quota.Lease{
			Scope:     quota.Scope{Destination: policy.DestinationID(l.Destination), Endpoint: l.Endpoint},
			Rate:      l.Rate,
			Delivered: l.Delivered,
			Rejected:  l.Rejected,
		})
	}
	for _, r := range encoded.Requests {
		q.Requests = append(q.Requests, quota.Request{
			Scope:     quota.Scope{Destination: policy.DestinationID(r.Destination), Endpoint: r.Endpoint},
			ID:        r.ID,
			Calls:     r.Calls,
			Delivered: r.Delivered,
			Rejected:  r.Rejected,
		})
	}
	for _, g := range encoded.Grants {
		q.Grants = append(q.Grants, quota.Grant{
			Scope: quota.Scope{Destination: policy.DestinationID(g.Destination), Endpoint: g.Endpoint},
			ID:    g.ID,
			Calls: g.Calls,
		})
	}
	return q
}
