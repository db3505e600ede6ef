package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Days of many relays refuse other programs, fork, splice and sendfile (ENOSYS). Go's library uses the last two by
// itself where it copies from a socket or a file to a socket; the daemon copies to nothing but io.Discard, and starts
// no program.
func TestDaemonMakesNoForbiddenSystemCalls(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	node := regexp.MustCompile(`(?m)^node = \[(.*)\]$`).FindSubmatch(deploy)
	if node == nil {
		t.Fatal("the deploy file names no node")
	}
	files := 0
	for _, quoted := range strings.Split(string(node[1]), ",") {
		dir := filepath.Join("../..", strings.Trim(quoted, ` "`))
		err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files++
			source, err := os.ReadFile(path)
			for _, what := range forbiddenUses(t, path, source) {
				t.Error(what)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if files < 30 {
		t.Errorf("only %d files of the daemon were read", files)
	}
	bad := "package x\nimport (\"io\"; \"os/exec\"; \"net/http\")\n" +
		"func f() { io.Copy(w, r); io.CopyN(io.Discard, r, 1); http.ServeFile(w, q, n); exec.Command(n) }"
	if got := forbiddenUses(t, "bad.go", []byte(bad)); len(got) != 3 {
		t.Errorf("the check finds %q", got)
	}
}

// forbiddenUses lists what in a source may end in a refused system call.
func forbiddenUses(t *testing.T, path string, source []byte) (found []string) {
	t.Helper()
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, source, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, i := range file.Imports {
		if i.Path.Value == `"os/exec"` {
			found = append(found, path+": imports os/exec")
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		name := dotted(call.Fun)
		copies := slices.Contains([]string{"io.Copy", "io.CopyN", "io.CopyBuffer"}, name) &&
			dotted(call.Args[0]) != "io.Discard"
		if copies ||
			slices.Contains(
				[]string{"http.ServeFile", "http.ServeContent", "syscall.ForkExec", "os.StartProcess"},
				name,
			) {
			found = append(found, set.Position(call.Pos()).String()+": "+name)
		}
		return true
	})
	return found
}

func dotted(e ast.Expr) string {
	if s, ok := e.(*ast.SelectorExpr); ok {
		if x, ok := s.X.(*ast.Ident); ok {
			return x.Name + "." + s.Sel.Name
		}
	}
	return ""
}
