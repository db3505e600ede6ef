// Package golden compares what a program writes with files that an earlier build of it wrote. It is for tests only.
package golden

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// folder is where golden files stand, beside the package under test.
const folder = "testdata"

// Path is where a golden file of the package under test stands.
func Path(name string) string { return filepath.Join(folder, name) }

// Read returns the bytes of a golden file.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Check compares data with a golden file, byte by byte. With update it writes the file instead.
func Check(t testing.TB, update bool, name string, data []byte) {
	t.Helper()
	if update {
		Write(t, name, data)
		return
	}
	want := Read(t, name)
	if !bytes.Equal(data, want) {
		t.Errorf("%s: the program writes\n%q\nand the golden file holds\n%q", name, data, want)
	}
}

// Write writes a golden file.
func Write(t testing.TB, name string, data []byte) {
	t.Helper()
	path := Path(name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		t.Fatal(err)
	}
}

// Fill sets every exported field that x points to, at any depth, to a value that is not zero and differs from the others of
// its type as far as the type allows. Equal types are filled with equal values.
func Fill[T any](x *T) *T {
	next := int64(0)
	fill(reflect.ValueOf(x).Elem(), &next)
	return x
}

var timeType = reflect.TypeFor[time.Time]()

func fill(v reflect.Value, next *int64) {
	*next++
	n := *next
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(n)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(n) + 0.5)
	case reflect.String:
		v.SetString("text " + string(rune('a'+n%26)))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), next)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, next)
		fill(value, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		if v.Type() == timeType {
			v.Set(reflect.ValueOf(time.Unix(1e9, n).UTC()))
			return
		}
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), next)
			}
		}
	default:
		panic("golden: no value of type " + v.Type().String())
	}
}
