package keepers

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
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
	Name         string  `toml:"name"`
	Listen       string  `toml:"listen"`
	Dir          string  `toml:"dir"`
	QuotaGB      float64 `toml:"quota_gb"`
	ReserveGB    float64 `toml:"reserve_gb"`
	TenantGB     float64 `toml:"tenant_gb"`
	KeepDays     float64 `toml:"keep_days"`
	Policy       string  `toml:"policy"`
	Revoked      string  `toml:"revoked"`
	PartialHours float64 `toml:"partial_hours"`
	LooseHours   float64 `toml:"loose_hours"`
	DutyMinutes  float64 `toml:"duty_minutes"`
	ScrubMB      float64 `toml:"scrub_mb_per_s"`
	RepairMB     float64 `toml:"repair_mb_per_s"`
	RepairSec    float64 `toml:"repair_seconds"`
	PatienceSec  float64 `toml:"patience_seconds"`
	TLS          struct {
		Cert string `toml:"cert"`
		Key  string `toml:"key"`
		CA   string `toml:"ca"` // whose certificates the other keepers have; the system's if empty
	} `toml:"tls"`
	Members Members `toml:"members"`
}

// DefaultConfig is what holds for what a file does not say.
func DefaultConfig() Config {
	return Config{Name: "keeper-1", RepairMB: 20, RepairSec: 30, PatienceSec: 5, Listen: "127.0.0.1:8800", Dir: "target/keep", QuotaGB: 10, ReserveGB: 0.5, TenantGB: 0, KeepDays: 30, PartialHours: 24,
		LooseHours: 24, DutyMinutes: 10, ScrubMB: 5}
}

// LoadConfig reads and checks a file. An unknown or impossible field is an error that
// names file, field and what was expected.
func LoadConfig(path string) (Config, error) {
	c := DefaultConfig()
	if err := tomlfile.Load(path, &c); err != nil {
		return c, err
	}
	c.Fill()
	for _, beside := range []*string{&c.Policy, &c.Revoked} {
		if *beside != "" && !filepath.IsAbs(*beside) {
			*beside = filepath.Join(filepath.Dir(path), *beside)
		}
	}
	if err := c.check(); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Fill makes a list of this keeper alone where there is none, and puts in what a list
// leaves out.
func (c *Config) Fill() {
	m := &c.Members
	if len(m.List) == 0 {
		m.List = []Member{{Name: c.Name, URL: "http://" + c.Listen}}
	}
	if m.Epoch == 0 {
		m.Epoch = 1
	}
	if m.Copies == 0 {
		m.Copies = min(3, len(m.List))
	}
	if m.Acks == 0 {
		m.Acks = majority(m.Copies)
	}
	for i := range m.List {
		if m.List[i].State == "" {
			m.List[i].State = Serving
		}
	}
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
		{"partial_hours", c.PartialHours, 0.1, 1e5}, {"loose_hours", c.LooseHours, 0.1, 1e5}, {"duty_minutes", c.DutyMinutes, 0.05, 1e4}, {"scrub_mb_per_s", c.ScrubMB, 0, 1e4},
		{"repair_mb_per_s", c.RepairMB, 0, 1e4}, {"repair_seconds", c.RepairSec, 0.05, 1e5}, {"patience_seconds", c.PatienceSec, 0.1, 600}} {
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
	if _, err := LoadRetention(c.Policy, c.KeepDays); err != nil {
		return fmt.Errorf("field policy: %w", err)
	}
	if _, err := LoadRevoked(c.Revoked); err != nil {
		return fmt.Errorf("field revoked: %w", err)
	}
	if _, err := c.Client(); err != nil {
		return fmt.Errorf("field tls.ca: %w", err)
	}
	if c.TLS.Cert != "" {
		if _, err := tls.LoadX509KeyPair(c.TLS.Cert, c.TLS.Key); err != nil {
			return fmt.Errorf("field tls: %w", err)
		}
	}
	return c.Members.check(c.Name)
}

// Client is what the other keepers are called with.
func (c *Config) Client() (*http.Client, error) {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = 64
	if c.TLS.CA != "" {
		pem, err := os.ReadFile(c.TLS.CA)
		if err != nil {
			return nil, err
		}
		t.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: x509.NewCertPool()}
		if !t.TLSClientConfig.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s: no certificate in it", c.TLS.CA)
		}
	}
	return &http.Client{Transport: t}, nil
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
	return Duty{Every: span(c.DutyMinutes, time.Minute), Partial: span(c.PartialHours, time.Hour), Loose: span(c.LooseHours, time.Hour), Scrub: c.ScrubMB * 1e6, Repair: span(c.RepairSec, time.Second)}
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
