package key

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"

	"camphorroad/command/factory"
	"camphorroad/core/crpolicy"
)

// Prefix is the start of every key, so that secret scanners can find leaked keys.
const Prefix = "crk_"

// keyBytes is the number of random bytes in a key. With 32, publishing the unsalted hash
// of a key is safe.
const keyBytes = 32

// NewOptions are the options of `key new`.
type NewOptions struct {
	JSON bool `help:"Write the result as JSON."`
}

// NewNew returns the default options.
func NewNew() *NewOptions { return &NewOptions{} }

// Help is shown with the command's flags.
func (*NewOptions) Help() string {
	return `Prints a new random key for the client, and its hash for the accounts file.
The key is not stored.

EXAMPLES
  $ camphorroad key new
  $ camphorroad key new --json`
}

// Run generates a key and prints it with its hash.
func (o *NewOptions) Run(f *factory.Factory) error {
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret) // never returns an error: crypto/rand aborts the program instead
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
