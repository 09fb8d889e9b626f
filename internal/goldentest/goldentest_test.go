package goldentest

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
)

type inner struct {
	Word string `json:"word"`
}

type sample struct {
	inner
	Count   int            `json:"count"`
	Pointer *inner         `json:"pointer"`
	List    []inner        `json:"list"`
	Map     map[string]int `json:"map"`
	private int
}

// TestUnset: zero fields must be found at every depth.
func TestUnset(t *testing.T) {
	full := sample{inner: inner{"a"}, Count: 1, Pointer: &inner{"b"}, List: []inner{{"c"}}, Map: map[string]int{"d": 1}}
	AllSet(t, full)
	lacking := sample{Pointer: &inner{}, List: []inner{{"c"}, {}}, Map: map[string]int{}, private: 0}
	got := unset(reflect.ValueOf(lacking), "sample")
	want := []string{"sample.inner", "sample.Count", "sample.Pointer.Word", "sample.List[1].Word", "sample.Map"}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// recorder records a failed comparison instead of failing the test.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Helper()               {}
func (r *recorder) Errorf(string, ...any) { r.failed = true }

// TestBytes: bytes that differ from the file must fail the test, and comparing must not write the file.
func TestBytes(t *testing.T) {
	updating := *update
	*update = false
	t.Cleanup(func() { *update = updating })
	t.Chdir(t.TempDir())
	path := filepath.Join(directory, "x")
	if err := os.MkdirAll(directory, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte("as it was"), 0o644); err != nil {
		t.Fatal(err)
	}
	for got, fails := range map[string]bool{"as it was": false, "as it is": true} {
		r := &recorder{TB: t}
		if want := Bytes(r, "x", []byte(got)); string(want) != "as it was" || r.failed != fails {
			t.Errorf("%q: want %q, failed %v", got, want, r.failed)
		}
	}
}
