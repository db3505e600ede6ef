package agent

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
)

// Record holds what one step received from other members and what it sent to them. A replay of the step needs only
// this and the engine's record of the step. The order of the fields is part of the recordings' format.
type Record struct {
	_             struct{} `cbor:",toarray"`
	Received      []loadreport.Report
	Incarnation   loadreport.Incarnation
	Published     []loadreport.Report
	QuotaReceived []quota.Message
	QuotaSent     []quota.Message
}

// Append appends the record's encoding to b, and nothing for an empty record.
func (r Record) Append(b []byte) []byte {
	if r.empty() {
		return b
	}
	data, err := canonicalEncoding.Marshal(r)
	if err != nil {
		return b // Every record can be encoded.
	}
	return append(b, data...)
}

func (r Record) empty() bool {
	entries := len(r.Received) + len(r.Published) + len(r.QuotaReceived) + len(r.QuotaSent)
	return entries == 0 && r.Incarnation == (loadreport.Incarnation{})
}

// ReadRecord decodes what Append wrote. Empty data is an empty record.
func ReadRecord(data []byte) (Record, error) {
	var record Record
	if len(data) == 0 {
		return record, nil
	}
	if err := cbor.Unmarshal(data, &record); err != nil {
		return Record{}, fmt.Errorf("fleet agent: decode record: %w", err)
	}
	return record, nil
}
