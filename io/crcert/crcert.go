// Package crcert issues development certificates for a fleet on one machine: a
// certificate authority, and a certificate for each daemon. The private key of the
// authority is stored beside them, so they must not be used in production. The
// command `camphorroad cert` and tests use it.
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
	validity = 30 * 24 * time.Hour
	caName   = "ca"
	keyMode  = 0o600
	certMode = 0o644
	dirMode  = 0o700
)

// ErrInvalidName reports an invalid or reserved daemon name.
var ErrInvalidName = errors.New("invalid daemon name")

// CertPath returns the path of a daemon's certificate in dir. Its key has the same
// path with the extension .key.
func CertPath(dir, name string) string { return filepath.Join(dir, name+".pem") }

// Issue writes ca.pem and ca.key, and NAME.pem and NAME.key for each daemon, to dir.
// An existing authority is reused. Nothing is written if a name is invalid.
func Issue(dir string, names ...string) error {
	if err := checkNames(names); err != nil {
		return err
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return fmt.Errorf("certificates: %w", err)
	}
	i := issuer{dir: dir}
	ca, err := i.loadOrCreateAuthority()
	if err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	for _, name := range names {
		if err := i.issue(ca, name); err != nil {
			return fmt.Errorf("certificate of %s: %w", name, err)
		}
	}
	return nil
}

// checkNames rejects names whose files would be written outside the directory, and the
// name of the authority. If its files were overwritten, daemons would not trust each
// other.
func checkNames(names []string) error {
	valid := regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	for _, name := range names {
		if name == caName || !valid.MatchString(name) {
			return fmt.Errorf("%w: %q; use at most 63 lower-case letters, digits, dots, dashes and "+
				"underscores; %q is reserved for the authority", ErrInvalidName, name, caName)
		}
	}
	return nil
}

// issuer writes certificates and keys to a directory.
type issuer struct{ dir string }

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// loadOrCreateAuthority loads the authority in the directory, or creates one.
func (i issuer) loadOrCreateAuthority() (*authority, error) {
	ca, err := i.readAuthority()
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
	if err := i.write(caName, der, key); err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &authority{cert: cert, key: key}, err
}

func (i issuer) readAuthority() (*authority, error) {
	certPEM, err := os.ReadFile(filepath.Join(i.dir, caName+".pem"))
	if err != nil {
		return nil, err
	}
	keyPEM, err := os.ReadFile(filepath.Join(i.dir, caName+".key"))
	if err != nil {
		return nil, err
	}
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, errors.New("ca.pem or ca.key is not a PEM file; remove both to create new ones")
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParseECPrivateKey(keyBlock.Bytes)
	return &authority{cert: cert, key: key}, err
}

func (i issuer) issue(ca *authority, name string) error {
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
	return i.write(name, der, key)
}

func template(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(validity),
	}
}

func (i issuer) write(name string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	if err := os.WriteFile(filepath.Join(i.dir, name+".pem"), cert, certMode); err != nil {
		return err
	}
	block := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	return os.WriteFile(filepath.Join(i.dir, name+".key"), block, keyMode)
}
