// Package cert holds the command that makes certificates for trying the fleet
// out on one machine.
package cert

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

	"camphorroad/command/factory"
)

// Commands are the verbs on certificates.
type Commands struct {
	Dev DevOptions `cmd:"" help:"Make an authority and daemons' certificates for development."`
}

// DevOptions makes development certificates.
type DevOptions struct {
	Out   string   `required:"" placeholder:"DIR" help:"Directory to write to; an authority that is there is used again."`
	Names []string `arg:"" name:"daemon" help:"Names of daemons."`
}

// NewDev returns the options for a directory and daemons' names.
func NewDev(out string, names ...string) *DevOptions { return &DevOptions{Out: out, Names: names} }

// Help is shown with the command's flags.
func (*DevOptions) Help() string {
	return `Writes ca.pem, and NAME.pem with NAME.key for each daemon. The authority's key
stays in the directory, so these are for development only.

EXAMPLES
  $ camphorroad cert dev --out certs booking-1 booking-2`
}

const (
	devLife  = 30 * 24 * time.Hour
	caName   = "ca"
	modeKey  = 0o600
	modeCert = 0o644
	modeDir  = 0o700
)

// Run writes the files.
func (o *DevOptions) Run(f *factory.Factory) error {
	if err := o.checkNames(); err != nil {
		return err
	}
	if err := os.MkdirAll(o.Out, modeDir); err != nil {
		return fmt.Errorf("certificates: %w", err)
	}
	ca, err := o.authority()
	if err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	for _, name := range o.Names {
		if err := o.issue(ca, name); err != nil {
			return fmt.Errorf("certificate of %s: %w", name, err)
		}
		if _, err := fmt.Fprintf(f.Out, "%s\t%s\n", name, filepath.Join(o.Out, name+".pem")); err != nil {
			return err
		}
	}
	return nil
}

// checkNames refuses what would overwrite the authority's files, after which no
// daemon trusts another, or leave the directory.
func (o *DevOptions) checkNames() error {
	valid := regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	for _, name := range o.Names {
		if name == caName || !valid.MatchString(name) {
			return fmt.Errorf("%w: %q can not name a daemon; use lower-case letters, digits, dots, dashes and "+
				"underscores, 63 at most, and not %q, which is the authority's", factory.ErrUsage, name, caName)
		}
	}
	return nil
}

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// authority reads the one in the directory, or makes one.
func (o *DevOptions) authority() (*authority, error) {
	ca, err := o.readAuthority()
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
	if err := o.write(caName, der, key); err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &authority{cert: cert, key: key}, err
}

func (o *DevOptions) readAuthority() (*authority, error) {
	certPEM, err := os.ReadFile(filepath.Join(o.Out, caName+".pem"))
	if err != nil {
		return nil, err
	}
	keyPEM, err := os.ReadFile(filepath.Join(o.Out, caName+".key"))
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

func (o *DevOptions) issue(ca *authority, name string) error {
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
	return o.write(name, der, key)
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

func (o *DevOptions) write(name string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	if err := os.WriteFile(filepath.Join(o.Out, name+".pem"), cert, modeCert); err != nil {
		return err
	}
	block := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	return os.WriteFile(filepath.Join(o.Out, name+".key"), block, modeKey)
}
