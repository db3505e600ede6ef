// Package golden compares the output of the program with golden files that an earlier build wrote, and fills values
// with data for such comparisons. It is for tests only.
package golden

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"
)

// directory holds the golden files, relative to the package under test.
const directory = "testdata/golden"

// maxPrinted is how many bytes of each quoted text Check prints if the texts differ.
const maxPrinted = 2000

// Path returns the path of a golden file of the package under test.
func Path(name string) string { return filepath.Join(directory, name) }

// Read returns the content of a golden file.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Write replaces the content of a golden file.
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

// Check compares got with a golden file, byte by byte, and returns the file's content. With update it writes the file
// first.
func Check(t testing.TB, update bool, name string, got []byte) []byte {
	t.Helper()
	if update {
		Write(t, name, got)
	}
	want := Read(t, name)
	if !bytes.Equal(got, want) {
		t.Errorf("%s: the program writes\n%s\nand the golden file holds\n%s", name, printable(got), printable(want))
	}
	return want
}

// Compare compares text with a golden file. If they differ, it prints both in full. With update it writes the file
// instead.
func Compare(t testing.TB, update bool, name, got string) {
	t.Helper()
	if update {
		Write(t, name, []byte(got))
		return
	}
	if want := string(Read(t, name)); got != want {
		t.Errorf("%s differs; got\n%s\nwant\n%s", Path(name), got, want)
	}
}

func printable(data []byte) string {
	text := fmt.Sprintf("%q", data)
	return text[:min(len(text), maxPrinted)]
}

// Fill sets v, with every exported field in it, to non-zero values and returns v. Slices and maps get one entry. Fields
// with a name in except stay as they are.
func Fill[T any](v *T, except ...string) *T {
	f := filler{except: except}
	f.fill(reflect.ValueOf(v).Elem())
	return v
}

type filler struct {
	next   int
	except []string // names of fields that stay as they are
}

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
		field := v.Type().Field(i)
		if field.IsExported() && !slices.Contains(f.except, field.Name) {
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
		panic(fmt.Sprintf("golden: cannot fill a value of type %v", v.Type()))
	}
}
