// Package crcert makes certificates for trying the fleet out on one machine: an
// authority, and a certificate for each daemon. The authority's key stays in the
// directory, so that they are for development only.
//
// # Usage
//
//	err := crcert.Issue(dir, "booking-1", "booking-2")
package crcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"regexp"
	"time"
)

const (
	devLife  = 30 * 24 * time.Hour
	caName   = "ca"
	modeKey  = 0o600
	modeCert = 0o644
	modeDir  = 0o700
)

// ErrInvalidName tells that a daemon can not have a name.
var ErrInvalidName = errors.New("no name for a daemon")

// CertPath is the path of a daemon's certificate in a directory; its key lies beside it.
func CertPath(dir, name string) string { return filepath.Join(dir, name+".pem") }

// Issue writes ca.pem, and NAME.pem with NAME.key for each daemon. An authority that
// is there is used again. Nothing is written if a name is refused.
func Issue(dir string, names ...string) error {
	if err := checkNames(names); err != nil {
		return err
	}
	if err := os.MkdirAll(dir, modeDir); err != nil {
		return fmt.Errorf("certificates: %w", err)
	}
	m := maker{dir: dir}
	ca, err := m.authority()
	if err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	for _, name := range names {
		if err := m.issue(ca, name); err != nil {
			return fmt.Errorf("certificate of %s: %w", name, err)
		}
	}
	return nil
}

// checkNames refuses what would overwrite the authority's files, after which no
// daemon trusts another, or leave the directory.
func checkNames(names []string) error {
	valid := regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	for _, name := range names {
		if name == caName || !valid.MatchString(name) {
			return fmt.Errorf("%w: %q; use lower-case letters, digits, dots, dashes and "+
				"underscores, 63 at most, and not %q, which is the authority's", ErrInvalidName, name, caName)
		}
	}
	return nil
}

// maker writes to a directory.
type maker struct{ dir string }

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// authority reads the one in the directory, or makes one.
func (m maker) authority() (*authority, error) {
	ca, err := m.readAuthority()
	if !errors.Is(err, fs.ErrNotExist) {
		return ca, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	tmpl := template("camphorroad development")
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	if err := m.write(caName, der, key); err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &authority{cert: cert, key: key}, err
}

func (m maker) readAuthority() (*authority, error) {
	certPEM, err := os.ReadFile(filepath.Join(m.dir, caName+".pem"))
	if err != nil {
		return nil, err
	}
	keyPEM, err := os.ReadFile(filepath.Join(m.dir, caName+".key"))
	if err != nil {
		return nil, err
	}
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, errors.New("ca.pem or ca.key is no PEM file; remove both to make new ones")
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParseECPrivateKey(keyBlock.Bytes)
	return &authority{cert: cert, key: key}, err
}

func (m maker) issue(ca *authority, name string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	tmpl := template(name)
	tmpl.DNSNames = []string{name}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		return err
	}
	return m.write(name, der, key)
}

func template(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(devLife),
	}
}

func (m maker) write(name string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	if err := os.WriteFile(filepath.Join(m.dir, name+".pem"), cert, modeCert); err != nil {
		return err
	}
	block := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	return os.WriteFile(filepath.Join(m.dir, name+".key"), block, modeKey)
}
