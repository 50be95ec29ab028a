package key

import (
	"fmt"
	"io"
	"strings"

	"github.com/samber/oops"

	"camphorroad/command/factory"
)

const maxKeyBytes = 4096

// HashOptions are the options of `key hash`.
type HashOptions struct {
	JSON bool `help:"Write the result as JSON."`
}

// NewHash returns the default options.
func NewHash() *HashOptions { return &HashOptions{} }

// Help is shown with the command's flags.
func (*HashOptions) Help() string {
	return `Reads one key from standard input and prints its hash. The key is not an argument,
since process lists show arguments.

EXAMPLES
  $ camphorroad key hash < key.txt`
}

// Run writes the hash.
func (o *HashOptions) Run(f *factory.Factory) error {
	data, err := io.ReadAll(io.LimitReader(f.In, maxKeyBytes+1))
	if err != nil {
		return oops.Wrapf(err, "read the key")
	}
	key := strings.TrimRight(string(data), "\r\n")
	if key == "" || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t\r\n") {
		return fmt.Errorf("%w: standard input must hold one key without spaces", factory.ErrUsage)
	}
	if o.JSON {
		return f.JSON(result{Hash: hashOf(key)})
	}
	return f.Table([]string{"HASH"}, [][]string{{hashOf(key)}})
}
