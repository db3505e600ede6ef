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

// TestDaemonMakesNoForbiddenSystemCalls searches the sources of the relay for uses of system calls that some of its
// environments reject (ENOSYS): exec, fork, splice and sendfile. Go's library uses the last two when it copies from a
// socket or a file to a socket. Therefore the relay may only copy to io.Discard, and must not start programs.
func TestDaemonMakesNoForbiddenSystemCalls(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	node := regexp.MustCompile(`(?m)^node = \[(.*)\]$`).FindSubmatch(deploy)
	if node == nil {
		t.Fatal("deploy/balancer.toml has no list of the relay's sources (node)")
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
			for _, use := range forbiddenUses(t, path, source) {
				t.Error(use)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if files < 30 {
		t.Errorf("only %d source files of the relay were read, want at least 30", files)
	}
	bad := "package x\nimport (\"io\"; \"os/exec\"; \"net/http\")\n" +
		"func f() { io.Copy(w, r); io.CopyN(io.Discard, r, 1); http.ServeFile(w, q, n); exec.Command(n) }"
	if got := forbiddenUses(t, "bad.go", []byte(bad)); len(got) != 3 {
		t.Errorf("the check finds %q in the bad source, want 3 uses", got)
	}
}

// forbiddenCalls are functions of Go's library that start programs or may use sendfile.
var forbiddenCalls = []string{"http.ServeFile", "http.ServeContent", "syscall.ForkExec", "os.StartProcess"}

// copyCalls are functions that may use splice or sendfile, unless they copy to io.Discard.
var copyCalls = []string{"io.Copy", "io.CopyN", "io.CopyBuffer"}

// forbiddenUses lists the imports and calls of a source that may make a forbidden system call.
func forbiddenUses(t *testing.T, path string, source []byte) (found []string) {
	t.Helper()
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, source, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, imported := range file.Imports {
		if imported.Path.Value == `"os/exec"` {
			found = append(found, path+": imports os/exec")
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		name := qualifiedName(call.Fun)
		copies := slices.Contains(copyCalls, name) && qualifiedName(call.Args[0]) != "io.Discard"
		if copies || slices.Contains(forbiddenCalls, name) {
			found = append(found, set.Position(call.Pos()).String()+": "+name)
		}
		return true
	})
	return found
}

// qualifiedName returns the text of an expression like package.Name, or "".
func qualifiedName(expression ast.Expr) string {
	selector, ok := expression.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	qualifier, ok := selector.X.(*ast.Ident)
	if !ok {
		return ""
	}
	return qualifier.Name + "." + selector.Sel.Name
}
