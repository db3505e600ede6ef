package stricttoml

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines tells where the keys of a file stand, by their paths: "a.b", or "a[2].b" in the second of several tables of one
// name. Of a table it is the line of its header, of a key that stands in a value of its own nothing. A file that cannot
// be read has those before the error.
func Lines(data []byte) map[string]int {
	lines, tables := map[string]int{}, map[string]int{}
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			parts = append(parts, string(it.Node().Data))
			if line == 0 {
				line = p.Shape(it.Node().Raw).Start.Line
			}
		}
		path := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.Table:
			table = path + "."
		case unstable.ArrayTable:
			tables[path]++
			path = fmt.Sprintf("%s[%d]", path, tables[path])
			table = path + "."
		default:
			path = table + path
		}
		lines[path] = line
	}
	return lines
}
