// Package rules checks the source code against architectural rules: the kernel
// and its plug-ins use no concurrency, so that their decisions depend on their
// events only, and the hosting platform's names stay in its adapter.
package rules

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const root = "../../.."

// concurrencyForm names the goroutine or channel construct of a syntax node. It
// returns the empty string for any other node.
func concurrencyForm(node ast.Node) string {
	switch node := node.(type) {
	case *ast.GoStmt:
		return "go statement"
	case *ast.SelectStmt:
		return "select"
	case *ast.SendStmt:
		return "send on a channel"
	case *ast.ChanType:
		return "channel type"
	case *ast.UnaryExpr:
		if node.Op == token.ARROW {
			return "receive from a channel"
		}
	case *ast.CallExpr:
		if name, ok := node.Fun.(*ast.Ident); ok && name.Name == "close" {
			return "close of a channel"
		}
	}
	return ""
}

// concurrencyUses returns the position and the form of each use of concurrency in file.
func concurrencyUses(files *token.FileSet, file *ast.File) []string {
	var found []string
	ast.Inspect(file, func(node ast.Node) bool {
		if form := concurrencyForm(node); node != nil && form != "" {
			found = append(found, files.Position(node.Pos()).String()+": "+form)
		}
		return true
	})
	return found
}

func TestKernelAndPluginsHaveNoConcurrency(t *testing.T) {
	is := is.New(t)
	files := token.NewFileSet()
	checked := 0
	for _, area := range []string{"internal/core", "internal/plug"} {
		err := filepath.WalkDir(filepath.Join(root, area), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			checked++
			is.Equal(concurrencyUses(files, file), nil)
			return nil
		})
		is.NoErr(err)
	}
	is.True(checked > 40)
}

// Guards against a check that passes because it does not recognize a form.
func TestConcurrencyUsesFindsEachForm(t *testing.T) {
	tests := []struct {
		source string
		want   string
	}{
		{"go f()", "go statement"},
		{"select {}", "select"},
		{"c <- 1", "send on a channel"},
		{"x := <-c; _ = x", "receive from a channel"},
		{"var c chan int; _ = c", "channel type"},
		{"close(c)", "close of a channel"},
	}
	for _, test := range tests {
		t.Run(test.want, func(t *testing.T) {
			is := is.New(t)
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, "f.go", "package p\nfunc g() {\n"+test.source+"\n}\n", parser.SkipObjectResolution)
			is.NoErr(err)
			found := concurrencyUses(files, file)
			is.Equal(len(found), 1)
			is.True(strings.HasSuffix(found[0], test.want))
		})
	}
}
