// Package key holds the commands that issue client keys.
package key

// Options is the noun `key` of the command tree.
type Options struct {
	New  NewOptions  `cmd:"" help:"Make a key and its hash."`
	Hash HashOptions `cmd:"" help:"Hash a key read from standard input."`
}

type result struct {
	Key  string `json:"key,omitempty"`
	Hash string `json:"hash"`
}
