// Package goldentest compares what the program writes with files that an earlier build wrote, and fills values for such tests.
package goldentest

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

const folder = "testdata/golden"

// Check compares got with the golden file of that name, or writes the file if update is set. It returns the file's content.
func Check(t testing.TB, update bool, name string, got []byte) []byte {
	t.Helper()
	if update {
		if err := os.MkdirAll(folder, 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(folder, name), got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want := Read(t, name)
	if !bytes.Equal(got, want) {
		at := parting(got, want)
		t.Errorf("%s: written otherwise than before, from byte %d on:\n%s\nwant\n%s", name, at, printable(got[at:]), printable(want[at:]))
	}
	return want
}

// Read returns the content of a golden file.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// parting is where two texts begin to differ.
func parting(a, b []byte) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}

const printedMost = 300

func printable(data []byte) string {
	text := fmt.Sprintf("%q", data)
	return text[:min(len(text), printedMost)]
}

// Fill sets every exported field that v, a pointer, reaches to a value of its own that is not zero. Slices and maps get one entry.
func Fill(v any) {
	f := filler{}
	f.fill(reflect.ValueOf(v).Elem())
}

type filler struct{ next int }

func (f *filler) fill(v reflect.Value) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		f.next++
		v.Set(reflect.ValueOf(time.Unix(1e9+int64(f.next), 0).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		f.fillFields(v)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(v.Index(0))
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	default:
		f.fillScalar(v)
	}
}

func (f *filler) fillFields(v reflect.Value) {
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() {
			f.fill(v.Field(i))
		}
	}
}

func (f *filler) fillScalar(v reflect.Value) {
	f.next++
	switch {
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprintf("text-%d", f.next))
	case v.CanInt():
		v.SetInt(int64(f.next))
	case v.CanUint():
		v.SetUint(uint64(f.next))
	case v.CanFloat():
		v.SetFloat(float64(f.next) + 0.5)
	default:
		panic(fmt.Sprintf("goldentest: no value of %v", v.Type()))
	}
}
