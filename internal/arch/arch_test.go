package arch

import (
	"fmt"
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// goList runs go list over packages of this module and returns its lines.
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

// imports returns what each package of this module imports outside its tests.
func imports(t *testing.T) map[string][]string {
	t.Helper()
	found := map[string][]string{}
	for _, line := range goList(t, "-f", "{{.ImportPath}} {{join .Imports \" \"}}", "./...") {
		fields := strings.Fields(line)
		found[fields[0]] = fields[1:]
	}
	return found
}

// path is a listed package's import path.
func path(listed string) string { return strings.TrimSuffix(Module+"/"+listed, "/") }

// inModule says whether an import path belongs to this module.
func inModule(importPath string) bool {
	return importPath == Module || strings.HasPrefix(importPath, Module+"/")
}

// heights numbers the listed packages from the lowest up.
func heights() (map[string]int, error) {
	height := map[string]int{}
	for _, layer := range Layers {
		for _, listed := range layer.Packages {
			if _, twice := height[path(listed)]; twice {
				return nil, fmt.Errorf("%s is listed twice", path(listed))
			}
			height[path(listed)] = len(height)
		}
	}
	return height, nil
}

// violations lists what is wrong with the imports by the list of layers.
func violations(height map[string]int, imports map[string][]string) (wrong []string) {
	for importer, list := range imports {
		at, known := height[importer]
		if !known {
			wrong = append(wrong, importer+" is in no layer")
			continue
		}
		for _, imported := range list {
			if inModule(imported) && height[imported] >= at {
				wrong = append(wrong, fmt.Sprintf("%s imports %s, which does not stand below it", importer, imported))
			}
		}
	}
	slices.Sort(wrong)
	return wrong
}

func TestImportsRunDown(t *testing.T) {
	height, err := heights()
	if err != nil {
		t.Fatal(err)
	}
	found := imports(t)
	for _, wrong := range violations(height, found) {
		t.Error(wrong)
	}
	for listed := range height {
		if _, there := found[listed]; !there {
			t.Errorf("%s is listed and does not exist", listed)
		}
	}
}

// TestViolationsAreFound shows that the check above sees imports that run up or across.
func TestViolationsAreFound(t *testing.T) {
	height := map[string]int{Module + "/internal/protocol": 0, Module + "/internal/autoscaler": 1, Module: 2}
	found := map[string][]string{
		Module:                          {"fmt", Module + "/internal/autoscaler"},
		Module + "/internal/autoscaler": {Module + "/internal/protocol", Module},
		Module + "/internal/protocol":   {Module + "/internal/protocol"},
		Module + "/internal/new":        nil,
	}
	want := []string{
		"topazhollow/internal/autoscaler imports topazhollow, which does not stand below it",
		"topazhollow/internal/new is in no layer",
		"topazhollow/internal/protocol imports topazhollow/internal/protocol, which does not stand below it",
	}
	if got := violations(height, found); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestControllerLinks shows that the controller links no tool and no heavy module.
func TestControllerLinks(t *testing.T) {
	forbidden := slices.Clone(HeavyModules)
	above := false
	for _, layer := range Layers {
		for _, listed := range layer.Packages {
			if above && listed != Controller {
				forbidden = append(forbidden, path(listed))
			}
		}
		above = above || slices.Contains(layer.Packages, "")
	}
	linked := goList(t, "-deps", path(Controller))
	if !slices.Contains(linked, Module) {
		t.Fatal("the list of what the controller links lacks the library")
	}
	for _, dependency := range linked {
		for _, module := range forbidden {
			if dependency == module || strings.HasPrefix(dependency, module+"/") {
				t.Errorf("the controller links %s", dependency)
			}
		}
	}
}
