// Package key holds the commands that generate and hash the keys of client accounts.
package key

// Options are the subcommands of `key`.
type Options struct {
	New  NewOptions  `cmd:"" help:"Generate a key and its hash."`
	Hash HashOptions `cmd:"" help:"Hash a key read from standard input."`
}

type result struct {
	Key  string `json:"key,omitempty"`
	Hash string `json:"hash"`
}
