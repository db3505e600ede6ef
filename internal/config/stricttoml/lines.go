package stricttoml

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines returns the line number of each key in a file, by the key's path: "a.b", or "a[2].b" in the second table of an
// array. The line of a table is that of its header. Keys within inline values are left out. If the file is malformed,
// Lines returns the keys before the error.
func Lines(data []byte) map[string]int {
	lines := map[string]int{}
	tableCounts := map[string]int{} // number of tables so far in each array, by path
	var parser unstable.Parser
	parser.Reset(data)
	tablePrefix := "" // path of the current table and a dot; empty at the top level
	for parser.NextExpression() {
		expression := parser.Expression()
		path, line := keyOf(&parser, expression)
		switch expression.Kind {
		case unstable.Table:
			tablePrefix = path + "."
		case unstable.ArrayTable:
			tableCounts[path]++
			path = fmt.Sprintf("%s[%d]", path, tableCounts[path])
			tablePrefix = path + "."
		default:
			path = tablePrefix + path
		}
		lines[path] = line
	}
	return lines
}

// keyOf returns the dotted key of an expression and the line of its first part.
func keyOf(parser *unstable.Parser, expression *unstable.Node) (path string, line int) {
	var parts []string
	for key := expression.Key(); key.Next(); {
		parts = append(parts, string(key.Node().Data))
		if line == 0 {
			line = parser.Shape(key.Node().Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}
