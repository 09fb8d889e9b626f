package keeper

import (
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/BurntSushi/toml"

	"topazhollow/internal/tomlfile"
)

// KeyVariable is the environment variable with the keeper's key, in hexadecimal. Secrets
// have no place in a file.
const KeyVariable = "TOPAZ_KEEP_KEY"

// Config is deploy/keep.toml.
type Config struct {
	Listen       string  `toml:"listen"`
	Dir          string  `toml:"dir"`
	QuotaGB      float64 `toml:"quota_gb"`
	ReserveGB    float64 `toml:"reserve_gb"`
	TenantGB     float64 `toml:"tenant_gb"`
	KeepDays     float64 `toml:"keep_days"`
	PartialHours float64 `toml:"partial_hours"`
	LooseHours   float64 `toml:"loose_hours"`
	DutyMinutes  float64 `toml:"duty_minutes"`
	ScrubMB      float64 `toml:"scrub_mb_per_s"`
	TLS          struct {
		Cert string `toml:"cert"`
		Key  string `toml:"key"`
	} `toml:"tls"`
}

// DefaultConfig is what holds for what a file does not say.
func DefaultConfig() Config {
	return Config{Listen: "127.0.0.1:8800", Dir: "target/keep", QuotaGB: 10, ReserveGB: 0.5, TenantGB: 0, KeepDays: 30, PartialHours: 24,
		LooseHours: 24, DutyMinutes: 10, ScrubMB: 5}
}

// LoadConfig reads and checks a file. An unknown or impossible field is an error that
// names file, field and what was expected.
func LoadConfig(path string) (Config, error) {
	c := DefaultConfig()
	if err := tomlfile.Load(path, &c); err != nil {
		return c, err
	}
	if err := c.check(); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func (c *Config) check() error {
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return fmt.Errorf("field listen: %q is not an address with a port", c.Listen)
	}
	if c.Dir == "" {
		return errors.New("field dir: a directory is expected")
	}
	for _, x := range []struct {
		field         string
		value, lo, hi float64
	}{{"quota_gb", c.QuotaGB, 0.01, 1e6}, {"reserve_gb", c.ReserveGB, 0, c.QuotaGB / 2}, {"tenant_gb", c.TenantGB, 0, 1e6}, {"keep_days", c.KeepDays, 0, 36500},
		{"partial_hours", c.PartialHours, 0.1, 1e5}, {"loose_hours", c.LooseHours, 0.1, 1e5}, {"duty_minutes", c.DutyMinutes, 0.05, 1e4}, {"scrub_mb_per_s", c.ScrubMB, 0, 1e4}} {
		if !(x.value >= x.lo && x.value <= x.hi) {
			return fmt.Errorf("field %s: %g is not between %g and %g", x.field, x.value, x.lo, x.hi)
		}
	}
	if (c.TLS.Cert == "") != (c.TLS.Key == "") {
		return errors.New("field tls: cert and key are expected together")
	}
	if c.TLS.Cert == "" && !strings.HasPrefix(c.Listen, "127.") && !strings.HasPrefix(c.Listen, "[::1]") && !strings.HasPrefix(c.Listen, "localhost:") {
		return fmt.Errorf("field listen: beyond this machine (%s) tls.cert and tls.key are needed", c.Listen)
	}
	if c.TLS.Cert != "" {
		if _, err := tls.LoadX509KeyPair(c.TLS.Cert, c.TLS.Key); err != nil {
			return fmt.Errorf("field tls: %w", err)
		}
	}
	return nil
}

// String is the configuration as a file.
func (c Config) String() string {
	var b strings.Builder
	// Writing to memory does not fail, and all of its kinds have a form in TOML.
	_ = toml.NewEncoder(&b).Encode(c)
	return b.String()
}

// Duty is what the configuration says of it.
func (c Config) Duty() Duty {
	span := func(x float64, unit time.Duration) time.Duration { return time.Duration(x * float64(unit)) }
	return Duty{Every: span(c.DutyMinutes, time.Minute), Partial: span(c.PartialHours, time.Hour), Keep: span(c.KeepDays, 24*time.Hour),
		Loose: span(c.LooseHours, time.Hour), Scrub: c.ScrubMB * 1e6}
}

// KeyFromEnvironment reads the keeper's key.
func KeyFromEnvironment() ([]byte, error) {
	key, err := hex.DecodeString(os.Getenv(KeyVariable))
	if err != nil || len(key) < 16 {
		return nil, fmt.Errorf("environment variable %s: 32 hexadecimal digits or more are expected", KeyVariable)
	}
	return key, nil
}

// Certificates gives a TLS configuration that takes up new files without a restart:
// they are looked at again at most once in a second. Files that do not fit together
// leave the old ones in use.
func Certificates(cert, key string) *tls.Config {
	var mu sync.Mutex
	var current *tls.Certificate
	var looked, stamp time.Time
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		mu.Lock()
		defer mu.Unlock()
		if current != nil && time.Since(looked) < time.Second {
			return current, nil
		}
		looked = time.Now()
		st, err := os.Stat(cert)
		if err == nil && (current == nil || !st.ModTime().Equal(stamp)) {
			var c tls.Certificate
			if c, err = tls.LoadX509KeyPair(cert, key); err == nil {
				current, stamp = &c, st.ModTime()
			}
		}
		if current == nil {
			return nil, err
		}
		return current, nil
	}}
}
