package artifactreplication

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// TestConfig checks that the error for an unknown or invalid field names it and what is expected, that
// deploy/keep.toml is valid, and that a printed configuration can be read again.
func TestConfig(t *testing.T) {
	dir := t.TempDir()
	for text, want := range map[string]string{
		"lisen = \"x\"":                       "field lisen: no such field",
		"listen = \"nowhere\"":                "field listen",
		"listen = \"0.0.0.0:8800\"":           "tls.cert and tls.key are needed",
		"quota_gb = -1.0":                     "field quota_gb: -1 is not between",
		"quota_gb = 1.0\nreserve_gb = 0.9":    "field reserve_gb",
		"dir = \"\"":                          "field dir",
		"keep_days = nan":                     "field keep_days",
		"quota_gb = \"ten\"":                  "line 1",
		"listen = ":                           "line 1",
		"[tls]\ncert = \"a\"":                 "field tls",
		"[tls]\ncert = \"a\"\nkey = \"none\"": "field tls",
	} {
		path := filepath.Join(dir, "keep.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadConfig(path); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "keep.toml") {
			t.Errorf("%q: %v", text, err)
		}
	}
	c, err := LoadConfig("../../deploy/keep.toml")
	want := DefaultConfig()
	want.Policy = "../../deploy/retention.star"
	want.FillDefaults()
	if err != nil || !reflect.DeepEqual(c, want) {
		t.Errorf("%+v, %v", c, err)
	}
	c.Policy = "" // the path is relative to another directory
	path := filepath.Join(dir, "printed.toml")
	if err := os.WriteFile(path, []byte(c.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	if reread, err := LoadConfig(path); err != nil || !reflect.DeepEqual(reread, c) {
		t.Errorf("printed and read again: %+v, %v", reread, err)
	}
}
