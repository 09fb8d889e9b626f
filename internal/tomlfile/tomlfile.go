// Package tomlfile reads settings from TOML files and checks them, with uniform error messages.
package tomlfile

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/BurntSushi/toml"
)

// Load reads a file into v. Fields that the file leaves out keep their values. The error for invalid TOML names the file
// and the line; the error for an unknown field names the file and the field.
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

// String returns settings as TOML.
func String(v any) string {
	var b strings.Builder
	// Writing to memory does not fail, and every type of settings can be encoded.
	_ = toml.NewEncoder(&b).Encode(v)
	return b.String()
}

// Bound is the range that a field's value must be in.
type Bound struct {
	Field         string
	Value, Lo, Hi float64
}

// In returns a Bound with the range lo to hi, both included.
func In(field string, value, lo, hi float64) Bound { return Bound{field, value, lo, hi} }

// CheckBounds returns an error that names the first field whose value is outside its range.
func CheckBounds(list ...Bound) error {
	for _, x := range list {
		if !(x.Value >= x.Lo && x.Value <= x.Hi) {
			return fmt.Errorf("field %s: %g is not between %g and %g", x.Field, x.Value, x.Lo, x.Hi)
		}
	}
	return nil
}

// CheckServer checks the settings that all servers have: listen, dir, and tls.cert and tls.key. The TLS files are required
// if listen is not a loopback address.
func CheckServer(listen, dir, cert, key string) error {
	if _, _, err := net.SplitHostPort(listen); err != nil {
		return fmt.Errorf("field listen: %q is not an address with a port", listen)
	}
	if dir == "" {
		return errors.New("field dir: must not be empty")
	}
	if (cert == "") != (key == "") {
		return errors.New("field tls: cert and key must be set together")
	}
	if cert == "" && !strings.HasPrefix(listen, "127.") && !strings.HasPrefix(listen, "[::1]") && !strings.HasPrefix(listen, "localhost:") {
		return fmt.Errorf("field listen: %s is not a loopback address: tls.cert and tls.key are needed", listen)
	}
	if cert != "" {
		if _, err := tls.LoadX509KeyPair(cert, key); err != nil {
			return fmt.Errorf("field tls: %w", err)
		}
	}
	return nil
}
