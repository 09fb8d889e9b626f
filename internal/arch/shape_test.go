package arch

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// parsePackage parses the files of a listed package without its tests.
func parsePackage(t *testing.T, listed string) (*token.FileSet, []*ast.File) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join("..", "..", listed, "*.go"))
	if err != nil || len(names) == 0 {
		t.Fatalf("no files of %q: %v", listed, err)
	}
	files := token.NewFileSet()
	var parsed []*ast.File
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(files, name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		parsed = append(parsed, file)
	}
	return files, parsed
}

// TestPackagesKeepSizeLimits checks that the packages in SizeLimited keep within the limits.
func TestPackagesKeepSizeLimits(t *testing.T) {
	for _, listed := range SizeLimited {
		for _, problem := range sizeViolations(parsePackage(t, listed)) {
			t.Errorf("%s: %s", path(listed), problem)
		}
	}
}

// TestSizeViolationsAreFound checks that sizeViolations reports each kind of excess.
func TestSizeViolationsAreFound(t *testing.T) {
	var source strings.Builder
	source.WriteString("package large\ntype Large struct {\n")
	for i := range MaxTypeFields + 1 {
		fmt.Fprintf(&source, "field%d int\n", i)
	}
	source.WriteString("}\n")
	for i := range MaxTypeMethods + 1 {
		fmt.Fprintf(&source, "func (l *Large) method%d() {}\n", i)
	}
	source.WriteString("func long() {\n" + strings.Repeat("\n", MaxFileLines) + "}\n")
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, "large.go", source.String(), parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	got := sizeViolations(files, []*ast.File{file})
	want := []string{
		"large.go has 572 lines",
		"large.go: type Large has 26 fields",
		"large.go: function long has 502 lines",
		"type Large has 41 methods",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// sizeViolations lists what exceeds the size limits in the files of one package.
func sizeViolations(files *token.FileSet, parsed []*ast.File) (problems []string) {
	methods := map[string]int{}
	for _, file := range parsed {
		name := files.Position(file.Package).Filename
		if lines := files.File(file.Package).LineCount(); lines > MaxFileLines {
			problems = append(problems, fmt.Sprintf("%s has %d lines", name, lines))
		}
		for _, declaration := range file.Decls {
			switch declared := declaration.(type) {
			case *ast.FuncDecl:
				methods[receiverType(declared)]++
				if lines := linesOf(files, declared); lines > MaxFunctionLines {
					problems = append(problems, fmt.Sprintf("%s: function %s has %d lines", name, declared.Name.Name, lines))
				}
			case *ast.GenDecl:
				problems = append(problems, largeStructs(name, declared)...)
			}
		}
	}
	delete(methods, "")
	for typeName, count := range methods {
		if count > MaxTypeMethods {
			problems = append(problems, fmt.Sprintf("type %s has %d methods", typeName, count))
		}
	}
	return problems
}

// largeStructs lists the struct types of a declaration that have more than MaxTypeFields fields.
func largeStructs(file string, declared *ast.GenDecl) (problems []string) {
	for _, spec := range declared.Specs {
		named, isType := spec.(*ast.TypeSpec)
		if !isType {
			continue
		}
		structType, isStruct := named.Type.(*ast.StructType)
		if isStruct && structType.Fields.NumFields() > MaxTypeFields {
			problems = append(problems, fmt.Sprintf("%s: type %s has %d fields", file, named.Name.Name, structType.Fields.NumFields()))
		}
	}
	return problems
}

// receiverType returns the name of the type that a method belongs to, "" for a function.
func receiverType(declared *ast.FuncDecl) string {
	if declared.Recv == nil || len(declared.Recv.List) == 0 {
		return ""
	}
	expression := declared.Recv.List[0].Type
	if pointer, isPointer := expression.(*ast.StarExpr); isPointer {
		expression = pointer.X
	}
	if generic, isGeneric := expression.(*ast.IndexExpr); isGeneric {
		expression = generic.X
	}
	if name, isName := expression.(*ast.Ident); isName {
		return name.Name
	}
	return ""
}

// linesOf returns the number of lines of a function, including the first and the last.
func linesOf(files *token.FileSet, declared *ast.FuncDecl) int {
	return files.Position(declared.End()).Line - files.Position(declared.Pos()).Line + 1
}
