// Command shapecheck fails when code breaks the structure rules of the project: when a core package
// does input or output, reads a clock, shares state under a lock or starts a goroutine, or when any
// package outside tests starts a process.
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// coreForbidden lists the imports that packages under core/ may not have. An entry also forbids all
// packages below its path.
var coreForbidden = []string{
	"net", "os", "io/fs", "sync", "context", "syscall", "log", "math/rand", "crypto/rand",
	"golang.org/x/sys", "go.uber.org/zap", "github.com/uber-go/tally",
}

// clockFuncs are the functions of package time that read the clock or wait.
var clockFuncs = map[string]bool{
	"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true,
	"AfterFunc": true, "NewTimer": true, "NewTicker": true, "Tick": true,
}

func main() {
	root := "."
	if len(os.Args) > 1 {
		root = os.Args[1]
	}
	violations, err := checkTree(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, "shapecheck:", err)
		os.Exit(2)
	}
	for _, violation := range violations {
		fmt.Println(violation)
	}
	if len(violations) > 0 {
		os.Exit(1)
	}
}

func checkTree(root string) ([]string, error) {
	var violations []string
	fset := token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if strings.HasPrefix(d.Name(), ".") && path != root {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		violations = append(violations, checkFile(fset, filepath.ToSlash(rel), file)...)
		return nil
	})
	return violations, err
}

func checkFile(fset *token.FileSet, rel string, file *ast.File) []string {
	var violations []string
	report := func(pos token.Pos, format string, args ...any) {
		position := fset.Position(pos)
		violations = append(violations, fmt.Sprintf("%s:%d: %s", rel, position.Line, fmt.Sprintf(format, args...)))
	}
	inCore := strings.HasPrefix(rel, "core/")
	for _, spec := range file.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			continue
		}
		if path == "os/exec" {
			report(spec.Pos(), "imports os/exec: a process starts no other process")
		}
		if inCore && isForbiddenInCore(path) {
			report(spec.Pos(), "core package imports %s", path)
		}
	}
	if inCore {
		checkCoreBody(file, report)
	}
	return violations
}

func isForbiddenInCore(path string) bool {
	// math/rand/v2 is allowed for generators that the caller seeds. checkSelector reports the use of
	// its global functions.
	if path == "math/rand/v2" {
		return false
	}
	for _, forbidden := range coreForbidden {
		if path == forbidden || strings.HasPrefix(path, forbidden+"/") {
			return true
		}
	}
	return false
}

func checkCoreBody(file *ast.File, report func(token.Pos, string, ...any)) {
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			report(n.Pos(), "core package starts a goroutine")
		case *ast.SelectorExpr:
			checkSelector(n, report)
		}
		return true
	})
}

func checkSelector(sel *ast.SelectorExpr, report func(token.Pos, string, ...any)) {
	ident, ok := sel.X.(*ast.Ident)
	if !ok {
		return
	}
	if ident.Name == "time" && clockFuncs[sel.Sel.Name] {
		report(sel.Pos(), "core package uses time.%s", sel.Sel.Name)
	}
	if ident.Name == "rand" && isGlobalRandFunc(sel.Sel.Name) {
		report(sel.Pos(), "core package uses the global random source rand.%s", sel.Sel.Name)
	}
}

// isGlobalRandFunc reports whether name is a function of math/rand/v2 that uses the global source,
// as opposed to a type or constructor.
func isGlobalRandFunc(name string) bool {
	switch name {
	case "Rand", "Source", "PCG", "ChaCha8", "Zipf", "New", "NewPCG", "NewChaCha8", "NewZipf":
		return false
	}
	return true
}
