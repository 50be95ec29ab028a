package crentry

import (
	"crypto/tls"
	"fmt"
	"sync/atomic"
)

// Certificate is the daemon's server certificate for callers. It can be reloaded
// while connections are open; new handshakes use the reloaded one.
type Certificate struct {
	certPath string
	keyPath  string
	current  atomic.Pointer[tls.Certificate]
}

// LoadCertificate reads a certificate and its key from PEM files.
func LoadCertificate(certPath, keyPath string) (*Certificate, error) {
	c := &Certificate{certPath: certPath, keyPath: keyPath}
	return c, c.Reload()
}

// Reload reads the files again. After an error the previous certificate stays in
// use.
func (c *Certificate) Reload() error {
	cert, err := tls.LoadX509KeyPair(c.certPath, c.keyPath)
	if err != nil {
		return fmt.Errorf("load the server certificate for callers: %w", err)
	}
	c.current.Store(&cert)
	return nil
}

// Config returns the TLS configuration of the server for callers. The server adds its
// protocols to it.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current.Load(), nil
		},
	}
}
