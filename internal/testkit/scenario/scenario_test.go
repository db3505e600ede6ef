package scenario

import (
	"bytes"
	"testing"
)

// base is a small scenario that is valid as it is, and to which tests append lines.
const base = `
name = "base"
length = "20s"
relays = 2
zones = ["a", "b"]

[[class]]
name = "order"
effect = "keyed"
window = "10s"
aim = "3s"
give_up = "12s"
late_worth = 0.4

[[kind]]
name = "store"
pace = "100ms"
slots = 2

[[kind]]
name = "gateway"
separate = true
pace = "100ms"
slots = 2

[[destination]]
kind = "store"
count = 3

[[destination]]
kind = "gateway"

[[traffic]]
rate = 50
`

func parse(t *testing.T, more string) File {
	t.Helper()
	f, err := Parse("test", []byte(base+more))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func text(t *testing.T, p Plan) string {
	t.Helper()
	var b bytes.Buffer
	n, err := p.WriteTo(&b)
	if err != nil || n != int64(b.Len()) {
		t.Fatalf("WriteTo returned %d of %d bytes, %v", n, b.Len(), err)
	}
	return b.String()
}
