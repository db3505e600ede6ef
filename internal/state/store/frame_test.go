package store

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

var header = Header{Format: Format, Epoch: 0x1234567890abcdef, Segment: 7, FirstRecord: 100}

// wholeSegment is one with records, and where each ends.
func wholeSegment(records [][]byte) (data []byte, ends []int64) {
	data = header.Append(nil)
	for i, r := range records {
		data = AppendRecord(data, header.Epoch, int64(len(data)), header.FirstRecord+uint64(i), r)
		ends = append(ends, int64(len(data)))
	}
	return data, ends
}

func scan(data []byte) (got map[uint32][]byte, order []uint32, end int64, damaged []Range) {
	got = map[uint32][]byte{}
	end, damaged = Scan(header, data, func(n uint32, _ int64, r []byte) {
		got[n] = bytes.Clone(r)
		order = append(order, n)
	})
	return got, order, end, damaged
}

// sizes reach over a block's end in every way.
func sizes() (records [][]byte) {
	draw := rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{0, 1, 100, BlockSize - 300, 5, BlockSize, 3 * BlockSize, 0, BlockSize - 2*frameHeaderSize, 700} {
		r := make([]byte, n)
		for i := range r {
			r[i] = byte(draw.Uint32())
		}
		records = append(records, r)
	}
	return records
}

func TestReadsBackWhatWasWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 9000), 0, 8).Draw(t, "records")
		data, _ := wholeSegment(records)
		got, order, end, damaged := scan(data)
		if len(order) != len(records) || end != int64(len(data)) || len(damaged) > 0 {
			t.Fatalf("%d of %d records, end %d of %d, damaged %v", len(order), len(records), end, len(data), damaged)
		}
		for i, r := range records {
			if n := uint32(header.FirstRecord) + uint32(i); order[i] != n || !bytes.Equal(got[n], r) {
				t.Fatalf("record %d differs", i)
			}
		}
	})
}

// Cut at every byte: all that was written whole before the cut is there, nothing else, and nothing is told as damaged.
func TestCutAtEveryByte(t *testing.T) {
	records := sizes()
	data, ends := wholeSegment(records)
	for n := HeaderSize; n <= len(data); n++ {
		for _, tail := range [][]byte{nil, make([]byte, 5000)} { // and zeros at the end, as file systems leave
			cut := append(bytes.Clone(data[:n]), tail...)
			whole := 0 // zeros may be just what is missing
			for whole < len(ends) && bytes.HasPrefix(cut, data[:ends[whole]]) {
				whole++
			}
			_, order, end, damaged := scan(cut)
			if len(order) != whole || len(damaged) > 0 || whole > 0 && end != ends[whole-1] {
				t.Fatalf(
					"cut at %d, %d zeros: %d records, want %d; end %d, damaged %v",
					n,
					len(tail),
					len(order),
					whole,
					end,
					damaged,
				)
			}
		}
	}
}

// Each byte flipped: no record comes back other than it was written, all but those that touch the byte's block are
// there, and the byte lies in what is told as damaged, or behind the end.
func TestEveryByteFlipped(t *testing.T) {
	records := sizes()
	data, ends := wholeSegment(records)
	for at := HeaderSize; at < len(data); at++ {
		spoilt := bytes.Clone(data)
		spoilt[at] ^= 0x5a
		got, order, end, damaged := scan(spoilt)
		block := int64(at) / BlockSize
		start := int64(HeaderSize)
		missing := 0
		for i, r := range records {
			n := uint32(header.FirstRecord) + uint32(i)
			x, ok := got[n]
			touches := start/BlockSize <= block && (ends[i]-1)/BlockSize >= block
			if ok && !bytes.Equal(x, r) || !ok && !touches {
				t.Fatalf("byte %d: record %d is there: %v, touches the block: %v", at, i, ok, touches)
			}
			if !ok {
				missing++
			}
			start = ends[i]
		}
		told := int64(at) >= end
		for _, d := range damaged {
			told = told || int64(at) >= d.From && int64(at) < d.To
		}
		if len(order) != len(got) || missing > 0 && !told {
			t.Fatalf("byte %d: %d missing, end %d, damaged %v", at, missing, end, damaged)
		}
	}
}

// A payload that holds a whole segment, at whatever offset, and is laid bare by damage in front of it, yields no
// record.
func TestAPayloadNeverPassesForARecord(t *testing.T) {
	evil, _ := wholeSegment([][]byte{[]byte("end of another's message")})
	for shift := range BlockSize {
		payload := append(make([]byte, shift), evil...)
		payload = append(payload, evil[HeaderSize:]...)
		payload = append(payload, make([]byte, BlockSize)...)
		data, _ := wholeSegment([][]byte{[]byte("one"), payload})
		for _, cut := range []int{len(data) - 1, len(data) - BlockSize} {
			if _, order, _, _ := scan(data[:cut]); len(order) != 1 {
				t.Fatalf("shift %d: records %v", shift, order)
			}
		}
	}
}

func TestHeaders(t *testing.T) {
	good := header.Append(nil)
	if h, err := ParseHeader(good); err != nil || h != header || len(good) != HeaderSize {
		t.Errorf("%+v, %v", h, err)
	}
	for bit := range 8 * HeaderSize {
		bad := bytes.Clone(good)
		bad[bit/8] ^= 1 << (bit % 8)
		if _, err := ParseHeader(bad); !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNotSegment) {
			t.Errorf("bit %d: %v", bit, err)
		}
	}
	for n := range HeaderSize {
		if _, err := ParseHeader(good[:n]); !errors.Is(err, ErrNotSegment) {
			t.Errorf("%d bytes: %v", n, err)
		}
	}
	newer := header
	newer.Format++
	if _, err := ParseHeader(newer.Append(nil)); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("newer: %v", err)
	}
}

func FuzzScan(f *testing.F) {
	data, _ := wholeSegment([][]byte{[]byte("one"), nil, []byte("three")})
	f.Add(data[HeaderSize:])
	f.Add(data[HeaderSize+5:])
	f.Fuzz(func(t *testing.T, body []byte) {
		data := append(header.Append(nil), body...)
		last := int64(0)
		end, damaged := Scan(header, data, func(_ uint32, at int64, _ []byte) {
			if at <= last {
				t.Errorf("a record at %d after one at %d", at, last)
			}
			last = at
		})
		if end < HeaderSize || end > int64(len(data)) {
			t.Errorf("end %d of %d", end, len(data))
		}
		for _, d := range damaged {
			if d.From >= d.To || d.To > end {
				t.Errorf("damaged %v, end %d", d, end)
			}
		}
	})
}

func BenchmarkAppendRecord(b *testing.B) {
	for _, n := range []int{40, 1000, 60000} {
		b.Run(fmt.Sprint("bytes=", n), func(b *testing.B) {
			record, buf := make([]byte, n), make([]byte, 0, 2*n+4096)
			b.SetBytes(int64(n))
			b.ReportAllocs()
			for b.Loop() {
				buf = AppendRecord(buf[:0], header.Epoch, HeaderSize, 1, record)
			}
		})
	}
}
