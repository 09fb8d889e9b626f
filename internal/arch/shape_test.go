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

// TestTypesKeepSizeLimits checks that the types in SizeLimitedTypes exist and keep within the limits, and that their
// fields refer to none of the ComposingTypes.
func TestTypesKeepSizeLimits(t *testing.T) {
	for listed, types := range SizeLimitedTypes {
		files, parsed := parsePackage(t, listed)
		for _, problem := range typeViolations(files, parsed, types, ComposingTypes[listed]) {
			t.Errorf("%s: %s", path(listed), problem)
		}
	}
}

// TestTypeViolationsAreFound checks that typeViolations reports each kind of excess of a listed type, and nothing of
// other types.
func TestTypeViolationsAreFound(t *testing.T) {
	var source strings.Builder
	source.WriteString("package mixed\ntype (\nOther struct {\n")
	for i := range MaxTypeFields + 1 {
		fmt.Fprintf(&source, "field%d int\n", i)
	}
	source.WriteString("}\nLarge struct {\n")
	for i := range MaxTypeFields {
		fmt.Fprintf(&source, "field%d int\n", i)
	}
	source.WriteString("whole func(map[string]*Other)\n}\n)\n")
	for i := range MaxTypeMethods + 1 {
		fmt.Fprintf(&source, "func (l *Large) method%d() {}\nfunc (o *Other) method%d() {}\n", i, i)
	}
	source.WriteString("func (o *Other) long() {\n" + strings.Repeat("\n", MaxFileLines) + "}\n")
	source.WriteString("func (l *Large) long() {\n" + strings.Repeat("\n", MaxFunctionLines) + "}\n")
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, "mixed.go", source.String(), parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	got := typeViolations(files, []*ast.File{file}, []string{"Large", "Absent"}, []string{"Other"})
	want := []string{
		"type Large has a field that refers to Other",
		"there is no type Absent",
		"mixed.go has 690 lines",
		"mixed.go: type Large has 26 fields",
		"mixed.go: function long has 47 lines",
		"type Large has 42 methods",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// typeViolations lists what exceeds the size limits in the declarations of the given types, which of them do not exist,
// and which have a field that refers to one of the composing types.
func typeViolations(files *token.FileSet, parsed []*ast.File, types, composing []string) (problems []string) {
	declared := declarationsOf(parsed, types)
	found := structsOf(declared)
	for _, name := range types {
		if found[name] == nil {
			problems = append(problems, "there is no type "+name)
			continue
		}
		ast.Inspect(found[name], func(node ast.Node) bool {
			if used, isName := node.(*ast.Ident); isName && slices.Contains(composing, used.Name) {
				problems = append(problems, fmt.Sprintf("type %s has a field that refers to %s", name, used.Name))
			}
			return true
		})
	}
	return append(problems, sizeViolations(files, declared)...)
}

// declarationsOf returns the files that declare any of the given types or their methods, without the other
// declarations.
func declarationsOf(parsed []*ast.File, types []string) (declaring []*ast.File) {
	for _, file := range parsed {
		kept := *file
		kept.Decls = nil
		for _, declaration := range file.Decls {
			switch declared := declaration.(type) {
			case *ast.FuncDecl:
				if slices.Contains(types, receiverType(declared)) {
					kept.Decls = append(kept.Decls, declared)
				}
			case *ast.GenDecl:
				if specs := typeSpecs(declared, types); len(specs) > 0 {
					kept.Decls = append(kept.Decls, &ast.GenDecl{Tok: declared.Tok, TokPos: declared.TokPos, Specs: specs})
				}
			}
		}
		if len(kept.Decls) > 0 {
			declaring = append(declaring, &kept)
		}
	}
	return declaring
}

// typeSpecs returns the parts of a declaration that declare any of the given types.
func typeSpecs(declared *ast.GenDecl, types []string) (specs []ast.Spec) {
	for _, spec := range declared.Specs {
		if named, isType := spec.(*ast.TypeSpec); isType && slices.Contains(types, named.Name.Name) {
			specs = append(specs, named)
		}
	}
	return specs
}

// structsOf returns the struct types that files declare, by name.
func structsOf(parsed []*ast.File) map[string]*ast.StructType {
	found := map[string]*ast.StructType{}
	for _, file := range parsed {
		ast.Inspect(file, func(node ast.Node) bool {
			if named, isType := node.(*ast.TypeSpec); isType {
				if structType, isStruct := named.Type.(*ast.StructType); isStruct {
					found[named.Name.Name] = structType
				}
			}
			return true
		})
	}
	return found
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
