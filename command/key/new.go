package key

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"

	"camphorroad/command/factory"
	"camphorroad/core/crpolicy"
)

// Prefix begins every key, so that scanners for leaked secrets can find one.
const Prefix = "crk_"

// keyBytes of randomness make a plain hash safe to publish.
const keyBytes = 32

// NewOptions makes a key.
type NewOptions struct {
	JSON bool `help:"Write the result as JSON."`
}

// NewNew returns the options of a new key.
func NewNew() *NewOptions { return &NewOptions{} }

// Help is shown with the command's flags.
func (*NewOptions) Help() string {
	return `Writes a fresh key, for the client, and its hash, for the accounts file.
The key is stored nowhere.

EXAMPLES
  $ camphorroad key new
  $ camphorroad key new --json`
}

// Run writes the key and its hash.
func (o *NewOptions) Run(f *factory.Factory) error {
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret) // never fails: crypto/rand ends the program instead
	key := Prefix + base64.RawURLEncoding.EncodeToString(secret)
	res := result{Key: key, Hash: hashOf(key)}
	if o.JSON {
		return f.JSON(res)
	}
	return f.Table([]string{"KEY", "HASH"}, [][]string{{res.Key, res.Hash}})
}

func hashOf(key string) string {
	hash := crpolicy.HashKey(key)
	return hex.EncodeToString(hash[:])
}
