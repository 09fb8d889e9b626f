package artifactreplication

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"topazhollow/internal/tomlfile"
)

// KeyVariable is the environment variable with the signing key in hexadecimal. Secrets are not read from the
// configuration file.
const KeyVariable = "TOPAZ_KEEP_KEY"

// Config is the configuration file; deploy/keep.toml describes its fields.
type Config struct {
	Name               string  `toml:"name"`
	Listen             string  `toml:"listen"`
	Dir                string  `toml:"dir"`
	QuotaGB            float64 `toml:"quota_gb"`
	ReserveGB          float64 `toml:"reserve_gb"`
	TenantGB           float64 `toml:"tenant_gb"`
	KeepDays           float64 `toml:"keep_days"`
	Policy             string  `toml:"policy"`
	Revoked            string  `toml:"revoked"`
	PartialHours       float64 `toml:"partial_hours"`
	UnreferencedHours  float64 `toml:"loose_hours"`
	MaintenanceMinutes float64 `toml:"duty_minutes"`
	ScrubMB            float64 `toml:"scrub_mb_per_s"`
	RepairMB           float64 `toml:"repair_mb_per_s"`
	RepairSec          float64 `toml:"repair_seconds"`
	PeerTimeoutSec     float64 `toml:"patience_seconds"`
	TLS                struct {
		Cert string `toml:"cert"`
		Key  string `toml:"key"`
		CA   string `toml:"ca"` // certificate authority of the other replicas; the system's if empty
	} `toml:"tls"`
	Members Members `toml:"members"`
}

// DefaultConfig returns the values of the fields that a file leaves out.
func DefaultConfig() Config {
	return Config{Name: "keeper-1", RepairMB: 20, RepairSec: 30, PeerTimeoutSec: 5, Listen: "127.0.0.1:8800", Dir: "target/keep", QuotaGB: 10, ReserveGB: 0.5, TenantGB: 0, KeepDays: 30, PartialHours: 24,
		UnreferencedHours: 24, MaintenanceMinutes: 10, ScrubMB: 5}
}

// LoadConfig reads and validates a file. The error for an unknown or invalid field names the file, the field and what
// is expected.
func LoadConfig(path string) (Config, error) {
	c := DefaultConfig()
	if err := tomlfile.Load(path, &c); err != nil {
		return c, err
	}
	c.FillDefaults()
	for _, relative := range []*string{&c.Policy, &c.Revoked} {
		if *relative != "" && !filepath.IsAbs(*relative) {
			*relative = filepath.Join(filepath.Dir(path), *relative)
		}
	}
	if err := c.check(); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// FillDefaults lists this replica as the only member if there is no list, and fills in the fields that a list leaves
// out.
func (c *Config) FillDefaults() {
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
	if err := tomlfile.CheckServer(c.Listen, c.Dir, c.TLS.Cert, c.TLS.Key); err != nil {
		return err
	}
	if err := tomlfile.CheckBounds(
		tomlfile.In("quota_gb", c.QuotaGB, 0.01, 1e6), tomlfile.In("reserve_gb", c.ReserveGB, 0, c.QuotaGB/2), tomlfile.In("tenant_gb", c.TenantGB, 0, 1e6), tomlfile.In("keep_days", c.KeepDays, 0, 36500),
		tomlfile.In("partial_hours", c.PartialHours, 0.1, 1e5), tomlfile.In("loose_hours", c.UnreferencedHours, 0.1, 1e5), tomlfile.In("duty_minutes", c.MaintenanceMinutes, 0.05, 1e4), tomlfile.In("scrub_mb_per_s", c.ScrubMB, 0, 1e4),
		tomlfile.In("repair_mb_per_s", c.RepairMB, 0, 1e4), tomlfile.In("repair_seconds", c.RepairSec, 0.05, 1e5), tomlfile.In("patience_seconds", c.PeerTimeoutSec, 0.1, 600),
	); err != nil {
		return err
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
	return c.Members.check(c.Name)
}

// Client returns the HTTP client for calls to other replicas.
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
			return nil, fmt.Errorf("%s: no certificate found", c.TLS.CA)
		}
	}
	return &http.Client{Transport: t}, nil
}

// String returns the configuration as TOML.
func (c Config) String() string { return tomlfile.String(c) }

// BackgroundWork returns the configured periodic work.
func (c Config) BackgroundWork() BackgroundWork {
	span := func(x float64, unit time.Duration) time.Duration { return time.Duration(x * float64(unit)) }
	return BackgroundWork{Interval: span(c.MaintenanceMinutes, time.Minute), PartialAge: span(c.PartialHours, time.Hour), UnreferencedAge: span(c.UnreferencedHours, time.Hour), ScrubBytesPerSecond: c.ScrubMB * 1e6, RepairInterval: span(c.RepairSec, time.Second)}
}

// KeyFromEnvironment returns the signing key.
func KeyFromEnvironment() ([]byte, error) {
	key, err := hex.DecodeString(os.Getenv(KeyVariable))
	if err != nil || len(key) < 16 {
		return nil, fmt.Errorf("environment variable %s: 32 hexadecimal digits or more are expected", KeyVariable)
	}
	return key, nil
}
