// Package codec encodes the messages between the relays of a fleet as CBOR (RFC 8949), and decodes them with bounds. It
// is pure.
//
// How the format is extended: every struct is a map with integer keys. A new field gets a new key, which older programs
// ignore; a key is never used for anything else. What older programs must not ignore raises RequiredVersion: they
// reject such a message, count it, and go on with the others.
package codec

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Version is the newest version of the format that this program reads in full.
const Version = 1

// Bounds of a message, which protect the decoder's memory.
const (
	// MaxMessageSize bounds a message, in bytes.
	MaxMessageSize = 1 << 20
	// MaxReports bounds the reports in a message, and the elements of any array or map in it.
	MaxReports = 1 << 14
	// maxNestedLevels bounds the nesting: a message nests less deeply, also with fields of later versions.
	maxNestedLevels = 8
)

// ErrUnsupportedVersion says that a message can be read only by a newer program.
var ErrUnsupportedVersion = errors.New("codec: the message needs a newer program")

// Message is what one relay sends to another.
type Message struct {
	RequiredVersion int              `cbor:"0,keyasint,omitempty"` // 0: version 1
	From            string           `cbor:"1,keyasint"`
	Boot            uint32           `cbor:"2,keyasint"`
	Clock           int64            `cbor:"3,keyasint"` // the sender's monotonic time at encoding, in µs
	EncodedReports  []report         `cbor:"4,keyasint,omitempty"`
	Digest          []memberVersions `cbor:"5,keyasint,omitempty"`
	WantsReports    bool             `cbor:"6,keyasint,omitempty"` // asks for what Digest lacks; it may be empty
	Ping            bool             `cbor:"7,keyasint,omitempty"` // a clock request, to be answered at once
	Pong            *Pong            `cbor:"8,keyasint,omitempty"` // the answer to one
	EncodedQuota    *quotaMessage    `cbor:"9,keyasint,omitempty"` // for the receiver; Clock is when it was decided
}

// Pong answers a clock request with the sender and the sending time of that.
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
		return nil, fmt.Errorf("codec: %w", err)
	}
	return data, nil
}

// Decode decodes a message. It does not check the values in the reports: that is up to loadreport.Table.
func (c *Codec) Decode(data []byte) (Message, error) {
	if len(data) > MaxMessageSize {
		return Message{}, fmt.Errorf("codec: message of %d bytes exceeds the maximum of %d", len(data), MaxMessageSize)
	}
	var m Message
	if err := c.decoder.Unmarshal(data, &m); err != nil {
		return Message{}, fmt.Errorf("codec: %w", err)
	}
	if m.RequiredVersion > Version {
		return Message{}, fmt.Errorf("%w: of version %d, this one reads %d",
			ErrUnsupportedVersion, m.RequiredVersion, Version)
	}
	return m, nil
}
