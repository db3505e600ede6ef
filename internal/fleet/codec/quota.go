package codec

import (
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/policy"
)

// quotaMessage is a quota.Message on the wire.
type quotaMessage struct {
	Generation      uint64         `cbor:"1,keyasint"` // of the sender's incarnation; its boot is Message.Boot
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

// lease is a quota.Lease on the wire.
type lease struct {
	Destination int     `cbor:"1,keyasint,omitempty"`
	Endpoint    string  `cbor:"2,keyasint,omitempty"`
	Rate        float64 `cbor:"3,keyasint,omitempty"`
	Delivered   uint32  `cbor:"4,keyasint,omitempty"`
	Rejected    uint32  `cbor:"5,keyasint,omitempty"`
}

// quotaRequest is a quota.Request on the wire.
type quotaRequest struct {
	Destination int    `cbor:"1,keyasint,omitempty"`
	Endpoint    string `cbor:"2,keyasint,omitempty"`
	ID          uint32 `cbor:"3,keyasint"`
	Calls       int    `cbor:"4,keyasint,omitempty"`
	Delivered   uint32 `cbor:"5,keyasint,omitempty"`
	Rejected    uint32 `cbor:"6,keyasint,omitempty"`
}

// grant is a quota.Grant on the wire.
type grant struct {
	Destination int    `cbor:"1,keyasint,omitempty"`
	Endpoint    string `cbor:"2,keyasint,omitempty"`
	ID          uint32 `cbor:"3,keyasint"`
	Calls       int    `cbor:"4,keyasint"`
}

// SetQuotaMessage puts a quota message into the message.
func (m *Message) SetQuotaMessage(q quota.Message) {
	m.EncodedQuota = &quotaMessage{
		Generation:      q.Generation,
		Seq:             q.Seq,
		AckedSeq:        q.AckedSeq,
		AckedGeneration: q.AckedIncarnation.Generation,
		AckedBoot:       q.AckedIncarnation.Boot,
		Ping:            q.Ping,
		Leases:          convertEach(q.Leases, encodeLease),
		Requests:        convertEach(q.Requests, encodeRequest),
		Grants:          convertEach(q.Grants, encodeGrant),
		AsksForLeases:   q.AsksForLeases,
		HoldsNoLease:    q.HoldsNoLease,
	}
}

// QuotaMessage returns the message's quota message. EncodedQuota must not be nil. Package quota checks the values.
func (m Message) QuotaMessage() quota.Message {
	encoded := m.EncodedQuota
	return quota.Message{
		Member:           m.From,
		Incarnation:      loadreport.Incarnation{Generation: encoded.Generation, Boot: m.Boot},
		Seq:              encoded.Seq,
		AckedSeq:         encoded.AckedSeq,
		AckedIncarnation: loadreport.Incarnation{Generation: encoded.AckedGeneration, Boot: encoded.AckedBoot},
		Ping:             encoded.Ping,
		AsksForLeases:    encoded.AsksForLeases,
		HoldsNoLease:     encoded.HoldsNoLease,
		Leases:           convertEach(encoded.Leases, lease.decode),
		Requests:         convertEach(encoded.Requests, quotaRequest.decode),
		Grants:           convertEach(encoded.Grants, grant.decode),
	}
}

// convertEach returns the converted items, or nil if there are none.
func convertEach[From, To any](items []From, convert func(From) To) []To {
	if len(items) == 0 {
		return nil
	}
	converted := make([]To, 0, len(items))
	for _, item := range items {
		converted = append(converted, convert(item))
	}
	return converted
}

func encodeLease(l quota.Lease) lease {
	return lease{
		Destination: int(l.Scope.Destination),
		Endpoint:    l.Scope.Endpoint,
		Rate:        l.Rate,
		Delivered:   l.Delivered,
		Rejected:    l.Rejected,
	}
}

func (l lease) decode() quota.Lease {
	return quota.Lease{
		Scope:     decodeScope(l.Destination, l.Endpoint),
		Rate:      l.Rate,
		Delivered: l.Delivered,
		Rejected:  l.Rejected,
	}
}

func encodeRequest(r quota.Request) quotaRequest {
	return quotaRequest{
		Destination: int(r.Scope.Destination),
		Endpoint:    r.Scope.Endpoint,
		ID:          r.ID,
		Calls:       r.Calls,
		Delivered:   r.Delivered,
		Rejected:    r.Rejected,
	}
}

func (r quotaRequest) decode() quota.Request {
	return quota.Request{
		Scope:     decodeScope(r.Destination, r.Endpoint),
		ID:        r.ID,
		Calls:     r.Calls,
		Delivered: r.Delivered,
		Rejected:  r.Rejected,
	}
}

func encodeGrant(g quota.Grant) grant {
	return grant{
		Destination: int(g.Scope.Destination),
		Endpoint:    g.Scope.Endpoint,
		ID:          g.ID,
		Calls:       g.Calls,
	}
}

func (g grant) decode() quota.Grant {
	return quota.Grant{Scope: decodeScope(g.Destination, g.Endpoint), ID: g.ID, Calls: g.Calls}
}

func decodeScope(destination int, endpoint string) quota.Scope {
	return quota.Scope{Destination: policy.DestinationID(destination), Endpoint: endpoint}
}
