package catalog

import (
	"encoding/binary"
	"math"
	"math/bits"
	"net/netip"
)

// The encoding of an endpoint holds all its fields except the destination: the id (length and bytes), the flags (one
// byte), the kind, the zone and the weight (varints), and the address. An IPv4 address with port takes six bytes. Any
// other address is stored as length and bytes.

const (
	flagInService = 1 << iota
	flagIPv4      // the address is four bytes of IPv4 address and two bytes of port
)

const (
	ipv4Size = 4
	portSize = 2
	// maxIPv4Text is the length of the longest IPv4 address with port in text form.
	maxIPv4Text = len("255.255.255.255:65535")
)

// mayBeIPv4 reports whether an address has only characters of an IPv4 address with port. The check avoids the
// allocation of the parser's error for host names.
func mayBeIPv4(addr string) bool {
	for i := range len(addr) {
		if b := addr[i]; b != '.' && b != ':' && (b < '0' || b > '9') {
			return false
		}
	}
	return true
}

// appendIPv4 appends an IPv4 address with port in binary form. If the address is of another kind, or its text could
// not be restored exactly from the binary form, it appends nothing and returns false.
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

// encodeEndpoint appends the encoding of an endpoint.
func encodeEndpoint(b []byte, e *Endpoint) []byte {
	b = binary.AppendUvarint(b, uint64(len(e.ID)))
	b = append(b, e.ID...)
	flags := len(b)
	b = append(b, 0)
	if e.InService {
		b[flags] |= flagInService
	}
	b = binary.AppendVarint(b, int64(e.Kind))
	b = binary.AppendVarint(b, int64(e.Zone))
	// The low bytes of round numbers are zero. Reversed, they are high bytes, which a varint omits.
	b = binary.AppendUvarint(b, bits.ReverseBytes64(math.Float64bits(e.Weight)))
	b, isIPv4 := appendIPv4(b, e.Addr)
	if isIPv4 {
		b[flags] |= flagIPv4
		return b
	}
	b = binary.AppendUvarint(b, uint64(len(e.Addr)))
	return append(b, e.Addr...)
}

// decodedEndpoint holds the fields of an encoding. Its slices are parts of the encoding.
type decodedEndpoint struct {
	id         []byte
	inService  bool
	kind, zone int
	weight     float64
	isIPv4     bool
	rawAddr    []byte // address and port in binary form if isIPv4, else the address as text
	length     int    // size of the encoding in bytes
}

// parse decodes the encoding at the start of b.
func (d *decodedEndpoint) parse(b []byte) {
	r := fieldReader(b)
	d.id = r.bytes()
	flags := r.take(1)[0]
	d.inService = flags&flagInService != 0
	d.isIPv4 = flags&flagIPv4 != 0
	d.kind = r.varint()
	d.zone = r.varint()
	d.weight = math.Float64frombits(bits.ReverseBytes64(r.uvarint()))
	if d.isIPv4 {
		d.rawAddr = r.take(ipv4Size + portSize)
	} else {
		d.rawAddr = r.bytes()
	}
	d.length = len(b) - len(r)
}

// addr returns the address in text form.
func (d *decodedEndpoint) addr() string {
	if !d.isIPv4 {
		return string(d.rawAddr)
	}
	ip := netip.AddrFrom4([ipv4Size]byte(d.rawAddr))
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(d.rawAddr[ipv4Size:])).String()
}

// fieldReader reads the fields of an encoding. It does not check for malformed input, since all encodings are written
// by encodeEndpoint.
type fieldReader []byte

func (r *fieldReader) take(n int) []byte {
	b := (*r)[:n]
	*r = (*r)[n:]
	return b
}

func (r *fieldReader) uvarint() uint64 {
	value, n := binary.Uvarint(*r)
	*r = (*r)[n:]
	return value
}

func (r *fieldReader) varint() int {
	value, n := binary.Varint(*r)
	*r = (*r)[n:]
	return int(value)
}

// bytes reads a length and that many bytes.
func (r *fieldReader) bytes() []byte { return r.take(int(r.uvarint())) }

// storeEncoding stores the encoding in scratch and returns its position. It may move other encodings.
func (c *Catalog) storeEncoding() uint32 {
	position, full := c.arena.add(c.scratch)
	c.compactArena(full)
	return position
}

// replaceEncoding replaces the encoding of a slot by the one in scratch.
func (c *Catalog) replaceEncoding(i uint32) {
	position := c.storeEncoding()
	slot := c.endpoints.at(i)
	old := slot.position
	slot.position = position
	c.releaseEncoding(old)
}

// releaseEncoding frees an encoding to which no slot refers any more.
func (c *Catalog) releaseEncoding(position uint32) {
	var decoded decodedEndpoint
	decoded.parse(c.arena.bytesAt(position))
	c.compactArena(c.arena.markDead(position, decoded.length))
}

// compactArena frees a chunk if it is sparse, after moving the encodings that are in use to the current chunk. A chunk
// that fills up by the move is checked next. chunk may be noChunk.
func (c *Catalog) compactArena(chunk int) {
	for chunk != noChunk && c.arena.sparse(chunk) {
		next := noChunk
		data := c.arena.chunks[chunk].data
		var decoded decodedEndpoint
		for offset := 0; offset < len(data); {
			decoded.parse(data[offset:])
			if i := c.findEndpointByPosition(decoded.id, arenaPosition(chunk, offset)); i != none {
				position, full := c.arena.add(data[offset : offset+decoded.length])
				c.endpoints.at(i).position = position
				if full != noChunk {
					next = full
				}
			}
			offset += decoded.length
		}
		c.arena.release(chunk)
		chunk = next
	}
}
