package arch

import (
	"fmt"
	"go/ast"
	"go/token"
)

// Bounds of the code of a package listed in Shaped. Test files are not counted.
const (
	MaxFileLines     = 500
	MaxFunctionLines = 45 // most stay under 40
	MaxTypeMethods   = 40
	MaxTypeFields    = 25
)

// Shaped lists the packages that keep to the bounds above. A package is entered once it does, and stays.
var Shaped = []string{
	"",
	"internal/admission",
	"internal/autoscaler",
	"internal/cancelwatermark",
	"internal/datarecovery",
	"internal/gangpreemption",
	"internal/leadership",
	"internal/leasegrant",
	"internal/peer",
	"internal/placement",
	"internal/provisioning",
	"internal/quarantine",
	"internal/scheduler",
	"internal/shards",
	"internal/teamconfig",
	"internal/teamstore",
}

// shapeProblems lists what exceeds the bounds in the files of one package.
func shapeProblems(files *token.FileSet, parsed []*ast.File) (problems []string) {
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

// largeStructs lists the struct types of a declaration that have too many fields.
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

// receiverType is the name of the type that a method belongs to, "" for a function.
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

// linesOf is how many lines a function takes, its first and last included.
func linesOf(files *token.FileSet, declared *ast.FuncDecl) int {
	return files.Position(declared.End()).Line - files.Position(declared.Pos()).Line + 1
}
