package crpeer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
)

// Identity is this daemon's certificate and the authority it trusts. It can be
// reloaded while sessions are open; new handshakes use the new files.
type Identity struct {
	certPath string
	keyPath  string
	caPath   string
	current  atomic.Pointer[credentials]
}

type credentials struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// LoadIdentity reads PEM files.
func LoadIdentity(certPath, keyPath, caPath string) (*Identity, error) {
	id := &Identity{certPath: certPath, keyPath: keyPath, caPath: caPath}
	return id, id.Reload()
}

// Reload reads the files again. After an error, the previous credentials stay in use.
func (id *Identity) Reload() error {
	cert, err := tls.LoadX509KeyPair(id.certPath, id.keyPath)
	if err != nil {
		return fmt.Errorf("peer certificate: %w", err)
	}
	pem, err := os.ReadFile(id.caPath)
	if err != nil {
		return fmt.Errorf("peer authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.New("peer authority: no certificate in " + id.caPath)
	}
	id.current.Store(&credentials{cert: cert, roots: pool})
	return nil
}

func (id *Identity) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := id.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{protocol},
				Certificates: []tls.Certificate{creds.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    creds.roots,
			}, nil
		},
	}
}

func (id *Identity) clientConfig(peer string) *tls.Config {
	creds := id.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{creds.cert},
		RootCAs:      creds.roots,
		ServerName:   peer,
	}
}
