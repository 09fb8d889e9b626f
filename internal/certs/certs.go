// Package certs loads TLS certificates from files and reloads them when the files change.
package certs

import (
	"crypto/tls"
	"os"
	"sync"
	"time"
)

// Reloaded returns a TLS configuration that picks up new files without a restart. It checks the certificate file's
// modification time at most once a second. While the files are invalid or don't match, the last valid certificate stays
// in use.
func Reloaded(cert, key string) *tls.Config {
	var mu sync.Mutex
	var current *tls.Certificate
	var checkedAt, modifiedAt time.Time
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		mu.Lock()
		defer mu.Unlock()
		if current != nil && time.Since(checkedAt) < time.Second {
			return current, nil
		}
		checkedAt = time.Now()
		st, err := os.Stat(cert)
		if err == nil && (current == nil || !st.ModTime().Equal(modifiedAt)) {
			var c tls.Certificate
			if c, err = tls.LoadX509KeyPair(cert, key); err == nil {
				current, modifiedAt = &c, st.ModTime()
			}
		}
		if current == nil {
			return nil, err
		}
		return current, nil
	}}
}
