// Package goldentest compares what a test gets with a file in its testdata folder, and fills values whose encoded keys are to be seen.
package goldentest

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// Compare compares text with testdata/golden/name. With update it writes the file anew.
func Compare(t *testing.T, update bool, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs; got\n%s\nwant\n%s", path, got, want)
	}
}

// Fill sets every exported field below the value that p points to, so that an encoder writes each key. Lists get one entry,
// maps none.
func Fill(p any) { fill(reflect.ValueOf(p).Elem()) }

func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Struct:
		fillStruct(v)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(7)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(7)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(1.5)
	}
}

func fillStruct(v reflect.Value) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Date(2024, time.March, 5, 6, 7, 8, 9, time.UTC)))
		return
	}
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() {
			fill(v.Field(i))
		}
	}
}
