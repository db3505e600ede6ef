package capacity

import (
	"bytes"
	"flag"
	"os"
	"reflect"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// dataFile holds the measurements that the capacity page is generated from.
const dataFile = "../../docs/capacity.json"

// docs/capacity.json can be decoded, and encoding the result gives the same bytes.
func TestGoldenMeasuredData(t *testing.T) {
	file, err := os.ReadFile(dataFile)
	if err != nil {
		t.Fatal(err)
	}
	data, err := Parse(file)
	if err != nil {
		t.Fatal(err)
	}
	latest, ok := data.Latest()
	if !ok || len(latest.Series) == 0 || latest.Series[0].Name == "" || len(latest.Series[0].Points) == 0 {
		t.Fatalf("the latest run lacks series or points: %+v", latest)
	}
	if again, err := data.Bytes(); err != nil || !bytes.Equal(again, file) {
		t.Errorf("the encoded data differs from the file: %v", err)
	}
}

// The JSON names of all fields stay the same, so that stored measurements remain readable. The golden file has each
// field set and not set.
func TestGoldenData(t *testing.T) {
	const name = "data.json"
	full := golden.Fill(&Run{})
	full.Program = Current
	want := Data{Runs: []Run{{Program: Baseline, Series: []Series{{Name: "sparse", Points: []Point{{}}}}}, *full}}
	data, err := want.Bytes()
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, *update, name, data)
	got, err := Parse(golden.Read(t, name))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("the golden file is decoded as %+v, %v; want %+v", got, err, want)
	}
}
