package capacity

import (
	"bytes"
	"flag"
	"os"
	"reflect"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "write the golden files anew")

// dataFile holds the measurements that the capacity page is generated from.
const dataFile = "../../docs/capacity.json"

// The figures that stand beside the page are read, and written again byte by byte.
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
		t.Fatalf("nothing is read: %+v", latest)
	}
	if again, err := data.Bytes(); err != nil || !bytes.Equal(again, file) {
		t.Errorf("written again it differs: %v", err)
	}
}

// Every field, set and not set, has the name that it had.
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
		t.Errorf("read as %+v, %v; want %+v", got, err, want)
	}
}
