package crentry

import (
	"crypto/tls"
	"fmt"
	"sync/atomic"
)

// Certificate is the daemon's certificate towards callers. It can be reloaded
// while connections go on; new handshakes take the newer one.
type Certificate struct {
	certPath string
	keyPath  string
	current  atomic.Pointer[tls.Certificate]
}

// LoadCertificate reads PEM files.
func LoadCertificate(certPath, keyPath string) (*Certificate, error) {
	c := &Certificate{certPath: certPath, keyPath: keyPath}
	return c, c.Reload()
}

// Reload reads the files again; after an error the former certificate stays in
// use.
func (c *Certificate) Reload() error {
	cert, err := tls.LoadX509KeyPair(c.certPath, c.keyPath)
	if err != nil {
		return fmt.Errorf("certificate towards callers: %w", err)
	}
	c.current.Store(&cert)
	return nil
}

// Config is for the server towards callers, which adds the protocols it speaks.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current.Load(), nil
		},
	}
}
