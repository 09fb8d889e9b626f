// Package tomlfile reads settings from TOML files, so that every mistake is told in the
// same words.
package tomlfile

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strings"

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

// String is settings as a file.
func String(v any) string {
	var b strings.Builder
	// Writing to memory does not fail, and all kinds of settings have a form in TOML.
	_ = toml.NewEncoder(&b).Encode(v)
	return b.String()
}

// Bound says between what a field must lie.
type Bound struct {
	Field         string
	Value, Lo, Hi float64
}

// In is a Bound.
func In(field string, value, lo, hi float64) Bound { return Bound{field, value, lo, hi} }

// CheckBounds names the first field that does not lie where it must.
func CheckBounds(list ...Bound) error {
	for _, x := range list {
		if !(x.Value >= x.Lo && x.Value <= x.Hi) {
			return fmt.Errorf("field %s: %g is not between %g and %g", x.Field, x.Value, x.Lo, x.Hi)
		}
	}
	return nil
}

// CheckServer checks what every server's settings have: the fields listen, dir, and cert
// and key of tls, which are needed beyond this machine.
func CheckServer(listen, dir, cert, key string) error {
	if _, _, err := net.SplitHostPort(listen); err != nil {
		return fmt.Errorf("field listen: %q is not an address with a port", listen)
	}
	if dir == "" {
		return errors.New("field dir: a directory is expected")
	}
	if (cert == "") != (key == "") {
		return errors.New("field tls: cert and key are expected together")
	}
	if cert == "" && !strings.HasPrefix(listen, "127.") && !strings.HasPrefix(listen, "[::1]") && !strings.HasPrefix(listen, "localhost:") {
		return fmt.Errorf("field listen: beyond this machine (%s) tls.cert and tls.key are needed", listen)
	}
	if cert != "" {
		if _, err := tls.LoadX509KeyPair(cert, key); err != nil {
			return fmt.Errorf("field tls: %w", err)
		}
	}
	return nil
}
