package journal

import (
	"encoding/binary"
	"math"
	"math/bits"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// sharedTerms holds one copy of each of the terms that were read, since most messages have equal terms. The copies must
// not be changed.
type sharedTerms map[policy.MessageTerms]*policy.MessageTerms

func (shared sharedTerms) share(terms policy.MessageTerms) *policy.MessageTerms {
	if known := shared[terms]; known != nil {
		return known
	}
	added := terms // a copy, so that terms itself need not be allocated for each call
	shared[terms] = &added
	return &added
}

// The flags that begin encoded terms. The effect follows them in the same byte, from effectShift on.
const (
	termsOrdered byte = 1 << iota
	termsDedupAllZones

	effectShift = 2 // position of the effect, in bits
)

const (
	// maxTermsSize is the size of encoded terms, in bytes: a byte and five varints at most.
	maxTermsSize = 1 + 5*binary.MaxVarintLen64
	// usualNameSize is the space for the name of a tenant, in bytes. Longer names need an allocation.
	usualNameSize = 64
)

// appendClass appends the encoding of a message's class: its name, extended by the terms and the name of the tenant if
// the terms are known. A program that does not know of terms finds no class of that name, and applies its strictest
// rules.
func appendClass(b []byte, m *Message) []byte {
	if m.Terms == nil {
		return appendString(b, m.ClassName)
	}
	var buf [maxTermsSize + usualNameSize]byte
	fields := appendTerms(buf[:0], m.Terms)
	return appendExtended(b, m.ClassName, appendString(fields, m.TenantName))
}

// readClass reads the name of a message's class, and the terms and the name of the tenant if they are known.
func (r *reader) readClass(m *Message) {
	name, fields, extended := r.readExtended()
	m.ClassName = name
	if !extended {
		return
	}
	m.Terms = r.shared.share(fields.readTerms())
	m.TenantName = fields.readString()
	if fields.failed {
		r.fail()
	}
}

// appendTerms appends the encoding of terms: a byte of flags and the effect, and the other fields.
func appendTerms(b []byte, terms *policy.MessageTerms) []byte {
	class := &terms.Class
	flags := byte(class.Effect) << effectShift
	if class.Ordered {
		flags |= termsOrdered
	}
	if class.DedupAllZones {
		flags |= termsDedupAllZones
	}
	b = append(b, flags)
	b = appendVarint(b, int64(class.DedupWindow))
	b = appendVarint(b, int64(class.LatencyObjective))
	b = appendVarint(b, int64(class.Deadline))
	b = appendFloat(b, class.Weight)
	return appendVarint(b, int64(terms.MaxAttempts))
}

// appendFloat appends the encoding of a number: its bits in reverse byte order, so that a number with few digits takes
// few bytes.
func appendFloat(b []byte, x float64) []byte {
	return binary.AppendUvarint(b, bits.ReverseBytes64(math.Float64bits(x)))
}

func (r *reader) readByte() byte {
	if len(r.data) == 0 {
		r.fail()
		return 0
	}
	value := r.data[0]
	r.data = r.data[1:]
	return value
}

func (r *reader) readFloat() float64 {
	x, size := binary.Uvarint(r.data)
	if size <= 0 {
		r.fail()
		return 0
	}
	r.data = r.data[size:]
	value := math.Float64frombits(bits.ReverseBytes64(x))
	if math.IsNaN(value) || math.IsInf(value, 0) {
		r.fail()
	}
	return value
}

// readTerms reads terms. An effect that this program does not know is read as the strictest one.
func (r *reader) readTerms() policy.MessageTerms {
	flags := r.readByte()
	return policy.MessageTerms{
		Class: policy.Class{ // in the order in which appendTerms writes the fields
			Effect:           min(policy.Effect(flags>>effectShift), policy.NonIdempotent),
			Ordered:          flags&termsOrdered != 0,
			DedupAllZones:    flags&termsDedupAllZones != 0,
			DedupWindow:      time.Duration(r.readInt()),
			LatencyObjective: time.Duration(r.readInt()),
			Deadline:         time.Duration(r.readInt()),
			Weight:           r.readFloat(),
		},
		MaxAttempts: int(r.readInt()),
	}
}
