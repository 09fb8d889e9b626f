package keepers

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// TestConfig: each unknown or impossible field is named, with what was expected, and
// the file that comes with the project is good.
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
	want.Fill()
	if err != nil || !reflect.DeepEqual(c, want) {
		t.Errorf("%+v, %v", c, err)
	}
	c.Policy = "" // lies elsewhere
	path := filepath.Join(dir, "again.toml")
	if err := os.WriteFile(path, []byte(c.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	if again, err := LoadConfig(path); err != nil || !reflect.DeepEqual(again, c) {
		t.Errorf("printed and read again: %+v, %v", again, err)
	}
}

// certificate writes a self-signed one with a serial number.
func certificate(t *testing.T, cert, key string, serial int64, at time.Time) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "keeper"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &k.PublicKey, k)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	for path, block := range map[string]*pem.Block{key: {Type: "EC PRIVATE KEY", Bytes: private}, cert: {Type: "CERTIFICATE", Bytes: der}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.Chtimes(cert, at, at); err != nil {
		t.Fatal(err)
	}
}

// TestCertificatesReload: a new certificate is taken up without a restart; files that do
// not fit together leave the old one in use.
func TestCertificatesReload(t *testing.T) {
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	now := time.Now()
	certificate(t, cert, key, 1, now)
	l, err := tls.Listen("tcp", "127.0.0.1:0", Certificates(cert, key))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func(c net.Conn) { _ = c.(*tls.Conn).Handshake(); c.Close() }(c)
		}
	}()
	serial := func() int64 {
		c, err := tls.Dial("tcp", l.Addr().String(), &tls.Config{InsecureSkipVerify: true})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	until := func(want int64) {
		t.Helper()
		for end := now.Add(30 * time.Second); serial() != want; time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) { // only keeps a hung test from running for ever
				t.Fatalf("certificate %d, not %d", serial(), want)
			}
		}
	}
	until(1)
	certificate(t, cert, key, 2, now.Add(time.Minute))
	until(2)
	if err := os.WriteFile(cert, []byte("nonsense"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(cert, now.Add(2*time.Minute), now.Add(2*time.Minute)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1100 * time.Millisecond) // it is looked at again
	if got := serial(); got != 2 {
		t.Fatalf("with nonsense in its file: certificate %d", got)
	}
	certificate(t, cert, key, 3, now.Add(3*time.Minute))
	until(3)
}
