package certs

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
	"testing"
	"time"
)

// writeCertificate writes a self-signed certificate with a serial number, and its key.
func writeCertificate(t *testing.T, cert, key string, serial int64, at time.Time) {
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

// TestCertificatesReload checks that a new certificate is used without a restart, and that an invalid file leaves the last
// valid one in use.
func TestCertificatesReload(t *testing.T) {
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	now := time.Now()
	writeCertificate(t, cert, key, 1, now)
	l, err := tls.Listen("tcp", "127.0.0.1:0", Reloaded(cert, key))
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
	waitForSerial := func(want int64) {
		t.Helper()
		for end := now.Add(30 * time.Second); serial() != want; time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) { // only keeps a hung test from running for ever
				t.Fatalf("certificate %d, not %d", serial(), want)
			}
		}
	}
	waitForSerial(1)
	writeCertificate(t, cert, key, 2, now.Add(time.Minute))
	waitForSerial(2)
	if err := os.WriteFile(cert, []byte("nonsense"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(cert, now.Add(2*time.Minute), now.Add(2*time.Minute)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1100 * time.Millisecond) // longer than the interval between checks
	if got := serial(); got != 2 {
		t.Fatalf("with an invalid file: certificate %d", got)
	}
	writeCertificate(t, cert, key, 3, now.Add(3*time.Minute))
	waitForSerial(3)
}
