// Package tomlfile reads settings from TOML files, so that every mistake is told in the
// same words.
package tomlfile

import (
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// Load reads a file into v, which keeps its values where the file says nothing. An
// error names the file and the line, or the field that v does not have.
func Load(path string, v any) error {
	meta, err := toml.DecodeFile(path, v)
	var bad toml.ParseError
	if errors.As(err, &bad) {
		return fmt.Errorf("%s: line %d: %s", path, bad.Position.Line, bad.Message)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return fmt.Errorf("%s: field %s: no such field", path, unknown[0])
	}
	return nil
}
