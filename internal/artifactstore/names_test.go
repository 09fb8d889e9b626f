package artifactstore

import (
	"path/filepath"
	"testing"
)

// FuzzPaths checks that no accepted path leaves the directory that it is joined to.
func FuzzPaths(f *testing.F) {
	for _, p := range []string{"a/b", "../a", "a/./b", "/a", "a\\..\\b"} {
		f.Add(p)
	}
	f.Fuzz(func(t *testing.T, p string) {
		if CheckPath(p) != nil {
			return
		}
		if got := filepath.Join("/root/dir", p); got != "/root/dir/"+p || !filepath.IsLocal(p) {
			t.Fatalf("accepted path %q resolves to %q", p, got)
		}
	})
}
