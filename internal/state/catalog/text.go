package catalog

import (
	"encoding/binary"
	"math"
	"math/bits"
	"net/netip"
)

// The text of an endpoint holds what is known of it but its destination: the id (length, bytes), flags (one byte),
// kind, zone and weight as varints, and the address: an IPv4 address and port as six bytes, any other as length and
// bytes.

const (
	flagInService = 1 << iota
	flagIPv4      // the address is four bytes and two of its port
)

const (
	ipv4Size = 4
	portSize = 2
	// maxIPv4Text is the length of the longest text of an IPv4 address and port.
	maxIPv4Text = len("255.255.255.255:65535")
)

// mayBeIPv4 reports whether an address may be an IPv4 address and port. It avoids the parser's error for host names,
// which is an allocation.
func mayBeIPv4(addr string) bool {
	for i := range len(addr) {
		if b := addr[i]; b != '.' && b != ':' && (b < '0' || b > '9') {
			return false
		}
	}
	return true
}

// appendIPv4 appends an address as an IPv4 address and port, if its text is the one that they are written as.
func appendIPv4(b []byte, addr string) (_ []byte, ok bool) {
	if !mayBeIPv4(addr) {
		return b, false
	}
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil || !parsed.Addr().Is4() {
		return b, false
	}
	var buf [maxIPv4Text]byte
	if string(parsed.AppendTo(buf[:0])) != addr {
		return b, false
	}
	ip := parsed.Addr().As4()
	b = append(b, ip[:]...)
	return binary.BigEndian.AppendUint16(b, parsed.Port()), true
}

// appendText appends an endpoint's text.
func appendText(b []byte, e *Endpoint) []byte {
	b = binary.AppendUvarint(b, uint64(len(e.ID)))
	b = append(b, e.ID...)
	flags := len(b)
	b = append(b, 0)
	if e.InService {
		b[flags] |= flagInService
	}
	b = binary.AppendVarint(b, int64(e.Kind))
	b = binary.AppendVarint(b, int64(e.Zone))
	b = binary.AppendUvarint(b, bits.ReverseBytes64(math.Float64bits(e.Weight))) // short for round numbers
	b, isIPv4 := appendIPv4(b, e.Addr)
	if isIPv4 {
		b[flags] |= flagIPv4
		return b
	}
	b = binary.AppendUvarint(b, uint64(len(e.Addr)))
	return append(b, e.Addr...)
}

// endpointText is a text taken apart.
type endpointText struct {
	id         []byte
	inService  bool
	kind, zone int
	weight     float64
	isIPv4     bool
	rawAddr    []byte
	length     int // of the whole text
}

// parse takes apart the text that b begins with.
func (t *endpointText) parse(b []byte) {
	r := textReader(b)
	t.id = r.bytes()
	flags := r.take(1)[0]
	t.inService = flags&flagInService != 0
	t.isIPv4 = flags&flagIPv4 != 0
	t.kind = r.varint()
	t.zone = r.varint()
	t.weight = math.Float64frombits(bits.ReverseBytes64(r.uvarint()))
	if t.isIPv4 {
		t.rawAddr = r.take(ipv4Size + portSize)
	} else {
		t.rawAddr = r.bytes()
	}
	t.length = len(b) - len(r)
}

// addr returns the address as it was given.
func (t *endpointText) addr() string {
	if !t.isIPv4 {
		return string(t.rawAddr)
	}
	ip := netip.AddrFrom4([ipv4Size]byte(t.rawAddr))
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(t.rawAddr[ipv4Size:])).String()
}

// textReader reads the fields of a text. Texts are written by appendText alone: it does not check them.
type textReader []byte

func (r *textReader) take(n int) []byte {
	b := (*r)[:n]
	*r = (*r)[n:]
	return b
}

func (r *textReader) uvarint() uint64 {
	value, n := binary.Uvarint(*r)
	*r = (*r)[n:]
	return value
}

func (r *textReader) varint() int {
	value, n := binary.Varint(*r)
	*r = (*r)[n:]
	return int(value)
}

// bytes reads a length and as many bytes.
func (r *textReader) bytes() []byte { return r.take(int(r.uvarint())) }

// storeText stores scratch as a new text, and returns its position. Other texts may move.
func (c *Catalog) storeText() uint32 {
	position, full := c.texts.add(c.scratch)
	c.compactTexts(full)
	return position
}

// replaceText has scratch take the place of a slot's text.
func (c *Catalog) replaceText(i uint32) {
	position := c.storeText()
	slot := c.endpoints.at(i)
	old := slot.text
	slot.text = position
	c.releaseText(old)
}

// releaseText frees a text that no slot has any more.
func (c *Catalog) releaseText(position uint32) {
	var t endpointText
	t.parse(c.texts.bytesAt(position))
	c.compactTexts(c.texts.markDead(position, t.length))
}

// compactTexts moves the live texts out of a chunk that is mostly dead, and frees it; chunk is noChunk or one that may
// have become so. A chunk that fills up by the move is looked at next.
func (c *Catalog) compactTexts(chunk int) {
	for chunk != noChunk && c.texts.sparse(chunk) {
		next := noChunk
		data := c.texts.chunks[chunk].data
		var t endpointText
		for offset := 0; offset < len(data); {
			t.parse(data[offset:])
			if i := c.findEndpointByText(t.id, textPosition(chunk, offset)); i != none {
				position, full := c.texts.add(data[offset : offset+t.length])
				c.endpoints.at(i).text = position
				if full != noChunk {
					next = full
				}
			}
			offset += t.length
		}
		c.texts.release(chunk)
		chunk = next
	}
}
