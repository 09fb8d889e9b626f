package arch

import (
	"fmt"
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// goList runs go list in the module's root and returns its output lines.
func goList(t *testing.T, args ...string) []string {
	t.Helper()
	cmd := exec.Command("go", append([]string{"list"}, args...)...)
	cmd.Dir = "../.."
	out, err := cmd.Output()
	if err != nil {
		t.Fatalf("go list %v: %v", args, err)
	}
	return strings.Split(strings.TrimSpace(string(out)), "\n")
}

// imports returns the imports of each package of this module, without those of its tests.
func imports(t *testing.T) map[string][]string {
	t.Helper()
	found := map[string][]string{}
	for _, line := range goList(t, "-f", "{{.ImportPath}} {{join .Imports \" \"}}", "./...") {
		fields := strings.Fields(line)
		found[fields[0]] = fields[1:]
	}
	return found
}

// path returns the full import path of a package in Layers.
func path(listed string) string { return strings.TrimSuffix(Module+"/"+listed, "/") }

// inModule reports whether an import path belongs to this module.
func inModule(importPath string) bool {
	return importPath == Module || strings.HasPrefix(importPath, Module+"/")
}

// levels numbers the packages in Layers, from the lowest up.
func levels() (map[string]int, error) {
	level := map[string]int{}
	for _, layer := range Layers {
		for _, listed := range layer.Packages {
			if _, duplicate := level[path(listed)]; duplicate {
				return nil, fmt.Errorf("%s is listed twice", path(listed))
			}
			level[path(listed)] = len(level)
		}
	}
	return level, nil
}

// violations lists the imports that the levels don't allow and the packages without a level.
func violations(level map[string]int, imports map[string][]string) (found []string) {
	for importer, list := range imports {
		importerLevel, known := level[importer]
		if !known {
			found = append(found, importer+" is in no layer")
			continue
		}
		for _, imported := range list {
			if inModule(imported) && level[imported] >= importerLevel {
				found = append(found, fmt.Sprintf("%s imports %s, which is not on a lower level", importer, imported))
			}
		}
	}
	slices.Sort(found)
	return found
}

// TestImportsFollowLayers checks that every package is listed in Layers and imports only packages listed before it.
func TestImportsFollowLayers(t *testing.T) {
	level, err := levels()
	if err != nil {
		t.Fatal(err)
	}
	found := imports(t)
	for _, violation := range violations(level, found) {
		t.Error(violation)
	}
	for listed := range level {
		if _, exists := found[listed]; !exists {
			t.Errorf("%s is listed but does not exist", listed)
		}
	}
}

// TestViolationsAreFound checks that violations reports imports of higher or the same level and unlisted packages.
func TestViolationsAreFound(t *testing.T) {
	level := map[string]int{Module + "/internal/protocol": 0, Module + "/internal/autoscaler": 1, Module: 2}
	found := map[string][]string{
		Module:                          {"fmt", Module + "/internal/autoscaler"},
		Module + "/internal/autoscaler": {Module + "/internal/protocol", Module},
		Module + "/internal/protocol":   {Module + "/internal/protocol"},
		Module + "/internal/new":        nil,
	}
	want := []string{
		"topazhollow/internal/autoscaler imports topazhollow, which is not on a lower level",
		"topazhollow/internal/new is in no layer",
		"topazhollow/internal/protocol imports topazhollow/internal/protocol, which is not on a lower level",
	}
	if got := violations(level, found); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestControllerLinks checks that the controller links no tool and no heavy module.
func TestControllerLinks(t *testing.T) {
	forbidden := slices.Clone(HeavyModules)
	aboveLibrary := false
	for _, layer := range Layers {
		for _, listed := range layer.Packages {
			if aboveLibrary && listed != Controller {
				forbidden = append(forbidden, path(listed))
			}
		}
		aboveLibrary = aboveLibrary || slices.Contains(layer.Packages, "")
	}
	linked := goList(t, "-deps", path(Controller))
	if !slices.Contains(linked, Module) {
		t.Fatal("the list of the controller's dependencies lacks the library")
	}
	for _, dependency := range linked {
		for _, module := range forbidden {
			if dependency == module || strings.HasPrefix(dependency, module+"/") {
				t.Errorf("the controller links %s", dependency)
			}
		}
	}
}
