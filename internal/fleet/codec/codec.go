// Package codec encodes the messages between the relays of a fleet as CBOR (RFC 8949), and decodes them within
// bounds. It is pure.
//
// The format is extended as follows. Every struct is a map with integer keys. A new field gets a new key, which older
// programs ignore. A key is never reused for another field. If older programs must not ignore a new field, messages
// with that field get a greater RequiredVersion. Older programs reject such a message, count it, and continue with
// other messages.
package codec

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Version is the newest version of the format that this program supports.
const Version = 1

// Bounds of a message. They limit the memory that the decoder uses.
const (
	// MaxMessageSize bounds the size of a message in bytes.
	MaxMessageSize = 1 << 20
	// MaxReports bounds the reports in a message, and the elements of any array or map in it.
	MaxReports = 1 << 14
	// maxNestedLevels bounds the nesting of arrays and maps. Messages stay below it, with room for fields of later
	// versions.
	maxNestedLevels = 8
)

// ErrUnsupportedVersion reports that a message requires a newer version of the format.
var ErrUnsupportedVersion = errors.New("codec: message requires a newer format version")

// Message is what one relay sends to another.
type Message struct {
	RequiredVersion int              `cbor:"0,keyasint,omitempty"` // 0 means version 1
	From            string           `cbor:"1,keyasint"`
	Boot            uint32           `cbor:"2,keyasint"` // of the sender's incarnation
	Clock           int64            `cbor:"3,keyasint"` // the sender's monotonic time at encoding, in µs
	EncodedReports  []report         `cbor:"4,keyasint,omitempty"`
	Digest          []memberVersions `cbor:"5,keyasint,omitempty"`
	WantsReports    bool             `cbor:"6,keyasint,omitempty"` // requests what Digest lacks; Digest may be empty
	Ping            bool             `cbor:"7,keyasint,omitempty"` // a clock request, to be answered at once
	Pong            *Pong            `cbor:"8,keyasint,omitempty"` // the answer to a clock request
	EncodedQuota    *quotaMessage    `cbor:"9,keyasint,omitempty"` // if set, Clock is when it was decided
}

// Pong answers a clock request. It repeats the Boot and the Clock of the request.
type Pong struct {
	Boot  uint32 `cbor:"1,keyasint"`
	Clock int64  `cbor:"2,keyasint"` // microseconds
}

// Codec encodes and decodes messages. It is safe for concurrent use.
type Codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// New returns a Codec.
func New() (*Codec, error) {
	encoder, err := cbor.EncOptions{
		Sort:          cbor.SortBytewiseLexical,
		ShortestFloat: cbor.ShortestFloat16,
		NaNConvert:    cbor.NaNConvertReject,
		InfConvert:    cbor.InfConvertReject,
		IndefLength:   cbor.IndefLengthForbidden,
		TagsMd:        cbor.TagsForbidden,
	}.EncMode()
	if err != nil {
		return nil, fmt.Errorf("codec: %w", err)
	}
	decoder, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: MaxReports,
		MaxMapPairs:      MaxReports,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("codec: %w", err)
	}
	return &Codec{encoder, decoder}, nil
}

// Encode encodes a message.
func (c *Codec) Encode(m Message) ([]byte, error) {
	data, err := c.encoder.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("codec: encode message: %w", err)
	}
	return data, nil
}

// Decode decodes a message. It does not check the values in the reports: loadreport.Table does.
func (c *Codec) Decode(data []byte) (Message, error) {
	if len(data) > MaxMessageSize {
		return Message{}, fmt.Errorf("codec: message of %d bytes exceeds the maximum of %d", len(data), MaxMessageSize)
	}
	var m Message
	if err := c.decoder.Unmarshal(data, &m); err != nil {
		return Message{}, fmt.Errorf("codec: decode message: %w", err)
	}
	if m.RequiredVersion > Version {
		return Message{}, fmt.Errorf("%w: version %d required, version %d supported",
			ErrUnsupportedVersion, m.RequiredVersion, Version)
	}
	return m, nil
}
