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
// reloaded while sessions go on; new handshakes take the newer one.
type Identity struct {
	certPath string
	keyPath  string
	caPath   string
	current  atomic.Pointer[material]
}

type material struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// LoadIdentity reads PEM files.
func LoadIdentity(certPath, keyPath, caPath string) (*Identity, error) {
	id := &Identity{certPath: certPath, keyPath: keyPath, caPath: caPath}
	return id, id.Reload()
}

// Reload reads the files again; after an error the former material stays in
// use.
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
	id.current.Store(&material{cert: cert, pool: pool})
	return nil
}

func (id *Identity) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := id.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{protocol},
				Certificates: []tls.Certificate{m.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    m.pool,
			}, nil
		},
	}
}

func (id *Identity) clientConfig(peer string) *tls.Config {
	m := id.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{m.cert},
		RootCAs:      m.pool,
		ServerName:   peer,
	}
}
