package store

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// testHeader is the header of the segments under test.
var testHeader = Header{Format: Format, Epoch: 0x1234567890abcdef, Segment: 7, FirstRecord: 100}

// segmentOf returns a segment with the given records, and the end offset of each record.
func segmentOf(records [][]byte) (data []byte, ends []int64) {
	data = testHeader.Append(nil)
	for i, r := range records {
		data = AppendRecord(data, testHeader.Epoch, int64(len(data)), testHeader.FirstRecord+uint64(i), r)
		ends = append(ends, int64(len(data)))
	}
	return data, ends
}

// scanned holds what Scan found in a segment.
type scanned struct {
	records map[uint32][]byte
	order   []uint32
	end     int64
	damaged []Range
}

func scan(data []byte) scanned {
	found := scanned{records: map[uint32][]byte{}}
	found.end, found.damaged = Scan(testHeader, data, func(number uint32, _ int64, record []byte) {
		found.records[number] = bytes.Clone(record)
		found.order = append(found.order, number)
	})
	return found
}

// recordsOverBlockEnds returns records whose frames cross the ends of blocks in different ways.
func recordsOverBlockEnds() (records [][]byte) {
	rng := rand.New(rand.NewPCG(1, 2))
	sizes := []int{
		0, 1, 100, BlockSize - 300, 5, BlockSize, 3 * BlockSize, 0, BlockSize - 2*frameHeaderSize, 700,
	}
	for _, size := range sizes {
		record := make([]byte, size)
		for i := range record {
			record[i] = byte(rng.Uint32())
		}
		records = append(records, record)
	}
	return records
}

func TestScanReadsWrittenRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 9000), 0, 8).Draw(t, "records")
		data, _ := segmentOf(records)
		found := scan(data)
		if len(found.order) != len(records) || found.end != int64(len(data)) || len(found.damaged) > 0 {
			t.Fatalf("%d of %d records, end %d of %d, damaged %v",
				len(found.order), len(records), found.end, len(data), found.damaged)
		}
		for i, record := range records {
			number := uint32(testHeader.FirstRecord) + uint32(i)
			if found.order[i] != number || !bytes.Equal(found.records[number], record) {
				t.Fatalf("record %d differs", i)
			}
		}
	})
}

// A segment may be cut at any byte. Scan must find exactly the records that were complete before the cut, and must
// not report damage.
func TestScanTruncatedAtEveryByte(t *testing.T) {
	data, ends := segmentOf(recordsOverBlockEnds())
	for n := HeaderSize; n <= len(data); n++ {
		for _, zeros := range []int{0, 5000} { // file systems may leave zeros at the end
			cut := append(bytes.Clone(data[:n]), make([]byte, zeros)...)
			complete := 0 // a record is also complete if its missing bytes are zeros
			for complete < len(ends) && bytes.HasPrefix(cut, data[:ends[complete]]) {
				complete++
			}
			found := scan(cut)
			wrongEnd := complete > 0 && found.end != ends[complete-1]
			if len(found.order) != complete || len(found.damaged) > 0 || wrongEnd {
				t.Fatalf("cut at %d, %d zeros: %d records, want %d; end %d, damaged %v",
					n, zeros, len(found.order), complete, found.end, found.damaged)
			}
		}
	}
}

// Any byte of a segment may be flipped. Every record that Scan finds must be as it was written. Only records that
// share a block with the byte may be missing. If one is missing, the byte must be in a range reported as damaged,
// or after the returned end.
func TestScanWithEveryByteFlipped(t *testing.T) {
	records := recordsOverBlockEnds()
	data, ends := segmentOf(records)
	for at := HeaderSize; at < len(data); at++ {
		flipped := bytes.Clone(data)
		flipped[at] ^= 0x5a
		found := scan(flipped)
		block := int64(at) / BlockSize
		start := int64(HeaderSize)
		missing := 0
		for i, record := range records {
			got, ok := found.records[uint32(testHeader.FirstRecord)+uint32(i)]
			sharesBlock := start/BlockSize <= block && (ends[i]-1)/BlockSize >= block
			if ok && !bytes.Equal(got, record) || !ok && !sharesBlock {
				t.Fatalf("byte %d: record %d is found: %v, shares the block: %v", at, i, ok, sharesBlock)
			}
			if !ok {
				missing++
			}
			start = ends[i]
		}
		reported := int64(at) >= found.end || slices.ContainsFunc(found.damaged, func(d Range) bool {
			return int64(at) >= d.From && int64(at) < d.To
		})
		if len(found.order) != len(found.records) || missing > 0 && !reported {
			t.Fatalf("byte %d: %d missing, end %d, damaged %v", at, missing, found.end, found.damaged)
		}
	}
}

// A payload that contains a whole segment, at any offset in a block, must not yield a record when the record that
// holds the payload is cut off.
func TestPayloadIsNeverReadAsRecord(t *testing.T) {
	hostile, _ := segmentOf([][]byte{[]byte("end of another's message")})
	for shift := range BlockSize {
		payload := append(make([]byte, shift), hostile...)
		payload = append(payload, hostile[HeaderSize:]...)
		payload = append(payload, make([]byte, BlockSize)...)
		data, _ := segmentOf([][]byte{[]byte("one"), payload})
		for _, cut := range []int{len(data) - 1, len(data) - BlockSize} {
			if found := scan(data[:cut]); len(found.order) != 1 {
				t.Fatalf("shift %d: records %v", shift, found.order)
			}
		}
	}
}

func TestParseHeader(t *testing.T) {
	good := testHeader.Append(nil)
	if h, err := ParseHeader(good); err != nil || h != testHeader || len(good) != HeaderSize {
		t.Errorf("valid header: %+v, %v", h, err)
	}
	for bit := range 8 * HeaderSize {
		bad := bytes.Clone(good)
		bad[bit/8] ^= 1 << (bit % 8)
		if _, err := ParseHeader(bad); !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNotSegment) {
			t.Errorf("bit %d flipped: %v", bit, err)
		}
	}
	for n := range HeaderSize {
		if _, err := ParseHeader(good[:n]); !errors.Is(err, ErrNotSegment) {
			t.Errorf("header cut to %d bytes: %v", n, err)
		}
	}
	newer := testHeader
	newer.Format++
	if _, err := ParseHeader(newer.Append(nil)); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("newer format: %v", err)
	}
}

func FuzzScan(f *testing.F) {
	data, _ := segmentOf([][]byte{[]byte("one"), nil, []byte("three")})
	f.Add(data[HeaderSize:])
	f.Add(data[HeaderSize+5:])
	f.Fuzz(func(t *testing.T, body []byte) {
		data := append(testHeader.Append(nil), body...)
		last := int64(0)
		end, damaged := Scan(testHeader, data, func(_ uint32, at int64, _ []byte) {
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
				buf = AppendRecord(buf[:0], testHeader.Epoch, HeaderSize, 1, record)
			}
		})
	}
}
